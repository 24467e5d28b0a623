"""Uses a ZeroMQ socket from the trio loop.

The descriptor of a socket is edge-triggered: it signals a change only once, and any use of the
socket may consume the signal, even a send that fails. So all use of a socket is in this module, and
each use is followed by a look at what is pending. Messages are read in bounded batches, between
which other tasks have a turn.
"""

from collections.abc import Callable
from typing import Any, Final

import trio
import zmq

READ_BATCH: Final = 256
"""Messages read before other tasks have a turn."""

Socket = zmq.Socket[bytes]

OnMessage = Callable[[list[Any]], None]
"""Takes the frames of one message: bytes, or `zmq.Frame` if they are not copied."""


class PolledSocket:
    """A socket whose messages are passed to a callback."""

    def __init__(
        self,
        *,
        socket: Socket,
        on_message: OnMessage,
        on_writable: Callable[[], None] = lambda: None,
        copies_frames: bool = True,
    ) -> None:
        """Take ownership of the socket; the callbacks must not block, and may send.

        `on_writable` is called after `request_writable`, but not from within it.
        """
        self._socket = socket
        self._on_message = on_message
        self._on_writable = on_writable
        self._copies_frames = copies_frames
        self._scope = trio.CancelScope()
        self._descriptor = int(socket.getsockopt(zmq.FD))
        self._is_reading = False
        self._is_writable_wanted = False
        self._is_writable_due = False
        """Whether `on_writable` is to be called."""

    def send(self, frames: list[bytes]) -> bool:
        """Pass on a message; False, with nothing sent, if no peer takes it now."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._on_used()
        return True

    def request_writable(self) -> None:
        """Request one call of `on_writable`, as soon as the socket takes messages."""
        self._is_writable_wanted = True
        self._on_used()

    async def run(self) -> None:
        """Read until stopped, then close the socket."""
        try:
            with self._scope:
                while True:
                    while not self._serve():
                        await trio.lowlevel.checkpoint()
                    await trio.lowlevel.wait_readable(self._descriptor)
        finally:
            self._socket.close()

    def stop(self) -> None:
        """End `run`."""
        self._scope.cancel()

    def close(self) -> None:
        """Close the socket at once; only for one whose `run` was never started."""
        self._socket.close(linger=0)

    def _serve(self) -> bool:
        """Read a batch and report that the socket is writable; return whether nothing is left."""
        is_empty = self._read_batch()
        if not self._is_writable_due:
            return is_empty
        self._is_writable_due = False
        self._on_writable()
        return False

    def _on_used(self) -> None:
        """Read what is pending, and continue soon if that is not all."""
        if self._is_reading or self._socket.closed:
            return
        if not self._read_batch() or self._is_writable_due:
            self._continue_soon()

    def _continue_soon(self) -> None:
        # A cancel scope around each wait for the descriptor would cost 6% of a call between peers.
        trio.lowlevel.current_trio_token().run_sync_soon(self._continue, idempotent=True)

    def _continue(self) -> None:
        if not self._socket.closed and not self._serve():
            self._continue_soon()

    def _read_batch(self) -> bool:
        """Read pending messages, up to a bound; return whether none is left."""
        self._is_reading = True
        try:
            return any(self._read_last() for _ in range(READ_BATCH))
        finally:
            self._is_reading = False

    def _read_last(self) -> bool:
        """Read one message, if there is one; return whether none is left."""
        events = int(self._socket.getsockopt(zmq.EVENTS))
        if events & zmq.POLLOUT and self._is_writable_wanted:
            self._is_writable_wanted = False
            self._is_writable_due = True
        if not events & zmq.POLLIN:
            return True
        self._on_message(self._socket.recv_multipart(zmq.NOBLOCK, copy=self._copies_frames))
        return False
