"""Predicts when capacity becomes free, from the progress of runs and their declared times."""

from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.state.resources import Resources

OVERDUE_S: Final = 0.3
"""A run that should have ended by now is expected to end this much later: declared times are off by
a third and more, and listings come up to a second late."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Capacity that a run releases when it ends."""

    at: float
    """Leader's time."""
    amount: Resources


class Forecast:
    """Expected ends of runs by executor; recomputed only for executors that have changed."""

    def __init__(self, *, state: CellState) -> None:
        """Read the runs of these tables."""
        self._state = state
        self._releases_by_id: dict[str, tuple[int, tuple[Release, ...]]] = {}

    def releases(self, executor: Executor) -> tuple[Release, ...]:
        """Return the expected ends on an executor, the earliest first."""
        version = executor.version
        known = self._releases_by_id.get(executor.executor_id)
        if known is None or known[0] != version:
            known = (version, self._work_out(executor))
            self._releases_by_id[executor.executor_id] = known
        return known[1]

    def _work_out(self, executor: Executor) -> tuple[Release, ...]:
        releases: list[Release] = []
        speed = self._state.speeds.of(executor.info.host)
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is not None and not found[1].step.is_long_running:
                at = expected_end(found[1], found[2], speed=speed)
                release = Release(at=at, amount=found[1].step.need)
                releases.append(release)
        releases.sort(key=lambda release: release.at)
        return tuple(releases)

    def forget(self) -> None:
        """Drop cached forecasts of executors that have been removed."""
        for gone in self._releases_by_id.keys() - self._state.executors_by_id.keys():
            del self._releases_by_id[gone]


def expected_end(step: StepRun, task: TaskRun, *, speed: float = 1.0) -> float:
    """Return when a run should end: by its progress rate once known, else by its declared time.

    `speed` is that of its executor, 1.0 for the usual one.
    """
    by_pace = task.ends_at()
    return by_pace if by_pace is not None else task.percent_at + step.step.estimate_s / speed
