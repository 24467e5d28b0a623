"""The other hosts of a cell as this one knows them: their addresses and last reported status."""

from dataclasses import replace
from typing import Final

import trio

from galenastall.node.cell.config_watcher import ConfigWatcher
from galenastall.node.cell.heartbeats import AddressBroadcast
from galenastall.node.cell.loop_lag import LoopLag
from galenastall.node.cell.peer_table import PeerTable
from galenastall.protocol.cell.messages import Heartbeat, Hello
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId

FOLLOWS_WITHIN_S: Final = 0.6
"""A host counts as a follower if its last `Hello` is no older: a little over one interval."""
AVAILABLE_WITHIN_S: Final = 1.2
"""A host whose last `Hello` is older, a little over two intervals, is sent no requests."""


class Membership:
    """Keeps the addresses of other hosts, and announces this host to them."""

    def __init__(
        self, *, link: PeerLink, address: str, weight: float, config: ConfigWatcher
    ) -> None:
        """`address` is where peers reach this host, `weight` the cores that it can lead with."""
        self._config = config
        self._link = link
        self._started_at = trio.current_time()
        self._addresses_by_host: dict[str, str] = {}
        self._broadcast = AddressBroadcast()
        self._unwilling_until = float("-inf")
        self.address = address
        self.weight = weight
        self.peers = PeerTable(
            available_within_s=AVAILABLE_WITHIN_S, follows_within_s=FOLLOWS_WITHIN_S
        )
        """The hosts that have sent a `Hello` to this one."""
        self.lag = LoopLag()
        """Lag of this host's event loop."""
        self.is_leaving = False
        link.handle(Hello, self._on_hello)

    @property
    def others(self) -> set[str]:
        """All other hosts whose addresses are known."""
        return set(self._addresses_by_host) - {str(self._link.host_id)}

    def address_of(self, host: str) -> str:
        """Return a host's address; empty if unknown."""
        return self._addresses_by_host.get(host, "")

    def refuse_to_lead(self, for_s: float) -> None:
        """Announce to others for `for_s` seconds that this host should not lead."""
        self._unwilling_until = trio.current_time() + for_s

    def say_hello(self, leader: str) -> None:
        """Announce this host and its status to a leader."""
        message = Hello(
            address=self.address,
            weight=self.weight,
            uptime_s=trio.current_time() - self._started_at,
            is_leaving=self.is_leaving,
            lag_s=self.lag.seconds,
            is_willing=trio.current_time() >= self._unwilling_until,
            config_version=self._config.version,
        )
        self._link.send(peer=HostId(leader), message=message)

    def make_known_to(self, leader: str, address: str) -> None:
        """Register a leader's address and announce this host, so that it sends heartbeats here."""
        self._set_address(leader, address)
        self.say_hello(leader)

    def begin_term(self) -> None:
        """Start sending heartbeats as leader; no host has been sent addresses yet."""
        self._broadcast = AddressBroadcast()

    def send_heartbeats(self, plain: Heartbeat) -> None:
        """Send a heartbeat to all other hosts; for some it includes the addresses of all hosts."""
        known = {**self.peers.addresses_by_host(), self._link.host_id: self.address}
        self._broadcast.set_current({str(host): address for host, address in known.items()})
        for host in map(HostId, self.others):
            addresses = self._broadcast.next_for(host)
            message = replace(plain, addresses_by_host=addresses) if addresses else plain
            self._link.send(peer=host, message=message)

    def learn_addresses(self, leader: HostId, heartbeat: Heartbeat) -> None:
        """Adopt all addresses that a heartbeat carries, or at least its leader's."""
        if heartbeat.addresses_by_host:
            self._addresses_by_host = {
                **heartbeat.addresses_by_host,
                str(leader): heartbeat.address,
            }
            self._apply_addresses()
        else:
            self._set_address(leader, heartbeat.address)

    async def _on_hello(self, sender: HostId, hello: Hello) -> None:
        if self.peers.on_hello(sender, hello, trio.current_time()):
            self._broadcast.forget(sender)
        self._set_address(sender, hello.address)
        self._config.note_version(hello.config_version, sender)

    def _set_address(self, host: str, address: str) -> None:
        if self._addresses_by_host.get(host) != address:
            self._addresses_by_host[host] = address
            self._apply_addresses()

    def _apply_addresses(self) -> None:
        self._link.set_peers({HostId(host): self._addresses_by_host[host] for host in self.others})
