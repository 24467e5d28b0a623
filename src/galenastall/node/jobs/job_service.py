"""Runs the owned job shards: a core for each, fed from the log and by peers."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import trio

from galenastall.coordination.jobs.job_shard import JobShard
from galenastall.coordination.jobs.shard_commands import CancelCounts, ShardSettings
from galenastall.coordination.placement.placement_commands import CapacitySummary
from galenastall.coordination.placement.team_gossip import TeamGossip
from galenastall.node.jobs.job_link import JobLink
from galenastall.node.jobs.job_maintenance import JobMaintenance
from galenastall.node.jobs.job_timings import JobTimings
from galenastall.node.jobs.job_views import view_run, view_state
from galenastall.node.jobs.shard_driver import ShardDriver
from galenastall.node.placement.known_workers import KnownWorkers
from galenastall.node.placement.worker_service import WorkerService
from galenastall.protocol.amount_rows import (
    pack_amount,
    pack_summary,
    unpack_amount,
    unpack_summary,
)
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.job_messages import (
    JobCancel,
    JobCancelAnswer,
    JobHeartbeat,
    JobHold,
    JobQuery,
    JobReply,
    JobView,
    ShardEpoch,
    TaskEvents,
    TaskEventsAnswer,
)
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.task_rows import unpack_reports
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import (
    Epoch,
    HostId,
    JobId,
    OwnableId,
    OwnableKind,
    split_ownable_id,
)
from galenastall.state.job_fold import JobFold, JobListener, JobState
from galenastall.state.job_records import EndedRanges
from galenastall.state.job_shards import shard_of, shard_ownable
from galenastall.state.work import JobSpec

READ_POLL_S = 0.1
"""How often a shard that waits for the log is checked, in seconds."""


class JobService(JobListener):
    """All job shards that this entry host owns, and its heartbeats to the other entry hosts."""

    def __init__(
        self,
        *,
        fold: JobFold,
        worker_service: WorkerService,
        ownership: OwnershipView,
        link: JobLink,
        appender: LogAppender,
        follower: StreamFollower,
        clock: Clock,
        incarnation: str,
        shards: int,
        settings: ShardSettings | None = None,
        timings: JobTimings | None = None,
        events: EventSink | None = None,
    ) -> None:
        """`fold` is subscribed to `follower`, the data centre's stream, before it runs."""
        self.fold = fold
        self.drivers_by_shard: dict[int, ShardDriver] = {}
        self._workers = worker_service
        self._ownership = ownership
        self._link = link
        self._appender = appender
        self._follower = follower
        self._clock = clock
        self._incarnation = incarnation
        self._shards = shards
        self._settings = settings or ShardSettings()
        self._timings = timings or JobTimings()
        self._events = events or NullEventSink()
        self._nursery: trio.Nursery | None = None
        self._summaries: dict[HostId, CapacitySummary] = {}
        self._last_seen_at: dict[HostId, float] = {}
        self._incarnations: dict[HostId, str] = {}
        self._void_at: dict[HostId, float] = {}
        self._held: dict[JobId, JobState] = {}
        self._cancels_to_log: dict[JobId, str] = {}
        self._teams = TeamGossip()
        self._known_workers = KnownWorkers(
            fold=fold,
            listed=worker_service.listed_workers,
            clock=clock,
            vanished_s=self._timings.vanished_s,
        )
        self._maintenance = JobMaintenance(
            fold=fold,
            known_workers=self._known_workers,
            drivers=lambda: list(self.drivers_by_shard.values()),
            held=self._held,
            cancels=self._cancels_to_log,
            appender=appender,
            stream=follower.stream,
            clock=clock,
            timings=self._timings,
            events=self._events,
        )
        self._is_draining = False
        fold.listen(self)
        link.answer(TaskEvents, self._on_events)
        link.answer(JobHold, self._on_hold)
        link.answer(JobCancel, self._on_cancel)
        link.answer(JobQuery, self._on_ask)
        link.on_message(JobHeartbeat, self._on_heartbeat)
        ownership.on_activated(self._on_activated)
        ownership.on_lost(self._on_lost)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Drive the owned shards until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for driver in self.drivers_by_shard.values():
                nursery.start_soon(driver.run)
            nursery.start_soon(self._maintenance.run)
            task_status.started()
            while True:
                self._send_heartbeat()
                peers = len(self._ownership.roster())
                await trio.sleep(
                    self._timings.heartbeat_s + self._timings.heartbeat_s_per_peer * peers
                )

    async def drain(self) -> None:
        """Stop assigning tasks, and log all ends that are decided and not yet logged."""
        self._is_draining = True
        for driver in self.drivers_by_shard.values():
            await driver.drain()

    def on_job(self, job: JobState) -> None:
        """Add a job of an owned shard that the log now holds."""
        self._held.pop(job.spec.job_id, None)
        driver = self._driver_of(job.spec.job_id)
        if driver is not None:
            self._add(driver, job)

    def on_tasks_ended(self, end: EndedRanges) -> None:
        """Pass task ends that the log now holds to their shard, if it is owned."""
        driver = self._driver_of(end.job_id)
        if driver is not None:
            driver.core.on_tasks_ended(end)

    def on_cancelled(self, job: JobState) -> None:
        """Stop a job of an owned shard."""
        self._cancels_to_log.pop(job.spec.job_id, None)
        driver = self._driver_of(job.spec.job_id)
        if driver is not None:
            driver.core.cancel(job.spec.job_id, self._clock.wall())
            driver.wake()

    def on_ended(self, job: JobState) -> None:
        """Remove an ended job from its shard, if it is owned."""
        driver = self._driver_of(job.spec.job_id)
        if driver is not None:
            driver.core.forget(job.spec.job_id)

    def owner_of(self, job_id: JobId) -> HostId | None:
        """Return the owner of a job's shard, according to the log read so far."""
        return self._ownership.owner_of(_ownable_of(job_id, self._shards))

    def held(self, job_id: JobId) -> JobState | None:
        """Return a job that this entry host holds while the log can't take it."""
        return self._held.get(job_id)

    def summaries(self) -> Mapping[HostId, CapacitySummary]:
        """Return the newest capacity summary of each entry host that sent a heartbeat recently."""
        now = self._clock.wall()
        fresh = {
            host: summary
            for host, summary in self._summaries.items()
            if now <= self._last_seen_at.get(host, 0.0) + self._timings.silent_s
        }
        fresh[self._link.host_id] = self._own_summary()
        return fresh

    def hold(self, spec: JobSpec) -> None:
        """Hold a job until the log can take it; run it if its shard is owned here."""
        if self.fold.get(spec.job_id) is not None or spec.job_id in self._held:
            return
        state = JobState(spec=spec, accepted_at=None, was_held=True)
        self._held[spec.job_id] = state
        driver = self._driver_of(spec.job_id)
        if driver is not None:
            driver.core.add_job(state, is_fresh=False, now=self._clock.wall())
            driver.wake()

    def log_cancellation_later(self, job_id: JobId, cause: str) -> None:
        """Log a cancellation when the log is back."""
        self._cancels_to_log[job_id] = cause

    def view(self, ask: JobQuery) -> JobView:
        """Return the view of a job of an owned shard, or of one that is held here."""
        driver = self._driver_of(ask.job_id)
        run = driver.core.runs_by_id.get(ask.job_id) if driver else None
        if run is not None:
            return view_run(run, ask)
        held = self._held.get(ask.job_id)
        return view_state(held, ask) if held else JobView(is_known=False, counts={})

    def _own_summary(self) -> CapacitySummary:
        return self._workers.core.summary()

    def _driver_of(self, job_id: JobId) -> ShardDriver | None:
        return self.drivers_by_shard.get(shard_of(job_id, shards=self._shards))

    def _add(self, driver: ShardDriver, job: JobState) -> None:
        # A job logged after this shard's claim was never assigned by an earlier owner.
        is_fresh = (
            job.accepted_at is not None and job.accepted_at > driver.core.epoch and not job.was_held
        )
        driver.core.add_job(job, is_fresh=is_fresh, now=self._clock.wall())
        driver.wake()

    async def _activate_once_read(self, ownable: OwnableId, epoch: Epoch) -> None:
        """Activate a shard only once the fold holds all that earlier owners logged.

        Ownership may be ahead of the fold, since it also follows the log through peers.
        """
        # The follower has no event for an offset; this happens only without access to the log.
        while self._follower.next_offset < epoch:  # noqa: ASYNC110
            await trio.sleep(READ_POLL_S)
        while ownable in self._ownership.owned():
            current = self._ownership.may_act(ownable)
            if current is not None:
                if current == epoch:
                    self._on_activated(ownable, epoch)
                return
            await trio.sleep(READ_POLL_S)

    def _on_activated(self, ownable: OwnableId, epoch: Epoch) -> None:
        kind, name = split_ownable_id(ownable)
        if kind is not OwnableKind.JOBS:
            return
        shard = int(name)
        self._drop(shard)
        if self._follower.next_offset < epoch and self._nursery is not None:
            self._nursery.start_soon(self._activate_once_read, ownable, epoch)
            return
        core = JobShard(
            shard=shard, epoch=epoch, is_ended=self.fold.is_ended, settings=self._settings
        )
        driver = ShardDriver(
            core=core,
            link=self._link,
            ownership=self._ownership,
            appender=self._appender,
            follower=self._follower,
            clock=self._clock,
            timings=self._timings,
            events=self._events,
            summaries=self.summaries,
            workers_expected=self._known_workers.expected,
            may_have_lost_ends=self._known_workers.may_have_lost_ends,
        )
        self.drivers_by_shard[shard] = driver
        for job in (*self.fold.live_by_id.values(), *self._held.values()):
            if shard_of(job.spec.job_id, shards=self._shards) == shard:
                self._add(driver, job)
        if self._nursery is not None:
            self._nursery.start_soon(driver.run)

    def _on_lost(self, ownable: OwnableId) -> None:
        kind, name = split_ownable_id(ownable)
        if kind is OwnableKind.JOBS:
            self._drop(int(name))

    def _drop(self, shard: int) -> None:
        driver = self.drivers_by_shard.pop(shard, None)
        if driver is not None:
            driver.cancel()

    def _send_heartbeat(self) -> None:
        now = self._clock.wall()
        self._known_workers.note(now)
        first = self.drivers_by_shard.get(0)
        if first is not None and first.may_act and self._nursery is not None:
            self._nursery.start_soon(self._maintenance.log_workers)
        shards = tuple(
            ShardEpoch(shard=shard, epoch=driver.core.epoch)
            for shard, driver in self.drivers_by_shard.items()
            if driver.may_act
        )
        team_updates = self._teams.take_updates(self._workers.core.reserved_by_team())
        heartbeat = JobHeartbeat(
            incarnation=self._incarnation,
            shards=shards,
            valid_until=now + self._timings.valid_s,
            summary=pack_summary(self._own_summary()),
            renewing=self._workers.peer_renewer.renewing(),
            reserved_by_team={team: pack_amount(amount) for team, amount in team_updates.items()},
        )
        self._workers.core.set_reserved_elsewhere(self._teams.reserved_elsewhere())
        # A heartbeat without shards does not extend the validity of the host's queued tasks.
        without_shards = replace(heartbeat, shards=(), valid_until=0.0)
        me = self._link.host_id
        self._workers.on_heartbeat(me, heartbeat)
        roster = self._ownership.roster()
        for host in roster - {me}:
            is_unresponsive = now > self._last_seen_at.get(host, 0.0) + self._timings.silent_s
            self._link.send(host, without_shards if is_unresponsive else heartbeat)
            if is_unresponsive:
                self._on_unresponsive(host, now)
            else:
                self._void_at.pop(host, None)
        for host in self._last_seen_at.keys() - roster:
            self._forget_host(host)

    def _on_unresponsive(self, host: HostId, now: float) -> None:
        """Let an unresponsive host's queued tasks expire; then mark them unconfirmed."""
        void_at = self._void_at.setdefault(host, now + self._timings.valid_s + self._timings.skew_s)
        if now > void_at:
            self._void_at[host] = now + self._timings.valid_s + self._timings.skew_s
            self._mark_unconfirmed(host)

    def _forget_host(self, host: HostId) -> None:
        self._last_seen_at.pop(host, None)
        self._summaries.pop(host, None)
        self._incarnations.pop(host, None)
        self._void_at.pop(host, None)
        self._teams.forget(host)
        self._mark_unconfirmed(host)

    def _mark_unconfirmed(self, host: HostId) -> None:
        for driver in self.drivers_by_shard.values():
            if driver.core.on_assignee_gone(host):
                driver.wake()

    def _on_heartbeat(self, sender: HostId, heartbeat: JobHeartbeat) -> None:
        now = self._clock.wall()
        if self._incarnations.get(sender, heartbeat.incarnation) != heartbeat.incarnation:
            self._mark_unconfirmed(sender)
        self._incarnations[sender] = heartbeat.incarnation
        self._last_seen_at[sender] = now
        self._summaries[sender] = unpack_summary(heartbeat.summary)
        reserved = {team: unpack_amount(row) for team, row in heartbeat.reserved_by_team.items()}
        self._teams.apply_updates(sender, reserved)
        self._workers.on_heartbeat(sender, heartbeat)

    async def _on_events(self, sender: HostId, message: TaskEvents) -> Any:
        driver = self.drivers_by_shard.get(message.shard)
        if driver is None or not driver.may_act:
            return StepError(
                step="job.task_events", peer=self._link.host_id, reason=Reason.NOT_OWNER
            )
        self._summaries[sender] = unpack_summary(message.summary)
        reports = unpack_reports(message.reports)
        settled = driver.core.on_reports(sender, reports, self._clock.wall())
        kept = {id(report) for report in settled}
        driver.wake()
        return TaskEventsAnswer(
            settled=tuple(position for position, report in enumerate(reports) if id(report) in kept)
        )

    async def _on_hold(self, _sender: HostId, message: JobHold) -> JobReply:
        self.hold(message.spec)
        return JobReply(ok=True)

    async def _on_cancel(self, _sender: HostId, message: JobCancel) -> Any:
        driver = self._driver_of(message.job_id)
        if driver is None or not driver.may_act:
            return StepError(step="job.cancel", peer=self._link.host_id, reason=Reason.NOT_OWNER)
        counts: CancelCounts | None = driver.core.cancel(message.job_id, self._clock.wall())
        driver.wake()
        return JobCancelAnswer(counts=counts)

    async def _on_ask(self, _sender: HostId, message: JobQuery) -> JobView:
        return self.view(message)


def _ownable_of(job_id: JobId, shards: int) -> OwnableId:
    return shard_ownable(shard_of(job_id, shards=shards))
