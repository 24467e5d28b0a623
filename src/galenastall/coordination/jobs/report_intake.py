"""Process what assignees report of one shard's tasks."""

from collections.abc import Callable

from galenastall.coordination.jobs.attempt_rules import (
    NextAction,
    decide_next_action,
    retry_delay_s,
)
from galenastall.coordination.jobs.job_closing import JobClosing
from galenastall.coordination.jobs.job_ends import ReportSource
from galenastall.coordination.jobs.job_run import Assigned, JobRun, TaskFailure
from galenastall.coordination.jobs.shard_tables import ShardTables
from galenastall.coordination.placement.task_reports import (
    ENDING_KINDS,
    ReportKind,
    TaskReport,
    next_attempt,
)
from galenastall.state.ids import HostId, JobId, split_task_id
from galenastall.state.work import TaskPhase, Workload


class ReportIntake:
    """Processes reports, one at a time."""

    def __init__(
        self, *, tables: ShardTables, closing: JobClosing, is_ended: Callable[[JobId], bool]
    ) -> None:
        """Operate on the shared tables; `is_ended` returns whether the log holds a job's end."""
        self._tables = tables
        self._closing = closing
        self._is_ended = is_ended

    def take(self, host: HostId, report: TaskReport, now: float) -> bool:
        """Process a report; return whether the assignee need not keep or repeat it."""
        job_id, index = split_task_id(report.task_id)
        run = self._tables.runs_by_id.get(job_id)
        if run is None:
            return self._is_ended(job_id) and self._reject(host, report)
        if not 0 <= index < run.state.spec.tasks:
            return self._reject(host, report)
        run.need_mb = max(run.need_mb, report.need_mb)
        if not run.is_open(index):
            return self._on_closed(run, index, host, report)
        assigned = run.assigned_by_index.get(index)
        is_ending = report.kind in ENDING_KINDS
        if assigned is None and is_ending and index not in run.unconfirmed:
            return True
        if assigned is None and is_ending and self._stays_unconfirmed(run, index, report):
            return True
        if assigned is not None and report.attempt < assigned.attempt:
            return self._reject(host, report)
        if assigned is not None and _is_duplicate(assigned, host, report):
            self._tables.duplicates += 1
            self._tables.notes.add(
                "duplicate", (report.task_id, host), f"also at {assigned.worker_id}"
            )
            return self._reject(host, report)
        if assigned is not None and _is_from_former_assignee(assigned, host, report):
            return True
        if report.kind is ReportKind.ORPHANED:
            self._tables.mark_unconfirmed(run, index)
            return True
        self._merge(run, index, host, report, now)
        if job_id in self._tables.gangs:
            self._on_gang_report(run, index, report, now)
        elif is_ending:
            self._end_attempt(run, index, host, report, now)
        if run.is_stopped and not is_ending:
            self._tables.stop_task(host, report.task_id, report.attempt)
        self._closing.end_if_complete(run)
        return not is_ending or self.is_settled(run, index)

    def _stays_unconfirmed(self, run: JobRun, index: int, report: TaskReport) -> bool:
        """Return whether a task stays unconfirmed after the end of an attempt, which is recorded.

        It would be assigned again; but its assignee may have queued it as a later attempt,
        or an earlier owner of the shard may have assigned it to another since. Only a
        census can tell.
        """
        if run.state.spec.job_id in self._tables.gangs:
            return False
        if decide_next_action(run, index, report, self._tables.settings).action not in (
            NextAction.OFFER,
            NextAction.RETRY,
        ):
            return False
        tries = report.attempt - run.base_attempt
        run.tries_by_index[index] = max(run.tries_by_index.get(index, 0), tries)
        if report.kind is ReportKind.FAILED:
            run.add_failure(
                TaskFailure(index=index, worker_id=report.worker_id, detail=report.detail)
            )
        return True

    def _merge(self, run: JobRun, index: int, host: HostId, report: TaskReport, now: float) -> None:
        run.unconfirmed.discard(index)
        known = run.assigned_by_index.get(index)
        is_gang = run.state.spec.workload is Workload.GANG
        was_queued = known is not None and known.kind is ReportKind.QUEUED and not is_gang
        if known is not None and was_queued and report.kind is not ReportKind.QUEUED:
            self._tables.assignees.unqueued(known.host)
        if report.kind is ReportKind.RUNNING and (
            known is None or known.kind is not ReportKind.RUNNING
        ):
            self._tables.notes.add_started(report.task_id, report.worker_id, host)
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
            self._tables.stop_task(host, report.task_id, report.attempt)
        return True

    def _on_closed(self, run: JobRun, index: int, host: HostId, report: TaskReport) -> bool:
        if report.kind is ReportKind.DONE:
            self._closing.close(run, index, TaskPhase.DONE, _source_of(host, report))
        if report.kind not in ENDING_KINDS:
            return self._reject(host, report)
        return self.is_settled(run, index)

    def is_settled(self, run: JobRun, index: int) -> bool:
        """Whether nothing about a task's end waits for the log."""
        job_id = run.state.spec.job_id
        assigned = run.assigned_by_index.get(index)
        is_kept = assigned is not None and assigned.kind in ENDING_KINDS
        return not is_kept and not self._tables.ends.is_pending(job_id, index)

    def _end_attempt(
        self, run: JobRun, index: int, host: HostId, report: TaskReport, now: float
    ) -> None:
        assigned = run.assigned_by_index.pop(index)
        run.tries_by_index[index] = next_attempt(run.tries_by_index.get(index, 0))
        if report.kind is ReportKind.FAILED:
            run.add_failure(
                TaskFailure(index=index, worker_id=report.worker_id, detail=report.detail)
            )
        elif report.kind is ReportKind.LOST:
            is_soon = now - assigned.since < self._tables.settings.max_retry_s
            run.add_loss(index, is_soon=is_soon)
        verdict = decide_next_action(run, index, report, self._tables.settings)
        if verdict.action is NextAction.OFFER:
            self._tables.dispatcher.requeue_task(run, index)
        elif verdict.action is NextAction.RETRY:
            delay = retry_delay_s(run, index, self._tables.settings)
            self._tables.dispatcher.delay(run, index, now + delay)
            self._tables.notes.add(
                "retry", (report.task_id,), f"{report.kind.value}: {report.detail}"
            )
        else:
            if verdict.action is NextAction.STOP_JOB:
                self._closing.stop_run(run, verdict.phase, run.history() or report.detail, now)
            self._closing.close(run, index, verdict.phase, _source_of(host, report))
            self._tables.notes.add_ended(report.task_id, report.worker_id, verdict.phase)

    def _on_gang_report(self, run: JobRun, index: int, report: TaskReport, now: float) -> None:
        run.is_given_up = run.is_given_up or report.give_up
        if report.kind is ReportKind.FAILED:
            run.add_failure(
                TaskFailure(index=index, worker_id=report.worker_id, detail=report.detail)
            )
        self._tables.gangs.on_report(run.state.spec.job_id, index, report, now)
        self._closing.finish_gang_attempt(run, now)


def _source_of(host: HostId, report: TaskReport) -> ReportSource:
    return ReportSource(host=host, task_id=report.task_id, attempt=report.attempt)


def _is_duplicate(assigned: Assigned, host: HostId, report: TaskReport) -> bool:
    if report.attempt > assigned.attempt or report.kind in ENDING_KINDS:
        return False
    if report.kind is ReportKind.QUEUED:
        return assigned.host != host
    is_placed = assigned.kind in (ReportKind.RUNNING, ReportKind.UNKNOWN)
    return is_placed and assigned.host != host and assigned.worker_id != report.worker_id


def _is_from_former_assignee(assigned: Assigned, host: HostId, report: TaskReport) -> bool:
    """Return whether this host reports a task that another host has by now."""
    if assigned.host == host or report.attempt > assigned.attempt:
        return False
    return report.kind not in (ReportKind.RUNNING, ReportKind.DONE, ReportKind.FAILED)
