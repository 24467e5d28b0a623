"""Typed commands, answers and reports of the placement core.

The driver that owns the sockets sends the commands, one batched call per worker and kind, and feeds
the answers back. All times are wall seconds, as leases and deadlines are.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NewType, Protocol

from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskPhase, TaskSpec

HoldId = NewType("HoldId", str)
"""Id of a gang's hold on capacity of one owner."""


class WorkerState(StrEnum):
    """Whether a worker may be given new tasks."""

    LIVE = "live"
    LEAVING = "leaving"
    """Runs its tasks to their end and gets nothing new."""
    UNRESPONSIVE = "silent"
    """Doesn't answer: its tasks stay reserved, it gets nothing new."""
    QUARANTINED = "quarantined"
    """Failed too many different jobs; gets single probes only."""


class StartAnswer(StrEnum):
    """Outcome of a start command, as known to its sender."""

    STARTED = "started"
    REFUSED = "refused"
    """Provably not started: refused by the worker, or never sent by this process."""
    UNKNOWN = "unknown"
    """No answer: it may run, so its capacity stays reserved."""


class CommandKind(StrEnum):
    """The commands that end or limit a running task."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class CommandAnswer(StrEnum):
    """Outcome of a checkpoint, throttle or stop, as known to its sender."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CancelVerdict(StrEnum):
    """Where a cancellation found the task."""

    NEVER_STARTED = "never_started"
    STOPPING = "stopping"
    """It was sent to a worker and may run; a stop goes out with the next decision."""
    ALREADY_DONE = "already_done"
    NOT_HERE = "not_here"


class RefusalReason(StrEnum):
    """Why a task will not be started again."""

    IMPOSSIBLE = "impossible"
    """Larger than every worker of this owner, or than its team's quota."""
    BAD_JOB = "bad_job"
    """Its job failed on several different workers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask:
    """Start one task, for which `reserved` is already in the ledger."""

    worker_id: HostId
    epoch: Epoch
    task: TaskSpec
    reserved: Resources
    why: str = ""
    """Why that worker was chosen, for the time line."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointTask:
    """Save a task's state and stop it; it is queued again once the answer arrives."""

    worker_id: HostId
    epoch: Epoch
    task_id: TaskId
    cause: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask:
    """Limit a task to `share` (0 to 1) of its reservation."""

    worker_id: HostId
    epoch: Epoch
    task_id: TaskId
    share: float
    cause: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask:
    """Stop a task: finally, or when preempted, until it is placed again."""

    worker_id: HostId
    epoch: Epoch
    task_id: TaskId
    cause: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerCommands:
    """All commands of one decision for one worker; send stops and checkpoints first."""

    worker_id: HostId
    epoch: Epoch
    starts: tuple[StartTask, ...] = ()
    checkpoints: tuple[CheckpointTask, ...] = ()
    throttles: tuple[ThrottleTask, ...] = ()
    stops: tuple[StopTask, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A task that the core refuses for good."""

    task: TaskSpec
    reason: RefusalReason
    detail: str
    need: Resources
    """What it needs: declared, or measured at an earlier attempt."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """The commands and results of one decision."""

    by_worker: tuple[WorkerCommands, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    expired_holds: tuple[HoldId, ...] = ()
    more: bool = False
    """Whether the limit was reached, so that another decision may place more right away."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacedTask:
    """A task on a worker, as the core knows it."""

    task: TaskSpec
    worker_id: HostId
    phase: TaskPhase
    reserved: Resources


class EndAdvice(StrEnum):
    """What to do about a task that ended."""

    DONE = "done"
    RETRY = "retry"
    """It failed; it may be retried with the next attempt number."""
    GIVE_UP = "give_up"
    """Its job is bad: it failed on several different workers."""
    REQUEUED = "requeued"
    """It was preempted and is queued again here, as its next attempt."""
    CANCELLED = "cancelled"
    """It ended after its cancellation."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedTask:
    """An end of a task that the core had not known before."""

    task: TaskSpec
    worker_id: HostId
    ok: bool
    advice: EndAdvice
    detail: str = ""
    """For GIVE_UP the history of failures: workers and their error details."""
    worker_change: str = ""
    """Set when this end put the worker into quarantine or took it out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReconcileReport:
    """What a listing changed."""

    adopted: tuple[TaskId, ...] = ()
    """Run there and were not known to this owner."""
    confirmed: tuple[TaskId, ...] = ()
    """Unanswered starts that turned out to run."""
    requeued: tuple[TaskId, ...] = ()
    """Provably no longer running and queued again: unanswered starts, preempted tasks."""
    lapsed: tuple[TaskSpec, ...] = ()
    """Were sent or ran and are not listed; not queued again, the driver decides."""
    ended: tuple[EndedTask, ...] = ()
    duplicates: tuple[TaskId, ...] = ()
    """Placed on another worker as well; the run listed here will be stopped."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """Capacity held for all of a gang's tasks."""

    hold_id: HoldId
    gang_id: str
    until: float
    worker_by_task: Mapping[TaskId, HostId]


@dataclass(frozen=True, kw_only=True, slots=True)
class LargestAmount:
    """The amount of the one worker that has the most of one resource."""

    by: str
    """`cores`, `memory` or `accelerators`: the resource in which it is the largest."""
    free: Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacitySummary:
    """What other entry hosts need to choose this owner for a task; a few hundred bytes."""

    workers: int
    capacity: Resources
    free: Resources
    holes: tuple[LargestAmount, ...]
    largest_worker: tuple[LargestAmount, ...]
    """Largest total capacity of a worker by resource; larger tasks are impossible here."""
    waiting_by_class: Mapping[str, int] = field(default_factory=dict)
    """Queue length by urgency (`urgent`, `normal`, `backfill`)."""
    running: int = 0
    oldest_wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TeamShare:
    """What a team is entitled to."""

    weight: float = 1.0
    quota: Resources | None = None
    """Maximum that it may have reserved at once; None for no limit."""


class Listing(Protocol):
    """A worker's report of what it runs; the protocol layer's WorkerListing implements it."""

    @property
    def running(self) -> tuple[RunningTask, ...]:
        """The running tasks."""

    @property
    def finished(self) -> tuple[FinishedTask, ...]:
        """The ended tasks that were not acknowledged yet."""

    @property
    def used(self) -> Resources:
        """Measured usage of the whole worker; it lags."""
