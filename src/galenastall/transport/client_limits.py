"""Limits on what the clients of a process may hold of its connections, memory and time."""

from dataclasses import dataclass, replace
from typing import Final

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE
CONNECTION_BYTES: Final = 56 * KIBIBYTE
"""Memory of a connection with a request: 40 KiB here, the rest in the kernel's receive buffer."""
CONNECTIONS_SHARE: Final = 1 / 4
"""Share of the memory that all connections of clients may take up."""
HELD_SHARE: Final = 1 / 8
"""Share of the memory that unfinished requests and responses may take up."""
SOCKETS_SHARE: Final = 1 / 2
"""Share of the sockets for clients; the others are for the store, executors and peers."""
MIN_CONNECTIONS: Final = 16
MIN_HELD_BYTES: Final = 4 * MEBIBYTE


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Limits that all HTTP servers of a process share."""

    connections: int = 2_000
    """Open connections."""
    held_bytes: int = 32 * MEBIBYTE
    """Bytes of unfinished heads, bodies, decoded requests and unread responses together."""
    head_bytes: int = 56 * KIBIBYTE
    """Longest head of a request."""
    head_s: float = 10.0
    """Seconds that a client has for a head, from its first byte on."""
    pause_s: float = 15.0
    """Seconds within which PROGRESS_BYTES of a body, or its end, must arrive."""
    idle_s: float = 0.0
    """Seconds for which an idle connection is kept at least."""

    def widened(
        self, *, head_bytes: int = 0, head_s: float = 0.0, idle_s: float = 0.0
    ) -> "ClientLimits":
        """Return limits under which a client may take what an operator allows."""
        return replace(
            self,
            head_bytes=max(self.head_bytes, head_bytes),
            head_s=max(self.head_s, head_s),
            pause_s=max(self.pause_s, idle_s),
            idle_s=max(self.idle_s, idle_s),
        )


def limits_within(*, memory_bytes: int, sockets: int) -> ClientLimits:
    """Return the limits for a process with this much memory and this many sockets."""
    by_memory = int(memory_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES
    by_sockets = int(sockets * SOCKETS_SHARE)
    return ClientLimits(
        connections=max(min(by_memory, by_sockets), MIN_CONNECTIONS),
        held_bytes=max(int(memory_bytes * HELD_SHARE), MIN_HELD_BYTES),
    )
