"""Hypercorn connections with a cheaper idle timer, and the accept loop.

Hypercorn starts a task for its idle timer after each response, which is a quarter of the cost of a
request, and keeps a connection that an idle client has closed until that timer expires. Here one
task monitors a connection for its lifetime. While draining, an idle connection on which a request
has already arrived is served rather than closed.
"""

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Event, RawData
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState

_logger = logging.getLogger("galenastall.http")

_HEAD_START: Final = b"HTTP/1.1 "
_LENGTH: Final = b"\r\ncontent-length: "
_RECHECK_S: Final = 0.01
"""Seconds between two checks of a connection whose next request is arriving during a drain."""
_RECHECKS: Final = 10


class _IdleTimer:
    """Replaces hypercorn's restartable timer, with the same two methods."""

    def __init__(self, *, keep_alive_s: float, connection: "HttpConnection") -> None:
        self._keep_alive_s = keep_alive_s
        self._connection = connection
        self._idle_since: float | None = None
        self._is_started = False
        self._scope = trio.CancelScope()

    async def restart(self, task_group: Any, action: Callable[[], Awaitable[None]]) -> None:
        """Mark the connection as idle from now on."""
        self._idle_since = trio.current_time()
        if not self._is_started:
            self._is_started = True
            task_group.spawn(self._run)

    async def stop(self) -> None:
        """Mark the connection as busy."""
        self._idle_since = None

    def end(self) -> None:
        """Stop the timer: the connection has closed."""
        self._scope.cancel()

    async def _run(self) -> None:
        with self._scope:
            if await self._wait_until_closable():
                with trio.CancelScope(shield=True):
                    await self._connection.close_idle()

    async def _wait_until_closable(self) -> bool:
        while True:
            since = self._idle_since if self._idle_since is not None else trio.current_time()
            with trio.move_on_at(since + self._keep_alive_s):
                await self._connection.context.terminated.wait()
                return await self._wait_until_idle()
            idle_since = self._idle_since
            if idle_since is not None and trio.current_time() >= idle_since + self._keep_alive_s:
                return True

    async def _wait_until_idle(self) -> bool:
        """Return whether to close a draining connection; a busy one closes after its response."""
        for _ in range(_RECHECKS):
            if self._idle_since is None or not self._connection.has_input():
                break
            await trio.sleep(_RECHECK_S)
        return self._idle_since is not None


class _Http1Protocol(H11Protocol):
    """Serves HTTP/1.1 alone; a client's offer to change to another protocol is ignored.

    Hypercorn left odd offers without a response.
    """

    async def _check_protocol(self, event: h11.Request) -> None:
        """Never change to HTTP/2."""

    async def _create_stream(self, request: h11.Request) -> None:
        headers = [(name, value) for name, value in request.headers if name != b"upgrade"]
        if len(headers) < len(request.headers):
            request = h11.Request(
                method=request.method,
                target=request.target,
                headers=headers,
                http_version=request.http_version,
            )
        await super()._create_stream(request)


class HttpConnection(TCPServer):
    """One accepted connection."""

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        state: ConnectionState,
        stream: Any,
    ) -> None:
        """Take ownership of an accepted stream."""
        super().__init__(app, config, context, state, stream)
        self._head: RawData | None = None
        self._idle_timer = _IdleTimer(keep_alive_s=config.keep_alive_timeout, connection=self)
        idle_timer: Any = self._idle_timer
        self.idle_task = idle_timer

    async def protocol_send(self, event: Event) -> None:
        """Send the protocol's output, skipping empty writes.

        The head of a response with a content length is held until its first body bytes or its end,
        so that a small response is one write: each write costs an iteration of the event loop. It
        must not be held longer, since the next request begins with the end.
        """
        if isinstance(event, RawData):
            if self._head is not None:
                event = RawData(self._head.data + event.data)
                self._head = None
            elif not event.data:
                return
            elif event.data.startswith(_HEAD_START) and _LENGTH in event.data:
                self._head = event
                return
        elif self._head is not None:
            head, self._head = self._head, None
            await super().protocol_send(head)
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        made = self.protocol
        made.protocol = _Http1Protocol(
            made.app,
            made.config,
            made.context,
            made.task_group,
            made.state,
            made.ssl,
            made.client,
            made.server,
            made.send,
        )
        try:
            await super()._read_data()
        finally:
            self._idle_timer.end()

    async def close_idle(self) -> None:
        """Close a connection that is idle."""
        await self._initiate_server_close()

    def has_input(self) -> bool:
        """Return whether unread bytes from the client are available."""
        stream: Any = self.stream
        plain = stream.transport_stream if isinstance(stream, trio.SSLStream) else stream
        try:
            return bool(plain.socket.is_readable())
        except OSError:
            return False


class ConnectionServer:
    """Accepts connections until stopped."""

    def __init__(self, *, app: AppWrapper, config: Config) -> None:
        """Serve `app` with hypercorn's settings."""
        self._app = app
        self._config = config
        self._context = WorkerContext(None)
        self._stop = trio.Event()
        self._grace_s = 0.0
        self.open_connections = 0
        """Number of open connections."""

    def stop(self, grace_s: float) -> None:
        """Stop accepting; requests in progress have `grace_s` seconds to finish."""
        self._grace_s = grace_s
        self._stop.set()

    async def run(
        self, listener: trio.SocketListener, *, task_status: trio.TaskStatus[None]
    ) -> None:
        """Serve until stopped and the last connection has closed."""
        accepted: Any = listener
        tls_context = self._config.create_ssl_context()
        if tls_context is not None:
            accepted = trio.SSLListener(listener, tls_context, https_compatible=True)
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners, self._serve, [accepted], handler_nursery=connections
                    )
                )
                task_status.started()
                await self._stop.wait()
                accepting.cancel_scope.cancel()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = trio.current_time() + self._grace_s

    async def _serve(self, stream: Any) -> None:
        self.open_connections += 1
        try:
            connection = HttpConnection(
                self._app, self._config, self._context, ConnectionState({}), stream
            )
            await connection.run()
        except Exception:
            # An unexpected error on one connection must not end the others.
            _logger.exception("connection failed")
        finally:
            self.open_connections -= 1
