"""The clock that everything takes its time from."""

from typing import Protocol


class Clock(Protocol):
    """Time of the runtime; tests pause and advance it."""

    def now(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def wall(self) -> float:
        """Return seconds since 1970, for what processes compare; skew is bounded by a setting."""
