"""Decide whether a request may be tried again, within a budget.

A retry is only ever allowed for what never left this process or is idempotent, and retries together
stay below a share of first attempts, so that a failing fleet is not loaded further by them.
"""

from dataclasses import dataclass

from galenastall.state.outcomes import Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """How much may be tried again."""

    ratio: float = 0.1
    """Retries allowed for each first attempt."""
    burst: float = 10.0
    """Retries that may be saved up."""
    max_attempts: int = 3
    """Attempts at one request, the first included."""


class RetryBudget:
    """Token bucket filled by first attempts; one token pays for one retry."""

    def __init__(self, *, limits: RetryLimits) -> None:
        """Start with a full bucket."""
        self.limits = limits
        self._tokens = limits.burst

    @property
    def tokens(self) -> float:
        """Retries that could be paid for now."""
        return self._tokens

    def first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self.limits.burst, self._tokens + self.limits.ratio)

    def spend(self) -> bool:
        """Pay for one retry; False if the budget is used up."""
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
    """Part of the answer has reached the caller."""
    body_replayable: bool = True
    """The request body can be sent once more."""
    remaining_s: float
    """Seconds left to the caller's deadline."""


def may_retry(*, end: AttemptEnd, limits: RetryLimits, shortest_s: float) -> bool:
    """Return whether another attempt is allowed, leaving the budget aside.

    FAILED is the executor's own word and final; UNKNOWN may have run, so only an idempotent request
    goes again.
    """
    if end.answer_begun or not end.body_replayable:
        return False
    if end.attempt >= limits.max_attempts or end.remaining_s <= shortest_s:
        return False
    if end.outcome is Outcome.NOT_RUN:
        return True
    return end.outcome is Outcome.UNKNOWN and end.idempotent
