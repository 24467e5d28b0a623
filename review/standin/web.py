"""A small HTTP/1.1 server and client on asyncio, enough for the stand-ins of the review."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

OK = 200
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict"}


@dataclass
class Request:
    """A request that has been read completely."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass
class Response:
    """A response; a body that is not bytes is sent as JSON."""

    status: int = OK
    body: Any = b""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the bytes on the wire."""
        body = self.body if isinstance(self.body, bytes) else json.dumps(self.body).encode()
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines += [f"content-length: {len(body)}", "content-type: application/json", "", ""]
        return "\r\n".join(lines).encode() + body


Handler = Callable[[Request], Awaitable[Response | None]]
"""Returns the response, or None to leave the request without one."""


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection; None at its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Request(method=method, path=parts.path, query=query, headers=headers, body=body)


class Server:
    """Serves a handler on a free port of a loopback address."""

    def __init__(self, handler: Handler, *, ip: str = "127.0.0.1") -> None:
        self._handler = handler
        self._ip = ip
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self) -> str:
        """Listen; return `IP:port`."""
        self._server = await asyncio.start_server(self._accept, self._ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"
        return self.address

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                response = await self._handler(request)
                if response is None:
                    await asyncio.sleep(3600)
                    return
                writer.write(response.encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    *,
    message: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float,
) -> tuple[int, Any]:
    """Send a request on a connection of its own; status 0 if there is no complete response."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, path, message, headers or {})
    except (TimeoutError, OSError, EOFError, ValueError, asyncio.IncompleteReadError):
        return 0, None


async def _exchange(
    address: str, method: str, path: str, message: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        body = b"" if message is None else json.dumps(message).encode()
        lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if "host" not in headers:
            lines.append(f"host: {address}")
        lines.append("content-type: application/json")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        length = 0
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        content = await reader.readexactly(length)
        return status, json.loads(content) if content else None
    finally:
        writer.close()
