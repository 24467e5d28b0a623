"""Types of the request path: requests, answers and their reasons."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from galenastall.state.ids import DataCentre, HostId, RequestId, TeamPath
from galenastall.state.outcomes import Outcome
from galenastall.state.work import Urgency


class RequestReason(StrEnum):
    """Why a request ended with its outcome; empty for a plain `done`."""

    NONE = ""
    QUEUE_FULL = "queue_full"
    UNKNOWN_TEAM = "unknown_team"
    """The shared settings list teams, but not this one."""
    TEAM_RATE = "team_rate"
    """The team, or a parent team, exceeds the rate in its settings."""
    TEAM_QUEUE_FULL = "team_queue_full"
    DEADLINE_TOO_NEAR = "deadline_too_near"
    WOULD_MISS_DEADLINE = "would_miss_deadline"
    DEADLINE_PASSED = "deadline_passed"
    """It waited until it could no longer meet its deadline, and was dropped before it was sent."""
    OVERTAKEN = "overtaken"
    """More urgent requests left no capacity for it before its deadline."""
    DISPLACED = "displaced"
    """It was removed from a full queue in favour of a more urgent one."""
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    """No upstream of this data centre accepts work."""
    UNREACHABLE = "unreachable"
    REFUSED_BY_UPSTREAM = "refused_by_upstream"
    FAILED_BY_UPSTREAM = "failed_by_upstream"
    NO_ANSWER = "no_answer"
    """It was sent, and no response arrived in time."""
    ANSWER_CUT = "answer_cut"
    FOREIGN_ANSWER = "foreign_answer"
    """The response named another attempt and was discarded."""
    REPEAT = "repeat"
    """The key was used before: this is the outcome of the first request."""
    ANSWER_NOT_KEPT = "answer_not_kept"
    """The key's request succeeded, but its response is no longer cached."""
    IN_PROGRESS = "in_progress"
    """The key's first request has not ended."""
    KEY_MISMATCH = "key_mismatch"
    """The key was used before with another operation or body."""
    KEY_REFUSED = "key_refused"
    """The key is malformed, older than the retention period, or from the future."""
    KEY_HOME_ELSEWHERE = "key_home_elsewhere"
    """Another data centre serves this key."""
    KEY_NOT_DURABLE = "key_not_durable"
    """The intent could not be recorded, so the request was not sent."""
    OVERLOADED = "overloaded"
    """The entry host is overloaded; the request was refused without being parsed."""
    BODY_TOO_LARGE = "body_too_large"
    ABANDONED = "abandoned"
    """Its caller disconnected during the body or the wait, or this process was stopped; no response
    is sent."""
    INVALID = "invalid"
    """A header is missing or invalid."""


Body = bytes | AsyncIterator[bytes]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestCall:
    """One request of a caller."""

    request_id: RequestId
    """The id given by the caller; need not be unique."""
    team: TeamPath
    urgency: Urgency = Urgency.NORMAL
    operation: str
    deadline: float
    """Monotonic time in seconds."""
    idempotent: bool = False
    key: str = ""
    """Idempotency key; makes a non-idempotent request safe to repeat."""
    content_type: str = "application/octet-stream"
    content_length: int | None = None
    body: Body = b""
    """Bytes if it is small enough to be buffered for a retry, otherwise a stream."""
    caller_gone: Callable[[], Awaitable[None]] | None = None
    """Returns once the caller has disconnected; None if that can't be detected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestAnswer:
    """The final answer to a request."""

    request_id: RequestId
    outcome: Outcome
    reason: RequestReason = RequestReason.NONE
    status: int = 0
    """The upstream's HTTP status; 0 without a response."""
    content_type: str = ""
    body: Body = b""
    """A stream raises if it is cut short, and must be closed with `aclose`."""
    retry_after_s: float | None = None
    home: DataCentre = DataCentre("")
    """The data centre that serves the key, if not this one."""
    upstream: HostId = HostId("")
    attempts: int = 0
    detail: str = ""


def not_run_answer(
    request_id: RequestId, reason: RequestReason, retry_after_s: float
) -> RequestAnswer:
    """Return the answer to a request that has not run, with the seconds until a retry."""
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
    """Retries denied by the retry budget."""
    foreign_answers: int = 0
    cut_answers: int = 0
    broken_streams: int = 0
    """Responses cut short after their first bytes were sent to the caller."""
    void_permits: int = 0
    """Permits found too old right before the request was to be sent."""

    def ended(self, answer: RequestAnswer) -> None:
        """Count a final answer."""
        self.ended_by_outcome[answer.outcome] += 1
        if answer.outcome is Outcome.NOT_RUN:
            count = self.refused_by_reason.get(answer.reason, 0)
            self.refused_by_reason[answer.reason] = count + 1
