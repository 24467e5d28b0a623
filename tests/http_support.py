"""A raw HTTP client for tests, which tells complete responses from truncated ones."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11
import trio

from galenastall.transport.clock import TrioClock
from galenastall.transport.connection_budget import ConnectionBudget
from galenastall.transport.http_server import HttpServer


@dataclass(frozen=True, kw_only=True, slots=True)
class RawResponse:
    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class RawClient:
    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.connection = h11.Connection(h11.CLIENT)

    async def send(self, method: str, path: str, *, body: bytes = b"") -> None:
        headers = [("host", "test"), ("content-length", str(len(body)))]
        request = h11.Request(method=method, target=path, headers=headers)
        sent = self.connection.send(request) or b""
        sent += self.connection.send(h11.Data(data=body)) or b""
        sent += self.connection.send(h11.EndOfMessage()) or b""
        await self.stream.send_all(sent)

    async def receive(self) -> RawResponse:
        status, body = 0, bytearray()
        headers: dict[str, str] = {}
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError:
                return RawResponse(
                    status=status, headers=headers, body=bytes(body), is_complete=False
                )
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self.stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                if self.connection.our_state is h11.DONE:
                    self.connection.start_next_cycle()
                return RawResponse(
                    status=status, headers=headers, body=bytes(body), is_complete=True
                )
            else:
                return RawResponse(
                    status=status, headers=headers, body=bytes(body), is_complete=False
                )

    async def request(self, method: str, path: str, *, body: bytes = b"") -> RawResponse:
        await self.send(method, path, body=body)
        return await self.receive()


async def connect(address: str) -> RawClient:
    host, _, port = address.rpartition(":")
    return RawClient(await trio.open_tcp_stream(host, int(port)))


@asynccontextmanager
async def serving(
    *handlers: object, linger_s: float = 0.0, budget: ConnectionBudget | None = None
) -> AsyncIterator[HttpServer]:
    server = HttpServer(handlers=handlers, clock=TrioClock(), linger_s=linger_s, budget=budget)
    async with trio.open_nursery() as nursery:
        if budget is not None:
            await nursery.start(budget.run)
        await nursery.start(server.run)
        yield server
        nursery.cancel_scope.cancel()
