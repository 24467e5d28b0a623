"""By how much this process's loop is late: what a host that falls behind knows of itself."""

from typing import Final

import trio

SAMPLE_EVERY_S: Final = 0.05
SHARE_OF_SAMPLE: Final = 0.05
"""How much a sample moves the average: some 20 samples in a row count, so a second at least."""
LONGEST_SAMPLE_S: Final = 0.5
"""A sample counts as this at most: a process that was frozen for seconds has not fallen behind."""


class LoopLag:
    """Samples how late a sleep ends, and keeps a moving average."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean_s = 0.0

    @property
    def seconds(self) -> float:
        """Return by how many seconds the loop is late on average."""
        return self._mean_s

    def add(self, late_s: float) -> None:
        """Take a sample."""
        counted_s = min(max(late_s, 0.0), LONGEST_SAMPLE_S)
        self._mean_s += SHARE_OF_SAMPLE * (counted_s - self._mean_s)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            due = trio.current_time() + SAMPLE_EVERY_S
            await trio.sleep_until(due)
            self.add(trio.current_time() - due)
