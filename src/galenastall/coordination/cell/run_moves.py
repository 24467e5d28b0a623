"""Stops runs that stall, are slow or would end too late, so that they run elsewhere."""

from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executor_health import ExecutorHealth
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.stalls import (
    STALL_TIMEOUT_S,
    is_executor_at_fault,
    stall_timeout_s,
    waits_for_members,
)
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.task_runs import DONE_PERCENT, StartState, TaskRun

LEAVE_MARGIN_S: Final = 0.3
"""A run on a leaving executor is moved unless it ends this long before the executor leaves."""
CHECK_INTERVAL_S: Final = 0.2
"""Interval between checks of the progress of all runs: listings arrive once a second, and checking
250 runs takes a millisecond."""
MIN_MOVE_GAIN_S: Final = 1.0
"""A run on a slow executor is moved if it should then end earlier by more than this; a start from a
checkpoint takes 0.3 s."""


class RunMoves:
    """Checks the progress of all runs."""

    def __init__(self, *, state: CellState, ends: RunEnds, health: ExecutorHealth) -> None:
        """Work on these tables; `health` is notified of executors on which runs stall."""
        self._state = state
        self._ends = ends
        self._health = health
        self._checked_at = float("-inf")

    def decide(self, *, now: float) -> None:
        """Stop runs that stall, are too slow, or would not end before their executor leaves."""
        if now - self._checked_at < CHECK_INTERVAL_S or Mechanism.MOVES in self._state.without:
            return
        self._checked_at = now
        slow_ids = {executor.executor_id for executor in self._health.slow_executors()}
        for executor in list(self._state.executors_by_id.values()):
            for key in list(executor.runs_by_task):
                found = self._state.find(key)
                if found is None or found[2].is_stopping:
                    continue
                job, step, task = found
                if task.state is not StartState.STARTED:
                    continue
                if step.is_done:
                    self._stop_if_left_over(step, task)
                elif not job.has_ended:
                    self._check_run(
                        executor, step, task, now, is_slow=executor.executor_id in slow_ids
                    )

    def _check_run(
        self, executor: Executor, step: StepRun, task: TaskRun, now: float, *, is_slow: bool
    ) -> None:
        if executor.info.is_draining:
            self._move_if_it_ends_late(executor, task, now)
        if step.step.is_long_running:
            return
        self._move_if_stalled(executor, step, task)
        if is_slow:
            self._move_if_faster_elsewhere(executor, step, task, now)

    def _stop_if_left_over(self, step: StepRun, task: TaskRun) -> None:
        """Stop a member that continues after its gang is done and would never free its capacity."""
        if task.listed_at > step.done_at + STALL_TIMEOUT_S:
            cause = f"its gang has been done for {STALL_TIMEOUT_S:g} s"
            self._ends.stop(task, rule=StopRule.MEMBER_ENDED, cause=cause)

    def _move_if_it_ends_late(self, executor: Executor, task: TaskRun, now: float) -> None:
        leaves_at = executor.leaves_at(now)
        ends_at = task.ends_at()
        if ends_at is not None and ends_at > leaves_at - LEAVE_MARGIN_S:
            cause = "its executor leaves before the run would end"
            self._ends.stop(task, rule=StopRule.EXECUTOR_LEAVES, cause=cause)

    def _move_if_stalled(self, executor: Executor, step: StepRun, task: TaskRun) -> None:
        """Stop a run that makes no progress."""
        if task.first_seen_at is None or executor.answered_at is None:
            return
        if waits_for_members(step, task):
            return
        stalled_s = executor.answered_at - task.percent_at
        if stalled_s < STALL_TIMEOUT_S or stalled_s < stall_timeout_s(step, task):
            return
        if is_executor_at_fault(step, task):
            self._health.on_stall(executor, step.key)
        self._ends.stop_stalled(task, cause=f"no progress for {stalled_s:.1f} s at {task.percent}%")

    def _move_if_faster_elsewhere(
        self, executor: Executor, step: StepRun, task: TaskRun, now: float
    ) -> None:
        """Move a run off a slow executor if it should end clearly earlier elsewhere.

        Executors elsewhere count as no faster than this one usually is.
        """
        ends_at = task.ends_at()
        if step.step.is_gang or ends_at is None:
            return
        left = 1.0 - task.percent / DONE_PERCENT if step.step.is_checkpointing else 1.0
        speed = min(self._state.speeds.of(executor.info.host), 1.0)
        if now + left * step.step.estimate_s / speed + MIN_MOVE_GAIN_S < ends_at:
            cause = "its executor is slow; the run should end sooner elsewhere"
            self._ends.stop(task, rule=StopRule.SLOW_EXECUTOR, cause=cause)
