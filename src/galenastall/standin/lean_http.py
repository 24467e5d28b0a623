"""HTTP/1.1 server with minimal work per request.

The stand-ins run on the same machine as the system under test. Hypercorn uses two tasks and a
queue for each request, several times the work of the stand-in itself; see docs/design/standin.md.
"""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import h11
import trio

READ_BYTES: Final = 65_536
BACKLOG: Final = 512
_CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, kw_only=True, slots=True)
class LeanRequest:
    """A request with its complete body."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    """Names in lower case; the last value of a repeated header."""
    body: bytes
    client: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LeanResponse:
    """Bytes to send; a body shorter than its content length simulates a truncated response."""

    data: bytes
    keeps_connection: bool = True


RequestHandler = Callable[[LeanRequest], Awaitable[LeanResponse | None]]
"""Handles a request; None closes the connection without a response."""


class LeanServer:
    """Serves one port; each connection handles one request at a time."""

    def __init__(
        self, *, answer: RequestHandler, bind_host: str = "127.0.0.1", port: int = 0
    ) -> None:
        """Bind now, so that the address is known; port 0 lets the system choose."""
        self._answer = answer
        self._bind_host = bind_host
        self._listener: socket.socket | None = _listen(bind_host, port)
        self._port: int = self._listener.getsockname()[1]
        self.open_connections = 0
        self.peak_connections = 0
        self.broken_connections = 0
        """Connections ended by a client's reset or protocol error."""

    @property
    def address(self) -> str:
        """`IP:port`, the same after each reopening."""
        return f"{self._bind_host}:{self._port}"

    async def run(self) -> None:
        """Serve until cancelled; then close the port and all connections."""
        if self._listener is None:
            self._listener = _listen(self._bind_host, self._port)
        listener, self._listener = self._listener, None
        wrapped = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
        await trio.serve_listeners(self._serve, [wrapped])

    def close(self) -> None:
        """Close the port if it is bound but not being served."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        try:
            await _Connection(stream=stream, answer=self._answer).serve()
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            self.broken_connections += 1
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)


class _Connection:
    """A connection of one client."""

    def __init__(self, *, stream: trio.SocketStream, answer: RequestHandler) -> None:
        self._stream = stream
        self._answer = answer
        self._http = h11.Connection(h11.SERVER)
        host, port = stream.socket.getpeername()[:2]
        self._client = f"{host}:{port}"

    async def serve(self) -> None:
        while True:
            head = await self._next_event()
            if not isinstance(head, h11.Request):
                return
            request = LeanRequest(
                method=head.method,
                target=head.target,
                headers=dict(head.headers),
                body=await self._read_body(),
                client=self._client,
            )
            answer = await self._answer(request)
            if answer is None:
                return
            await self._stream.send_all(answer.data)
            if not answer.keeps_connection or self._http.their_state is not h11.DONE:
                return
            self._next_request()

    def _next_request(self) -> None:
        """Start a new parser: h11's own request cycle requires that h11 writes the response."""
        pipelined, has_ended = self._http.trailing_data
        self._http = h11.Connection(h11.SERVER)
        if pipelined:
            self._http.receive_data(pipelined)
        if has_ended:
            self._http.receive_data(b"")

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        while isinstance(event := await self._next_event(), h11.Data):
            parts.append(bytes(event.data))
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                await self._stream.send_all(_CONTINUE)
            self._http.receive_data(await self._stream.receive_some(READ_BYTES))


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener
