"""Errors shared by all layers: each carries the step and the peer at which it arose."""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Why a step did not succeed; the caller's next move depends on it."""

    REFUSED = "refused"
    """The peer said no and did nothing."""
    UNREACHABLE = "unreachable"
    """Nothing left this process: the step had no effect."""
    TIMEOUT = "timeout"
    """Sent, no answer in time: the step may have taken effect."""
    CUT = "cut"
    """The answer broke off: the step may have taken effect."""
    INVALID = "invalid"
    """The input or the answer did not make sense."""
    CONFLICT = "conflict"
    """A newer revision, epoch or claim stands against it."""
    OVERLOADED = "overloaded"
    """No room now; retry later."""
    NOT_OWNER = "not_owner"
    """The peer does not own what the step is about."""
    NOT_FOUND = "not_found"
    """No such thing is known."""
    TRIMMED = "trimmed"
    """The log no longer keeps the offset asked for."""
    UNAVAILABLE = "unavailable"
    """The peer is up and can't do it now, for example in a log outage."""


MAY_HAVE_TAKEN_EFFECT = frozenset({Reason.TIMEOUT, Reason.CUT})
"""Reasons after which nobody can say that the step had no effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StepError:
    """An expected failure, carried as the Err side of a Result."""

    step: str
    """What was being done, as layer.verb, for example `log.append`."""
    peer: str
    """The host, process or file on the other side; empty for this process."""
    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None
    """When trying again makes sense, in seconds; None if unknown."""

    @property
    def may_have_taken_effect(self) -> bool:
        """Whether the step may have had its effect in spite of the error."""
        return self.reason in MAY_HAVE_TAKEN_EFFECT

    def __str__(self) -> str:
        at = f" at {self.peer}" if self.peer else ""
        detail = f": {self.detail}" if self.detail else ""
        return f"{self.step}{at}: {self.reason.value}{detail}"


class GalenastallError(Exception):
    """Base of the exceptions raised for defects and unusable input."""


class UnknownNameError(GalenastallError):
    """A registry holds no entry of that name."""

    def __init__(self, *, kind: str, name: str, allowed: tuple[str, ...]) -> None:
        """Name the kind of entry, the name asked for and the names that exist."""
        super().__init__(f"unknown {kind} {name!r}; allowed: {', '.join(allowed)}")
        self.kind = kind
        self.name = name
        self.allowed = allowed
