"""Logs the utilization of the cell and its wait queues, one line per second."""

from collections import Counter
from collections.abc import Mapping

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import ClosedReason
from galenastall.coordination.cell.reservation_plan import ReservationPlan
from galenastall.state.cell.phases import TaskPhase


def closed_by_id(state: CellState) -> dict[str, ClosedReason]:
    """Return the executors that accept no new work now, including unlisted ones, and why."""
    return {
        executor_id: closed
        for executor_id, executor in state.executors_by_id.items()
        if (closed := state.why_closed(executor)) is not None
    }


def report_load(
    state: CellState,
    plan: ReservationPlan,
    closed: Mapping[str, ClosedReason],
    *,
    advice_calls: int,
    not_looked_at: int,
) -> None:
    """Log the load, with the capacity that the last decision reserved."""
    executors = [executor for executor in state.executors_by_id.values() if executor.is_listed]
    open_now = [executor for executor in executors if executor.executor_id not in closed]
    state.note(
        "cell.load",
        fields={
            "executors": str(len(executors)),
            "open": str(len(open_now)),
            **{f"closed_{why}": str(n) for why, n in sorted(Counter(closed.values()).items())},
            "kept_on": str(plan.reserved_count),
            "kept_cores_milli": str(plan.kept_cores_milli),
            "urgent_demand_cores_milli": str(plan.urgent.demand_cores_milli),
            "urgent_in_use_cores_milli": str(plan.urgent.in_use_cores_milli),
            "kept_for_urgent_cores_milli": str(plan.urgent.kept_cores_milli),
            "cores_milli": str(sum(e.info.capacity.cores_milli for e in executors)),
            "free_cores_milli": str(sum(e.free.cores_milli for e in executors)),
            "free_memory_mb": str(sum(e.free.memory_mb for e in executors)),
            "runs": str(sum(len(e.runs_by_task) for e in executors)),
            "advice_calls": str(advice_calls),
            "advice_calls_at_once": str(state.advice_calls_at_once),
            "not_looked_at": str(not_looked_at),
            **_waiting_by_queue(state),
        },
    )


def _waiting_by_queue(state: CellState) -> dict[str, str]:
    """Return the number of waiting tasks of each queue that has any."""
    counts: Counter[str] = Counter()
    for key in state.waiting_steps:
        job = state.jobs_by_id.get(key.job)
        step = job.find_step(key) if job is not None else None
        if job is not None and step is not None:
            waiting = sum(1 for task in step.tasks if task.phase is TaskPhase.WAITING)
            counts[f"waiting_{job.queue.name}"] += waiting
    return {name: str(count) for name, count in sorted(counts.items())}
