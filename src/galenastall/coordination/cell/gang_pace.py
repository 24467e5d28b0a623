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
    """Return the start of a gang on the slowest executors on which it is done in time.

    If there are none, the one with the earliest end; while speeds are alike, the earliest one.
    """
    if wish.speeds is None:
        return plan.earliest_start(step, step.count, candidates, not_before=now, within_s=within_s)
    best: PlannedStart | None = None
    best_end = 0.0
    for level in sorted({wish.level_of(executor) for executor in candidates}):
        quick = [executor for executor in candidates if wish.level_of(executor) >= level]
        if not could_hold(step, step.count, quick):
            break
        planned = plan.earliest_start(step, step.count, quick, not_before=now, within_s=within_s)
        if planned is None:
            continue
        end = planned.at + _run_s([slot.executor for slot in planned.slots], step, wish)
        if best is None or end < best_end:
            best, best_end = planned, end
        if wish.is_in_time(end):
            break
    return best


def _run_s(executors: Sequence[Executor], step: Step, wish: SpeedWish) -> float:
    """Return how long a gang should run on some executors, in seconds."""
    return step.estimate_s / min(wish.speed_of(executor) for executor in executors)
