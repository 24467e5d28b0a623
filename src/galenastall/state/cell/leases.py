"""Stored leases of executors that do not answer, and the cell's clock to which they refer."""

from typing import Final

import msgspec

LEASES_PREFIX: Final = "lease/"
"""Key prefix of both rows."""
CLOCK_KEY: Final = f"{LEASES_PREFIX}clock"
"""Key of the cell's clock when the leader last wrote it, in milliseconds."""
UNRESPONSIVE_KEY: Final = f"{LEASES_PREFIX}unresponsive"
"""Key of the executors that do not answer; deleted while all answer."""
MAX_UNRESPONSIVE: Final = 4_000
"""Executors in the row, which then stays below 256 KiB, the longest record."""


class UnresponsiveRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An executor whose lease no leader extends as long as this row is stored.

    Both times are milliseconds of the cell's clock.
    """

    executor_id: str
    lease_ends_ms: int
    """When all leases granted to it have certainly expired."""
    answered_ms: int
    """When it last answered a leader."""


def encode_clock(clock_ms: int) -> bytes:
    """Return the value of `CLOCK_KEY`."""
    return msgspec.msgpack.encode(clock_ms)


def decode_clock(value: bytes) -> int:
    """Return the stored clock; raise `msgspec.MsgspecError` if the value is malformed."""
    return msgspec.msgpack.decode(value, type=int)


def encode_unresponsive(rows: tuple[UnresponsiveRow, ...]) -> bytes:
    """Return the value of `UNRESPONSIVE_KEY`; empty, which deletes the key, without rows."""
    return msgspec.msgpack.encode(rows) if rows else b""


def decode_unresponsive(value: bytes) -> tuple[UnresponsiveRow, ...]:
    """Return the stored rows; raise `msgspec.MsgspecError` if the value is malformed."""
    return msgspec.msgpack.decode(value, type=tuple[UnresponsiveRow, ...])
