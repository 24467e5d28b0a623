"""How many tasks of a step its approved executors can hold; for reports, not for decisions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from galenastall.coordination.cell.advice import StepAdvice
from galenastall.coordination.cell.executors import ClosedReason, Executor
from galenastall.coordination.cell.fitting import may_host
from galenastall.coordination.cell.reservation_plan import ReservationPlan
from galenastall.state.cell.jobs import Step
from galenastall.state.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class ApprovedCapacity:
    """Executors that may run a step, and how many of its tasks they can hold."""

    executors: int
    open: int
    places_free: int
    """On the open executors now, including what is reserved for others."""
    places_kept: int
    """In what the last decision reserved on the open executors."""
    places_open: int
    """On the open executors if they were empty."""
    places: int
    """On all of them if they were empty."""


def capacity_for(
    step: Step,
    service: str,
    advice: StepAdvice | None,
    *,
    executors_by_id: Mapping[str, Executor],
    closed_by_id: Mapping[str, ClosedReason],
    plan: ReservationPlan,
) -> ApprovedCapacity:
    """Return the capacity for a step; without an advisor its whole service is approved."""
    executors = opened = free = kept = empty_open = empty = 0
    for executor in _candidates(advice, executors_by_id):
        if not may_host(executor, step, service):
            continue
        held = _places(step, executor.info.capacity)
        executors += 1
        empty += held
        if executor.executor_id in closed_by_id:
            continue
        opened += 1
        empty_open += held
        free += _places(step, executor.free)
        kept += _places(step, plan.kept_on(executor))
    return ApprovedCapacity(
        executors=executors,
        open=opened,
        places_free=free,
        places_kept=kept,
        places_open=empty_open,
        places=empty,
    )


def _candidates(
    advice: StepAdvice | None, executors_by_id: Mapping[str, Executor]
) -> Iterable[Executor]:
    if advice is None:
        return executors_by_id.values()
    return [executors_by_id[i] for i in advice.tickets_by_executor if i in executors_by_id]


def _places(step: Step, room: Resources) -> int:
    most = step.most_per_executor if step.most_per_executor > 0 else step.count
    return step.need.count_in(room, min(most, step.count))
