"""Explain in sentences where a task is or why it waits; summarise capacity for other owners."""

from collections.abc import Iterable

from galenastall.coordination.placement.feasibility import describe_amount
from galenastall.coordination.placement.placement_commands import CapacitySummary, LargestAmount
from galenastall.coordination.placement.placement_state import Placed
from galenastall.coordination.placement.placement_tables import PlacementTables
from galenastall.coordination.placement.waiting import Waiting, WaitReason
from galenastall.state.ids import TaskId
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import TaskPhase


def explain(tables: PlacementTables, task_id: TaskId, now: float) -> tuple[str, ...]:
    """Return sentences on what the core knows of a task."""
    placed = tables.placed_by_task.get(task_id)
    if placed is not None:
        return tuple(_explain_placed(placed, now))
    waiting = tables.queue.get(task_id)
    if waiting is not None:
        return tuple(_explain_waiting(tables, waiting, now))
    end = tables.ends_by_task.get(task_id)
    if end is not None:
        outcome = "ended well" if end.ok else "failed"
        detail = f": {end.detail}" if end.detail else ""
        return (f"{task_id} {outcome} on {end.worker_id}{detail}.",)
    return (f"{task_id} is not known to this owner.",)


def summarise(tables: PlacementTables, now: float) -> CapacitySummary:
    """Return totals and largest free amounts of the workers that may be given new tasks."""
    workers = [worker for worker in tables.workers_by_id.values() if worker.is_open]
    capacities = [worker.ledger.capacity for worker in workers]
    available = [
        Resources(
            cores_milli=max(worker.available_cores, 0),
            memory_mb=max(worker.available_memory, 0),
            accelerators=max(worker.available_accelerators, 0),
        )
        for worker in workers
    ]
    oldest = tables.queue.oldest()
    return CapacitySummary(
        workers=len(workers),
        capacity=sum(capacities, NOTHING),
        free=sum(available, NOTHING),
        holes=tuple(_largest(available)),
        largest_worker=tuple(_largest(capacities)),
        waiting_by_class=tables.queue.waiting_by_class(),
        running=len(tables.placed_by_task),
        oldest_wait_s=0.0 if oldest is None else max(now - oldest.since, 0.0),
    )


def _explain_placed(placed: Placed, now: float) -> Iterable[str]:
    task = placed.task
    amount = describe_amount(placed.entry.amount)
    age = now - placed.decided_at
    yield (
        f"{task.task_id} is {placed.phase.value} on {placed.worker.worker_id} since {age:.1f} s, "
        f"attempt {task.attempt}, with {amount} reserved."
    )
    if placed.phase is TaskPhase.UNKNOWN:
        yield "Its start had no answer, so its capacity stays reserved until a listing settles it."
    if placed.is_cancelled:
        yield "It was cancelled and is being stopped."
    elif placed.ending is not None:
        yield f"A {placed.ending.value} was commanded: {placed.cause}."
    if placed.is_throttled:
        yield "It is throttled since it overran its memory."
    if placed.entry.amount != task.resources:
        yield f"It declared {describe_amount(task.resources)}."


def _explain_waiting(tables: PlacementTables, waiting: Waiting, now: float) -> Iterable[str]:
    task = waiting.task
    share = tables.queue.share(task.team)
    reason = tables.queue.reason_of(waiting)
    yield (
        f"{task.task_id} ({task.urgency.name.lower()}) waits since {now - waiting.since:.1f} s "
        f"for {describe_amount(task.resources)}: {reason.value}."
    )
    yield f"Its team {task.team} has a dominant share over its weight of {share:.1%}."
    exceeded = tables.queue.exceeded_quota(task.team, tables.estimates.need(task))
    if reason is WaitReason.QUOTA and exceeded is not None:
        yield f"The quota of {exceeded[0]} is {describe_amount(exceeded[1])}."
    promise = tables.promises.get(task.task_id)
    if promise is not None:
        due = promise.expected_at - now
        yield f"{promise.worker.worker_id} is kept for it, expected free in {due:.0f} s."
    obstacle = tables.capacities.obstacle(tables.estimates.need(task))
    if obstacle is not None:
        yield f"No worker of this owner can ever run it: it {obstacle}."
    if not tables.workers_by_id:
        yield "This owner has no workers yet."


def _largest(amounts: list[Resources]) -> Iterable[LargestAmount]:
    if not amounts:
        return
    yield LargestAmount(by="cores", free=max(amounts, key=lambda a: (a.cores_milli, a.memory_mb)))
    yield LargestAmount(by="memory", free=max(amounts, key=lambda a: (a.memory_mb, a.cores_milli)))
    most = max(amounts, key=lambda a: (a.accelerators, a.cores_milli))
    if most.accelerators:
        yield LargestAmount(by="accelerators", free=most)
