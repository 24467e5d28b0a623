"""React to memory overruns before a worker is full: throttle, then checkpoint, then stop.

A task that can neither be checkpointed nor run again is never stopped while it stays within its
reservation; one that overruns is stopped last of all, and then ends as failed.

Usage reports lag, so the expected usage is the last report plus its growth since the one before. A
worker under memory pressure gets nothing new until its usage is well below the first threshold.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from galenastall.coordination.placement.placement_commands import CommandKind
from galenastall.coordination.placement.placement_state import Placed, Worker
from galenastall.coordination.placement.preemption import ENDINGS
from galenastall.state.work import TaskPhase, Workload


@dataclass(frozen=True, kw_only=True, slots=True)
class OverrunSettings:
    """Shares of a worker's memory, 0 to 1, at which each action is taken."""

    throttle_at: float = 0.85
    checkpoint_at: float = 0.92
    stop_at: float = 0.97
    relaxed_below: float = 0.80
    """Usage below which the worker gets new tasks again."""
    throttled_share: float = 0.5
    """Share of its reservation that a throttled task may use."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OverrunAction:
    """A command for one task, with its reason."""

    placed: Placed
    command: CommandKind
    cause: str


def expected_memory(worker: Worker) -> int:
    """Return the memory in MB that the worker is expected to use by the next report."""
    used = worker.used.memory_mb
    before = worker.previous_used
    return used if before is None else used + max(used - before.memory_mb, 0)


def is_overrun(worker: Worker, placed: Iterable[Placed]) -> bool:
    """Return whether the worker or a task exceeds its reserved memory; else the ledger suffices."""
    reserved = worker.ledger.capacity.memory_mb - worker.ledger.free_memory
    return worker.used.memory_mb > reserved or any(excess_of(task) > 0 for task in placed)


def find_overruns(
    worker: Worker, placed: Iterable[Placed], settings: OverrunSettings
) -> list[OverrunAction]:
    """Return the actions for a worker whose memory runs out: throttles, then ends if needed."""
    capacity = worker.ledger.capacity.memory_mb
    expected = expected_memory(worker)
    candidates = [task for task in placed if task.phase is TaskPhase.RUNNING]
    cause = f"{worker.worker_id} is expected to use {expected} of {capacity} MB"
    actions = [
        OverrunAction(placed=task, command=CommandKind.THROTTLE, cause=cause)
        for task in candidates
        if excess_of(task) > 0 and not task.is_throttled and task.ending is None
    ]
    if expected < settings.checkpoint_at * capacity:
        return actions
    may_stop = expected >= settings.stop_at * capacity
    surplus = expected - int(settings.throttle_at * capacity)
    actions.extend(_endings(candidates, surplus, cause, may_stop=may_stop))
    return actions


def excess_of(placed: Placed) -> int:
    """Return by how many MB a task uses more memory than was reserved at its start."""
    return placed.used.memory_mb - placed.granted_mb


def _endings(
    candidates: list[Placed], surplus: int, cause: str, *, may_stop: bool
) -> Iterator[OverrunAction]:
    """End tasks until `surplus` MB will be free: lowest class first, then overrunning ones.

    Tasks that can neither be checkpointed nor run again come last.
    """
    for task in sorted(candidates, key=_ending_order):
        if surplus <= 0:
            return
        if task.ending in ENDINGS:
            surplus -= task.used.memory_mb
            continue
        if _is_unrecoverable(task) and excess_of(task) <= 0:
            continue
        if task.can_checkpoint:
            yield OverrunAction(placed=task, command=CommandKind.CHECKPOINT, cause=cause)
        elif may_stop:
            yield OverrunAction(placed=task, command=CommandKind.STOP, cause=cause)
        else:
            continue
        surplus -= task.used.memory_mb


def _is_unrecoverable(placed: Placed) -> bool:
    return not placed.task.idempotent and not placed.can_checkpoint


def _ending_order(placed: Placed) -> tuple[bool, int, bool, bool, int]:
    task = placed.task
    is_shared = task.workload is not Workload.BATCH
    return (
        _is_unrecoverable(placed),
        -task.urgency,
        is_shared,
        excess_of(placed) <= 0,
        -placed.used.memory_mb,
    )
