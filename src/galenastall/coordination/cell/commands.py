"""Commands that the leader's core returns for its drivers to carry out."""

from dataclasses import dataclass, field

from galenastall.coordination.cell.host_orders import HostOrder
from galenastall.state.cell.jobs import AdvisorTiming, StepKey, TaskKey


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """Start one run; sent only after its assignment is durable."""

    task: TaskKey
    run: int
    executor_id: str
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopOrder:
    """Stop one run; the executor rejects it from then on, even if it never received its start."""

    task: TaskKey
    run: int
    executor_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleOrder:
    """Limit a run to a percentage of its full speed."""

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
    """Queue of the step's job; the share of executors that an advisor approves differs by queue."""
    is_urgent: bool = False
    """Sent before requests for other work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Note:
    """One decision for the log: what was decided, for which ids, why, and on what inputs."""

    step: str
    subjects: tuple[str, ...]
    cause: str = ""
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """Changes that become durable together, and the orders that may be sent once they are."""

    values_by_key: dict[str, bytes]
    """Rows to write; an empty value deletes its key."""
    starts: tuple[StartOrder, ...] = ()
    noted_by_executor: dict[str, int] = field(default_factory=dict)
    """Positions in executors' lists of ended runs up to which the rows cover them."""
    job_ids: tuple[str, ...] = ()
    """Jobs whose progress is in the rows."""
    host_orders: tuple[HostOrder, ...] = ()
    answering: tuple[str, ...] = ()
    """Executors that answer again, and that the stored leases name until the rows are durable."""
