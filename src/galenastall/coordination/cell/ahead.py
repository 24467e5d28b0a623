"""Assignments made durable before there is room, so that work starts while the store is away.

A start may leave only once its assignment is durable. In an outage nothing becomes durable, and
without these assignments the executors ran empty while tasks waited (75% of all cores idle by the
end of an outage of 6 s). The next leader takes a task assigned ahead like any other that is
assigned: it may run there until that executor's first listing shows that it doesn't.
"""

from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.fitting import may_add
from galenastall.coordination.cell.job_runs import AheadRun, TaskRun
from galenastall.coordination.cell.waiting_line import WaitingStep
from galenastall.state.cell.jobs import StepKey
from galenastall.state.resources import Resources

AHEAD_AFTER_S: Final = 0.25
"""A step is assigned ahead once it has waited for so long; most steps start at once."""
TASKS_AHEAD: Final = 80
"""Tasks assigned ahead at once, so that appends stay small; a row takes some 40 bytes."""


class AheadBook:
    """Chooses where waiting tasks would run, and remembers for how long steps have waited."""

    def __init__(self, *, state: CellState) -> None:
        """Work on these tables."""
        self._state = state
        self._waits_since: dict[StepKey, float] = {}
        self._tasks_ahead = 0
        self._planned_by_executor: dict[str, Resources] = {}

    def begin(self) -> None:
        """Begin a decision."""
        self._tasks_ahead = 0
        self._planned_by_executor.clear()
        for step in self._waits_since.keys() - self._state.waiting_steps:
            del self._waits_since[step]

    def consider(self, waiting: WaitingStep, usable: list[Executor]) -> None:
        """Assign the tasks of a step ahead that has waited long enough and can't start now."""
        since = self._waits_since.setdefault(waiting.step.key, waiting.now)
        if waiting.now - since < AHEAD_AFTER_S or waiting.is_worthless:
            return
        by_id = {e.executor_id: e for e in usable if waiting.is_approved(e.executor_id)}
        tasks = waiting.step.waiting()
        if waiting.step.step.is_gang:
            self._consider_gang(waiting, tasks, by_id)
            return
        for task in tasks:
            if self._tasks_ahead < TASKS_AHEAD:
                self._consider_task(waiting, task, by_id)

    def _consider_task(
        self, waiting: WaitingStep, task: TaskRun, by_id: dict[str, Executor]
    ) -> None:
        kept = by_id.get(task.ahead.executor_id) if task.ahead is not None else None
        executor = kept or self._emptiest(waiting, by_id)
        if executor is None:
            return
        self._plan(executor, waiting.step.step.need)
        if kept is None:
            self._assign(task, AheadRun(run=task.next_run, executor_id=executor.executor_id))

    def _consider_gang(
        self, waiting: WaitingStep, tasks: list[TaskRun], by_id: dict[str, Executor]
    ) -> None:
        """Assign all members or none; they have one run number."""
        if self._tasks_ahead + len(tasks) > TASKS_AHEAD:
            return
        if all(task.ahead is not None and task.ahead.executor_id in by_id for task in tasks):
            for task in tasks:
                if task.ahead is not None:
                    self._plan(by_id[task.ahead.executor_id], waiting.step.step.need)
            return
        run = waiting.step.highest_run + 1
        chosen: list[Executor] = []
        for _ in tasks:
            executor = self._emptiest(waiting, by_id)
            if executor is None:
                return
            self._plan(executor, waiting.step.step.need)
            chosen.append(executor)
        for task, executor in zip(tasks, chosen, strict=True):
            self._assign(task, AheadRun(run=run, executor_id=executor.executor_id))

    def _emptiest(self, waiting: WaitingStep, by_id: dict[str, Executor]) -> Executor | None:
        """Return the executor with most room once what runs there has ended."""
        need = waiting.step.step.need
        best: tuple[int, int, str] | None = None
        for executor_id, executor in by_id.items():
            planned = self._planned_by_executor.get(executor_id)
            capacity = executor.info.capacity
            room = capacity if planned is None else capacity - planned
            if not need.fits_in(room) or not may_add(executor, waiting.step):
                continue
            key = (-room.cores_milli, -executor.free_cores_milli, executor_id)
            if best is None or key < best:
                best = key
        return by_id[best[-1]] if best is not None else None

    def _plan(self, executor: Executor, need: Resources) -> None:
        planned = self._planned_by_executor.get(executor.executor_id)
        self._planned_by_executor[executor.executor_id] = (
            need if planned is None else planned + need
        )
        self._tasks_ahead += 1

    def _assign(self, task: TaskRun, ahead: AheadRun) -> None:
        task.ahead = ahead
        self._state.dirty_jobs.add(task.key.job)
        self._state.ahead_jobs.add(task.key.job)
