"""Which executors fail, stall or crawl, judged by what becomes of runs there."""

from statistics import median
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import StartState, StepRun, TaskRun

FAILURES_IN_A_ROW: Final = 3
"""Failed runs in a row after which an executor is paused; sound ones fail one run in twenty."""
FIRST_PAUSE_S: Final = 4.0
LONGEST_PAUSE_S: Final = 30.0
"""Pauses double from the first to the longest, so that an executor that stays bad is tried
seldom, and one that recovers is back soon."""
WATCHED_S: Final = 0.6
"""A run is watched for this long before its pace counts; sound ones gain some 20% in it."""
SLOW_SHARE: Final = 0.35
"""An executor below this share of the median pace is slow; sound ones differ by 0.8 to 1.25, and
declared times by a factor of two each way."""
RUNS_TO_JUDGE: Final = 3
"""Runs whose paces are needed before an executor is judged by them."""
EXECUTORS_TO_COMPARE: Final = 4
"""Executors with a pace that are needed before any of them is called slow."""


class Doubts:
    """Pauses executors on evidence."""

    def __init__(self, *, state: CellState) -> None:
        """Judge the executors of these tables."""
        self._state = state

    def on_failure(self, executor: Executor) -> None:
        """Note that a run failed there."""
        executor.consecutive_failures += 1
        if executor.consecutive_failures >= FAILURES_IN_A_ROW:
            failures = executor.consecutive_failures
            self._pause(executor, f"{failures} failed runs in a row")

    def on_success(self, executor: Executor) -> None:
        """Note that a run was done there."""
        executor.consecutive_failures = 0
        executor.pauses = 0

    def on_standstill(self, executor: Executor) -> None:
        """Note that a run made no progress there."""
        self._pause(executor, "a run stands still")

    def slow_executors(self) -> list[Executor]:
        """Return the executors that are much slower than most, and pause them."""
        pace_by_id = {
            executor.executor_id: pace
            for executor in self._state.executors_by_id.values()
            if (pace := self._pace(executor)) is not None
        }
        if len(pace_by_id) < EXECUTORS_TO_COMPARE:
            return []
        usual = median(pace_by_id.values())
        slow = [
            self._state.executors_by_id[executor_id]
            for executor_id, pace in pace_by_id.items()
            if pace < SLOW_SHARE * usual
        ]
        for executor in slow:
            pace = pace_by_id[executor.executor_id]
            self._pause(executor, f"its pace is {pace:.2f}, most are at {usual:.2f}")
        return slow

    def _pace(self, executor: Executor) -> float | None:
        """Return the executor's median pace: declared seconds of work done in a second."""
        paces = []
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is None:
                continue
            pace = _pace_of(found[1], found[2], self._state.now)
            if pace is not None:
                paces.append(pace)
        return median(paces) if len(paces) >= RUNS_TO_JUDGE else None

    def _pause(self, executor: Executor, cause: str) -> None:
        if executor.paused_until > self._state.now:
            return
        pause_s = min(FIRST_PAUSE_S * 2.0**executor.pauses, LONGEST_PAUSE_S)
        executor.pauses += 1
        executor.paused_until = self._state.now + pause_s
        self._state.note(
            "executor.paused",
            executor.executor_id,
            cause=cause,
            fields={"seconds": f"{pause_s:g}"},
        )


def _pace_of(step: StepRun, task: TaskRun, now: float) -> float | None:
    """Return how much declared work a run does in a second; None while it can't be told."""
    if task.state is not StartState.STARTED or task.first_seen_at is None:
        return None
    if step.step.is_long_running or step.step.estimate_s <= 0:
        return None
    watched_s = task.listed_at - task.first_seen_at
    if watched_s < WATCHED_S or (step.step.is_gang and task.percent == 0):
        return None
    return (task.percent - task.first_percent) / 100.0 * step.step.estimate_s / watched_s
