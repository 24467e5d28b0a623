"""The byte stream under an HTTP client connection: joins small writes and knows what was sent."""

import ssl
from contextlib import suppress
from typing import Any

import httpcore
import trio


class SendTrackingStream(httpcore.AsyncNetworkStream):
    """A trio stream for httpcore that tells whether any byte of a request was handed over.

    The head of a request is held back until its first chunk or the read of the answer, so that a
    small request leaves in one packet.
    """

    def __init__(self, *, stream: trio.SocketStream | trio.SSLStream[trio.SocketStream]) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._buffered = b""
        self._is_buffering = True
        self.has_sent = False
        """Whether any byte of the request in hand was given to the kernel."""

    def begin_request(self) -> None:
        """Forget the request before: nothing of the next one was sent."""
        self._is_buffering = True
        self._buffered = b""
        self.has_sent = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, b"" at the end; the caller bounds the time."""
        if self._buffered:
            # The server may have answered early and closed: its answer is still worth reading.
            with suppress(httpcore.WriteError):
                await self._flush(b"")
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send, or hold the head of a request; the caller bounds the time."""
        if not buffer:
            return
        if self._is_buffering:
            self._is_buffering = False
            self._buffered = buffer
            return
        await self._flush(buffer)

    async def _flush(self, buffer: bytes) -> None:
        data, self._buffered = self._buffered + buffer, b""
        self.has_sent = True
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close at once, without a farewell that a stalled peer could block."""
        await trio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Return nothing: httpcore asks only for what its own pool needs."""
        return None

    def is_readable(self) -> bool:
        """Whether bytes or the end of the stream wait: an idle connection was then closed."""
        stream = self._stream
        sock = stream.socket if isinstance(stream, trio.SocketStream) else _socket_of(stream)
        return bool(sock.is_readable())


def _socket_of(stream: "trio.SSLStream[trio.SocketStream]") -> Any:
    return stream.transport_stream.socket


async def connect_stream(
    *, host: str, port: int, tls_context: ssl.SSLContext | None
) -> SendTrackingStream:
    """Return a connected stream; raises OSError or trio.BrokenResourceError (TLS)."""
    family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
    sock = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    plain = trio.SocketStream(sock)
    if tls_context is None:
        return SendTrackingStream(stream=plain)
    secure = trio.SSLStream(plain, tls_context, server_hostname=host, https_compatible=True)
    try:
        await secure.do_handshake()
    except BaseException:
        await trio.aclose_forcefully(secure)
        raise
    return SendTrackingStream(stream=secure)
