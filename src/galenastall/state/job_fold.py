"""Fold of the jobs of one data centre's stream.

Task ends merge by precedence, so folding a compacted record and the tail gives the same state as
the full history, whatever was trimmed between them: an end that precedes its job's compacted record
is kept until that record, and an ended job is not revived by a compacted record appended late.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from galenastall.state.ids import HostId, JobId, Offset
from galenastall.state.job_records import (
    AssignedRanges,
    EndedRanges,
    IndexRange,
    JobAccepted,
    JobCancelled,
    JobCompacted,
    JobEnded,
    JobVerdict,
    TasksAssigned,
    TasksEnded,
    WorkersChanged,
)
from galenastall.state.records import LoggedRecord
from galenastall.state.work import JobSpec, TaskPhase, Workload

OPEN: Final = 0
CODES_BY_PHASE: Final = {
    TaskPhase.CANCELLED: 1,
    TaskPhase.UNKNOWN: 2,
    TaskPhase.FAILED: 3,
    TaskPhase.DONE: 4,
}
"""A higher code wins: a task recorded as unknown and later as done is done."""
PHASES_BY_CODE: Final = {code: phase for phase, code in CODES_BY_PHASE.items()}
MAX_ENDED_JOBS: Final = 20_000
"""Ended jobs kept for callers' queries: a day and a half at 12,000 jobs a day."""
MAX_ORPHANS: Final = 20_000
"""Jobs with ends that precede their compacted record; older ones belong to ended jobs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JobEnd:
    """How and when a job ended."""

    verdict: JobVerdict
    detail: str
    at: float


class JobState:
    """State of one job according to the log, one byte per task."""

    __slots__ = (
        "accepted_at",
        "cancelled",
        "codes",
        "end",
        "given",
        "renewed_wall",
        "spec",
        "was_held",
    )

    def __init__(
        self, *, spec: JobSpec, accepted_at: Offset | None, was_held: bool = False
    ) -> None:
        """Start with all tasks open; `accepted_at` is None until the log holds the job.

        `was_held`: tasks may have started before the log held it.
        """
        self.spec = spec
        self.was_held = was_held
        self.renewed_wall = spec.submitted_at
        """Wall time in seconds of the newest record that holds the spec."""
        self.accepted_at = accepted_at
        self.cancelled = False
        self.end: JobEnd | None = None
        is_service = spec.workload is Workload.SERVICE
        self.codes = bytearray(0 if is_service else spec.tasks)
        self.given = bytearray(0 if is_service or spec.idempotent else spec.tasks)
        """For tasks that must not run twice, by index: 1 if the task may have been assigned."""

    def copy(self) -> "JobState":
        """Return a copy to which changes not yet in the log can be applied."""
        other = JobState(spec=self.spec, accepted_at=self.accepted_at, was_held=self.was_held)
        other.cancelled = self.cancelled
        other.codes[:] = self.codes
        other.given[:] = self.given
        return other

    def merge(self, phase: TaskPhase, ranges: tuple[IndexRange, ...]) -> None:
        """Mark tasks ended; a higher code wins, indices out of range are ignored."""
        code = CODES_BY_PHASE[phase]
        for each in ranges:
            for index in range(max(each.start, 0), min(each.stop, len(self.codes))):
                self.codes[index] = max(self.codes[index], code)

    def mark_assigned(self, ranges: tuple[IndexRange, ...]) -> None:
        """Mark tasks as assigned; has no effect for tasks that may run twice."""
        for each in ranges:
            for index in range(max(each.start, 0), min(each.stop, len(self.given))):
                self.given[index] = 1

    def may_have_run(self, index: int) -> bool:
        """Return whether a task may ever have been assigned, according to the log."""
        return not self.given or self.given[index] == 1

    def phase_of(self, index: int) -> TaskPhase | None:
        """Return how the task ended, or None while it is open."""
        if index >= len(self.codes):
            return None
        return PHASES_BY_CODE.get(self.codes[index])

    def open_indices(self) -> Iterator[int]:
        """Yield the tasks without a final end; for a service, all replicas."""
        if self.spec.workload is Workload.SERVICE:
            yield from range(self.spec.tasks)
            return
        index = self.codes.find(OPEN)
        while index >= 0:
            yield index
            index = self.codes.find(OPEN, index + 1)

    def count(self, phase: TaskPhase) -> int:
        """Return how many tasks ended in this phase."""
        return self.codes.count(CODES_BY_PHASE[phase])

    def ends(self) -> tuple[EndedRanges, ...]:
        """Return the ended tasks as ranges by phase."""
        found: dict[int, list[IndexRange]] = {}
        start = 0
        for index in range(1, len(self.codes) + 1):
            if index < len(self.codes) and self.codes[index] == self.codes[start]:
                continue
            if self.codes[start] != OPEN:
                ranges = found.setdefault(self.codes[start], [])
                ranges.append(IndexRange(start=start, stop=index))
            start = index
        return tuple(
            EndedRanges(
                job_id=self.spec.job_id, phase=PHASES_BY_CODE[code], ranges=tuple(found[code])
            )
            for code in sorted(found)
        )

    def compacted(self, *, at: float) -> JobCompacted:
        """Return the record that replaces all earlier ones of this live job; `at` is wall time."""
        return JobCompacted(spec=self.spec, at=at, cancelled=self.cancelled, ends=self.ends())


class JobListener:
    """Callbacks of a fold; subclasses override those they need."""

    def on_job(self, job: JobState) -> None:
        """Handle a job that the log now holds."""

    def on_tasks_ended(self, end: EndedRanges) -> None:
        """Handle ends of a live job's tasks that the log now holds."""

    def on_cancelled(self, job: JobState) -> None:
        """Handle a cancellation."""

    def on_ended(self, job: JobState) -> None:
        """Handle a job's end."""


class JobFold:
    """All live jobs of a data centre and the latest ended ones."""

    def __init__(self, *, max_ended: int = MAX_ENDED_JOBS) -> None:
        """Start empty; `max_ended` bounds how many ended jobs are kept."""
        self.live_by_id: dict[JobId, JobState] = {}
        self.ended_by_id: OrderedDict[JobId, JobState] = OrderedDict()
        self.renewed_at_by_id: dict[JobId, Offset] = {}
        """Offset of the newest record that holds each live job's spec."""
        self._max_ended = max_ended
        self._ended_ids: OrderedDict[JobId, JobEnded] = OrderedDict()
        self.gone_at_by_worker: dict[HostId, float | None] = {}
        """Every worker ever listed, with the wall time at which it was gone, or None."""
        self._orphans: OrderedDict[JobId, list[EndedRanges | AssignedRanges]] = OrderedDict()
        self._orphan_cancels: OrderedDict[JobId, None] = OrderedDict()
        self._listeners: list[JobListener] = []
        self._apply_by_type: dict[type[Any], Callable[[Any, Offset], None]] = {
            JobAccepted: self._accept,
            JobCompacted: self._apply_compacted,
            JobCancelled: self._cancel,
            TasksEnded: self._end_tasks,
            TasksAssigned: self._assign_tasks,
            WorkersChanged: self._change_workers,
            JobEnded: self._end,
        }

    def listen(self, listener: JobListener) -> None:
        """Notify `listener` of every further change."""
        self._listeners.append(listener)

    def is_ended(self, job_id: JobId) -> bool:
        """Return whether the job's end was read."""
        return job_id in self._ended_ids

    def get(self, job_id: JobId) -> JobState | None:
        """Return the job, live or ended."""
        return self.live_by_id.get(job_id) or self.ended_by_id.get(job_id)

    def apply(self, logged: LoggedRecord) -> None:
        """Apply the next record; unrelated record types are ignored."""
        handler = self._apply_by_type.get(type(logged.record))
        if handler is not None:
            handler(logged.record, logged.offset)

    def due_for_compaction(self, *, before: Offset) -> list[JobState]:
        """Return live jobs whose newest spec record is older than `before`, oldest first."""
        due = [(at, job) for job, at in self.renewed_at_by_id.items() if at < before]
        return [self.live_by_id[job] for _, job in sorted(due)]

    def _accept(self, record: JobAccepted, offset: Offset) -> None:
        job_id = record.spec.job_id
        if job_id in self._ended_ids or job_id in self.live_by_id:
            return
        state = JobState(spec=record.spec, accepted_at=offset, was_held=record.was_held)
        self._add(state, offset)

    def _apply_compacted(self, record: JobCompacted, offset: Offset) -> None:
        job_id = record.spec.job_id
        if job_id in self._ended_ids:
            return
        job = self.live_by_id.get(job_id)
        is_new = job is None
        if job is None:
            job = JobState(spec=record.spec, accepted_at=offset, was_held=True)
        job.renewed_wall = max(job.renewed_wall, record.at)
        job.cancelled = job.cancelled or record.cancelled
        for end in record.ends:
            job.merge(end.phase, end.ranges)
        job.mark_assigned(record.given)
        if is_new:
            self._add(job, offset)
            return
        self.renewed_at_by_id[job_id] = offset

    def _add(self, job: JobState, offset: Offset) -> None:
        job_id = job.spec.job_id
        self.live_by_id[job_id] = job
        self.renewed_at_by_id[job_id] = offset
        for orphan in self._orphans.pop(job_id, []):
            if isinstance(orphan, EndedRanges):
                job.merge(orphan.phase, orphan.ranges)
            else:
                job.mark_assigned(orphan.ranges)
        if job_id in self._orphan_cancels:
            del self._orphan_cancels[job_id]
            job.cancelled = True
        for listener in self._listeners:
            listener.on_job(job)

    def _cancel(self, record: JobCancelled, _offset: Offset) -> None:
        job = self.live_by_id.get(record.job_id)
        if job is None:
            if record.job_id not in self._ended_ids:
                self._orphan_cancels[record.job_id] = None
                _evict_oldest(self._orphan_cancels, MAX_ORPHANS)
            return
        if job.cancelled:
            return
        job.cancelled = True
        for listener in self._listeners:
            listener.on_cancelled(job)

    def _end_tasks(self, record: TasksEnded, _offset: Offset) -> None:
        for end in record.ends:
            job = self.live_by_id.get(end.job_id)
            if job is not None:
                job.merge(end.phase, end.ranges)
                for listener in self._listeners:
                    listener.on_tasks_ended(end)
            elif end.job_id not in self._ended_ids:
                self._orphans.setdefault(end.job_id, []).append(end)
        _evict_oldest(self._orphans, MAX_ORPHANS)

    def _assign_tasks(self, record: TasksAssigned, _offset: Offset) -> None:
        for given in record.given:
            job = self.live_by_id.get(given.job_id)
            if job is not None:
                job.mark_assigned(given.ranges)
            elif given.job_id not in self._ended_ids:
                self._orphans.setdefault(given.job_id, []).append(given)
        _evict_oldest(self._orphans, MAX_ORPHANS)

    def _change_workers(self, record: WorkersChanged, _offset: Offset) -> None:
        for worker in record.seen:
            self.gone_at_by_worker[worker] = None
        for worker in record.gone:
            self.gone_at_by_worker[worker] = record.at

    def _end(self, record: JobEnded, _offset: Offset) -> None:
        if record.job_id in self._ended_ids:
            return
        self._ended_ids[record.job_id] = record
        _evict_oldest(self._ended_ids, self._max_ended)
        self._orphans.pop(record.job_id, None)
        self._orphan_cancels.pop(record.job_id, None)
        job = self.live_by_id.pop(record.job_id, None)
        if job is None:
            return
        del self.renewed_at_by_id[record.job_id]
        job.end = JobEnd(verdict=record.verdict, detail=record.detail, at=record.at)
        self.ended_by_id[record.job_id] = job
        _evict_oldest(self.ended_by_id, self._max_ended)
        for listener in self._listeners:
            listener.on_ended(job)


def _evict_oldest(kept: OrderedDict[Any, Any], limit: int) -> None:
    while len(kept) > limit:
        kept.popitem(last=False)
