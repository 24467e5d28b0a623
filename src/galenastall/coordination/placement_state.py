"""What the placement core knows: its workers and the tasks on them.

Plain mutable classes with slots, since these are touched on every placement; only the core holds
them, everything that it hands out is frozen.
"""

from dataclasses import dataclass

from galenastall.coordination.placement_commands import CommandKind, WorkerState
from galenastall.state.hosts import ListedHost
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.ledger import Ledger, LedgerEntry, LedgerPhase
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import TaskPhase, TaskSpec

PHASE_NAMES = {
    LedgerPhase.HELD: TaskPhase.HELD,
    LedgerPhase.STARTING: TaskPhase.STARTING,
    LedgerPhase.RUNNING: TaskPhase.RUNNING,
    LedgerPhase.UNKNOWN: TaskPhase.UNKNOWN,
}


class Worker:
    """An owned worker with its ledger."""

    __slots__ = ("epoch", "host", "ledger", "rack", "state", "used", "worker_id")

    def __init__(self, *, host: ListedHost, epoch: Epoch) -> None:
        """Start with an empty ledger of the host's capacity."""
        self.host = host
        self.worker_id: HostId = host.host_id
        self.rack = host.rack
        self.epoch = epoch
        self.ledger = Ledger(capacity=host.capacity)
        self.state = WorkerState.LIVE
        self.used: Resources = NOTHING


class Placed:
    """A task that has an amount in a worker's ledger."""

    __slots__ = (
        "cause",
        "commanded_at",
        "decided_at",
        "ending",
        "entry",
        "is_cancelled",
        "started_at",
        "task",
        "used",
        "worker",
    )

    def __init__(self, *, task: TaskSpec, worker: Worker, entry: LedgerEntry, now: float) -> None:
        """Record where the task is and since when."""
        self.task = task
        self.worker = worker
        self.entry = entry
        self.decided_at = now
        self.started_at = now
        self.is_cancelled = False
        self.ending: CommandKind | None = None
        self.commanded_at = now
        self.cause = ""
        self.used: Resources = NOTHING

    @property
    def phase(self) -> TaskPhase:
        """Where the task stands."""
        return PHASE_NAMES[self.entry.phase]


@dataclass(frozen=True, kw_only=True, slots=True)
class EndMemory:
    """What is remembered of a task that ended."""

    task_id: TaskId
    worker_id: HostId
    ok: bool
    detail: str
