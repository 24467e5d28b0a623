"""Crowds of clients that do not behave, as a process of its own.

`python client_crowds.py KIND IP:PORT PATH CLIENTS` opens the connections, prints `held` once each
client has sent what its kind sends, has been closed or makes no progress, and keeps all connections
open until its standard input closes.
"""

import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

import trio

LEGAL_BODY_BYTES: Final = 262_144
"""The longest body that the platform's pages allow."""
PIECE_BYTES: Final = 97
CHUNKS: Final = 20_000
TOO_LONG_BYTES: Final = 64 * 1024 * 1024
SENT_TOO_LONG_BYTES: Final = 4 * 1024 * 1024
REQUESTS_AHEAD: Final = 4_000
LONG_HEAD_BYTES: Final = 15_000
DRIP_S: Final = 0.3
DRIPS: Final = 8
SETTLE_S: Final = 20.0
"""Longest wait for clients that go on sending."""
QUIET_S: Final = 3.0
"""Time without progress of any client after which the server is taken to read no more."""
CONNECT_BATCH: Final = 50
RECEIVE_BUFFER_BYTES: Final = 4_096


class Client:
    """A connection; the writes of all of them are counted."""

    writes = 0

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream

    async def send_all(self, data: bytes) -> None:
        await self.stream.send_all(data)
        Client.writes += 1

    async def receive_some(self, most_bytes: int) -> bytes:
        return bytes(await self.stream.receive_some(most_bytes))


Send = Callable[[Client, str], Awaitable[None]]

SENDERS_BY_KIND: dict[str, Send] = {}


def kind(function: Send) -> Send:
    """Register a kind of client under its function's name."""
    SENDERS_BY_KIND[function.__name__] = function
    return function


def head(path: str, *fields: str, method: str = "POST") -> bytes:
    lines = (f"{method} {path} HTTP/1.1", "host: standin.example", *fields)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def length(size: int) -> str:
    return f"content-length: {size}"


def make_many_fields() -> bytes:
    """Return a job of legal size that consists of very many empty steps."""
    first, last = b'{"specification":"x","steps":[', b"]}"
    steps = (LEGAL_BODY_BYTES - len(first) - len(last) + 1) // 3
    return first + b",".join([b"{}"] * steps) + last


MANY_FIELDS: Final = make_many_fields()


@kind
async def almost_whole(client: Client, path: str) -> None:
    """All of a legal body but its last byte."""
    await client.send_all(head(path, length(LEGAL_BODY_BYTES)))
    await client.send_all(bytes(LEGAL_BODY_BYTES - 1))


@kind
async def almost_whole_in_pieces(client: Client, path: str) -> None:
    """The same in pieces of 97 bytes."""
    client.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await client.send_all(head(path, length(LEGAL_BODY_BYTES)))
    for _ in range((LEGAL_BODY_BYTES - 1) // PIECE_BYTES):
        await client.send_all(bytes(PIECE_BYTES))


@kind
async def chunks_of_one_byte(client: Client, path: str) -> None:
    """A legal body in chunks of one byte, without its end."""
    await client.send_all(head(path, "transfer-encoding: chunked"))
    for _ in range(CHUNKS // 100):
        await client.send_all(b"1\r\nx\r\n" * 100)


@kind
async def too_long(client: Client, path: str) -> None:
    """A body that is announced far over the limit."""
    await client.send_all(head(path, length(TOO_LONG_BYTES)))
    await client.send_all(bytes(SENT_TOO_LONG_BYTES))


@kind
async def too_long_in_chunks(client: Client, path: str) -> None:
    """A body far over the limit whose length is not announced."""
    await client.send_all(head(path, "transfer-encoding: chunked"))
    part = b"8000\r\n" + bytes(0x8000) + b"\r\n"
    for _ in range(SENT_TOO_LONG_BYTES // 0x8000):
        await client.send_all(part)


@kind
async def many_fields(client: Client, path: str) -> None:
    """Whole bodies of legal size with very many short fields; the responses are not read."""
    for _ in range(4):
        await client.send_all(head(path, length(len(MANY_FIELDS))) + MANY_FIELDS)


@kind
async def sent_ahead(client: Client, path: str) -> None:
    """Thousands of requests sent ahead, whose responses are not read."""
    requests = head(path, method="GET") * 100
    for _ in range(REQUESTS_AHEAD // 100):
        await client.send_all(requests)


@kind
async def silent(client: Client, path: str) -> None:
    """Nothing at all."""


@kind
async def slow_heads(client: Client, path: str) -> None:
    """A head of which a byte comes now and then."""
    await drip(client, head(path, length(10)))


@kind
async def long_heads(client: Client, path: str) -> None:
    """Most of a head of legal size."""
    await client.send_all(head(path, "x-field: " + "x" * LONG_HEAD_BYTES)[:-4])


@kind
async def slow_bodies(client: Client, path: str) -> None:
    """Half of a legal body, and then a byte now and then."""
    await client.send_all(head(path, length(LEGAL_BODY_BYTES)))
    await client.send_all(bytes(LEGAL_BODY_BYTES // 2))
    await drip(client, bytes(DRIPS))


@kind
async def slow_readers(client: Client, path: str) -> None:
    """Thousands of requests sent ahead, whose responses are read a byte at a time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sent_ahead, client, path)
        for _ in range(DRIPS):
            await client.receive_some(1)
            await trio.sleep(DRIP_S)


async def drip(client: Client, data: bytes) -> None:
    for index in range(DRIPS):
        await client.send_all(data[index : index + 1])
        await trio.sleep(DRIP_S)


async def connect(address: str) -> Client:
    ip, _, port = address.rpartition(":")
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await sock.connect((ip, int(port)))
    return Client(trio.SocketStream(sock))


async def hold(kind_name: str, address: str, path: str, clients: int) -> None:
    clients_held: list[Client] = []

    async def run_client() -> None:
        with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            client = await connect(address)
            clients_held.append(client)
            await SENDERS_BY_KIND[kind_name](client, path)

    async with trio.open_nursery() as nursery:
        for number in range(clients):
            nursery.start_soon(run_client)
            if number % CONNECT_BATCH == 0:
                await trio.sleep(0.01)
        with trio.move_on_after(SETTLE_S):
            writes, quiet_since = -1, trio.current_time()
            while nursery.child_tasks and trio.current_time() < quiet_since + QUIET_S:
                if Client.writes != writes:
                    writes, quiet_since = Client.writes, trio.current_time()
                await trio.sleep(0.1)
        sys.stdout.write("held\n")
        sys.stdout.flush()
        await trio.to_thread.run_sync(sys.stdin.read)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(hold, sys.argv[1], sys.argv[2], sys.argv[3], int(sys.argv[4]))
