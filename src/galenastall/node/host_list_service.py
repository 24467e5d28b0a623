"""Polls the platform's host list and keeps the last one received."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio
from returns.result import Failure, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.platform import HostListService
from galenastall.state.errors import StepError
from galenastall.state.hosts import HostKind, HostListing
from galenastall.state.ids import DataCentre, HostId

DEFAULT_POLL_S: Final = 2.0
"""Bounds how long a leaving host goes unnoticed beyond the platform's own lag."""
JITTER: Final = 0.1
ENTRY_HOSTS_POLL_S: Final = 10.0
"""How often entry hosts of other data centres are fetched; only links to them need these."""

ListingCallback = Callable[[HostListing, float], None]
"""Takes the listing and the runtime time at which its fetch was sent."""


class HostListPoller:
    """The last listing and its age; a failed fetch changes neither."""

    def __init__(
        self,
        *,
        service: HostListService,
        clock: Clock,
        rng: random.Random,
        data_centre: DataCentre | None = None,
        poll_s: float = DEFAULT_POLL_S,
        events: EventSink | None = None,
    ) -> None:
        """Poll `service` every `poll_s` seconds, with a tenth of jitter so that hosts spread.

        With a `data_centre`, only its hosts and all entry hosts are fetched: the whole list is two
        orders of magnitude larger than a host can afford.
        """
        self._data_centre = data_centre
        self._own = _Subset(data_centre=data_centre)
        self._entry_hosts = _Subset(kind=HostKind.ENTRY)
        self._entry_hosts_due_at = clock.now()
        self._service = service
        self._clock = clock
        self._rng = rng
        self._poll_s = poll_s
        self._events = events or NullEventSink()
        self._callbacks: list[ListingCallback] = []
        self._listed = trio.Event()
        self.latest: HostListing | None = None
        """The last listing; None before the first."""
        self.fetched_at: float | None = None
        """Runtime seconds at which the fetch of the last listing was sent."""
        self.last_error: StepError | None = None
        """Why the last fetch failed; None if it did not."""

    def subscribe(self, callback: ListingCallback) -> None:
        """Call `callback` on the event loop after each successful fetch."""
        self._callbacks.append(callback)

    def age_s(self) -> float | None:
        """Return the seconds since the last successful fetch was sent; None if never."""
        return None if self.fetched_at is None else self._clock.now() - self.fetched_at

    async def wait_listed(self) -> None:
        """Wait for the first listing."""
        await self._listed.wait()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Poll until cancelled; reports started at once, as the platform may be down for long."""
        task_status.started()
        while True:
            await self.poll_once()
            await trio.sleep(self._poll_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    async def poll_once(self) -> None:
        """Fetch the list once and notify the subscribers."""
        sent_at = self._clock.now()
        if not await self._refresh(self._own):
            return
        self.last_error = None
        self._publish(sent_at)
        if self._data_centre is None or sent_at < self._entry_hosts_due_at:
            return
        known = self._entry_hosts.listing
        if await self._refresh(self._entry_hosts):
            self._entry_hosts_due_at = sent_at + ENTRY_HOSTS_POLL_S
            if self._entry_hosts.listing is not known:
                self._publish(sent_at)

    async def _refresh(self, subset: "_Subset") -> bool:
        """Fetch a subset unless it is unchanged; return whether the platform answered."""
        known = subset.listing
        fetched = await self._service.fetch(
            data_centre=subset.data_centre,
            kind=subset.kind,
            known_version=known.version or None if known else None,
        )
        match fetched:
            case Success(listing) if not listing.is_unchanged:
                subset.listing = listing
                subset.as_of = listing.as_of
            case Success(listing):
                subset.as_of = listing.as_of
            case Failure(error):
                if self.last_error is None:
                    self._events.record("host_list.down", peer=error.peer, cause=str(error))
                self.last_error = error
                return False
        return True

    def _publish(self, sent_at: float) -> None:
        """Publish the merged list; an unchanged answer confirms it as much as a full one does."""
        own = self._own.listing
        if own is None:
            return
        by_id = own.by_id
        if self._data_centre is not None and self._entry_hosts.listing is not None:
            others = self._entry_hosts.listing.by_id.items()
            elsewhere = {i: host for i, host in others if host.data_centre != self._data_centre}
            by_id = {**elsewhere, **by_id}
        listing = HostListing(as_of=self._own.as_of, by_id=by_id, version=own.version)
        self.latest = listing
        self.fetched_at = sent_at
        self._listed.set()
        for callback in self._callbacks:
            callback(listing, sent_at)


@dataclass(kw_only=True, slots=True)
class _Subset:
    """A filter on the host list and the last listing fetched with it."""

    data_centre: DataCentre | None = None
    kind: HostKind | None = None
    listing: HostListing | None = None
    as_of: float = 0.0
    """Wall time in seconds that the last answer, full or unchanged, describes."""


def peer_addresses(listing: HostListing, *, own: HostId) -> dict[HostId, str]:
    """Return the peer addresses of all other entry hosts of a listing."""
    return {
        host.host_id: host.peer_address
        for host in listing.by_id.values()
        if host.kind is HostKind.ENTRY and host.peer_address and host.host_id != own
    }
