"""Typed commands, answers and settings of a job shard's owner."""

from dataclasses import dataclass
from enum import StrEnum

from galenastall.coordination.jobs.gangs import GangStep
from galenastall.coordination.placement.task_reports import TaskAttempt
from galenastall.state.ids import HostId, JobId
from galenastall.state.work import TaskSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardSettings:
    """Settings that operators may change; all times in seconds."""

    backlog: int = 256
    """Tasks of a shard that may wait at one assignee."""
    retry_s: float = 0.5
    """Delay before the first retry of a task; doubles with each failure and each loss."""
    max_retry_s: float = 60.0
    max_failures: int = 5
    """Failures of one task after which its job is stopped."""
    bad_job_workers: int = 3
    """Number of workers on which a job's tasks fail before the job is stopped."""
    recall_after_s: float = 2.0
    """A task queued for longer than this is recalled if another worker owner could start it."""
    recall_every_s: float = 1.0
    hold_s: float = 5.0
    """How long a gang's holds last."""
    gang_repeat_s: float = 0.5
    """Interval at which an unanswered gang step is sent again."""


class AssignAnswer(StrEnum):
    """Outcome of an assignment."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """The assignee refused, or nothing was sent: it does not have the tasks."""
    UNKNOWN = "unknown"
    """No answer: it may have them; the same batch is sent again until there is an answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AssignBatch:
    """Tasks for one worker owner."""

    host: HostId
    tasks: tuple[TaskSpec, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class StopBatch:
    """Attempts that one worker owner must not start, or must stop."""

    host: HostId
    tasks: tuple[TaskAttempt, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class GangCall:
    """A hold, start or release to request from an owner."""

    job_id: JobId
    step: GangStep
    tasks: tuple[TaskSpec, ...] = ()
    """With a hold: the tasks to hold capacity for."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardNote:
    """An event for the time line."""

    step: str
    subjects: tuple[str, ...]
    cause: str
    peer: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardDecision:
    """Messages to send now."""

    assigns: tuple[AssignBatch, ...] = ()
    stops: tuple[StopBatch, ...] = ()
    recalls: tuple[StopBatch, ...] = ()
    gang_calls: tuple[GangCall, ...] = ()
    notes: tuple[ShardNote, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelCounts:
    """Counts of the tasks that a cancellation found."""

    never_started: int
    """Not assigned to any worker owner: they never start."""
    stopping: int
    """With a worker owner: by the job's end stopped, or prevented from starting."""
    already_done: int
