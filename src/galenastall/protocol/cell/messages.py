"""Messages between the entry hosts of a cell."""

from dataclasses import dataclass, field
from enum import StrEnum

from galenastall.coordination.cell.advice import Approval
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.codec import ANSWER_TYPES, PEER_MESSAGES
from galenastall.state.cell.jobs import CellJob, StepKey
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.decoding import Finite, Quantity, Whole


class SubmitVerdict(StrEnum):
    """Outcome of a submission."""

    ACCEPTED = "accepted"
    """The job is durable, from this submission or an earlier one."""
    NOT_RUN = "not_run"
    """The job is not stored, and never will be."""
    UNKNOWN = "unknown"
    """The job may be stored."""
    TAKEN = "taken"
    """Another workspace has a job with this id."""


@PEER_MESSAGES.register("cell.hello")
@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """Announces a host to the leader; sent periodically."""

    address: str
    """Address at which its peer link listens."""
    weight: Quantity
    """Cores that it can use for leading; heavier hosts are preferred as leaders."""
    uptime_s: Quantity
    """Time since its process started. A rolling restart stops the youngest hosts last."""
    is_leaving: bool = False
    lag_s: Quantity = 0.0
    """Average lag of its event loop."""
    is_willing: bool = True
    """False for a while after it was overloaded as leader."""
    config_version: Whole = 0
    """Version of the configuration in force on the host."""


@PEER_MESSAGES.register("cell.beat")
@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Heartbeat from the leader to each host that it knows."""

    token: Whole
    """Fencing token of its term."""
    address: str
    confirm_age_s: Quantity
    """Seconds since the store last confirmed the term."""
    config_version: Whole
    addresses_by_host: dict[str, str] = field(default_factory=dict)
    """All hosts that the leader knows, including itself; empty if already sent to the receiver."""
    heaviest: Quantity = 0.0
    """Weight of the heaviest other host that could lead."""


@PEER_MESSAGES.register("cell.can_lead")
@dataclass(frozen=True, kw_only=True, slots=True)
class CanLead:
    """Query whether a host reaches the store; answered with a failure if it does not."""


@PEER_MESSAGES.register("cell.take_over")
@dataclass(frozen=True, kw_only=True, slots=True)
class TakeOver:
    """Request to claim leadership at once, from a leader that stops or hands over."""

    token: Whole


@PEER_MESSAGES.register("cell.ask_leader")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetLeader:
    """Query another host for the leader, when no heartbeats arrive."""


@PEER_MESSAGES.register("cell.leader")
@dataclass(frozen=True, kw_only=True, slots=True)
class LeaderAnswer:
    """The leader that the answering host follows, or is; empty if it knows none."""

    token: Whole = 0
    host_id: str = ""
    address: str = ""


class CallRefusal(StrEnum):
    """Why a configuration does not admit a call."""

    NOT_FOUND = "not_found"
    """No route matches its host and path."""
    UNAUTHORIZED = "unauthorized"
    """No workspace has its key."""


@PEER_MESSAGES.register("cell.admit_call")
@dataclass(frozen=True, kw_only=True, slots=True)
class AdmitCall:
    """Query whether the leader's configuration admits a call."""

    host: str
    """Value of the request's Host header."""
    path: str
    key_digest: str
    config_version: Whole
    """Version of the configuration in force on the sender."""


@PEER_MESSAGES.register("cell.call_admission")
@dataclass(frozen=True, kw_only=True, slots=True)
class CallAdmission:
    """The decision of one configuration version on a call."""

    version: Whole
    route: QueueRoute | None = None
    """None if the call was refused."""
    workspace: str = NO_WORKSPACE
    """For whom the caller acts."""
    refusal: CallRefusal | None = None
    """None if the call was admitted."""

    @property
    def is_admitted(self) -> bool:
        """Whether the call was admitted."""
        return self.refusal is None


@PEER_MESSAGES.register("cell.submit")
@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitJob:
    """Submit a job; idempotent by its id."""

    job: CellJob
    patience_s: Finite
    """How long the sender waits for an answer."""
    config_version: Whole = 0
    """Version of the configuration by which the call was admitted."""


@PEER_MESSAGES.register("cell.submitted")
@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitAnswer:
    """Outcome of a submission."""

    verdict: SubmitVerdict
    cause: str = ""


@PEER_MESSAGES.register("cell.ask_job")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetJob:
    """Query a job's phase."""

    job_id: str
    patience_s: Finite
    workspace: str = NO_WORKSPACE
    """For whom the caller acts."""
    config_version: Whole = 0


@PEER_MESSAGES.register("cell.cancel_job")
@dataclass(frozen=True, kw_only=True, slots=True)
class CancelJob:
    """Cancel a job; idempotent."""

    job_id: str
    patience_s: Finite
    workspace: str = NO_WORKSPACE
    """For whom the caller acts."""
    config_version: Whole = 0


@PEER_MESSAGES.register("cell.job")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobAnswer:
    """A job's durable phase; None if there is no such job."""

    phase: JobPhase | None


@PEER_MESSAGES.register("cell.count_pending")
@dataclass(frozen=True, kw_only=True, slots=True)
class CountPending:
    """Query how many accepted jobs of a queue have not started yet."""

    queue_name: str
    config_version: Whole = 0


@PEER_MESSAGES.register("cell.pending")
@dataclass(frozen=True, kw_only=True, slots=True)
class PendingAnswer:
    """The number of accepted jobs that have not started yet."""

    count: Whole


@PEER_MESSAGES.register("cell.get_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetAdvice:
    """Request to call the advisor for the leader; each host may make one call at a time."""

    step: StepKey
    executor_ids: tuple[str, ...]
    timeout_s: Quantity


@PEER_MESSAGES.register("cell.advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceAnswer:
    """The advisor's answer."""

    approved: tuple[Approval, ...]
    validity_s: Finite


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedAdvice:
    """An advisor's answer that a host has forwarded to the leader, or could not forward."""

    step: StepKey
    executor_ids: tuple[str, ...]
    """Executors named in the call."""
    approved: tuple[Approval, ...]
    good_for_s: Finite
    """Remaining validity of the tickets; negative if they have expired."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingAdviceCall:
    """A call to the advisor that has not been answered yet."""

    step: StepKey
    executor_ids: tuple[str, ...]
    left_s: Finite
    """Remaining time until the call is given up."""


@PEER_MESSAGES.register("cell.recover_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class RecoverAdvice:
    """Query by a new leader for the advisor's answers about these steps under earlier leaders."""

    steps: tuple[StepKey, ...]


@PEER_MESSAGES.register("cell.recovered_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class RecoveredAdvice:
    """The advice that a host has cached, oldest first."""

    answers: tuple[CachedAdvice, ...] = ()
    under_way: PendingAdviceCall | None = None


@PEER_MESSAGES.register("cell.await_advice")
@dataclass(frozen=True, kw_only=True, slots=True)
class AwaitAdvice:
    """Wait for the answer to the pending call, which arrives as AdviceAnswer."""

    step: StepKey


@PEER_MESSAGES.register("cell.get_config")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetConfig:
    """Request the whole configuration of a host, if it is newer; sent to and by older programs."""

    known_version: Whole


@PEER_MESSAGES.register("cell.config")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigAnswer:
    """The configuration; None if it is not newer than the sender's of the request."""

    config: CellConfig | None


@PEER_MESSAGES.register("cell.get_config_part")
@dataclass(frozen=True, kw_only=True, slots=True)
class GetConfigPart:
    """Request a part of the packed configuration of a host, if it is newer."""

    known_version: Whole
    """Version in force at the sender."""
    digest: str = ""
    """Digest of the packed configuration of which the sender has the parts before `offset`."""
    offset: Whole = 0


@PEER_MESSAGES.register("cell.config_part")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigPart:
    """A part of the packed configuration; version 0 if it is not newer than the sender's."""

    version: Whole = 0
    digest: str = ""
    """Digest of the packed configuration; other than the request's if that was replaced."""
    size: Whole = 0
    """Bytes of the packed configuration."""
    offset: Whole = 0
    """Where the part begins: 0 if the packed configuration of the request was replaced."""
    data: bytes = b""


ANSWER_TYPES.update(
    {
        GetLeader: LeaderAnswer,
        AdmitCall: CallAdmission,
        SubmitJob: SubmitAnswer,
        GetJob: JobAnswer,
        CancelJob: JobAnswer,
        CountPending: PendingAnswer,
        GetAdvice: AdviceAnswer,
        AwaitAdvice: AdviceAnswer,
        RecoverAdvice: RecoveredAdvice,
        GetConfig: ConfigAnswer,
        GetConfigPart: ConfigPart,
    }
)
