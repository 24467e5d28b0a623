"""Decide which share of new requests to refuse while the event loop can't keep up.

A late event loop delays every request in it, so requests it can't serve in time must be refused
before any work is done for them. Lateness is the minimum of the last few samples: a single burst or
a pause of the process is no overload, but a queue that never empties is.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

SAMPLES: Final = 5
"""Samples over which the minimum lateness is taken."""
MAX_EXCESS: Final = 4.0
"""Upper bound on the excess lateness, in multiples of the target, that one sample integrates."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShedLimits:
    """When requests are refused to protect the event loop; times in seconds."""

    target_late_s: float = 0.005
    """Lateness that is tolerated."""
    gain_per_s: float = 0.5
    """Increase of the share per second, for each multiple of the target above it."""
    max_refused_share: float = 0.95
    """Largest share refused, so that some requests still show when the load has gone."""
    urgent_above_share: float = 0.8
    """Share above which urgent requests are refused too, at half the share."""
    open_requests: int = 2_000
    """Unanswered requests above which all new ones are refused."""


class LoadShedder:
    """Integrates how late the loop is into the share of requests to refuse."""

    def __init__(self, *, limits: ShedLimits | None = None) -> None:
        """Start without refusing anything."""
        self.limits = limits or ShedLimits()
        self.share = 0.0
        """Current share of new requests to refuse."""
        self._late_s: deque[float] = deque(maxlen=SAMPLES)
        self._credit = 0.0
        self._urgent_credit = 0.0

    @property
    def sustained_late_s(self) -> float:
        """Minimum lateness of the last few samples, in seconds."""
        return min(self._late_s) if len(self._late_s) == SAMPLES else 0.0

    def note(self, *, late_s: float, span_s: float) -> None:
        """Record how late a timer fired and the time since the previous sample."""
        self._late_s.append(late_s)
        limits = self.limits
        excess = min(self.sustained_late_s / limits.target_late_s - 1.0, MAX_EXCESS)
        moved = self.share + excess * limits.gain_per_s * span_s
        self.share = min(max(moved, 0.0), limits.max_refused_share)

    def refuses(self, *, urgent: bool, open_requests: int) -> bool:
        """Return whether to refuse a new request; refusals are spread evenly, not random."""
        if open_requests > self.limits.open_requests:
            return True
        if not self.share:
            return False
        if urgent:
            return self._refuses_urgent()
        self._credit += self.share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _refuses_urgent(self) -> bool:
        if self.share < self.limits.urgent_above_share:
            return False
        self._urgent_credit += self.share / 2
        if self._urgent_credit < 1.0:
            return False
        self._urgent_credit -= 1.0
        return True
