"""Collect final ends of a shard's tasks until they are in the log, one record per window."""

from dataclasses import dataclass

from galenastall.coordination.jobs.job_run import JobRun
from galenastall.state.ids import HostId, JobId, TaskId
from galenastall.state.job_fold import CODES_BY_PHASE
from galenastall.state.job_records import (
    EndedRanges,
    IndexRange,
    JobEnded,
    JobVerdict,
    TasksEnded,
    ranges_of,
)
from galenastall.state.work import TaskPhase


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportSource:
    """The assignee that keeps an end until it is durable."""

    host: HostId
    task_id: TaskId
    attempt: int


class JobEnds:
    """Ends that are known here but not yet durable."""

    def __init__(self, *, shard: int) -> None:
        """Start with none."""
        self._shard = shard
        self._indices: dict[tuple[JobId, TaskPhase], list[int]] = {}
        self._ranges: dict[tuple[JobId, TaskPhase], list[IndexRange]] = {}
        self._pending: dict[JobId, dict[int, ReportSource]] = {}
        self._ended_runs: dict[JobId, JobRun] = {}
        self._ended_jobs: list[JobEnded] = []

    def add(self, job_id: JobId, index: int, phase: TaskPhase, source: ReportSource | None) -> None:
        """Add one task's end, and the assignee that reported it and waits for it to be durable."""
        self._indices.setdefault((job_id, phase), []).append(index)
        if source is not None:
            self._pending.setdefault(job_id, {})[index] = source

    def add_ranges(self, job_id: JobId, phase: TaskPhase, ranges: tuple[IndexRange, ...]) -> None:
        """Add the end of many tasks that no worker knows of."""
        if ranges:
            self._ranges.setdefault((job_id, phase), []).extend(ranges)

    def finish(self, run: JobRun) -> None:
        """Add a job's end; its record follows those of its tasks."""
        self._ended_runs[run.state.spec.job_id] = run

    def is_pending(self, job_id: JobId, index: int) -> bool:
        """Return whether the task's end is not durable yet."""
        return index in self._pending.get(job_id, ())

    def __bool__(self) -> bool:
        return bool(self._indices or self._ranges or self._ended_runs or self._ended_jobs)

    def take(self, at: float) -> tuple[TasksEnded | None, tuple[JobEnded, ...]]:
        """Take all that is to be logged; return it with `put_back` if the log refused it."""
        keys = sorted({*self._indices, *self._ranges})
        ends = tuple(
            EndedRanges(
                job_id=job_id,
                phase=phase,
                ranges=(
                    *ranges_of(self._indices.get((job_id, phase), [])),
                    *self._ranges.get((job_id, phase), ()),
                ),
            )
            for job_id, phase in keys
        )
        runs = self._ended_runs
        self._indices, self._ranges, self._ended_runs = {}, {}, {}
        jobs = (*self._ended_jobs, *(_job_ended(run, at) for run in runs.values()))
        self._ended_jobs = []
        return (TasksEnded(shard=self._shard, ends=ends) if ends else None), jobs

    def logged(self, record: TasksEnded) -> list[ReportSource]:
        """Process a record that became durable; return the reports that were waiting for it."""
        settled: list[ReportSource] = []
        for end in record.ends:
            pending = self._pending.get(end.job_id)
            if pending is None:
                continue
            for each in end.ranges:
                hits = [index for index in pending if each.start <= index < each.stop]
                settled.extend(pending.pop(index) for index in hits)
            if not pending:
                del self._pending[end.job_id]
        return settled

    def put_back(self, record: TasksEnded) -> None:
        """Take back a record that is not in the log, or may not be; it is logged again."""
        for end in record.ends:
            self._ranges.setdefault((end.job_id, end.phase), []).extend(end.ranges)

    def put_back_jobs(self, jobs: tuple[JobEnded, ...]) -> None:
        """Take back jobs' ends that are not in the log, or may not be."""
        self._ended_jobs.extend(jobs)


def _job_ended(run: JobRun, at: float) -> JobEnded:
    return JobEnded(job_id=run.state.spec.job_id, verdict=verdict_of(run), detail=run.detail, at=at)


def verdict_of(run: JobRun) -> JobVerdict:
    """Return the verdict on a job without open tasks."""
    codes = run.state.codes
    if run.state.cancelled:
        return JobVerdict.CANCELLED
    if CODES_BY_PHASE[TaskPhase.FAILED] in codes or run.stop_phase is TaskPhase.FAILED:
        return JobVerdict.FAILED
    if CODES_BY_PHASE[TaskPhase.UNKNOWN] in codes:
        return JobVerdict.UNKNOWN
    if run.is_stopped:
        return JobVerdict.REFUSED
    return JobVerdict.DONE
