"""What the leader's core asks its drivers to do."""

from dataclasses import dataclass, field

from galenastall.coordination.cell.host_orders import HostOrder
from galenastall.state.cell.jobs import AdvisorTiming, StepKey, TaskKey


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """Start one run; leaves only after its assignment is durable."""

    task: TaskKey
    run: int
    executor_id: str
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopOrder:
    """Stop one run; the executor rejects it from then on, also if it never got it."""

    task: TaskKey
    run: int
    executor_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleOrder:
    """Let a run work at a share of its speed."""

    task: TaskKey
    run: int
    executor_id: str
    percent: int
    """0 to 100."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceRequest:
    """Ask the advisor which of these executors may run a step."""

    step: StepKey
    executor_ids: tuple[str, ...]
    timing: AdvisorTiming
    queue_name: str = ""
    """Queue of the step's job: advisors approve of more on one than on another."""
    is_urgent: bool = False
    """Goes before calls for other work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Note:
    """One decision for the log: what, about which ids, why, on what inputs."""

    step: str
    subjects: tuple[str, ...]
    cause: str = ""
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """Changes that become durable together, and what may be done once they are."""

    values_by_key: dict[str, bytes]
    """Rows to write; an empty value drops its key."""
    starts: tuple[StartOrder, ...] = ()
    noted_by_executor: dict[str, int] = field(default_factory=dict)
    """Positions in executors' lists of ends that the rows cover."""
    job_ids: tuple[str, ...] = ()
    """Jobs whose progress the rows hold."""
    host_orders: tuple[HostOrder, ...] = ()
