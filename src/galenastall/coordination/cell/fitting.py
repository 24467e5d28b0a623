"""Chooses the executors that fit a step best; pure functions of their ledgers and reservations."""

from collections.abc import Iterable
from heapq import heapify, heappop, heappush

from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.reservation_plan import ReservationPlan
from galenastall.coordination.cell.speed_wish import ANY_SPEED, SpeedWish
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.state.cell.jobs import Step

Preference = tuple[int, int, int, int, float, str]


def may_host(executor: Executor, step: Step, service: str) -> bool:
    """Whether the executor belongs to the service and has the label that the step requires."""
    if executor.info.service != service:
        return False
    return not step.label or step.label in executor.info.labels


def may_add(executor: Executor, step: StepRun) -> bool:
    """Whether the step's limit per executor allows one more of its tasks on the executor."""
    most = step.step.most_per_executor
    if most <= 0:
        return True
    there = sum(1 for task in executor.runs_by_task if task.step_key == step.key)
    return there < most


def choose(
    usable: Iterable[Executor],
    step: StepRun,
    task: TaskRun,
    plan: ReservationPlan,
    wish: SpeedWish = ANY_SPEED,
) -> Executor | None:
    """Return the best-fit executor, close to the data if possible; None if the task fits nowhere.

    An executor on which the task has failed, stalled or been refused is the last choice: few
    attempts are allowed, and the fault may be the executor's.
    """
    best: Executor | None = None
    best_key: Preference | None = None
    plan.begin_search()
    for executor in usable:
        if not plan.startable_count(executor, step.step, 1) or not may_add(executor, step):
            continue
        is_avoided = executor.executor_id in task.avoided
        key = _preference(executor, step, plan, wish, is_avoided=is_avoided)
        if best_key is None or key < best_key:
            best, best_key = executor, key
    return best


class SingleChoices:
    """Chooses for a step's tasks one by one as `choose` does, but evaluates each executor once.

    Only the executor that was chosen last is evaluated again: no other one has changed.
    """

    def __init__(
        self,
        usable: Iterable[Executor],
        step: StepRun,
        plan: ReservationPlan,
        wish: SpeedWish = ANY_SPEED,
    ) -> None:
        """Evaluate all executors once."""
        self._wish = wish
        self._usable = list(usable)
        self._step = step
        self._plan = plan
        self._last: Executor | None = None
        self._ranked: list[tuple[Preference, Executor]] = []
        for executor in self._usable:
            self._rank(executor)

    def choose(self, task: TaskRun) -> Executor | None:
        """Return the executor for a task; the previously returned one must have its task by now."""
        if self._last is not None:
            self._rank(self._last)
            self._last = None
        if task.avoided or not self._ranked:
            # Avoided executors differ by task, and a failed search counts the withheld slots.
            return self._choose_alone(task)
        self._last = heappop(self._ranked)[1]
        return self._last

    def _choose_alone(self, task: TaskRun) -> Executor | None:
        chosen = choose(self._usable, self._step, task, self._plan, self._wish)
        if chosen is not None:
            self._ranked = [pair for pair in self._ranked if pair[1] is not chosen]
            heapify(self._ranked)
            self._last = chosen
        return chosen

    def _rank(self, executor: Executor) -> None:
        if not self._plan.startable_count(executor, self._step.step, 1):
            return
        if may_add(executor, self._step):
            preference = _preference(executor, self._step, self._plan, self._wish, is_avoided=False)
            heappush(self._ranked, (preference, executor))


def choose_for_gang(
    usable: list[Executor],
    step: StepRun,
    count: int,
    plan: ReservationPlan,
    wish: SpeedWish = ANY_SPEED,
) -> list[Executor] | None:
    """Return an executor for each member, on one rack if that is wanted and possible."""
    if not step.step.wants_one_rack:
        return _fill(usable, step, count, plan, wish)
    avoided = _avoided(step)
    sound = [e for e in usable if e.executor_id not in avoided]
    # Prefer a rack that holds the gang without the executors that it avoids.
    for candidates in (sound, usable) if avoided else (usable,):
        for rack in sorted({e.info.rack for e in candidates}):
            there = [e for e in candidates if e.info.rack == rack]
            chosen = _fill(there, step, count, plan, wish)
            if chosen is not None:
                return chosen
    return _fill(usable, step, count, plan, wish)


def _avoided(step: StepRun) -> frozenset[str]:
    return frozenset[str]().union(*(task.avoided for task in step.tasks))


def _fill(
    usable: list[Executor], step: StepRun, count: int, plan: ReservationPlan, wish: SpeedWish
) -> list[Executor] | None:
    plan.begin_search()
    fitting_by_id = {e.executor_id: _fitting(e, step, count, plan) for e in usable}
    # Most waiting gangs don't fit, so preferences are computed only for those that do.
    fitting = sum(fitting_by_id.values())
    if fitting < count:
        plan.missing_slots = count - fitting
        return None
    avoided = _avoided(step)

    def preference(executor: Executor) -> Preference:
        is_avoided = executor.executor_id in avoided
        return _preference(executor, step, plan, wish, is_avoided=is_avoided)

    slowest = _slowest_speed(usable, fitting_by_id, count, wish)
    hosting = [e for e in usable if fitting_by_id[e.executor_id] and wish.speed_of(e) >= slowest]
    chosen: list[Executor] = []
    for executor in sorted(hosting, key=preference):
        chosen.extend([executor] * min(fitting_by_id[executor.executor_id], count - len(chosen)))
        if len(chosen) == count:
            break
    return chosen


def _slowest_speed(
    usable: list[Executor], fitting_by_id: dict[str, int], count: int, wish: SpeedWish
) -> float:
    """Return the speed below which a gang takes no executor, as its slowest member sets its pace.

    It leaves the gang enough executors, and is no higher than the gang needs to be done in time.
    """
    if wish.speeds is None:
        return 0.0
    left = count
    for executor in sorted(usable, key=wish.speed_of, reverse=True):
        left -= fitting_by_id[executor.executor_id]
        if left <= 0:
            return min(wish.speed_of(executor), wish.spare_speed)
    return 0.0


def _fitting(executor: Executor, step: StepRun, count: int, plan: ReservationPlan) -> int:
    """Return how many members of a gang, up to `count`, an executor can start now."""
    fitting = plan.startable_count(executor, step.step, count)
    most = step.step.most_per_executor
    return min(fitting, most) if most > 0 else fitting


def _preference(
    executor: Executor,
    step: StepRun,
    plan: ReservationPlan,
    wish: SpeedWish,
    *,
    is_avoided: bool,
) -> Preference:
    suspect = 1 if is_avoided or executor.consecutive_failures > 1 else 0
    rack = step.step.data_rack
    off_rack = 1 if rack and rack != executor.info.rack else 0
    need = step.step.need
    capacity = executor.info.capacity
    cores_left = (executor.free.cores_milli - need.cores_milli) / max(capacity.cores_milli, 1)
    memory_left = (executor.free.memory_mb - need.memory_mb) / max(capacity.memory_mb, 1)
    uneven = abs(cores_left - memory_left)
    reserved = 1 if plan.was_reserved(executor) and not step.step.is_gang else 0
    leftover = cores_left + memory_left + uneven
    return (suspect, off_rack, reserved, wish.rank(executor), leftover, executor.executor_id)
