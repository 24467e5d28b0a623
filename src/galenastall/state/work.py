"""Jobs, their tasks and the classes that policies distinguish."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from galenastall.state.ids import DataCentre, JobId, TaskId, TeamPath
from galenastall.state.resources import Resources


class Workload(StrEnum):
    """How the tasks of a job are related."""

    SERVICE = "service"
    """Replicas that run until stopped; a finished one is replaced."""
    BATCH = "batch"
    """Independent tasks that run to completion."""
    GANG = "gang"
    """Tasks that start all together or not at all."""


class Urgency(IntEnum):
    """Urgency classes; a lower number goes first and may preempt higher ones."""

    URGENT = 0
    NORMAL = 1
    BACKFILL = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSpec:
    """A job as submitted by a caller; immutable once accepted."""

    job_id: JobId
    team: TeamPath
    workload: Workload
    urgency: Urgency = Urgency.NORMAL
    tasks: int = 1
    """Number of tasks, or of replicas of a service."""
    resources: Resources
    """Declared need of each task; may be inaccurate."""
    run_s: float | None = None
    """Declared run time of a task in seconds; None for services or if unknown."""
    deadline: float | None = None
    """Wall time in seconds by which all tasks should have ended."""
    checkpointable: bool = False
    idempotent: bool = True
    """Whether a task that may have run may run again."""
    kind: str = ""
    """Free-form label of similar jobs; learned sizes are kept by team and kind."""
    home: DataCentre = DataCentre("")
    """The data centre that runs it; if empty, that of the accepting entry host."""
    payload: str = ""
    """Passed to the worker unmodified; opaque to the scheduler."""
    submitted_at: float = 0.0
    """Wall time in seconds of acceptance; set by the entry host."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskSpec:
    """One task as the placement core sees it."""

    task_id: TaskId
    job_id: JobId
    team: TeamPath
    workload: Workload
    urgency: Urgency
    resources: Resources
    run_s: float | None = None
    deadline: float | None = None
    checkpointable: bool = False
    idempotent: bool = True
    kind: str = ""
    attempt: int = 0
    payload: str = ""


class TaskPhase(StrEnum):
    """The state of a task."""

    WAITING = "waiting"
    HELD = "held"
    """Capacity is held for it, as part of a gang."""
    STARTING = "starting"
    """A start was sent but not answered yet."""
    RUNNING = "running"
    UNKNOWN = "unknown"
    """It may run; its capacity stays reserved."""
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """A task as a worker lists it."""

    task: TaskSpec
    reserved: Resources
    """Amount reserved by the owner that started it."""
    epoch: int
    lease_until: float
    """Wall time in seconds at which the worker stops it unless renewed."""
    used: Resources = field(default_factory=Resources)
    """Last reported usage; lags."""


class TaskEnd(StrEnum):
    """Ends of a run that workers report in `FinishedTask.detail`, besides their own details."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_LAPSED = "lease_lapsed"


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishedTask:
    """A task that ended, kept by the worker until acknowledged."""

    task_id: TaskId
    attempt: int
    ok: bool
    detail: str = ""
    peak: Resources = field(default_factory=Resources)
    run_s: float = 0.0
