"""Bounded connection pool for one address; the most recently used connection is reused first."""

import ssl
from collections import deque
from dataclasses import dataclass
from typing import Final

import httpcore
import trio

from galenastall.protocol.clock import Clock
from galenastall.state.decoding import parse_whole, shorten
from galenastall.transport.http_stream import SendTrackingStream, connect_stream

MAX_PORT: Final = 65_535
DEFAULT_KEEP_ALIVE_S: Final = 15.0
"""Seconds that an idle connection is kept; well below the keep-alive time of servers."""


@dataclass(kw_only=True, slots=True, eq=False)
class PooledConnection:
    """One connection; `idle_since` is the runtime time at which its last response ended."""

    stream: SendTrackingStream
    http: httpcore.AsyncHTTP11Connection
    idle_since: float = 0.0


class AddressPool:
    """Connections to one `IP:port`."""

    def __init__(
        self,
        *,
        address: str,
        max_connections: int,
        keep_alive_s: float,
        tls_context: ssl.SSLContext | None,
        clock: Clock,
    ) -> None:
        """Create an empty pool; raises ValueError if `address` is not `IP:port`."""
        host, _, port = address.rpartition(":")
        port_number = parse_whole(port, most=MAX_PORT)
        if not host or port_number is None:
            raise ValueError(f"address: expected IP:port, got {shorten(repr(address))}")
        self._host = host.strip("[]")
        self._port = port_number
        scheme = b"http" if tls_context is None else b"https"
        self.scheme = scheme
        self.host = self._host.encode()
        self.port = self._port
        self.host_header = address.encode()
        self._origin = httpcore.Origin(scheme, self.host, self._port)
        self._keep_alive_s = keep_alive_s
        self._tls_context = tls_context
        self._clock = clock
        self._idle: deque[PooledConnection] = deque()
        self._slots = trio.Semaphore(max_connections)
        self._in_use = 0

    @property
    def is_unused(self) -> bool:
        """Whether no connection is in use or idle."""
        return self._in_use == 0 and not self._idle

    async def acquire_slot(self) -> None:
        """Wait until a connection may be used; free the slot with `release_slot`."""
        try:
            self._slots.acquire_nowait()
        except trio.WouldBlock:
            await self._slots.acquire()
        self._in_use += 1

    def release_slot(self) -> None:
        """Free a slot for the next waiter."""
        self._in_use -= 1
        self._slots.release()

    async def get_connection(self) -> PooledConnection:
        """Return a live idle connection or connect a new one; raises as connect_stream does."""
        while self._idle:
            connection = self._idle.pop()
            if not self._is_stale(connection):
                connection.stream.begin_request()
                return connection
            await connection.stream.aclose()
        stream = await connect_stream(
            host=self._host, port=self._port, tls_context=self._tls_context
        )
        http = httpcore.AsyncHTTP11Connection(origin=self._origin, stream=stream)
        return PooledConnection(stream=stream, http=http)

    def keep(self, connection: PooledConnection) -> bool:
        """Keep the connection for the next request; False if it can't be used again."""
        if not connection.http.is_idle():
            return False
        connection.idle_since = self._clock.now()
        self._idle.append(connection)
        return True

    async def close_stale(self) -> None:
        """Close connections that have been idle longer than the keep-alive time."""
        oldest = self._clock.now() - self._keep_alive_s
        while self._idle and self._idle[0].idle_since < oldest:
            await self._idle.popleft().stream.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().stream.aclose()

    def _is_stale(self, connection: PooledConnection) -> bool:
        age = self._clock.now() - connection.idle_since
        return age > self._keep_alive_s or connection.stream.is_readable()
