"""Progress of one job at its shard's owner: who has which task, and what is still to assign.

Waiting tasks need no entry: they are taken from a rising index, and only returned tasks are listed.
Each task placed with an assignee has an entry.
"""

import bisect
import heapq
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from galenastall.coordination.placement.task_reports import ReportKind
from galenastall.state.ids import HostId, make_task_id
from galenastall.state.job_fold import CODES_BY_PHASE, OPEN, JobState
from galenastall.state.job_records import IndexRange
from galenastall.state.resources import Resources
from galenastall.state.work import TaskPhase, TaskSpec, Workload

_OPEN_SEGMENT: Final = re.compile(rb"\x00+")
FAILURES_KEPT: Final = 50
"""Failed attempts kept for a job's history."""


@dataclass(kw_only=True, slots=True)
class Assigned:
    """One task placed with an assignee."""

    host: HostId
    attempt: int
    since: float
    """Wall time in seconds of the assignment."""
    kind: ReportKind = ReportKind.QUEUED
    worker_id: HostId = HostId("")


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskFailure:
    """One failed attempt, kept for the job's history."""

    index: int
    worker_id: HostId
    detail: str


@dataclass(kw_only=True, slots=True)
class JobRun:
    """A live job at its shard's owner."""

    state: JobState
    base_attempt: int
    assigned_by_index: dict[int, Assigned] = field(default_factory=dict)
    unconfirmed: set[int] = field(default_factory=set)
    """Tasks that may be queued or running but were not reported; not assigned before a census."""
    tries_by_index: dict[int, int] = field(default_factory=dict)
    failures: list[TaskFailure] = field(default_factory=list)
    losses_by_index: dict[int, int] = field(default_factory=dict)
    """Attempts lost with their workers, in quick succession; the task may be crashing them."""
    delayed: set[int] = field(default_factory=set)
    """Tasks that wait for their retry time."""
    awaiting_record: set[int] = field(default_factory=set)
    """Tasks that must not run twice, and wait for the record that lets them be assigned."""
    is_stopped: bool = False
    """Assigns no more tasks: cancelled, or stopped for its failures."""
    stop_phase: TaskPhase = TaskPhase.CANCELLED
    detail: str = ""
    waiting_reason: str = ""
    avoided_hosts: set[HostId] = field(default_factory=set)
    """Assignees that had tasks of the job for long without starting them."""
    is_ending: bool = False
    is_given_up: bool = False
    """An owner reported that no further attempt of the gang can succeed."""
    need_mb: int = 0
    """Highest memory need in MB seen in an overrunning task of the job; its tasks are alike."""
    _returned: list[int] = field(default_factory=list)
    _next: int = 0

    @property
    def is_at_most_once(self) -> bool:
        """Whether a task that may have run must not be started again."""
        return bool(self.state.given)

    @property
    def is_service(self) -> bool:
        """Whether ended tasks are replaced rather than counted."""
        return self.state.spec.workload is Workload.SERVICE

    @property
    def open_count(self) -> int:
        """Return how many tasks have not finally ended."""
        if self.is_service:
            return self.state.spec.tasks
        return self.state.codes.count(OPEN)

    @property
    def waiting_count(self) -> int:
        """Return how many tasks could be assigned now."""
        if self.is_stopped:
            return 0
        held_back = len(self.assigned_by_index) + len(self.unconfirmed)
        return self.open_count - held_back - len(self.delayed) - len(self.awaiting_record)

    @property
    def need(self) -> Resources:
        """Return what each task needs: as declared, or as seen in one that overran."""
        declared = self.state.spec.resources
        if self.need_mb <= declared.memory_mb:
            return declared
        return declared.at_least(Resources(memory_mb=self.need_mb))

    def is_open(self, index: int) -> bool:
        """Return whether the task has not finally ended."""
        return self.is_service or self.state.codes[index] == OPEN

    def phase_of(self, index: int) -> TaskPhase:
        """Return the phase of a task, as far as it is known here."""
        ended = self.state.phase_of(index)
        if ended is not None:
            return ended
        if index in self.unconfirmed:
            return TaskPhase.UNKNOWN
        assigned = self.assigned_by_index.get(index)
        if assigned is None or assigned.kind is ReportKind.QUEUED:
            return TaskPhase.WAITING
        if assigned.kind is ReportKind.DONE:
            return TaskPhase.DONE
        return TaskPhase.RUNNING if assigned.kind is ReportKind.RUNNING else TaskPhase.UNKNOWN

    def take(self, count: int) -> list[int]:
        """Take up to `count` waiting tasks; returned tasks go first."""
        taken: list[int] = []
        while self._returned and len(taken) < count:
            index = heapq.heappop(self._returned)
            if self._is_assignable(index):
                taken.append(index)
        while self._next < self.state.spec.tasks and len(taken) < count:
            if self._is_assignable(self._next):
                taken.append(self._next)
            self._next += 1
        return taken

    def return_to_queue(self, index: int) -> None:
        """Return a task to the waiting ones."""
        if index < self._next:
            heapq.heappush(self._returned, index)

    def close(self, index: int, phase: TaskPhase) -> bool:
        """Mark a task as finally ended; return whether that changes its phase."""
        code = CODES_BY_PHASE[phase]
        if self.is_service or self.state.codes[index] >= code:
            return False
        self.state.codes[index] = code
        return True

    def close_waiting(self, phase: TaskPhase) -> tuple[IndexRange, ...]:
        """Close all waiting tasks at once; return their ranges."""
        held_back = self.assigned_by_index.keys() | self.unconfirmed
        self.delayed.clear()
        self.awaiting_record.clear()
        self._returned.clear()
        self._next = self.state.spec.tasks
        if self.is_service:
            return ()
        ranges = tuple(self._open_segments(sorted(held_back)))
        code = CODES_BY_PHASE[phase]
        for each in ranges:
            self.state.codes[each.start : each.stop] = bytes([code]) * (each.stop - each.start)
        return ranges

    def add_failure(self, failure: TaskFailure) -> None:
        """Record a failed attempt; the oldest ones are dropped."""
        self.failures.append(failure)
        del self.failures[:-FAILURES_KEPT]

    def add_loss(self, index: int, *, is_soon: bool) -> None:
        """Count an attempt lost with its worker; one after a long run counts as the first."""
        before = self.losses_by_index.get(index, 0) if is_soon else 0
        self.losses_by_index[index] = before + 1

    def history(self) -> str:
        """Return the latest failures as text."""
        return "; ".join(
            f"task {each.index} failed on {each.worker_id}: {each.detail}"
            for each in self.failures[-10:]
        )

    def attempt_of(self, index: int) -> int:
        """Return the number of the task's next attempt."""
        return self.base_attempt + self.tries_by_index.get(index, 0)

    def make_task(self, index: int, *, attempt: int | None = None) -> TaskSpec:
        """Return the task as assignees see it, as its next attempt or the given one."""
        spec = self.state.spec
        return TaskSpec(
            task_id=make_task_id(spec.job_id, index),
            job_id=spec.job_id,
            team=spec.team,
            workload=spec.workload,
            urgency=spec.urgency,
            resources=self.need,
            run_s=spec.run_s,
            deadline=spec.deadline,
            checkpointable=spec.checkpointable,
            idempotent=spec.idempotent,
            kind=spec.kind,
            attempt=self.attempt_of(index) if attempt is None else attempt,
            payload=spec.payload,
        )

    def _open_segments(self, held_back: list[int]) -> Iterator[IndexRange]:
        for match in _OPEN_SEGMENT.finditer(self.state.codes):
            start, stop = match.span()
            first = bisect.bisect_left(held_back, start)
            for index in held_back[first : bisect.bisect_left(held_back, stop)]:
                if index > start:
                    yield IndexRange(start=start, stop=index)
                start = index + 1
            if stop > start:
                yield IndexRange(start=start, stop=stop)

    def _is_assignable(self, index: int) -> bool:
        return (
            index not in self.assigned_by_index
            and index not in self.unconfirmed
            and index not in self.delayed
            and index not in self.awaiting_record
            and self.is_open(index)
        )
