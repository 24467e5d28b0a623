"""HTTP server: hypercorn on trio in front of a thin ASGI application of our own.

A response is whole or the connection breaks: a streamed body that raises ends without its last
chunk, so that no client takes it for a whole one. Draining first tells clients to close their
connections, and only then stops accepting, so that no request that is in progress is cut off.
"""

import logging
import socket
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any, Final, Protocol
from urllib.parse import parse_qsl

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from galenastall.protocol.clock import Clock
from galenastall.protocol.security import TlsFiles
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_json import error_response
from galenastall.transport.http_messages import (
    BodyStream,
    HttpRequest,
    HttpResponse,
    Receive,
    RequestCutError,
)
from galenastall.transport.http_routes import Route, RouteTable

KEEP_ALIVE_S: Final = 75.0
"""Seconds that an idle connection is kept; longer than clients of ours keep theirs."""
DRAIN_LINGER_S: Final = 0.5
"""Seconds in which a draining server still takes requests, telling each client to close."""
STALLED_WRITE_S: Final = 30.0
"""Seconds after which a client that takes no bytes is cut off."""
UNREAD_BODY_S: Final = 5.0
"""Seconds for which the rest of an upload is read and dropped after an early answer."""
_BACKLOG: Final = 512
_MAX_REQUESTS_PER_CONNECTION: Final = 1_000_000
_WHOLE_LIMIT_BYTES: Final = 16 * 1024 * 1024

ErrorLog = Callable[[StepError, BaseException], None]
"""Takes a typed error and the exception behind it."""

_logger = logging.getLogger("galenastall.http")


class _Send(Protocol):
    async def __call__(self, message: dict[str, Any]) -> None: ...


class _BoundConfig(Config):
    """Hypercorn's settings over a listening socket that is bound already."""

    def __init__(self, *, tls: TlsFiles | None, keep_alive_s: float) -> None:
        super().__init__()
        self.accesslog = None
        self.errorlog = _logger
        self.alpn_protocols = ["http/1.1"]
        self.backlog = _BACKLOG
        self.include_server_header = False
        self.keep_alive_timeout = keep_alive_s
        self.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION
        if tls is not None:
            self.certfile = tls.cert_file
            self.keyfile = tls.key_file


class HttpServer:
    """Serves the routes of its handlers until drained or cancelled."""

    def __init__(
        self,
        *,
        handlers: Iterable[object],
        clock: Clock,
        bind: str = "127.0.0.1:0",
        tls: TlsFiles | None = None,
        keep_alive_s: float = KEEP_ALIVE_S,
        linger_s: float = DRAIN_LINGER_S,
        log_error: ErrorLog | None = None,
    ) -> None:
        """Collect the handlers' routes; the socket is bound by `run`."""
        self._routes = RouteTable(handlers=handlers)
        self._clock = clock
        self._bind = bind
        self._linger_s = linger_s
        self._config = _BoundConfig(tls=tls, keep_alive_s=keep_alive_s)
        self._log_error = log_error or _log_to_stdlib
        self._address = ""
        self._open_requests = 0
        self._is_draining = False
        self._stop = trio.Event()
        self._stopped = trio.Event()

    @property
    def address(self) -> str:
        """`IP:port` really bound; empty before `run` has started."""
        return self._address

    @property
    def open_requests(self) -> int:
        """Requests that wait for their answer's last byte."""
        return self._open_requests

    @property
    def is_draining(self) -> bool:
        """Whether `drain` was called."""
        return self._is_draining

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Bind and serve; reports started once connections are accepted."""
        listener = _bind_socket(self._bind)
        host, port = listener.getsockname()[:2]
        self._address = f"{host}:{port}"
        self._config.bind = f"fd://{listener.detach()}"
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._serve)
                task_status.started()
        finally:
            self._stopped.set()

    async def _serve(self, *, task_status: trio.TaskStatus[list[str]]) -> None:
        app: Any = self._app
        await serve(
            app,
            self._config,
            shutdown_trigger=self._stop.wait,
            task_status=task_status,
            mode="asgi",
        )

    async def drain(self, timeout_s: float) -> int:
        """Finish what is in progress, then stop; return how many requests were cut off.

        Clients are told to close their connections for the linger time first. Nothing is cut off
        before `timeout_s` seconds have passed.
        """
        deadline = self._clock.now() + timeout_s
        self._is_draining = True
        await trio.sleep(min(self._linger_s, timeout_s))
        left_s = max(0.0, deadline - self._clock.now())
        self._config.graceful_timeout = left_s
        self._stop.set()
        with trio.move_on_after(left_s):
            await self._stopped.wait()
        return self._open_requests

    async def _app(self, scope: Any, receive: Receive, send: _Send) -> None:
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            raise ValueError(f"unsupported ASGI scope {scope['type']!r}")
        self._open_requests += 1
        try:
            await self._answer(scope, receive, send)
        finally:
            self._open_requests -= 1

    async def _answer(self, scope: Any, receive: Receive, send: _Send) -> None:
        headers = _headers_of(scope["headers"])
        has_body = "content-length" in headers or "transfer-encoding" in headers
        stream = BodyStream(receive=receive, is_complete=not has_body)
        response = await self._handle(scope, headers, stream)
        if response is None:
            return
        if stream.is_complete:
            await self._send_response(scope, response, send)
            return
        await self._answer_early(scope, response, stream, send)

    async def _answer_early(
        self, scope: Any, response: HttpResponse, stream: BodyStream, send: _Send
    ) -> None:
        """Answer before the request body is read: an upload must neither block nor lose it.

        Unread chunks fill hypercorn's bounded queue, on which its end of stream would then wait;
        and closing on a client that still sends resets the connection, answer and all.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.discard)
            if isinstance(response.body, bytes):
                await self._send_bytes(response, response.body, send, more_body=True)
                with trio.move_on_after(UNREAD_BODY_S):
                    await stream.ended.wait()
                await send({"type": "http.response.body", "body": b"", "more_body": False})
            else:
                await self._send_response(scope, response, send)
            nursery.cancel_scope.cancel()

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
        except RequestCutError:
            return None
        except Exception as error:
            return self._defect(matched, client, error)

    def _no_route(self, method: str, path: str, client: str) -> HttpResponse:
        allowed = self._routes.allowed_methods(path)
        if allowed:
            detail = f"{path} has no method {method}; allowed: {', '.join(allowed)}"
            return _refusal(client, 405, Reason.INVALID, detail)
        return _refusal(client, 404, Reason.NOT_FOUND, f"no route {method} {path}")

    def _defect(self, matched: Route, client: str, error: Exception) -> HttpResponse:
        detail = f"{matched.method} {matched.template}: {type(error).__name__}"
        step_error = StepError(step="http.handle", peer=client, reason=Reason.CUT, detail=detail)
        self._log_error(step_error, error)
        return error_response(step_error, status=500)

    async def _send_response(self, scope: Any, response: HttpResponse, send: _Send) -> None:
        body = response.body
        if not isinstance(body, bytes):
            if scope["http_version"] == "1.0" and "content-length" not in response.headers:
                # HTTP/1.0 ends such a body by closing, which a cut looks just like.
                body = await _read_whole(body)
            else:
                await self._send_stream(scope, response, body, send)
                return
        await self._send_bytes(response, body, send, more_body=False)

    async def _send_bytes(
        self, response: HttpResponse, body: bytes, send: _Send, *, more_body: bool
    ) -> None:
        headers = self._encode_headers(response)
        headers.append((b"content-length", b"%d" % len(body)))
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": body, "more_body": more_body})

    async def _send_stream(
        self, scope: Any, response: HttpResponse, body: AsyncIterator[bytes], send: _Send
    ) -> None:
        headers = self._encode_headers(response)
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        try:
            async with _closing(body):
                async for chunk in body:
                    await send({"type": "http.response.body", "body": chunk, "more_body": True})
        except Exception as error:
            # Returning without the last message makes hypercorn abort the connection.
            self._log_error(_cut_error(scope, error), error)
            return
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    def _encode_headers(self, response: HttpResponse) -> list[tuple[bytes, bytes]]:
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers.items()
        ]
        if self._is_draining:
            headers.append((b"connection", b"close"))
        return headers


def _bind_socket(bind: str) -> socket.socket:
    host, _, port = bind.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        # Hypercorn shields its writes from cancellation, so the kernel has to end stalled ones.
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(STALLED_WRITE_S * 1000)
        )
    try:
        listener.bind((host, int(port)))
    except (OSError, ValueError) as error:
        listener.close()
        raise OSError(f"bind: can't listen on {bind!r}: {error}") from error
    return listener


@asynccontextmanager
async def _closing(body: AsyncIterator[bytes]) -> AsyncIterator[None]:
    try:
        yield
    finally:
        if isinstance(body, AsyncGenerator):
            await body.aclose()


async def _answer_lifespan(receive: Receive, send: _Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_whole(body: AsyncIterator[bytes]) -> bytes:
    whole = bytearray()
    async for chunk in body:
        whole += chunk
        if len(whole) > _WHOLE_LIMIT_BYTES:
            raise ValueError(f"body over {_WHOLE_LIMIT_BYTES} bytes for an HTTP/1.0 client")
    return bytes(whole)


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
