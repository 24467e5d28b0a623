"""Peer messages of jobs between shard owners, worker owners and the hosts that take calls."""

from dataclasses import dataclass, field

from galenastall.coordination.jobs.shard_commands import CancelCounts
from galenastall.coordination.placement.task_reports import TaskAttempt
from galenastall.protocol.amount_rows import AmountRow, SummaryRow
from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.protocol.task_rows import ReportRow, TaskGroup
from galenastall.state.ids import Epoch, HostId, JobId, TaskId, TeamPath
from galenastall.state.work import JobSpec, TaskPhase


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardEpoch:
    """A shard that the sender owns, with its epoch."""

    shard: int
    epoch: Epoch


@PEER_MESSAGES.register("job_beat")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobHeartbeat:
    """One-way, sent to every entry host of the data centre at each heartbeat.

    Keeps assignments valid, reports the capacity of the sender's workers, and lists the workers of
    other owners whose leases it renews.
    """

    incarnation: str
    shards: tuple[ShardEpoch, ...]
    valid_until: float
    """Wall time until which queued tasks of these shards may start."""
    summary: SummaryRow
    renewing: tuple[HostId, ...] = ()
    reserved_by_team: dict[TeamPath, AmountRow] = field(default_factory=dict)
    """Some of the teams, in rotation."""


@PEER_MESSAGES.register("task_assign")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskAssign:
    """Queue these tasks; resent until answered, and accepted only once."""

    shard: int
    epoch: Epoch
    valid_until: float
    groups: tuple[TaskGroup, ...]


@PEER_MESSAGES.register("task_stop")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskStop:
    """Dequeue, release or stop these attempts; their outcomes follow in reports."""

    shard: int
    epoch: Epoch
    tasks: tuple[TaskAttempt, ...]


@PEER_MESSAGES.register("task_recall")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskRecall:
    """Return these tasks to the shard owner if they are still queued."""

    shard: int
    epoch: Epoch
    tasks: tuple[TaskAttempt, ...]


@PEER_MESSAGES.register("job_word")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobReply:
    """Reply that tells whether the message was accepted, and if not, why."""

    ok: bool
    detail: str = ""
    refused: tuple[TaskId, ...] = ()
    """Of an assignment: tasks that were rejected while the rest was accepted."""


@PEER_MESSAGES.register("task_events")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskEvents:
    """The latest status reports on tasks of one shard."""

    shard: int
    reports: tuple[ReportRow, ...]
    summary: SummaryRow
    """Current with each batch, so that freed capacity is used before the next heartbeat."""


@PEER_MESSAGES.register("task_events_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskEventsAnswer:
    """Positions in the batch of reports that need not be kept or resent."""

    settled: tuple[int, ...]


@PEER_MESSAGES.register("tasks_settled")
@dataclass(frozen=True, kw_only=True, slots=True)
class TasksSettled:
    """One-way: the ends of these attempts are durable; workers may discard them."""

    shard: int
    tasks: tuple[TaskAttempt, ...]


@PEER_MESSAGES.register("shard_recover")
@dataclass(frozen=True, kw_only=True, slots=True)
class ShardRecover:
    """Requests all that the receiver has of this shard; answered by ShardCensus.

    If the epoch is higher than before, queued tasks of the shard are dropped first.
    """

    shard: int
    epoch: Epoch
    valid_until: float


@PEER_MESSAGES.register("shard_census")
@dataclass(frozen=True, kw_only=True, slots=True)
class ShardCensus:
    """Answer to ShardRecover."""

    is_current: bool
    """False if a later epoch of the shard is known; the rest is empty then."""
    reports: tuple[ReportRow, ...] = ()
    workers: tuple[HostId, ...] = ()
    """Owned workers that were listed, or whose leases provably expired, since they are owned."""


@PEER_MESSAGES.register("gang_hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class GangHold:
    """Hold capacity for all of these tasks until `until`, or for none of them."""

    shard: int
    epoch: Epoch
    key: str
    until: float
    groups: tuple[TaskGroup, ...]


@PEER_MESSAGES.register("gang_start")
@dataclass(frozen=True, kw_only=True, slots=True)
class GangStart:
    """Start the tasks held under this key; resent until answered, and accepted only once."""

    shard: int
    epoch: Epoch
    key: str


@PEER_MESSAGES.register("gang_release")
@dataclass(frozen=True, kw_only=True, slots=True)
class GangRelease:
    """One-way: release the capacity held under this key, unless its tasks were started."""

    shard: int
    key: str


@PEER_MESSAGES.register("job_hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobHold:
    """Hold a job that can't be logged now, and log it when the log is available again."""

    spec: JobSpec


@PEER_MESSAGES.register("job_cancel")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancel:
    """Cancel a job of a shard that the receiver owns; answered by JobCancelAnswer."""

    job_id: JobId


@PEER_MESSAGES.register("job_cancel_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelAnswer:
    """Result of a cancellation; None if the job is not live there."""

    counts: CancelCounts | None


@PEER_MESSAGES.register("job_ask")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobQuery:
    """Requests the state of a job of a shard that the receiver owns; answered by JobView."""

    job_id: JobId
    first: int = 0
    count: int = 0
    """Number of tasks to return, from `first` on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskView:
    """State of one task."""

    task_id: TaskId
    phase: TaskPhase
    attempt: int = 0
    assignee: HostId = HostId("")
    worker: HostId = HostId("")
    detail: str = ""


@PEER_MESSAGES.register("job_view")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobView:
    """State of a job; `is_known` is False if the shard's owner doesn't know it."""

    is_known: bool
    counts: dict[str, int]
    """Tasks by phase."""
    reason: str = ""
    """Why tasks wait, or why the job was stopped."""
    tasks: tuple[TaskView, ...] = ()


@PEER_MESSAGES.register("task_explain")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskExplain:
    """Requests an explanation of where a task is or why it waits; answered by TaskExplained."""

    task_id: TaskId


@PEER_MESSAGES.register("task_explained")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskExplained:
    """Answer to TaskExplain."""

    sentences: tuple[str, ...]


@PEER_MESSAGES.register("starts_left_call")
@dataclass(frozen=True, kw_only=True, slots=True)
class PendingStartsQuery:
    """Query of a worker's new owner to the previous one; answered by PendingStarts."""

    worker_id: HostId
    epoch: Epoch
    """Of the previous owner."""


@PEER_MESSAGES.register("starts_left")
@dataclass(frozen=True, kw_only=True, slots=True)
class PendingStarts:
    """How long starts sent up to that epoch may still take effect."""

    left_s: float | None
    """In seconds; None if this process doesn't know."""
