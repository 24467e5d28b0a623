"""One large transfer at a time: tells which responses have begun, and which are to be given up."""

from collections.abc import Callable
from typing import Final

import trio

from galenastall.platform.log_wire import READ_HEAD_BYTES, decode_end
from galenastall.transport.http_client import ResponseProgress

LARGE_BYTES: Final = 65_536
"""Responses above this size are not received twice, nor with superseded records."""
_OK: Final = 200

TransferReport = Callable[[int, float], None]
"""Called with the bytes of a complete transfer, and the seconds that it took."""


class TransferSlot:
    """The transfer under way, if any; other reads of the same topic wait for its end."""

    def __init__(self, *, on_received: TransferReport) -> None:
        """Call `on_received` for each large transfer that is complete."""
        self._on_received = on_received
        self._holder: ResponseWatch | None = None
        self._ended = trio.Event()

    @property
    def is_taken(self) -> bool:
        """Whether a response with records has begun to arrive."""
        return self._holder is not None

    def take(self, watch: "ResponseWatch") -> bool:
        """Make this read the transfer under way; False if another one is."""
        if self._holder is None:
            self._holder = watch
            self._ended = trio.Event()
        return self._holder is watch

    async def wait_free(self) -> None:
        """Wait for the end of the transfer under way."""
        while self._holder is not None:
            await self._ended.wait()

    def release(self, watch: "ResponseWatch", *, is_complete: bool) -> None:
        """End this read's transfer, if it is the one under way."""
        if self._holder is not watch:
            return
        self._holder = None
        self._ended.set()
        if is_complete and watch.received_bytes > LARGE_BYTES:
            self._on_received(watch.received_bytes, trio.current_time() - watch.began_at)


class ResponseWatch:
    """Watches the responses of one read, and gives up those that are not worth the link."""

    def __init__(self, *, slot: TransferSlot, offset: int | None) -> None:
        """Watch a read from `offset` on, or of the newest record of each key if it is None."""
        self._slot = slot
        self._offset = offset
        self._pending: int | None = None
        """Records from the offset to the partition's end; None until the response tells."""
        self.received_bytes = 0
        self.began_at = 0.0
        self.is_superseded = False
        """Whether a response was given up because later records have followed those in it."""
        self.is_duplicate = False
        """Whether a response was given up because another read already receives its records."""

    def expect_newest(self) -> None:
        """Expect the newest record of each key from now on: none of them is superseded."""
        self._offset = None
        self._pending = None

    def check(self, progress: ResponseProgress) -> bool:
        """Note a chunk; return whether the rest of its response is wanted."""
        if progress.status != _OK:
            return True
        if not self.received_bytes:
            self.began_at = trio.current_time()
        self.received_bytes += len(progress.parts[-1])
        if self._pending is None:
            self._pending = self._count_pending(progress)
        if not self._pending:
            return True
        is_large = max(progress.expected_bytes, progress.received_bytes) > LARGE_BYTES
        if not self._slot.take(self):
            self.is_duplicate = is_large
            return not is_large
        self.is_superseded = is_large and self._pending > 1
        return not self.is_superseded

    def _count_pending(self, progress: ResponseProgress) -> int | None:
        if self._offset is None:
            return 1
        if progress.received_bytes < READ_HEAD_BYTES:
            return None
        return decode_end(b"".join(progress.parts)) - self._offset
