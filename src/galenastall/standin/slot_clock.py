"""Slots of an executor as the times at which they become free; a run costs one sleep, no task."""

import heapq


class SlotClock:
    """Computes the start and end of requests from the earlier assignments."""

    def __init__(self, *, slots: int) -> None:
        self._free_at = [0.0] * slots

    def starts_at(self, now: float) -> float:
        """Return when a request that arrives now would start."""
        return max(now, self._free_at[0])

    def assign(self, now: float, service_s: float) -> tuple[float, float]:
        """Assign the slot that becomes free first; return the run's start and end."""
        start = self.starts_at(now)
        end = start + service_s
        heapq.heapreplace(self._free_at, end)
        return start, end

    def busy(self, now: float) -> int:
        """Return how many slots are in use."""
        return sum(free_at > now for free_at in self._free_at)
