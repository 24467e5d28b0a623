"""Preferred owners of ownables: rendezvous hashing with a cap on each member's share."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from math import ceil
from typing import Final

import xxhash

from galenastall.state.ids import HostId, OwnableId

LOAD_CAP: Final = 1.1
"""Factor by which a member's share of a kind may exceed the mean."""


def score(host: HostId, key: str) -> int:
    """Return the rendezvous weight of a host for a key."""
    return xxhash.xxh3_64_intdigest(f"{host}\0{key}".encode())


def rank(hosts: Iterable[HostId], key: str) -> list[HostId]:
    """Return the hosts in the order in which they are candidates for `key`."""
    return sorted(hosts, key=lambda host: score(host, key), reverse=True)


def spread(ownables: Iterable[OwnableId], hosts: Sequence[HostId]) -> dict[OwnableId, HostId]:
    """Return the wanted owner of each ownable: its best candidate that is below the cap.

    The cap holds for each kind on its own, since the kinds differ in what they cost an owner.
    """
    if not hosts:
        return {}
    ownables_by_kind: dict[str, list[OwnableId]] = defaultdict(list)
    for ownable in ownables:
        ownables_by_kind[ownable.partition("/")[0]].append(ownable)
    wanted: dict[OwnableId, HostId] = {}
    for kind_ownables in ownables_by_kind.values():
        wanted.update(_spread_kind(kind_ownables, hosts))
    return wanted


def _spread_kind(
    ownables: list[OwnableId], hosts: Sequence[HostId]
) -> Iterable[tuple[OwnableId, HostId]]:
    mean = len(ownables) / len(hosts)
    cap = max(ceil(mean), round(mean * LOAD_CAP))
    remaining_by_host = dict.fromkeys(hosts, cap)
    for ownable in sorted(ownables):
        host = next(host for host in rank(hosts, ownable) if remaining_by_host[host])
        remaining_by_host[host] -= 1
        yield ownable, host
