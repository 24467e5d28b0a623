"""Requests and responses as handlers see them, with buffered or streamed bodies."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import trio
from returns.result import Failure, Result, Success

from galenastall.state.errors import GalenastallError, Reason, StepError
from galenastall.transport.request_body import DISCONNECT, REFUSED, BodyBuffer, RequestBody

Receive = Callable[[], Awaitable[Any]]

RETURN_S: Final = 1.0
"""When a client whose request is refused for what others hold should return, in seconds."""
SMALL_BYTES: Final = 16 * 1024
"""Input up to this size is processed without waiting for a turn."""


class RequestCutError(GalenastallError):
    """The client disconnected before its request body was complete."""


class BodyRefusedError(RequestCutError):
    """The rest of a request's body is not read, since unfinished requests hold too much."""


class BodyStream:
    """Chunks of one request's body, read once and in order."""

    def __init__(
        self, *, receive: Receive, is_complete: bool = False, source: RequestBody | None = None
    ) -> None:
        """Read from an ASGI `receive` callable; `is_complete` if there is no body.

        `source` is the queue behind `receive`, if the request came over a connection.
        """
        self._receive = receive
        self._source = source
        self.is_complete = is_complete
        """Whether the last chunk was read."""

    async def next_chunk(self) -> bytes:
        """Return the next chunk, empty only at the end; cheaper than `chunks` for a small body.

        Raises RequestCutError if the client disconnects, and BodyRefusedError.
        """
        while not self.is_complete:
            message = await self._receive()
            if message["type"] == DISCONNECT:
                raise RequestCutError("the client disconnected before the end of the body")
            if message["type"] == REFUSED:
                raise BodyRefusedError("the request came too slowly, or others hold too much")
            self.is_complete = not message.get("more_body", False)
            chunk: bytes = message.get("body", b"")
            if chunk:
                return chunk
        return b""

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks; raises RequestCutError if the client disconnects."""
        while chunk := await self.next_chunk():
            yield chunk

    async def read(self, limit_bytes: int) -> bytes | None:
        """Return the rest of the body, or None if it is longer than the limit.

        Raises RequestCutError if the client disconnects, and BodyRefusedError.
        """
        first = await self.next_chunk()
        if len(first) > limit_bytes:
            return None
        if self.is_complete:
            self.hold(len(first))
            return first
        # The source empties its buffer if the request is refused meanwhile.
        buffer = BodyBuffer() if self._source is None else self._source.buffer
        chunk = first
        while chunk:
            if buffer.size + len(chunk) > limit_bytes:
                buffer.clear()
                return None
            buffer.append(chunk)
            self.hold(len(chunk))
            chunk = await self.next_chunk()
        return buffer.take()

    def hold(self, size: int) -> None:
        """Count bytes that this request holds until its response."""
        if self._source is not None:
            self._source.account.hold(size)

    def reserve(self, size: int) -> bool:
        """Count bytes that its decoded body will hold; False if that is too much now."""
        return self._source is None or self._source.account.reserve(size)

    async def take_turn(self) -> None:
        """Wait for a turn to process costly input."""
        if self._source is not None:
            await self._source.account.budget.take_turn()

    def drop(self) -> None:
        """Keep nothing of what still arrives: the request is answered."""
        if self._source is not None:
            self._source.drop()

    async def wait_ended(self) -> None:
        """Wait until the rest of an answered request has arrived, or is not waited for."""
        if self._source is not None:
            await self._source.ended.wait()

    async def wait_disconnected(self) -> None:
        """Return once the client disconnects; what arrives until then is dropped."""
        while (await self._receive())["type"] != DISCONNECT:
            pass

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
        """Return the complete body.

        The error is INVALID above `limit_bytes`, CUT if the client disconnects, and OVERLOADED if
        unfinished requests hold too much; then nothing of the request has been processed.
        """
        length = self.headers.get("content-length", "")
        try:
            is_too_long = length.isdigit() and len(length) > len(str(limit_bytes))
            is_too_long = is_too_long or (length.isdigit() and int(length) > limit_bytes)
            body = None if is_too_long else await self.stream.read(limit_bytes)
        except BodyRefusedError as error:
            return Failure(self._error(Reason.OVERLOADED, str(error), retry_after_s=RETURN_S))
        except RequestCutError as error:
            return Failure(self._error(Reason.CUT, str(error)))
        if body is None:
            return Failure(self._error(Reason.INVALID, f"body over {limit_bytes} bytes"))
        return Success(body)

    async def prepare(self, size: int) -> Result[None, StepError]:
        """Wait for a turn to decode a body into `size` bytes, and hold them until the response.

        OVERLOADED if unfinished requests hold too much.
        """
        if size > SMALL_BYTES:
            await self.stream.take_turn()
        if self.stream.reserve(size):
            return Success(None)
        detail = "unfinished requests hold too much memory"
        return Failure(self._error(Reason.OVERLOADED, detail, retry_after_s=RETURN_S))

    async def wait_disconnected(self) -> None:
        """Return once the client disconnects; unread parts of the body are dropped."""
        await self.stream.wait_disconnected()

    def _error(
        self, reason: Reason, detail: str, *, retry_after_s: float | None = None
    ) -> StepError:
        return StepError(
            step="http.read_body",
            peer=self.client,
            reason=reason,
            detail=detail,
            retry_after_s=retry_after_s,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """One response; a streamed body that raises aborts the connection."""

    status: int = 200
    headers: Mapping[str, str] = field(default_factory=dict)
    """A content-length given here must match the length of a streamed body."""
    body: bytes | AsyncIterator[bytes] = b""
