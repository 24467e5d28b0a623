"""To which tasks a crash is attributed, and where suspects start their next runs."""

from dataclasses import replace

import msgspec
import pytest

from cell.rig import JOB, QUEUE, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.crashes import (
    ALONE_WEIGHT,
    AT_WORK_WEIGHT,
    MAX_WEIGHT,
    SETTLED_S,
    SHARED_WEIGHT,
    STARTUP_S,
    SUSPECT_STARTUP_S,
    AffectedRun,
    attribute_crash,
    attribute_lost_contact,
)
from galenastall.coordination.cell.executors import Cordon
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.state.cell.jobs import Queue, StepKey, TaskKey
from galenastall.state.cell.phases import JobPhase, RunEnd, TaskPhase
from galenastall.state.cell.rows import ProgressRow, TaskRow
from galenastall.state.resources import Resources

OTHER = "fedcba9876543210"
THIRD = "1111111111111111"
A, B, C = (TaskKey(JOB, 0, 0, number) for number in range(3))
STEP = StepKey(JOB, 0, 0)
MAX_STARTS = 5
"""The platform allows three crashes, and two more starts after them."""


def affected_run(task: TaskKey, at_work_s: float | None = 0.0, **fields: object) -> AffectedRun:
    return replace(
        AffectedRun(task=task, unit=task, at_work_s=at_work_s), **fields  # type: ignore[arg-type]
    )


class TestWeights:
    @pytest.mark.parametrize(
        ("affected_runs", "is_isolated", "weights"),
        [
            pytest.param([affected_run(A)], True, [ALONE_WEIGHT], id="alone"),
            pytest.param([affected_run(A)], False, [SHARED_WEIGHT], id="many executors crash"),
            pytest.param(
                [affected_run(A), affected_run(B)], True, [SHARED_WEIGHT] * 2, id="two had begun"
            ),
            pytest.param(
                [affected_run(A), affected_run(B, STARTUP_S), affected_run(C, SETTLED_S)],
                True,
                [ALONE_WEIGHT, AT_WORK_WEIGHT, 0],
                id="the others were at work",
            ),
            pytest.param(
                [affected_run(A, is_suspect=True), affected_run(B)],
                True,
                [ALONE_WEIGHT, SHARED_WEIGHT],
                id="one was suspected before",
            ),
            pytest.param(
                [affected_run(A, is_suspect=True), affected_run(B, is_suspect=True)],
                True,
                [SHARED_WEIGHT] * 2,
                id="both were suspected before",
            ),
            pytest.param(
                [affected_run(A, unit=STEP), affected_run(B, unit=STEP)],
                True,
                [ALONE_WEIGHT] * 2,
                id="members of one gang",
            ),
            pytest.param(
                [affected_run(A, is_confirmed=False)],
                True,
                [SHARED_WEIGHT],
                id="perhaps not started",
            ),
            pytest.param(
                [affected_run(A, None)], True, [SHARED_WEIGHT], id="not known to this leader"
            ),
        ],
    )
    def test_a_crash(
        self, affected_runs: list[AffectedRun], is_isolated: bool, weights: list[int]
    ) -> None:
        attributions = attribute_crash(affected_runs, is_isolated=is_isolated)
        assert [attributions[each.task].weight for each in affected_runs] == weights

    def test_only_what_had_just_begun_or_is_not_known_is_suspect(self) -> None:
        attributions = attribute_crash(
            [affected_run(A), affected_run(B, STARTUP_S), affected_run(C, None)], is_isolated=True
        )
        assert [attributions[task].is_suspect for task in (A, B, C)] == [True, False, True]

    @pytest.mark.parametrize(
        ("is_listed", "weights"),
        [(False, [SHARED_WEIGHT, AT_WORK_WEIGHT, 0]), (True, [SHARED_WEIGHT, 0, 0])],
    )
    def test_an_executor_that_never_answers_again_weighs_less(
        self, is_listed: bool, weights: list[int]
    ) -> None:
        """A task crashed its executor during a store outage; the platform listed it throughout."""
        affected_runs = [affected_run(A), affected_run(B, 2.0), affected_run(C, SETTLED_S)]
        attributions = attribute_lost_contact(affected_runs, is_listed=is_listed)
        assert [attributions[task].weight for task in (A, B, C)] == weights

    @pytest.mark.parametrize("weight", [ALONE_WEIGHT, SHARED_WEIGHT, AT_WORK_WEIGHT])
    def test_each_kind_of_evidence_ends_a_task_in_time(self, weight: int) -> None:
        """Not after two crashes, which may be chance, and within the allowed number of starts."""
        assert 2 * weight < MAX_WEIGHT
        assert MAX_STARTS * weight >= MAX_WEIGHT


class TestChance:
    """Innocent tasks were given up where executors crashed on their own every few seconds."""

    @pytest.mark.parametrize(
        ("chance", "weight"), [(0.0, AT_WORK_WEIGHT), (0.01, AT_WORK_WEIGHT), (0.1, 6), (1.0, 3)]
    )
    def test_a_crash_at_work_weighs_less_the_likelier_it_is(
        self, chance: float, weight: int
    ) -> None:
        there = affected_run(A, STARTUP_S, chance=chance)
        assert attribute_crash([there], is_isolated=True)[A].weight == weight

    def test_crashes_of_other_executors_tell_how_likely(self) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.work(STARTUP_S)
        others = [i.executor_id for i in rig.infos if i.executor_id != order.executor_id]
        for executor_id in others[:4]:
            rig.crash(executor_id)
        rig.crash(order.executor_id)
        assert 0 < rig.task(A)[0] < AT_WORK_WEIGHT

    def test_crashes_under_the_task_itself_do_not(self) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        for _ in range(2):
            (order,) = rig.start()
            rig.work(2 * STARTUP_S)
            rig.crash(order.executor_id)
        assert rig.task(A)[0] == 2 * AT_WORK_WEIGHT


class CrashHarness(Harness):
    """A core whose executors crash and restart."""

    def __init__(self, *, executors: int = 8, rows: dict[str, bytes] | None = None) -> None:
        infos = [make_info(f"e{n}.1", host=f"h{n}") for n in range(executors)]
        super().__init__(*infos, rows=rows)
        self.starts = [1] * executors

    def start(self) -> list[StartOrder]:
        """Decide, and confirm all starts that are sent."""
        orders = self.step()
        self.confirm_starts(orders)
        return orders

    def crash(self, executor_id: str) -> None:
        """Replace an executor by a later incarnation that answers on its host."""
        number = int(executor_id[1:].split(".", maxsplit=1)[0])
        self.starts[number] += 1
        self.now += 2.0
        later = make_info(f"e{number}.{self.starts[number]}", host=f"h{number}")
        self.infos = (*(i for i in self.infos if i.executor_id != executor_id), later)
        self.update_fleet(*self.infos)
        self.listen()

    def listen(self) -> None:
        """Apply a listing of each listed executor with its current runs."""
        for info in self.infos:
            there = self.core.executors_by_id[info.executor_id].runs_by_task
            running = tuple(ListedRun(task=task, run=run) for task, run in there.items())
            self.listing(info.executor_id, running)

    def work(self, for_s: float) -> None:
        """Let all runs continue for `for_s` seconds, with a listing every 0.1 s."""
        for _ in range(round(for_s / 0.1)):
            self.now += 0.1
            self.listen()

    def task(self, key: TaskKey) -> tuple[int, bool]:
        """Return the weight attributed to a task, and whether it is suspect."""
        found = self.core._state.find(key)
        assert found is not None
        return found[2].blame, found[2].is_suspect


class TestCounting:
    def test_a_job_fails_with_a_reason_that_names_the_task(self) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        for _ in range(3):
            (order,) = rig.start()
            rig.crash(order.executor_id)
        assert rig.start() == []
        assert rig.shown() is JobPhase.FAILED
        ended = [note for note in rig.core.take_notes() if note.step == "job.ended"]
        assert [note.cause for note in ended] == ["3 executors crashed under task 0.0.0"]

    def test_the_log_names_what_is_attributed_to_each_task(self) -> None:
        rig = CrashHarness(executors=1)
        rig.submit(make_job(make_step(1, cores=500)))
        rig.start()
        rig.work(1.0)
        rig.submit(make_job(make_step(1, cores=500), job_id=OTHER))
        rig.start()
        rig.core.take_notes()
        rig.crash("e0.1")
        notes = rig.core.take_notes()
        (end,) = (note for note in notes if note.step == "executor.life_ended")
        assert (end.fields["runs"], end.fields["draining"]) == ("2", "false")
        ended = {note.subjects[0]: note.fields for note in notes if note.step == "run.ended"}
        assert float(ended[JOB]["at_work_s"]) >= 0.9
        assert float(ended[OTHER]["at_work_s"]) < STARTUP_S
        assert ended[JOB]["blame"] == f"{AT_WORK_WEIGHT} of {MAX_WEIGHT}"
        assert ended[OTHER]["blame"] == f"{ALONE_WEIGHT} of {MAX_WEIGHT}"
        assert ended[OTHER]["crashes"] == "1"

    @pytest.mark.parametrize("cordon", list(Cordon))
    def test_a_host_that_this_cell_took_down_is_no_crash(self, cordon: Cordon) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.core.executors_by_id[order.executor_id].cordons.add(cordon)
        rig.crash(order.executor_id)
        assert rig.task(A) == (0, False)

    def test_a_planned_departure_is_no_crash(self) -> None:
        rig = CrashHarness(executors=1)
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.update_fleet(replace(rig.infos[0], is_draining=True, leaves_in_s=2.0))
        rig.crash(order.executor_id)
        assert rig.task(A) == (0, False)

    def test_a_start_that_has_not_left_is_not_there(self) -> None:
        rig = CrashHarness(executors=1)
        rig.submit(make_job(make_step(1)))
        rig.core.decide(now=rig.now, wall=rig.wall)
        rig.crash("e0.1")
        assert rig.task(A) == (0, False)

    def test_a_start_sent_after_the_executor_fell_silent_is_not_there(self) -> None:
        rig = CrashHarness(executors=1)
        rig.core.executors_by_id["e0.1"].lost_at = rig.now
        rig.now += 0.1
        rig.submit(make_job(make_step(1)))
        assert len(rig.step()) == 1
        rig.crash("e0.1")
        assert rig.task(A) == (0, False)

    def test_many_executors_that_crash_together_weigh_less(self) -> None:
        rig = CrashHarness(executors=4)
        rig.submit(make_job(make_step(4, cores=4000)))
        orders = rig.start()
        assert len({order.executor_id for order in orders}) == 4
        rig.now += 2.0
        rig.step()
        for order in orders:
            rig.core.on_address_reused(order.executor_id, wall=rig.wall)
        attributions = [rig.task(order.task)[0] for order in orders]
        assert attributions == [SHARED_WEIGHT] * 4

    def test_executors_that_wait_to_be_polled_are_not_counted_as_crashed(self) -> None:
        # In a large fleet most executors without runs have not answered for seconds.
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.now += 2.0
        number = int(order.executor_id[1])
        later = make_info(f"e{number}.2", host=f"h{number}")
        rig.update_fleet(*rig.infos, later)
        rig.listing(later.executor_id)
        assert rig.task(A) == (ALONE_WEIGHT, True)

    def test_the_count_outlives_the_leader(self) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.crash(order.executor_id)
        rig.commit()
        successor = CrashHarness(rows=rig.rows)
        assert successor.task(A) == (ALONE_WEIGHT, True)

    def test_rows_written_before_there_was_a_count_are_read(self) -> None:
        row = ProgressRow(phase=JobPhase.RUNNING, queue_name="q")
        task = [0, 0, 0, TaskPhase.WAITING, 1]
        values = [*msgspec.to_builtins(row)[:6], [task], 0]
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(values), type=ProgressRow)
        assert read.tasks[0] == TaskRow(
            occurrence=0, step=0, index=0, phase=TaskPhase.WAITING, run=1
        )


class TestIsolatedStarts:
    """A suspect starts where no other run is starting, and no other run starts next to it."""

    def test_suspects_begin_on_executors_of_their_own(self) -> None:
        rig = CrashHarness(executors=16)
        rig.submit(make_job(make_step(2, cores=500)))
        first, second = rig.start()
        assert first.executor_id == second.executor_id
        rig.crash(first.executor_id)
        rig.submit(make_job(make_step(4, cores=500), job_id=OTHER))
        orders = rig.start()
        suspects = {o.executor_id for o in orders if o.task.job == JOB}
        others = {o.executor_id for o in orders if o.task.job == OTHER}
        assert len(suspects) == 2
        assert others
        assert not suspects & others

    def test_a_suspect_at_work_for_half_a_second_is_cleared(self) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.crash(order.executor_id)
        rig.start()
        rig.work(STARTUP_S + 0.2)
        assert rig.task(A) == (ALONE_WEIGHT, False)

    def test_an_executor_is_asked_as_soon_as_its_suspect_could_be_cleared(self) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.crash(order.executor_id)
        (order,) = rig.start()
        rig.now += STARTUP_S
        rig.step()
        assert rig.core.executors_by_id[order.executor_id].needs_listing

    def test_a_suspect_that_was_seen_at_work_is_not_at_its_start(self) -> None:
        # Listings arrived once a second, so chance crashes counted as crashes at a start.
        rig = CrashHarness()
        rig.submit(make_job(make_step(1)))
        (order,) = rig.start()
        rig.crash(order.executor_id)
        (order,) = rig.start()
        rig.work(2 * SUSPECT_STARTUP_S)
        rig.crash(order.executor_id)
        assert rig.task(A)[0] <= ALONE_WEIGHT + AT_WORK_WEIGHT

    def test_suspect_members_of_a_gang_are_watched_from_their_start(self) -> None:
        rig = CrashHarness()
        rig.submit(make_job(make_step(2, is_gang=True)))
        orders = rig.start()
        rig.crash(orders[0].executor_id)
        rig.listen()
        rig.now += 1.0
        orders = rig.start()
        suspects = [order for order in orders if rig.task(order.task)[1]]
        rig.now += 2 * SUSPECT_STARTUP_S
        rig.step()
        assert suspects
        for order in suspects:
            assert rig.core.executors_by_id[order.executor_id].needs_listing

    def test_few_executors_are_used_at_a_time(self) -> None:
        rig = CrashHarness(executors=8)
        rig.submit(make_job(make_step(8, cores=500)))
        orders = rig.start()
        assert len({order.executor_id for order in orders}) == 1
        rig.crash(orders[0].executor_id)
        assert len(rig.start()) == 1
        assert rig.start() == []
        rig.work(STARTUP_S + 0.2)
        assert len(rig.start()) == 1

    def start_suspects(self, jobs: int, cores: int, *, in_use: int = 0) -> list[StartOrder]:
        """Lose the executor of several jobs right after their starts, and return the next starts.

        `in_use` executors are filled by another job before.
        """
        rig = CrashHarness(executors=16)
        if in_use:
            rig.submit(make_job(make_step(in_use, cores=4000), job_id=OTHER))
            rig.start()
            rig.work(2 * STARTUP_S)
        for number in range(jobs):
            rig.submit(make_job(make_step(1, cores=cores), job_id=f"{number:016x}"))
        orders = rig.start()
        assert len({order.executor_id for order in orders}) == 1
        rig.crash(orders[0].executor_id)
        return rig.start()

    def test_suspects_of_several_jobs_are_tried_on_half_of_the_free_executors(self) -> None:
        # Sixty of them were tried two at a time, for 20 s, while 18 executors were nearly idle.
        assert len(self.start_suspects(20, 200)) == 8

    def test_fewer_are_tried_at_a_time_in_a_busy_cell(self) -> None:
        assert len(self.start_suspects(20, 200, in_use=13)) == 2

    def test_an_executor_is_released_once_its_suspect_was_seen_at_work(self) -> None:
        # A task that crashes its executor at its start does so within a hundredth of a second.
        rig = CrashHarness(executors=8)
        rig.submit(make_job(make_step(8, cores=500)))
        orders = rig.start()
        rig.crash(orders[0].executor_id)
        assert len(rig.start()) == 1
        rig.work(2 * SUSPECT_STARTUP_S)
        assert len(rig.start()) == 1

    def test_a_suspect_that_waits_for_its_turn_says_so(self) -> None:
        rig = CrashHarness(executors=2)
        rig.submit(make_job(make_step(2, cores=500)))
        first, _ = rig.start()
        rig.crash(first.executor_id)
        assert len(rig.start()) == 1
        rig.start()
        assert rig.core._placer.observations.reason_of(STEP) is WaitReason.ON_PROBATION

    def test_a_suspect_goes_where_no_urgent_run_and_few_others_are(self) -> None:
        rig = CrashHarness(executors=3)
        urgent = replace(QUEUE, name="urgent", priority=0)
        rig.core.set_queues([QUEUE, urgent])
        rig.submit(make_job(make_step(2, cores=3000), job_id=OTHER, queue=urgent))
        rig.start()
        rig.work(1.0)
        rig.submit(make_job(make_step(1, cores=500), job_id=THIRD))
        (order,) = rig.start()
        rig.crash(order.executor_id)
        (again,) = (order for order in rig.start() if order.task.job == THIRD)
        assert not self._urgent_on(rig, again.executor_id, urgent)

    def _urgent_on(self, rig: CrashHarness, executor_id: str, urgent: Queue) -> bool:
        jobs_by_id = rig.core.jobs_by_id
        return any(jobs_by_id[task.job].queue is urgent for task in rig.runs_on(executor_id))

    def test_a_busy_cell_makes_place_for_a_suspect(self) -> None:
        """With a stream of small tasks every executor always has a run that is starting."""
        rig = CrashHarness(executors=2)
        rig.submit(make_job(make_step(1, cores=500)))
        (order,) = rig.start()
        rig.crash(order.executor_id)
        stream = make_job(make_step(400, cores=500), job_id=OTHER)
        rig.submit(stream)
        started: set[str] = set()
        for _ in range(40):
            started |= {each.task.job for each in rig.start()}
            rig.work(0.1)
            for info in rig.infos:
                there = sorted(rig.runs_on(info.executor_id))
                for task in [t for t in there if t.job == OTHER][:1]:
                    rig.core._ends.apply(task, 1, RunEnd.DONE, wall=rig.wall)
            if JOB in started:
                break
        assert JOB in started

    def test_a_need_that_no_executor_fits_reserves_none(self) -> None:
        rig = CrashHarness(executors=2)
        rig.submit(make_job(make_step(1, cores=4000)))
        (order,) = rig.start()
        rig.crash(order.executor_id)
        small = Resources(cores_milli=2000, memory_mb=8000)
        rig.infos = tuple(replace(info, capacity=small) for info in rig.infos)
        rig.update_fleet(*rig.infos)
        rig.submit(make_job(make_step(8, cores=500), job_id=OTHER))
        assert len(rig.start()) == 8
