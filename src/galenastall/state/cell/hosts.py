"""Hosts of pools as the platform lists them, and waves of maintenance."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import msgspec

from galenastall.state.resources import Resources

WAVE_PREFIX: Final = "wave/"
"""Keys of the stored progress of waves."""
MOVE_PREFIX: Final = "move/"
"""Keys of hosts that are not in their home pool."""


class HostState(StrEnum):
    """What a host does now."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolHost:
    """One host of a pool; an executor is an incarnation of it."""

    host: str
    pool: str
    """The service whose executors live here, or a pool of hosts that are off."""
    state: HostState
    capacity: Resources
    labels: tuple[str, ...] = ()
    executor_id: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class MaintenanceWave:
    """Hosts that are each to be taken down for maintenance once."""

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    """Within which all of them should have begun."""
    most_down: int
    """Hosts of the wave that may be down for it at once."""


class WaveRow(msgspec.Struct, frozen=True, kw_only=True):
    """Stored progress of a wave; written before an order leaves."""

    number: int
    first_seen_at: float
    """Wall time in seconds at which a leader first read of it."""
    ordered: tuple[str, ...] = ()
    """Hosts whose maintenance was ordered and is not known to have begun."""
    begun: tuple[str, ...] = ()
    is_completed: bool = False


class MoveRow(msgspec.Struct, frozen=True, kw_only=True):
    """A host that was moved out of its home pool, or is about to be; written before the order."""

    host: str
    home: str
    """The pool of hosts that are off which it came from."""
    pool: str
    """Where it was last ordered to."""
    is_settled: bool = False
    """Whether the platform has confirmed that order."""


def encode_move(row: MoveRow) -> bytes:
    """Return the value of a moved host's key."""
    return msgspec.msgpack.encode(row)


def encode_wave(row: WaveRow) -> bytes:
    """Return the value of a wave's key."""
    return msgspec.msgpack.encode(row)
