"""Typed commands, answers and reports of the placement core.

The driver that owns the sockets carries out the commands, one batched call a worker and kind, and
feeds what it heard back. All times are wall seconds, as leases and deadlines are.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NewType, Protocol

from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskPhase, TaskSpec

HoldId = NewType("HoldId", str)
"""A gang's hold on capacity of one owner."""


class WorkerState(StrEnum):
    """Whether a worker may be given new tasks."""

    LIVE = "live"
    LEAVING = "leaving"
    """Runs what it has and gets nothing new."""
    UNRESPONSIVE = "silent"
    """Doesn't answer: what it has stays reserved, it gets nothing new."""
    QUARANTINED = "quarantined"
    """Failed too many different jobs; gets single probes only."""


class StartAnswer(StrEnum):
    """What is known of a start that was sent."""

    STARTED = "started"
    REFUSED = "refused"
    """Proved not started: refused by the worker, or never left this process."""
    UNKNOWN = "unknown"
    """No answer: it may run, so its capacity stays reserved."""


class CommandKind(StrEnum):
    """The commands that end or limit a running task."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


class CommandAnswer(StrEnum):
    """What is known of a command that was sent."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class CancelVerdict(StrEnum):
    """What a cancellation found."""

    NEVER_STARTED = "never_started"
    STOPPING = "stopping"
    """It was sent to a worker and may run; a stop goes out with the next decision."""
    ALREADY_DONE = "already_done"
    NOT_HERE = "not_here"


class RefusalReason(StrEnum):
    """Why a task is given up without ever being started again."""

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
    """Why there, for the time line."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointTask:
    """Save a task's state and stop it; it waits again once the answer is in."""

    worker_id: HostId
    epoch: Epoch
    task_id: TaskId
    cause: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask:
    """Limit a task to `share` (0 to 1) of what was reserved."""

    worker_id: HostId
    epoch: Epoch
    task_id: TaskId
    share: float
    cause: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask:
    """Stop a task for good or, when preempted, until it is placed again."""

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
    """A task that the core has given up; final."""

    task: TaskSpec
    reason: RefusalReason
    detail: str
    need: Resources
    """What it needs: declared, or what an earlier attempt was seen to use."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """What to do now."""

    by_worker: tuple[WorkerCommands, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    expired_holds: tuple[HoldId, ...] = ()
    more: bool = False
    """Whether the limit was reached and another decision would place more at once."""


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
    """It failed; enqueue it again with the next attempt number."""
    GIVE_UP = "give_up"
    """Its job is bad: it failed on several different workers."""
    REQUEUED = "requeued"
    """It was stopped to make way and waits again here, as its next attempt."""
    CANCELLED = "cancelled"
    """It ended after its cancellation."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedTask:
    """A task that ended, for the first time that the core hears of it."""

    task: TaskSpec
    worker_id: HostId
    ok: bool
    advice: EndAdvice
    detail: str = ""
    """For GIVE_UP the history of failures: workers and what they said."""
    worker_change: str = ""
    """Set when this end put the worker under quarantine or took it out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReconcileReport:
    """What a listing changed."""

    adopted: tuple[TaskId, ...] = ()
    """Run there and were not known here."""
    confirmed: tuple[TaskId, ...] = ()
    """Starts without an answer that turned out to run."""
    requeued: tuple[TaskId, ...] = ()
    """Proved not running any more, wait again: unanswered starts, preempted tasks."""
    lapsed: tuple[TaskSpec, ...] = ()
    """Were sent or ran and are not listed; not queued again, the driver decides."""
    ended: tuple[EndedTask, ...] = ()
    duplicates: tuple[TaskId, ...] = ()
    """Known at another worker as well; the copy listed here will be stopped."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """Capacity held for all of a gang's tasks."""

    hold_id: HoldId
    gang_id: str
    until: float
    worker_by_task: Mapping[TaskId, HostId]


@dataclass(frozen=True, kw_only=True, slots=True)
class LargestAmount:
    """The largest single free room, seen by one resource."""

    by: str
    """`cores`, `memory` or `accelerators`: the resource in which it is the largest."""
    free: Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacitySummary:
    """What other entry hosts need to choose this one for a task; a few hundred bytes."""

    workers: int
    capacity: Resources
    free: Resources
    holes: tuple[LargestAmount, ...]
    largest_worker: tuple[LargestAmount, ...]
    """Largest whole capacity by resource; larger tasks are impossible here."""
    waiting_by_class: Mapping[str, int] = field(default_factory=dict)
    """Queue length by urgency (`urgent`, `normal`, `backfill`)."""
    running: int = 0
    oldest_wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TeamShare:
    """What a team is entitled to."""

    weight: float = 1.0
    quota: Resources | None = None
    """Most that it may have reserved at once; None for no limit."""


class Listing(Protocol):
    """What a worker said that it runs; the protocol layer's WorkerListing fits."""

    @property
    def running(self) -> tuple[RunningTask, ...]:
        """What runs."""

    @property
    def finished(self) -> tuple[FinishedTask, ...]:
        """What ended and was not acknowledged."""

    @property
    def used(self) -> Resources:
        """Measured usage of the whole worker; lags."""
