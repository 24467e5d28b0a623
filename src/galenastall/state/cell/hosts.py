"""Hosts of pools as listed by the platform, and maintenance waves."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import msgspec

from galenastall.state.resources import Resources

WAVE_PREFIX: Final = "wave/"
"""Key prefix of the stored progress of waves."""
MOVE_PREFIX: Final = "move/"
"""Key prefix of hosts that are not in their home pool."""


class HostState(StrEnum):
    """Current state of a host."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolHost:
    """One host of a pool; an executor is an incarnation running on it."""

    host: str
    pool: str
    """The service whose executors run on the host, or a standby pool of switched-off hosts."""
    state: HostState
    capacity: Resources
    labels: tuple[str, ...] = ()
    executor_id: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class MaintenanceWave:
    """A set of hosts, each to be taken down for maintenance once."""

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    """Time within which maintenance of all hosts should have begun."""
    most_down: int
    """Maximum number of its hosts that may be down for maintenance at once."""


class WaveRow(msgspec.Struct, frozen=True, kw_only=True):
    """Stored progress of a wave; written before an order is sent."""

    number: int
    first_seen_at: float
    """Wall time in seconds at which a leader first read the wave."""
    ordered: tuple[str, ...] = ()
    """Hosts whose maintenance was ordered and is not known to have begun."""
    begun: tuple[str, ...] = ()
    is_completed: bool = False


class MoveRow(msgspec.Struct, frozen=True, kw_only=True):
    """A host that was or will be moved out of its home pool; written before the order is sent."""

    host: str
    home: str
    """The standby pool that the host came from."""
    pool: str
    """The target pool of the last order."""
    is_settled: bool = False
    """Whether the platform has confirmed the order."""


def encode_move(row: MoveRow) -> bytes:
    """Return the value of a moved host's key."""
    return msgspec.msgpack.encode(row)


def encode_wave(row: WaveRow) -> bytes:
    """Return the value of a wave's key."""
    return msgspec.msgpack.encode(row)
