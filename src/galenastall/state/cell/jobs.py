"""Jobs of a cell as submitted by callers: steps of tasks, and the queue in which they wait."""

from dataclasses import dataclass
from typing import NamedTuple

from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.resources import Resources


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class TaskKey(NamedTuple):
    """One task; it may run several times in sequence."""

    job: str
    occurrence: int
    step: int
    number: int

    @property
    def step_key(self) -> StepKey:
        """The step to which the task belongs."""
        return StepKey(self.job, self.occurrence, self.step)


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """A set of identical tasks; declared times may be inaccurate."""

    count: int
    need: Resources
    """What each task reserves; a filler reserves no processor."""
    estimate_s: float = 0.0
    """Declared run time of a task in seconds; 0 if not declared."""
    after: tuple[int, ...] = ()
    """Indexes of the steps whose tasks must all be done first."""
    is_gang: bool = False
    """All tasks run at the same time or not at all."""
    wants_one_rack: bool = False
    """A gang that runs slower across racks."""
    label: str = ""
    """Label that the executor must carry; empty for any."""
    data_rack: str = ""
    """Rack that holds its data; on other racks it runs slower."""
    most_per_executor: int = 0
    """Maximum tasks of one occurrence on one executor; 0 for no limit."""
    is_checkpointing: bool = False
    is_long_running: bool = False
    """Runs until the job is cancelled, and is restarted whenever it ends."""
    is_filler: bool = False
    """Uses only processor time that other tasks leave idle."""
    image: str = ""
    tail_target_ms: int = 0
    """Target for the tail latency of a service in milliseconds; 0 for none."""
    most_unavailable: int = 0
    """Maximum tasks that the system may make unavailable at once; 0 if no limit was declared."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AdvisorTiming:
    """Duration of a call for placement advice, and validity of its tickets, in seconds."""

    base_s: float
    per_executor_s: float
    validity_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """Policy of one queue, from the configuration in force when the queue was read."""

    name: str
    service: str
    priority: int = 1
    """0 is served first and may preempt."""
    max_attempts: int = 1
    """Failed runs of a task, or of a gang, after which its job fails."""
    stretch: float = 1.0
    """The completion objective is `stretch` times the critical path of the job, plus `target_s`."""
    target_s: float = 0.0
    advisor: AdvisorTiming | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Recurrence:
    """A job whose steps run several times; times in wall seconds."""

    first_due: float
    interval_s: float
    times: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CellJob:
    """A job as requested by a caller; immutable once accepted."""

    job_id: str
    queue: Queue
    payload: str
    """Passed to the executors without being interpreted."""
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None
    submitted_at: float = 0.0
    """Wall time in seconds at which an entry host received the request."""
    workspace: str = NO_WORKSPACE
    """Name of the workspace that owns the job."""
