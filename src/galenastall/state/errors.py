"""Errors shared by all layers; each carries the step and the peer at which it occurred."""

from dataclasses import dataclass
from enum import StrEnum

from galenastall.state.decoding import Quantity


class Reason(StrEnum):
    """Why a step did not succeed; determines how the caller proceeds."""

    REFUSED = "refused"
    """The peer rejected the step, which had no effect."""
    UNREACHABLE = "unreachable"
    """Nothing was sent: the step had no effect."""
    TIMEOUT = "timeout"
    """Sent, but not answered in time: the step may have taken effect."""
    CUT = "cut"
    """The answer was cut off: the step may have taken effect."""
    INVALID = "invalid"
    """The input or the answer was malformed."""
    CONFLICT = "conflict"
    """Superseded by a newer revision, epoch or claim."""
    OVERLOADED = "overloaded"
    """No capacity now; retry later."""
    NOT_OWNER = "not_owner"
    """The peer does not own the subject of the step."""
    NOT_FOUND = "not_found"
    """The subject is unknown to the peer."""
    TRIMMED = "trimmed"
    """The log no longer has the requested offset."""
    UNAVAILABLE = "unavailable"
    """The peer is up but can't do it now, for example in a log outage."""


MAY_HAVE_TAKEN_EFFECT = frozenset({Reason.TIMEOUT, Reason.CUT})
"""Reasons that don't rule out that the step had its effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StepError:
    """An expected failure, carried as the Err side of a Result."""

    step: str
    """The operation, as layer.verb, for example `log.append`."""
    peer: str
    """The host, process or file on the other side; empty for this process."""
    reason: Reason
    detail: str = ""
    retry_after_s: Quantity | None = None
    """Seconds after which a retry makes sense; None if unknown."""

    @property
    def may_have_taken_effect(self) -> bool:
        """Whether the step may have taken effect despite the error."""
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
