"""Hybrid logical clock: orders events of several processes consistently with causality.

Each reading is later than all previous readings and all readings observed from peers, and stays
close to wall time. A peer's reading that is too far ahead is rejected, so that one host with a
wrong clock does not shift the clocks of the fleet.
"""

from typing import Final

from galenastall.state.decoding import MAX_WHOLE
from galenastall.state.timeline import HybridTime

MAX_AHEAD_MS: Final = 60_000
"""Maximum milliseconds by which a peer's reading may be ahead of this host's wall time."""


class HybridClock:
    """Clock of one process; the caller supplies wall time."""

    def __init__(self) -> None:
        """Start at zero, before any reading."""
        self._wall_ms = 0
        self._counter = 0
        self.rejected = 0
        """Number of peer readings rejected as too far ahead."""

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
        """Make later readings follow a peer's; False if it was rejected as too far ahead.

        A counter of 64 bits could not be sent any more once it has been counted up.
        """
        if wall_ms > int(wall_s * 1000) + MAX_AHEAD_MS or counter > MAX_WHOLE:
            self.rejected += 1
            return False
        self._wall_ms, self._counter = max((self._wall_ms, self._counter), (wall_ms, counter))
        return True
