"""Requests and responses as handlers see them, with buffered or streamed bodies."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import trio
from returns.result import Failure, Result, Success

from galenastall.state.errors import GalenastallError, Reason, StepError

Receive = Callable[[], Awaitable[Any]]


class RequestCutError(GalenastallError):
    """The client disconnected before its request body was complete."""


class BodyStream:
    """Chunks of one request's body, read once and in order."""

    def __init__(self, *, receive: Receive, is_complete: bool = False) -> None:
        """Read from an ASGI `receive` callable; `is_complete` if there is no body."""
        self._receive = receive
        self.is_complete = is_complete
        """Whether the last chunk was read."""
        self.ended = trio.Event()
        """Set by `discard` once the client has sent everything or has disconnected."""

    async def next_chunk(self) -> bytes:
        """Return the next chunk, empty only at the end; cheaper than `chunks` for a small body.

        Raises RequestCutError if the client disconnects.
        """
        while not self.is_complete:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise RequestCutError("the client disconnected before the end of the body")
            self.is_complete = not message.get("more_body", False)
            chunk: bytes = message.get("body", b"")
            if chunk:
                return chunk
        return b""

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks; raises RequestCutError if the client disconnects."""
        while chunk := await self.next_chunk():
            yield chunk

    async def discard(self) -> None:
        """Read and discard all data until the client disconnects."""
        while True:
            message = await self._receive()
            if not message.get("more_body", False):
                self.ended.set()
            if message["type"] == "http.disconnect":
                return

    @classmethod
    def of(cls, body: bytes) -> "BodyStream":
        """Return a stream of one chunk, for requests that were not received over a socket."""
        messages = iter(({"type": "http.request", "body": body, "more_body": False},))

        async def receive() -> dict[str, Any]:
            message = next(messages, None)
            if message is None:
                await trio.sleep_forever()
            return message

        return cls(receive=receive)


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """One request; header names are in lower case."""

    method: str
    path: str
    """The path as sent, still percent-encoded."""
    path_params: Mapping[str, str] = field(default_factory=dict)
    """Decoded values of the route's placeholders."""
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    """Repeated headers are joined by a comma."""
    client: str = ""
    """`IP:port` of the client."""
    stream: BodyStream = field(default_factory=lambda: BodyStream.of(b""), repr=False)

    def body(self) -> AsyncIterator[bytes]:
        """Return the body's chunks; raises RequestCutError if the client disconnects."""
        return self.stream.chunks()

    async def read_body(self, limit_bytes: int) -> Result[bytes, StepError]:
        """Return the complete body; INVALID above `limit_bytes`, CUT if the client disconnects."""
        parts: list[bytes] = []
        size = 0
        try:
            while chunk := await self.stream.next_chunk():
                size += len(chunk)
                if size > limit_bytes:
                    return Failure(self._error(Reason.INVALID, f"body over {limit_bytes} bytes"))
                parts.append(chunk)
        except RequestCutError as error:
            return Failure(self._error(Reason.CUT, str(error)))
        return Success(b"".join(parts))

    async def wait_disconnected(self) -> None:
        """Return once the client disconnects; unread parts of the body are discarded."""
        await self.stream.discard()

    def _error(self, reason: Reason, detail: str) -> StepError:
        return StepError(step="http.read_body", peer=self.client, reason=reason, detail=detail)


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """One response; a streamed body that raises aborts the connection."""

    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)
    """A content-length given here must match the length of a streamed body."""
    body: bytes | AsyncIterator[bytes] = b""
