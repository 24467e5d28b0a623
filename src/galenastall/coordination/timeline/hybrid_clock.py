"""Hybrid logical clock: puts events of several processes into one order that respects cause.

Each reading is later than all readings before it and than all that were observed from peers, and
stays near wall time. A peer's reading too far ahead is not taken over, so that one host with a
wrong clock does not drag the fleet along.
"""

from typing import Final

from galenastall.state.timeline import HybridTime

MAX_AHEAD_MS: Final = 60_000
"""Milliseconds that a peer's reading may be ahead of this host's wall time."""


class HybridClock:
    """One process's clock; wall time comes from the caller."""

    def __init__(self) -> None:
        """Start before all readings."""
        self._wall_ms = 0
        self._counter = 0
        self.rejected = 0
        """Readings of peers that were too far ahead."""

    def tick(self, wall_s: float) -> HybridTime:
        """Return a reading later than any before, for wall time in seconds."""
        wall_ms = int(wall_s * 1000)
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._counter = 0
        else:
            self._counter += 1
        return HybridTime(wall_ms=self._wall_ms, counter=self._counter)

    def observe(self, wall_ms: int, counter: int, *, wall_s: float) -> bool:
        """Make later readings follow a peer's; False if it was too far ahead to be believed."""
        if wall_ms > int(wall_s * 1000) + MAX_AHEAD_MS:
            self.rejected += 1
            return False
        self._wall_ms, self._counter = max((self._wall_ms, self._counter), (wall_ms, counter))
        return True
