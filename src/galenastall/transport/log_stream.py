"""A non-blocking byte stream for log lines: lines beyond its buffer are dropped."""

import os
import select
from collections import deque
from typing import Final

CAPACITY_BYTES: Final = 256 * 1024
"""Bytes of lines buffered for a slow reader; further lines are dropped and counted."""
_CHUNK_BYTES: Final = 4096
"""A writable pipe accepts this many bytes without blocking (PIPE_BUF)."""


class BoundedLogStream:
    """Writes complete lines to a descriptor as far as it accepts them without blocking."""

    def __init__(self, *, descriptor: int, capacity_bytes: int = CAPACITY_BYTES) -> None:
        """Write to `descriptor`, whose blocking mode is left unchanged."""
        self._descriptor = descriptor
        self._capacity_bytes = capacity_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0
        """Number of writes dropped since the start."""

    def write(self, data: bytes) -> int:
        """Buffer a line, and write as much as possible without blocking."""
        if self._waiting_bytes + len(data) > self._capacity_bytes:
            self.dropped += 1
        else:
            self._waiting.append(data)
            self._waiting_bytes += len(data)
        self.flush()
        return len(data)

    def flush(self) -> None:
        """Write buffered lines as far as possible without blocking."""
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
