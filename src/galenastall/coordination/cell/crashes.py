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

PROVEN_S: Final = 0.5
"""A run that was seen at work for as long has not just begun; a task that crashes its executor does
so within 0.01 s of its start."""
SUSPECT_PROVEN_S: Final = 0.1
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
LEAST_AT_WORK_WEIGHT: Final = 3
"""For a task at work however often executors crash by themselves: 20 crashes end it."""
MOST_WEIGHT: Final = 60
"""A task with as much is given up: after three crashes at the earliest, for a task that is only
there may be under two by chance, and after five where others do not crash by themselves."""
LISTING_AGE_S: Final = 1.2
"""A listing tells what was so up to so long ago; an executor that crashes may have run on."""
FULL_WEIGHT_CHANCE: Final = 0.01
"""A crash at work counts in full if executors crash by themselves no more often than this in the
time that the run was there, and the less, the likelier that is."""
RATE_WINDOW_S: Final = 30.0
"""Crashes of the other executors within this time tell how often they crash by themselves."""
TOGETHER_S: Final = 1.5
"""Executors that fall silent within this time of each other may have one cause: each is heard once
in 1.2 s."""
OTHERS_TOGETHER: Final = 3
"""So many others that fall silent with an executor make a cause outside of it likely."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Victim:
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
class Blame:
    """What a crash means for a task that was there."""

    weight: int
    is_suspect: bool
    """Whether its next run is to begin apart from others."""


NO_BLAME: Final = Blame(weight=0, is_suspect=False)


def blame_for_crash(victims: Iterable[Victim], *, is_alone: bool) -> dict[TaskKey, Blame]:
    """Return what a crash means for each task that was there.

    `is_alone` tells that hardly any other executor crashed at the same time.
    """
    victims = list(victims)
    begun = [victim for victim in victims if _has_just_begun(victim)]
    culprit = _only_unit(begun) or _only_unit([victim for victim in begun if victim.is_suspect])
    return {
        victim.task: (
            _blame_begun(is_sure=is_alone and victim.is_confirmed and victim.unit == culprit)
            if _has_just_begun(victim)
            else _blame_at_work(victim)
        )
        for victim in victims
    }


def blame_for_silence(victims: Iterable[Victim], *, is_listed: bool) -> dict[TaskKey, Blame]:
    """Return what it means for tasks that their executor fell silent and their leases have ended.

    It has crashed, or is cut off: from its callers alone if the platform's list still names it
    (`is_listed`), and then only a task that had just begun may have to do with it.
    """
    return {
        victim.task: (
            Blame(weight=SHARED_WEIGHT, is_suspect=True)
            if _has_just_begun(victim)
            else NO_BLAME if is_listed else _blame_at_work(victim)
        )
        for victim in victims
    }


def _only_unit(victims: Iterable[Victim]) -> TaskKey | StepKey | None:
    """Return what all of them belong to, if that is one task or one gang."""
    units = {victim.unit for victim in victims}
    return units.pop() if len(units) == 1 else None


def _has_just_begun(victim: Victim) -> bool:
    if victim.at_work_s is None:
        return False
    return victim.at_work_s < (SUSPECT_PROVEN_S if victim.is_suspect else PROVEN_S)


def _blame_begun(*, is_sure: bool) -> Blame:
    return Blame(weight=ALONE_WEIGHT if is_sure else SHARED_WEIGHT, is_suspect=True)


def _blame_at_work(victim: Victim) -> Blame:
    if victim.at_work_s is None:
        return Blame(weight=SHARED_WEIGHT, is_suspect=True)
    if victim.at_work_s < SETTLED_S:
        return Blame(weight=weight_at_work(victim.chance), is_suspect=False)
    return NO_BLAME


def weight_at_work(chance: float) -> int:
    """Return what a crash weighs on a task at work, by the chance that it was only there."""
    if chance <= FULL_WEIGHT_CHANCE:
        return AT_WORK_WEIGHT
    weight = round(AT_WORK_WEIGHT * log(chance) / log(FULL_WEIGHT_CHANCE))
    return max(weight, LEAST_AT_WORK_WEIGHT)


class CrashJudge:
    """Finds who was there when an executor crashed, in the leader's tables."""

    def __init__(self, *, state: CellState) -> None:
        """Read these tables."""
        self._state = state
        self._silent_since: deque[float] = deque(maxlen=64)
        """Leader's times at which executors that have crashed were last heard."""
        self._crashed: deque[tuple[float, frozenset[TaskKey]]] = deque()
        """Crashes within RATE_WINDOW_S, each with the tasks that were there."""

    def on_crash(self, executor: Executor) -> dict[TaskKey, Blame]:
        """Return what the end of an incarnation means for the tasks that were there."""
        if executor.was_to_leave:
            return {}
        is_alone = self._count_together(executor) < OTHERS_TOGETHER
        if executor.answered_at is not None:
            self._silent_since.append(executor.answered_at)
        blames = blame_for_crash(self._victims(executor), is_alone=is_alone)
        self._crashed.append((self._state.now, frozenset(executor.runs_by_task)))
        return blames

    def on_lapsed(self, executor: Executor) -> dict[TaskKey, Blame]:
        """Return what it means for tasks that their leases ended before the executor answered."""
        if executor.was_to_leave:
            return {}
        return blame_for_silence(self._victims(executor), is_listed=executor.is_listed)

    def _count_together(self, executor: Executor) -> int:
        """Count the other executors that fell silent at the same time, and are or were silent."""
        at = executor.answered_at
        if at is None:
            return 0
        reach_s = self._state.timings.reach_s
        silent_now = [
            other.answered_at
            for other in self._state.executors_by_id.values()
            if other is not executor
            and (other.lost_at is not None or other.needs_polling(self._state.now))
            and other.answered_at is not None
            and not other.has_answered(now=self._state.now, reach_s=reach_s)
        ]
        since = [*self._silent_since, *silent_now]
        return sum(1 for other_at in since if abs(other_at - at) <= TOGETHER_S)

    def _victims(self, executor: Executor) -> list[Victim]:
        victims: list[Victim] = []
        self._forget_crashes()
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is None or not _may_have_been_there(executor, found[2]):
                continue
            unit = key.step_key if found[1].step.is_gang else key
            victims.append(
                Victim(
                    task=key,
                    unit=unit,
                    at_work_s=_at_work_s(found[2]),
                    is_confirmed=found[2].began_at is not None,
                    is_suspect=found[2].is_suspect,
                    chance=self._chance_without(key, _at_work_s(found[2])),
                )
            )
        return victims

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


def _may_have_been_there(executor: Executor, task: TaskRun) -> bool:
    """Whether a run's order may have come to its executor before that fell silent."""
    if task.state is StartState.WRITING:
        return False
    if executor.lost_at is None or task.state is StartState.INHERITED:
        return True
    return task.began_at is not None or task.assigned_at <= executor.lost_at


def _at_work_s(task: TaskRun) -> float | None:
    is_known = task.state is not StartState.INHERITED or task.began_at is not None
    return task.at_work_s if is_known else None
