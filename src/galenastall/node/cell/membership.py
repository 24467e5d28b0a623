"""The other hosts of a cell as this one knows them: where they are and what they said."""

from dataclasses import replace
from typing import Final

import trio

from galenastall.node.cell.config_keeper import ConfigKeeper
from galenastall.node.cell.heard_hosts import HeardHosts
from galenastall.node.cell.heartbeats import ToldAddresses
from galenastall.node.cell.loop_lag import LoopLag
from galenastall.protocol.cell.messages import Heartbeat, Hello
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId

FOLLOWS_S: Final = 0.6
"""A host that has made itself known within this time follows this leader: one message and more."""
HELPER_HEARD_S: Final = 1.2
"""A host that has not made itself known for longer, two messages, is asked for nothing."""


class Membership:
    """Knows where other hosts are reached, and makes this host known."""

    def __init__(
        self, *, link: PeerLink, address: str, weight: float, config: ConfigKeeper
    ) -> None:
        """`address` is where peers reach this host, `weight` the cores that it can lead with."""
        self._config = config
        self._link = link
        self._started_at = trio.current_time()
        self._addresses_by_host: dict[str, str] = {}
        self._told = ToldAddresses()
        self._unwilling_until = float("-inf")
        self.address = address
        self.weight = weight
        self.heard = HeardHosts(fit_within_s=HELPER_HEARD_S, follows_within_s=FOLLOWS_S)
        """The hosts that have made themselves known here."""
        self.lag = LoopLag()
        """By how much this host's loop is late."""
        self.is_leaving = False
        link.handle(Hello, self._on_hello)

    @property
    def others(self) -> set[str]:
        """All other hosts whose addresses are known."""
        return set(self._addresses_by_host) - {str(self._link.host_id)}

    def address_of(self, host: str) -> str:
        """Return where a host is reached; empty if that is not known."""
        return self._addresses_by_host.get(host, "")

    def refuse_to_lead(self, for_s: float) -> None:
        """Tell others for so long that this host should not lead."""
        self._unwilling_until = trio.current_time() + for_s

    def say_hello(self, leader: str) -> None:
        """Make this host known to a leader."""
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
        """Have a leader that is reached there send its heartbeats here, too."""
        self._set_address(leader, address)
        self.say_hello(leader)

    def begin_term(self) -> None:
        """Begin to send heartbeats: this host has told nobody anything yet."""
        self._told = ToldAddresses()

    def send_beats(self, plain: Heartbeat) -> None:
        """Send a heartbeat to all other hosts; some are told all addresses with it."""
        known = {**self.heard.addresses_by_host(), self._link.host_id: self.address}
        self._told.set_current({str(host): address for host, address in known.items()})
        for host in map(HostId, self.others):
            told = self._told.next_for(host)
            message = replace(plain, addresses_by_host=told) if told else plain
            self._link.send(peer=host, message=message)

    def take_addresses(self, leader: HostId, beat: Heartbeat) -> None:
        """Take all addresses, if a heartbeat carries them, and its leader's in any case."""
        if beat.addresses_by_host:
            self._addresses_by_host = {**beat.addresses_by_host, str(leader): beat.address}
            self._apply_addresses()
        else:
            self._set_address(leader, beat.address)

    async def _on_hello(self, sender: HostId, hello: Hello) -> None:
        if self.heard.on_hello(sender, hello, trio.current_time()):
            self._told.forget(sender)
        self._set_address(sender, hello.address)
        self._config.hear_of(hello.config_version, sender)

    def _set_address(self, host: str, address: str) -> None:
        if self._addresses_by_host.get(host) != address:
            self._addresses_by_host[host] = address
            self._apply_addresses()

    def _apply_addresses(self) -> None:
        self._link.set_peers({HostId(host): self._addresses_by_host[host] for host in self.others})
