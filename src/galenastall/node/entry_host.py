"""The entry host: builds all services, starts them in order, and drains them on stop."""

import random
import resource
from collections.abc import Sequence
from typing import BinaryIO, Final

import trio

from galenastall import __version__
from galenastall.node.host_list_service import HostListPoller, peer_addresses
from galenastall.node.host_metrics import owned_by_kind, register_host_metrics
from galenastall.node.http_drain import OUTAGE_WARNING, HttpDrain
from galenastall.node.http_ops import HttpOps
from galenastall.node.http_status import HostStatus, HttpStatus, LogStatus, WorkStatus
from galenastall.node.jobs.job_subsystem import JobSubsystem
from galenastall.node.log.log_service import LogClient
from galenastall.node.memory_watch import MemoryWatch
from galenastall.node.ownership.ownables import ShardCounts
from galenastall.node.ownership.ownership_service import OwnershipService
from galenastall.node.process_security import curve_keys, tls_files
from galenastall.node.requests.load_guard import LoadGuard
from galenastall.node.requests.request_side import RequestSide
from galenastall.node.settings.http_settings import HttpSettings
from galenastall.node.settings.settings_mapping import (
    find_problem,
    find_team_problem,
    make_ownership_timings,
    make_placement_settings,
    make_request_settings,
    make_window_limits,
    make_worker_timings,
)
from galenastall.node.settings.settings_service import SettingsService
from galenastall.node.timeline.present_state import PresentState
from galenastall.node.timeline.timeline_service import TimelineService
from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import Platform
from galenastall.protocol.process_settings import ProcessSettings
from galenastall.state.hosts import HostListing
from galenastall.state.ids import (
    SETTINGS_STREAM,
    DataCentre,
    HostId,
    Incarnation,
    data_centre_stream,
)
from galenastall.state.shared_settings import SharedSettings
from galenastall.state.timeline_ring import TimelineRing
from galenastall.state.work import JobSpec
from galenastall.transport.client_limits import MEBIBYTE, ClientLimits, limits_within
from galenastall.transport.http_server import HttpServer
from galenastall.transport.limited_clients import make_budget
from galenastall.transport.link_faults import LinkFaults
from galenastall.transport.logs import Level, Recorder
from galenastall.transport.metrics import Metrics
from galenastall.transport.peer_link import ZmqPeerLink

SHARDS: Final = ShardCounts()
"""Must be the same on every entry host, as it maps keys and jobs to shards."""
MIN_RESPONSE_GRACE_S: Final = 2.0
"""Minimum time that responses in progress get when a drain ends, in seconds."""


class EntryHost:
    """All services of one entry host on one event loop."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        incarnation: Incarnation,
        link_faults: LinkFaults | None = None,
        log_stream: BinaryIO | None = None,
    ) -> None:
        """Build everything; `incarnation` must differ from that of every earlier process."""
        self.settings = settings
        self.host_id = HostId(settings.host_id)
        self.data_centre = DataCentre(settings.data_centre)
        self.metrics = Metrics()
        self.recorder = Recorder(
            process=settings.host_id,
            clock=clock,
            ring=TimelineRing(capacity=settings.timeline_ring_events),
            log_level=Level[settings.log_level.upper()],
            detail_share=settings.timeline_detail_share,
            stream=log_stream,
        )
        self.link = ZmqPeerLink(
            host_id=self.host_id,
            incarnation=incarnation,
            clock=clock,
            bind=settings.peer_bind,
            curve=curve_keys(settings),
            faults=link_faults,
            hybrid=self.recorder.hybrid,
            log_error=self.recorder.record_error,
            on_rejected_peer=self._on_rejected_peer,
        )
        self._peer_ids: tuple[HostId, ...] = ()
        self._seeds = {HostId(name): address for name, address in settings.seeds.items()}
        self._set_peers(self._seeds)
        own_stream = data_centre_stream(self.data_centre)
        self.log_client = LogClient(
            log=platform.log,
            clock=clock,
            rng=rng,
            writer=f"{settings.host_id}.{incarnation}",
            streams=(SETTINGS_STREAM, own_stream),
            live_hosts=lambda: 1 + len(self._peer_ids),
            limits=lambda: make_window_limits(self.shared.current),
            events=self.recorder,
            settle_s=SharedSettings().log.settle_s,
            queue_records=settings.memory.log_queue_records,
        )
        self.host_list = HostListPoller(
            service=platform.host_list,
            clock=clock,
            rng=rng,
            data_centre=self.data_centre,
            events=self.recorder,
        )
        self.host_list.subscribe(self._on_listing)
        appender = self.log_client.appender
        self.shared = SettingsService(
            clock=clock,
            rng=rng,
            appender=appender,
            follower=self.log_client.followers_by_stream[SETTINGS_STREAM],
            peers=self.link,
            peer_ids=lambda: self._peer_ids,
            find_problem=find_problem,
            events=self.recorder,
        )
        self.shared.on_change(self._on_settings)
        self._request_settings = make_request_settings(self.shared.current, settings.memory)
        follower = self.log_client.followers_by_stream[own_stream]
        self.ownership = OwnershipService(
            host_id=self.host_id,
            incarnation=incarnation,
            data_centre=self.data_centre,
            timings=make_ownership_timings(self.shared.current),
            shards=SHARDS,
            clock=clock,
            appender=appender,
            follower=follower,
            peers=self.link,
            host_list=self.host_list,
            events=self.recorder,
        )
        self.request_side = RequestSide(
            data_centre=self.data_centre,
            incarnation=incarnation,
            upstreams=platform.upstreams,
            ownership=self.ownership,
            peers=self.link,
            appender=appender,
            follower=follower,
            settings=lambda: self._request_settings,
            clock=clock,
            rng=rng,
            events=self.recorder,
        )
        self.host_list.subscribe(self.request_side.set_hosts)
        self.job_subsystem = JobSubsystem(
            data_centre=self.data_centre,
            incarnation=incarnation,
            shards=SHARDS.jobs,
            placement=make_placement_settings(self.shared.current),
            worker_timings=make_worker_timings(self.shared.current),
            worker_calls=platform.workers,
            ownership=self.ownership,
            peers=self.link,
            appender=appender,
            follower=follower,
            hosts=lambda: self.host_list.latest,
            team_problem=self._find_team_problem,
            clock=clock,
            rng=rng,
            events=self.recorder,
        )
        self.memory = MemoryWatch(limit_mb=settings.memory.total_mb, events=self.recorder)
        self.timeline = TimelineService(
            link=self.link, ring=self.recorder.ring, peers=lambda: self._peer_ids
        )
        ops = HttpOps(
            metrics=self.metrics,
            timeline=self.timeline,
            not_ready_reasons=self.not_ready_reasons,
            present=PresentState(
                jobs=self.job_subsystem.intake, requests=self.request_side.requests.request_table
            ).describe,
        )
        register_host_metrics(
            metrics=self.metrics,
            link=self.link,
            log_client=self.log_client,
            ownership=self.ownership,
            request_side=self.request_side,
            job_subsystem=self.job_subsystem,
            memory=self.memory,
        )
        self.drain_route = HttpDrain(is_log_up=lambda: appender.is_log_up)
        self.guard = LoadGuard(clock=clock, counters=self.request_side.requests.counters)
        client_limits = _client_limits(settings)
        self.clients = make_budget(
            limits=lambda: client_limits, recorder=self.recorder, metrics=self.metrics
        )
        self.server = HttpServer(
            handlers=(
                ops,
                self.drain_route,
                HttpStatus(describe=self.status),
                HttpSettings(service=self.shared),
                self.request_side.routes,
                self.job_subsystem.routes,
            ),
            clock=clock,
            bind=settings.http_bind,
            tls=tls_files(settings),
            verify_clients=settings.tls is not None and settings.tls.ca_file is not None,
            log_error=self.recorder.record_error,
            guard=self.guard.check,
            budget=self.clients,
        )
        self._incarnation = incarnation
        self._clock = clock
        self._started_at = clock.now()
        self._is_draining = False

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all services until cancelled; reports started once both servers are bound."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.link.run)
            nursery.start_soon(self.guard.run)
            nursery.start_soon(self.clients.run)
            await nursery.start(self.server.run)
            self._record_bound()
            task_status.started()
            await nursery.start(self.memory.run)
            await nursery.start(self.host_list.run)
            await nursery.start(self.log_client.run)
            await nursery.start(self.shared.run)
            await nursery.start(self.ownership.run)
            await nursery.start(self.request_side.run)
            await nursery.start(self.job_subsystem.run)

    async def drain(self) -> int:
        """Finish work in progress, hand over and leave; return the number of requests cut off.

        New work is refused first, so that callers move to other hosts meanwhile.
        """
        self._is_draining = True
        deadline = self._clock.now() + self.settings.drain_timeout_seconds
        is_log_up = self.log_client.appender.is_log_up
        self.recorder.record(
            "node.drain",
            subjects=(self.host_id,),
            cause="" if is_log_up else OUTAGE_WARNING,
            level=Level.INFO if is_log_up else Level.WARNING,
        )
        with trio.move_on_after(self.settings.drain_timeout_seconds):
            await self.job_subsystem.drain()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.request_side.drain)
                nursery.start_soon(self.ownership.drain)
        cut_off = await self.server.drain(max(MIN_RESPONSE_GRACE_S, deadline - self._clock.now()))
        self.recorder.record(
            "node.drained", subjects=(self.host_id,), fields={"cut_off": str(cut_off)}
        )
        return cut_off

    def not_ready_reasons(self) -> Sequence[str]:
        """Return why the load balancer should send no traffic here; empty if it may."""
        reasons = []
        if self._is_draining:
            reasons.append("draining")
        if self.host_list.latest is None:
            reasons.append("the platform's host list was never read")
        if not self.ownership.is_member:
            reasons.append("not yet in the roster of its data centre")
        reasons.extend(self.shared.not_ready_reasons())
        reasons.extend(self.memory.not_ready_reasons())
        return reasons

    def status(self) -> HostStatus:
        """Return the status of this entry host, for operators."""
        reasons = tuple(self.not_ready_reasons())
        return HostStatus(
            host_id=self.host_id,
            data_centre=self.data_centre,
            incarnation=self._incarnation,
            version=__version__,
            http_address=self.server.address,
            peer_address=self.link.address,
            uptime_s=round(self._clock.now() - self._started_at, 3),
            ready=not reasons,
            reasons=reasons,
            draining=self._is_draining,
            roster=tuple(sorted(self.ownership.roster())),
            owned_by_kind=owned_by_kind(self.ownership),
            host_list_age_s=self.host_list.age_s(),
            settings_digest=self.shared.fold.digest,
            log=self._log_status(),
            work=self._work_status(),
            resident_mb=round(self.memory.resident_mb, 1),
        )

    def _log_status(self) -> LogStatus:
        appender = self.log_client.appender
        followers = self.log_client.followers_by_stream.items()
        return LogStatus(
            is_up=appender.is_log_up,
            is_fresh=self.ownership.has_log_confirmation,
            next_offset_by_stream={name: int(each.next_offset) for name, each in followers},
            queued=appender.queued,
            unresolved=len(appender.unresolved),
        )

    def _work_status(self) -> WorkStatus:
        summary = self.job_subsystem.core.summary()
        return WorkStatus(
            requests_waiting=self.request_side.requests.waiting,
            requests_in_progress=self.request_side.requests.in_progress,
            permits_held=self.request_side.permits.held,
            tasks_waiting_by_class={str(k): v for k, v in summary.waiting_by_class.items()},
            tasks_placed=summary.running,
        )

    def _record_bound(self) -> None:
        self.recorder.record(
            "node.bound",
            subjects=(self.host_id,),
            fields={"http": self.server.address, "peer": self.link.address},
        )

    def _on_rejected_peer(self, peer: str, why: str) -> None:
        self.recorder.record("peer.kept_out", peer=peer, cause=why, level=Level.WARNING)

    def _on_settings(self, current: SharedSettings) -> None:
        self._request_settings = make_request_settings(current, self.settings.memory)
        self.ownership.apply_timings(make_ownership_timings(current))
        self.log_client.appender.set_settle_time(current.log.settle_s)
        self.job_subsystem.apply_settings(
            placement=make_placement_settings(current),
            timings=make_worker_timings(current),
            drained=current.drained_ids,
        )
        if self.host_id in current.drained_ids and not self.drain_route.requested.is_set():
            cause = "the shared settings list it under drains"
            self.recorder.record("node.drain_asked", subjects=(self.host_id,), cause=cause)
            self.drain_route.requested.set()

    def _on_listing(self, listing: HostListing, fetched_at: float) -> None:
        self._set_peers({**self._seeds, **peer_addresses(listing, own=self.host_id)})

    def _set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        self._peer_ids = tuple(addresses_by_id)
        self.link.set_peers(addresses_by_id)

    def _find_team_problem(self, spec: JobSpec) -> str | None:
        return find_team_problem(self.shared.current, spec)


def _client_limits(settings: ProcessSettings) -> ClientLimits:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limits_within(memory_bytes=settings.memory.total_mb * MEBIBYTE, sockets=descriptors)
