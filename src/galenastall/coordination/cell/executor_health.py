"""Which executors fail, stall or crawl, judged by what becomes of runs there."""

from collections import defaultdict
from statistics import median
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.stalls import PROGRESS_SKEW_S
from galenastall.coordination.cell.task_runs import StartState, TaskRun
from galenastall.state.cell.jobs import Step, StepKey

MAX_CONSECUTIVE_FAILURES: Final = 3
"""Failed runs in a row after which an executor is paused; sound ones fail one run in twenty."""
FIRST_PAUSE_S: Final = 4.0
MAX_PAUSE_S: Final = 30.0
"""Pauses double from the first to the longest, so that an executor that stays bad is tried
seldom, and one that recovers is back soon."""
MAX_PAUSE_DOUBLINGS: Final = 10
"""Doublings that are worked out; they take the shortest pause beyond the longest."""
MIN_OBSERVED_S: Final = 0.6
"""A run is watched for this long before its pace counts; sound ones gain some 20% in it."""
SLOW_SHARE: Final = 0.4
"""An executor whose runs gain less than this share of what others of their steps gain is slow;
sound ones differ by 0.8 to 1.25, and tasks of one step by a third."""
RUNS_TO_COMPARE: Final = 3
"""Runs of one step that are needed to tell its usual pace. Declared times are off by up to a
factor of ten between steps, so paces of different steps are not compared."""
RUNS_TO_JUDGE: Final = 2
"""Compared runs that are needed before an executor is judged by them."""


class ExecutorHealth:
    """Pauses executors on evidence."""

    def __init__(self, *, state: CellState) -> None:
        """Judge the executors of these tables."""
        self._state = state

    def on_failure(self, executor: Executor, task: TaskRun) -> None:
        """Note that a run of a task failed there."""
        if _is_task_at_fault(executor, task):
            return
        executor.consecutive_failures += 1
        if executor.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            failures = executor.consecutive_failures
            self._pause(executor, f"{failures} failed runs in a row")

    def on_success(self, executor: Executor) -> None:
        """Note that a run was done there."""
        executor.consecutive_failures = 0
        executor.pauses = 0

    def on_refusal(self, executor: Executor, task: TaskRun, *, now: float) -> None:
        """Note that it refused a start for want of health or room.

        Starts that left together are refused together, and a longer pause stays as it is.
        """
        if _is_task_at_fault(executor, task):
            first_s = self._state.timings.refused_pause_s
            task.not_before = now + _doubled_s(first_s, len(task.avoided))
            return
        if executor.paused_until > now:
            return
        pause_s = _doubled_s(self._state.timings.refused_pause_s, executor.refusals)
        executor.refusals += 1
        executor.paused_until = now + pause_s

    def on_start_late(self, executor: Executor, *, now: float) -> None:
        """Note that a start came too late for it, or was meant for another executor."""
        pause_s = self._state.timings.refused_pause_s
        executor.paused_until = max(executor.paused_until, now + pause_s)

    def on_start_taken(self, executor_id: str) -> None:
        """Note that it took a start."""
        executor = self._state.executors_by_id.get(executor_id)
        if executor is not None:
            executor.refusals = 0

    def on_stall(self, executor: Executor, step: StepKey) -> None:
        """Note that a run of a step made no progress there.

        While other runs there go on, one step that stands still may do so by its nature; four tasks
        of one closed four sound executors. Two steps do not.
        """
        executor.stalled_steps.add(step)
        if len(executor.stalled_steps) > 1 or not self._is_progressing(executor):
            executor.stalled_steps.clear()
            self._pause(executor, "a run stands still")

    def _is_progressing(self, executor: Executor) -> bool:
        """Whether a run there has made progress lately."""
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is None or not found[2].has_progressed:
                continue
            if self._state.now - found[2].percent_at < PROGRESS_SKEW_S:
                return True
        return False

    def slow_executors(self) -> list[Executor]:
        """Return the executors that are much slower than most, and pause them."""
        slow = []
        for executor_id, shares in self._shares_by_executor().items():
            if len(shares) < RUNS_TO_JUDGE or median(shares) >= SLOW_SHARE:
                continue
            executor = self._state.executors_by_id[executor_id]
            self._pause(executor, f"its runs gain {median(shares):.2f} of what others do")
            slow.append(executor)
        return slow

    def _shares_by_executor(self) -> dict[str, list[float]]:
        """Return each run's pace as a share of the usual one of its step, by executor."""
        gains_by_step: defaultdict[StepKey, list[tuple[str, float]]] = defaultdict(list)
        for executor_id, executor in self._state.executors_by_id.items():
            for key in executor.runs_by_task:
                found = self._state.find(key)
                if found is None or not _is_compared(found[1].step):
                    continue
                gain = _percent_per_second(found[2])
                if gain is not None:
                    gains_by_step[key.step_key].append((executor_id, gain))
        shares: defaultdict[str, list[float]] = defaultdict(list)
        for gains in gains_by_step.values():
            usual = median(gain for _, gain in gains)
            if len(gains) >= RUNS_TO_COMPARE and usual > 0:
                for executor_id, gain in gains:
                    shares[executor_id].append(gain / usual)
        return shares

    def _pause(self, executor: Executor, cause: str) -> None:
        if executor.paused_until > self._state.now or Mechanism.DOUBTS in self._state.without:
            return
        pause_s = _doubled_s(FIRST_PAUSE_S, executor.pauses)
        executor.pauses += 1
        executor.paused_until = self._state.now + pause_s
        self._state.note(
            "executor.paused",
            executor.executor_id,
            cause=cause,
            fields={"seconds": f"{pause_s:g}"},
        )


def _is_task_at_fault(executor: Executor, task: TaskRun) -> bool:
    """Whether other executors, too, have failed or refused a task: the fault may be its own.

    One task that fails or is refused wherever it goes closed all executors, one after the other.
    """
    return bool(task.avoided - {executor.executor_id})


def _doubled_s(first_s: float, times: int) -> float:
    """Return a pause that has been doubled so many times, the longest one at most."""
    return min(first_s * 2.0 ** min(times, MAX_PAUSE_DOUBLINGS), MAX_PAUSE_S)


def _is_compared(step: Step) -> bool:
    """Whether the pace of a step's runs is their own: gangs wait, and fillers are slowed down."""
    return not (step.is_gang or step.is_long_running or step.is_filler)


def _percent_per_second(task: TaskRun) -> float | None:
    """Return the percent of its work that a run does in a second; None while it can't be told."""
    if task.state is not StartState.STARTED or task.first_seen_at is None:
        return None
    observed_s = task.listed_at - task.first_seen_at
    if observed_s < MIN_OBSERVED_S:
        return None
    return (task.percent - task.first_percent) / observed_s
