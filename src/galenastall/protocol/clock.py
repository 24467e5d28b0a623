"""Interface of the clock that all components use."""

from typing import Protocol


class Clock(Protocol):
    """Time source of the runtime; tests pause and advance it."""

    def now(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def wall(self) -> float:
        """Return seconds since 1970, for times compared across hosts; a setting bounds the skew."""
