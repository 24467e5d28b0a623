"""Inbound side of the peer link: the ROUTER socket, sender checks and answer routing."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, Final

from galenastall.protocol.security import CurveKeys
from galenastall.state.ids import HostId
from galenastall.transport.link_faults import DroppedCounters, LinkCounters
from galenastall.transport.peer_wire import Envelope, decode_envelope
from galenastall.transport.polled_socket import PolledSocket
from galenastall.transport.zmq_sockets import Context, bound_address, make_router

_FRAMES: Final = 2

OnRequest = Callable[[bytes, HostId, Envelope], None]
"""Takes the return route, the sender and the envelope."""

OnForged = Callable[[str, str], None]
"""Takes the host id that a message claimed and the one that its key belongs to."""


class PeerInbox:
    """Receives calls and one-way messages, verifies their sender, and sends answers."""

    def __init__(
        self,
        *,
        context: Context,
        bind: str,
        curve: CurveKeys | None,
        counters_by_id: defaultdict[HostId, LinkCounters],
        dropped: DroppedCounters,
        on_request: OnRequest,
        on_forged: OnForged = lambda _claimed, _authenticated: None,
    ) -> None:
        """Bind; with CURVE the sender must be the host that its key belongs to."""
        socket = make_router(context=context, bind=bind, curve=curve)
        self.address = bound_address(socket)
        self._has_authentication = curve is not None
        self._counters_by_id = counters_by_id
        self._dropped = dropped
        self._on_request = on_request
        self._on_forged = on_forged
        # Only frames, not plain bytes, carry the host id that the authentication established.
        self._socket = PolledSocket(
            socket=socket,
            on_message=self._on_message,
            copies_frames=not self._has_authentication,
        )

    async def run(self) -> None:
        """Read until cancelled."""
        await self._socket.run()

    def stop(self) -> None:
        """End `run`, which closes the socket."""
        self._socket.stop()

    def close(self) -> None:
        """Close the socket of an inbox that never ran."""
        self._socket.close()

    def answer(self, return_route: bytes, caller: HostId, frame: bytes) -> None:
        """Send an answer, or count it if the caller is gone or its queue is full."""
        if not self._socket.send([return_route, frame]):
            self._dropped.unsent_answers += 1
            return
        counters = self._counters_by_id[caller]
        counters.messages_out += 1
        counters.bytes_out += len(frame)

    def _on_message(self, frames: list[Any]) -> None:
        if not self._has_authentication:
            self._accept_frames(frames, authenticated=None)
            return
        authenticated = frames[-1].get("User-Id")
        self._accept_frames([frame.bytes for frame in frames], authenticated=authenticated)

    def _accept_frames(self, frames: list[bytes], *, authenticated: str | None) -> None:
        envelope = decode_envelope(frames[1]) if len(frames) == _FRAMES else None
        if envelope is None or not envelope.sender:
            self._dropped.malformed += 1
            return
        if self._has_authentication and authenticated != envelope.sender:
            self._dropped.forged += 1
            self._on_forged(envelope.sender, authenticated or "")
            return
        sender = HostId(envelope.sender)
        counters = self._counters_by_id[sender]
        counters.messages_in += 1
        counters.bytes_in += len(frames[1])
        self._on_request(frames[0], sender, envelope)
