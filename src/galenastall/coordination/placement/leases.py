"""Task leases of owned workers: when to renew, and when a silent worker's have provably lapsed.

Any entry host of the data centre may renew tasks that run, so that an owner's death kills nothing.
An owner therefore calls leases lapsed only while every other entry host has just said that it
renews nothing on that worker.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from galenastall.state.ids import HostId

CLOCK_SKEW_S: Final = 1.0
"""Largest difference between the clocks of a worker and of an entry host, in seconds."""


@dataclass(kw_only=True, slots=True)
class WorkerLease:
    """What this entry host knows of the leases on one worker; wall seconds."""

    latest_until: float
    """No lease that was given or seen ends later."""
    answered_at: float
    renewed_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerRenewals:
    """What a peer last said of the workers whose tasks it renews for others."""

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
        """`peer_word_s`: how fresh a peer's word must be to prove that it renews nothing.

        `longest_lease_s`: what any other entry host may have given, whatever it was told to give.
        """
        self._longest_lease_s = longest_lease_s
        self.apply(lease_s=lease_s, renew_every_s=renew_every_s)
        self._peer_report_max_age_s = peer_report_max_age_s
        self._by_worker: dict[HostId, WorkerLease] = {}
        self._renewals_by_peer: dict[HostId, PeerRenewals] = {}

    def apply(self, *, lease_s: float, renew_every_s: float) -> None:
        """Give leases of another length from now on; what was given stays in mind."""
        self._lease_s = lease_s
        self._renew_every_s = renew_every_s
        self._longest_s = max(lease_s, self._longest_lease_s)

    def add(self, worker: HostId, now: float) -> None:
        """Begin with a worker: leases that another gave may end as late as one given now."""
        self._by_worker[worker] = WorkerLease(latest_until=now + self._longest_s, answered_at=now)

    def remove(self, worker: HostId) -> None:
        """Forget a worker."""
        self._by_worker.pop(worker, None)

    def grant(self, worker: HostId, now: float) -> float:
        """Return the end of a lease that is given now, and keep it in mind before it is sent."""
        until = now + self._lease_s
        lease = self._by_worker.get(worker)
        if lease is not None:
            lease.latest_until = max(lease.latest_until, until)
        return until

    def note_listing(self, worker: HostId, lease_untils: Iterable[float], now: float) -> None:
        """Take note that a worker answered and of the leases that it listed."""
        lease = self._by_worker.get(worker)
        if lease is not None:
            lease.answered_at = now
            lease.latest_until = max(lease.latest_until, *lease_untils, 0.0)

    def is_renewal_due(self, worker: HostId, now: float) -> bool:
        """Return whether the worker's leases should be renewed now."""
        lease = self._by_worker.get(worker)
        return lease is not None and now >= lease.renewed_at + self._renew_every_s

    def note_renewal(self, worker: HostId, now: float) -> None:
        """Take note that a renewal was answered."""
        lease = self._by_worker.get(worker)
        if lease is not None:
            lease.renewed_at = now

    def silent_s(self, worker: HostId, now: float) -> float:
        """Return how long a worker has not answered; 0 for an unknown one."""
        lease = self._by_worker.get(worker)
        return now - lease.answered_at if lease else 0.0

    def note_peer_renewals(self, peer: HostId, renewing: Iterable[HostId], now: float) -> None:
        """Take a peer's word on what it renews for others."""
        self._renewals_by_peer[peer] = PeerRenewals(at=now, renewing=frozenset(renewing))

    def has_expired(self, worker: HostId, roster: Iterable[HostId], now: float) -> bool:
        """Return whether nothing can run on the worker any more.

        A peer that was not heard of late keeps the answer at no, and restarts the wait when its
        word names the worker, since its renewals may reach what ours don't.
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
        """Return the last word of each peer."""
        return self._renewals_by_peer
