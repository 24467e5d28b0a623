"""Assign the tasks of one shard's jobs: the pure core of a job shard's owner.

Each waiting task goes to exactly one worker-owning entry host. A task that may be queued or running
somewhere is not assigned again: it is unconfirmed until a census of all entry hosts and workers
settles it. Times are wall seconds.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from galenastall.coordination.jobs.job_closing import JobClosing
from galenastall.coordination.jobs.job_run import JobRun
from galenastall.coordination.jobs.recalls import find_recalls
from galenastall.coordination.jobs.report_intake import ReportIntake
from galenastall.coordination.jobs.shard_commands import (
    AssignAnswer,
    AssignBatch,
    CancelCounts,
    ShardDecision,
    ShardSettings,
    StopBatch,
)
from galenastall.coordination.jobs.shard_tables import ShardTables
from galenastall.coordination.placement.placement_commands import CapacitySummary
from galenastall.coordination.placement.task_reports import (
    ReportKind,
    TaskAttempt,
    TaskReport,
    first_attempt,
)
from galenastall.state.ids import Epoch, HostId, JobId, TaskId, make_task_id
from galenastall.state.job_fold import JobState
from galenastall.state.job_records import EndedRanges, TasksAssigned
from galenastall.state.work import TaskPhase, Workload


class JobShard:
    """One shard under one epoch of its ownership."""

    def __init__(
        self,
        *,
        shard: int,
        epoch: Epoch,
        is_ended: Callable[[JobId], bool],
        settings: ShardSettings | None = None,
    ) -> None:
        """Start without jobs.

        `epoch` is that of the shard's ownership; `is_ended` returns whether the log holds
        the end of a job that is not live.
        """
        self.shard = shard
        self.epoch = epoch
        self.settings = settings or ShardSettings()
        self._tables = ShardTables(shard=shard, settings=self.settings)
        self._closing = JobClosing(tables=self._tables)
        self._intake = ReportIntake(tables=self._tables, closing=self._closing, is_ended=is_ended)
        self.assignees = self._tables.assignees
        self.ends = self._tables.ends
        self.intents = self._tables.intents
        self.gangs = self._tables.gangs
        self.runs_by_id = self._tables.runs_by_id
        self._recall_at = 0.0

    @property
    def duplicates(self) -> int:
        """Tasks that were found at two workers; each is an alarm."""
        return self._tables.duplicates

    @property
    def doubts(self) -> int:
        """Rises with each newly unconfirmed task: a census that began before doesn't cover it."""
        return self._tables.doubts

    @property
    def needs_census(self) -> bool:
        """Whether some task is unconfirmed."""
        return bool(self._tables.unconfirmed_jobs)

    def add_job(self, state: JobState, *, is_fresh: bool, now: float) -> None:
        """Add a job; unless it is fresh, its open tasks that may have run are unconfirmed."""
        job_id = state.spec.job_id
        if job_id in self.runs_by_id or state.end is not None:
            return
        run = JobRun(state=state.copy(), base_attempt=first_attempt(self.epoch))
        self.runs_by_id[job_id] = run
        if state.spec.workload is Workload.GANG:
            self.gangs.add(run)
        if not is_fresh:
            run.unconfirmed = {index for index in state.open_indices() if state.may_have_run(index)}
            if run.unconfirmed:
                self._tables.unconfirmed_jobs.add(job_id)
                self._tables.doubts += 1
        if state.cancelled:
            self._closing.stop_run(run, TaskPhase.CANCELLED, "cancelled", now)
        self._tables.dispatcher.requeue(run)
        self._closing.end_if_complete(run)

    def on_tasks_ended(self, end: EndedRanges) -> None:
        """Apply ends that the log holds, which an earlier owner of the shard may have written."""
        run = self.runs_by_id.get(end.job_id)
        if run is None or run.is_service:
            return
        for each in end.ranges:
            for index in range(each.start, min(each.stop, run.state.spec.tasks)):
                if not run.close(index, end.phase):
                    continue
                run.unconfirmed.discard(index)
                run.delayed.discard(index)
                assigned = run.assigned_by_index.pop(index, None)
                if assigned is not None:
                    task_id = make_task_id(end.job_id, index)
                    self._tables.stop_task(assigned.host, task_id, assigned.attempt)
        self._closing.end_if_complete(run)

    def cancel(self, job_id: JobId, now: float) -> CancelCounts | None:
        """Stop a job; the cost doesn't grow with its waiting tasks. None if it isn't live here."""
        run = self.runs_by_id.get(job_id)
        if run is None:
            return None
        closed = 0 if run.is_service else run.state.spec.tasks - run.open_count
        placed = len(run.assigned_by_index) + len(run.unconfirmed)
        counts = CancelCounts(
            never_started=run.state.spec.tasks - closed - placed,
            stopping=placed,
            already_done=closed,
        )
        run.state.cancelled = True
        if not run.is_stopped:
            self._tables.notes.add("cancelled", (job_id,), "the caller cancelled it")
            self._closing.stop_run(run, TaskPhase.CANCELLED, "cancelled", now)
            self._closing.end_if_complete(run)
        return counts

    def resolve_unconfirmed(
        self, now: float, *, may_have_lost_ends: Callable[[JobState], bool] = lambda _job: False
    ) -> int:
        """Assign again what a complete census found nowhere; return how many tasks.

        `may_have_lost_ends` returns whether a worker is gone that may have run tasks of a
        job to their end; then a task that must not run twice is closed as unknown instead.
        """
        count = 0
        unconfirmed_jobs, self._tables.unconfirmed_jobs = self._tables.unconfirmed_jobs, set()
        for job_id in sorted(unconfirmed_jobs):
            run = self.runs_by_id.get(job_id)
            if run is None:
                continue
            unconfirmed, run.unconfirmed = run.unconfirmed, set()
            count += len(unconfirmed)
            self._tables.notes.add(
                "resolved",
                (job_id,),
                f"{len(unconfirmed)} unconfirmed tasks are neither queued nor running",
            )
            if job_id in self.gangs:
                self.gangs.resolve(run, unconfirmed, now)
                self._closing.finish_gang_attempt(run, now)
            else:
                is_lost = run.is_at_most_once and may_have_lost_ends(run.state)
                self._closing.resolve(run, unconfirmed, may_have_lost_ends=is_lost)
            self._tables.dispatcher.requeue(run)
            self._closing.end_if_complete(run)
        return count

    def on_assignee_gone(self, host: HostId) -> int:
        """Mark all tasks of an entry host that left the roster unconfirmed; return how many."""
        count = 0
        self.assignees.forget(host)
        for run in self.runs_by_id.values():
            gone = [i for i, each in run.assigned_by_index.items() if each.host == host]
            for index in gone:
                self._tables.mark_unconfirmed(run, index)
            if gone:
                self._tables.notes.add(
                    "in_doubt", (run.state.spec.job_id, host), "its assignee left the roster"
                )
            count += len(gone)
        return count

    def decide(
        self, now: float, *, summaries: Mapping[HostId, CapacitySummary], limit: int
    ) -> ShardDecision:
        """Return what to send now, with at most `limit` tasks to assign."""
        self.assignees.update(summaries)
        self._tables.dispatcher.requeue_due(now)
        self.gangs.decide(now)
        batches = self._tables.dispatcher.assign(now, limit)
        recalls: list[StopBatch] = []
        if now >= self._recall_at:
            self._recall_at = now + self.settings.recall_every_s
            recalls = find_recalls(self.runs_by_id.values(), self.assignees, self.settings, now)
        gang_calls, gang_stops = self.gangs.take_calls()
        stops, self._tables.stops = self._tables.stops, {}
        return ShardDecision(
            assigns=tuple(batches),
            stops=(
                *(_stop_batch(host, attempts) for host, attempts in stops.items()),
                *gang_stops,
            ),
            recalls=tuple(recalls),
            gang_calls=gang_calls,
            notes=self._tables.notes.take(),
        )

    def on_assign_answer(self, batch: AssignBatch, answer: AssignAnswer, now: float) -> None:
        """Process the outcome of an assignment; an unknown one is to be sent again."""
        if answer is not AssignAnswer.REFUSED:
            return
        self.assignees.avoid(batch.host, now)
        self.on_tasks_refused(batch, {task.task_id for task in batch.tasks}, now)

    def on_tasks_refused(self, batch: AssignBatch, refused: Collection[TaskId], now: float) -> None:
        """Return to the queue the tasks of an assignment that the assignee did not accept."""
        for task in batch.tasks:
            if task.task_id not in refused:
                continue
            report = TaskReport(
                task_id=task.task_id, attempt=task.attempt, kind=ReportKind.RETURNED
            )
            self._intake.take(batch.host, report, now)

    def on_reports(
        self, host: HostId, reports: Iterable[TaskReport], now: float
    ) -> tuple[TaskReport, ...]:
        """Process an assignee's reports; return those that it need not keep or repeat."""
        return tuple(report for report in reports if self._intake.take(host, report, now))

    def on_hold_answer(
        self, job_id: JobId, host: HostId, key: str, *, is_held: bool, now: float
    ) -> None:
        """Process an owner's answer to a gang's hold."""
        self.gangs.on_hold(job_id, host, key, is_held=is_held, now=now)

    def on_gang_start_answer(
        self, job_id: JobId, host: HostId, key: str, *, is_started: bool, now: float
    ) -> None:
        """Process an owner's answer to the start of its part of a gang."""
        self.gangs.on_start(job_id, host, key, is_started=is_started, now=now)
        run = self.runs_by_id.get(job_id)
        if run is not None:
            self._closing.finish_gang_attempt(run, now)
            self._closing.end_if_complete(run)

    def forget(self, job_id: JobId) -> None:
        """Drop a job whose end is in the log."""
        run = self.runs_by_id.pop(job_id, None)
        self.gangs.forget(job_id)
        self._tables.unconfirmed_jobs.discard(job_id)
        if run is not None:
            self._tables.dispatcher.discard(run)

    def on_given(self, record: TasksAssigned, *, is_logged: bool) -> None:
        """Return tasks to the queue; they may be assigned if their record is in the log."""
        for given in record.given:
            run = self.runs_by_id.get(given.job_id)
            if run is None:
                continue
            if is_logged:
                run.state.mark_assigned(given.ranges)
            for each in given.ranges:
                for index in range(each.start, each.stop):
                    if index in run.awaiting_record:
                        run.awaiting_record.discard(index)
                        run.return_to_queue(index)
            self._tables.dispatcher.requeue(run)
            self._closing.end_if_complete(run)


def _stop_batch(host: HostId, attempts: dict[TaskId, int]) -> StopBatch:
    tasks = (TaskAttempt(task_id=each, attempt=attempt) for each, attempt in attempts.items())
    return StopBatch(host=host, tasks=tuple(tasks))
