"""One request and its response over a pooled connection, with precise errors."""

import math
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import httpcore
import trio
from returns.result import Failure, Result, Success

from galenastall.state.decoding import shorten
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_pool import AddressPool, PooledConnection

_NO_BODY_STATUSES: Final = frozenset({204, 304})


_CONNECT_ERRORS: Final = (OSError, trio.BrokenResourceError, ValueError, OverflowError)
"""What connecting may raise; the last two for a host that is no address."""


class ResponseCutError(Exception):
    """A response body was truncated or missed the deadline."""

    def __init__(self, error: StepError) -> None:
        """Carry the typed error."""
        super().__init__(str(error))
        self.error = error


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamedResponse:
    """Status and headers of a response; the body follows as a stream."""

    status: int
    headers: Mapping[str, str]
    """Header names are in lower case."""
    body: AsyncIterator[bytes]
    """Raises ResponseCutError if the body is truncated or passes the deadline."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A request and its deadline."""

    step: str
    address: str
    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | AsyncIterator[bytes] = b""
    content_length: int | None = None
    deadline: float
    """Runtime time in seconds by which the response must be complete."""
    head_deadline: float
    """Runtime time in seconds by which the response must begin; `deadline` or earlier."""
    idle_timeout_s: float = math.inf
    """Longest time without a byte of the body once the response has begun."""
    connect_timeout_s: float

    def error(self, reason: Reason, detail: str) -> StepError:
        """Return an error of this call."""
        return StepError(step=self.step, peer=self.address, reason=reason, detail=detail)


def _describe(error: Exception) -> str:
    """Return the text of an error, shortened, or its type if it has none."""
    return shorten(str(error)) or type(error).__name__


class _ResponseBody:
    """Chunks of a response; a class rather than a generator, so that abandoning it is cheap."""

    def __init__(self, *, call: Call, chunks: Any) -> None:
        self._call = call
        self._chunks = chunks
        self._error: ResponseCutError | None = None
        self._received_bytes = 0

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        if self._error is not None:
            # Iterated again, a failed generator ends normally, as if the body were complete.
            raise self._error
        call = self._call
        with trio.move_on_at(min(call.deadline, trio.current_time() + call.idle_timeout_s)):
            try:
                chunk: bytes = await self._chunks.__anext__()
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                cause = f"response truncated: {_describe(error)}"
                self._error = self._cut(Reason.CUT, cause)
                raise self._error from error
            self._received_bytes += len(chunk)
            return chunk
        is_late = trio.current_time() >= call.deadline
        cause = "response incomplete in time" if is_late else "response stalled"
        self._error = self._cut(Reason.TIMEOUT, cause)
        raise self._error

    def _cut(self, reason: Reason, cause: str) -> ResponseCutError:
        detail = f"{cause}: {self._received_bytes} bytes had arrived"
        return ResponseCutError(self._call.error(reason, detail))


class Exchange:
    """A response whose head has arrived; closing it returns the connection to the pool."""

    def __init__(
        self,
        *,
        call: Call,
        pool: AddressPool,
        connection: PooledConnection,
        response: httpcore.Response,
        headers: Mapping[str, str],
    ) -> None:
        """Take ownership of the connection and its pool slot."""
        self.call = call
        self._pool = pool
        self._connection = connection
        self._response = response
        stream: Any = response.stream
        self._chunks = stream.__aiter__()
        body = _ResponseBody(call=call, chunks=self._chunks)
        self.answer = StreamedResponse(status=response.status, headers=headers, body=body)

    async def aclose(self) -> None:
        """Keep the connection if the response was read to its end, else close it."""
        try:
            with trio.CancelScope(shield=True):
                await self._chunks.aclose()
                await self._response.aclose()
                if not self._pool.keep(self._connection):
                    await self._connection.stream.aclose()
        finally:
            self._pool.release_slot()


async def open_exchange(call: Call, pool: AddressPool) -> Result[Exchange, StepError]:
    """Send the request and return an exchange once the response head has arrived."""
    with trio.move_on_at(call.head_deadline) as scope:
        await pool.acquire_slot()
    if scope.cancelled_caught:
        return Failure(call.error(Reason.UNREACHABLE, "no free connection before the deadline"))
    holds_slot = True
    try:
        connection = await _connect(call, pool)
        if isinstance(connection, Failure):
            return connection
        exchange = await _send(call, pool, connection.unwrap())
        holds_slot = isinstance(exchange, Failure)
        return exchange
    finally:
        if holds_slot:
            pool.release_slot()


async def _connect(call: Call, pool: AddressPool) -> Result[PooledConnection, StepError]:
    deadline = min(call.head_deadline, trio.current_time() + call.connect_timeout_s)
    with trio.move_on_at(deadline):
        try:
            return Success(await pool.get_connection())
        except _CONNECT_ERRORS as error:
            cause = error.__cause__ or error
            return Failure(call.error(Reason.UNREACHABLE, f"connect: {shorten(str(cause))}"))
    return Failure(call.error(Reason.UNREACHABLE, "connect: timed out"))


async def _send(
    call: Call, pool: AddressPool, connection: PooledConnection
) -> Result[Exchange, StepError]:
    try:
        request = _build_request(call, pool)
    except ValueError as error:
        detail = f"request can't be encoded: {_describe(error)}"
        return Failure(await _give_up(call, connection, Reason.CUT, detail))
    response: httpcore.Response | None = None
    try:
        with trio.move_on_at(call.head_deadline):
            response = await connection.http.handle_async_request(request)
    except (httpcore.NetworkError, httpcore.RemoteProtocolError) as error:
        detail = f"no response: {_describe(error)}"
        return Failure(await _give_up(call, connection, Reason.CUT, detail))
    except httpcore.LocalProtocolError as error:
        if connection.stream.has_sent:
            await connection.stream.aclose()
            raise
        return Failure(await _give_up(call, connection, Reason.CUT, _describe(error)))
    except BaseException:
        await connection.stream.aclose()
        raise
    if response is None:
        # Other pooled connections to the address may have stopped responding with this one.
        await pool.aclose()
        return Failure(await _give_up(call, connection, Reason.TIMEOUT, "no response in time"))
    headers = _headers_of(response)
    if not _has_checked_end(call, response.status, headers):
        detail = f"response with status {response.status} has no length to check"
        return Failure(await _give_up(call, connection, Reason.CUT, detail))
    return Success(
        Exchange(call=call, pool=pool, connection=connection, response=response, headers=headers)
    )


async def _give_up(
    call: Call, connection: PooledConnection, reason: Reason, detail: str
) -> StepError:
    was_sent = connection.stream.has_sent
    with trio.CancelScope(shield=True):
        await connection.stream.aclose()
    if not was_sent:
        return call.error(Reason.UNREACHABLE, f"nothing sent: {detail}")
    return call.error(reason, detail)


def _build_request(call: Call, pool: AddressPool) -> httpcore.Request:
    headers = [(b"host", pool.host_header)]
    headers += [(k.encode("latin-1"), v.encode("latin-1")) for k, v in call.headers.items()]
    if isinstance(call.body, bytes):
        if call.body or call.method not in {"GET", "HEAD", "DELETE"}:
            headers.append((b"content-length", b"%d" % len(call.body)))
    elif call.content_length is not None:
        headers.append((b"content-length", b"%d" % call.content_length))
    else:
        headers.append((b"transfer-encoding", b"chunked"))
    url = httpcore.URL(
        scheme=pool.scheme, host=pool.host, port=pool.port, target=call.path.encode("ascii")
    )
    return httpcore.Request(
        call.method.encode("ascii"), url, headers=headers, content=call.body or None
    )


def _headers_of(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.headers
    }


def _has_checked_end(call: Call, status: int, headers: Mapping[str, str]) -> bool:
    """Return whether the end of the response can be told from a truncation.

    A body that ends when the connection closes looks the same whether complete or truncated.
    """
    if status in _NO_BODY_STATUSES or call.method == "HEAD":
        return True
    return "content-length" in headers or "transfer-encoding" in headers
