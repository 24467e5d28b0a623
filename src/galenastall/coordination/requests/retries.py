"""Decide whether a request may be retried, within a budget.

Only requests that are known not to have run or are idempotent may be retried, and all retries
together stay below a share of first attempts, so that they add little load to a failing fleet.
"""

from dataclasses import dataclass

from galenastall.state.outcomes import Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Limits on retries."""

    ratio: float = 0.1
    """Retries allowed for each first attempt."""
    burst: float = 10.0
    """Retries that may be saved up."""
    max_attempts: int = 3
    """Attempts at one request, including the first."""


class RetryBudget:
    """Token bucket filled by first attempts; one token pays for one retry."""

    def __init__(self, *, limits: RetryLimits) -> None:
        """Start with a full bucket."""
        self.limits = limits
        self._tokens = limits.burst

    @property
    def tokens(self) -> float:
        """Retries available now."""
        return self._tokens

    def first_attempt(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._tokens = min(self.limits.burst, self._tokens + self.limits.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnd:
    """How one attempt ended."""

    outcome: Outcome
    attempt: int
    """1 for the first."""
    idempotent: bool
    answer_begun: bool = False
    """Part of the response has reached the caller."""
    body_replayable: bool = True
    """The request body can be sent again."""
    remaining_s: float
    """Seconds until the caller's deadline."""


def may_retry(*, end: AttemptEnd, limits: RetryLimits, shortest_s: float) -> bool:
    """Return whether another attempt is allowed, regardless of the budget.

    FAILED was reported by the executor and is final; UNKNOWN may have run, so only an idempotent
    request is retried.
    """
    if end.answer_begun or not end.body_replayable:
        return False
    if end.attempt >= limits.max_attempts or end.remaining_s <= shortest_s:
        return False
    if end.outcome is Outcome.NOT_RUN:
        return True
    return end.outcome is Outcome.UNKNOWN and end.idempotent
