"""Lag of this process's event loop, by which a host detects that it falls behind."""

from typing import Final

import trio

SAMPLE_EVERY_S: Final = 0.05
SHARE_OF_SAMPLE: Final = 0.05
"""Weight of a sample in the moving average: about 20 samples, so at least a second, count."""
LONGEST_SAMPLE_S: Final = 0.5
"""Upper bound of a sample: a process that was frozen for seconds has not fallen behind."""


class LoopLag:
    """Keeps a moving average of how late sleeps end."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean_s = 0.0

    @property
    def seconds(self) -> float:
        """Return the event loop's average lag in seconds."""
        return self._mean_s

    def add(self, late_s: float) -> None:
        """Add a sample."""
        counted_s = min(max(late_s, 0.0), LONGEST_SAMPLE_S)
        self._mean_s += SHARE_OF_SAMPLE * (counted_s - self._mean_s)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            due = trio.current_time() + SAMPLE_EVERY_S
            await trio.sleep_until(due)
            self.add(trio.current_time() - due)
