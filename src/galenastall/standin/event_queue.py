"""Timed events that run lazily, in order of time.

The stand-ins need no background tasks: all events that are due run, in order, before the next
call reads the state.
"""

import heapq
from collections.abc import Callable

from galenastall.protocol.clock import Clock


class EventQueue:
    """A heap of callbacks; each receives the runtime seconds at which it was due."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0
        self._last = float("-inf")

    def push(self, due: float, callback: Callable[[float], None]) -> None:
        """Schedule a callback at `due`, in runtime seconds; it never runs if that is infinite."""
        if due == float("inf"):
            return
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, callback))

    def settle(self) -> float:
        """Run all callbacks that are due; return the current time."""
        now = self._clock.now()
        while self._heap and self._heap[0][0] <= now:
            due, _, callback = heapq.heappop(self._heap)
            self._last = max(self._last, due)
            callback(self._last)
        self._last = max(self._last, now)
        return now

    def __len__(self) -> int:
        return len(self._heap)
