"""Simulated executors whose runs last as long as their jobs' payloads specify."""

from collections.abc import Iterable
from typing import Final

import msgspec

from galenastall.coordination.cell.commands import StartOrder
from galenastall.standin.cell.executors import Executor, ExecutorSimulation, Run
from galenastall.state.cell.jobs import Step, TaskKey
from galenastall.state.resources import Resources

DEFAULT_RUN_S: Final = 1.0
"""Run time of a task whose payload specifies none."""


class StepPayload(msgspec.Struct, frozen=True, kw_only=True):
    """A step's definition, and the simulated behaviour of its tasks."""

    count: int = 1
    cores_milli: int = 0
    memory_mb: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    run_s: float = DEFAULT_RUN_S
    fails: bool = False

    def to_step(self) -> Step:
        """Convert to the scheduler's step type."""
        need = Resources(cores_milli=self.cores_milli, memory_mb=self.memory_mb)
        return Step(count=self.count, need=need, after=self.after, is_gang=self.is_gang)


class JobPayload(msgspec.Struct, frozen=True, kw_only=True):
    """A job's payload, encoded as JSON."""

    steps: tuple[StepPayload, ...]
    attempts: int = 1
    workspace: str = ""


class LiveSimulation(ExecutorSimulation):
    """Executors for processes that run in real time."""

    def __init__(self) -> None:
        """Create a simulation without executors."""
        super().__init__()
        self.shows_progress = True
        self._payloads_by_job: dict[str, JobPayload] = {}

    def on_start(self, executor: Executor, order: StartOrder) -> Run:
        """Decode the payload of a job at its first start, and check the start."""
        if order.task.job not in self._payloads_by_job:
            payload = msgspec.json.decode(order.payload, type=JobPayload)
            self._payloads_by_job[order.task.job] = payload
        return super().on_start(executor, order)

    def _payload_of(self, task: TaskKey) -> StepPayload:
        return self._payloads_by_job[task.job].steps[task.step]

    def workspace_of(self, task: TaskKey) -> str:
        """Return the workspace named in the payload of a task's job."""
        return self._payloads_by_job[task.job].workspace

    def step_of(self, task: TaskKey) -> Step:
        """Return the step that a task belongs to."""
        return self._payload_of(task).to_step()

    def attempts_of(self, task: TaskKey) -> int:
        """Return the number of failed runs after which a task must not start again."""
        return self._payloads_by_job[task.job].attempts

    def draw_run(self, order: StartOrder) -> tuple[float, bool]:
        """Return how long a run lasts in seconds, and whether it fails."""
        payload = self._payload_of(order.task)
        return payload.run_s, payload.fails

    def draw_gang_s(self, members: Iterable[Run]) -> float:
        """Return how long a gang's run lasts once all members have started."""
        return max(self._payload_of(member.task).run_s for member in members)
