"""Due events in order of time, settled when somebody next looks.

The stand-ins need no background tasks: whatever should have happened by now happens, in order,
before the next call sees the state.
"""

import heapq
from collections.abc import Callable

from galenastall.protocol.clock import Clock


class EventQueue:
    """A heap of callbacks; each gets the runtime seconds at which it was due."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0
        self._last = float("-inf")

    def push(self, due: float, callback: Callable[[float], None]) -> None:
        """Call back at `due`, in runtime seconds; never if that is infinite."""
        if due == float("inf"):
            return
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, callback))

    def settle(self) -> float:
        """Run all callbacks that are due; return the present."""
        now = self._clock.now()
        while self._heap and self._heap[0][0] <= now:
            due, _, callback = heapq.heappop(self._heap)
            self._last = max(self._last, due)
            callback(self._last)
        self._last = max(self._last, now)
        return now

    def __len__(self) -> int:
        return len(self._heap)
