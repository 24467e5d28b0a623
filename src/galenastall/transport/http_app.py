"""ASGI application between hypercorn and the route handlers.

A response is either complete or the connection is aborted: a streamed body that raises is sent
without its last chunk, so that no client mistakes it for a complete one.
"""

import logging
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any, Final, Protocol
from urllib.parse import parse_qsl

import trio

from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_json import error_response
from galenastall.transport.http_messages import (
    RETURN_S,
    BodyRefusedError,
    BodyStream,
    HttpRequest,
    HttpResponse,
    Receive,
    RequestCutError,
)
from galenastall.transport.http_routes import Route, RouteTable
from galenastall.transport.request_body import BODY_KEY

UNREAD_BODY_TIMEOUT_S: Final = 5.0
"""Seconds for which the rest of an upload is read and discarded after an early response."""
_BODY_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})
_SMALL_LENGTH_DIGITS: Final = 4
"""Maximum digits in the content length of a small body: below 10,000 bytes."""
_BUFFER_LIMIT_BYTES: Final = 16 * 1024 * 1024

ErrorLog = Callable[[StepError, BaseException], None]
"""Takes a typed error and the exception behind it."""

_logger = logging.getLogger("galenastall.http")


class Send(Protocol):
    """ASGI's `send`."""

    async def __call__(self, message: dict[str, Any]) -> None:
        """Send one ASGI message."""


Guard = Callable[[Any, int], HttpResponse | None]
"""Takes an ASGI scope and the number of open requests; returns a rejection, or None to proceed."""


class HttpApp:
    """Dispatches each request to its handler and sends the response."""

    def __init__(
        self,
        *,
        handlers: Iterable[object],
        log_error: ErrorLog | None,
        guard: Guard | None = None,
    ) -> None:
        """Collect the handlers' routes; `guard` is called before any other processing."""
        self._guard = guard
        self._routes = RouteTable(handlers=handlers)
        self._log_error = log_error or _log_to_stdlib
        self.open_requests = 0
        """Requests whose response has not been sent completely."""
        self.is_draining = False
        """Whether responses ask clients to close their connections."""

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one ASGI request or lifespan event."""
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            raise ValueError(f"unsupported ASGI scope {scope['type']!r}")
        self.open_requests += 1
        try:
            await self._answer(scope, receive, send)
        finally:
            self.open_requests -= 1

    async def _answer(self, scope: Any, receive: Receive, send: Send) -> None:
        if self._guard is not None:
            refusal = self._guard(scope, self.open_requests)
            if refusal is not None:
                await self._refuse_early(scope, refusal, receive, send)
                return
        headers = _headers_of(scope["headers"])
        has_body = "content-length" in headers or "transfer-encoding" in headers
        stream = _stream_of(scope, receive, is_complete=not has_body)
        response = await self._handle(scope, headers, stream)
        if response is None:
            return
        await self._respond(scope, response, stream, send)

    async def _refuse_early(
        self, scope: Any, refusal: HttpResponse, receive: Receive, send: Send
    ) -> None:
        """Send a rejection; a small request body is read to its end first, which is cheapest."""
        lengths = [value for name, value in scope["headers"] if name in _BODY_HEADERS]
        stream = _stream_of(scope, receive, is_complete=not lengths)
        if lengths and len(lengths[0]) <= _SMALL_LENGTH_DIGITS and lengths[0].isdigit():
            with trio.move_on_after(UNREAD_BODY_TIMEOUT_S):
                try:
                    while await stream.next_chunk():
                        pass
                except BodyRefusedError:
                    pass
                except RequestCutError:
                    return
        await self._respond(scope, refusal, stream, send)

    async def _respond(
        self, scope: Any, response: HttpResponse, stream: BodyStream, send: Send
    ) -> None:
        if stream.is_complete and isinstance(response.body, bytes):
            await self._send_bytes(response, response.body, send, more_body=False)
            return
        if await self._send_all_but_end(scope, response, send):
            await self._send_end(response, stream, send)

    async def _send_end(self, response: HttpResponse, stream: BodyStream, send: Send) -> None:
        """End a response, even if the request's body was not read.

        Closing while the client still sends resets the connection and discards the response.
        """
        if not stream.is_complete:
            stream.drop()
            if isinstance(response.body, bytes):
                with trio.move_on_after(UNREAD_BODY_TIMEOUT_S):
                    await stream.wait_ended()
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _handle(
        self, scope: Any, headers: dict[str, str], stream: BodyStream
    ) -> HttpResponse | None:
        path = scope["raw_path"].decode("latin-1")
        method = scope["method"]
        client = _address_text(scope["client"])
        if scope["http_version"] not in {"1.0", "1.1"}:
            return _refusal(client, 505, Reason.INVALID, "only HTTP/1.1 is served")
        found = self._routes.find(method, path)
        if found is None:
            return self._no_route(method, path, client)
        matched, params = found
        request = HttpRequest(
            method=method,
            path=path,
            path_params=params,
            query=_query_of(scope["query_string"]),
            headers=headers,
            client=client,
            stream=stream,
        )
        try:
            return await matched.handler(request)
        except BodyRefusedError as error:
            refused = StepError(
                step="http.read_body",
                peer=client,
                reason=Reason.OVERLOADED,
                detail=str(error),
                retry_after_s=RETURN_S,
            )
            return error_response(refused)
        except RequestCutError:
            return None
        except Exception as error:
            return self._handler_error(matched, client, error)

    def _no_route(self, method: str, path: str, client: str) -> HttpResponse:
        allowed = self._routes.allowed_methods(path)
        if allowed:
            detail = f"{path} has no method {method}; allowed: {', '.join(allowed)}"
            return _refusal(client, 405, Reason.INVALID, detail)
        return _refusal(client, 404, Reason.NOT_FOUND, f"no route {method} {path}")

    def _handler_error(self, matched: Route, client: str, error: Exception) -> HttpResponse:
        detail = f"{matched.method} {matched.template}: {type(error).__name__}"
        step_error = StepError(step="http.handle", peer=client, reason=Reason.CUT, detail=detail)
        self._log_error(step_error, error)
        return error_response(step_error, status=500)

    async def _send_all_but_end(self, scope: Any, response: HttpResponse, send: Send) -> bool:
        body = response.body
        if isinstance(body, bytes):
            await self._send_bytes(response, body, send, more_body=True)
            return True
        if scope["http_version"] == "1.0" and "content-length" not in response.headers:
            # HTTP/1.0 ends such a body by closing the connection, as a truncation would.
            await self._send_bytes(response, await _read_all(body), send, more_body=True)
            return True
        return await self._send_stream(scope, response, body, send)

    async def _send_bytes(
        self, response: HttpResponse, body: bytes, send: Send, *, more_body: bool
    ) -> None:
        headers = self._encode_headers(response)
        headers.append((b"content-length", b"%d" % len(body)))
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": more_body})

    async def _send_stream(
        self, scope: Any, response: HttpResponse, body: AsyncIterator[bytes], send: Send
    ) -> bool:
        headers = self._encode_headers(response)
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        try:
            async with _closing(body):
                async for chunk in body:
                    await send({"type": "http.response.body", "body": chunk, "more_body": True})
        except Exception as error:
            # Without the final ASGI message hypercorn aborts the connection.
            self._log_error(_cut_error(scope, error), error)
            return False
        return True

    def _encode_headers(self, response: HttpResponse) -> list[tuple[bytes, bytes]]:
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers.items()
        ]
        if self.is_draining:
            headers.append((b"connection", b"close"))
        return headers


@asynccontextmanager
async def _closing(body: AsyncIterator[bytes]) -> AsyncIterator[None]:
    try:
        yield
    finally:
        if isinstance(body, AsyncGenerator):
            await body.aclose()


async def _answer_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_all(body: AsyncIterator[bytes]) -> bytes:
    buffer = bytearray()
    async for chunk in body:
        buffer += chunk
        if len(buffer) > _BUFFER_LIMIT_BYTES:
            raise ValueError(f"body over {_BUFFER_LIMIT_BYTES} bytes for an HTTP/1.0 client")
    return bytes(buffer)


def _stream_of(scope: Any, receive: Receive, *, is_complete: bool) -> BodyStream:
    return BodyStream(receive=receive, is_complete=is_complete, source=scope.get(BODY_KEY))


def _headers_of(pairs: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for raw_name, raw_value in pairs:
        name = raw_name.decode("latin-1")
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def _query_of(query: bytes) -> dict[str, str]:
    return dict(parse_qsl(query.decode("latin-1"), keep_blank_values=True)) if query else {}


def _address_text(client: tuple[str, int] | None) -> str:
    return f"{client[0]}:{client[1]}" if client else ""


def _refusal(client: str, status: int, reason: Reason, detail: str) -> HttpResponse:
    error = StepError(step="http.route", peer=client, reason=reason, detail=detail)
    return error_response(error, status=status)


def _cut_error(scope: Any, error: Exception) -> StepError:
    return StepError(
        step="http.send_body",
        peer=_address_text(scope["client"]),
        reason=Reason.CUT,
        detail=f"{scope['method']} {scope['path']}: {type(error).__name__}",
    )


def _log_to_stdlib(step_error: StepError, error: BaseException) -> None:
    _logger.error("%s", step_error, exc_info=error)
