"""Limits on what connections hold together: who is closed or refused first, and who never is."""

import io
from collections.abc import Callable

import msgspec
import pytest
import trio
import trio.testing
from returns.result import Failure

from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.client_limits import MEBIBYTE, ClientLimits, limits_within
from galenastall.transport.clock import TrioClock
from galenastall.transport.connection_budget import (
    RESPONSE_GRACE_S,
    SWEEP_S,
    ConnectionAccount,
    ConnectionBudget,
    Limit,
    Phase,
)
from galenastall.transport.http_connection import STALLED_S
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.limited_clients import make_budget
from galenastall.transport.logs import Recorder
from galenastall.transport.metrics import Metrics
from http_support import RawClient, connect, serving

BODY_LIMIT = 100_000
LIMITS = ClientLimits(connections=4, held_bytes=60_000, head_s=10.0, pause_s=15.0)


class Handlers:
    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.release = trio.Event()

    @route("POST", "/read")
    async def read(self, request: HttpRequest) -> HttpResponse:
        body = await request.read_body(BODY_LIMIT)
        status = {"overloaded": 429, "invalid": 413, "cut": 502}
        if reason := getattr(body.swap().value_or(None), "reason", None):
            return HttpResponse(status=status[reason.value], body=b"refused")
        self.bodies.append(body.unwrap())
        return HttpResponse(body=b"read")

    @route("POST", "/read-late")
    async def read_late(self, request: HttpRequest) -> HttpResponse:
        await self.release.wait()
        return await self.read(request)

    @route("POST", "/decode")
    async def decode(self, request: HttpRequest) -> HttpResponse:
        await request.read_body(BODY_LIMIT)
        prepared = await request.prepare(LIMITS.held_bytes)
        if isinstance(prepared, Failure):
            return HttpResponse(status=429, body=b"refused")
        await self.release.wait()
        return HttpResponse(body=b"decoded")

    @route("GET", "/large")
    async def large(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse(body=bytes(16 * MEBIBYTE))

    @route("GET", "/small")
    async def small(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse(body=b"small")


async def open_body(address: str, path: str, *, length: int, sent: int) -> RawClient:
    """Send the head of a request and a part of its body."""
    client = await connect(address)
    head = f"POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n"
    await client.stream.send_all(head.encode() + bytes(sent))
    return client


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(2_000):
        if condition():
            return
        await trio.testing.wait_all_tasks_blocked(0.005)
    raise AssertionError("timed out")


async def settle() -> None:
    for _ in range(3):
        await trio.testing.wait_all_tasks_blocked(0.01)


def account_in(budget: ConnectionBudget, phase: Phase, *, held: int = 0) -> ConnectionAccount:
    account = budget.open(lambda: None)
    assert account is not None
    account.enter(phase)
    account.hold(held)
    return account


class TestConnections:
    async def test_the_one_without_progress_for_longest_makes_room(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        accounts = []
        for _ in range(4):
            accounts.append(account_in(budget, Phase.IDLE))
            mock_clock.jump(1.0)
        accounts[0].enter(Phase.HEAD)
        assert budget.open(lambda: None) is not None
        assert [account.is_closed for account in accounts] == [False, True, False, False]
        assert budget.counts[Limit.CONNECTIONS] == 1

    async def test_none_is_closed_that_is_being_served(self) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        accounts = [account_in(budget, Phase.SERVING) for _ in range(4)]
        assert budget.open(lambda: None) is None
        assert not any(account.is_closed for account in accounts)
        assert budget.counts[Limit.REFUSED_CONNECTION] == 1

    async def test_a_silent_crowd_keeps_nobody_out(self) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        async with serving(Handlers(), budget=budget) as server:
            crowd = [await connect(server.address) for _ in range(20)]
            client = await connect(server.address)
            assert (await client.request("GET", "/small")).status == 200
            assert budget.connections <= LIMITS.connections
            assert len(crowd) == 20


class TestHeldBytes:
    async def test_the_body_without_progress_for_longest_is_refused(self) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        handlers = Handlers()
        async with serving(handlers, budget=budget) as server:
            first = await open_body(server.address, "/read", length=40_000, sent=39_999)
            await until(lambda: budget.held_bytes == 39_999)
            second = await open_body(server.address, "/read", length=40_000, sent=39_999)
            assert (await first.receive()).status == 429
            await second.stream.send_all(b"x")
            assert (await second.receive()).status == 200
            await until(lambda: budget.held_bytes == 0)
        assert len(handlers.bodies) == 1
        assert budget.counts[Limit.HELD_BYTES] == 1

    async def test_a_body_that_has_arrived_is_answered(self) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        handlers = Handlers()
        async with serving(handlers, budget=budget) as server:
            whole = await open_body(server.address, "/read-late", length=50_000, sent=50_000)
            await until(lambda: budget.held_bytes == 50_000)
            other = await open_body(server.address, "/read", length=50_000, sent=49_999)
            assert (await other.receive()).status == 429
            handlers.release.set()
            assert (await whole.receive()).status == 200
        assert handlers.bodies == [bytes(50_000)]

    async def test_a_refused_body_is_not_taken_for_whole_when_its_end_arrives(self) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        handlers = Handlers()
        async with serving(handlers, budget=budget) as server:
            late = await open_body(server.address, "/read-late", length=50_000, sent=49_999)
            await until(lambda: budget.held_bytes == 49_999)
            other = await open_body(server.address, "/read", length=50_000, sent=50_000)
            assert (await other.receive()).status == 200
            await late.stream.send_all(b"x")
            await settle()
            handlers.release.set()
            assert (await late.receive()).status == 429
        assert handlers.bodies == [bytes(50_000)]

    async def test_no_more_is_decoded_at_a_time_than_fits(self) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        handlers = Handlers()
        async with serving(handlers, budget=budget) as server:
            first = await open_body(server.address, "/decode", length=0, sent=0)
            await until(lambda: budget.held_bytes == LIMITS.held_bytes)
            second = await open_body(server.address, "/decode", length=0, sent=0)
            assert (await second.receive()).status == 429
            assert budget.counts[Limit.HELD_BYTES] == 1
            handlers.release.set()
            assert (await first.receive()).status == 200
            third = await open_body(server.address, "/decode", length=0, sent=0)
            assert (await third.receive()).status == 200

    async def test_an_announced_length_over_the_limit_is_refused_before_the_body(self) -> None:
        async with serving(Handlers()) as server:
            client = await open_body(server.address, "/read", length=10**12, sent=0)
            assert (await client.receive()).status == 413

    async def test_chunks_of_one_byte_hold_no_more_than_their_bytes(self) -> None:
        handlers = Handlers()
        budget = ConnectionBudget(limits=lambda: LIMITS)
        async with serving(handlers, budget=budget) as server:
            client = await connect(server.address)
            head = b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            await client.stream.send_all(head + b"1\r\nx\r\n" * 20_000)
            await until(lambda: budget.held_bytes == 20_000)
            await client.stream.send_all(b"0\r\n\r\n")
            assert (await client.receive()).status == 200
        assert handlers.bodies == [b"x" * 20_000]


class TestTime:
    @pytest.mark.parametrize(
        ("sent", "limit_s", "limit"),
        [
            (b"GET /small HTT", LIMITS.head_s, Limit.SLOW_HEAD),
            (
                b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab",
                LIMITS.pause_s,
                Limit.SLOW_BODY,
            ),
        ],
    )
    async def test_an_unfinished_request_is_ended_after_its_time_and_not_before(
        self, sent: bytes, limit_s: float, limit: Limit, mock_clock: trio.testing.MockClock
    ) -> None:
        budget = ConnectionBudget(limits=lambda: LIMITS)
        async with serving(Handlers(), budget=budget) as server:
            client = await connect(server.address)
            await client.stream.send_all(sent)
            await settle()
            mock_clock.jump(limit_s - 1.0)
            await settle()
            assert budget.counts[limit] == 0
            mock_clock.jump(SWEEP_S + 1.0)
            await settle()
            assert budget.counts[limit] == 1

    async def test_a_response_that_is_read_too_slowly_is_ended(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        budget = ConnectionBudget()
        async with serving(Handlers(), budget=budget) as server:
            client = await connect(server.address)
            await client.send("GET", "/large")
            for _ in range(40):
                await client.stream.receive_some(1_000)
                mock_clock.jump(RESPONSE_GRACE_S)
                await settle()
            assert budget.counts[Limit.UNREAD_RESPONSE] == 1
            assert budget.connections == 0


class TestStop:
    async def test_a_body_that_stalls_is_refused_and_nothing_is_cut_off(self) -> None:
        async with serving(Handlers()) as server:
            client = await open_body(server.address, "/read", length=10, sent=9)
            await until(lambda: server.open_requests == 1)
            assert await server.drain(5.0) == 0
            assert (await client.receive()).status == 429

    async def test_a_body_that_goes_on_arriving_is_served(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        handlers = Handlers()
        async with serving(handlers) as server, trio.open_nursery() as nursery:
            client = await open_body(server.address, "/read", length=90_000, sent=0)
            await until(lambda: server.open_requests == 1)
            nursery.start_soon(server.drain, 30.0)
            for _ in range(5):
                await settle()
                mock_clock.jump(STALLED_S)
                await client.stream.send_all(bytes(18_000))
            assert (await client.receive()).status == 200
        assert handlers.bodies == [bytes(90_000)]

    async def test_an_unread_response_ends_before_the_grace_time(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        budget = ConnectionBudget()
        cut_off: list[int] = []

        async def drain() -> None:
            cut_off.append(await server.drain(10.0))

        async with serving(Handlers(), budget=budget) as server, trio.open_nursery() as nursery:
            client = await connect(server.address)
            await client.send("GET", "/large")
            await settle()
            nursery.start_soon(drain)
            for seconds in (7.0, 0.5):
                await settle()
                mock_clock.jump(seconds)
            await settle()
            assert budget.connections == 1
            mock_clock.jump(1.0)
            await until(lambda: cut_off == [0])
            assert budget.counts[Limit.UNREAD_RESPONSE] == 1


class TestLimits:
    def test_follow_memory_and_sockets(self) -> None:
        by_memory = limits_within(memory_bytes=100 * MEBIBYTE, sockets=10_000)
        assert by_memory.connections * 56 * 1024 <= 25 * MEBIBYTE
        assert by_memory.held_bytes == 100 * MEBIBYTE // 8
        assert limits_within(memory_bytes=1000 * MEBIBYTE, sockets=300).connections == 150

    def test_are_never_tighter_than_what_the_operator_allows(self) -> None:
        wide = LIMITS.widened(head_bytes=10**6, head_s=60.0, idle_s=120.0)
        assert (wide.head_bytes, wide.head_s) == (10**6, 60.0)
        assert (wide.pause_s, wide.idle_s) == (120.0, 120.0)
        narrow = LIMITS.widened(head_bytes=1, head_s=1.0, idle_s=1.0)
        assert (narrow.head_bytes, narrow.head_s) == (LIMITS.head_bytes, LIMITS.head_s)


class TestReports:
    async def test_an_applied_limit_is_a_log_line_and_a_metric(self) -> None:
        stream, metrics = io.BytesIO(), Metrics()
        recorder = Recorder(process="a", clock=TrioClock(), ring=TimelineRing(), stream=stream)
        budget = make_budget(limits=lambda: LIMITS, recorder=recorder, metrics=metrics)
        for _ in range(6):
            account_in(budget, Phase.IDLE)
        budget.sweep()
        (line,) = map(msgspec.json.decode, stream.getvalue().splitlines())
        assert (line["event"], line["cause"], line["count"]) == (
            "client.limited",
            "connections",
            "2",
        )
        page = (await metrics.page()).decode()
        assert 'galenastall_limited_clients_total{limit="connections"} 2.0' in page
        assert "galenastall_client_connections 4.0" in page
