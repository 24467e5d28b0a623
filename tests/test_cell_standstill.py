"""Runs that a leader stops as stalled: which executors are at fault, and that jobs end.

A gang of 22 tasks was stopped by its leader at the same point in every run: after 12.7, 12.7 and
12.9 s, a second gang after 16.3, 16.9 and 16.2 s, each time on other executors, and neither ever
completed. In a reproduction the leader's own rule ended such runs, which stops a run without
progress for 3 s: it applied to members that only waited for others of their gang, 39 times as "no
progress for 3 s at 100%". Such a rule has to tolerate more from a run that it has stopped before,
or the job never ends. And executors of waiting members are not at fault, so pausing them withholds
capacity from all jobs (a gang that waited for one member closed the executors of all of them).
"""

import pytest

from cell.rig import JOB, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.state.cell.phases import RunEnd

LISTED_EVERY_S = 0.5
LISTED_TIMES = 8


def paused(rig: Harness) -> set[str]:
    """Return the executors that are paused now."""
    return {i for i, e in rig.core.executors_by_id.items() if e.paused_until > rig.now}


def show(rig: Harness, percent_by_order: dict[StartOrder, int]) -> None:
    """List runs with their progress."""
    for order, percent in percent_by_order.items():
        run = ListedRun(task=order.task, run=order.run, percent=percent)
        rig.listing(order.executor_id, (run,))


def watch(rig: Harness, percents_by_order: dict[StartOrder, tuple[int, int]]) -> None:
    """List runs for some seconds; each has an initial progress and a gain per listing."""
    for turn in range(LISTED_TIMES):
        rig.now += LISTED_EVERY_S
        show(rig, {o: begin + turn * gain for o, (begin, gain) in percents_by_order.items()})
        rig.stops()


class TestGangStalls:
    def start(self, *, members: int = 3) -> tuple[Harness, list[StartOrder]]:
        rig = Harness(*(make_info(f"e{number}") for number in range(members + 1)))
        rig.submit(make_job(make_step(members, cores=4000, is_gang=True)))
        return rig, rig.step()

    def test_members_that_wait_for_a_missing_one_are_not_blamed(self) -> None:
        rig, orders = self.start()
        rig.confirm_starts(orders[:2])
        rig.core.on_start(orders[2], StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        watch(rig, dict.fromkeys(orders[:2], (0, 0)))
        assert paused(rig) == set()

    def test_members_that_all_stall_are_not_blamed(self) -> None:
        rig, orders = self.start()
        rig.confirm_starts(orders)
        watch(rig, dict.fromkeys(orders, (40, 0)))
        assert all(task.is_stopping for task in rig.core.jobs_by_id[JOB].assigned())
        assert paused(rig) == set()

    def test_a_member_that_stalls_while_the_others_progress_is_blamed(self) -> None:
        rig, orders = self.start()
        rig.confirm_starts(orders)
        watch(rig, {orders[0]: (40, 0), orders[1]: (40, 1), orders[2]: (45, 1)})
        assert paused(rig) == {orders[0].executor_id}

    def test_a_member_that_the_others_have_waited_for_at_their_end_is_blamed(self) -> None:
        rig, orders = self.start()
        rig.confirm_starts(orders)
        watch(rig, {orders[0]: (40, 0), orders[1]: (100, 0), orders[2]: (100, 0)})
        assert paused(rig) == {orders[0].executor_id}

    def test_a_gang_whose_members_have_all_done_their_share_and_do_not_end_is_given_up(
        self,
    ) -> None:
        rig, orders = self.start()
        rig.confirm_starts(orders)
        watch(rig, dict.fromkeys(orders, (100, 0)))
        assert all(task.is_stopping for task in rig.core.jobs_by_id[JOB].assigned())


class TestRepeatedStalls:
    """A task that shows no progress for longer than others, on healthy executors."""

    def stopped_after(
        self, rig: Harness, order: StartOrder, *, most_s: float = 200.0
    ) -> float | None:
        """List a run at 40% until it is stopped; return the seconds, or None if it is not."""
        began_at = rig.now
        while rig.now - began_at < most_s:
            show(rig, {order: 40})
            if rig.stops():
                return rig.now - began_at
            rig.now += LISTED_EVERY_S
        return None

    def test_each_stop_makes_the_leader_wait_longer_for_the_next(self) -> None:
        rig = Harness(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        waits: list[float] = []
        for number in range(1, 5):
            order = rig.step()[0]
            rig.confirm_starts([order])
            waited_s = self.stopped_after(rig, order)
            assert waited_s is not None
            waits.append(waited_s)
            rig.end(order, RunEnd.STOPPED, position=number)
            rig.now += 31.0
            rig.listing("e1")
        assert waits == [pytest.approx(3.0 * 2.0**n, abs=LISTED_EVERY_S) for n in range(4)]

    def test_a_long_run_is_given_the_time_that_a_percent_of_it_takes(self) -> None:
        rig = Harness(make_info("e1"))
        rig.submit(make_job(make_step(1, estimate_s=1800.0)))
        order = rig.step()[0]
        rig.confirm_starts([order])
        for percent in range(4):
            for _ in range(36):
                rig.now += LISTED_EVERY_S
                show(rig, {order: percent})
                assert rig.stops() == []

    def test_a_run_of_known_speed_is_given_the_time_of_its_next_percents(self) -> None:
        rig = Harness(make_info("e1"))
        rig.submit(make_job(make_step(1, estimate_s=1.0)))
        order = rig.step()[0]
        rig.confirm_starts([order])
        for seconds, percent in ((0.5, 0), (2.5, 1), (2.5, 2), (4.0, 2)):
            rig.now += seconds
            show(rig, {order: percent})
            assert rig.stops() == []
        rig.now += 4.0
        show(rig, {order: 2})
        assert len(rig.stops()) == 1
