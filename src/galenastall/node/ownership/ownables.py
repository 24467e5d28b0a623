"""The ownables of a data centre: its workers, upstreams and shards."""

from dataclasses import dataclass
from typing import Final

from galenastall.coordination.requests.keys import KEY_SHARDS
from galenastall.state.hosts import HostKind, HostListing, HostState
from galenastall.state.ids import DataCentre, HostId, OwnableId, OwnableKind, make_ownable_id

_KIND_BY_HOST_KIND: Final = {
    HostKind.WORKER: OwnableKind.WORKER,
    HostKind.UPSTREAM: OwnableKind.UPSTREAM,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardCounts:
    """How many shards a data centre has; the same on all of its entry hosts."""

    keys: int = KEY_SHARDS
    jobs: int = 8

    def ownables(self) -> frozenset[OwnableId]:
        """Return the ids of all shards."""
        counts = ((OwnableKind.KEYS, self.keys), (OwnableKind.JOBS, self.jobs))
        return frozenset(
            make_ownable_id(kind, str(number)) for kind, count in counts for number in range(count)
        )


class OwnableSet:
    """The shards and the listed hosts; a host no longer listed stays for the list's lag bound."""

    def __init__(self, *, data_centre: DataCentre, shards: ShardCounts, lag_s: float) -> None:
        """Start without hosts."""
        self._data_centre = data_centre
        self._shards = shards.ownables()
        self._lag_s = lag_s
        self._last_listed_at: dict[OwnableId, float] = {}

    def update(self, listing: HostListing, now: float) -> frozenset[OwnableId]:
        """Return what should have an owner after a listing fetched at `now` (runtime seconds)."""
        for host in listing.by_id.values():
            kind = _KIND_BY_HOST_KIND.get(host.kind)
            if kind and host.data_centre == self._data_centre and host.state is not HostState.GONE:
                self._last_listed_at[make_ownable_id(kind, host.host_id)] = now
        last_listed_at = self._last_listed_at
        self._last_listed_at = {
            o: at for o, at in last_listed_at.items() if now - at <= self._lag_s
        }
        return self._shards.union(self._last_listed_at)


def listed_entry_hosts(listing: HostListing, *, data_centre: DataCentre) -> frozenset[HostId]:
    """Return the data centre's entry hosts that a listing shows live or leaving."""
    return frozenset(
        host.host_id
        for host in listing.by_id.values()
        if host.kind is HostKind.ENTRY
        and host.data_centre == data_centre
        and host.state is not HostState.GONE
    )
