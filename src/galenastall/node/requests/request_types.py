"""What the request path takes and gives: typed requests, answers, and why."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from galenastall.state.ids import DataCentre, HostId, RequestId, TeamPath
from galenastall.state.outcomes import Outcome
from galenastall.state.work import Urgency


class RequestReason(StrEnum):
    """Why a request ended as it did; empty for a plain `done`."""

    NONE = ""
    QUEUE_FULL = "queue_full"
    UNKNOWN_TEAM = "unknown_team"
    """The shared settings name teams, and not this one."""
    TEAM_RATE = "team_rate"
    """The team, or one above it, asks more often than its settings allow."""
    TEAM_QUEUE_FULL = "team_queue_full"
    DEADLINE_TOO_NEAR = "deadline_too_near"
    WOULD_MISS_DEADLINE = "would_miss_deadline"
    DEADLINE_PASSED = "deadline_passed"
    """It waited until it could no longer be in time, and was dropped before it left."""
    OVERTAKEN = "overtaken"
    """While it waited, more urgent ones left no room for it before its deadline."""
    DISPLACED = "displaced"
    """It made room for a more urgent one."""
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    """No upstream of this data centre may get work."""
    UNREACHABLE = "unreachable"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    FAILED_BY_UPSTREAM = "failed_by_upstream"
    NO_ANSWER = "no_answer"
    """It left, and no answer came in time."""
    ANSWER_CUT = "answer_cut"
    FOREIGN_ANSWER = "foreign_answer"
    """The answer named another attempt and was dropped."""
    REPEAT = "repeat"
    """The key came before: this is the first one's outcome."""
    ANSWER_NOT_KEPT = "answer_not_kept"
    """The key's request was done, but its answer is no longer kept."""
    IN_PROGRESS = "in_progress"
    """The key's first request has not ended."""
    KEY_MISMATCH = "key_mismatch"
    """The key came before with another operation or body."""
    KEY_REFUSED = "key_refused"
    """The key is malformed, older than memory, or from the future."""
    KEY_HOME_ELSEWHERE = "key_home_elsewhere"
    """Another data centre serves this key."""
    KEY_NOT_DURABLE = "key_not_durable"
    """The intent could not be recorded, so the request was not let out."""
    OVERLOADED = "overloaded"
    """The entry host itself has more to do than it can; nothing of the request was looked at."""
    BODY_TOO_LARGE = "body_too_large"
    ABANDONED = "abandoned"
    """Its caller broke off inside the body or while it waited, or this process was stopped; nobody
    is answered."""
    INVALID = "invalid"
    """A header is missing or makes no sense."""


Body = bytes | AsyncIterator[bytes]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestCall:
    """One request of a caller."""

    request_id: RequestId
    """The caller's own name for it; need not be unique."""
    team: TeamPath
    urgency: Urgency = Urgency.NORMAL
    operation: str
    deadline: float
    """Runtime time in seconds."""
    idempotent: bool = False
    key: str = ""
    """Idempotency key; makes a non-idempotent request safe to repeat."""
    content_type: str = "application/octet-stream"
    content_length: int | None = None
    body: Body = b""
    """Whole if it was small enough, so that it can be sent again."""
    caller_gone: Callable[[], Awaitable[None]] | None = None
    """Returns once nobody waits for the answer any more; None if that can't be told."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestAnswer:
    """The final word on a request."""

    request_id: RequestId
    outcome: Outcome
    reason: RequestReason = RequestReason.NONE
    status: int = 0
    """The upstream's HTTP status; 0 if there is no answer of one."""
    content_type: str = ""
    body: Body = b""
    """A streamed one raises if it breaks off, and must be closed with `aclose`."""
    retry_after_s: float | None = None
    home: DataCentre = DataCentre("")
    """Where the key is at home, if elsewhere."""
    upstream: HostId = HostId("")
    attempts: int = 0
    detail: str = ""


def not_run_answer(
    request_id: RequestId, reason: RequestReason, retry_after_s: float
) -> RequestAnswer:
    """Return the answer to a request that has not run, with when to come back in seconds."""
    return RequestAnswer(
        request_id=request_id,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        retry_after_s=retry_after_s,
    )


@dataclass(kw_only=True, slots=True)
class RequestCounters:
    """Counts since start, for metrics."""

    ended_by_outcome: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    refused_by_reason: dict[RequestReason, int] = field(default_factory=dict)
    retries: int = 0
    retries_denied: int = 0
    """Retries that the budget did not pay for."""
    foreign_answers: int = 0
    cut_answers: int = 0
    broken_streams: int = 0
    """Answers that broke off after they had begun towards the caller."""
    void_permits: int = 0
    """Permits found too old right before the request was to leave."""

    def ended(self, answer: RequestAnswer) -> None:
        """Count a final answer."""
        self.ended_by_outcome[answer.outcome] += 1
        if answer.outcome is Outcome.NOT_RUN:
            count = self.refused_by_reason.get(answer.reason, 0)
            self.refused_by_reason[answer.reason] = count + 1
