"""Jobs of a cell as callers hand them in: steps of tasks, and the queue that they wait in."""

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
    """One task; it may run several times, one after the other."""

    job: str
    occurrence: int
    step: int
    number: int

    @property
    def step_key(self) -> StepKey:
        """The step that it belongs to."""
        return StepKey(self.job, self.occurrence, self.step)


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Tasks of one shape; declared times may be far off."""

    count: int
    need: Resources
    """What each task reserves; a filler reserves no processor."""
    estimate_s: float = 0.0
    """Declared run time of a task in seconds; 0 if the caller named none."""
    after: tuple[int, ...] = ()
    """Indexes of the steps whose tasks must all be done first."""
    is_gang: bool = False
    """All tasks run together or not at all."""
    wants_one_rack: bool = False
    """A gang that runs slower across racks."""
    label: str = ""
    """Label that the executor must carry; empty for any."""
    data_rack: str = ""
    """Rack where its data is; elsewhere it runs slower."""
    most_per_executor: int = 0
    """Tasks of one occurrence that may share an executor; 0 for any number."""
    is_checkpointing: bool = False
    is_long_running: bool = False
    """Runs until the job is cancelled, and is restarted however it ends."""
    is_filler: bool = False
    """Uses only the processor time that other tasks leave."""
    image: str = ""
    tail_target_ms: int = 0
    """Bound on the tail of a service's response times in milliseconds; 0 for none."""
    most_unavailable: int = 0
    """Tasks that the system may take away at once; counts only where it was declared."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AdvisorTiming:
    """What a call for placement advice costs, and how long its tickets last, in seconds."""

    base_s: float
    per_executor_s: float
    validity_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """Policy of one queue, from the configuration in force when it was read."""

    name: str
    service: str
    priority: int = 1
    """0 goes first and may preempt."""
    max_attempts: int = 1
    """Failed runs of a task, or of a gang, after which its job has failed."""
    stretch: float = 1.0
    """The objective is this many times the longest chain of work, and `target_s` more."""
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
    """What a caller asks for; immutable once accepted."""

    job_id: str
    queue: Queue
    payload: str
    """Passed to the executors unread."""
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None
    submitted_at: float = 0.0
    """Wall time in seconds at which an entry host read the request."""
    workspace: str = NO_WORKSPACE
    """Name of the workspace that owns it."""
