"""Give out the tasks of one shard's jobs: the pure core of a job shard's owner.

Each waiting task goes to exactly one worker-owning entry host. Nothing that may be somewhere is
given out again: it is in doubt until a census of all entry hosts and workers says otherwise.
Times are wall seconds.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

from galenastall.coordination.jobs.assignees import AssigneeBook
from galenastall.coordination.jobs.attempt_rules import (
    NextMove,
    judge,
    phase_when_stopped,
    retry_delay_s,
)
from galenastall.coordination.jobs.gang_desk import GangDesk
from galenastall.coordination.jobs.job_ends import JobEnds, ToldBy
from galenastall.coordination.jobs.job_run import Assigned, JobRun, TaskFailure
from galenastall.coordination.jobs.recalls import find_recalls
from galenastall.coordination.jobs.shard_commands import (
    AssignAnswer,
    AssignBatch,
    CancelCounts,
    ShardDecision,
    ShardSettings,
    StopBatch,
)
from galenastall.coordination.jobs.shard_notes import ShardNotes
from galenastall.coordination.jobs.task_giver import TaskGiver
from galenastall.coordination.jobs.task_intents import TaskIntents
from galenastall.coordination.placement.placement_commands import CapacitySummary
from galenastall.coordination.placement.task_reports import (
    ENDING_KINDS,
    ReportKind,
    TaskAttempt,
    TaskReport,
    first_attempt,
    next_attempt,
)
from galenastall.state.ids import Epoch, HostId, JobId, TaskId, make_task_id, split_task_id
from galenastall.state.job_fold import JobState
from galenastall.state.job_records import EndedRanges, TasksGiven
from galenastall.state.work import TaskPhase, Workload


class JobShard:
    """One shard under one epoch."""

    def __init__(
        self,
        *,
        shard: int,
        epoch: Epoch,
        is_ended: Callable[[JobId], bool],
        settings: ShardSettings | None = None,
    ) -> None:
        """Start without jobs.

        `epoch` is that of the shard's ownership; `is_ended` says whether the log holds the end of
        a job that is not live.
        """
        self.shard = shard
        self.epoch = epoch
        self.settings = settings or ShardSettings()
        self.assignees = AssigneeBook(backlog=self.settings.backlog)
        self.ends = JobEnds(shard=shard)
        self.intents = TaskIntents(shard=shard)
        self.gangs = GangDesk(
            settings=self.settings, assignees=self.assignees, intents=self.intents
        )
        self.runs_by_id: dict[JobId, JobRun] = {}
        self.duplicates = 0
        """Tasks that were found at two workers; each is an alarm."""
        self.doubts = 0
        """Rises with each new doubt: a census that began before proves nothing about it."""
        self._is_ended = is_ended
        self._stops: dict[HostId, dict[TaskId, int]] = {}
        self._notes = ShardNotes()
        self._giver = TaskGiver(
            runs_by_id=self.runs_by_id,
            assignees=self.assignees,
            intents=self.intents,
            notes=self._notes,
        )
        self._recall_at = 0.0
        self._doubtful_jobs: set[JobId] = set()

    @property
    def needs_census(self) -> bool:
        """Whether some task is in doubt."""
        return bool(self._doubtful_jobs)

    def add_job(self, state: JobState, *, is_fresh: bool, now: float) -> None:
        """Take on a job; unless it is fresh, all its open tasks are in doubt."""
        job_id = state.spec.job_id
        if job_id in self.runs_by_id or state.end is not None:
            return
        run = JobRun(state=state.copy(), base_attempt=first_attempt(self.epoch))
        self.runs_by_id[job_id] = run
        if state.spec.workload is Workload.GANG:
            self.gangs.add(run)
        if not is_fresh:
            run.doubtful = {index for index in state.open_indices() if state.may_have_run(index)}
            if run.doubtful:
                self._doubtful_jobs.add(job_id)
                self.doubts += 1
        if state.cancelled:
            self._stop_run(run, TaskPhase.CANCELLED, "cancelled", now)
        self._giver.requeue(run)
        self._maybe_end(run)

    def on_tasks_ended(self, end: EndedRanges) -> None:
        """Take in ends that the log holds, which an earlier owner of the shard may have written."""
        run = self.runs_by_id.get(end.job_id)
        if run is None or run.is_service:
            return
        for each in end.ranges:
            for index in range(each.start, min(each.stop, run.state.spec.tasks)):
                if not run.close(index, end.phase):
                    continue
                run.doubtful.discard(index)
                run.delayed.discard(index)
                assigned = run.assigned_by_index.pop(index, None)
                if assigned is not None:
                    task_id = make_task_id(end.job_id, index)
                    self._stop_task(assigned.host, task_id, assigned.attempt)
        self._maybe_end(run)

    def cancel(self, job_id: JobId, now: float) -> CancelCounts | None:
        """Stop a job; the cost doesn't grow with what waits. None if it isn't live here."""
        run = self.runs_by_id.get(job_id)
        if run is None:
            return None
        closed = 0 if run.is_service else run.state.spec.tasks - run.open_count
        in_hand = len(run.assigned_by_index) + len(run.doubtful)
        counts = CancelCounts(
            never_started=run.state.spec.tasks - closed - in_hand,
            stopping=in_hand,
            already_done=closed,
        )
        run.state.cancelled = True
        if not run.is_stopped:
            self._notes.add("cancelled", (job_id,), "the caller cancelled it")
            self._stop_run(run, TaskPhase.CANCELLED, "cancelled", now)
            self._maybe_end(run)
        return counts

    def resolve_doubts(
        self, now: float, *, may_have_lost_ends: Callable[[JobState], bool] = lambda _job: False
    ) -> int:
        """After a complete census: give out again what nobody has; return how many.

        `may_have_lost_ends` says whether a worker is gone that may have run tasks of a job to their
        end; then a task that must not run twice is closed as unknown instead.
        """
        count = 0
        doubtful_jobs, self._doubtful_jobs = self._doubtful_jobs, set()
        for job_id in sorted(doubtful_jobs):
            run = self.runs_by_id.get(job_id)
            if run is None:
                continue
            doubtful, run.doubtful = run.doubtful, set()
            count += len(doubtful)
            self._notes.add("resolved", (job_id,), f"{len(doubtful)} tasks in doubt are nowhere")
            if job_id in self.gangs:
                self.gangs.resolve(run, doubtful, now)
                self._after_gang(run, now)
            else:
                is_lost = run.is_once and may_have_lost_ends(run.state)
                self._resolve(run, doubtful, may_have_lost_ends=is_lost)
            self._giver.requeue(run)
            self._maybe_end(run)
        return count

    def on_assignee_gone(self, host: HostId) -> int:
        """Put all tasks of an entry host that left the roster in doubt; return how many."""
        count = 0
        self.assignees.forget(host)
        for run in self.runs_by_id.values():
            gone = [i for i, each in run.assigned_by_index.items() if each.host == host]
            for index in gone:
                self._doubt(run, index)
            if gone:
                self._notes.add("in_doubt", (run.state.spec.job_id, host), "its assignee is gone")
            count += len(gone)
        return count

    def decide(
        self, now: float, *, summaries: Mapping[HostId, CapacitySummary], limit: int
    ) -> ShardDecision:
        """Return what to send now, with at most `limit` tasks to assign."""
        self.assignees.update(summaries)
        self._giver.wake_delayed(now)
        self.gangs.decide(now)
        batches = self._giver.assign(now, limit)
        recalls: list[StopBatch] = []
        if now >= self._recall_at:
            self._recall_at = now + self.settings.recall_every_s
            recalls = find_recalls(self.runs_by_id.values(), self.assignees, self.settings, now)
        gang_calls, gang_stops = self.gangs.take_calls()
        stops, self._stops = self._stops, {}
        return ShardDecision(
            assigns=tuple(batches),
            stops=(
                *(_stop_batch(host, attempts) for host, attempts in stops.items()),
                *gang_stops,
            ),
            recalls=tuple(recalls),
            gang_calls=gang_calls,
            notes=self._notes.take(),
        )

    def on_assign_answer(self, batch: AssignBatch, answer: AssignAnswer, now: float) -> None:
        """Take in what became of an assignment; an unknown one is to be sent again."""
        if answer is not AssignAnswer.REFUSED:
            return
        self.assignees.avoid(batch.host, now)
        self.on_tasks_refused(batch, {task.task_id for task in batch.tasks}, now)

    def on_tasks_refused(self, batch: AssignBatch, refused: Collection[TaskId], now: float) -> None:
        """Take back the tasks of an assignment that the assignee did not take."""
        for task in batch.tasks:
            if task.task_id not in refused:
                continue
            report = TaskReport(
                task_id=task.task_id, attempt=task.attempt, kind=ReportKind.RETURNED
            )
            self._on_report(batch.host, report, now)

    def on_reports(
        self, host: HostId, reports: Iterable[TaskReport], now: float
    ) -> tuple[TaskReport, ...]:
        """Take in an assignee's reports; return those that it need not keep or repeat."""
        return tuple(report for report in reports if self._on_report(host, report, now))

    def on_hold_answer(
        self, job_id: JobId, host: HostId, key: str, *, is_held: bool, now: float
    ) -> None:
        """Take in an owner's answer to a gang's hold."""
        self.gangs.on_hold(job_id, host, key, is_held=is_held, now=now)

    def on_gang_start_answer(
        self, job_id: JobId, host: HostId, key: str, *, is_started: bool, now: float
    ) -> None:
        """Take in an owner's word on the start of its part of a gang."""
        self.gangs.on_start(job_id, host, key, is_started=is_started, now=now)
        run = self.runs_by_id.get(job_id)
        if run is not None:
            self._after_gang(run, now)
            self._maybe_end(run)

    def forget(self, job_id: JobId) -> None:
        """Drop a job whose end is in the log."""
        run = self.runs_by_id.pop(job_id, None)
        self.gangs.forget(job_id)
        self._doubtful_jobs.discard(job_id)
        if run is not None:
            self._giver.discard(run)

    def _on_report(self, host: HostId, report: TaskReport, now: float) -> bool:
        job_id, index = split_task_id(report.task_id)
        run = self.runs_by_id.get(job_id)
        if run is None:
            return self._is_ended(job_id) and self._reject(host, report)
        if not 0 <= index < run.state.spec.tasks:
            return self._reject(host, report)
        run.need_mb = max(run.need_mb, report.need_mb)
        if not run.is_open(index):
            return self._on_closed(run, index, host, report)
        assigned = run.assigned_by_index.get(index)
        is_ending = report.kind in ENDING_KINDS
        if assigned is None and is_ending and index not in run.doubtful:
            return True
        if assigned is None and is_ending and self._leaves_doubt(run, index, report):
            return True
        if assigned is not None and report.attempt < assigned.attempt:
            return self._reject(host, report)
        if assigned is not None and _is_second_copy(assigned, host, report):
            self.duplicates += 1
            self._notes.add("duplicate", (report.task_id, host), f"also at {assigned.worker_id}")
            return self._reject(host, report)
        if assigned is not None and _is_hearsay(assigned, host, report):
            return True
        if report.kind is ReportKind.ORPHANED:
            self._doubt(run, index)
            return True
        self._merge(run, index, host, report, now)
        if job_id in self.gangs:
            self._on_gang_report(run, index, report, now)
        elif is_ending:
            self._end_attempt(run, index, host, report, now)
        if run.is_stopped and not is_ending:
            self._stop_task(host, report.task_id, report.attempt)
        self._maybe_end(run)
        return not is_ending or self._is_settled(run, index)

    def _leaves_doubt(self, run: JobRun, index: int, report: TaskReport) -> bool:
        """Whether a task in doubt stays so after the end of an attempt, which is remembered.

        It would be given out again; but whoever had it may have let it wait as a later attempt, or
        an earlier owner of the shard may have given it to another since. Only a census tells.
        """
        if run.state.spec.job_id in self.gangs:
            return False
        if judge(run, index, report, self.settings).move not in (NextMove.OFFER, NextMove.RETRY):
            return False
        tries = report.attempt - run.base_attempt
        run.tries_by_index[index] = max(run.tries_by_index.get(index, 0), tries)
        if report.kind is ReportKind.FAILED:
            run.add_failure(
                TaskFailure(index=index, worker_id=report.worker_id, detail=report.detail)
            )
        return True

    def _doubt(self, run: JobRun, index: int) -> None:
        run.assigned_by_index.pop(index, None)
        if index in run.doubtful:
            return
        run.doubtful.add(index)
        self._doubtful_jobs.add(run.state.spec.job_id)
        self.doubts += 1

    def _merge(self, run: JobRun, index: int, host: HostId, report: TaskReport, now: float) -> None:
        run.doubtful.discard(index)
        known = run.assigned_by_index.get(index)
        is_gang = run.state.spec.workload is Workload.GANG
        was_queued = known is not None and known.kind is ReportKind.QUEUED and not is_gang
        if known is not None and was_queued and report.kind is not ReportKind.QUEUED:
            self.assignees.unqueued(known.host)
        if report.kind is ReportKind.RUNNING and (
            known is None or known.kind is not ReportKind.RUNNING
        ):
            self._notes.add_started(report.task_id, report.worker_id, host)
        run.assigned_by_index[index] = Assigned(
            host=host,
            attempt=report.attempt,
            since=now if known is None else known.since,
            kind=report.kind,
            worker_id=report.worker_id,
        )
        tries = report.attempt - run.base_attempt
        run.tries_by_index[index] = max(run.tries_by_index.get(index, 0), tries)

    def _reject(self, host: HostId, report: TaskReport) -> bool:
        if report.kind not in ENDING_KINDS:
            self._stop_task(host, report.task_id, report.attempt)
        return True

    def _on_closed(self, run: JobRun, index: int, host: HostId, report: TaskReport) -> bool:
        if report.kind is ReportKind.DONE:
            self._close(run, index, TaskPhase.DONE, _told_by(host, report))
        if report.kind not in ENDING_KINDS:
            return self._reject(host, report)
        return self._is_settled(run, index)

    def _is_settled(self, run: JobRun, index: int) -> bool:
        job_id = run.state.spec.job_id
        assigned = run.assigned_by_index.get(index)
        is_kept = assigned is not None and assigned.kind in ENDING_KINDS
        return not is_kept and not self.ends.is_pending(job_id, index)

    def _end_attempt(
        self, run: JobRun, index: int, host: HostId, report: TaskReport, now: float
    ) -> None:
        del run.assigned_by_index[index]
        run.tries_by_index[index] = next_attempt(run.tries_by_index.get(index, 0))
        if report.kind is ReportKind.FAILED:
            run.add_failure(
                TaskFailure(index=index, worker_id=report.worker_id, detail=report.detail)
            )
        verdict = judge(run, index, report, self.settings)
        if verdict.move is NextMove.OFFER:
            self._giver.offer_again(run, index)
        elif verdict.move is NextMove.RETRY:
            delay = retry_delay_s(run, index, self.settings)
            self._giver.delay(run, index, now + delay)
            self._notes.add("retry", (report.task_id,), f"{report.kind.value}: {report.detail}")
        else:
            if verdict.move is NextMove.STOP_JOB:
                self._stop_run(run, verdict.phase, run.history() or report.detail, now)
            self._close(run, index, verdict.phase, _told_by(host, report))
            self._notes.add_ended(report.task_id, report.worker_id, verdict.phase)

    def _on_gang_report(self, run: JobRun, index: int, report: TaskReport, now: float) -> None:
        run.is_given_up = run.is_given_up or report.give_up
        if report.kind is ReportKind.FAILED:
            run.add_failure(
                TaskFailure(index=index, worker_id=report.worker_id, detail=report.detail)
            )
        self.gangs.on_report(run.state.spec.job_id, index, report, now)
        self._after_gang(run, now)

    def _after_gang(self, run: JobRun, now: float) -> None:
        job_id = run.state.spec.job_id
        if job_id not in self.gangs or run.doubtful or not self.gangs.is_over(job_id):
            return
        kinds = self.gangs.kinds_of(job_id)
        is_done = bool(kinds) and all(kind is ReportKind.DONE for kind in kinds.values())
        if not is_done and not run.is_stopped:
            is_bad = run.is_given_up or len(run.failures) >= self.settings.max_failures
            if not is_bad and (run.state.spec.idempotent or not self.gangs.may_have_run(job_id)):
                self._notes.add("gang_retry", (job_id,), run.history() or "its gang broke off")
                self.gangs.retry(run, now)
                return
            self._stop_run(run, TaskPhase.FAILED, run.history() or "its gang broke off", now)
        assigned_by_index, run.assigned_by_index = run.assigned_by_index, {}
        for index in list(run.state.open_indices()):
            kind = kinds.get(index, ReportKind.RETURNED)
            assigned = assigned_by_index.get(index)
            told_by = None
            if assigned is not None:
                told_by = ToldBy(
                    host=assigned.host,
                    task_id=make_task_id(job_id, index),
                    attempt=assigned.attempt,
                )
            self._close(run, index, phase_when_stopped(run, kind), told_by)

    def _resolve(self, run: JobRun, doubtful: set[int], *, may_have_lost_ends: bool) -> None:
        for index in sorted(doubtful):
            if not run.is_open(index):
                continue
            if may_have_lost_ends:
                self._close(run, index, TaskPhase.UNKNOWN)
            elif run.is_stopped:
                self._close(run, index, run.stop_phase)
            else:
                run.tries_by_index[index] = next_attempt(run.tries_by_index.get(index, 0))
                run.give_back(index)

    def _close(
        self, run: JobRun, index: int, phase: TaskPhase, told_by: ToldBy | None = None
    ) -> None:
        if run.close(index, phase):
            self.ends.add(run.state.spec.job_id, index, phase, told_by)

    def _stop_run(self, run: JobRun, phase: TaskPhase, detail: str, now: float) -> None:
        run.is_stopped = True
        run.stop_phase = phase
        run.detail = run.detail or detail
        self._giver.discard(run)
        job_id = run.state.spec.job_id
        self.gangs.cancel(job_id, now)
        for index, assigned in run.assigned_by_index.items():
            if assigned.kind not in ENDING_KINDS:
                task_id = make_task_id(job_id, index)
                self._stop_task(assigned.host, task_id, assigned.attempt)

    def _stop_task(self, host: HostId, task_id: TaskId, attempt: int) -> None:
        self._stops.setdefault(host, {})[task_id] = attempt

    def on_given(self, record: TasksGiven, *, is_logged: bool) -> None:
        """Take in that tasks may be given out, or that their record is not in the log."""
        for given in record.given:
            run = self.runs_by_id.get(given.job_id)
            if run is None:
                continue
            if is_logged:
                run.state.give(given.ranges)
            for each in given.ranges:
                for index in range(each.start, each.stop):
                    if index in run.giving:
                        run.giving.discard(index)
                        run.give_back(index)
            self._giver.requeue(run)
            self._maybe_end(run)

    def _maybe_end(self, run: JobRun) -> None:
        if run.is_ending or run.assigned_by_index or run.doubtful:
            return
        if run.is_stopped:
            run.giving.clear()
        job_id = run.state.spec.job_id
        if run.is_stopped:
            if job_id in self.gangs and not self.gangs.is_over(job_id):
                return
            ranges = run.close_waiting(run.stop_phase)
            self.ends.add_ranges(job_id, run.stop_phase, ranges)
        elif run.is_service or run.open_count > 0:
            return
        run.is_ending = True
        self._giver.discard(run)
        self.gangs.forget(job_id)
        self.ends.finish(run)
        self._notes.add("job_ended", (job_id,), run.detail)


def _stop_batch(host: HostId, attempts: dict[TaskId, int]) -> StopBatch:
    tasks = (TaskAttempt(task_id=each, attempt=attempt) for each, attempt in attempts.items())
    return StopBatch(host=host, tasks=tuple(tasks))


def _told_by(host: HostId, report: TaskReport) -> ToldBy:
    return ToldBy(host=host, task_id=report.task_id, attempt=report.attempt)


def _is_second_copy(assigned: Assigned, host: HostId, report: TaskReport) -> bool:
    if report.attempt > assigned.attempt or report.kind in ENDING_KINDS:
        return False
    if report.kind is ReportKind.QUEUED:
        return assigned.host != host
    is_placed = assigned.kind in (ReportKind.RUNNING, ReportKind.UNKNOWN)
    return is_placed and assigned.host != host and assigned.worker_id != report.worker_id


def _is_hearsay(assigned: Assigned, host: HostId, report: TaskReport) -> bool:
    """Return whether this host speaks of a task that another host has by now."""
    if assigned.host == host or report.attempt > assigned.attempt:
        return False
    return report.kind not in (ReportKind.RUNNING, ReportKind.DONE, ReportKind.FAILED)
