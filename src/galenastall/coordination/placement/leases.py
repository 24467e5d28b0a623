"""Task leases of owned workers: when to renew, and when an unresponsive worker's have expired.

Any entry host of the data centre may renew leases of running tasks, so that an owner's death kills
nothing. An owner therefore treats leases as expired only while every other entry host has recently
reported that it renews nothing on that worker.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from galenastall.state.ids import HostId

CLOCK_SKEW_S: Final = 1.0
"""Largest difference between the clocks of a worker and of an entry host, in seconds."""


@dataclass(kw_only=True, slots=True)
class WorkerLease:
    """Lease times of one worker as known to this entry host, in wall seconds."""

    latest_until: float
    """Upper bound of the ends of all leases that were granted or listed."""
    answered_at: float
    renewed_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerRenewals:
    """A peer's last report of the workers on which it renews leases for other owners."""

    at: float
    renewing: frozenset[HostId]


class LeaseTable:
    """Leases by worker."""

    def __init__(
        self,
        *,
        lease_s: float,
        renew_every_s: float,
        peer_report_max_age_s: float,
        longest_lease_s: float = 0.0,
    ) -> None:
        """`peer_report_max_age_s`: oldest peer report that still proves that it renews nothing.

        `longest_lease_s`: upper bound of the leases of any entry host, whatever its settings.
        """
        self._longest_lease_s = longest_lease_s
        self.apply(lease_s=lease_s, renew_every_s=renew_every_s)
        self._peer_report_max_age_s = peer_report_max_age_s
        self._by_worker: dict[HostId, WorkerLease] = {}
        self._renewals_by_peer: dict[HostId, PeerRenewals] = {}

    def apply(self, *, lease_s: float, renew_every_s: float) -> None:
        """Grant leases of another length from now on; leases granted before still count."""
        self._lease_s = lease_s
        self._renew_every_s = renew_every_s
        self._longest_s = max(lease_s, self._longest_lease_s)

    def add(self, worker: HostId, now: float) -> None:
        """Add a worker: leases of earlier owners may end as late as the longest one granted now."""
        self._by_worker[worker] = WorkerLease(latest_until=now + self._longest_s, answered_at=now)

    def remove(self, worker: HostId) -> None:
        """Forget a worker."""
        self._by_worker.pop(worker, None)

    def grant(self, worker: HostId, now: float) -> float:
        """Return the end of a lease granted now, recorded before the lease is sent."""
        until = now + self._lease_s
        lease = self._by_worker.get(worker)
        if lease is not None:
            lease.latest_until = max(lease.latest_until, until)
        return until

    def note_listing(self, worker: HostId, lease_untils: Iterable[float], now: float) -> None:
        """Record that a worker answered, and the ends of the leases that it listed."""
        lease = self._by_worker.get(worker)
        if lease is not None:
            lease.answered_at = now
            lease.latest_until = max(lease.latest_until, *lease_untils, 0.0)

    def is_renewal_due(self, worker: HostId, now: float) -> bool:
        """Return whether the worker's leases should be renewed now."""
        lease = self._by_worker.get(worker)
        return lease is not None and now >= lease.renewed_at + self._renew_every_s

    def note_renewal(self, worker: HostId, now: float) -> None:
        """Record that a renewal succeeded."""
        lease = self._by_worker.get(worker)
        if lease is not None:
            lease.renewed_at = now

    def silent_s(self, worker: HostId, now: float) -> float:
        """Return how long a worker has not answered; 0 for an unknown one."""
        lease = self._by_worker.get(worker)
        return now - lease.answered_at if lease else 0.0

    def note_peer_renewals(self, peer: HostId, renewing: Iterable[HostId], now: float) -> None:
        """Record a peer's report of the workers on which it renews for other owners."""
        self._renewals_by_peer[peer] = PeerRenewals(at=now, renewing=frozenset(renewing))

    def has_expired(self, worker: HostId, roster: Iterable[HostId], now: float) -> bool:
        """Return whether all leases on the worker have expired, so that nothing runs there.

        False while any peer's report is missing or too old. A report that names the worker restarts
        the wait, since the peer's renewals may reach a worker that this host can't.
        """
        lease = self._by_worker.get(worker)
        if lease is None:
            return False
        renewals = [self._renewals_by_peer.get(peer) for peer in roster]
        if any(
            renewal is None or renewal.at < now - self._peer_report_max_age_s
            for renewal in renewals
        ):
            return False
        if any(worker in renewal.renewing for renewal in renewals if renewal):
            lease.latest_until = max(lease.latest_until, now + self._longest_s)
            return False
        return now > lease.latest_until + CLOCK_SKEW_S

    def renewals(self) -> Mapping[HostId, PeerRenewals]:
        """Return the last report of each peer."""
        return self._renewals_by_peer
