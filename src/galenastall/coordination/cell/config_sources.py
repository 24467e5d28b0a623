"""Decides when another host is asked for a newer configuration, and which one; pure.

The store is read first: its response goes to each host by itself, while a host that many others
ask sends all of their answers, over the links that carry callers' calls. Only where the store does
not deliver is a host asked, soon enough that a revoked key is refused within about a second.
"""

from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION

STORE_FIRST_S: Final = 0.25
"""How long after an announcement a response of the store may take to begin to arrive."""
RECHECK_S: Final = 0.1
"""Interval of checks while a response is arriving from the store."""
FIRST_PAUSE_S: Final = 0.2
"""Pause of a host after its first failed transfer; it doubles with each further one."""
LONGEST_PAUSE_S: Final = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostToAsk:
    """The host to ask next."""

    host: str
    after_s: float
    """How long to wait, and then to decide again; 0 if it must be asked now."""


class ConfigSources:
    """Which hosts have which version, and whether the store delivers."""

    def __init__(self) -> None:
        """Start without a version and without other hosts."""
        self._version = UNKNOWN_VERSION
        self._version_by_host: dict[str, int] = {}
        """Hosts that have at least the version in force here; the last to announce it is last."""
        self._newer_since: float | None = None
        """Since when a newer version has been known; None if there is none."""
        self._look_since: float | None = None
        """Since when a caller has waited for a look at other versions; None if none does."""
        self._is_store_failing = False
        self._failures_by_host: dict[str, int] = {}
        self._paused_until_by_host: dict[str, float] = {}

    @property
    def has_newer(self) -> bool:
        """Whether a host has announced a newer version than the one in force here."""
        return any(version > self._version for version in self._version_by_host.values())

    def on_announced(self, version: int, host: str, *, now: float) -> bool:
        """Note a host's version; returns whether it is news, after which to decide again."""
        if version < self._version or version == UNKNOWN_VERSION:
            return False
        before = self._version_by_host.pop(host, UNKNOWN_VERSION)
        # A message that was sent before the last one may arrive after it.
        self._version_by_host[host] = max(version, before)
        if version > self._version and self._newer_since is None:
            self._newer_since = now
        return version > max(before, self._version)

    def on_not_newer(self, host: str) -> None:
        """Note that a host has no newer version, whatever it announced."""
        self._version_by_host[host] = self._version
        if not self.has_newer:
            self._newer_since = None

    def on_in_force(self, version: int, *, now: float) -> None:
        """Note the version in force; the store gets its time again for one that is newer still."""
        self._version = version
        self._version_by_host = {
            host: announced
            for host, announced in self._version_by_host.items()
            if announced >= version
        }
        self._newer_since = now if self.has_newer else None
        self._failures_by_host.clear()
        self._paused_until_by_host.clear()

    def on_store_read(self, *, is_failed: bool) -> None:
        """Note how the last read of the store ended."""
        self._is_store_failing = is_failed

    def on_look(self, *, now: float) -> None:
        """Note that a caller waits for a newer version, whether or not one was announced."""
        self._look_since = now

    def on_look_ended(self) -> None:
        """Note that no caller waits for a look any more."""
        self._look_since = None

    def on_transfer_failed(self, host: str, *, now: float) -> None:
        """Note a failed transfer; others are asked before this host is asked again."""
        failures = self._failures_by_host.get(host, 0)
        pause_s = min(FIRST_PAUSE_S * 2**failures, LONGEST_PAUSE_S)
        self._failures_by_host[host] = failures + 1
        self._paused_until_by_host[host] = now + pause_s

    def next_host(self, *, now: float, is_receiving: bool) -> HostToAsk | None:
        """Return whom to ask and when; None if there is no need, or nobody to ask.

        `is_receiving` tells whether a response of the store has begun to arrive.
        """
        times = [since for since in (self._newer_since, self._look_since) if since is not None]
        host = self._best_host()
        if not times or host is None:
            return None
        if is_receiving:
            return HostToAsk(host=host, after_s=RECHECK_S)
        due_at = min(times) if self._is_store_failing else min(times) + STORE_FIRST_S
        due_at = max(due_at, self._paused_until_by_host.get(host, due_at))
        return HostToAsk(host=host, after_s=max(due_at - now, 0.0))

    def _best_host(self) -> str | None:
        """Return the host whose pause ends first, of those without the last that announced."""
        least = self._version + 1 if self.has_newer else self._version
        hosts = [host for host, version in self._version_by_host.items() if version >= least]
        return min(
            reversed(hosts),
            key=lambda host: self._paused_until_by_host.get(host, float("-inf")),
            default=None,
        )
