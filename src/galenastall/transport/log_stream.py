"""A byte stream for log lines that never blocks: what its reader does not take is dropped."""

import os
import select
from collections import deque
from typing import Final

CAPACITY_BYTES: Final = 256 * 1024
"""Bytes of lines that wait for a slow reader; further lines are dropped and counted."""
_CHUNK_BYTES: Final = 4096
"""A pipe that is writable takes this much without blocking (PIPE_BUF)."""


class BoundedLogStream:
    """Writes whole lines to a descriptor while it takes them."""

    def __init__(self, *, descriptor: int, capacity_bytes: int = CAPACITY_BYTES) -> None:
        """Write to `descriptor`, whose own blocking mode stays as it is."""
        self._descriptor = descriptor
        self._capacity_bytes = capacity_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0
        """Writes that were dropped since the start."""

    def write(self, data: bytes) -> int:
        """Take a line, and write what the reader takes now."""
        if self._waiting_bytes + len(data) > self._capacity_bytes:
            self.dropped += 1
        else:
            self._waiting.append(data)
            self._waiting_bytes += len(data)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Write what the reader takes without waiting."""
        while self._waiting and self._is_writable():
            data = self._waiting[0]
            written = os.write(self._descriptor, data[:_CHUNK_BYTES])
            self._waiting_bytes -= written
            if written == len(data):
                self._waiting.popleft()
            else:
                self._waiting[0] = data[written:]

    def _is_writable(self) -> bool:
        ready = self._poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)
