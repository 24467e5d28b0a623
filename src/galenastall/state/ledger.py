"""Exact ledger of one worker: how much of its capacity is reserved, and for which task.

Amounts are integers and the ledger itself rejects what does not fit, so no caller can overcommit a
worker. Only adoption may exceed the capacity, since it records tasks that already run; nothing is
admitted until the total fits again.
"""

from collections.abc import Iterator
from enum import IntEnum

from galenastall.state.ids import TaskId
from galenastall.state.resources import Resources


class LedgerPhase(IntEnum):
    """Why an amount is reserved."""

    HELD = 0
    """For a gang that has not started yet."""
    STARTING = 1
    """A start was sent and has not been answered yet."""
    RUNNING = 2
    UNKNOWN = 3
    """It may run; released only on proof that it does not."""


_NEXT_PHASES = {
    LedgerPhase.HELD: frozenset({LedgerPhase.STARTING}),
    LedgerPhase.STARTING: frozenset({LedgerPhase.RUNNING, LedgerPhase.UNKNOWN}),
    LedgerPhase.RUNNING: frozenset({LedgerPhase.UNKNOWN}),
    LedgerPhase.UNKNOWN: frozenset({LedgerPhase.RUNNING}),
}


class LedgerEntry:
    """One task's reservation; modified by its ledger only."""

    __slots__ = ("amount", "phase")

    def __init__(self, *, amount: Resources, phase: LedgerPhase) -> None:
        """Record an amount and why it is reserved."""
        self.amount = amount
        self.phase = phase


class Ledger:
    """Reservations of one worker; `free_*` are plain integers because the hot path reads them."""

    __slots__ = ("_entries_by_task", "capacity", "free_accelerators", "free_cores", "free_memory")

    def __init__(self, *, capacity: Resources) -> None:
        """Start empty with this capacity; raises ValueError if any amount is negative."""
        if capacity.is_negative():
            raise ValueError(f"capacity: {capacity} has a negative amount")
        self.capacity = capacity
        self.free_cores = capacity.cores_milli
        self.free_memory = capacity.memory_mb
        self.free_accelerators = capacity.accelerators
        self._entries_by_task: dict[TaskId, LedgerEntry] = {}

    def reserve(self, task_id: TaskId, amount: Resources, phase: LedgerPhase) -> bool:
        """Reserve `amount` if it fits and the task has no reservation; return whether it did.

        Raises ValueError for a negative amount or for a phase that can't be the first one.
        """
        if phase is not LedgerPhase.HELD and phase is not LedgerPhase.STARTING:
            raise ValueError(f"phase: a reservation can't begin as {phase.name}")
        if task_id in self._entries_by_task or not self.fits(amount):
            return False
        self._subtract(amount)
        self._entries_by_task[task_id] = LedgerEntry(amount=amount, phase=phase)
        return True

    def adopt(self, task_id: TaskId, amount: Resources) -> bool:
        """Record a task that already runs, even beyond capacity; return False if it is known."""
        if amount.is_negative():
            raise ValueError(f"amount: {amount} is negative")
        if task_id in self._entries_by_task:
            return False
        self._subtract(amount)
        self._entries_by_task[task_id] = LedgerEntry(amount=amount, phase=LedgerPhase.RUNNING)
        return True

    def set_phase(self, task_id: TaskId, phase: LedgerPhase) -> bool:
        """Set a task's phase; return False for a transition that is not allowed."""
        entry = self._entries_by_task.get(task_id)
        if entry is None or phase not in _NEXT_PHASES[entry.phase]:
            return False
        entry.phase = phase
        return True

    def resize(self, task_id: TaskId, amount: Resources) -> bool:
        """Change a task's amount if the new one fits; return whether it did."""
        entry = self._entries_by_task.get(task_id)
        if entry is None or amount.is_negative():
            return False
        grown = amount - entry.amount
        is_smaller = amount.fits_in(entry.amount)
        if not is_smaller and (self.is_overcommitted or not self._has_capacity(grown)):
            return False
        self._subtract(grown)
        entry.amount = amount
        return True

    def release(self, task_id: TaskId) -> Resources | None:
        """Free a task's amount and return it, or None if it has none."""
        entry = self._entries_by_task.pop(task_id, None)
        if entry is None:
            return None
        amount = entry.amount
        self.free_cores += amount.cores_milli
        self.free_memory += amount.memory_mb
        self.free_accelerators += amount.accelerators
        return amount

    def fits(self, amount: Resources) -> bool:
        """Return whether `amount` could be reserved now; raises ValueError for a negative one."""
        if amount.is_negative():
            raise ValueError(f"amount: {amount} is negative")
        return not self.is_overcommitted and self._has_capacity(amount)

    @property
    def is_overcommitted(self) -> bool:
        """Whether adopted tasks exceed the capacity."""
        return self.free_cores < 0 or self.free_memory < 0 or self.free_accelerators < 0

    @property
    def free(self) -> Resources:
        """The free capacity; has negative amounts on an overcommitted worker."""
        return Resources(
            cores_milli=self.free_cores,
            memory_mb=self.free_memory,
            accelerators=self.free_accelerators,
        )

    def entry(self, task_id: TaskId) -> LedgerEntry | None:
        """Return the task's entry; read only."""
        return self._entries_by_task.get(task_id)

    def tasks(self) -> Iterator[TaskId]:
        """Return all tasks with a reservation."""
        return iter(self._entries_by_task)

    def __len__(self) -> int:
        return len(self._entries_by_task)

    def __contains__(self, task_id: object) -> bool:
        return task_id in self._entries_by_task

    def _has_capacity(self, amount: Resources) -> bool:
        return (
            amount.cores_milli <= max(self.free_cores, 0)
            and amount.memory_mb <= max(self.free_memory, 0)
            and amount.accelerators <= max(self.free_accelerators, 0)
        )

    def _subtract(self, amount: Resources) -> None:
        self.free_cores -= amount.cores_milli
        self.free_memory -= amount.memory_mb
        self.free_accelerators -= amount.accelerators
