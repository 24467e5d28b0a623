"""To which tasks the crash of an executor is put down, and how heavily.

Answers this load: now and then a task crashes each executor that starts it, just after its start,
with some ten runs of others beside it; other executors crash by themselves, several at a time. A
task at fault is to be given up once three executors have crashed under it, and none that was only
there. So a crash weighs on what had just begun, most on a task that alone had; a task suspected
like that begins its next run where nothing else has just begun (`probation.py`).
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
"""A run that was seen at work for as long has not just begun; a task that crashes its executor does
so within 0.01 s of its start."""
SUSPECT_STARTUP_S: Final = 0.1
"""The same for a suspect, whose executor is asked that often while it begins."""
SETTLED_S: Final = 10.0
"""A crash under a run that was seen at work for as long is not put down to it."""
ALONE_WEIGHT: Final = 24
"""For a task that alone had just begun, or alone of these was suspected before."""
SHARED_WEIGHT: Final = 15
"""For each of several that had just begun, for a task of which that is not known, and for all that
had just begun where other executors crashed at the same time."""
AT_WORK_WEIGHT: Final = 12
"""For a task that was at work."""
MIN_AT_WORK_WEIGHT: Final = 3
"""For a task at work however often executors crash by themselves: 20 crashes end it."""
MAX_WEIGHT: Final = 60
"""A task with as much is given up: after three crashes at the earliest, for a task that is only
there may be under two by chance, and after five where others do not crash by themselves."""
LISTING_AGE_S: Final = 1.2
"""A listing tells what was so up to so long ago; an executor that crashes may have run on."""
FULL_WEIGHT_CHANCE: Final = 0.01
"""A crash at work counts in full if executors crash by themselves no more often than this in the
time that the run was there, and the less, the likelier that is."""
RATE_WINDOW_S: Final = 30.0
"""Crashes of the other executors within this time tell how often they crash by themselves."""
CONCURRENT_S: Final = 1.5
"""Executors that fall silent within this time of each other may have one cause: each is heard once
in 1.2 s."""
MIN_CONCURRENT: Final = 3
"""So many others that fall silent with an executor make a cause outside of it likely."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AffectedRun:
    """A run that was, or may have been, on an executor that has crashed."""

    task: TaskKey
    unit: TaskKey | StepKey
    """What is suspected as one: a task, or all members of a gang, which begin together."""
    at_work_s: float | None
    """For how long it was seen at work; None if this leader does not know."""
    is_confirmed: bool = True
    """Whether the executor has said that it started; else it may have crashed before."""
    is_suspect: bool = False
    """Whether it was suspected before."""
    chance: float = 0.0
    """How likely it is that its executor crashed by itself while the run was there."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Attribution:
    """What a crash means for a task that was there."""

    weight: int
    is_suspect: bool
    """Whether its next run is to begin apart from others."""


NO_ATTRIBUTION: Final = Attribution(weight=0, is_suspect=False)


def attribute_crash(
    affected_runs: Iterable[AffectedRun], *, is_isolated: bool
) -> dict[TaskKey, Attribution]:
    """Return what a crash means for each task that was there.

    `is_isolated` tells that hardly any other executor crashed at the same time.
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
    """Return what it means for tasks that their executor fell silent and their leases have ended.

    It has crashed, or is cut off: from its callers alone if the platform's list still names it
    (`is_listed`), and then only a task that had just begun may have to do with it.
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
    """Return what all of them belong to, if that is one task or one gang."""
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
    """Return what a crash weighs on a task at work, by the chance that it was only there."""
    if chance <= FULL_WEIGHT_CHANCE:
        return AT_WORK_WEIGHT
    weight = round(AT_WORK_WEIGHT * log(chance) / log(FULL_WEIGHT_CHANCE))
    return max(weight, MIN_AT_WORK_WEIGHT)


class CrashAttributor:
    """Finds who was there when an executor crashed, in the leader's tables."""

    def __init__(self, *, state: CellState) -> None:
        """Read these tables."""
        self._state = state
        self._unresponsive_since: deque[float] = deque(maxlen=64)
        """Leader's times at which executors that have crashed were last heard."""
        self._crashed: deque[tuple[float, frozenset[TaskKey]]] = deque()
        """Crashes within RATE_WINDOW_S, each with the tasks that were there."""

    def on_crash(self, executor: Executor) -> dict[TaskKey, Attribution]:
        """Return what the end of an incarnation means for the tasks that were there."""
        if executor.has_planned_departure:
            return {}
        is_isolated = self._count_concurrent(executor) < MIN_CONCURRENT
        if executor.answered_at is not None:
            self._unresponsive_since.append(executor.answered_at)
        attributions = attribute_crash(self._affected_runs(executor), is_isolated=is_isolated)
        self._crashed.append((self._state.now, frozenset(executor.runs_by_task)))
        return attributions

    def on_lapsed(self, executor: Executor) -> dict[TaskKey, Attribution]:
        """Return what it means for tasks that their leases ended before the executor answered."""
        if executor.has_planned_departure:
            return {}
        return attribute_lost_contact(self._affected_runs(executor), is_listed=executor.is_listed)

    def _count_concurrent(self, executor: Executor) -> int:
        """Count the other executors that fell silent at the same time, and are or were silent."""
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
            affected_runs.append(
                AffectedRun(
                    task=key,
                    unit=unit,
                    at_work_s=_at_work_s(found[2]),
                    is_confirmed=found[2].began_at is not None,
                    is_suspect=found[2].is_suspect,
                    chance=self._chance_without(key, _at_work_s(found[2])),
                )
            )
        return affected_runs

    def _forget_crashes(self) -> None:
        oldest = self._state.now - RATE_WINDOW_S
        while self._crashed and self._crashed[0][0] < oldest:
            self._crashed.popleft()

    def _chance_without(self, task: TaskKey, at_work_s: float | None) -> float:
        """Return how likely an executor crashes in so long, by the crashes without the task."""
        crashes = sum(1 for _, there in self._crashed if task not in there)
        executors = max(len(self._state.executors_by_id), 1)
        watched_s = min(max(self._state.now - self._state.fenced_at, 1.0), RATE_WINDOW_S)
        rate_per_s = crashes / (watched_s * executors)
        return 1.0 - exp(-rate_per_s * ((at_work_s or 0.0) + LISTING_AGE_S))


def _may_have_reached_executor(executor: Executor, task: TaskRun) -> bool:
    """Whether a run's order may have come to its executor before that fell silent."""
    if task.state is StartState.WRITING:
        return False
    if executor.lost_at is None or task.state is StartState.INHERITED:
        return True
    return task.began_at is not None or task.assigned_at <= executor.lost_at


def _at_work_s(task: TaskRun) -> float | None:
    is_known = task.state is not StartState.INHERITED or task.began_at is not None
    return task.at_work_s if is_known else None
