"""How many tasks of a service may be taken away at once."""

from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import WHOLE_PERCENT, StartState, TaskRun
from galenastall.state.cell.phases import TaskPhase

AVAILABLE_AFTER_S: Final = 5.0
"""A task counts as away until it has been at work for so long: whoever counts absences over the
last 4.5 s still sees it as missing before."""


class Availability:
    """Judges by what listings show at work."""

    def __init__(self, *, state: CellState) -> None:
        """Read these tables."""
        self._state = state

    def may_stop(self, step: StepRun, task: TaskRun) -> bool:
        """Whether a task may be stopped without leaving more away than its step declares."""
        limit = step.step.most_unavailable
        if limit <= 0:
            return True
        unavailable = sum(
            1 for other in step.tasks if other is not task and self._is_unavailable(other)
        )
        return unavailable < limit

    def _is_unavailable(self, task: TaskRun) -> bool:
        if task.phase is not TaskPhase.ASSIGNED or task.state is not StartState.STARTED:
            return True
        if task.is_stopping or task.percent < WHOLE_PERCENT:
            return True
        # `percent_at` is when the last percent was gained, so when it began to work in full.
        return self._state.now - task.percent_at < AVAILABLE_AFTER_S
