"""The body of one request between the connection that receives it and its handler."""

from collections import deque
from typing import Any, Final

import trio

from galenastall.transport.connection_budget import ConnectionAccount, Phase

BODY_KEY: Final = "galenastall.body"
"""Key of the RequestBody in an ASGI scope."""
QUEUED_BYTES: Final = 512 * 1024
"""Bytes that wait for the handler before the connection stops reading; a client may send this much
of a streamed body before it reads the response."""
DROPPED_BYTES: Final = 4 * 1024 * 1024
"""Bytes of an answered request that are read and dropped before its connection is closed."""
DISCONNECT: Final = "http.disconnect"
"""Type of ASGI's message that the client has gone."""
REFUSED: Final = "galenastall.refused"
"""Type of the message that tells a handler that the rest of its request is not read."""

BLOCK_BYTES: Final = 16 * 1024
"""Size of the blocks of a kept body: memory of bodies that grow as a whole becomes fragmented."""

Message = dict[str, Any]


class BodyBuffer:
    """The part of a body that its handler keeps, in blocks of one size."""

    def __init__(self) -> None:
        """Begin empty."""
        self._blocks: list[bytearray] = []
        self.size = 0
        """Bytes kept."""

    def append(self, chunk: bytes) -> None:
        """Keep a further chunk."""
        self.size += len(chunk)
        if self._blocks and len(self._blocks[-1]) + len(chunk) <= BLOCK_BYTES:
            self._blocks[-1] += chunk
        else:
            self._blocks.append(bytearray(chunk))

    def take(self) -> bytes:
        """Return all that was kept, and keep it no more."""
        taken = b"".join(self._blocks)
        self.clear()
        return taken

    def clear(self) -> None:
        """Keep nothing."""
        self._blocks.clear()
        self.size = 0


class RequestBody:
    """A queue of ASGI messages that never makes the connection wait for a finished handler."""

    def __init__(self, *, account: ConnectionAccount) -> None:
        """Count what is queued as held by `account`."""
        self.account = account
        self.buffer = BodyBuffer()
        """What the handler keeps of the body; emptied if the request is refused."""
        self.ended = trio.Event()
        """Set once nothing more is read: the body is complete, too long to drop, or cut off."""
        self._has_news_of_refusal = False
        self._messages: deque[Message] = deque()
        self._queued_bytes = 0
        self._dropped_bytes = 0
        self._is_dropping = False
        self._changed = trio.Event()
        account.refuse_body = self.refuse

    async def put(self, message: Message) -> None:
        """Add a message; waits while the handler has much to read."""
        size = len(message.get("body", b""))
        is_end = not message.get("more_body", False)
        self.account.note_body(size)
        if size and not self._is_dropping:
            self._queued_bytes += size
            self.account.hold(size)
        if self._is_dropping:
            self._dropped_bytes += size
        if is_end or self._dropped_bytes > DROPPED_BYTES:
            self.ended.set()
        if not self._is_dropping or message["type"] == DISCONNECT:
            self._append(message)
        while size and self._queued_bytes > QUEUED_BYTES and not self._is_dropping:
            await self._changed.wait()

    def _append(self, message: Message) -> None:
        """Queue a message; the end of the body becomes part of its last chunk."""
        last = self._messages[-1] if self._messages else None
        is_bare_end = message["type"] != DISCONNECT and not message["body"]
        if last is not None and is_bare_end:
            last["more_body"] = message["more_body"]
        else:
            self._messages.append(message)
        self._notify()

    async def receive(self) -> Message:
        """Return the next message, as ASGI's `receive` does."""
        while not self._messages:
            if self._has_news_of_refusal:
                self._has_news_of_refusal = False
                return {"type": REFUSED}
            await self._changed.wait()
        message = self._messages.popleft()
        size = len(message.get("body", b""))
        if size:
            self._queued_bytes -= size
            self.account.release(size)
            self._notify()
        return message

    def drop(self) -> None:
        """Keep nothing of what still arrives: the request is answered."""
        self._is_dropping = True
        self._forget()
        if not self.ended.is_set():
            self.account.enter(Phase.DROPPING)

    def refuse(self) -> None:
        """Free what has arrived, and have the handler answer without the rest."""
        self._has_news_of_refusal = True
        self._is_dropping = True
        self._forget()

    def end(self) -> None:
        """Wait no longer for the rest of an answered request."""
        self.ended.set()

    def _forget(self) -> None:
        kept = [each for each in self._messages if each["type"] == DISCONNECT]
        self._messages = deque(kept)
        self.account.release(self._queued_bytes)
        self._queued_bytes = 0
        self.buffer.clear()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
