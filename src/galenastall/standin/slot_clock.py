"""Slots of an executor as times at which they come free: a run costs one sleep, no task."""

import heapq


class SlotClock:
    """When the next request would start and end, given what was assigned before."""

    def __init__(self, *, slots: int) -> None:
        self._free_at = [0.0] * slots

    def starts_at(self, now: float) -> float:
        """Return when a request that comes now would start."""
        return max(now, self._free_at[0])

    def assign(self, now: float, service_s: float) -> tuple[float, float]:
        """Take the slot that comes free first; return start and end of the run."""
        start = self.starts_at(now)
        end = start + service_s
        heapq.heapreplace(self._free_at, end)
        return start, end

    def busy(self, now: float) -> int:
        """Return how many slots are taken."""
        return sum(free_at > now for free_at in self._free_at)
