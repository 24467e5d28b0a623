"""A clock of the cell that continues from one leader to the next.

Leaders run on different hosts, whose clocks can't be compared. Each leader stores a reading of the
cell's clock every `CLOCK_INTERVAL_S`, and the next one continues from the last reading at its own
fence. The clock stands still in between, so it never runs ahead of the time that has passed.
"""

from typing import Final

CLOCK_INTERVAL_S: Final = 0.2
"""Minimum interval between two stored readings."""


class CellClock:
    """Converts between the leader's clock in seconds and the cell's clock in milliseconds."""

    def __init__(self, *, fenced_at: float) -> None:
        """Create the clock of a leader that has been fenced at the store since `fenced_at`."""
        self._fenced_at = fenced_at
        self._fenced_ms = 0

    def restore(self, stored_ms: int) -> None:
        """Continue from the last reading that earlier leaders stored."""
        self._fenced_ms = stored_ms

    def ms_at(self, at: float) -> int:
        """Return the cell's clock at a time of the leader."""
        return self._fenced_ms + round((at - self._fenced_at) * 1000.0)

    def time_at(self, clock_ms: int) -> float:
        """Return the leader's time at a reading of the cell's clock; before the fence if earlier.

        For a time under an earlier leader this is later than the true one, as the clock stood still
        in between.
        """
        return self._fenced_at + (clock_ms - self._fenced_ms) / 1000.0
