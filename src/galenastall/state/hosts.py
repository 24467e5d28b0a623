"""Hosts as the platform's lagging list shows them."""

from dataclasses import dataclass, field
from enum import StrEnum

from galenastall.state.ids import DataCentre, HostId
from galenastall.state.resources import Resources


class HostKind(StrEnum):
    """What a host is for."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class HostState(StrEnum):
    """What the platform's list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """One row of the platform's list."""

    host_id: HostId
    kind: HostKind
    data_centre: DataCentre
    state: HostState = HostState.LIVE
    address: str = ""
    """`IP:port` of its HTTP side (workers, upstreams, entry hosts)."""
    peer_address: str = ""
    """`IP:port` of an entry host's zmq side."""
    rack: str = ""
    capacity: Resources = field(default_factory=Resources)
    slots: int = 0
    """Concurrent requests of an upstream."""
    connections: int = 0
    """Connections of an upstream."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostListing:
    """The platform's list at one moment; it lags."""

    as_of: float
    """Wall time in seconds that the list describes."""
    by_id: dict[HostId, ListedHost]
    version: str = ""
    """Names the rows asked for; empty if the platform gives no versions."""
    is_unchanged: bool = False
    """The rows are still those of the version that the asker named; `by_id` is then empty."""
