"""Messages that wait unread because another use of their socket took the descriptor's signal.

A host that woke from a freeze answered callers that had connected anew meanwhile. Such a send fails
and takes the signal of a message that has arrived; the inbox then waited for a signal that did not
come again, so the host heard no leader any more.
"""

import os
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Any

import pytest
import trio
import trio.testing
import zmq
from hypothesis import given
from hypothesis import strategies as st

from galenastall.protocol.cell.messages import GetLeader
from galenastall.state.errors import Reason
from galenastall.state.ids import HostId, Incarnation
from galenastall.transport.clock import TrioClock
from galenastall.transport.link_faults import DroppedCounters, LinkCounters
from galenastall.transport.peer_inbox import PeerInbox
from galenastall.transport.peer_link import ZmqPeerLink
from galenastall.transport.peer_outbox import PeerOutbox
from galenastall.transport.polled_socket import READ_BATCH, PolledSocket
from galenastall.transport.zmq_sockets import bound_address, make_dealer

ARRIVES_S = 0.1
"""Time within which a local connection or message has arrived at the other socket."""


class FakeSocket:
    """An edge-triggered socket: each use of it processes what has arrived and takes the signal."""

    def __init__(self) -> None:
        self._readable, self._signal = os.pipe()
        os.set_blocking(self._readable, False)
        self.unprocessed: list[bytes] = []
        self.pending: list[bytes] = []
        self.is_connected = False
        self.sent: list[list[bytes]] = []
        self.closed = False

    def arrive(self, *messages: bytes) -> None:
        self.unprocessed += messages
        os.write(self._signal, b"!")

    def connect(self, is_connected: bool) -> None:
        self.is_connected = is_connected
        os.write(self._signal, b"!")

    def _process(self) -> None:
        with suppress(BlockingIOError):
            os.read(self._readable, 1_000)
        self.pending += self.unprocessed
        self.unprocessed.clear()

    def getsockopt(self, option: int) -> int:
        if option == zmq.FD:
            return self._readable
        self._process()
        can_send = zmq.POLLOUT if self.is_connected else 0
        return can_send | (zmq.POLLIN if self.pending else 0)

    def send_multipart(self, frames: list[bytes], flags: int) -> None:
        self._process()
        if not self.is_connected:
            raise zmq.Again
        self.sent.append(frames)

    def recv_multipart(self, flags: int, *, copy: bool) -> list[bytes]:
        self._process()
        return [self.pending.pop(0)]

    def close(self) -> None:
        self.closed = True
        os.close(self._readable)
        os.close(self._signal)


class Rig:
    """A polled socket that answers each tenth message from within its callback."""

    def __init__(self) -> None:
        self.socket = FakeSocket()
        self.received: list[bytes] = []
        self.writable_calls = 0
        self.polled = PolledSocket(
            socket=self.socket,  # type: ignore[arg-type]
            on_message=self._on_message,
            on_writable=self._on_writable,
        )

    def _on_message(self, frames: list[bytes]) -> None:
        self.received += frames
        if len(self.received) % 10 == 0:
            self.polled.send([b"answer"])

    def _on_writable(self) -> None:
        self.writable_calls += 1
        self.polled.send([b"waiting"])


OPERATIONS = st.lists(
    st.sampled_from(["arrive", "burst", "send", "connect", "disconnect", "request", "idle"]),
    max_size=20,
)


class TestPolledSocket:
    @given(operations=OPERATIONS)
    def test_nothing_waits_while_the_loop_is_idle(self, operations: list[str]) -> None:
        async def run() -> None:
            rig = Rig()
            arrived = 0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(rig.polled.run)
                for operation in operations:
                    match operation:
                        case "arrive" | "burst":
                            count = 1 if operation == "arrive" else 3 * READ_BATCH
                            rig.socket.arrive(*[b"m"] * count)
                            arrived += count
                        case "send":
                            rig.polled.send([b"s"])
                        case "connect" | "disconnect":
                            rig.socket.connect(operation == "connect")
                        case "request":
                            rig.polled.request_writable()
                        case "idle":
                            await trio.testing.wait_all_tasks_blocked()
                await trio.testing.wait_all_tasks_blocked()
                assert len(rig.received) == arrived
                nursery.cancel_scope.cancel()

        trio.run(run)

    @pytest.mark.parametrize("is_signalled_by_a_send", [False, True])
    async def test_a_request_is_answered_once_the_socket_takes_messages(
        self, is_signalled_by_a_send: bool
    ) -> None:
        rig = Rig()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.polled.run)
            rig.polled.request_writable()
            await trio.testing.wait_all_tasks_blocked()
            assert rig.writable_calls == 0
            rig.socket.connect(True)
            if is_signalled_by_a_send:
                rig.polled.send([b"first"])
            await trio.testing.wait_all_tasks_blocked()
            assert rig.writable_calls == 1
            nursery.cancel_scope.cancel()

    async def test_one_use_reads_no_more_than_a_batch(self) -> None:
        """Other tasks have their turn while a peer floods the socket."""
        rig = Rig()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rig.polled.run)
            await trio.testing.wait_all_tasks_blocked()
            rig.socket.arrive(*[b"m"] * (3 * READ_BATCH))
            rig.polled.send([b"s"])
            assert len(rig.received) == READ_BATCH
            await trio.testing.wait_all_tasks_blocked()
            assert len(rig.received) == 3 * READ_BATCH
            nursery.cancel_scope.cancel()


@contextmanager
def context() -> Iterator[Any]:
    created: Any = zmq.Context()
    try:
        yield created
    finally:
        created.destroy(linger=0)


class TestRealSockets:
    """A message arrives, and another use of the socket takes its signal before the loop sees it."""

    async def test_a_message_beside_an_answer_that_fails_is_read(self) -> None:
        """A caller has connected anew, and its old connection is answered while a message comes."""
        dropped = DroppedCounters()
        with context() as ours, context() as theirs:
            inbox = PeerInbox(
                context=ours,
                bind="127.0.0.1:0",
                curve=None,
                counters_by_id=defaultdict(LinkCounters),
                dropped=dropped,
                on_request=lambda *_: None,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(inbox.run)
                before, after = (theirs.socket(zmq.DEALER) for _ in range(2))
                for route, dealer in ((b"before", before), (b"after", after)):
                    dealer.setsockopt(zmq.ROUTING_ID, route)
                    dealer.connect(f"tcp://{inbox.address}")
                    dealer.send(b"is counted as malformed")
                await trio.sleep(ARRIVES_S)
                before.close(linger=0)
                await trio.sleep(ARRIVES_S)
                after.send(b"is counted too")
                time.sleep(ARRIVES_S)  # noqa: ASYNC251 - the loop must not see the signal
                inbox.answer(b"before", HostId("entry-b"), b"answer")
                assert dropped.unsent_answers == 1
                await trio.sleep(ARRIVES_S)
                assert dropped.malformed == 3
                after.close(linger=0)
                nursery.cancel_scope.cancel()

    async def test_an_answer_beside_a_call_that_fails_is_read(self) -> None:
        """A peer reads no calls any more, so that the queue to it is full, and answers one."""
        answers: list[bytes] = []
        with context() as ours, context() as theirs:
            router = theirs.socket(zmq.ROUTER)
            router.setsockopt(zmq.RCVHWM, 1)
            router.bind("tcp://127.0.0.1:0")
            address = bound_address(router)
            outbox = PeerOutbox(
                address=address,
                socket=make_dealer(context=ours, address=address, curve=None, server_key=""),
                counters=LinkCounters(),
                dropped=DroppedCounters(),
                clock=TrioClock(),
                on_frame=answers.append,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(outbox.run)
                await trio.sleep(ARRIVES_S)
                assert outbox.try_send(b"call")
                await trio.sleep(ARRIVES_S)
                route, _ = router.recv_multipart(zmq.NOBLOCK)
                for _ in range(3):
                    while outbox.try_send(bytes(16_000)):
                        pass
                    await trio.sleep(ARRIVES_S)
                router.send_multipart([route, b"answer"])
                time.sleep(ARRIVES_S)  # noqa: ASYNC251 - the loop must not see the signal
                assert not outbox.try_send(b"next call")
                await trio.sleep(ARRIVES_S)
                assert answers == [b"answer"]
                router.close(linger=0)
                nursery.cancel_scope.cancel()

    async def test_refusals_of_many_calls_at_once_do_not_nest(self) -> None:
        """Each refusal, sent while a call was read, read the next call: the stack ran out."""
        refused: list[Reason] = []
        callee, caller = (
            ZmqPeerLink(host_id=HostId(name), incarnation=Incarnation(name), clock=TrioClock())
            for name in ("entry-a", "entry-b")
        )
        other = HostId("entry-c")

        async def call() -> None:
            answer = await caller.call(peer=other, message=GetLeader(), timeout_s=5.0)
            refused.append(answer.failure().reason)

        async with trio.open_nursery() as nursery:
            await nursery.start(callee.run)
            await nursery.start(caller.run)
            caller.set_peers({other: callee.address})
            await call()
            async with trio.open_nursery() as calls:
                for _ in range(900):
                    calls.start_soon(call)
                await trio.sleep(0.0)
                time.sleep(ARRIVES_S)  # noqa: ASYNC251 - all calls arrive before any is read
            assert refused == [Reason.REFUSED] * 901
            nursery.cancel_scope.cancel()
