"""Peer link over ZeroMQ: one ROUTER that peers connect to, one DEALER for each peer called.

Answers return on the connection of their call. A call fails as UNREACHABLE only if it was not
passed to ZeroMQ, which accepts messages only for connected peers; later failures are TIMEOUT or
CUT. Each message is handled in a separate task, so the order of handlers is not guaranteed.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

import trio
import xxhash
import zmq
from returns.result import Failure, Result, Success

from galenastall.coordination.timeline.hybrid_clock import HybridClock
from galenastall.protocol.clock import Clock
from galenastall.protocol.codec import ANSWER_TYPES, decode_message
from galenastall.protocol.peers import PeerHandler
from galenastall.protocol.probe_messages import InboxProbe
from galenastall.protocol.security import CurveKeys
from galenastall.state.decoding import shorten
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId, Incarnation
from galenastall.transport import peer_wire
from galenastall.transport.delay_line import DelayLine
from galenastall.transport.inbox_probe import InboxCall
from galenastall.transport.link_faults import DroppedCounters, LinkCounters, LinkFaults
from galenastall.transport.peer_handlers import ErrorLog, PeerHandlers
from galenastall.transport.peer_inbox import PeerInbox
from galenastall.transport.peer_outbox import PeerOutbox
from galenastall.transport.peer_wire import Envelope
from galenastall.transport.zap_server import ZapServer
from galenastall.transport.zmq_sockets import MAX_MESSAGE_BYTES, Context, make_dealer

M = TypeVar("M")

MAX_CONCURRENT_MESSAGES: Final = 2_000
"""Messages handled concurrently; further calls are answered OVERLOADED."""
_BIND_TRIES: Final = 20
_BIND_EVERY_S: Final = 0.02
_STEP: Final = "peer.call"
_MAX_REPORTED_FORGERIES: Final = 256

OnRejectedPeer = Callable[[str, str], None]
"""Takes the rejected peer (IP address or host id) and the cause; called once for each."""


@dataclass(kw_only=True, slots=True, eq=False)
class _Pending:
    peer: HostId
    done: trio.Event = field(default_factory=trio.Event)
    answer: Envelope | None = None


class ZmqPeerLink:
    """PeerLink of this process; see `protocol.peers.PeerLink`."""

    def __init__(
        self,
        *,
        host_id: HostId,
        incarnation: Incarnation,
        clock: Clock,
        bind: str = "127.0.0.1:0",
        curve: CurveKeys | None = None,
        faults: LinkFaults | None = None,
        hybrid: HybridClock | None = None,
        log_error: ErrorLog | None = None,
        on_rejected_peer: OnRejectedPeer = lambda _peer, _why: None,
    ) -> None:
        """Prepare the link; `run` binds it. With `curve`, only hosts with listed keys may connect.

        `hybrid` should be the clock of the process's events: messages carry its time.
        """
        self._host_id = host_id
        self._digest = peer_wire.host_digest(host_id)
        self._bind = bind
        self._curve = curve
        self._faults = faults or LinkFaults()
        self._on_rejected_peer = on_rejected_peer
        self._reported_forgeries: set[tuple[str, str]] = set()
        self._clock = clock
        self._hybrid = hybrid or HybridClock()
        self._handlers = PeerHandlers(host_id=host_id, log_error=log_error)
        self._handlers.add(InboxProbe, _answer_probe)
        self._addresses_by_id: dict[HostId, str] = {}
        self._unusable_by_id: dict[HostId, str] = {}
        """Addresses that can't be connected to, and have been reported."""
        self._outboxes_by_id: dict[HostId, PeerOutbox] = {}
        self._pending_by_id: dict[int, _Pending] = {}
        # Ids differ between incarnations of a process, so that logs can distinguish their calls.
        first = xxhash.xxh32_intdigest(incarnation.encode()) << 24
        self._correlation_ids = itertools.count(first + 1)
        self._delays = DelayLine()
        self._in_progress = 0
        self._context: Context | None = None
        self._nursery: trio.Nursery | None = None
        self._inbox: PeerInbox | None = None
        self._zap: ZapServer | None = None
        self.counters_by_id: defaultdict[HostId, LinkCounters] = defaultdict(LinkCounters)
        """Messages and bytes by peer."""
        self._removed_counters = LinkCounters()
        self.dropped = DroppedCounters()
        """Counters of dropped messages."""

    @property
    def host_id(self) -> HostId:
        """This entry host."""
        return self._host_id

    @property
    def address(self) -> str:
        """Actual `IP:port` bound; empty before `run` has started."""
        return self._inbox.address if self._inbox else ""

    @property
    def totals(self) -> LinkCounters:
        """Messages and bytes to and from all peers since the start, removed peers included."""
        totals = LinkCounters()
        totals.add(self._removed_counters)
        for counters in self.counters_by_id.values():
            totals.add(counters)
        return totals

    @property
    def refused_connections(self) -> int:
        """Connections refused for an unknown key."""
        return self._zap.refused if self._zap else 0

    @property
    def refused_by_peer(self) -> dict[tuple[str, str], int]:
        """The same by IP address and public key of the peer."""
        return dict(self._zap.refused_by_peer) if self._zap else {}

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        """Replace the known addresses; a peer is connected to when first called."""
        self._addresses_by_id = dict(addresses_by_id)
        for peer, outbox in list(self._outboxes_by_id.items()):
            if addresses_by_id.get(peer) != outbox.address:
                del self._outboxes_by_id[peer]
                outbox.close()
        for gone in self.counters_by_id.keys() - addresses_by_id.keys():
            self._removed_counters.add(self.counters_by_id.pop(gone))

    def set_allowed_keys(self, allowed_by_host_id: dict[HostId, str]) -> None:
        """Replace the list of public keys; established connections stay open."""
        if self._curve is None or self._zap is None:
            raise ValueError("this link runs without CURVE keys")
        self._zap.set_allowed(allowed_by_host_id)
        self._curve.allowed_by_host_id.clear()
        self._curve.allowed_by_host_id.update(allowed_by_host_id)

    def handle(self, message_type: type[M], handler: PeerHandler) -> None:
        """Route messages of this type to `handler`; raises ValueError if one is set."""
        self._handlers.add(message_type, handler)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Bind and serve until cancelled; reports started once peers can connect."""
        context: Context = zmq.Context()
        try:
            async with trio.open_nursery() as nursery:
                if self._curve is not None:
                    self._zap = ZapServer(
                        context=context,
                        allowed=self._curve.allowed_by_host_id,
                        on_refused=self._on_refused_key,
                    )
                    await nursery.start(self._zap.run)
                self._inbox = self._make_inbox(context, self._bind)
                self._context, self._nursery = context, nursery
                nursery.start_soon(self._inbox.run)
                nursery.start_soon(self._delays.run)
                task_status.started()
        finally:
            self._nursery = None
            self._outboxes_by_id.clear()
            context.term()

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        """Send and wait for the typed answer; see `protocol.peers.PeerLink` for the errors."""
        if peer == self._host_id:
            return await self._call_locally(message, timeout_s)
        outbox = self._outbox_of(peer)
        if outbox is None:
            return _failure(peer, Reason.UNREACHABLE, "unknown, not allowed or isolated")
        correlation_id = next(self._correlation_ids)
        frame = self._request_frame(peer_wire.CALL, correlation_id, peer, message)
        if len(frame) > MAX_MESSAGE_BYTES:
            return _failure(peer, Reason.INVALID, f"message of {len(frame)} bytes is too large")
        answer = await self._exchange(outbox, peer, correlation_id, frame, timeout_s)
        if isinstance(answer, Failure):
            return answer
        wanted = ANSWER_TYPES.get(type(message))
        return peer_wire.decode_answer(answer.unwrap(), peer=peer, wanted=wanted)

    def send(self, *, peer: HostId, message: object) -> None:
        """Send a one-way message; it is lost silently if the peer can't be reached."""
        if peer == self._host_id:
            if self._nursery is not None:
                self._nursery.start_soon(self._handle, None, peer, 0, message)
            return
        outbox = self._outbox_of(peer)
        if outbox is None:
            return
        frame = self._request_frame(peer_wire.ONE_WAY, 0, peer, message)
        if len(frame) <= MAX_MESSAGE_BYTES:
            self._send_with_faults(peer, lambda: outbox.send_or_queue(frame))

    async def probe_inbox(self, *, timeout_s: float) -> Result[None, StepError]:
        """Call the own inbox over a connection; see `protocol.peers.RepairableLink`."""
        if self._context is None or self._nursery is None:
            return _failure(self._host_id, Reason.UNAVAILABLE, "the link does not run")
        call = InboxCall(
            context=self._context,
            nursery=self._nursery,
            address=self.address,
            curve=self._curve,
            clock=self._clock,
        )
        correlation_id = next(self._correlation_ids)
        frame = self._request_frame(peer_wire.CALL, correlation_id, self._host_id, InboxProbe())
        return await call.run(frame, timeout_s=timeout_s)

    async def rebuild(self) -> Result[None, StepError]:
        """Close all sockets and bind the address again; see `protocol.peers.RepairableLink`."""
        for outbox in self._outboxes_by_id.values():
            outbox.close()
        self._outboxes_by_id.clear()
        if self._inbox is not None:
            self._inbox.stop()
        failure: OSError | zmq.ZMQError | None = None
        for _ in range(_BIND_TRIES):
            # The address becomes free only after the old socket's I/O thread has closed it.
            await trio.sleep(_BIND_EVERY_S)
            if self._context is None or self._nursery is None:
                return _failure(self._host_id, Reason.UNAVAILABLE, "the link does not run")
            try:
                self._start_inbox(self._context, self._nursery)
            except (OSError, zmq.ZMQError) as error:
                failure = error
            else:
                return Success(None)
        return _failure(self._host_id, Reason.UNAVAILABLE, str(failure))

    def _start_inbox(self, context: Context, nursery: trio.Nursery) -> None:
        inbox = self._make_inbox(context, self.address)
        try:
            nursery.start_soon(inbox.run)
        except RuntimeError:
            # The link has ended; a socket left open would block the termination of its context.
            inbox.close()
            return
        self._inbox = inbox

    def _make_inbox(self, context: Context, bind: str) -> PeerInbox:
        return PeerInbox(
            context=context,
            bind=bind,
            curve=self._curve,
            counters_by_id=self.counters_by_id,
            dropped=self.dropped,
            on_request=self._on_request,
            on_forged=self._on_forged,
        )

    async def _exchange(
        self, outbox: PeerOutbox, peer: HostId, correlation_id: int, frame: bytes, timeout_s: float
    ) -> Result[Envelope, StepError]:
        pending = self._pending_by_id[correlation_id] = _Pending(peer=peer)
        is_sent = False
        try:
            with trio.move_on_after(timeout_s):
                is_sent = await self._enqueue(outbox, peer, frame)
                if is_sent:
                    await pending.done.wait()
        finally:
            del self._pending_by_id[correlation_id]
        if pending.answer is not None:
            return Success(pending.answer)
        if not is_sent:
            return _failure(peer, Reason.UNREACHABLE, "not connected, or its queue is full")
        return _failure(peer, Reason.TIMEOUT, f"no answer in {timeout_s:g} s")

    async def _enqueue(self, outbox: PeerOutbox, peer: HostId, frame: bytes) -> bool:
        if peer in self._faults.lossy or peer in self._faults.delay_s_by_peer:
            self._send_with_faults(peer, lambda: outbox.send_or_queue(frame))
            return True
        while not outbox.try_send(frame):
            if outbox.is_closed:
                return False
            await outbox.wait_writable()
        return True

    def _send_with_faults(self, peer: HostId, send: Callable[[], object]) -> None:
        """Send, delay or drop, according to the injected faults."""
        if peer in self._faults.lossy or peer in self._faults.cut:
            return
        delay_s = self._faults.delay_s_by_peer.get(peer, 0.0)
        if delay_s > 0:
            self._delays.add(delay_s, send)
        else:
            send()

    def _request_frame(
        self, kind: int, correlation_id: int, peer: HostId, message: object
    ) -> bytes:
        return peer_wire.encode_request(
            kind=kind,
            correlation_id=correlation_id,
            sender=self._host_id,
            target=peer_wire.host_digest(peer),
            message=message,
            at=self._hybrid.tick(self._clock.wall()),
        )

    def _outbox_of(self, peer: HostId) -> PeerOutbox | None:
        if peer in self._faults.cut:
            return None
        outbox = self._outboxes_by_id.get(peer)
        return outbox if outbox is not None else self._connect(peer)

    def _connect(self, peer: HostId) -> PeerOutbox | None:
        address = self._addresses_by_id.get(peer)
        if address is None or self._nursery is None or self._context is None:
            return None
        server_key = ""
        if self._curve is not None:
            server_key = self._curve.allowed_by_host_id.get(peer, "")
            if not server_key:
                return None
        try:
            socket = make_dealer(
                context=self._context, address=address, curve=self._curve, server_key=server_key
            )
        except ValueError as error:
            self._on_unusable_address(peer, address, str(error))
            return None
        outbox = PeerOutbox(
            address=address,
            socket=socket,
            counters=self.counters_by_id[peer],
            dropped=self.dropped,
            clock=self._clock,
            on_frame=lambda frame: self._on_answer(peer, frame),
        )
        try:
            self._nursery.start_soon(outbox.run)
        except RuntimeError:
            # The link has ended; a socket left open would block the termination of its context.
            socket.close(linger=0)
            return None
        self._outboxes_by_id[peer] = outbox
        return outbox

    def _on_unusable_address(self, peer: HostId, address: str, cause: str) -> None:
        if self._unusable_by_id.get(peer) != address:
            self._unusable_by_id[peer] = address
            self._on_rejected_peer(peer, f"address {shorten(address)!r}: {cause}")

    def _on_refused_key(self, address: str, key: str) -> None:
        self._on_rejected_peer(address, f"public key {key} is not allowed")

    def _on_forged(self, claimed: str, authenticated: str) -> None:
        if (claimed, authenticated) in self._reported_forgeries or len(
            self._reported_forgeries
        ) >= _MAX_REPORTED_FORGERIES:
            return
        self._reported_forgeries.add((claimed, authenticated))
        self._on_rejected_peer(
            authenticated, f"its key is that of {authenticated!r}, but it claims {claimed!r}"
        )

    def _on_answer(self, peer: HostId, frame: bytes) -> None:
        envelope = peer_wire.decode_envelope(frame)
        if envelope is None:
            self.dropped.malformed += 1
            return
        if peer in self._faults.cut:
            return
        pending = self._pending_by_id.get(envelope.correlation_id)
        if pending is None or pending.peer != peer or pending.answer is not None:
            self.dropped.late_answers += 1
            return
        self._observe(envelope)
        pending.answer = envelope
        pending.done.set()

    def _on_request(self, return_route: bytes, sender: HostId, envelope: Envelope) -> None:
        if sender in self._faults.cut or self._nursery is None:
            return
        if envelope.target != self._digest:
            self.dropped.misdirected += 1
            detail = f"this address belongs to {self._host_id}"
            self._refuse(return_route, sender, envelope, Reason.REFUSED, detail)
            return
        if self._in_progress >= MAX_CONCURRENT_MESSAGES:
            self.dropped.overloaded += 1
            self._refuse(
                return_route, sender, envelope, Reason.OVERLOADED, "too many messages at once"
            )
            return
        self._observe(envelope)
        message = decode_message(envelope.name, bytes(envelope.body), peer=sender)
        if isinstance(message, Failure):
            self.dropped.malformed += 1
            detail = message.failure().detail
            self._refuse(return_route, sender, envelope, Reason.INVALID, detail)
            return
        call_route = return_route if envelope.kind == peer_wire.CALL else None
        self._in_progress += 1
        self._nursery.start_soon(
            self._handle_remote, call_route, sender, envelope.correlation_id, message.unwrap()
        )

    def _observe(self, envelope: Envelope) -> None:
        self._hybrid.observe(envelope.wall_ms, envelope.counter, wall_s=self._clock.wall())

    def _refuse(
        self, return_route: bytes, sender: HostId, envelope: Envelope, reason: Reason, detail: str
    ) -> None:
        if envelope.kind == peer_wire.CALL:
            error = self._handlers.error(reason, detail)
            self._answer(return_route, sender, envelope.correlation_id, error)

    async def _handle_remote(
        self, return_route: bytes | None, sender: HostId, correlation_id: int, message: Any
    ) -> None:
        try:
            await self._handle(return_route, sender, correlation_id, message)
        finally:
            self._in_progress -= 1

    async def _handle(
        self, return_route: bytes | None, sender: HostId, correlation_id: int, message: Any
    ) -> None:
        answer = await self._handlers.dispatch(sender, message)
        if return_route is not None:
            self._answer(return_route, sender, correlation_id, answer)

    def _answer(
        self, return_route: bytes, caller: HostId, correlation_id: int, answer: Any
    ) -> None:
        at = self._hybrid.tick(self._clock.wall())
        try:
            frame = peer_wire.encode_answer(correlation_id=correlation_id, answer=answer, at=at)
        except Exception as unexpected:
            fault = self._handlers.fault(type(answer).__name__, unexpected)
            frame = peer_wire.encode_answer(correlation_id=correlation_id, answer=fault)
        if len(frame) > MAX_MESSAGE_BYTES:
            detail = f"answer of {len(frame)} bytes is too large"
            error = self._handlers.error(Reason.CUT, detail)
            frame = peer_wire.encode_answer(correlation_id=correlation_id, answer=error)
        inbox = self._inbox
        assert inbox is not None, "requests come only from the inbox"
        self._send_with_faults(caller, lambda: inbox.answer(return_route, caller, frame))

    async def _call_locally(self, message: object, timeout_s: float) -> Result[Any, StepError]:
        with trio.move_on_after(timeout_s):
            answer = await self._handlers.dispatch(self._host_id, message)
            if isinstance(answer, (Success, Failure)):
                return answer
            return Failure(answer) if isinstance(answer, StepError) else Success(answer)
        return _failure(self._host_id, Reason.TIMEOUT, f"no answer in {timeout_s:g} s")


async def _answer_probe(_: HostId, __: InboxProbe) -> None:
    return None


def _failure(peer: HostId, reason: Reason, detail: str) -> Result[Any, StepError]:
    return Failure(StepError(step=_STEP, peer=peer, reason=reason, detail=detail))
