"""Measured rates and run times, smoothed over recent samples."""

import math
from typing import Final

DRAIN_WEIGHT: Final = 0.05
"""Weight of the newest interval between two dispatched requests."""
ARRIVAL_SPAN_S: Final = 2.0
"""Time over which arrivals are averaged."""
FALL_WEIGHT: Final = 0.3
RISE_WEIGHT: Final = 0.02
"""A shortest-time estimate follows faster responses quickly and slower ones slowly."""
MIN_GAP_S: Final = 1e-6


class DrainRate:
    """How fast a queue drains, measured only while something waited."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self._gap_s: float | None = None
        self._last: float | None = None

    def note_taken(self, *, now: float, left: int) -> None:
        """Record that a request was taken and how many are left."""
        if self._last is not None:
            gap = now - self._last
            old = gap if self._gap_s is None else self._gap_s
            self._gap_s = old + DRAIN_WEIGHT * (gap - old)
        self._last = now if left else None

    @property
    def per_second(self) -> float | None:
        """Requests per second, or None before two were taken in a row."""
        if self._gap_s is None:
            return None
        return 1.0 / max(self._gap_s, MIN_GAP_S)


class ArrivalRate:
    """Arrivals per second, from an exponentially decaying count."""

    def __init__(self) -> None:
        """Start with no arrivals."""
        self._count = 0.0
        self._noted_at = 0.0

    def note(self, *, now: float) -> None:
        """Record an arrival."""
        self._count = self._decayed(now) + 1.0
        self._noted_at = now

    def per_second(self, *, now: float) -> float:
        """Return arrivals per second over about the last ARRIVAL_SPAN_S."""
        return self._decayed(now) / ARRIVAL_SPAN_S

    def _decayed(self, now: float) -> float:
        return self._count * math.exp((self._noted_at - now) / ARRIVAL_SPAN_S)


class ShortestTime:
    """Lower envelope of run times by operation: the least time that a request needs.

    It errs low on purpose: it decides which requests are dropped, and a drop must be certain.
    """

    def __init__(self, *, max_operations: int = 1_000) -> None:
        """Keep at most `max_operations` estimates; the oldest goes first."""
        self._max_operations = max_operations
        self._seconds_by_operation: dict[str, float] = {}

    def note(self, *, operation: str, seconds: float) -> None:
        """Record the run time of a successful request."""
        old = self._seconds_by_operation.get(operation)
        if old is None:
            if len(self._seconds_by_operation) >= self._max_operations:
                self._seconds_by_operation.pop(next(iter(self._seconds_by_operation)))
            self._seconds_by_operation[operation] = seconds
            return
        weight = FALL_WEIGHT if seconds < old else RISE_WEIGHT
        self._seconds_by_operation[operation] = old + weight * (seconds - old)

    def seconds(self, operation: str) -> float:
        """Return the estimate in seconds; 0 if nothing was measured."""
        return self._seconds_by_operation.get(operation, 0.0)
