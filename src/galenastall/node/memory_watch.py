"""Compares the resident memory of this process with its limit; above it, the host is not ready.

The load balancer then sends new callers elsewhere, while accepted work is still served.
"""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Final

import trio

from galenastall.protocol.event_sink import EventSink

CHECK_S: Final = 1.0
"""Time between two checks."""
BYTES_PER_MB: Final = 2**20
_STATM: Final = Path("/proc/self/statm")
_RESIDENT_FIELD: Final = 1


def resident_mb() -> float:
    """Return the resident size of this process in mebibytes; 0 if the system does not report it."""
    try:
        pages = int(_STATM.read_text(encoding="ascii").split()[_RESIDENT_FIELD])
    except OSError:
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


class MemoryWatch:
    """Checks the resident size and records when it crosses the limit."""

    def __init__(
        self,
        *,
        limit_mb: int,
        events: EventSink,
        measure: Callable[[], float] = resident_mb,
    ) -> None:
        """`measure` returns mebibytes."""
        self._limit_mb = limit_mb
        self._events = events
        self._measure = measure
        self.resident_mb = measure()
        """Last measured value, in mebibytes."""
        self._is_above = False

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Check until cancelled."""
        task_status.started()
        while True:
            self.check()
            await trio.sleep(CHECK_S)

    def check(self) -> None:
        """Measure now, and record an event if the limit was crossed."""
        self.resident_mb = self._measure()
        is_above = self.resident_mb > self._limit_mb
        if is_above != self._is_above:
            self._is_above = is_above
            step = "memory.above_limit" if is_above else "memory.below_limit"
            self._events.record(step, cause=self._describe())

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Return why this host should get no new work; empty below the limit."""
        return (self._describe(),) if self._is_above else ()

    def _describe(self) -> str:
        return f"resident memory is {self.resident_mb:.0f} MB; memory.total_mb is {self._limit_mb}"
