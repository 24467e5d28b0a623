"""Calls the inbox of this process over a connection of its own, as a peer would."""

from typing import Final

import trio
import zmq
from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.security import CurveKeys
from galenastall.state.errors import Reason, StepError
from galenastall.transport.link_faults import DroppedCounters, LinkCounters
from galenastall.transport.peer_outbox import PeerOutbox
from galenastall.transport.zmq_sockets import Context, make_dealer

_STEP: Final = "peer.probe"
_LOOPBACK_BY_WILDCARD: Final = {"0.0.0.0": "127.0.0.1", "[::]": "[::1]"}


class InboxCall:
    """One call; its frames are in no counter of a peer."""

    def __init__(
        self,
        *,
        context: Context,
        nursery: trio.Nursery,
        address: str,
        curve: CurveKeys | None,
        clock: Clock,
    ) -> None:
        """`address` is the `IP:port` that the inbox is bound to.

        `nursery` has to end before `context` is terminated, which waits for all its sockets.
        """
        self._context = context
        self._nursery = nursery
        self._address = _local_address(address)
        self._curve = curve
        self._clock = clock
        self._answered = trio.Event()

    async def run(self, frame: bytes, *, timeout_s: float) -> Result[None, StepError]:
        """Send a call's frame; errors as in `protocol.peers.RepairableLink.probe_inbox`.

        Connecting takes up to `timeout_s` too.
        """
        try:
            outbox = self._make_outbox()
        except zmq.ZMQError as error:
            return self._failure(Reason.UNAVAILABLE, f"no socket: {error}")
        try:
            return await self._exchange(outbox, frame, timeout_s)
        finally:
            outbox.close()

    async def _exchange(
        self, outbox: PeerOutbox, frame: bytes, timeout_s: float
    ) -> Result[None, StepError]:
        with trio.move_on_after(timeout_s) as connecting:
            while not outbox.try_send(frame):
                if outbox.is_closed:
                    return self._failure(Reason.UNAVAILABLE, "the link has ended")
                await outbox.wait_writable()
        if connecting.cancelled_caught:
            return self._failure(Reason.UNREACHABLE, "not connected")
        with trio.move_on_after(timeout_s):
            await self._answered.wait()
        if self._answered.is_set():
            return Success(None)
        return self._failure(Reason.TIMEOUT, f"no answer in {timeout_s:g} s")

    def _make_outbox(self) -> PeerOutbox:
        socket = make_dealer(
            context=self._context,
            address=self._address,
            curve=self._curve,
            server_key=self._curve.public_key if self._curve is not None else "",
        )
        outbox = PeerOutbox(
            address=self._address,
            socket=socket,
            counters=LinkCounters(),
            dropped=DroppedCounters(),
            clock=self._clock,
            on_frame=lambda _: self._answered.set(),
        )
        try:
            self._nursery.start_soon(outbox.run)
        except RuntimeError:
            # The link has ended; a socket left open would block the termination of its context.
            socket.close(linger=0)
            outbox.close()
        return outbox

    def _failure(self, reason: Reason, detail: str) -> Failure[StepError]:
        return Failure(StepError(step=_STEP, peer="", reason=reason, detail=detail))


def _local_address(bound: str) -> str:
    """Return where a process reaches a socket of its own that is bound to all addresses."""
    host, _, port = bound.rpartition(":")
    return f"{_LOOPBACK_BY_WILDCARD.get(host, host)}:{port}"
