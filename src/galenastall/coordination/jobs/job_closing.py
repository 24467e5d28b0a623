"""Close tasks and end jobs of one shard."""

from galenastall.coordination.jobs.attempt_rules import phase_when_stopped
from galenastall.coordination.jobs.job_ends import ReportSource
from galenastall.coordination.jobs.job_run import JobRun
from galenastall.coordination.jobs.shard_tables import ShardTables
from galenastall.coordination.placement.task_reports import (
    ENDING_KINDS,
    ReportKind,
    next_attempt,
)
from galenastall.state.ids import make_task_id
from galenastall.state.work import TaskPhase


class JobClosing:
    """Applies the ends of tasks to their jobs."""

    def __init__(self, *, tables: ShardTables) -> None:
        """Operate on the shard's shared tables."""
        self._tables = tables

    def finish_gang_attempt(self, run: JobRun, now: float) -> None:
        """End or retry a gang's job once its attempt is over."""
        job_id, gangs = run.state.spec.job_id, self._tables.gangs
        if job_id not in gangs or run.unconfirmed or not gangs.is_over(job_id):
            return
        kinds = gangs.report_kinds_of(job_id)
        is_done = bool(kinds) and all(kind is ReportKind.DONE for kind in kinds.values())
        if not is_done and not run.is_stopped:
            cause = run.history() or "its gang ended early"
            is_bad = run.is_given_up or len(run.failures) >= self._tables.settings.max_failures
            if not is_bad and (run.state.spec.idempotent or not gangs.may_have_run(job_id)):
                self._tables.notes.add("gang_retry", (job_id,), cause)
                gangs.retry(run, now)
                return
            self.stop_run(run, TaskPhase.FAILED, cause, now)
        assigned_by_index, run.assigned_by_index = run.assigned_by_index, {}
        for index in list(run.state.open_indices()):
            kind = kinds.get(index, ReportKind.RETURNED)
            assigned = assigned_by_index.get(index)
            source = None
            if assigned is not None:
                source = ReportSource(
                    host=assigned.host,
                    task_id=make_task_id(job_id, index),
                    attempt=assigned.attempt,
                )
            self.close(run, index, phase_when_stopped(run, kind), source)

    def resolve(self, run: JobRun, unconfirmed: set[int], *, may_have_lost_ends: bool) -> None:
        """Settle tasks that are neither queued nor running: assign them again, or close them."""
        for index in sorted(unconfirmed):
            if not run.is_open(index):
                continue
            if may_have_lost_ends:
                self.close(run, index, TaskPhase.UNKNOWN)
            elif run.is_stopped:
                self.close(run, index, run.stop_phase)
            else:
                run.tries_by_index[index] = next_attempt(run.tries_by_index.get(index, 0))
                run.return_to_queue(index)

    def close(
        self, run: JobRun, index: int, phase: TaskPhase, source: ReportSource | None = None
    ) -> None:
        """Record the final end of a task, once."""
        if run.close(index, phase):
            self._tables.ends.add(run.state.spec.job_id, index, phase, source)

    def stop_run(self, run: JobRun, phase: TaskPhase, detail: str, now: float) -> None:
        """Stop a job: assign none of its tasks any more, and stop those that run."""
        run.is_stopped = True
        run.stop_phase = phase
        run.detail = run.detail or detail
        self._tables.dispatcher.discard(run)
        job_id = run.state.spec.job_id
        self._tables.gangs.cancel(job_id, now)
        for index, assigned in run.assigned_by_index.items():
            if assigned.kind not in ENDING_KINDS:
                task_id = make_task_id(job_id, index)
                self._tables.stop_task(assigned.host, task_id, assigned.attempt)

    def end_if_complete(self, run: JobRun) -> None:
        """End a job that has no tasks left."""
        if run.is_ending or run.assigned_by_index or run.unconfirmed:
            return
        if run.is_stopped:
            run.awaiting_record.clear()
        job_id = run.state.spec.job_id
        if run.is_stopped:
            if job_id in self._tables.gangs and not self._tables.gangs.is_over(job_id):
                return
            ranges = run.close_waiting(run.stop_phase)
            self._tables.ends.add_ranges(job_id, run.stop_phase, ranges)
        elif run.is_service or run.open_count > 0:
            return
        run.is_ending = True
        self._tables.dispatcher.discard(run)
        self._tables.gangs.forget(job_id)
        self._tables.ends.finish(run)
        self._tables.notes.add("job_ended", (job_id,), run.detail)
