"""A minimal HTTP/1.1 server and client on asyncio, for loopback addresses."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

OK = 200
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict"}


@dataclass
class Request:
    """A request whose body has been read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, bytes] | None
"""Status and body; None closes the connection without an answer."""
Handler = Callable[[Request], Awaitable[Answer]]


def as_json(status: int, value: Any) -> tuple[int, bytes]:
    """Return an answer with a JSON body."""
    return status, json.dumps(value, separators=(",", ":")).encode()


class Server:
    """Serves one handler on a free loopback port."""

    def __init__(self, handler: Handler) -> None:
        """Serve `handler` once started."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def stop(self) -> None:
        """Stop listening, and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                answer = await self._handler(request)
                if answer is None:
                    return
                status, body = answer
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in rest if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send a request on a connection of its own; status 0 if there is no whole answer in time."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", "connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if body or method == "POST":
                lines += ["content-type: application/json", f"content-length: {len(body)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in head[1:] if line)
            found = {name.strip().lower(): value.strip() for name, _, value in pairs}
            answer = await reader.readexactly(int(found.get("content-length", "0")))
            return int(head[0].split(" ")[1]), _decoded(answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()


class Connection:
    """A connection that a client keeps open to one address."""

    def __init__(self, address: str) -> None:
        """Connect with the first call, and again after a call without an answer."""
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.opened = 0
        """How often it was opened."""

    async def call(
        self, method: str, path: str, *, headers: dict[str, str], timeout_s: float = 3.0
    ) -> tuple[int, Any]:
        """Send a request without a body; status 0 if there is no whole answer in time."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = self._streams or await self._open()
                lines = [f"{method} {path} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.partition(":") for line in head[1:] if line)
                found = {name.strip().lower(): value.strip() for name, _, value in pairs}
                answer = await reader.readexactly(int(found.get("content-length", "0")))
                return int(head[0].split(" ")[1]), _decoded(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self.close()
            return 0, None

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._address.rpartition(":")
        self._streams = await asyncio.open_connection(host, int(port))
        self.opened += 1
        return self._streams

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None


def _decoded(body: bytes) -> Any:
    try:
        return json.loads(body) if body else None
    except ValueError:
        return None
