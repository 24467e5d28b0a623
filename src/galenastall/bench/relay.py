"""Relay TCP connections on loopback: count their bytes, delay them, cut them.

A relay stands on one link of an experiment, for example between one entry host and the platform,
so that a link can be cut or slowed without any help from the process under test.
"""

from dataclasses import dataclass
from typing import Final

import trio

CHUNK_BYTES: Final = 65536
MAX_CONNECTIONS: Final = 2000


@dataclass(kw_only=True, slots=True)
class LinkCounts:
    """What passed a relay."""

    connections: int = 0
    to_server_bytes: int = 0
    to_client_bytes: int = 0


class Relay:
    """One listening port in front of one address."""

    def __init__(self, *, target: str, one_way_delay_s: float = 0.0) -> None:
        """Stand in front of `target` (`IP:port`), adding a delay each way."""
        self._target = target
        self._delay_s = one_way_delay_s
        self._is_cut = False
        self._scopes_by_number: dict[int, trio.CancelScope] = {}
        self._numbers = 0
        self.counts = LinkCounts()
        self.address = ""

    def cut(self) -> None:
        """Break all connections and refuse new ones until `mend`."""
        self._is_cut = True
        for scope in list(self._scopes_by_number.values()):
            scope.cancel()

    def mend(self) -> None:
        """Let connections pass again."""
        self._is_cut = False

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen on a port that the system chooses; reports started once `address` is set."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        async with trio.open_nursery() as nursery:
            task_status.started()
            await trio.serve_listeners(self._serve, [listener], handler_nursery=nursery)

    async def _serve(self, client: trio.SocketStream) -> None:
        if self._is_cut or len(self._scopes_by_number) >= MAX_CONNECTIONS:
            return
        self._numbers += 1
        number = self._numbers
        self.counts.connections += 1
        with trio.CancelScope() as scope:
            self._scopes_by_number[number] = scope
            try:
                await self._join(client)
            finally:
                del self._scopes_by_number[number]

    async def _join(self, client: trio.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, server, True, nursery.cancel_scope)
            nursery.start_soon(self._pump, server, client, False, nursery.cancel_scope)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_to_server: bool,
        scope: trio.CancelScope,
    ) -> None:
        """Pass bytes on; either side's end ends both, as HTTP needs no half-open connections."""
        send, receive = trio.open_memory_channel[tuple[float, bytes]](1000)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_deliver, receive, sink)
                async with send:
                    while data := await source.receive_some(CHUNK_BYTES):
                        self._count(len(data), is_to_server)
                        await send.send((trio.current_time() + self._delay_s, data))
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    def _count(self, size: int, is_to_server: bool) -> None:
        if is_to_server:
            self.counts.to_server_bytes += size
        else:
            self.counts.to_client_bytes += size


async def _deliver(
    receive: trio.MemoryReceiveChannel[tuple[float, bytes]], sink: trio.SocketStream
) -> None:
    async for due, data in receive:
        await trio.sleep_until(due)
        await sink.send_all(data)
