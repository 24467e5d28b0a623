"""The other hosts of a cell that made themselves known to this one, and which of them is fit."""

from collections.abc import Iterator
from dataclasses import dataclass

from galenastall.coordination.cell.succession import Candidate, successor_of
from galenastall.protocol.cell.messages import Hello
from galenastall.state.ids import HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class HeardHost:
    """What a host said of itself when it was last heard."""

    address: str
    weight: float
    started_at: float
    """This host's time at which the other's process started."""
    heard_at: float
    is_leaving: bool
    lag_s: float
    is_willing: bool


class HeardHosts:
    """Keeps the last that each other host said of itself; hosts are never forgotten."""

    def __init__(self, *, fit_within_s: float, follows_within_s: float) -> None:
        """Take the longest silence of a host that is fit, and of one that follows this host."""
        self._fit_within_s = fit_within_s
        self._follows_within_s = follows_within_s
        self._by_id: dict[HostId, HeardHost] = {}

    def on_hello(self, sender: HostId, hello: Hello, now: float) -> bool:
        """Take what a host says of itself; return whether its process is new here."""
        before = self._by_id.get(sender)
        self._by_id[sender] = HeardHost(
            address=hello.address,
            weight=hello.weight,
            started_at=now - hello.uptime_s,
            heard_at=now,
            is_leaving=hello.is_leaving,
            lag_s=hello.lag_s,
            is_willing=hello.is_willing,
        )
        return before is None or hello.uptime_s < now - before.heard_at

    def addresses_by_host(self) -> dict[HostId, str]:
        """Return where each of them is reached."""
        return {host: heard.address for host, heard in self._by_id.items()}

    def fit(self, now: float) -> tuple[HostId, ...]:
        """Return the hosts that can be asked to do something: heard of late, and staying."""
        return tuple(host for host, _ in self._fit(now))

    def successor(self, now: float) -> HostId | None:
        """Return the fit host that should lead next."""
        best = successor_of(self.contenders(now))
        return HostId(best.host) if best is not None else None

    def contenders(self, now: float) -> list[Candidate]:
        """Return the fit hosts as they last described themselves."""
        return [
            Candidate(
                host=host,
                weight=heard.weight,
                uptime_s=now - heard.started_at,
                lag_s=heard.lag_s,
                is_willing=heard.is_willing,
            )
            for host, heard in self._fit(now)
        ]

    def has_followers(self, now: float) -> bool:
        """Whether most of the hosts that were ever heard, this one included, follow it now.

        A host stops making itself known here once it hears a newer leader, so a takeover shows
        after the time within which followers are heard at the latest.
        """
        oldest = now - self._follows_within_s
        following = 1 + sum(1 for heard in self._by_id.values() if heard.heard_at > oldest)
        return 2 * following > len(self._by_id) + 1

    def _fit(self, now: float) -> Iterator[tuple[HostId, HeardHost]]:
        oldest = now - self._fit_within_s
        for host, heard in self._by_id.items():
            if heard.heard_at > oldest and not heard.is_leaving:
                yield host, heard
