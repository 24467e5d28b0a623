"""A small HTTP/1.1 server and client over asyncio, for loopback."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclass
class Request:
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str = ""
    """The calling machine, where it has an address of its own to call."""

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass
class Response:
    """One response."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def of(cls, status: int, value: object) -> "Response":
        """Return a response with a JSON body."""
        return cls(status, json.dumps(value).encode(), {"content-type": "application/json"})


Handler = Callable[[Request], Awaitable[Response | None]]


class Server:
    """Serves one handler; a handler that returns None has its connection closed unanswered."""

    def __init__(self, handler: Handler, *, caller: str = "") -> None:
        """Serve `handler`; `caller` names the only machine that calls this address."""
        self._handler = handler
        self._caller = caller
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listen, and return the address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 22)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    def stop(self) -> None:
        """Close the listener and all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                request.peer = self._caller
                answer = await self._handler(request)
                if answer is None:
                    break
                writer.write(encode_response(answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(method, unquote(path), dict(parse_qsl(query)), headers, body)


def encode_response(answer: Response) -> bytes:
    """Return a response's bytes."""
    reason = REASONS.get(answer.status, "Status")
    head = [f"HTTP/1.1 {answer.status} {reason}", f"content-length: {len(answer.body)}"]
    head += [f"{name}: {value}" for name, value in answer.headers.items()]
    return "\r\n".join([*head, "", ""]).encode() + answer.body


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Send one request on a connection of its own; status 0 if there was no complete response."""
    try:
        return await asyncio.wait_for(_call(address, method, path, headers or {}, body), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


async def _call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = [f"{method} {path} HTTP/1.1"]
        merged = {"host": address, **headers, "content-length": str(len(body))}
        head += [f"{name}: {value}" for name, value in merged.items()]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)
        await writer.drain()
        raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(raw[0].split(" ")[1])
        length = 0
        for line in raw[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        return status, await reader.readexactly(length)
    finally:
        writer.transport.abort()
