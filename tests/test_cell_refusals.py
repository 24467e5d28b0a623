"""Starts that executors refuse, and where the next run is placed.

A gang needs all of its executors at once, so one that refuses ends the run of all members. An
executor that refused every start but answered everything else was paused for 0.7 s, and a gang's
next run is placed about 1 s later: by the same best fit, on the same executors. So each of its runs
ended the same way while that executor refused, although others would have accepted it.
"""

from cell.rig import JOB, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.state.cell.phases import RunEnd

AGAIN_S = 1.0
RUNS = 6


def answer(rig: Harness, orders: list[StartOrder], *, refusing: set[str], position: int) -> None:
    """Refuse starts on some executors, accept the others, and end their runs as stopped."""
    for order in orders:
        refuses = order.executor_id in refusing
        outcome = StartOutcome.UNHEALTHY if refuses else StartOutcome.STARTED
        rig.core.on_start(order, outcome, now=rig.now, wall=rig.wall)
    for order in orders:
        if order.executor_id not in refusing:
            rig.end(order, RunEnd.STOPPED, position=position)


class TestRefusedStarts:
    def test_a_gang_s_next_run_avoids_the_executor_that_refused(self) -> None:
        rig = Harness(*(make_info(f"e{number}") for number in range(3)))
        rig.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        first = rig.step()
        answer(rig, first, refusing={"e0"}, position=1)
        rig.now += AGAIN_S
        for number in range(3):
            rig.listing(f"e{number}")
        assert {order.executor_id for order in rig.step()} == {"e1", "e2"}

    def test_it_is_used_again_where_there_is_no_other(self) -> None:
        rig = Harness(make_info("e0"), make_info("e1"))
        rig.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        answer(rig, rig.step(), refusing={"e0"}, position=1)
        rig.now += AGAIN_S
        for number in range(2):
            rig.listing(f"e{number}")
        assert {order.executor_id for order in rig.step()} == {"e0", "e1"}

    def test_an_executor_that_keeps_refusing_starts_is_paused_for_longer(self) -> None:
        rig = Harness(make_info("e0"))
        pauses: list[float] = []
        rig.submit(make_job(make_step(1)))
        for _ in range(RUNS):
            (order,) = rig.step()
            answer(rig, [order], refusing={"e0"}, position=1)
            pauses.append(rig.core.executors_by_id["e0"].paused_until - rig.now)
            rig.now += pauses[-1] + 0.01
            rig.listing("e0")
        assert pauses == sorted(pauses)
        assert pauses[0] < 1.0
        assert 10.0 < pauses[-1] <= 30.0

    def test_an_accepted_start_resets_the_pause(self) -> None:
        rig = Harness(make_info("e0"))
        rig.submit(make_job(make_step(1)))
        pauses: list[float] = []
        for refusing in (True, True, False, True):
            (order,) = rig.step()
            answer(rig, [order], refusing={"e0"} if refusing else set(), position=1)
            pauses.append(rig.core.executors_by_id["e0"].paused_until - rig.now)
            rig.now += max(pauses[-1], 0.0) + 0.01
            rig.listing("e0")
        assert pauses[3] == pauses[0]
        assert not rig.core.jobs_by_id[JOB].has_ended
