"""The whole stand-in platform in memory, for unit tests, the demo and the HTTP server."""

import random
from collections.abc import Iterable

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import Platform
from galenastall.standin.executors import MemoryExecutors
from galenastall.standin.host_list import MemoryHostList
from galenastall.standin.log import MemoryLog
from galenastall.standin.workers import MemoryWorkers
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import HostId


class MemoryPlatform:
    """Log, host list, workers and executors on one clock and one seed."""

    def __init__(self, *, clock: Clock, seed: int, hosts: Iterable[ListedHost] = ()) -> None:
        self.clock = clock
        rng = random.Random(seed)
        self.log = MemoryLog(clock=clock, rng=_branch(rng))
        self.host_list = MemoryHostList(clock=clock, rng=_branch(rng))
        self.workers = MemoryWorkers(clock=clock, rng=_branch(rng))
        self.executors = MemoryExecutors(clock=clock, rng=_branch(rng))
        for host in hosts:
            self.add_host(host)

    def add_host(self, host: ListedHost) -> None:
        """List a host and, for workers and upstreams, bring it up at its address."""
        if host.kind is HostKind.WORKER:
            self.workers.add(address=host.address, host_id=host.host_id, capacity=host.capacity)
        elif host.kind is HostKind.UPSTREAM:
            self.executors.add(
                address=host.address,
                host_id=host.host_id,
                slots=host.slots,
                connections=host.connections,
            )
        self.host_list.put(host)

    def remove_host(self, host_id: HostId) -> None:
        """Take a host off the list and down; raises KeyError for an unknown host."""
        host = self.host_list.current()[host_id]
        self.host_list.remove(host_id)
        if host.kind is HostKind.WORKER:
            self.workers.remove(host.address)
        elif host.kind is HostKind.UPSTREAM:
            self.executors.remove(host.address)

    def services(self) -> Platform:
        """Return the services as one entry host uses them."""
        return Platform(
            log=self.log,
            host_list=self.host_list,
            workers=self.workers,
            upstreams=self.executors,
        )


def _branch(rng: random.Random) -> random.Random:
    return random.Random(rng.getrandbits(64))
