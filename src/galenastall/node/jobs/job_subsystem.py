"""The job services of an entry host: shards, owned workers and HTTP routes, run together."""

import random
from collections.abc import Callable

import trio

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.node.jobs.http_jobs import HttpJobs
from galenastall.node.jobs.job_intake import JobIntake
from galenastall.node.jobs.job_link import JobLink
from galenastall.node.jobs.job_service import JobService
from galenastall.node.placement.worker_service import WorkerService
from galenastall.node.placement.worker_timings import WorkerTimings
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.peers import PeerLink
from galenastall.protocol.platform import WorkerService as WorkerCalls
from galenastall.state.hosts import HostListing
from galenastall.state.ids import DataCentre, HostId, Incarnation
from galenastall.state.job_fold import JobFold
from galenastall.state.upstream_tenures import TenureHistory
from galenastall.state.work import JobSpec


class JobSubsystem:
    """All services of an entry host that handle jobs."""

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        incarnation: Incarnation,
        shards: int,
        placement: PlacementSettings,
        worker_timings: WorkerTimings,
        worker_calls: WorkerCalls,
        ownership: OwnershipView,
        peers: PeerLink,
        appender: LogAppender,
        follower: StreamFollower,
        hosts: Callable[[], HostListing | None],
        team_problem: Callable[[JobSpec], str | None],
        clock: Clock,
        rng: random.Random,
        events: EventSink,
    ) -> None:
        """Build the services; `follower` is the data centre's stream and must not run yet."""
        fold = JobFold()
        follower.subscribe(fold)
        tenures = TenureHistory()
        follower.subscribe(tenures)
        link = JobLink(peers=peers)
        self.core = PlacementCore(settings=placement, seed=rng.getrandbits(32))
        self.workers = WorkerService(
            data_centre=data_centre,
            core=self.core,
            workers=worker_calls,
            ownership=ownership,
            link=link,
            clock=clock,
            hosts=hosts,
            shards=shards,
            tenures=tenures,
            timings=worker_timings,
            events=events,
        )
        self.jobs = JobService(
            fold=fold,
            worker_service=self.workers,
            ownership=ownership,
            link=link,
            appender=appender,
            follower=follower,
            clock=clock,
            incarnation=incarnation,
            shards=shards,
            events=events,
        )
        self.intake = JobIntake(
            data_centre=data_centre,
            fold=fold,
            jobs=self.jobs,
            workers=self.workers,
            ownership=ownership,
            link=link,
            appender=appender,
            follower=follower,
            clock=clock,
            rng=rng,
            events=events,
            team_problem=team_problem,
        )
        self.routes = HttpJobs(
            intake=self.intake, fold=fold, workers=self.workers, ownership=ownership, clock=clock
        )

    def apply_settings(
        self, *, placement: PlacementSettings, timings: WorkerTimings, drained: frozenset[HostId]
    ) -> None:
        """Apply new settings from the next decision on; `drained` names the workers to drain."""
        self.core.apply_settings(placement)
        self.workers.apply_settings(timings, drained)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Drive shards and workers until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.workers.run)
            await nursery.start(self.jobs.run)
            task_status.started()

    async def drain(self) -> None:
        """Stop assigning tasks; tasks queued here return to the next owners of their shards."""
        await self.jobs.drain()
        await self.workers.drain()
