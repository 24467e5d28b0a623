"""Delayed callbacks: simulates a one-way network delay for benchmarks and tests."""

import heapq
from collections.abc import Callable

import trio


class DelayLine:
    """Runs callbacks at their due times; those with equal due times run in insertion order."""

    def __init__(self) -> None:
        """Create an empty delay line."""
        self._entries: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = 0
        self._changed = trio.Event()

    def add(self, delay_s: float, callback: Callable[[], object]) -> None:
        """Run `callback` after `delay_s` seconds."""
        self._sequence += 1
        due = trio.current_time() + delay_s
        heapq.heappush(self._entries, (due, self._sequence, callback))
        if self._entries[0][1] == self._sequence:
            self._changed.set()

    async def run(self) -> None:
        """Run callbacks until cancelled."""
        while True:
            due = self._entries[0][0] if self._entries else float("inf")
            with trio.move_on_at(due):
                await self._changed.wait()
            self._changed = trio.Event()
            now = trio.current_time()
            while self._entries and self._entries[0][0] <= now:
                heapq.heappop(self._entries)[2]()
