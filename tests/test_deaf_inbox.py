"""An inbox that reads nothing any more, on real sockets: its probe and its rebuild."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio
import zmq
from returns.result import Failure, Success

from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.link_repair import LinkRepair
from galenastall.node.cell.loop_lag import LoopLag
from galenastall.protocol.cell.messages import GetLeader, Heartbeat, LeaderAnswer
from galenastall.protocol.cell.ports import LeaderRecord, StoreView
from galenastall.protocol.security import CurveKeys
from galenastall.state.errors import Reason
from galenastall.state.ids import HostId, Incarnation
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport import peer_inbox, peer_link, zmq_sockets
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder
from galenastall.transport.peer_link import ZmqPeerLink

A, B = HostId("entry-a"), HostId("entry-b")
TIMINGS = CellTimings()
LONG_S = 60.0
"""Far more than anything here takes."""


def _link(host: HostId, curve: CurveKeys | None = None) -> ZmqPeerLink:
    return ZmqPeerLink(
        host_id=host, incarnation=Incarnation(f"{host}.1"), clock=TrioClock(), curve=curve
    )


@asynccontextmanager
async def linked_pair() -> AsyncIterator[tuple[ZmqPeerLink, ZmqPeerLink]]:
    with trio.fail_after(LONG_S):
        async with trio.open_nursery() as nursery:
            a, b = _link(A), _link(B)
            for link in (a, b):
                await nursery.start(link.run)
            a.set_peers({B: b.address})
            b.set_peers({A: a.address})
            yield a, b
            nursery.cancel_scope.cancel()


def deafen(link: ZmqPeerLink) -> None:
    """Let the inbox accept connections and read nothing."""
    inbox: Any = link._inbox
    inbox._socket._read_batch = lambda: True


async def probe_deaf(link: ZmqPeerLink) -> Reason:
    """Probe until a connection was made in time; return why the probe failed."""
    while True:
        reason = (await link.probe_inbox(timeout_s=0.2)).failure().reason
        if reason is not Reason.UNREACHABLE:
            return reason


class Answering:
    """Answers a call for the leader once released."""

    def __init__(self) -> None:
        self.asked = trio.Event()
        self.release = trio.Event()

    async def __call__(self, _: HostId, __: GetLeader) -> LeaderAnswer:
        self.asked.set()
        await self.release.wait()
        return LeaderAnswer()


async def call_until_answered(caller: ZmqPeerLink, peer: HostId) -> None:
    while isinstance(await caller.call(peer=peer, message=GetLeader(), timeout_s=0.5), Failure):
        pass


class TestProbe:
    async def test_only_an_inbox_that_is_read_answers(self) -> None:
        async with linked_pair() as (_, link):
            assert await link.probe_inbox(timeout_s=LONG_S) == Success(None)
            deafen(link)
            assert await probe_deaf(link) is Reason.TIMEOUT
            assert await link.rebuild() == Success(None)
            assert await link.probe_inbox(timeout_s=LONG_S) == Success(None)

    @pytest.mark.parametrize("is_allowed", [True, False])
    async def test_an_own_key_that_is_not_listed_is_no_sign_of_deafness(
        self, is_allowed: bool
    ) -> None:
        public, secret = (key.decode() for key in zmq.curve_keypair())
        other = zmq.curve_keypair()[0].decode()
        curve = CurveKeys(
            public_key=public,
            secret_key=secret,
            allowed_by_host_id={A: public if is_allowed else other},
        )
        async with trio.open_nursery() as nursery:
            link = _link(A, curve)
            await nursery.start(link.run)
            result = await link.probe_inbox(timeout_s=LONG_S if is_allowed else 0.3)
            if is_allowed:
                assert result == Success(None)
            else:
                assert result.failure().reason is Reason.UNREACHABLE
            nursery.cancel_scope.cancel()

    async def test_a_message_whose_signal_was_taken_is_read_with_a_probe(self) -> None:
        """A connection that is new gives a signal, so such an inbox needs no rebuild."""
        async with linked_pair() as (other, link):
            answering = Answering()
            link.handle(GetLeader, answering)
            inbox: Any = link._inbox
            other.send(peer=B, message=GetLeader())
            await answering.asked.wait()
            answering.asked = trio.Event()
            other.send(peer=B, message=GetLeader())
            while not inbox._socket._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                time.sleep(0.01)  # noqa: ASYNC251 - the loop must not see the signal
            await trio.sleep(0.1)
            assert not answering.asked.is_set()
            assert await link.probe_inbox(timeout_s=LONG_S) == Success(None)
            await answering.asked.wait()

    async def test_a_link_that_ends_during_a_probe_does_not_hang(self) -> None:
        """A socket that is open when its context is terminated blocks the process for ever."""
        async with linked_pair() as (_, link):
            deafen(link)
            async with trio.open_nursery() as probes:
                for _ in range(3):
                    probes.start_soon(probe_deaf, link)
                await trio.sleep(0.1)
                probes.cancel_scope.cancel()
        async with trio.open_nursery() as nursery:
            link = _link(A)
            await nursery.start(link.run)
            deafen(link)
            nursery.start_soon(probe_deaf, link)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        ended = await link.probe_inbox(timeout_s=LONG_S)
        assert ended.failure().reason is Reason.UNAVAILABLE


class TestRebuild:
    async def test_calls_in_progress_end_as_timeouts_and_later_ones_are_answered(self) -> None:
        async with linked_pair() as (a, b):
            address = b.address
            answering = {A: Answering(), B: Answering()}
            a.handle(GetLeader, answering[A])
            b.handle(GetLeader, answering[B])
            reasons: list[Reason] = []

            async def call(caller: ZmqPeerLink, peer: HostId) -> None:
                answer = await caller.call(peer=peer, message=GetLeader(), timeout_s=2.0)
                reasons.append(answer.failure().reason)

            async with trio.open_nursery() as calls:
                calls.start_soon(call, a, B)
                calls.start_soon(call, b, A)
                for each in answering.values():
                    await each.asked.wait()
                assert await b.rebuild() == Success(None)
                for each in answering.values():
                    each.release.set()
            assert reasons == [Reason.TIMEOUT] * 2
            assert b.address == address
            await call_until_answered(a, B)
            await call_until_answered(b, A)

    async def test_an_address_in_use_for_a_moment_is_bound_later(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        make_router, failures = zmq_sockets.make_router, iter(range(peer_link._BIND_TRIES + 3))

        def make_later(**arguments: Any) -> Any:
            if next(failures, None) is not None:
                raise OSError("bind: address in use")
            return make_router(**arguments)

        async with linked_pair() as (a, b):
            a.handle(GetLeader, Answering())
            answering = Answering()
            answering.release.set()
            b.handle(GetLeader, answering)
            monkeypatch.setattr(peer_inbox, "make_router", make_later)
            assert (await b.rebuild()).failure().reason is Reason.UNAVAILABLE
            closed = await b.probe_inbox(timeout_s=0.1)
            assert closed.failure().reason is Reason.UNREACHABLE
            assert await b.rebuild() == Success(None)
            await call_until_answered(a, B)

    async def test_a_host_that_reads_nothing_hears_its_leader_again(self) -> None:
        recorder = Recorder(process=B, clock=TrioClock(), ring=TimelineRing(capacity=100))
        heard = trio.Event()
        async with linked_pair() as (leader, link), trio.open_nursery() as nursery:
            lag = LoopLag()
            repair = LinkRepair(link=link, timings=TIMINGS, lag=lag, recorder=recorder)

            async def on_heartbeat(_: HostId, __: Heartbeat) -> None:
                heard.set()
                repair.on_heartbeat()

            async def lead() -> None:
                record = LeaderRecord(token=7, host_id=A, address=leader.address)
                beat = Heartbeat(
                    token=7, address=leader.address, confirm_age_s=0.0, config_version=1
                )
                log_end = 0
                while True:
                    log_end += 1
                    leader.send(peer=B, message=beat)
                    repair.on_store_view(StoreView(leader=record, log_end=log_end))
                    await trio.sleep(TIMINGS.heartbeat_interval_s)

            link.handle(Heartbeat, on_heartbeat)
            for task in (lead, repair.run, lag.run):
                nursery.start_soon(task)
            await heard.wait()
            deafen(link)
            heard = trio.Event()
            await heard.wait()
            assert [event.step for event in recorder.ring] == ["host.deaf"]
            nursery.cancel_scope.cancel()
