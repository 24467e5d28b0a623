"""Limits the bytes of calls that are under way on a link."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


class ByteBudget:
    """Lets calls begin in the order of their arrival while their bytes fit."""

    def __init__(self, *, max_bytes: float) -> None:
        """Allow `max_bytes` at once; a larger call begins when no other is under way."""
        self._max_bytes = max_bytes
        self._under_way_bytes = 0
        self._turn = trio.StrictFIFOLock()
        self._freed = trio.Event()

    @asynccontextmanager
    async def hold(self, size_bytes: int) -> AsyncIterator[None]:
        """Wait for room for a call, which ends with the block."""
        try:
            self._turn.acquire_nowait()
        except trio.WouldBlock:
            await self._turn.acquire()
        try:
            while self._under_way_bytes and self._under_way_bytes + size_bytes > self._max_bytes:
                self._freed = trio.Event()
                await self._freed.wait()
            self._under_way_bytes += size_bytes
        finally:
            self._turn.release()
        try:
            yield
        finally:
            self._under_way_bytes -= size_bytes
            self._freed.set()
