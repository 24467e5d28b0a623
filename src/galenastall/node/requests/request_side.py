"""The request services of an entry host: permits, keys, attempts and the callers' routes."""

import random
from collections.abc import Callable

import trio

from galenastall.node.requests.http_requests import RequestRoutes
from galenastall.node.requests.key_service import KeyService
from galenastall.node.requests.keyed_requests import KeyedRequests
from galenastall.node.requests.permit_service import PermitService
from galenastall.node.requests.permit_settings import CachedSettings, RequestSettings
from galenastall.node.requests.request_service import RequestService
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.peers import PeerLink
from galenastall.protocol.platform import UpstreamService
from galenastall.state.hosts import HostListing
from galenastall.state.ids import DataCentre, Incarnation
from galenastall.state.upstream_tenures import TenureHistory


class RequestSide:
    """All services of an entry host that requests to upstreams need."""

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        incarnation: Incarnation,
        upstreams: UpstreamService,
        ownership: OwnershipView,
        peers: PeerLink,
        appender: LogAppender,
        follower: StreamFollower,
        settings: Callable[[], RequestSettings],
        clock: Clock,
        rng: random.Random,
        events: EventSink,
    ) -> None:
        """Build the services; `follower` follows the data centre's stream and must not run yet."""
        settings = CachedSettings(make=settings, clock=clock)
        tenures = TenureHistory()
        follower.subscribe(tenures)
        self.permits = PermitService(
            data_centre=data_centre,
            clock=clock,
            peers=peers,
            ownership=ownership,
            tenures=tenures,
            settings=settings,
            random=rng,
            events=events,
        )
        self.requests = RequestService(
            incarnation=incarnation,
            clock=clock,
            upstreams=upstreams,
            permits=self.permits,
            settings=settings,
            events=events,
        )
        self.keys = KeyService(
            data_centre=data_centre,
            clock=clock,
            peers=peers,
            ownership=ownership,
            appender=appender,
            follower=follower,
            settings=settings,
            events=events,
        )
        keyed = KeyedRequests(
            data_centre=data_centre, clock=clock, keys=self.keys, requests=self.requests
        )
        self.routes = RequestRoutes(
            clock=clock,
            requests=self.requests,
            keyed=keyed,
            settings=settings,
        )

    def set_hosts(self, listing: HostListing, fetched_at: float) -> None:
        """Apply the platform's host list."""
        self.permits.set_hosts(listing)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.permits.run)
            await nursery.start(self.keys.run)
            await nursery.start(self.requests.run)
            task_status.started()

    async def drain(self) -> None:
        """Refuse new requests; return once all accepted ones are answered."""
        await self.requests.drain()
