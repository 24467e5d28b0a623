"""Detects executors on which runs fail, stall or are slow, and pauses them."""

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
"""Consecutive failed runs after which an executor is paused; healthy ones fail one run in 20."""
FIRST_PAUSE_S: Final = 4.0
MAX_PAUSE_S: Final = 30.0
"""Pauses double from the first to the longest, so that an executor that stays unhealthy is rarely
tried, and one that recovers is used again soon."""
MAX_PAUSE_DOUBLINGS: Final = 10
"""Limit of doublings that are computed; they take the shortest pause beyond the longest."""
MIN_OBSERVED_S: Final = 0.6
"""A run is observed for this long before its speed counts; healthy ones gain some 20% by then."""
SLOW_SHARE: Final = 0.4
"""An executor is slow if its runs gain less than this share of what other runs of their steps gain;
healthy executors differ by 0.8 to 1.25, and tasks of one step by a third."""
RUNS_TO_COMPARE: Final = 3
"""Minimum number of runs of one step to determine its usual speed. Declared times are off by up to
a factor of ten between steps, so speeds of different steps are not compared."""
RUNS_TO_JUDGE: Final = 2
"""Minimum number of compared runs before an executor is found slow."""


class ExecutorHealth:
    """Pauses executors that fail, refuse, stall or slow down runs."""

    def __init__(self, *, state: CellState) -> None:
        """Track the executors of these tables."""
        self._state = state

    def on_failure(self, executor: Executor, task: TaskRun) -> None:
        """Record that a run of a task failed on an executor."""
        if _is_task_at_fault(executor, task):
            return
        executor.consecutive_failures += 1
        if executor.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            failures = executor.consecutive_failures
            self._pause(executor, f"{failures} failed runs in a row")

    def on_success(self, executor: Executor) -> None:
        """Record that a run completed on an executor."""
        executor.consecutive_failures = 0
        executor.pauses = 0

    def on_refusal(self, executor: Executor, task: TaskRun, *, now: float) -> None:
        """Record that an executor refused a start for lack of health or capacity.

        Starts sent together are refused together; an executor that is paused already stays so.
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
        """Record that a start arrived too late, or was meant for another executor."""
        pause_s = self._state.timings.refused_pause_s
        executor.paused_until = max(executor.paused_until, now + pause_s)

    def on_start_taken(self, executor_id: str) -> None:
        """Record that an executor accepted a start."""
        executor = self._state.executors_by_id.get(executor_id)
        if executor is not None:
            executor.refusals = 0

    def on_stall(self, executor: Executor, step: StepKey) -> None:
        """Record that a run of a step made no progress on an executor.

        While other runs there progress, a stall of a single step may be due to the step itself;
        four tasks of such a step closed four healthy executors. Stalls of two steps are not.
        """
        executor.stalled_steps.add(step)
        if len(executor.stalled_steps) > 1 or not self._is_progressing(executor):
            executor.stalled_steps.clear()
            self._pause(executor, "a run has stalled")

    def _is_progressing(self, executor: Executor) -> bool:
        """Whether any run on the executor has made progress recently."""
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
            self._pause(executor, self._slow_cause(executor, median(shares)))
            slow.append(executor)
        return slow

    def _slow_cause(self, executor: Executor, share: float) -> str:
        if not self._state.speeds.is_in_use:
            return f"its runs progress at {share:.2f} of the usual speed"
        own = self._state.speeds.of(executor.info.host)
        return f"its runs progress at {share:.2f} of its own speed, which is {own:.2f} of the usual"

    def _shares_by_executor(self) -> dict[str, list[float]]:
        """Return each run's speed as a share of the median of its step, by executor.

        Each counts relative to the learned speed of its executor: one that is always slow is sound.
        """
        gains_by_step: defaultdict[StepKey, list[tuple[str, float]]] = defaultdict(list)
        for executor_id, executor in self._state.executors_by_id.items():
            speed = self._state.speeds.of(executor.info.host)
            for key in executor.runs_by_task:
                found = self._state.find(key)
                if found is None or not _is_compared(found[1].step):
                    continue
                gain = _percent_per_second(found[2])
                if gain is not None:
                    gains_by_step[key.step_key].append((executor_id, gain / speed))
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
    """Whether other executors have also failed or refused a task, so that it may be at fault.

    Otherwise one task that fails or is refused everywhere closes all executors, one by one.
    """
    return bool(task.avoided - {executor.executor_id})


def _doubled_s(first_s: float, times: int) -> float:
    """Return a pause doubled `times` times, limited to the longest one."""
    return min(first_s * 2.0 ** min(times, MAX_PAUSE_DOUBLINGS), MAX_PAUSE_S)


def _is_compared(step: Step) -> bool:
    """Whether a step's runs set their own speed: gang members wait, and fillers are throttled."""
    return not (step.is_gang or step.is_long_running or step.is_filler)


def _percent_per_second(task: TaskRun) -> float | None:
    """Return the progress of a run in percent per second; None while it is unknown."""
    if task.state is not StartState.STARTED or task.first_seen_at is None:
        return None
    observed_s = task.listed_at - task.first_seen_at
    if observed_s < MIN_OBSERVED_S:
        return None
    return (task.percent - task.first_percent) / observed_s
