"""Log records of jobs, in their data centre's stream.

Starts are not logged: what runs is learnt from the workers. What can't be learnt from them is:
that a job was accepted or cancelled, and which tasks ended for good.
"""

from dataclasses import dataclass
from enum import StrEnum

from galenastall.state.ids import HostId, JobId
from galenastall.state.records import RECORDS
from galenastall.state.work import JobSpec, TaskPhase


class JobVerdict(StrEnum):
    """How a job ended."""

    DONE = "done"
    """Every task ran to its end."""
    FAILED = "failed"
    """Some task failed for good, or the job was stopped for its failures."""
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """It can never run; nothing of it ran."""
    UNKNOWN = "unknown"
    """Some task may have run, and nobody can say."""


@dataclass(frozen=True, kw_only=True, slots=True)
class IndexRange:
    """Task indices from `start` up to, not including, `stop`."""

    start: int
    stop: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedRanges:
    """Tasks of one job that ended alike."""

    job_id: JobId
    phase: TaskPhase
    ranges: tuple[IndexRange, ...]


@RECORDS.register("job.accepted")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted:
    """A caller was, or is about to be, told that the job is accepted."""

    spec: JobSpec
    was_held: bool = False
    """It was first kept by entry hosts alone, in a log outage, so tasks of it may have started."""


@RECORDS.register("job.cancelled")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled:
    """Nothing more of the job may start."""

    job_id: JobId
    cause: str = ""


@RECORDS.register("job.tasks_ended")
@dataclass(frozen=True, kw_only=True, slots=True)
class TasksEnded:
    """All final ends that a shard's owner learnt in one window."""

    shard: int
    ends: tuple[EndedRanges, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AssignedRanges:
    """Tasks of one job that may be given to worker owners from now on."""

    job_id: JobId
    ranges: tuple[IndexRange, ...]


@RECORDS.register("job.tasks_given")
@dataclass(frozen=True, kw_only=True, slots=True)
class TasksAssigned:
    """Written before tasks that must not run twice are given out for the first time.

    Whatever is not in such a record has provably never run, whoever owned the shard.
    """

    shard: int
    given: tuple[AssignedRanges, ...]


@RECORDS.register("job.workers")
@dataclass(frozen=True, kw_only=True, slots=True)
class WorkersChanged:
    """Workers that the platform's list showed for the first time, or no longer shows."""

    seen: tuple[HostId, ...]
    gone: tuple[HostId, ...]
    at: float
    """Wall time in seconds."""


@RECORDS.register("job.ended")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobEnded:
    """The last record of a job."""

    job_id: JobId
    verdict: JobVerdict
    detail: str = ""
    at: float = 0.0
    """Wall time in seconds."""


@RECORDS.register("job.compacted")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCompacted:
    """A live job as folded so far, appended again before the log trims its earlier records."""

    spec: JobSpec
    at: float
    """Wall time in seconds."""
    cancelled: bool
    ends: tuple[EndedRanges, ...]
    given: tuple[IndexRange, ...] = ()


@RECORDS.register("job.barrier")
@dataclass(frozen=True, kw_only=True, slots=True)
class ShardBarrier:
    """Says nothing of jobs: whoever reads it back has read all ends that were logged before."""

    shard: int


def ranges_of(indices: list[int]) -> tuple[IndexRange, ...]:
    """Return sorted, distinct indices as the fewest ranges."""
    ranges: list[IndexRange] = []
    start = stop = -1
    for index in sorted(indices):
        if index == stop:
            stop += 1
            continue
        if start >= 0 and index > stop:
            ranges.append(IndexRange(start=start, stop=stop))
        if index >= stop:
            start, stop = index, index + 1
    if start >= 0:
        ranges.append(IndexRange(start=start, stop=stop))
    return tuple(ranges)
