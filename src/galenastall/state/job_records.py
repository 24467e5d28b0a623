"""Log records of jobs, in their data centre's stream.

Starts are not logged, since the workers report what runs. Logged is what they can't report: that a
job was accepted or cancelled, and the final ends of tasks.
"""

from dataclasses import dataclass
from enum import StrEnum

from galenastall.state.ids import HostId, JobId
from galenastall.state.records import RECORDS
from galenastall.state.work import JobSpec, TaskPhase


class JobVerdict(StrEnum):
    """How a job ended."""

    DONE = "done"
    """Every task ran to completion."""
    FAILED = "failed"
    """Some task failed permanently, or the job was stopped because of its failures."""
    CANCELLED = "cancelled"
    REFUSED = "refused"
    """It can never run; none of its tasks ran."""
    UNKNOWN = "unknown"
    """Some task may have run, which can't be determined."""


@dataclass(frozen=True, kw_only=True, slots=True)
class IndexRange:
    """Task indices from `start` up to, not including, `stop`."""

    start: int
    stop: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedRanges:
    """Tasks of one job that ended in the same phase."""

    job_id: JobId
    phase: TaskPhase
    ranges: tuple[IndexRange, ...]


@RECORDS.register("job.accepted")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted:
    """A job is accepted: its caller has been or is about to be notified."""

    spec: JobSpec
    was_held: bool = False
    """It was first held by entry hosts only, in a log outage, so its tasks may have started."""


@RECORDS.register("job.cancelled")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled:
    """No further task of the job may start."""

    job_id: JobId
    cause: str = ""


@RECORDS.register("job.tasks_ended")
@dataclass(frozen=True, kw_only=True, slots=True)
class TasksEnded:
    """All final ends reported to a shard's owner in one window."""

    shard: int
    ends: tuple[EndedRanges, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AssignedRanges:
    """Tasks of one job that may be assigned to worker owners from now on."""

    job_id: JobId
    ranges: tuple[IndexRange, ...]


@RECORDS.register("job.tasks_given")
@dataclass(frozen=True, kw_only=True, slots=True)
class TasksAssigned:
    """Written before tasks that must not run twice are assigned for the first time.

    Such a task without this record has provably never run, whoever owned the shard.
    """

    shard: int
    given: tuple[AssignedRanges, ...]


@RECORDS.register("job.workers")
@dataclass(frozen=True, kw_only=True, slots=True)
class WorkersChanged:
    """Workers that are new in the platform's list, or no longer in it."""

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
    """A read barrier: a reader that reaches it has read all ends that were logged before."""

    shard: int


def ranges_of(indices: list[int]) -> tuple[IndexRange, ...]:
    """Return the indices as the smallest number of ranges, in ascending order."""
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
