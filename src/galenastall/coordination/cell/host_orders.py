"""Orders to hosts, and what becomes of them."""

from dataclasses import dataclass
from enum import StrEnum


class HostOutcome(StrEnum):
    """What became of an order to a host."""

    DONE = "done"
    """Now or before."""
    NOT_POSSIBLE = "not_possible"
    """There is no such host, or the order does not fit it."""
    BUSY = "busy"
    """It is not up, or leaves."""
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may be later."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostOrder:
    """Take a host down for a wave of maintenance, or move it to a pool; repeating does no harm."""

    host: str
    wave: int = 0
    """0 for a move."""
    pool: str = ""
    """Empty for maintenance."""
