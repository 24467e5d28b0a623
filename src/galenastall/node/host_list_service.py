"""Polls the platform's host list and keeps the last one that came."""

import random
from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.platform import HostListService
from galenastall.state.errors import StepError
from galenastall.state.hosts import HostKind, HostListing
from galenastall.state.ids import HostId

DEFAULT_POLL_S: Final = 2.0
"""Bounds how long a leaving host goes unnoticed beyond the platform's own lag."""
JITTER: Final = 0.1

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
        poll_s: float = DEFAULT_POLL_S,
        events: EventSink | None = None,
    ) -> None:
        """Poll `service` every `poll_s` seconds, spread by a tenth so that hosts fall apart."""
        self._service = service
        self._clock = clock
        self._rng = rng
        self._poll_s = poll_s
        self._events = events or NullEventSink()
        self._callbacks: list[ListingCallback] = []
        self._listed = trio.Event()
        self.latest: HostListing | None = None
        """The last listing; None if none ever came."""
        self.fetched_at: float | None = None
        """Runtime seconds at which the fetch of the last listing was sent."""
        self.last_error: StepError | None = None
        """Why the last fetch failed; None if it did not."""

    def subscribe(self, callback: ListingCallback) -> None:
        """Call back, on the loop, after each fetch that succeeded."""
        self._callbacks.append(callback)

    def age_s(self) -> float | None:
        """Return the seconds since the last successful fetch was sent; None if never."""
        return None if self.fetched_at is None else self._clock.now() - self.fetched_at

    async def wait_listed(self) -> None:
        """Return once a listing came."""
        await self._listed.wait()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Poll until cancelled; reports started at once, as the platform may be down for long."""
        task_status.started()
        while True:
            await self.poll_once()
            await trio.sleep(self._poll_s * self._rng.uniform(1 - JITTER, 1 + JITTER))

    async def poll_once(self) -> None:
        """Fetch the list once and tell the subscribers."""
        sent_at = self._clock.now()
        match await self._service.fetch():
            case Success(listing):
                self._take(listing, sent_at)
            case Failure(error):
                if self.last_error is None:
                    self._events.record("host_list.down", peer=error.peer, cause=str(error))
                self.last_error = error

    def _take(self, listing: HostListing, sent_at: float) -> None:
        self.last_error = None
        self.latest = listing
        self.fetched_at = sent_at
        self._listed.set()
        for callback in self._callbacks:
            callback(listing, sent_at)


def peer_addresses(listing: HostListing, *, own: HostId) -> dict[HostId, str]:
    """Return the peer addresses of all other entry hosts of a listing."""
    return {
        host.host_id: host.peer_address
        for host in listing.by_id.values()
        if host.kind is HostKind.ENTRY and host.peer_address and host.host_id != own
    }
