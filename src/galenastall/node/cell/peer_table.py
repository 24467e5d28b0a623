"""The other hosts of a cell that have announced themselves to this one, and their availability."""

from collections.abc import Iterator
from dataclasses import dataclass

from galenastall.coordination.cell.succession import Candidate, successor_of
from galenastall.protocol.cell.messages import Hello
from galenastall.state.ids import HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerStatus:
    """A host's status as of its last `Hello`."""

    address: str
    weight: float
    started_at: float
    """When the other host's process started, on this host's clock."""
    last_seen_at: float
    is_leaving: bool
    lag_s: float
    is_willing: bool


class PeerTable:
    """Keeps the last reported status of each other host; entries are never removed."""

    def __init__(self, *, available_within_s: float, follows_within_s: float) -> None:
        """Set the longest time since the last `Hello` of an available host, and of a follower."""
        self._available_within_s = available_within_s
        self._follows_within_s = follows_within_s
        self._by_id: dict[HostId, PeerStatus] = {}

    def on_hello(self, sender: HostId, hello: Hello, now: float) -> bool:
        """Record a host's status; return whether its process is new to this host."""
        before = self._by_id.get(sender)
        self._by_id[sender] = PeerStatus(
            address=hello.address,
            weight=hello.weight,
            started_at=now - hello.uptime_s,
            last_seen_at=now,
            is_leaving=hello.is_leaving,
            lag_s=hello.lag_s,
            is_willing=hello.is_willing,
        )
        return before is None or hello.uptime_s < now - before.last_seen_at

    def addresses_by_host(self) -> dict[HostId, str]:
        """Return the hosts' addresses."""
        return {host: status.address for host, status in self._by_id.items()}

    def available(self, now: float) -> tuple[HostId, ...]:
        """Return the hosts that can take requests: recently seen, and not stopping."""
        return tuple(host for host, _ in self._available(now))

    def successor(self, now: float) -> HostId | None:
        """Return the available host that should lead next."""
        best = successor_of(self.candidates(now))
        return HostId(best.host) if best is not None else None

    def candidates(self, now: float) -> list[Candidate]:
        """Return the available hosts with their last reported status."""
        return [
            Candidate(
                host=host,
                weight=status.weight,
                uptime_s=now - status.started_at,
                lag_s=status.lag_s,
                is_willing=status.is_willing,
            )
            for host, status in self._available(now)
        ]

    def has_followers(self, now: float) -> bool:
        """Whether a majority of all hosts ever seen, this one included, follow this host now.

        A host stops sending `Hello` here once it follows a newer leader, so a takeover becomes
        visible within `follows_within_s`.
        """
        oldest = now - self._follows_within_s
        following = 1 + sum(1 for status in self._by_id.values() if status.last_seen_at > oldest)
        return 2 * following > len(self._by_id) + 1

    def _available(self, now: float) -> Iterator[tuple[HostId, PeerStatus]]:
        oldest = now - self._available_within_s
        for host, status in self._by_id.items():
            if status.last_seen_at > oldest and not status.is_leaving:
                yield host, status
