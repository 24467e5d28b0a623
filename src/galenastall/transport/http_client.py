"""HTTP client over httpcore whose errors state whether the request may have taken effect.

UNREACHABLE is returned only if no byte of the request was passed to the kernel. Any later failure
is TIMEOUT or CUT, including on a pooled connection that the server has closed in the meantime.
"""

import math
import ssl
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Final, TypeVar

import msgspec
import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.security import ClientTls, TlsFiles
from galenastall.state.decoding import decode_json_value, parse_whole
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_exchange import (
    Call,
    Exchange,
    ResponseCutError,
    StreamedResponse,
    open_exchange,
)
from galenastall.transport.http_json import decode_json
from galenastall.transport.http_pool import DEFAULT_KEEP_ALIVE_S, AddressPool

T = TypeVar("T")

DEFAULT_MAX_CONNECTIONS: Final = 64
"""Maximum number of connections to one address."""
DEFAULT_CONNECT_TIMEOUT_S: Final = 2.0
RESPONSE_LIMIT_BYTES: Final = 64 * 1024 * 1024
"""Largest response that `request` buffers."""
_PRUNE_EVERY_S: Final = 5.0
_DETAIL_LIMIT_BYTES: Final = 200
_SUCCESS_CLASS: Final = 2
_CLIENT_ERROR_CLASS: Final = 4
_REASON_BY_STATUS: Final = {
    400: Reason.INVALID,
    403: Reason.REFUSED,
    404: Reason.NOT_FOUND,
    408: Reason.TIMEOUT,
    409: Reason.CONFLICT,
    410: Reason.TRIMMED,
    421: Reason.NOT_OWNER,
    429: Reason.OVERLOADED,
    503: Reason.UNAVAILABLE,
    504: Reason.TIMEOUT,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class BufferedResponse:
    """A response whose body was read completely."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseProgress:
    """What has arrived of a response's body."""

    status: int
    parts: Sequence[bytes]
    """Chunks of the body so far; the last one has just arrived."""
    received_bytes: int
    expected_bytes: int
    """Size of the whole body; 0 if the server does not state it."""


ProgressCheck = Callable[[ResponseProgress], bool]
"""Called with each chunk of a response; False gives the rest up, and closes the connection."""


class HttpClient:
    """Sends requests to any number of addresses, with a connection pool for each."""

    def __init__(
        self,
        *,
        clock: Clock,
        tls: TlsFiles | ClientTls | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        keep_alive_s: float = DEFAULT_KEEP_ALIVE_S,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ) -> None:
        """Use TLS if `tls` is given; `max_connections` applies to each address."""
        self._clock = clock
        self._tls_context = None if tls is None else _client_context(tls)
        self._max_connections = max_connections
        self._keep_alive_s = keep_alive_s
        self._connect_timeout_s = connect_timeout_s
        self._pools_by_address: dict[str, AddressPool] = {}
        self._pruned_at = clock.now()

    @asynccontextmanager
    async def stream(
        self,
        *,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        body: bytes | AsyncIterator[bytes] = b"",
        content_length: int | None = None,
        step: str = "http.call",
    ) -> AsyncIterator[Result[StreamedResponse, StepError]]:
        """Send a request and stream its response; `timeout_s` bounds the whole exchange.

        `path` is sent unchanged, query included. A streamed `body` is sent chunked unless
        `content_length` is given. An exception raised by `body` propagates after the connection
        was closed, and the request may then have taken effect.
        """
        opened = await self.open(
            method=method,
            address=address,
            path=path,
            timeout_s=timeout_s,
            headers=headers,
            body=body,
            content_length=content_length,
            step=step,
        )
        if isinstance(opened, Failure):
            yield opened
            return
        exchange = opened.unwrap()
        try:
            yield Success(exchange.answer)
        finally:
            await exchange.aclose()

    async def request(
        self,
        *,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        limit_bytes: int = RESPONSE_LIMIT_BYTES,
        idle_timeout_s: float = math.inf,
        on_progress: ProgressCheck | None = None,
        step: str = "http.call",
    ) -> Result[BufferedResponse, StepError]:
        """Send a request and return its buffered response, whatever its status.

        `timeout_s` bounds the whole exchange; `idle_timeout_s` bounds the time to the response's
        head, and starts anew with each chunk of the body.
        """
        opened = await self.open(
            method=method,
            address=address,
            path=path,
            timeout_s=timeout_s,
            headers=headers,
            body=body,
            content_length=None,
            idle_timeout_s=idle_timeout_s,
            step=step,
        )
        if isinstance(opened, Failure):
            return opened
        exchange = opened.unwrap()
        try:
            body_read = await _read_body(exchange, limit_bytes, on_progress)
        finally:
            await exchange.aclose()
        answer = exchange.answer
        return body_read.map(
            lambda whole: BufferedResponse(status=answer.status, headers=answer.headers, body=whole)
        )

    async def get_json(
        self,
        *,
        address: str,
        path: str,
        answer_type: type[T],
        timeout_s: float,
        step: str = "http.get_json",
    ) -> Result[T, StepError]:
        """Get a typed response; a status outside 200 to 299 is a Failure."""
        answer = await self.request(
            method="GET", address=address, path=path, timeout_s=timeout_s, step=step
        )
        return _typed(answer, answer_type, step=step, peer=address)

    async def post_json(
        self,
        *,
        address: str,
        path: str,
        message: object,
        answer_type: type[T],
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        step: str = "http.post_json",
    ) -> Result[T, StepError]:
        """Post JSON and return the typed response; a status outside 200 to 299 is a Failure."""
        answer = await self.request(
            method="POST",
            address=address,
            path=path,
            timeout_s=timeout_s,
            headers={"content-type": "application/json", **(headers or {})},
            body=msgspec.json.encode(message),
            step=step,
        )
        return _typed(answer, answer_type, step=step, peer=address)

    async def aclose(self) -> None:
        """Close all idle connections; those in use are closed when their responses end."""
        for pool in self._pools_by_address.values():
            await pool.aclose()

    async def open(
        self,
        *,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        headers: Mapping[str, str] | None,
        body: bytes | AsyncIterator[bytes],
        content_length: int | None,
        step: str,
        idle_timeout_s: float = math.inf,
    ) -> Result[Exchange, StepError]:
        """Open an exchange that the caller closes; cheaper than `stream`, for hot paths."""
        now = trio.current_time()
        call = Call(
            step=step,
            address=address,
            method=method,
            path=path,
            headers=headers or {},
            body=body,
            content_length=content_length,
            deadline=now + timeout_s,
            head_deadline=now + min(timeout_s, idle_timeout_s),
            idle_timeout_s=idle_timeout_s,
            connect_timeout_s=self._connect_timeout_s,
        )
        await self._prune()
        pool = self._pools_by_address.get(address)
        if pool is None:
            try:
                pool = self._new_pool(address)
            except ValueError as error:
                return Failure(call.error(Reason.UNREACHABLE, str(error)))
        return await open_exchange(call, pool)

    def _new_pool(self, address: str) -> AddressPool:
        pool = AddressPool(
            address=address,
            max_connections=self._max_connections,
            keep_alive_s=self._keep_alive_s,
            tls_context=self._tls_context,
            clock=self._clock,
        )
        self._pools_by_address[address] = pool
        return pool

    async def _prune(self) -> None:
        now = self._clock.now()
        if now - self._pruned_at < _PRUNE_EVERY_S:
            return
        self._pruned_at = now
        for address, pool in list(self._pools_by_address.items()):
            await pool.close_stale()
            if pool.is_unused:
                self._pools_by_address.pop(address, None)


def _client_context(tls: TlsFiles | ClientTls) -> ssl.SSLContext:
    tls.check()
    context = ssl.create_default_context(cafile=tls.ca_file)
    context.set_alpn_protocols(["http/1.1"])
    if tls.cert_file is not None:
        context.load_cert_chain(tls.cert_file, tls.key_file)
    return context


async def _read_body(
    exchange: Exchange, limit_bytes: int, on_progress: ProgressCheck | None
) -> Result[bytes, StepError]:
    answer, call = exchange.answer, exchange.call
    parts: list[bytes] = []
    size = 0
    try:
        async for chunk in answer.body:
            parts.append(chunk)
            size += len(chunk)
            if size > limit_bytes:
                return Failure(call.error(Reason.CUT, f"response over {limit_bytes} bytes"))
            if on_progress is not None and not on_progress(_progress_of(answer, parts, size)):
                detail = f"response given up by its reader: {size} bytes had arrived"
                return Failure(call.error(Reason.CUT, detail))
    except ResponseCutError as error:
        return Failure(error.error)
    return Success(b"".join(parts))


def _progress_of(
    answer: StreamedResponse, parts: Sequence[bytes], size_bytes: int
) -> ResponseProgress:
    return ResponseProgress(
        status=answer.status,
        parts=parts,
        received_bytes=size_bytes,
        expected_bytes=_expected_bytes(answer.headers),
    )


def _expected_bytes(headers: Mapping[str, str]) -> int:
    return parse_whole(headers.get("content-length", "")) or 0


def _typed(
    answer: Result[BufferedResponse, StepError], value_type: type[T], *, step: str, peer: str
) -> Result[T, StepError]:
    if isinstance(answer, Failure):
        return answer
    response = answer.unwrap()
    if response.status // 100 != _SUCCESS_CLASS:
        return Failure(error_from_response(response, step=step, peer=peer))
    # The server reported success, so a request with an unreadable response may have taken effect.
    return decode_json(response.body, value_type, step=step, peer=peer).alt(
        lambda error: replace(error, reason=Reason.CUT)
    )


def error_from_response(answer: BufferedResponse, *, step: str, peer: str) -> StepError:
    """Return the typed error for a response with an error status.

    A typed error in the body is kept, with the responding peer filled in; otherwise the status
    decides. An unknown server error counts as one after which the request may have taken effect.
    """
    typed = decode_json_value(answer.body, StepError)
    if isinstance(typed, Failure):
        reason = _REASON_BY_STATUS.get(answer.status, _reason_of_class(answer.status))
        text = answer.body[:_DETAIL_LIMIT_BYTES].decode("utf-8", "replace")
        detail = f"status {answer.status}: {text}"
        retry_after_s = _retry_after(answer.headers)
        return StepError(
            step=step, peer=peer, reason=reason, detail=detail, retry_after_s=retry_after_s
        )
    found = typed.unwrap()
    return replace(found, peer=found.peer or peer)


def _reason_of_class(status: int) -> Reason:
    return Reason.INVALID if status // 100 == _CLIENT_ERROR_CLASS else Reason.CUT


def _retry_after(headers: Mapping[str, str]) -> float | None:
    seconds = parse_whole(headers.get("retry-after", ""))
    return None if seconds is None else float(seconds)
