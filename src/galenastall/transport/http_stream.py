"""Byte stream of an HTTP client connection: joins small writes and tracks what was sent."""

import ssl
from contextlib import suppress
from typing import Any

import httpcore
import trio


class SendTrackingStream(httpcore.AsyncNetworkStream):
    """A trio stream for httpcore that tracks whether any byte of a request was sent.

    The head of a request is buffered until its first body chunk or until the response is read, so
    that a small request is sent in one packet.
    """

    def __init__(self, *, stream: trio.SocketStream | trio.SSLStream[trio.SocketStream]) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._buffered = b""
        self._is_buffering = True
        self.has_sent = False
        """Whether any byte of the current request was passed to the kernel."""

    def begin_request(self) -> None:
        """Reset the state for the next request, of which nothing was sent yet."""
        self._is_buffering = True
        self._buffered = b""
        self.has_sent = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, b"" at the end; the caller bounds the time."""
        if self._buffered:
            # The server may have responded early and closed: its response can still be read.
            with suppress(httpcore.WriteError):
                await self._flush(b"")
        try:
            return bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send, or buffer the head of a request; the caller bounds the time."""
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
        """Close at once, without a closing handshake that a stalled peer could block."""
        await trio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Return None: httpcore requests only information that its own pool needs."""
        return None

    def is_readable(self) -> bool:
        """Return whether data or end of stream is pending; an idle connection is then unusable."""
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
