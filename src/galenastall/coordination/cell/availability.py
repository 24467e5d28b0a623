"""How many tasks of a service may be taken away at once."""

from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import DONE_PERCENT, StartState, TaskRun
from galenastall.state.cell.phases import TaskPhase

SETTLED_S: Final = 5.0
"""A task counts as away until it has been at work for so long: whoever counts absences over the
last 4.5 s still sees it as missing before."""


class Availability:
    """Judges by what listings show at work."""

    def __init__(self, *, state: CellState) -> None:
        """Read these tables."""
        self._state = state

    def may_take_away(self, step: StepRun, task: TaskRun) -> bool:
        """Whether a task may be stopped without leaving more away than its step declares."""
        most = step.step.most_unavailable
        if most <= 0:
            return True
        away = sum(1 for other in step.tasks if other is not task and self._is_away(other))
        return away < most

    def _is_away(self, task: TaskRun) -> bool:
        if task.phase is not TaskPhase.ASSIGNED or task.state is not StartState.STARTED:
            return True
        if task.is_stopping or task.percent < DONE_PERCENT:
            return True
        # `percent_at` is when the last percent was gained, so when it began to work in full.
        return self._state.now - task.percent_at < SETTLED_S
