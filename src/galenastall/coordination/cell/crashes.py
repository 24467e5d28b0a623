"""Attributes the crash of an executor to the tasks that ran there, with weights.

Occasionally a task crashes every executor that starts it, right after its start, along with some
ten runs of other tasks; other executors crash on their own, several at a time. A faulty task should
be given up once three executors have crashed under it, and no task that merely ran there should be.
So a crash is attributed to tasks that were starting, with the highest weight if there was only one;
such a suspect starts its next run where nothing else is starting (`probation.py`).
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import exp, log
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.task_runs import StartState, TaskRun
from galenastall.state.cell.jobs import StepKey, TaskKey

STARTUP_S: Final = 0.5
"""A run is starting until listings have shown it in progress for this long; a task that crashes
its executor does so within 0.01 s of its start."""
SUSPECT_STARTUP_S: Final = 0.1
"""The same for a suspect, whose executor is polled at this interval while it starts."""
SETTLED_S: Final = 10.0
"""A crash is not attributed to a run that was in progress for at least this long."""
ALONE_WEIGHT: Final = 24
"""For the only task that was starting, or the only suspect among several that were."""
SHARED_WEIGHT: Final = 15
"""For each of several tasks that were starting, for a task of which that is not known, and for all
that were starting if other executors crashed at the same time."""
AT_WORK_WEIGHT: Final = 12
"""For a task that was in progress and past its startup."""
MIN_AT_WORK_WEIGHT: Final = 3
"""Minimum for a task in progress, however often executors crash on their own: it is given up after
20 crashes."""
MAX_WEIGHT: Final = 60
"""A task with this total weight is given up: after three crashes at the earliest, since a task may
be under two by chance, and after five while in progress if executors rarely crash on their own."""
LISTING_AGE_S: Final = 1.2
"""Maximum age of the last listing when an executor crashes; its runs may have gone on since."""
FULL_WEIGHT_CHANCE: Final = 0.01
"""A crash under a task in progress has full weight if the chance of a spontaneous crash while the
run was there is at most this; the weight falls as that chance rises."""
RATE_WINDOW_S: Final = 30.0
"""Window of crashes from which the rate of spontaneous crashes is estimated."""
START_DELAY_S: Final = 0.5
"""Assumed time from the assignment of a run of an earlier leader to its start: an append and an
order, while the store and the executor are well."""
CONCURRENT_S: Final = 1.5
"""Executors that stop answering within this time of each other may have a common cause: each sends
a listing every 1.2 s."""
MIN_CONCURRENT: Final = 3
"""If this many other executors stop answering at the same time, an external cause is likely."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AffectedRun:
    """A run that was, or may have been, on an executor that has crashed."""

    task: TaskKey
    unit: TaskKey | StepKey
    """What is suspected as a unit: a task, or all members of a gang, which start together."""
    at_work_s: float | None
    """How long listings showed it in progress; None if this leader does not know."""
    is_confirmed: bool = True
    """Whether the executor has confirmed the start; otherwise it may have crashed before it."""
    is_suspect: bool = False
    """Whether the task was already a suspect."""
    chance: float = 0.0
    """Probability of a spontaneous crash of the executor while the run was there."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Attribution:
    """The share of a crash attributed to a task that ran on the executor."""

    weight: int
    is_suspect: bool
    """Whether its next run has to start where no other run is starting."""


NO_ATTRIBUTION: Final = Attribution(weight=0, is_suspect=False)


def attribute_crash(
    affected_runs: Iterable[AffectedRun], *, is_isolated: bool
) -> dict[TaskKey, Attribution]:
    """Return the attribution of a crash for each task that ran on the executor.

    `is_isolated` means that hardly any other executor crashed at the same time.
    """
    affected_runs = list(affected_runs)
    starting = [affected_run for affected_run in affected_runs if _is_starting(affected_run)]
    sole_suspect = _sole_unit(starting) or _sole_unit(
        [affected_run for affected_run in starting if affected_run.is_suspect]
    )
    return {
        affected_run.task: (
            _attribute_starting(
                is_certain=is_isolated
                and affected_run.is_confirmed
                and affected_run.unit == sole_suspect
            )
            if _is_starting(affected_run)
            else _attribute_at_work(affected_run)
        )
        for affected_run in affected_runs
    }


def attribute_lost_contact(
    affected_runs: Iterable[AffectedRun], *, is_listed: bool
) -> dict[TaskKey, Attribution]:
    """Return the attribution for tasks whose leases expired after their executor stopped answering.

    The executor has crashed or is cut off. If the platform still lists it (`is_listed`), it is cut
    off from its callers only, and at most a task that was starting can be the cause.
    """
    return {
        affected_run.task: (
            Attribution(weight=SHARED_WEIGHT, is_suspect=True)
            if _is_starting(affected_run)
            else NO_ATTRIBUTION if is_listed else _attribute_at_work(affected_run)
        )
        for affected_run in affected_runs
    }


def _sole_unit(affected_runs: Iterable[AffectedRun]) -> TaskKey | StepKey | None:
    """Return the unit of all runs if they share one, a task or a gang."""
    units = {affected_run.unit for affected_run in affected_runs}
    return units.pop() if len(units) == 1 else None


def _is_starting(affected_run: AffectedRun) -> bool:
    if affected_run.at_work_s is None:
        return False
    return affected_run.at_work_s < (SUSPECT_STARTUP_S if affected_run.is_suspect else STARTUP_S)


def _attribute_starting(*, is_certain: bool) -> Attribution:
    return Attribution(weight=ALONE_WEIGHT if is_certain else SHARED_WEIGHT, is_suspect=True)


def _attribute_at_work(affected_run: AffectedRun) -> Attribution:
    if affected_run.at_work_s is None:
        return Attribution(weight=SHARED_WEIGHT, is_suspect=True)
    if affected_run.at_work_s < SETTLED_S:
        return Attribution(weight=weight_at_work(affected_run.chance), is_suspect=False)
    return NO_ATTRIBUTION


def weight_at_work(chance: float) -> int:
    """Return the weight of a crash for a task in progress, by the chance of a spontaneous one."""
    if chance <= FULL_WEIGHT_CHANCE:
        return AT_WORK_WEIGHT
    weight = round(AT_WORK_WEIGHT * log(chance) / log(FULL_WEIGHT_CHANCE))
    return max(weight, MIN_AT_WORK_WEIGHT)


class CrashAttributor:
    """Attributes crashes to the tasks that ran on the executor, from the leader's tables."""

    def __init__(self, *, state: CellState) -> None:
        """Read these tables."""
        self._state = state
        self._unresponsive_since: deque[float] = deque(maxlen=64)
        """Leader's times of the last listings of executors that have crashed."""
        self._crashed: deque[tuple[float, frozenset[TaskKey]]] = deque()
        """Crashes within RATE_WINDOW_S, each with the tasks that ran on the executor."""

    def on_crash(self, executor: Executor) -> dict[TaskKey, Attribution]:
        """Return the attribution of an incarnation's end to the tasks that ran there."""
        if executor.has_planned_departure:
            return {}
        is_isolated = self._count_concurrent(executor) < MIN_CONCURRENT
        if executor.answered_at is not None:
            self._unresponsive_since.append(executor.answered_at)
        attributions = attribute_crash(self._affected_runs(executor), is_isolated=is_isolated)
        self._crashed.append((self._state.now, frozenset(executor.runs_by_task)))
        return attributions

    def on_lapsed(self, executor: Executor) -> dict[TaskKey, Attribution]:
        """Return the attribution for tasks whose leases expired before the executor answered."""
        if executor.has_planned_departure:
            return {}
        return attribute_lost_contact(self._affected_runs(executor), is_listed=executor.is_listed)

    def _count_concurrent(self, executor: Executor) -> int:
        """Count other executors, ended or still listed, that stopped answering at the same time."""
        at = executor.answered_at
        if at is None:
            return 0
        reach_s = self._state.timings.reach_s
        unresponsive_now = [
            other.answered_at
            for other in self._state.executors_by_id.values()
            if other is not executor
            and (other.lost_at is not None or other.needs_polling(self._state.now))
            and other.answered_at is not None
            and not other.has_answered(now=self._state.now, reach_s=reach_s)
        ]
        since = [*self._unresponsive_since, *unresponsive_now]
        return sum(1 for other_at in since if abs(other_at - at) <= CONCURRENT_S)

    def _affected_runs(self, executor: Executor) -> list[AffectedRun]:
        affected_runs: list[AffectedRun] = []
        self._forget_crashes()
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is None or not _may_have_reached_executor(executor, found[2]):
                continue
            unit = key.step_key if found[1].step.is_gang else key
            at_work_s = self._at_work_s(executor, found[2])
            affected_runs.append(
                AffectedRun(
                    task=key,
                    unit=unit,
                    at_work_s=at_work_s,
                    is_confirmed=found[2].began_at is not None,
                    is_suspect=found[2].is_suspect,
                    chance=self._chance_without(key, at_work_s),
                )
            )
        return affected_runs

    def _at_work_s(self, executor: Executor, task: TaskRun) -> float | None:
        """Return how long a run was certainly at work; None if that is not known."""
        if task.state is not StartState.INHERITED or task.began_at is not None:
            return task.at_work_s
        began_at = inherited_began_at(self._state, task)
        if began_at is None or executor.earlier_answered_at is None:
            return None
        return max(0.0, executor.earlier_answered_at - began_at)

    def _forget_crashes(self) -> None:
        oldest = self._state.now - RATE_WINDOW_S
        while self._crashed and self._crashed[0][0] < oldest:
            self._crashed.popleft()

    def _chance_without(self, task: TaskKey, at_work_s: float | None) -> float:
        """Return the chance of a crash in that time, estimated from crashes without the task."""
        crashes = sum(1 for _, there in self._crashed if task not in there)
        executors = max(len(self._state.executors_by_id), 1)
        watched_s = min(max(self._state.now - self._state.fenced_at, 1.0), RATE_WINDOW_S)
        rate_per_s = crashes / (watched_s * executors)
        return 1.0 - exp(-rate_per_s * ((at_work_s or 0.0) + LISTING_AGE_S))


def _may_have_reached_executor(executor: Executor, task: TaskRun) -> bool:
    """Whether a run's order may have reached its executor before it stopped answering."""
    if task.state is StartState.WRITING:
        return False
    if executor.lost_at is None or task.state is StartState.INHERITED:
        return True
    return task.began_at is not None or task.assigned_at <= executor.lost_at


def inherited_began_at(state: CellState, task: TaskRun) -> float | None:
    """Return the leader's time by which a run of an earlier leader had begun; None if unknown.

    It is later than the true time: the cell's clock stands still between two leaders.
    """
    return state.clock.time_at(task.assigned_ms) + START_DELAY_S if task.assigned_ms else None
