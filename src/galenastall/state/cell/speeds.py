"""The stored speeds of hosts: one row of bounded size, which costs only quality when it is lost."""

from typing import Final

import msgspec

SPEEDS_PREFIX: Final = "speed/"
"""Key prefix of speeds."""
SPEEDS_KEY: Final = f"{SPEEDS_PREFIX}hosts"
"""Key of the only row."""
MAX_STORED_HOSTS: Final = 4_000
"""Hosts of which the row holds a speed."""
MAX_HOST_NAME_BYTES: Final = 40
"""Hosts with longer names are left out, so that the row stays below 256 KiB, the longest record."""


class HostSpeedRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Speed of one host."""

    host: str
    kind: int
    """Checksum of the labels and capacity of the executor that was observed there."""
    speed_percent: int
    """100 for the usual speed."""


class SpeedsRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Speeds of the hosts that are known well enough."""

    written_at: float
    """Wall time in seconds."""
    hosts: tuple[HostSpeedRow, ...] = ()


def encode_speeds(row: SpeedsRow) -> bytes:
    """Return the value of the row's key."""
    return msgspec.msgpack.encode(row)
