"""HTTP face of one executor: h11 straight on a trio socket, as cheap as a request can be.

Hypercorn's two tasks and its queue for each request cost several times the work of an executor
itself, which would make a bench measure the stand-in; see docs/design/standin.md.
"""

import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import h11
import trio

from galenastall.protocol.platform import UpstreamCall
from galenastall.protocol.upstream_headers import (
    ATTEMPT_ID,
    CALLER,
    EPOCH,
    LEAVING,
    NOT_AFTER,
    OUTCOME,
    REQUEST_ID,
)
from galenastall.standin.cuts import Service
from galenastall.standin.executor import RETRY_AFTER_S, ExecutorPlan, MemoryExecutor, Verdict
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.state.ids import AttemptId, Epoch, RequestId
from galenastall.state.outcomes import Outcome

READ_BYTES: Final = 65_536
BACKLOG: Final = 512

_Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    """Status and outcome of a verdict."""

    status: int
    outcome: Outcome


_REPLIES: Final = {
    Verdict.RUN: _Reply(status=200, outcome=Outcome.DONE),
    Verdict.RUN_AND_FAIL: _Reply(status=500, outcome=Outcome.FAILED),
    Verdict.FULL: _Reply(status=503, outcome=Outcome.NOT_RUN),
    Verdict.TOO_LATE: _Reply(status=403, outcome=Outcome.NOT_RUN),
}


class ExecutorServer:
    """Serves one executor of the model on a port of its own."""

    def __init__(self, *, model: MemoryPlatform, bind_host: str = "127.0.0.1") -> None:
        """Bind the port now, so that the executor can be added to the model under its address."""
        self._model = model
        self._executors = model.executors
        self._bind_host = bind_host
        self._listener: socket.socket | None = _listen(bind_host, 0)
        self._port: int = self._listener.getsockname()[1]

    @property
    def address(self) -> str:
        """`IP:port` of this executor."""
        return f"{self._bind_host}:{self._port}"

    async def run(self) -> None:
        """Serve until the executor is removed; the port is closed while it is unreachable."""
        address = self.address
        try:
            while address in self._executors.by_address:
                if self._executors.by_address[address].faults.unreachable:
                    self._close()
                    await self._executors.reachability_changed(address)
                    continue
                await self._serve_while_reachable(address)
        finally:
            self._close()

    async def _serve_while_reachable(self, address: str) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, [self._open()])
            await self._executors.reachability_changed(address)
            nursery.cancel_scope.cancel()

    def _open(self) -> trio.SocketListener:
        if self._listener is None:
            self._listener = _listen(self._bind_host, self._port)
        listener, self._listener = self._listener, None
        return trio.SocketListener(trio.socket.from_stdlib_socket(listener))

    def _close(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def _serve(self, stream: trio.SocketStream) -> None:
        executor = self._executors.by_address.get(self.address)
        if executor is None:
            await trio.aclose_forcefully(stream)
            return
        executor.open_connections += 1
        executor.counters.peak_connections = max(
            executor.counters.peak_connections, executor.open_connections
        )
        try:
            connection = _Connection(
                stream=stream, model=self._model, executor=executor, address=self.address
            )
            await connection.serve()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            executor.counters.broken_connections += 1
        finally:
            executor.open_connections -= 1
            await trio.aclose_forcefully(stream)


class _Connection:
    """One client's connection: one request at a time."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        model: MemoryPlatform,
        executor: MemoryExecutor,
        address: str,
    ) -> None:
        self._stream = stream
        self._executors = model.executors
        self._cuts = model.cuts
        self._executor = executor
        self._address = address
        self._http = h11.Connection(h11.SERVER)

    async def serve(self) -> None:
        """Answer requests until the client or a fault ends the connection."""
        while True:
            request = await self._next_event()
            if not isinstance(request, h11.Request):
                return
            body = await self._read_body()
            if not await self._answer(request, body):
                return
            if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self._send(self._http.send(go_on))
            self._http.receive_data(await self._stream.receive_some(READ_BYTES))

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        while isinstance(event := await self._next_event(), h11.Data):
            parts.append(bytes(event.data))
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def _answer(self, request: h11.Request, body: bytes) -> bool:
        call = _call_of(request)
        if call is None:
            return await self._send_whole(400, [], b"the headers of a call are missing\n")
        plan = await self._carry_out(call, body, _caller_of(request))
        if plan is None:
            return False
        reply = _REPLIES[plan.verdict]
        headers = _headers_of(plan, reply, call)
        if plan.is_cut:
            await self._send_cut(reply.status, headers, plan)
            return False
        return await self._send_whole(reply.status, headers, plan.body)

    async def _carry_out(self, call: UpstreamCall, body: bytes, caller: str) -> ExecutorPlan | None:
        """Return what to answer; None if the request or its answer gets lost."""
        if caller and self._cuts.is_cut(caller, Service.UPSTREAMS):
            await trio.sleep(self._cuts.timeout_s)
            return None
        self._executor.open_calls += 1
        try:
            plan = await self._executors.carry_out(address=self._address, call=call, body=body)
        finally:
            self._executor.open_calls -= 1
        is_lost = plan.is_lost or (caller and self._cuts.is_cut(caller, Service.UPSTREAMS))
        return None if is_lost else plan

    async def _send_whole(self, status: int, headers: _Headers, body: bytes) -> bool:
        headers.append((b"content-length", b"%d" % len(body)))
        head = self._http.send(h11.Response(status_code=status, headers=headers))
        data = self._http.send(h11.Data(data=body))
        end = self._http.send(h11.EndOfMessage())
        await self._send(b"".join(part for part in (head, data, end) if part))
        return True

    async def _send_cut(self, status: int, headers: _Headers, plan: ExecutorPlan) -> None:
        headers.append((b"content-length", b"%d" % len(plan.body)))
        head = self._http.send(h11.Response(status_code=status, headers=headers))
        await self._send((head or b"") + plan.body[: plan.sent_bytes])

    async def _send(self, data: bytes | None) -> None:
        if data:
            await self._stream.send_all(data)


def _headers_of(plan: ExecutorPlan, reply: _Reply, call: UpstreamCall) -> _Headers:
    headers = [
        (b"content-type", b"text/plain"),
        (ATTEMPT_ID.encode(), call.attempt_id.encode()),
        (OUTCOME.encode(), reply.outcome.value.encode()),
    ]
    if plan.leaving:
        headers.append((LEAVING.encode(), b"1"))
    if reply.outcome is Outcome.NOT_RUN:
        headers.append((b"retry-after", b"%d" % RETRY_AFTER_S))
    return headers


def _caller_of(request: h11.Request) -> str:
    for name, value in request.headers:
        if name == _CALLER:
            return value.decode("latin-1")
    return ""


def _call_of(request: h11.Request) -> UpstreamCall | None:
    headers: dict[bytes, bytes] = dict(_pairs(request))
    try:
        return UpstreamCall(
            request_id=RequestId(headers[_REQUEST_ID].decode()),
            attempt_id=AttemptId(headers[_ATTEMPT_ID].decode()),
            epoch=Epoch(int(headers[_EPOCH])),
            not_after=float(headers[_NOT_AFTER]),
            operation=request.target.decode("ascii")[1:],
        )
    except (KeyError, ValueError):
        return None


def _pairs(request: h11.Request) -> Iterable[tuple[bytes, bytes]]:
    return ((name, value) for name, value in request.headers)


_CALLER: Final = CALLER.encode()
_REQUEST_ID: Final = REQUEST_ID.encode()
_ATTEMPT_ID: Final = ATTEMPT_ID.encode()
_EPOCH: Final = EPOCH.encode()
_NOT_AFTER: Final = NOT_AFTER.encode()


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener
