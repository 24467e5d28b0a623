"""The peer link over real sockets: answers, losses, faults, keys and forged senders."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
import trio
import trio.testing
import zmq
from returns.result import Failure, Success

from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.protocol.security import CurveKeys
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId, Incarnation
from galenastall.transport.clock import TrioClock
from galenastall.transport.link_faults import LinkFaults
from galenastall.transport.peer_link import ZmqPeerLink
from galenastall.transport.zmq_sockets import MAX_MESSAGE_BYTES

A, B, C = HostId("entry-a"), HostId("entry-b"), HostId("entry-c")
FAR_S = 1000.0
LOST = {Reason.TIMEOUT, Reason.UNREACHABLE}
"""Reasons of a call that was sent into a dead connection or could not be sent."""


@PEER_MESSAGES.register("test.ping")
@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    number: int = 0
    padding: bytes = b""


@PEER_MESSAGES.register("test.pong")
@dataclass(frozen=True, kw_only=True, slots=True)
class Pong:
    number: int
    sender: str


class Echo:
    """A handler that can be blocked and records the messages it received."""

    def __init__(self) -> None:
        self.seen: list[tuple[HostId, int]] = []
        self.arrived = trio.Event()
        self.release = trio.Event()
        self.release.set()

    async def __call__(self, sender: HostId, message: Ping) -> Any:
        self.seen.append((sender, message.number))
        self.arrived.set()
        await self.release.wait()
        if message.number == 13:
            return Failure(StepError(step="test.echo", peer="deep", reason=Reason.CONFLICT))
        if message.number == 14:
            raise KeyError("defect")
        if message.number == 15:
            return None
        return Pong(number=message.number, sender=sender)


class Fleet:
    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self.links: dict[HostId, ZmqPeerLink] = {}
        self.echoes: dict[HostId, Echo] = {}

    async def add(
        self,
        host: HostId,
        *,
        curve: CurveKeys | None = None,
        faults: LinkFaults | None = None,
        bind: str = "127.0.0.1:0",
        nursery: trio.Nursery | None = None,
    ) -> ZmqPeerLink:
        link = ZmqPeerLink(
            host_id=host,
            incarnation=Incarnation(f"{host}.1"),
            clock=TrioClock(),
            bind=bind,
            curve=curve,
            faults=faults,
        )
        self.links[host], self.echoes[host] = link, Echo()
        link.handle(Ping, self.echoes[host])
        await (nursery or self._nursery).start(link.run)
        self.introduce()
        return link

    def introduce(self) -> None:
        for link in self.links.values():
            link.set_peers({host: other.address for host, other in self.links.items()})


@asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        yield Fleet(nursery)
        nursery.cancel_scope.cancel()


def reason_of(result: Any) -> Reason:
    error = result.failure()
    assert isinstance(error, StepError)
    return error.reason


async def until(condition: Any) -> None:
    """Let the loop and ZeroMQ's I/O thread run until `condition()` holds."""
    while not condition():
        await trio.testing.wait_all_tasks_blocked(0.001)


async def call_with_time_passing(
    link: ZmqPeerLink, mock_clock: trio.testing.MockClock, message: Ping
) -> Any:
    """Call B once; advance the clock whenever all tasks are blocked, so that a lost call ends."""
    results: list[Any] = []

    async def record_call() -> None:
        results.append(await link.call(peer=B, message=message, timeout_s=3.0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_call)
        while not results:
            await trio.testing.wait_all_tasks_blocked(0.05)
            mock_clock.jump(1.0)
    return results[0]


async def call_until_answered(
    link: ZmqPeerLink, mock_clock: trio.testing.MockClock, message: Ping
) -> list[Any]:
    """Call B until it answers; return the results of all calls.

    A connection that has just died may accept a call that nobody reads. Such a call must end as
    lost, and a later one must succeed.
    """
    results: list[Any] = []
    while not results or isinstance(results[-1], Failure):
        results.append(await call_with_time_passing(link, mock_clock, message))
        assert isinstance(results[-1], Success) or reason_of(results[-1]) in LOST
    return results


def sent_of(results: list[Any]) -> int:
    """Return how many of the calls were passed to a connection."""
    return sum(
        1
        for result in results
        if isinstance(result, Success) or reason_of(result) is Reason.TIMEOUT
    )


class Relay:
    """Forwards connections to `target`; while silent it keeps them open and forwards nothing."""

    def __init__(self) -> None:
        self.address = ""
        self.target = ""
        self.is_silent = False

    @classmethod
    @asynccontextmanager
    async def open(cls) -> AsyncIterator["Relay"]:
        relay = cls()
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listener.socket.getsockname()[1]
            relay.address = f"127.0.0.1:{port}"
            nursery.start_soon(trio.serve_listeners, relay._forward, [listener])
            yield relay
            nursery.cancel_scope.cancel()

    async def _forward(self, near: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await near.aclose()
            return
        async with near, far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far)
            nursery.start_soon(self._copy, far, near)

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            async for data in source:
                if self.is_silent:
                    break
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if not self.is_silent:
            await sink.aclose()
        else:
            await trio.sleep_forever()


class TestCalls:
    async def test_many_at_once_each_get_their_own_answer(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            await made.add(B)
            answers: dict[int, Any] = {}

            async def record_call(number: int) -> None:
                answers[number] = await link.call(
                    peer=B, message=Ping(number=number), timeout_s=FAR_S
                )

            async with trio.open_nursery() as nursery:
                for number in range(100, 600):
                    nursery.start_soon(record_call, number)
        assert answers == {n: Success(Pong(number=n, sender=A)) for n in range(100, 600)}
        assert link.counters_by_id[B].messages_out == 500
        assert link.counters_by_id[B].messages_in == 500

    @pytest.mark.parametrize(
        ("number", "reason", "step", "peer"),
        [
            (13, Reason.CONFLICT, "test.echo", "deep"),
            (14, Reason.CUT, "peer.handle", B),
        ],
    )
    async def test_failures_travel_back_typed(
        self, number: int, reason: Reason, step: str, peer: str
    ) -> None:
        async with fleet() as made:
            link = await made.add(A)
            await made.add(B)
            result = await link.call(peer=B, message=Ping(number=number), timeout_s=FAR_S)
        error = result.failure()
        assert (error.reason, error.step, error.peer) == (reason, step, peer)

    async def test_nothing_is_an_answer(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            await made.add(B)
            result = await link.call(peer=B, message=Ping(number=15), timeout_s=FAR_S)
        assert result == Success(None)

    async def test_a_message_without_a_handler_is_refused(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            await made.add(B)
            message = Pong(number=1, sender="")
            assert (
                reason_of(await link.call(peer=B, message=message, timeout_s=1)) is Reason.REFUSED
            )

    async def test_calls_to_itself_stay_here(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            result = await link.call(peer=A, message=Ping(number=1), timeout_s=FAR_S)
            assert reason_of(await link.call(peer=A, message=Ping(number=13), timeout_s=1))
        assert result == Success(Pong(number=1, sender=A))

    async def test_one_way_messages_wait_for_the_connection(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            await made.add(B)
            for number in range(20, 60):
                link.send(peer=B, message=Ping(number=number))
            await until(lambda: len(made.echoes[B].seen) == 40)
        assert sorted(made.echoes[B].seen) == [(A, number) for number in range(20, 60)]

    async def test_large_messages_are_refused_here(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            await made.add(B)
            message = Ping(padding=b"x" * MAX_MESSAGE_BYTES)
            assert (
                reason_of(await link.call(peer=B, message=message, timeout_s=1)) is Reason.INVALID
            )
        assert not made.echoes[B].seen


class TestUnreachable:
    async def test_unknown_peer(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            result = await link.call(peer=C, message=Ping(), timeout_s=FAR_S)
        assert reason_of(result) is Reason.UNREACHABLE

    async def test_peer_that_is_gone(self, mock_clock: trio.testing.MockClock) -> None:
        async with fleet() as made:
            link = await made.add(A)
            link.set_peers({B: "127.0.0.1:1"})
            results: list[Any] = []

            async def record_call() -> None:
                results.append(await link.call(peer=B, message=Ping(), timeout_s=3.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(record_call)
                await trio.testing.wait_all_tasks_blocked()
                mock_clock.jump(4.0)
        assert reason_of(results[0]) is Reason.UNREACHABLE

    async def test_cut_peer_and_after_it_heals(self) -> None:
        faults = LinkFaults(cut={B})
        async with fleet() as made:
            link = await made.add(A, faults=faults)
            other = await made.add(B)
            away = await link.call(peer=B, message=Ping(number=1), timeout_s=FAR_S)
            other.send(peer=A, message=Ping(number=2))
            faults.cut.clear()
            back = await link.call(peer=B, message=Ping(number=3), timeout_s=FAR_S)
        assert reason_of(away) is Reason.UNREACHABLE
        assert back.unwrap().number == 3
        assert made.echoes[B].seen == [(A, 3)]

    async def test_reused_address_is_refused(self) -> None:
        async with fleet() as made:
            link = await made.add(A)
            other = await made.add(B)
            link.set_peers({C: other.address})
            result = await link.call(peer=C, message=Ping(), timeout_s=FAR_S)
        assert reason_of(result) is Reason.REFUSED
        assert not made.echoes[B].seen
        assert other.dropped.misdirected == 1


class TestMayHaveTakenEffect:
    async def test_lost_call_is_timeout(self, mock_clock: trio.testing.MockClock) -> None:
        async with fleet() as made:
            link = await made.add(A, faults=LinkFaults(lossy={B}))
            await made.add(B)
            results: list[Any] = []

            async def record_call() -> None:
                results.append(await link.call(peer=B, message=Ping(), timeout_s=3.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(record_call)
                await trio.testing.wait_all_tasks_blocked()
                mock_clock.jump(4.0)
        assert reason_of(results[0]) is Reason.TIMEOUT

    async def test_late_answer_is_dropped_and_counted(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        async with fleet() as made:
            link = await made.add(A)
            await made.add(B)
            echo = made.echoes[B]
            echo.release = trio.Event()
            results: list[Any] = []

            async def record_call() -> None:
                results.append(await link.call(peer=B, message=Ping(number=1), timeout_s=3.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(record_call)
                await echo.arrived.wait()
                mock_clock.jump(4.0)
            assert reason_of(results[0]) is Reason.TIMEOUT
            echo.release.set()
            await until(lambda: link.dropped.late_answers == 1)
            after = await link.call(peer=B, message=Ping(number=2), timeout_s=FAR_S)
        assert after.unwrap().number == 2

    async def test_peer_that_dies_in_a_call_and_comes_back(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        async with fleet() as made:
            link = await made.add(A)
            results: list[Any] = []

            async def record_call() -> None:
                results.append(await link.call(peer=B, message=Ping(number=1), timeout_s=3.0))

            async with trio.open_nursery() as nursery:
                async with trio.open_nursery() as life:
                    first = await made.add(B, nursery=life)
                    made.echoes[B].release = trio.Event()
                    nursery.start_soon(record_call)
                    await made.echoes[B].arrived.wait()
                    life.cancel_scope.cancel()
                mock_clock.jump(4.0)
            await made.add(B, bind=first.address)
            answers = await call_until_answered(link, mock_clock, Ping(number=2))
            totals_before = link.totals
            link.set_peers({})
            assert link.totals == totals_before
        assert reason_of(results[0]) is Reason.TIMEOUT
        assert answers[-1].unwrap().number == 2
        assert totals_before.messages_out == 1 + sent_of(answers)

    async def test_call_into_a_dead_connection_times_out_and_a_later_one_is_answered(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        """A call sent before its connection is known to be dead is lost.

        Only its time-out ends it: a call without one hung for 40 minutes.
        """
        async with fleet() as made, Relay.open() as relay:
            link = await made.add(A)
            async with trio.open_nursery() as life:
                first = await made.add(B, nursery=life)
                relay.target = first.address
                link.set_peers({B: relay.address})
                assert (await link.call(peer=B, message=Ping(), timeout_s=FAR_S)).unwrap()
                relay.is_silent = True
                life.cancel_scope.cancel()
            lost = await call_with_time_passing(link, mock_clock, Ping(number=1))
            made.introduce = lambda: None  # type: ignore[method-assign]
            second = await made.add(B)
            relay.target = second.address
            relay.is_silent = False
            answers = await call_until_answered(link, mock_clock, Ping(number=2))
        assert reason_of(lost) is Reason.TIMEOUT
        assert answers[-1].unwrap().number == 2
        assert (A, 1) not in made.echoes[B].seen

    async def test_ended_link_sends_nothing(self) -> None:
        async with fleet() as made:
            await made.add(B)
            async with trio.open_nursery() as life:
                link = await made.add(A, nursery=life)
                assert (await link.call(peer=B, message=Ping(), timeout_s=FAR_S)).unwrap()
                life.cancel_scope.cancel()
            after = await link.call(peer=B, message=Ping(number=9), timeout_s=FAR_S)
        assert reason_of(after) is Reason.UNREACHABLE
        assert made.echoes[B].seen == [(A, 0)]

    async def test_delay_holds_messages_back(self, mock_clock: trio.testing.MockClock) -> None:
        async with fleet() as made:
            link = await made.add(A, faults=LinkFaults(delay_s_by_peer={B: 2.0}))
            await made.add(B)
            link.send(peer=B, message=Ping(number=1))
            link.send(peer=B, message=Ping(number=2))
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert not made.echoes[B].seen
            mock_clock.jump(2.0)
            await until(lambda: len(made.echoes[B].seen) == 2)
        assert sorted(made.echoes[B].seen) == [(A, 1), (A, 2)]


def keys_of(*hosts: HostId) -> dict[HostId, CurveKeys]:
    pairs = {host: zmq.curve_keypair() for host in hosts}
    allowed = {host: public.decode() for host, (public, _) in pairs.items()}
    return {
        host: CurveKeys(
            public_key=public.decode(),
            secret_key=secret.decode(),
            allowed_by_host_id=dict(allowed),
        )
        for host, (public, secret) in pairs.items()
    }


class TestKeys:
    async def test_right_keys_get_through(self) -> None:
        keys = keys_of(A, B)
        async with fleet() as made:
            link = await made.add(A, curve=keys[A])
            await made.add(B, curve=keys[B])
            result = await link.call(peer=B, message=Ping(number=1), timeout_s=FAR_S)
        assert result == Success(Pong(number=1, sender=A))

    async def test_unlisted_key_is_refused_by_every_host(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        keys, strangers = keys_of(A, B), keys_of(C)
        unlisted_keys = CurveKeys(
            public_key=strangers[C].public_key,
            secret_key=strangers[C].secret_key,
            allowed_by_host_id=keys[A].allowed_by_host_id,
        )
        async with fleet() as made:
            await made.add(A, curve=keys[A])
            await made.add(B, curve=keys[B])
            unlisted_link = await made.add(C, curve=unlisted_keys)
            results: list[Any] = []

            async def record_call(peer: HostId) -> None:
                results.append(await unlisted_link.call(peer=peer, message=Ping(), timeout_s=9.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(record_call, A)
                nursery.start_soon(record_call, B)
                await until(lambda: all(made.links[h].refused_connections for h in (A, B)))
                mock_clock.jump(10.0)
        assert [reason_of(result) for result in results] == [Reason.UNREACHABLE] * 2
        assert not made.echoes[A].seen
        assert not made.echoes[B].seen

    async def test_link_without_a_key_is_refused(self, mock_clock: trio.testing.MockClock) -> None:
        keys = keys_of(A)
        async with fleet() as made:
            await made.add(A, curve=keys[A])
            unlisted_link = await made.add(C)
            results: list[Any] = []

            async def record_call() -> None:
                results.append(await unlisted_link.call(peer=A, message=Ping(), timeout_s=9.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(record_call)
                await trio.testing.wait_all_tasks_blocked(0.05)
                mock_clock.jump(10.0)
        assert reason_of(results[0]) is Reason.UNREACHABLE
        assert not made.echoes[A].seen

    async def test_key_of_one_host_cannot_claim_another(self) -> None:
        keys = keys_of(A, B, C)
        async with fleet() as made:
            target = await made.add(A, curve=keys[A])
            forger = await made.add(B, curve=keys[C])
            forger.send(peer=A, message=Ping(number=1))
            await until(lambda: target.dropped.forged == 1)
        assert not made.echoes[A].seen

    def test_two_hosts_cannot_share_a_key(self) -> None:
        from galenastall.transport.zap_server import ZapServer

        public = zmq.curve_keypair()[0].decode()
        with pytest.raises(ValueError, match="share"):
            ZapServer(context=zmq.Context.instance(), allowed={A: public, B: public})
