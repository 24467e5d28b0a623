"""Peer messages of jobs: between shard owners, worker owners and the hosts that callers reach."""

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
    """A shard that the sender owns, and under which epoch."""

    shard: int
    epoch: Epoch


@PEER_MESSAGES.register("job_beat")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobHeartbeat:
    """One-way, to every entry host of the data centre at each beat.

    Keeps assignments valid, tells the capacity of the sender's workers, and which workers of others
    it renews leases on.
    """

    incarnation: str
    shards: tuple[ShardEpoch, ...]
    valid_until: float
    """Wall time until which queued tasks of these shards may start."""
    summary: SummaryRow
    renewing: tuple[HostId, ...] = ()
    reserved_by_team: dict[TeamPath, AmountRow] = field(default_factory=dict)
    """Some of the teams, in turn."""


@PEER_MESSAGES.register("task_assign")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskAssign:
    """Queue these tasks; sent again until answered, and taken once."""

    shard: int
    epoch: Epoch
    valid_until: float
    groups: tuple[TaskGroup, ...]


@PEER_MESSAGES.register("task_stop")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskStop:
    """Unqueue, release or stop these attempts; what became of them follows in reports."""

    shard: int
    epoch: Epoch
    tasks: tuple[TaskAttempt, ...]


@PEER_MESSAGES.register("task_recall")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskRecall:
    """Give back these tasks if they are still queued."""

    shard: int
    epoch: Epoch
    tasks: tuple[TaskAttempt, ...]


@PEER_MESSAGES.register("job_word")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobReply:
    """Answer: whether the message was accepted, and if not why."""

    ok: bool
    detail: str = ""
    refused: tuple[TaskId, ...] = ()
    """Of an assignment: tasks that were not taken although the rest was."""


@PEER_MESSAGES.register("task_events")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskEvents:
    """The latest word on tasks of one shard."""

    shard: int
    reports: tuple[ReportRow, ...]
    summary: SummaryRow
    """Fresh with each batch, so that freed room is used before the next beat."""


@PEER_MESSAGES.register("task_events_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskEventsAnswer:
    """Positions in the batch of the reports that need not be kept or repeated."""

    settled: tuple[int, ...]


@PEER_MESSAGES.register("tasks_settled")
@dataclass(frozen=True, kw_only=True, slots=True)
class TasksSettled:
    """One-way: the ends of these attempts are durable; workers may forget them."""

    shard: int
    tasks: tuple[TaskAttempt, ...]


@PEER_MESSAGES.register("shard_recover")
@dataclass(frozen=True, kw_only=True, slots=True)
class ShardRecover:
    """Say all that you have of this shard; answered by ShardCensus.

    Under a higher epoch than before, queued tasks of the shard are dropped first.
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
    """Owned workers that were listed, or whose leases provably lapsed, since they are owned."""


@PEER_MESSAGES.register("gang_hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class GangHold:
    """Hold capacity for all of these tasks until a time, or for none."""

    shard: int
    epoch: Epoch
    key: str
    until: float
    groups: tuple[TaskGroup, ...]


@PEER_MESSAGES.register("gang_start")
@dataclass(frozen=True, kw_only=True, slots=True)
class GangStart:
    """Start what is held under this key; sent again until answered, and taken once."""

    shard: int
    epoch: Epoch
    key: str


@PEER_MESSAGES.register("gang_release")
@dataclass(frozen=True, kw_only=True, slots=True)
class GangRelease:
    """One-way: free what is held under this key, if it was not started."""

    shard: int
    key: str


@PEER_MESSAGES.register("job_hold")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobHold:
    """Keep a job that the log can't take now, and log it when the log is back."""

    spec: JobSpec


@PEER_MESSAGES.register("job_cancel")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancel:
    """Cancel a job of a shard that you own; answered by JobCancelAnswer."""

    job_id: JobId


@PEER_MESSAGES.register("job_cancel_answer")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelAnswer:
    """What a cancellation found; None if the job is not live there."""

    counts: CancelCounts | None


@PEER_MESSAGES.register("job_ask")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobQuery:
    """How does a job of a shard that you own stand? Answered by JobView."""

    job_id: JobId
    first: int = 0
    count: int = 0
    """How many tasks to tell of, from `first` on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskView:
    """Where one task stands."""

    task_id: TaskId
    phase: TaskPhase
    attempt: int = 0
    assignee: HostId = HostId("")
    worker: HostId = HostId("")
    detail: str = ""


@PEER_MESSAGES.register("job_view")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobView:
    """Where a job stands; `is_known` is False if the shard's owner doesn't have it."""

    is_known: bool
    counts: dict[str, int]
    """Tasks by phase."""
    reason: str = ""
    """Why tasks wait, or why the job was stopped."""
    tasks: tuple[TaskView, ...] = ()


@PEER_MESSAGES.register("task_explain")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskExplain:
    """Say in sentences where a task of yours is or why it waits; answered by TaskExplained."""

    task_id: TaskId


@PEER_MESSAGES.register("task_explained")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskExplained:
    """Answer to TaskExplain."""

    sentences: tuple[str, ...]


@PEER_MESSAGES.register("starts_left_call")
@dataclass(frozen=True, kw_only=True, slots=True)
class PendingStartsQuery:
    """A worker's new owner asks the last one; answered by PendingStarts."""

    worker_id: HostId
    epoch: Epoch
    """Of the last owner."""


@PEER_MESSAGES.register("starts_left")
@dataclass(frozen=True, kw_only=True, slots=True)
class PendingStarts:
    """For how long starts sent up to that epoch may still take effect."""

    left_s: float | None
    """None if this process can't tell."""
