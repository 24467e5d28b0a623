"""State of the placement core: its workers and the tasks on them.

Plain mutable classes with slots for speed, since every placement touches them; only the core holds
them, and everything that it returns is frozen.
"""

from dataclasses import dataclass
from typing import Final

from galenastall.coordination.placement.placement_commands import (
    CommandKind,
    PlacedTask,
    WorkerState,
)
from galenastall.state.hosts import ListedHost
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.ledger import Ledger, LedgerEntry, LedgerPhase
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import TaskPhase, TaskSpec

PHASE_NAMES: Final = {
    LedgerPhase.HELD: TaskPhase.HELD,
    LedgerPhase.STARTING: TaskPhase.STARTING,
    LedgerPhase.RUNNING: TaskPhase.RUNNING,
    LedgerPhase.UNKNOWN: TaskPhase.UNKNOWN,
}


class Worker:
    """An owned worker with its ledger.

    `available_*` is what the ledger has free minus what is promised to tasks that wait for this
    worker; policies consider only that.
    """

    __slots__ = (
        "available_accelerators",
        "available_cores",
        "available_memory",
        "epoch",
        "has_accelerators",
        "host",
        "is_measured",
        "is_paused",
        "is_quarantined",
        "is_under_memory_pressure",
        "ledger",
        "per_core",
        "per_memory",
        "previous_used",
        "promised",
        "rack",
        "slot",
        "state",
        "used",
        "worker_id",
    )

    def __init__(self, *, host: ListedHost, epoch: Epoch, slot: int) -> None:
        """Start with an empty ledger of the host's capacity; `slot` is unique in the core."""
        capacity = host.capacity
        self.host = host
        self.worker_id: HostId = host.host_id
        self.rack = host.rack
        self.epoch = epoch
        self.slot = slot
        self.ledger = Ledger(capacity=capacity)
        self.state = WorkerState.LIVE
        self.is_measured = False
        self.is_paused = False
        self.is_under_memory_pressure = False
        self.is_quarantined = False
        self.promised: Resources = NOTHING
        self.used: Resources = NOTHING
        self.previous_used: Resources | None = None
        self.has_accelerators = capacity.accelerators > 0
        self.per_core = 1.0 / capacity.cores_milli if capacity.cores_milli else 0.0
        self.per_memory = 1.0 / capacity.memory_mb if capacity.memory_mb else 0.0
        self.update_available()

    def update_available(self) -> None:
        """Recompute `available_*` after the ledger or the promises changed."""
        ledger = self.ledger
        promised = self.promised
        self.available_cores = ledger.free_cores - promised.cores_milli
        self.available_memory = ledger.free_memory - promised.memory_mb
        self.available_accelerators = ledger.free_accelerators - promised.accelerators

    def can_fit(self, amount: Resources) -> bool:
        """Return whether `amount` fits beside what is promised to other tasks."""
        return (
            amount.cores_milli <= self.available_cores
            and amount.memory_mb <= self.available_memory
            and amount.accelerators <= self.available_accelerators
        )

    @property
    def is_open(self) -> bool:
        """Whether it may be given new tasks at all."""
        return (
            self.state is WorkerState.LIVE
            and not self.is_paused
            and not self.is_under_memory_pressure
            and not self.is_quarantined
            and not self.ledger.is_overcommitted
        )

    @property
    def may_be_probed(self) -> bool:
        """Whether it may be given a probe while quarantined."""
        return self.state is WorkerState.LIVE and not self.is_under_memory_pressure


class Placed:
    """A task that has an amount in a worker's ledger."""

    __slots__ = (
        "can_checkpoint",
        "cause",
        "commanded_at",
        "decided_at",
        "ending",
        "entry",
        "granted_mb",
        "is_cancelled",
        "is_throttled",
        "since",
        "task",
        "used",
        "why",
        "worker",
    )

    def __init__(
        self, *, task: TaskSpec, worker: Worker, entry: LedgerEntry, now: float, since: float
    ) -> None:
        """`now`: time of the placement; `since`: when the task began to wait."""
        self.task = task
        self.worker = worker
        self.entry = entry
        self.granted_mb = entry.amount.memory_mb
        self.decided_at = now
        self.since = since
        self.is_cancelled = False
        self.is_throttled = False
        self.can_checkpoint = task.checkpointable
        self.ending: CommandKind | None = None
        self.commanded_at = now
        self.cause = ""
        self.used: Resources = NOTHING
        self.why = ""
        """Why it was placed there."""

    @property
    def phase(self) -> TaskPhase:
        """The task's phase, as its ledger entry has it."""
        return PHASE_NAMES[self.entry.phase]

    def describe(self) -> PlacedTask:
        """Return a frozen snapshot for callers of the core."""
        return PlacedTask(
            task=self.task,
            worker_id=self.worker.worker_id,
            phase=self.phase,
            reserved=self.entry.amount,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class EndRecord:
    """The outcome of a task that ended."""

    task_id: TaskId
    worker_id: HostId
    ok: bool
    detail: str
