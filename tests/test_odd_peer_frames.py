"""Frames of peers: whatever bytes they hold, they end no more than their own message."""

import random
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final

import msgspec
import pytest
import trio
import zmq
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from galenastall.coordination.timeline.hybrid_clock import HybridClock
from galenastall.protocol.cell.messages import (
    CachedAdvice,
    ConfigPart,
    CountPending,
    GetConfigPart,
    GetJob,
    Heartbeat,
    Hello,
    LeaderAnswer,
    RecoveredAdvice,
    TakeOver,
)
from galenastall.protocol.codec import ANSWER_TYPES, PEER_MESSAGES, decode_message, encode_message
from galenastall.state.cell.jobs import StepKey
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId, Incarnation
from galenastall.transport import peer_wire
from galenastall.transport.clock import TrioClock
from galenastall.transport.peer_link import ZmqPeerLink
from odd_values import ODD_MSGPACK, replaced_in_message

A, B, ODD = HostId("entry-a"), HostId("entry-b"), HostId("odd")
FAR_S: Final = 1000.0
ENVELOPE: Final[list[Any]] = [1, 7, "peer", 3, "test.odd_ping", {"number": 1}, 5, 6]
ERROR: Final[dict[str, Any]] = {
    "step": "a.b",
    "peer": "",
    "reason": "cut",
    "detail": "",
    "retry_after_s": 1.0,
}


@PEER_MESSAGES.register("test.odd_ping")
@dataclass(frozen=True, kw_only=True, slots=True)
class OddPing:
    number: int = 0


ANSWER_TYPES[OddPing] = OddPing


@PEER_MESSAGES.register("test.unsendable")
@dataclass(frozen=True, kw_only=True, slots=True)
class Unsendable:
    number: int


def check_envelope(frame: bytes, name: str = "") -> None:
    envelope = peer_wire.decode_envelope(frame)
    if envelope is None:
        return
    assert msgspec.msgpack.encode(envelope), name
    clock = HybridClock()
    clock.observe(envelope.wall_ms, envelope.counter, wall_s=1.0)
    assert msgspec.msgpack.encode(clock.tick(0.0)), name
    for kind in (peer_wire.ANSWER, peer_wire.ERROR, envelope.kind):
        answer = msgspec.structs.replace(envelope, kind=kind)
        found = peer_wire.decode_answer(answer, peer=B)
        if isinstance(found, Failure):
            wait_s = found.failure().retry_after_s
            assert wait_s is None or 0 <= int(wait_s) < 2**54, name


class TestFrames:
    @given(st.binary(max_size=300))
    def test_any_bytes_are_a_frame_or_none(self, frame: bytes) -> None:
        check_envelope(frame)

    def test_an_odd_field_of_a_frame_is_usable_or_none(self) -> None:
        for name, frame in replaced_in_message(ENVELOPE):
            check_envelope(frame, name)

    def test_an_odd_error_is_usable_or_cut(self) -> None:
        for name, body in replaced_in_message(ERROR):
            envelope = peer_wire.Envelope(peer_wire.ERROR, 1, body=msgspec.Raw(body))
            found = peer_wire.decode_answer(envelope, peer=B).failure()
            wait_s = found.retry_after_s
            assert wait_s is None or 0 <= int(wait_s) < 2**54, name


CELL_MESSAGES: Final[tuple[Any, ...]] = (
    Hello(address="10.0.0.1:1", weight=1.0, uptime_s=2.0),
    Heartbeat(
        token=3,
        address="10.0.0.1:1",
        confirm_age_s=0.5,
        config_version=4,
        addresses_by_host={"a": "10.0.0.1:1"},
        heaviest=1.0,
    ),
    TakeOver(token=3),
    LeaderAnswer(token=3, host_id="a", address="10.0.0.1:1"),
    GetJob(job_id="ab", patience_s=1.0),
    CountPending(queue_name="q"),
    GetConfigPart(known_version=3),
    ConfigPart(version=3, digest="x", size=4, data=b"abcd"),
    RecoveredAdvice(
        answers=(
            CachedAdvice(
                step=StepKey(job="ab", occurrence=0, step=0),
                executor_ids=("e",),
                approved=(),
                good_for_s=-1.0,
            ),
        )
    ),
)


def numbers_in(value: Any) -> Iterator[int | float]:
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield value
    inner: Any = value if isinstance(value, list) else ()
    for each in value.values() if isinstance(value, dict) else inner:
        yield from numbers_in(each)


class TestCellMessages:
    @pytest.mark.parametrize("message", CELL_MESSAGES, ids=lambda message: type(message).__name__)
    def test_an_odd_field_is_bounded_or_an_error(self, message: Any) -> None:
        name, body = encode_message(message)
        assert decode_message(name, body, peer="p") == Success(message)
        for shown, odd in replaced_in_message(msgspec.msgpack.decode(body)):
            found = decode_message(name, odd, peer="p")
            if isinstance(found, Failure):
                continue
            for number in numbers_in(msgspec.to_builtins(found.unwrap())):
                assert abs(number) <= 2**53, shown


class OddPeer:
    """Sends any bytes to a link, as a peer without this program might."""

    def __init__(self, address: str) -> None:
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._socket = self._context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 1000)
        self._socket.connect(f"tcp://{address}")

    def send(self, *frames: bytes) -> None:
        self._socket.send_multipart(list(frames))

    def __enter__(self) -> "OddPeer":
        return self

    def __exit__(self, *_: object) -> None:
        self._context.destroy(linger=0)


class OddLink:
    """A link with a peer that sends odd frames and one that is sound."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.errors: list[tuple[StepError, BaseException]] = []
        self.rejected: list[tuple[str, str]] = []
        self.link = self._make(A)
        self.other = self._make(B)
        self._nursery = nursery

    def _make(self, host: HostId) -> ZmqPeerLink:
        link = ZmqPeerLink(
            host_id=host,
            incarnation=Incarnation(f"{host}.1"),
            clock=TrioClock(),
            log_error=lambda error, exception: self.errors.append((error, exception)),
            on_rejected_peer=lambda peer, cause: self.rejected.append((peer, cause)),
        )
        link.handle(OddPing, self._on_ping)
        return link

    async def _on_ping(self, _: HostId, message: OddPing) -> Any:
        if message.number == 12:
            return None
        if message.number == 11:
            return Unsendable(number=1)
        if message.number == 13:
            return Unsendable(number=2**70)
        return message

    async def start(self) -> None:
        for link in (self.link, self.other):
            await self._nursery.start(link.run)
        for link in (self.link, self.other):
            link.set_peers({A: self.link.address, B: self.other.address})

    @property
    def received(self) -> int:
        """Messages of the odd peer that were valid frames."""
        return self.link.counters_by_id[ODD].messages_in

    async def check_is_serving(self) -> None:
        """The link serves and calls a sound peer."""
        for link, peer in ((self.other, A), (self.link, B)):
            answer = await link.call(peer=peer, message=OddPing(number=1), timeout_s=FAR_S)
            assert answer == Success(OddPing(number=1))


@asynccontextmanager
async def odd_link() -> AsyncIterator[OddLink]:
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            made = OddLink(nursery)
            await made.start()
            yield made
            nursery.cancel_scope.cancel()


def frame_of(message: object, **changed: Any) -> bytes:
    name, body = encode_message(message)
    fields = {
        "kind": peer_wire.CALL,
        "correlation_id": 1,
        "sender": ODD,
        "target": peer_wire.host_digest(A),
        "name": name,
        "body": msgspec.Raw(body),
        **changed,
    }
    return msgspec.msgpack.encode(peer_wire.Envelope(**fields))


class TestOverSockets:
    async def test_odd_frames_do_not_end_the_link(self) -> None:
        async with odd_link() as made:
            with OddPeer(made.link.address) as peer:
                draw = random.Random(1)
                frames = [frame for _, frame in replaced_in_message(ENVELOPE)]
                frames += [draw.randbytes(draw.randrange(200)) for _ in range(200)]
                bodies = [b"\x81\xa6number" + value for value in ODD_MSGPACK.values()]
                frames += [
                    frame_of(OddPing(), body=msgspec.Raw(body)) for body in bodies if len(body) > 8
                ]
                for frame in frames:
                    peer.send(frame)
                peer.send(b"", b"", b"")
                peer.send(frame_of(OddPing(number=5)))
                while made.received < 1:  # noqa: ASYNC110 - counters have no event
                    await trio.sleep(0.01)
                await made.check_is_serving()
                assert made.link.dropped.malformed > 100

    @pytest.mark.parametrize("number", [11, 12])
    async def test_an_answer_of_another_type_is_cut(self, number: int) -> None:
        async with odd_link() as made:
            answer = await made.other.call(peer=A, message=OddPing(number=number), timeout_s=FAR_S)
            assert answer.failure().reason is Reason.CUT

    async def test_an_answer_that_cannot_be_sent_fails_its_call_alone(self) -> None:
        async with odd_link() as made:
            answer = await made.other.call(peer=A, message=OddPing(number=13), timeout_s=FAR_S)
            assert answer.failure().reason is Reason.CUT
            await made.check_is_serving()
        assert [type(exception) for _, exception in made.errors] == [OverflowError]

    async def test_a_counter_near_its_limit_does_not_stop_later_messages(self) -> None:
        async with odd_link() as made:
            with OddPeer(made.link.address) as peer:
                now_ms = int(TrioClock().wall() * 1000)
                envelope = peer_wire.Envelope(
                    peer_wire.CALL, 1, ODD, peer_wire.host_digest(A), "test.odd_ping"
                )
                for counter in (2**64 - 1, 2**63, 2**53):
                    odd = msgspec.structs.replace(
                        envelope,
                        wall_ms=now_ms + 30_000,
                        counter=counter,
                        body=msgspec.Raw(b"\x80"),
                    )
                    peer.send(msgspec.msgpack.encode(odd))
                while made.received < 3:  # noqa: ASYNC110 - counters have no event
                    await trio.sleep(0.01)
                await made.check_is_serving()


ODD_ADDRESSES: Final = (
    "",
    "nowhere",
    "*:1",
    "10.0.0.1:" + "9" * 5_000,
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "0.0.0.0:80",
    "a\0b:1",
    "10.0.0.1:80;10.0.0.2:90",
    "name.example:80",
    "\u0661:\u0661",
)


class TestAddresses:
    @pytest.mark.parametrize("address", ODD_ADDRESSES)
    async def test_a_peer_at_an_odd_address_is_unreachable_and_others_are_called(
        self, address: str
    ) -> None:
        async with odd_link() as made:
            made.link.set_peers({ODD: address, B: made.other.address})
            for _ in range(2):
                answer = await made.link.call(peer=ODD, message=OddPing(), timeout_s=FAR_S)
                assert answer.failure().reason is Reason.UNREACHABLE
                made.link.send(peer=ODD, message=OddPing())
            await made.check_is_serving()
        assert [peer for peer, _ in made.rejected] == [ODD]
