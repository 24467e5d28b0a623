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
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.events import Body, EndBody
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.trio.task_group import TaskGroup, _handle
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState

from galenastall.transport.connection_budget import (
    ConnectionAccount,
    ConnectionBudget,
    Limit,
    Phase,
)
from galenastall.transport.request_body import BODY_KEY, RequestBody

_logger = logging.getLogger("galenastall.http")

_HEAD_START: Final = b"HTTP/1.1 "
_LENGTH: Final = b"\r\ncontent-length: "
_RECHECK_S: Final = 0.01
"""Seconds between two checks of a connection whose next request is arriving during a drain."""
_RECHECKS: Final = 10
READ_BYTES: Final = 16 * 1024
"""Bytes read at a time; what is sent ahead of a response waits here and in the kernel."""
CHUNKS_PER_TURN: Final = 128
"""Chunks of a body that are parsed in one go, which takes one or two milliseconds."""
STALLED_S: Final = 1.0
"""Seconds without progress after which a stopping server refuses an incomplete body."""
STALLED_SHARE: Final = 1 / 10
"""The same as a share of its grace time, if that is longer."""
UNREAD_SHARE: Final = 4 / 5
"""Share of the grace time that clients have to read; the rest is for closing many connections."""
STOP_CHECK_S: Final = 0.1


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


class _AppTasks:
    """Starts the application for each request, with a RequestBody in place of a channel."""

    def __init__(self, *, task_group: TaskGroup, account: ConnectionAccount) -> None:
        self._task_group = task_group
        self._account = account
        self.body: RequestBody | None = None

    async def spawn_app(
        self, app: Any, config: Config, scope: Any, send: Any
    ) -> Callable[[Any], Awaitable[None]]:
        """Start the application; return what its messages are put into."""
        body = RequestBody(account=self._account)
        receive: Any = body.receive
        self.body = body
        scope[BODY_KEY] = body

        async def run() -> None:
            try:
                await _handle(
                    app,
                    config,
                    scope,
                    receive,
                    send,
                    trio.to_thread.run_sync,
                    trio.from_thread.run,
                )
            finally:
                if self.body is body:
                    body.drop()

        self._task_group.spawn(run)
        return body.put


class _Http1Protocol(H11Protocol):
    """Serves HTTP/1.1 alone; a client's offer to change to another protocol is ignored.

    Hypercorn left odd offers without a response. Chunks that arrive together are passed on
    together, and connections with very many of them take turns.
    """

    def __init__(self, *, made: Any, account: ConnectionAccount) -> None:
        """Take over the parts of hypercorn's protocol `made`."""
        tasks: Any = _AppTasks(task_group=made.task_group, account=account)
        super().__init__(
            made.app,
            made.config,
            made.context,
            tasks,
            made.state,
            made.ssl,
            made.client,
            made.server,
            made.send,
        )
        self._account = account
        self._tasks: _AppTasks = tasks
        head_bytes = account.budget.limits.head_bytes
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)
        self._next: Any = None
        self._is_costly = False
        self._is_closed = False

    async def handle(self, event: Event) -> None:
        """Handle received data or the end of the connection."""
        if isinstance(event, Closed):
            self._is_closed = True
            await super().handle(event)
            # Without this, a reader that waits for a response to end would wait for ever.
            await self.can_read.set()
            return
        await super().handle(event)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Never change to HTTP/2."""

    async def _create_stream(self, request: h11.Request) -> None:
        self._account.enter(Phase.SERVING)
        headers = [(name, value) for name, value in request.headers if name != b"upgrade"]
        if len(headers) < len(request.headers):
            request = h11.Request(
                method=request.method,
                target=request.target,
                headers=headers,
                http_version=request.http_version,
            )
        await super()._create_stream(request)

    async def _handle_events(self) -> None:
        """Pass on what has arrived; returns when more data is needed."""
        while not self._is_closed:
            if self._is_costly:
                await self._account.budget.take_turn()
            if self.connection.they_are_waiting_for_100_continue:
                await self._send_h11_event(
                    h11.InformationalResponse(
                        status_code=100, headers=self.config.response_headers("h11")
                    )
                )
            try:
                event = self._next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse_malformed(error)
                return
            if event is h11.PAUSED:
                await self._wait_for_response()
            elif event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                self._note_incomplete()
                return
            else:
                await self._pass_on(event)

    async def _pass_on(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            await self.send(Updated(idle=False))
            await self._create_stream(event)
        elif self.stream is None:
            return
        elif isinstance(event, h11.Data):
            await self.stream.handle(Body(stream_id=STREAM_ID, data=event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._account.phase is Phase.BODY:
                self._account.enter(Phase.SERVING)
            await self.stream.handle(EndBody(stream_id=STREAM_ID))

    async def _wait_for_response(self) -> None:
        """Wait with the next request until this one is answered."""
        self._account.set_buffered(len(self.connection.trailing_data[0]))
        await self.can_read.clear()
        if not self._is_closed:
            await self.can_read.wait()

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if self.connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(error.error_status_hint)
        await self.send(Closed())

    def _next_event(self) -> Any:
        """Return the next event; data of chunks that have arrived together is one event."""
        event, self._next = self._next or self.connection.next_event(), None
        if not isinstance(event, h11.Data):
            self._is_costly = False
            return event
        parts = [event.data]
        for _ in range(CHUNKS_PER_TURN):
            try:
                self._next = self.connection.next_event()
            except h11.RemoteProtocolError:
                # The next call raises it again.
                break
            if not isinstance(self._next, h11.Data):
                break
            parts.append(self._next.data)
            self._next = None
        self._is_costly = len(parts) > CHUNKS_PER_TURN
        return event if len(parts) == 1 else h11.Data(data=b"".join(parts))

    def _note_incomplete(self) -> None:
        """Note what of a request has arrived, now that all received data is parsed."""
        account, state = self._account, self.connection.their_state
        if state is h11.SEND_BODY:
            account.set_buffered(0)
            if account.phase is Phase.SERVING:
                account.enter(Phase.BODY)
        elif state is h11.IDLE:
            size = len(self.connection.trailing_data[0])
            if size and account.phase is Phase.IDLE:
                account.enter(Phase.HEAD)
            account.set_buffered(size)

    async def _maybe_recycle(self) -> None:
        await super()._maybe_recycle()
        if not self._is_closed and self.connection.their_state is h11.IDLE:
            self._account.enter(Phase.IDLE)

    def end_unfinished(self) -> None:
        """Wait no longer for the rest of an answered request."""
        if self._tasks.body is not None:
            self._tasks.body.end()


class HttpConnection(TCPServer):
    """One accepted connection."""

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        state: ConnectionState,
        stream: Any,
        *,
        account: ConnectionAccount,
    ) -> None:
        """Take ownership of an accepted stream, and of its account."""
        super().__init__(app, config, context, state, stream)
        self.account = account
        self._head: RawData | None = None
        keep_alive_s = max(config.keep_alive_timeout, account.budget.limits.idle_s)
        self._idle_timer = _IdleTimer(keep_alive_s=keep_alive_s, connection=self)
        idle_timer: Any = self._idle_timer
        self.idle_task = idle_timer
        self._http: _Http1Protocol | None = None

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
            await self._send_data(event)
            return
        if self._head is not None:
            head, self._head = self._head, None
            await self._send_data(head)
        await super().protocol_send(event)

    async def _send_data(self, event: RawData) -> None:
        with self.account.sending(len(event.data)):
            await super().protocol_send(event)

    async def _read_data(self) -> None:
        self._http = _Http1Protocol(made=self.protocol, account=self.account)
        self.protocol.protocol = self._http
        try:
            await self._read_until_closed()
            await self.protocol.handle(Closed())
        finally:
            self._idle_timer.end()

    async def _read_until_closed(self) -> None:
        while True:
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                return
            await self.protocol.handle(RawData(bytes(data)))
            if not data:
                return

    async def close_idle(self) -> None:
        """Close a connection that is idle."""
        await self._initiate_server_close()

    def end_unfinished(self, *, stalled_s: float) -> None:
        """Refuse a body that makes no progress, and do not wait for the rest of an answered one."""
        account = self.account
        is_stalled = trio.current_time() >= account.progressed_at + stalled_s
        if account.phase is Phase.BODY and account.unread_since is None and is_stalled:
            account.end(Limit.STOPPING)
        if account.phase is Phase.DROPPING and self._http is not None:
            self._http.end_unfinished()

    def end_unread(self) -> None:
        """Close the connection if its client does not read the response."""
        if self.account.unread_since is not None:
            self.account.end(Limit.UNREAD_RESPONSE)

    def has_input(self) -> bool:
        """Return whether unread bytes from the client are available."""
        try:
            return bool(_plain(self.stream).socket.is_readable())
        except OSError:
            return False


class ConnectionServer:
    """Accepts connections until stopped."""

    def __init__(self, *, app: AppWrapper, config: Config, budget: ConnectionBudget) -> None:
        """Serve `app` with hypercorn's settings, within `budget`."""
        self._app = app
        self._config = config
        self._budget = budget
        self._context = WorkerContext(None)
        self._stop = trio.Event()
        self._grace_s = 0.0
        self._stopping = trio.CancelScope()
        """Cancelled once a stopping server has no connection left."""
        self._connections: set[HttpConnection] = set()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

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
                await self._wait_for_stop()
                accepting.cancel_scope.cancel()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = trio.current_time() + self._grace_s
            connections.start_soon(self._end_unfinished)

    async def _wait_for_stop(self) -> None:
        try:
            await self._stop.wait()
        finally:
            if not self._stop.is_set():
                self._close_all()

    async def _end_unfinished(self) -> None:
        """End what would hold up a stop, until all connections are closed."""
        stalled_s = max(STALLED_S, self._grace_s * STALLED_SHARE)
        unread_until = trio.current_time() + self._grace_s * UNREAD_SHARE
        try:
            with self._stopping:
                while self._connections:
                    for connection in list(self._connections):
                        connection.end_unfinished(stalled_s=stalled_s)
                        if trio.current_time() >= unread_until:
                            connection.end_unread()
                    await trio.sleep(STOP_CHECK_S)
        finally:
            self._close_all()

    def _close_all(self) -> None:
        """Close all sockets: writes are shielded from cancellation, and end only by that."""
        for connection in list(self._connections):
            connection.account.close()

    async def _serve(self, stream: Any) -> None:
        plain = _plain(stream)
        account = self._budget.open(plain.socket.close)
        if account is None:
            plain.socket.close()
            return
        connection = HttpConnection(
            self._app,
            self._config,
            self._context,
            ConnectionState({}),
            stream,
            account=account,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception:
            # An unexpected error on one connection must not end the others.
            _logger.exception("connection failed")
        finally:
            self._connections.discard(connection)
            account.close()
            if self._stop.is_set() and not self._connections:
                self._stopping.cancel()


def _plain(stream: Any) -> trio.SocketStream:
    plain: trio.SocketStream = (
        stream.transport_stream if isinstance(stream, trio.SSLStream) else stream
    )
    return plain
