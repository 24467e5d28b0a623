"""Plans gangs by when they would end: their start and the pace of their slowest member."""

from collections.abc import Sequence

from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.reservation_plan import (
    HORIZON_S,
    PlannedStart,
    ReservationPlan,
    could_hold,
)
from galenastall.coordination.cell.speed_wish import SpeedWish
from galenastall.state.cell.jobs import Step


def plan_gang(
    plan: ReservationPlan,
    step: Step,
    candidates: Sequence[Executor],
    wish: SpeedWish,
    *,
    now: float,
    within_s: float = HORIZON_S,
) -> PlannedStart | None:
    """Return the earliest start of a gang if it is in time, else that with the earlier end.

    The other choice is on executors that are fast enough for it to be in time, or the fastest.
    """
    if wish.speeds is None:
        return plan.earliest_start(step, step.count, candidates, not_before=now, within_s=within_s)
    planned = plan.earliest_start(step, step.count, candidates, not_before=now, within_s=within_s)
    if planned is not None and wish.is_in_time(_end_of(planned, step, wish)):
        return planned
    quick = _quick_enough(step, candidates, wish, now=now)
    if len(quick) == len(candidates):
        return planned
    sooner = plan.earliest_start(step, step.count, quick, not_before=now, within_s=within_s)
    found = [each for each in (planned, sooner) if each is not None]
    return min(found, key=lambda each: _end_of(each, step, wish), default=None)


def _quick_enough(
    step: Step, candidates: Sequence[Executor], wish: SpeedWish, *, now: float
) -> Sequence[Executor]:
    """Return the executors that would be in time for a gang that starts now, if they hold it.

    Otherwise the fastest ones that hold it.
    """
    left_s = wish.done_by - now
    if left_s > 0.0:
        quick = [e for e in candidates if wish.speed_of(e) * left_s >= step.estimate_s]
        if could_hold(step, step.count, quick):
            return quick
    for level in sorted({wish.level_of(executor) for executor in candidates}, reverse=True):
        quick = [executor for executor in candidates if wish.level_of(executor) >= level]
        if could_hold(step, step.count, quick):
            return quick
    return candidates


def _end_of(planned: PlannedStart, step: Step, wish: SpeedWish) -> float:
    """Return when a gang should end that starts as planned, by its declared time."""
    return planned.at + _run_s([slot.executor for slot in planned.slots], step, wish)


def _run_s(executors: Sequence[Executor], step: Step, wish: SpeedWish) -> float:
    """Return how long a gang should run on some executors, in seconds."""
    return step.estimate_s / min(wish.speed_of(executor) for executor in executors)
