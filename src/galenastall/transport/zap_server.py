"""ZeroMQ's authentication hook (ZAP), answered on the trio loop without a thread of its own.

A connection whose public key is not on the list is refused in the handshake; for the others the
host id that the key belongs to goes into the User-Id of each message, where the link checks it
against the host id that the message claims.
"""

from typing import Final

import trio
import zmq
from zmq.utils import z85

from galenastall.state.ids import HostId

ZAP_DOMAIN: Final = b"galenastall"
_ENDPOINT: Final = "inproc://zeromq.zap.01"
_VERSION: Final = b"1.0"
_REQUEST_FRAMES: Final = 7


class ZapServer:
    """Says for each connecting key whose it is."""

    def __init__(
        self, *, context: "zmq.Context[zmq.Socket[bytes]]", allowed: dict[HostId, str]
    ) -> None:
        """Bind before any socket that asks; `allowed` gives Z85 public keys."""
        self._hosts_by_key: dict[bytes, HostId] = {}
        self.refused = 0
        """Connections refused so far."""
        self.set_allowed(allowed)
        self._socket = context.socket(zmq.REP)
        self._socket.bind(_ENDPOINT)

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
        """Answer until cancelled."""
        task_status.started()
        descriptor = int(self._socket.getsockopt(zmq.FD))
        try:
            while True:
                while int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                    self._answer(self._socket.recv_multipart(zmq.NOBLOCK))
                await trio.lowlevel.wait_readable(descriptor)
        finally:
            self._socket.close(linger=0)

    def _answer(self, frames: list[bytes]) -> None:
        host = self._host_of(frames)
        request_id = frames[1] if len(frames) > 1 else b""
        if host is None:
            self.refused += 1
            reply = [_VERSION, request_id, b"400", b"unknown key", b"", b""]
        else:
            reply = [_VERSION, request_id, b"200", b"OK", host.encode(), b""]
        self._socket.send_multipart(reply, zmq.NOBLOCK)

    def _host_of(self, frames: list[bytes]) -> HostId | None:
        if len(frames) < _REQUEST_FRAMES or frames[0] != _VERSION or frames[5] != b"CURVE":
            return None
        return self._hosts_by_key.get(frames[6])
