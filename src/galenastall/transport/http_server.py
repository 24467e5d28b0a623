"""HTTP server: hypercorn on trio in front of the ASGI application.

Draining first asks clients to close their connections and only then stops accepting, so that no
request in progress is aborted.
"""

import logging
import socket
import ssl
from collections.abc import Iterable
from typing import Any, Final

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config

from galenastall.protocol.clock import Clock
from galenastall.protocol.security import TlsFiles
from galenastall.transport.connection_budget import ConnectionBudget
from galenastall.transport.http_app import ErrorLog, Guard, HttpApp
from galenastall.transport.http_connection import ConnectionServer

KEEP_ALIVE_S: Final = 75.0
"""Seconds that an idle connection is kept; longer than this project's clients keep theirs."""
DRAIN_LINGER_S: Final = 0.5
"""Seconds for which a draining server still accepts requests, asking each client to close."""
STALLED_WRITE_S: Final = 30.0
"""Seconds after which a client that reads no bytes is disconnected."""
RECEIVE_BUFFER_BYTES: Final = 16 * 1024
_BACKLOG: Final = 512
_MAX_REQUESTS_PER_CONNECTION: Final = 1_000_000

_logger = logging.getLogger("galenastall.http")


def _make_config(*, tls: TlsFiles | None, verify_clients: bool, keep_alive_s: float) -> Config:
    config = Config()
    config.accesslog = None
    config.errorlog = _logger
    config.alpn_protocols = ["http/1.1"]
    config.include_server_header = False
    config.keep_alive_timeout = keep_alive_s
    config.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION
    if tls is None:
        return config
    tls.check()
    config.certfile = tls.cert_file
    config.keyfile = tls.key_file
    if verify_clients:
        if tls.ca_file is None:
            raise ValueError("tls.ca_file: needed to verify clients")
        config.ca_certs = tls.ca_file
        config.verify_mode = ssl.CERT_REQUIRED
    return config


class HttpServer:
    """Serves the routes of its handlers until drained or cancelled."""

    def __init__(
        self,
        *,
        handlers: Iterable[object],
        clock: Clock,
        bind: str = "127.0.0.1:0",
        tls: TlsFiles | None = None,
        verify_clients: bool = False,
        keep_alive_s: float = KEEP_ALIVE_S,
        linger_s: float = DRAIN_LINGER_S,
        log_error: ErrorLog | None = None,
        guard: Guard | None = None,
        budget: ConnectionBudget | None = None,
        send_buffer_bytes: int | None = None,
    ) -> None:
        """Collect the handlers' routes; the socket is bound by `run`.

        `guard` may reject a request before it is processed. `verify_clients` requires every client
        to present a certificate signed by `tls.ca_file`. Servers of one process share a `budget`,
        which their process runs; without one, the server has its own. `send_buffer_bytes` bounds
        what the kernel keeps of one connection's responses; without it, the kernel decides, so that
        a client may send a long streamed body before it reads the response.
        """
        self._app = HttpApp(handlers=handlers, log_error=log_error, guard=guard)
        self._clock = clock
        self._bind = bind
        self._send_buffer_bytes = send_buffer_bytes
        self._linger_s = linger_s
        app: Any = self._app
        self._own_budget = ConnectionBudget() if budget is None else None
        self._connections = ConnectionServer(
            budget=budget or self._own_budget or ConnectionBudget(),
            app=ASGIWrapper(app),
            config=_make_config(tls=tls, verify_clients=verify_clients, keep_alive_s=keep_alive_s),
        )
        self._address = ""
        self._stopped = trio.Event()

    @property
    def address(self) -> str:
        """Actual `IP:port` bound; empty before `run` has started."""
        return self._address

    @property
    def open_requests(self) -> int:
        """Requests whose response has not been sent completely."""
        return self._app.open_requests

    @property
    def open_connections(self) -> int:
        """Number of open connections, including idle ones."""
        return self._connections.open_connections

    @property
    def is_draining(self) -> bool:
        """Whether `drain` was called."""
        return self._app.is_draining

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Bind and serve; reports started once connections are accepted."""
        listener = _bind_socket(self._bind, self._send_buffer_bytes)
        host, port = listener.getsockname()[:2]
        self._address = f"{host}:{port}"
        try:
            async with trio.open_nursery() as nursery:
                if self._own_budget is not None:
                    nursery.start_soon(self._own_budget.run)
                await self._connections.run(
                    trio.SocketListener(trio.socket.from_stdlib_socket(listener)),
                    task_status=task_status,
                )
                nursery.cancel_scope.cancel()
        finally:
            self._stopped.set()

    async def drain(self, timeout_s: float) -> int:
        """Finish requests in progress, then stop; return how many requests were aborted.

        During the linger time, responses first ask clients to close their connections. No request
        is aborted before `timeout_s` seconds have passed.
        """
        deadline = self._clock.now() + timeout_s
        self._app.is_draining = True
        await trio.sleep(min(self._linger_s, timeout_s))
        left_s = max(0.0, deadline - self._clock.now())
        self._connections.stop(left_s)
        with trio.move_on_after(left_s):
            await self._stopped.wait()
        return self._app.open_requests


def _bind_socket(bind: str, send_buffer_bytes: int | None) -> socket.socket:
    host, _, port = bind.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Inherited by accepted connections; the kernel would let them grow to megabytes each.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    if send_buffer_bytes is not None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        # Hypercorn shields its writes from cancellation, so the kernel has to abort stalled ones.
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(STALLED_WRITE_S * 1000)
        )
    try:
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
    except (OSError, ValueError) as error:
        listener.close()
        raise OSError(f"bind: can't listen on {bind!r}: {error}") from error
    return listener
