"""The complete stand-in platform in memory, for unit tests, the demo and the HTTP server."""

import random
from collections.abc import Iterable

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import Platform
from galenastall.standin.caller_services import services_of_caller
from galenastall.standin.cuts import Cuts
from galenastall.standin.executors import MemoryExecutors
from galenastall.standin.host_list import MemoryHostList
from galenastall.standin.log import MemoryLog
from galenastall.standin.workers import MemoryWorkers
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import HostId


class MemoryPlatform:
    """Log, host list, workers and executors with a shared clock and seed."""

    def __init__(self, *, clock: Clock, seed: int, hosts: Iterable[ListedHost] = ()) -> None:
        """Start `hosts` and list them without a lag."""
        self.clock = clock
        rng = random.Random(seed)
        self.cuts = Cuts()
        self.log = MemoryLog(clock=clock, rng=_branch(rng))
        hosts = tuple(hosts)
        self.host_list = MemoryHostList(clock=clock, rng=_branch(rng), hosts=hosts)
        self.workers = MemoryWorkers(clock=clock, rng=_branch(rng))
        self.executors = MemoryExecutors(clock=clock, rng=_branch(rng))
        self._services = Platform(
            log=self.log,
            host_list=self.host_list,
            workers=self.workers,
            upstreams=self.executors,
        )
        self._services_by_caller: dict[HostId, Platform] = {}
        for host in hosts:
            self._bring_up(host)

    def add_host(self, host: ListedHost) -> None:
        """List a host and, for workers and upstreams, start it at its address."""
        self._bring_up(host)
        self.host_list.put(host)

    def remove_host(self, host_id: HostId) -> None:
        """Remove a host from the list and stop it; raises KeyError for an unknown host."""
        host = self.host_list.current()[host_id]
        self.host_list.remove(host_id)
        if host.address in self.workers.by_address:
            self.workers.remove(host.address)
        if host.address in self.executors.by_address:
            self.executors.remove(host.address)

    def services(self, *, caller: HostId | None = None) -> Platform:
        """Return the services, with the network cuts of `caller` if given; see Cuts."""
        if caller is None:
            return self._services
        found = self._services_by_caller.get(caller)
        if found is None:
            found = services_of_caller(platform=self._services, cuts=self.cuts, caller=caller)
            self._services_by_caller[caller] = found
        return found

    def _bring_up(self, host: ListedHost) -> None:
        if host.kind is HostKind.WORKER:
            self.workers.add(address=host.address, host_id=host.host_id, capacity=host.capacity)
        elif host.kind is HostKind.UPSTREAM:
            self.executors.add(
                address=host.address,
                host_id=host.host_id,
                slots=host.slots,
                connections=host.connections,
            )


def _branch(rng: random.Random) -> random.Random:
    return random.Random(rng.getrandbits(64))
