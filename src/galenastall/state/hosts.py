"""Hosts according to the platform's list, which lags."""

from dataclasses import dataclass, field
from enum import StrEnum

from galenastall.state.ids import DataCentre, HostId
from galenastall.state.resources import Resources


class HostKind(StrEnum):
    """The role of a host."""

    ENTRY = "entry"
    WORKER = "worker"
    UPSTREAM = "upstream"


class HostState(StrEnum):
    """State of a host in the platform's list."""

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
    """`IP:port` of its HTTP API (workers, upstreams, entry hosts)."""
    peer_address: str = ""
    """`IP:port` of an entry host's zmq socket."""
    rack: str = ""
    capacity: Resources = field(default_factory=Resources)
    slots: int = 0
    """Concurrent requests of an upstream."""
    connections: int = 0
    """Connections of an upstream."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostListing:
    """The platform's list at one time; it lags."""

    as_of: float
    """Wall time in seconds that the list describes."""
    by_id: dict[HostId, ListedHost]
    version: str = ""
    """Version of the requested rows; empty if the platform has no versions."""
    is_unchanged: bool = False
    """The rows are still those of the version in the request; `by_id` is then empty."""
