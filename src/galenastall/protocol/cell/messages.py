"""Messages between the entry hosts of a cell."""

from dataclasses import dataclass, field
from enum import StrEnum

from galenastall.coordination.cell.advice import Approval
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.cell.jobs import CellJob, StepKey
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE


class SubmitVerdict(StrEnum):
    """What became of a submission."""

    ACCEPTED = "accepted"
    """Durable, now or before."""
    NOT_RUN = "not_run"
    """Not stored, and never will be."""
    UNKNOWN = "unknown"
    """It may be stored."""
    TAKEN = "taken"
    """Another workspace has a job of this id."""


@PEER_MESSAGES.register("cell.hello")
@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """A host makes itself known to the leader; sent again and again."""

    address: str
    """Where its peer link listens."""
    weight: float
    """Cores that it can use for leading; heavier hosts are preferred as leaders."""
    uptime_s: float
    """Since its process started. In a rolling restart the youngest are stopped last."""
    is_leaving: bool = False
    lag_s: float = 0.0
    """By how much its loop is late on average."""
    is_willing: bool = True
    """False for a while after it fell behind as leader."""
    config_version: int = 0
    """Version of the configuration in force there."""


@PEER_MESSAGES.register("cell.beat")
@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Heartbeat of the leader to each host that it knows."""

    token: int
    """Fencing token of its term."""
    address: str
    confirm_age_s: float
    """Seconds since the store last confirmed the term."""
    config_version: int
    addresses_by_host: dict[str, str] = field(default_factory=dict)
    """All hosts that it knows, itself included; empty if the receiver was told them before."""
    heaviest: float = 0.0
    """Weight of the heaviest other host that could lead."""


@PEER_MESSAGES.register("cell.can_lead")
@dataclass(frozen=True, kw_only=True, slots=True)
class CanLead:
    """Ask whether a host reaches the store; answered with a failure if it does not."""


@PEER_MESSAGES.register("cell.take_over")
@dataclass(frozen=True, kw_only=True, slots=True)
class TakeOver:
    """A leader that stops or gives way asks this host to claim at once."""

    token: int


@PEER_MESSAGES.register("cell.ask_leader")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetLeader:
    """Ask another host who leads, if none is heard here."""


@PEER_MESSAGES.register("cell.leader")
@dataclass(frozen=True, kw_only=True, slots=True)
class LeaderAnswer:
    """The leader that a host hears, or is; no host if it hears none."""

    token: int = 0
    host_id: str = ""
    address: str = ""


@PEER_MESSAGES.register("cell.submit")
@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitJob:
    """Hand a job in; idempotent by its id."""

    job: CellJob
    patience_s: float
    """How long the caller's side waits for an answer."""
    config_version: int = 0
    """Version of the configuration by which the call was let in."""


@PEER_MESSAGES.register("cell.submitted")
@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitAnswer:
    """What became of a submission."""

    verdict: SubmitVerdict
    cause: str = ""


@PEER_MESSAGES.register("cell.ask_job")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetJob:
    """Ask for a job's phase."""

    job_id: str
    patience_s: float
    workspace: str = NO_WORKSPACE
    """For whom the caller acts."""
    config_version: int = 0


@PEER_MESSAGES.register("cell.cancel_job")
@dataclass(frozen=True, kw_only=True, slots=True)
class CancelJob:
    """Cancel a job; idempotent."""

    job_id: str
    patience_s: float
    workspace: str = NO_WORKSPACE
    """For whom the caller acts."""
    config_version: int = 0


@PEER_MESSAGES.register("cell.job")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobAnswer:
    """A job's durable phase; None if there is no such job."""

    phase: JobPhase | None


@PEER_MESSAGES.register("cell.count_pending")
@dataclass(frozen=True, kw_only=True, slots=True)
class CountPending:
    """Ask how many accepted jobs of a queue have had no start."""

    queue_name: str
    config_version: int = 0


@PEER_MESSAGES.register("cell.pending")
@dataclass(frozen=True, kw_only=True, slots=True)
class PendingAnswer:
    """The number asked for."""

    count: int


@PEER_MESSAGES.register("cell.get_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetAdvice:
    """Ask the advisor in the leader's stead: it serves one call at a time for each host."""

    step: StepKey
    executor_ids: tuple[str, ...]
    timeout_s: float


@PEER_MESSAGES.register("cell.advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceAnswer:
    """What the advisor said."""

    approved: tuple[Approval, ...]
    validity_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedAdvice:
    """An advisor's answer that a host passed on, or could not pass on."""

    step: StepKey
    executor_ids: tuple[str, ...]
    """Executors that were asked about."""
    approved: tuple[Approval, ...]
    good_for_s: float
    """For how long the tickets are still good; negative if they have expired."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingAdviceCall:
    """A call to the advisor that has not been answered yet."""

    step: StepKey
    executor_ids: tuple[str, ...]
    left_s: float
    """Until it is given up."""


@PEER_MESSAGES.register("cell.recover_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class RecoverAdvice:
    """A new leader asks what the advisor told a host about these steps under earlier leaders."""

    steps: tuple[StepKey, ...]


@PEER_MESSAGES.register("cell.recovered_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class RecoveredAdvice:
    """What a host knows of advice, oldest first."""

    answers: tuple[CachedAdvice, ...] = ()
    under_way: PendingAdviceCall | None = None


@PEER_MESSAGES.register("cell.await_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class AwaitAdvice:
    """Wait for the answer to the call that was under way, which comes as AdviceAnswer."""

    step: StepKey


@PEER_MESSAGES.register("cell.get_config")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetConfig:
    """Ask a host for its configuration, if it is newer."""

    known_version: int


@PEER_MESSAGES.register("cell.config")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnswer:
    """The configuration; None if it is not newer than the asker's."""

    config: CellConfig | None
