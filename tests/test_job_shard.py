"""Core of a job shard: unconfirmed tasks that ends don't settle, and needs raised by overruns."""

import pytest

from galenastall.coordination.jobs.assignees import AssigneeTable
from galenastall.coordination.jobs.job_shard import JobShard
from galenastall.coordination.placement.placement_commands import CapacitySummary, LargestAmount
from galenastall.coordination.placement.task_reports import ReportKind, TaskReport, first_attempt
from galenastall.protocol.task_rows import pack_reports, unpack_reports
from galenastall.state.ids import Epoch, HostId, JobId, Offset, TaskId, TeamPath
from galenastall.state.job_fold import JobState
from galenastall.state.resources import Resources
from galenastall.state.work import JobSpec, Workload

A, B = HostId("a"), HostId("b")
TASK = TaskId("j/0")


def make_summary(*, workers: int = 3, memory: int = 4096) -> CapacitySummary:
    one = Resources(cores_milli=16000, memory_mb=memory)
    hole = (LargestAmount(by="memory", free=one),)
    whole = Resources(cores_milli=16000 * workers, memory_mb=memory * workers)
    return CapacitySummary(
        workers=workers, capacity=whole, free=whole, holes=hole, largest_worker=hole
    )


def make_shard(*, idempotent: bool = True, is_fresh: bool = False) -> JobShard:
    spec = JobSpec(
        job_id=JobId("j"),
        team=TeamPath("t"),
        workload=Workload.BATCH,
        resources=Resources(cores_milli=1000, memory_mb=1000),
        idempotent=idempotent,
    )
    shard = JobShard(shard=0, epoch=Epoch(2), is_ended=lambda _job: False)
    shard.add_job(JobState(spec=spec, accepted_at=Offset(1)), is_fresh=is_fresh, now=0.0)
    return shard


def report(kind: ReportKind, *, epoch: int = 1, need_mb: int = 0) -> TaskReport:
    attempt = first_attempt(Epoch(epoch))
    return TaskReport(task_id=TASK, attempt=attempt, kind=kind, worker_id=A, need_mb=need_mb)


def assigned_tasks(shard: JobShard, now: float) -> list[TaskId]:
    decision = shard.decide(now, summaries={A: make_summary()}, limit=10)
    return [task.task_id for batch in decision.assigns for task in batch.tasks]


class TestUnconfirmedTasks:
    @pytest.mark.parametrize(
        "kind", [ReportKind.STOPPED, ReportKind.LOST, ReportKind.FAILED, ReportKind.RETURNED]
    )
    def test_an_earlier_attempts_end_does_not_settle_where_a_task_is(
        self, kind: ReportKind
    ) -> None:
        shard = make_shard()
        assert shard.on_reports(B, [report(kind)], 1.0)
        assert shard.needs_census
        assert assigned_tasks(shard, 500.0) == []
        shard.resolve_unconfirmed(501.0)
        assert assigned_tasks(shard, 501.0) == [TASK]

    def test_a_task_that_is_done_is_closed_without_a_census(self) -> None:
        shard = make_shard()
        shard.on_reports(B, [report(ReportKind.DONE)], 1.0)
        shard.resolve_unconfirmed(2.0)
        assert assigned_tasks(shard, 2.0) == []


class TestLosses:
    def test_a_task_lost_with_each_worker_is_assigned_with_growing_delays(self) -> None:
        """A task that crashes its workers must not take down another one every half second.

        Only attempts that failed lengthened the retry delay, and a lost worker reports no failure.
        """
        assert waits_after_losses([5.0] * 8) == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]

    def test_a_loss_after_a_long_run_resets_the_delay(self) -> None:
        assert waits_after_losses([5.0, 5.0, 500.0, 5.0]) == [1.0, 2.0, 1.0, 2.0]


def waits_after_losses(ran_s: list[float]) -> list[float]:
    """Return the retry delays after losses of the task's worker that follow these run times."""
    shard = make_shard(is_fresh=True)
    now = 0.0
    waits_s: list[float] = []
    attempt = assign_attempt(shard, now)
    for each_s in ran_s:
        assert attempt is not None
        now += each_s
        lost = TaskReport(task_id=TASK, attempt=attempt, kind=ReportKind.LOST, worker_id=A)
        shard.on_reports(A, [lost], now)
        lost_at, attempt = now, assign_attempt(shard, now)
        while attempt is None and now < lost_at + 100.0:
            now += 0.5
            attempt = assign_attempt(shard, now)
        waits_s.append(now - lost_at)
    return waits_s


def assign_attempt(shard: JobShard, now: float) -> int | None:
    """Return the attempt under which the task is assigned now; None if it is not."""
    decision = shard.decide(now, summaries={A: make_summary()}, limit=10)
    attempts = [task.attempt for batch in decision.assigns for task in batch.tasks]
    return attempts[0] if attempts else None


class TestNeedOfOverruns:
    def test_an_overrunning_task_is_assigned_again_with_its_observed_need(self) -> None:
        shard = make_shard(is_fresh=True)
        assert assigned_tasks(shard, 0.0) == [TASK]
        ended = report(ReportKind.STOPPED, epoch=2, need_mb=3000)
        [decoded] = unpack_reports(pack_reports([ended]))
        shard.on_reports(A, [decoded], 1.0)
        [batch] = shard.decide(100.0, summaries={A: make_summary()}, limit=10).assigns
        assert [task.resources.memory_mb for task in batch.tasks] == [3000]

    def test_a_gang_is_planned_by_whole_workers(self) -> None:
        table = AssigneeTable()
        table.update({A: make_summary(), B: make_summary()})
        need = Resources(cores_milli=1000, memory_mb=3000)
        assert table.plan_gang(need=need, tasks=4, now=0.0) == {A: 3, B: 1}
        assert table.plan_gang(need=need, tasks=7, now=0.0) is None
