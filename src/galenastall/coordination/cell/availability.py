"""Limits how many tasks of a service may be unavailable at once."""

from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import DONE_PERCENT, StartState, TaskRun
from galenastall.state.cell.phases import TaskPhase

AVAILABLE_AFTER_S: Final = 5.0
"""A task counts as unavailable until it has worked at full capacity for this long. Before that, a
monitor that counts outages over the last 4.5 s still sees it as missing."""


class Availability:
    """Judges availability by the progress in executor listings."""

    def __init__(self, *, state: CellState) -> None:
        """Read the given state."""
        self._state = state

    def may_stop(self, step: StepRun, task: TaskRun) -> bool:
        """Whether a task may be stopped without exceeding `most_unavailable` of its step."""
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
        if task.is_stopping or task.percent < DONE_PERCENT:
            return True
        # `percent_at` is the time of the last progress: when the task reached full capacity.
        return self._state.now - task.percent_at < AVAILABLE_AFTER_S
