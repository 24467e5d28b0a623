"""ZeroMQ authentication (ZAP) served on the trio loop, without a separate thread.

A connection whose public key is not on the list is refused in the handshake. For other
connections, the User-Id of each message is the host id that owns the key; the link compares it
with the host id that the message claims.
"""

from collections.abc import Callable
from typing import Final

import trio
import zmq
from zmq.utils import z85

from galenastall.state.ids import HostId
from galenastall.transport.polled_socket import PolledSocket

ZAP_DOMAIN: Final = b"galenastall"
_ENDPOINT: Final = "inproc://zeromq.zap.01"
_VERSION: Final = b"1.0"
_REQUEST_FRAMES: Final = 7
_KEYS_KEPT: Final = 256
"""Refused keys counted separately; further keys are counted together."""
OTHER_KEYS: Final = "other"

OnRefused = Callable[[str, str], None]
"""Takes the IP address and the Z85 public key of a refused peer; called once for each."""


class ZapServer:
    """Maps each connecting public key to its host id."""

    def __init__(
        self,
        *,
        context: "zmq.Context[zmq.Socket[bytes]]",
        allowed: dict[HostId, str],
        on_refused: OnRefused = lambda _address, _key: None,
    ) -> None:
        """Bind; must precede any socket that authenticates. `allowed` holds Z85 public keys."""
        self._on_refused = on_refused
        self._hosts_by_key: dict[bytes, HostId] = {}
        self.refused = 0
        """Connections refused so far."""
        self.refused_by_peer: dict[tuple[str, str], int] = {}
        """The same by IP address and public key."""
        self.set_allowed(allowed)
        socket = context.socket(zmq.REP)
        socket.setsockopt(zmq.LINGER, 0)
        socket.bind(_ENDPOINT)
        self._socket = PolledSocket(socket=socket, on_message=self._answer)

    def set_allowed(self, allowed: dict[HostId, str]) -> None:
        """Replace the list; raises ValueError if two hosts share a key or a key is malformed."""
        hosts_by_key: dict[bytes, HostId] = {}
        for host, text in allowed.items():
            key = z85.decode(text.encode())
            if key in hosts_by_key:
                raise ValueError(f"public key: {host!r} and {hosts_by_key[key]!r} share {text!r}")
            hosts_by_key[key] = host
        self._hosts_by_key = hosts_by_key

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve authentication requests until cancelled."""
        task_status.started()
        await self._socket.run()

    def _answer(self, frames: list[bytes]) -> None:
        host = self._host_of(frames)
        request_id = frames[1] if len(frames) > 1 else b""
        if host is None:
            self._note_refused(frames)
            reply = [_VERSION, request_id, b"400", b"unknown key", b"", b""]
        else:
            reply = [_VERSION, request_id, b"200", b"OK", host.encode(), b""]
        self._socket.send(reply)

    def _host_of(self, frames: list[bytes]) -> HostId | None:
        if len(frames) < _REQUEST_FRAMES or frames[0] != _VERSION or frames[5] != b"CURVE":
            return None
        return self._hosts_by_key.get(frames[6])

    def _note_refused(self, frames: list[bytes]) -> None:
        self.refused += 1
        if len(frames) < _REQUEST_FRAMES or frames[5] != b"CURVE":
            return
        peer = (frames[3].decode("ascii", "replace"), z85.encode(frames[6]).decode())
        if peer not in self.refused_by_peer:
            if len(self.refused_by_peer) >= _KEYS_KEPT:
                peer = (OTHER_KEYS, OTHER_KEYS)
            else:
                self._on_refused(*peer)
        self.refused_by_peer[peer] = self.refused_by_peer.get(peer, 0) + 1
