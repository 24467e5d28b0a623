"""Choose which tasks of lower classes to preempt for a task of a higher one, at the least loss.

Only lower classes, checkpoint before stop, never a task that can neither be checkpointed nor run
again, never a member of a gang (one stopped member wastes them all). A set of victims is chosen on
each of a few workers, and the cheapest set is preempted.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.placement.placement_commands import CommandKind
from galenastall.coordination.placement.placement_state import Placed, Worker
from galenastall.state.ledger import LedgerPhase
from galenastall.state.resources import Resources
from galenastall.state.work import TaskSpec, Workload

CHECKPOINT_COST_S: Final = 5.0
"""Core-seconds per core that a checkpoint and a restart are assumed to lose."""
SERVICE_COST_S: Final = 600.0
"""Core-seconds added for preempting a service's replica, which its callers notice."""
ENDINGS: Final = frozenset({CommandKind.STOP, CommandKind.CHECKPOINT})
"""Commands that free a task's capacity once they take effect."""

Loss = tuple[bool, int, float]
"""Sort key: must be stopped rather than checkpointed, class (lowest first), core-seconds lost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
    """A task to preempt, and the command that does so."""

    placed: Placed
    command: CommandKind
    cost: float
    """Core-seconds of work lost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PreemptionPlan:
    """The tasks to preempt on one worker so that another task fits there."""

    worker: Worker
    victims: tuple[Victim, ...]
    cost: float


def loss_of(placed: Placed, task: TaskSpec, now: float) -> Loss | None:
    """Return the loss if `placed` is preempted for `task`, or None if it must not be."""
    other = placed.task
    if other.urgency <= task.urgency or placed.ending is not None:
        return None
    if placed.entry.phase is not LedgerPhase.RUNNING or other.workload is Workload.GANG:
        return None
    extra = SERVICE_COST_S if other.workload is Workload.SERVICE else 0.0
    cores = placed.entry.amount.cores_milli / 1000
    if placed.can_checkpoint:
        return False, -other.urgency, CHECKPOINT_COST_S * cores + extra
    if not other.idempotent:
        return None
    return True, -other.urgency, (now - placed.decided_at) * cores + extra


def plan_on(
    worker: Worker, placed: Iterable[Placed], task: TaskSpec, amount: Resources, now: float
) -> PreemptionPlan | None:
    """Return the cheapest victims found on this worker that free enough, or None.

    Capacity promised to others there is not counted as free; that of ending tasks is.
    """
    free = worker.ledger.free - worker.promised
    losses: list[tuple[Loss, int, Placed]] = []
    for position, other in enumerate(placed):
        if other.ending in ENDINGS:
            free = free + other.entry.amount
            continue
        loss = loss_of(other, task, now)
        if loss is not None:
            losses.append((loss, position, other))
    losses.sort()
    chosen: list[Victim] = []
    for loss, _, other in losses:
        if amount.fits_in(free):
            break
        released = other.entry.amount
        if _helps(released, amount, free):
            free = free + released
            command = CommandKind.STOP if loss[0] else CommandKind.CHECKPOINT
            chosen.append(Victim(placed=other, command=command, cost=loss[2]))
    if not amount.fits_in(free):
        return None
    return _without_surplus(worker, chosen, amount, free)


def cheapest(plans: Iterable[PreemptionPlan | None]) -> PreemptionPlan | None:
    """Return the plan that stops the fewest tasks, then loses the least work."""
    real = [plan for plan in plans if plan is not None]
    return min(real, key=_plan_key, default=None)


def _without_surplus(
    worker: Worker, chosen: list[Victim], amount: Resources, free: Resources
) -> PreemptionPlan:
    kept: list[Victim] = []
    for victim in reversed(chosen):
        less = free - victim.placed.entry.amount
        if amount.fits_in(less):
            free = less
        else:
            kept.append(victim)
    cost = sum(victim.cost for victim in kept)
    return PreemptionPlan(worker=worker, victims=tuple(kept), cost=cost)


def _helps(released: Resources, amount: Resources, free: Resources) -> bool:
    missing = amount - free
    return (
        (missing.cores_milli > 0 and released.cores_milli > 0)
        or (missing.memory_mb > 0 and released.memory_mb > 0)
        or (missing.accelerators > 0 and released.accelerators > 0)
    )


def _plan_key(plan: PreemptionPlan) -> tuple[int, float, str]:
    stops = sum(victim.command is CommandKind.STOP for victim in plan.victims)
    return stops, plan.cost, plan.worker.worker_id
