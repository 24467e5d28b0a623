"""Processor time of the transport's parts: `python -m galenastall.bench.transport_costs`.

The loop runs in the main thread and the other side in a thread of its own, so that the main
thread's processor time is that of the part measured. Rounds are interleaved and go back and forth;
medians are printed with the smallest and largest round.
"""

import io
import os
import socket
import statistics
import sys
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import httpcore
import trio
import zmq

from galenastall.coordination.requests.permit_types import Permit
from galenastall.node.requests.request_trace import RequestTrace
from galenastall.node.requests.request_types import RequestAnswer, RequestCall
from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.protocol.security import CurveKeys
from galenastall.state.ids import Epoch, HostId, Incarnation, RequestId, TeamPath
from galenastall.state.outcomes import Outcome
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_app import HttpApp
from galenastall.transport.http_client import HttpClient
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.http_server import HttpServer
from galenastall.transport.logs import Level, Recorder
from galenastall.transport.metrics import Metrics
from galenastall.transport.peer_link import ZmqPeerLink

ROUNDS: Final = 6
CALLS: Final = 2_000
_BODY: Final = b"abcd"
_REQUEST: Final = (
    b"POST /v1/call/format HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n"
    b"content-type: text/plain\r\nx-team: board/packs\r\n\r\nabcd"
)
_ANSWER: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-type: text/plain\r\n\r\nabcd"

Cost = Callable[[], Awaitable[float]]
"""Returns the processor time of the main thread in microseconds for one operation."""


class _Echo:
    @route("POST", "/v1/call/{operation*}")
    async def call(self, request: HttpRequest) -> HttpResponse:
        body = (await request.read_body(1000)).unwrap()
        return HttpResponse(headers={"content-type": "text/plain"}, body=body)


async def _bare_app(scope: Any, receive: Any, send: Any) -> None:
    if scope["type"] == "lifespan":
        while True:
            message = await receive()
            await send({"type": f"{message['type']}.complete"})
            if message["type"] == "lifespan.shutdown":
                return
    while (await receive()).get("more_body"):
        pass
    headers = [(b"content-length", b"4"), (b"content-type", b"text/plain")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": _BODY, "more_body": False})


def _ask_raw(address: str, connections: int) -> None:
    host, _, port = address.rpartition(":")
    sockets = [socket.create_connection((host, int(port))) for _ in range(connections)]
    for _ in range(CALLS // connections):
        for one in sockets:
            one.sendall(_REQUEST)
        for one in sockets:
            received = b""
            while _BODY not in received:
                received += one.recv(65536)
    for one in sockets:
        one.close()


async def _server_cost(*, is_bare: bool) -> float:
    server = HttpServer(handlers=[_Echo()], clock=TrioClock(), linger_s=0.0)
    if is_bare:
        bare: Any = _bare_app
        server._app = bare
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        start = time.thread_time()
        await trio.to_thread.run_sync(_ask_raw, server.address, 8)
        spent = time.thread_time() - start
        nursery.cancel_scope.cancel()
    return spent / CALLS * 1e6


async def _app_cost() -> float:
    app = HttpApp(handlers=[_Echo()], log_error=None)
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": "POST",
        "raw_path": b"/v1/call/format",
        "query_string": b"",
        "client": ("127.0.0.1", 5),
        "headers": [(b"host", b"x"), (b"content-length", b"4"), (b"x-team", b"board/packs")],
    }

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": _BODY, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        return

    start = time.thread_time()
    for _ in range(CALLS):
        await app(scope, receive, send)
    return (time.thread_time() - start) / CALLS * 1e6


def _answer_raw(listener: socket.socket) -> None:
    def serve(one: socket.socket) -> None:
        received = b""
        while chunk := one.recv(65536):
            received += chunk
            while (end := received.find(b"\r\n\r\nabcd")) >= 0:
                received = received[end + 8 :]
                one.sendall(_ANSWER)

    while True:
        try:
            one, _ = listener.accept()
        except OSError:
            return
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(one,), daemon=True).start()


async def _client_cost(address: str, *, workers: int) -> float:
    client = HttpClient(clock=TrioClock())

    async def ask() -> None:
        result = await client.request(
            method="POST", address=address, path="/v1/call/x", timeout_s=30.0, body=_BODY
        )
        result.unwrap()

    cost = await _spread(ask, workers)
    await client.aclose()
    return cost


async def _pool_cost(address: str, *, workers: int) -> float:
    async with httpcore.AsyncConnectionPool(max_connections=64) as pool:

        async def ask() -> None:
            await pool.request("POST", f"http://{address}/v1/call/x", content=_BODY)

        return await _spread(ask, workers)


async def _spread(ask: Callable[[], Awaitable[None]], workers: int) -> float:
    async def work() -> None:
        for _ in range(CALLS // workers):
            await ask()

    start = time.thread_time()
    async with trio.open_nursery() as nursery:
        for _ in range(workers):
            nursery.start_soon(work)
    return (time.thread_time() - start) / CALLS * 1e6


@PEER_MESSAGES.register("bench.ping")
@dataclass(frozen=True, kw_only=True, slots=True)
class _Ping:
    request_id: str
    deadline: float


@PEER_MESSAGES.register("bench.pong")
@dataclass(frozen=True, kw_only=True, slots=True)
class _Pong:
    permit: str
    epoch: int


async def _link_cost(*, workers: int, has_keys: bool) -> float:
    hosts = (HostId("entry-1"), HostId("entry-2"))
    keys = _make_keys(hosts) if has_keys else dict.fromkeys(hosts)
    links = [
        ZmqPeerLink(host_id=host, incarnation=Incarnation("1"), clock=TrioClock(), curve=keys[host])
        for host in hosts
    ]

    async def answer(sender: HostId, message: Any) -> _Pong:
        return _Pong(permit=message.request_id, epoch=5)

    links[1].handle(_Ping, answer)
    message = _Ping(request_id="request-123456", deadline=1e9)

    async def ask() -> None:
        (await links[0].call(peer=hosts[1], message=message, timeout_s=30.0)).unwrap()

    async with trio.open_nursery() as nursery:
        for link in links:
            await nursery.start(link.run)
        links[0].set_peers({hosts[1]: links[1].address})
        await ask()
        cost = await _spread(ask, workers)
        nursery.cancel_scope.cancel()
    return cost


def _make_keys(hosts: tuple[HostId, ...]) -> dict[HostId, CurveKeys | None]:
    pairs = {host: zmq.curve_keypair() for host in hosts}
    allowed = {host: public.decode() for host, (public, _) in pairs.items()}
    return {
        host: CurveKeys(
            public_key=public.decode(), secret_key=secret.decode(), allowed_by_host_id=allowed
        )
        for host, (public, secret) in pairs.items()
    }


async def _record_cost(*, level: Level, share: float = 1.0) -> float:
    recorder = Recorder(
        process="entry-1",
        clock=TrioClock(),
        ring=TimelineRing(),
        detail_share=share,
        stream=io.BytesIO(),
    )
    start = time.thread_time()
    for number in range(CALLS):
        recorder.record(
            "request.sent",
            peer="executor-1",
            subjects=(f"request-{number}", "executor-1"),
            cause="a slot is free",
            fields={"attempt": "1"},
            level=level,
        )
    return (time.thread_time() - start) / CALLS * 1e6


async def _trace_cost(*, share: float) -> float:
    recorder = Recorder(
        process="entry-1",
        clock=TrioClock(),
        ring=TimelineRing(),
        detail_share=share,
        stream=io.BytesIO(),
    )
    trace = RequestTrace(events=recorder)
    upstream = HostId("executor-1")
    permit = Permit(
        permit_id="executor-1:1:1",
        upstream=upstream,
        address="127.0.0.1:1",
        epoch=Epoch(7),
        ask_id=1,
        begin_within_s=1.0,
        ends_within_s=1.0,
    )
    start = time.thread_time()
    for number in range(CALLS):
        call = RequestCall(
            request_id=RequestId(f"request-{number}"),
            team=TeamPath("board"),
            operation="packs/preview",
            deadline=1.0,
        )
        trace.queued(call, ahead=3)
        trace.sent(call, permit, owner=HostId("entry-1"), number=1)
        answer = RequestAnswer(
            request_id=call.request_id, outcome=Outcome.DONE, upstream=upstream, attempts=1
        )
        trace.ended(call, answer, attempts=1)
    return (time.thread_time() - start) / CALLS * 1e6


async def _counter_cost() -> float:
    counter = Metrics().counter("requests", "Requests.", labels=("team", "outcome"))
    start = time.thread_time()
    for _ in range(CALLS):
        counter.add(1, "board", "done")
    return (time.thread_time() - start) / CALLS * 1e6


async def _histogram_cost() -> float:
    histogram = Metrics().histogram("wait_seconds", "Waits.", labels=("team",))
    start = time.thread_time()
    for _ in range(CALLS):
        histogram.record(0.02, "board")
    return (time.thread_time() - start) / CALLS * 1e6


async def _page_cost() -> float:
    metrics = Metrics()
    counter = metrics.counter("requests", "Requests.", labels=("team", "outcome"))
    histogram = metrics.histogram("wait_seconds", "Waits.", labels=("team",))
    for number in range(260):
        counter.add(1, f"team-{number}", "done")
        histogram.record(0.02, f"team-{number}")
    await metrics.page()
    start = time.thread_time()
    await metrics.page()
    return (time.thread_time() - start) * 1e6


def _costs(address: str) -> dict[str, Cost]:
    return {
        "server request, hypercorn and our layer": lambda: _server_cost(is_bare=False),
        "server request, hypercorn and a bare app": lambda: _server_cost(is_bare=True),
        "our layer alone": _app_cost,
        "client call, 1 at once": lambda: _client_cost(address, workers=1),
        "client call, 48 at once": lambda: _client_cost(address, workers=48),
        "httpcore pool call, 1 at once": lambda: _pool_cost(address, workers=1),
        "httpcore pool call, 48 at once": lambda: _pool_cost(address, workers=48),
        "peer round trip, both ends, 1 at once": lambda: _link_cost(workers=1, has_keys=False),
        "peer round trip, both ends, 16 at once": lambda: _link_cost(workers=16, has_keys=False),
        "peer round trip with keys, 16 at once": lambda: _link_cost(workers=16, has_keys=True),
        "record a detail": lambda: _record_cost(level=Level.DETAIL),
        "record a detail that is left out": lambda: _record_cost(level=Level.DETAIL, share=0.01),
        "record with a log line": lambda: _record_cost(level=Level.INFO),
        "all events of a request": lambda: _trace_cost(share=1.0),
        "all events of a request that is left out": lambda: _trace_cost(share=0.01),
        "counter, two labels": _counter_cost,
        "histogram, one label": _histogram_cost,
        "metrics page, 260 teams": _page_cost,
    }


def main() -> None:
    """Print a table of costs in microseconds of processor time."""
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=_answer_raw, args=(listener,), daemon=True).start()
    costs = _costs(f"127.0.0.1:{listener.getsockname()[1]}")
    rounds: dict[str, list[float]] = {name: [] for name in costs}
    for number in range(ROUNDS):
        # What ran before leaves its mark, so every other round goes backwards.
        order = list(costs) if number % 2 == 0 else list(reversed(costs))
        for name in order:
            rounds[name].append(trio.run(costs[name]))
    listener.close()
    sys.stdout.write(f"load average {os.getloadavg()[0]:.1f}, {os.cpu_count()} cores\n")
    for name, values in rounds.items():
        low, high = min(values), max(values)
        middle = statistics.median(values)
        sys.stdout.write(f"{name:42} {middle:9.1f} us   ({low:.1f} to {high:.1f})\n")


if __name__ == "__main__":
    main()
