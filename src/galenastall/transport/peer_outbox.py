"""Outbound side for one peer: its DEALER socket, and one-way messages queued until connected."""

from collections import deque
from collections.abc import Callable
from typing import Final

import trio

from galenastall.protocol.clock import Clock
from galenastall.transport.link_faults import DroppedCounters, LinkCounters
from galenastall.transport.polled_socket import PolledSocket, Socket

MAX_WAITING_ONE_WAY: Final = 64
"""One-way messages queued for a connection; when full, the oldest is dropped."""
ONE_WAY_TIMEOUT_S: Final = 1.0
"""Seconds after which a queued one-way message is dropped."""


class PeerOutbox:
    """Passes frames to one peer's socket and reports whether the socket accepted them."""

    def __init__(
        self,
        *,
        address: str,
        socket: Socket,
        counters: LinkCounters,
        dropped: DroppedCounters,
        clock: Clock,
        on_frame: Callable[[bytes], None],
    ) -> None:
        """Take ownership of the socket; `on_frame` receives each answer frame of the peer."""
        self.address = address
        self._counters = counters
        self._dropped = dropped
        self._clock = clock
        self._on_frame = on_frame
        self._writable = trio.Event()
        self._waiting: deque[tuple[float, bytes]] = deque(maxlen=MAX_WAITING_ONE_WAY)
        self._socket = PolledSocket(
            socket=socket, on_message=self._on_message, on_writable=self._flush_waiting
        )
        self.is_closed = False

    async def run(self) -> None:
        """Read answers until closed."""
        try:
            await self._socket.run()
        finally:
            self.is_closed = True
            self._writable.set()

    def close(self) -> None:
        """End `run` and wake all tasks that wait to send."""
        self.is_closed = True
        self._writable.set()
        self._socket.stop()

    def try_send(self, frame: bytes) -> bool:
        """Pass on the frame; False, with nothing sent, if not connected or the queue is full."""
        return not self.is_closed and self._enqueue(frame)

    def send_or_queue(self, frame: bytes) -> None:
        """Send the frame now, or queue it until the peer connects or the time-out expires."""
        if self.try_send(frame):
            return
        if len(self._waiting) == MAX_WAITING_ONE_WAY:
            self._dropped.expired += 1
        self._waiting.append((self._clock.now() + ONE_WAY_TIMEOUT_S, frame))
        self._socket.request_writable()

    async def wait_writable(self) -> None:
        """Wait until sending should be retried."""
        event = self._writable
        self._socket.request_writable()
        await event.wait()

    def _enqueue(self, frame: bytes) -> bool:
        if not self._socket.send([frame]):
            return False
        self._counters.messages_out += 1
        self._counters.bytes_out += len(frame)
        return True

    def _flush_waiting(self) -> None:
        event, self._writable = self._writable, trio.Event()
        event.set()
        now = self._clock.now()
        while self._waiting:
            expiry, frame = self._waiting[0]
            if expiry >= now and not self._enqueue(frame):
                self._socket.request_writable()
                return
            self._waiting.popleft()
            self._dropped.expired += expiry < now

    def _on_message(self, frames: list[bytes]) -> None:
        self._counters.messages_in += 1
        self._counters.bytes_in += sum(map(len, frames))
        if len(frames) != 1:
            self._dropped.malformed += 1
            return
        self._on_frame(frames[0])
