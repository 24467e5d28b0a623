"""Owner of workers: queue the tasks that job shards assign, place them, and report their status.

No task is placed on a worker before it was listed and its running tasks were adopted. Ownership and
the validity of each assignment are checked again right before a start is sent.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

import trio

from galenastall.coordination.placement.assigned_tasks import AssignedTasks
from galenastall.coordination.placement.feasibility import find_obstacle_on_hosts
from galenastall.coordination.placement.leases import LeaseTable
from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import (
    Decision,
    Refusal,
)
from galenastall.coordination.placement.start_horizon import StartHorizon
from galenastall.coordination.placement.task_reports import ReportKind, TaskReport
from galenastall.node.jobs.job_link import JobLink
from galenastall.node.placement.held_gangs import HeldGangs
from galenastall.node.placement.peer_lease_renewer import PeerLeaseRenewer
from galenastall.node.placement.start_settling import StartSettling, Tenures
from galenastall.node.placement.task_inbox import TaskInbox
from galenastall.node.placement.task_reporter import TaskReporter
from galenastall.node.placement.worker_commands import WorkerCommander, record_endings
from galenastall.node.placement.worker_starts import WorkerStarter
from galenastall.node.placement.worker_timings import WorkerTimings
from galenastall.node.placement.worker_watch import WorkerWatch
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.job_messages import (
    JobHeartbeat,
)
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.platform import WorkerService as WorkerCalls
from galenastall.state.hosts import HostKind, HostListing, ListedHost
from galenastall.state.ids import (
    DataCentre,
    Epoch,
    HostId,
    OwnableId,
    OwnableKind,
    TaskId,
    make_ownable_id,
    split_ownable_id,
    split_task_id,
)
from galenastall.state.job_shards import shard_of
from galenastall.state.resources import Resources
from galenastall.state.work import TaskPhase, TaskSpec, Workload

NO_HOST = HostId("")


class WorkerService:
    """All workers that this entry host owns."""

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        core: PlacementCore,
        workers: WorkerCalls,
        ownership: OwnershipView,
        link: JobLink,
        clock: Clock,
        hosts: Callable[[], HostListing | None],
        shards: int,
        tenures: Tenures,
        timings: WorkerTimings | None = None,
        events: EventSink | None = None,
    ) -> None:
        """`hosts` returns the last fetched host list; `shards`: count, the same on all hosts."""
        self.core = core
        self.assigned = AssignedTasks()
        self.watches_by_id: dict[HostId, WorkerWatch] = {}
        self._data_centre = data_centre
        self._workers = workers
        self._ownership = ownership
        self._link = link
        self._clock = clock
        self._hosts = hosts
        self._shards = shards
        self._timings = timings or WorkerTimings()
        self.events = events or NullEventSink()
        self._wake = trio.Event()
        self._is_draining = False
        self.drained: frozenset[HostId] = frozenset()
        """Workers that operators are draining."""
        self._listing: HostListing | None = None
        self._listed: Mapping[HostId, ListedHost] = {}
        self._nursery: trio.Nursery | None = None
        times = self._timings
        self.leases = LeaseTable(
            lease_s=times.lease_s,
            renew_every_s=times.renew_every_s,
            peer_report_max_age_s=times.announce_s,
            longest_lease_s=times.longest_lease_s,
        )
        self.reporter = TaskReporter(
            assigned=self.assigned,
            link=link,
            ownership=ownership,
            clock=clock,
            summary=core.summary,
            settled=self._on_settled,
            window_s=times.report_window_s,
        )
        self._commander = WorkerCommander(
            core=core,
            workers=workers,
            clock=clock,
            call_s=times.call_s,
            note=self.note,
            may_act=self.may_act,
            address_of=self.address_of,
            requeued=self.requeued,
            wake=self.wake,
        )
        self._gangs = HeldGangs(
            core=core,
            assigned=self.assigned,
            link=link,
            clock=clock,
            carry_out=self._carry_out,
            is_accepting=lambda: not self._is_draining,
        )
        self.horizon = StartHorizon()
        self.settling = StartSettling(
            horizon=self.horizon, tenures=tenures, ownership=ownership, link=link, clock=clock
        )
        self._starter = WorkerStarter(owner=self, workers=workers, clock=clock, timings=times)
        self._inbox = TaskInbox(owner=self, gangs=self._gangs, link=link, clock=clock)
        self.peer_renewer = PeerLeaseRenewer(
            host_id=link.host_id,
            workers=workers,
            ownership=ownership,
            clock=clock,
            timings=times,
            listed_workers=self.listed_workers,
            events=self.events,
        )
        ownership.on_activated(self._on_activated)
        ownership.on_lost(self._on_lost)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Watch the owned workers and decide, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.reporter.run)
            await nursery.start(self.peer_renewer.run)
            for watch in self.watches_by_id.values():
                nursery.start_soon(watch.run)
            task_status.started()
            await self._decide_loop()

    async def drain(self, *, timeout_s: float = 5.0) -> None:
        """Return queued tasks and send all reports to the shards; running tasks continue."""
        self._is_draining = True
        now = self._clock.wall()
        for shard in range(self._shards):
            self._inbox.return_tasks(
                self.assigned.queued_of(shard), "this entry host is draining", now
            )
        self.reporter.wake()
        with trio.move_on_after(timeout_s):
            while self.assigned.has_unsent():
                await self.reporter.progress()

    def apply_settings(self, timings: WorkerTimings, drained: frozenset[HostId]) -> None:
        """Use other timings and drain these workers from now on."""
        self._timings = timings
        self.leases.apply(lease_s=timings.lease_s, renew_every_s=timings.renew_every_s)
        self.peer_renewer.timings = timings
        self._starter.timings = timings
        for watch in self.watches_by_id.values():
            watch.timings = timings
        self.drained = drained
        self.wake()

    @property
    def is_draining(self) -> bool:
        """Whether this entry host accepts and starts no new tasks."""
        return self._is_draining

    def wake(self) -> None:
        """Run a decision soon."""
        self._wake.set()

    def on_heartbeat(self, sender: HostId, heartbeat: JobHeartbeat) -> None:
        """Apply a shard owner's heartbeat, which extends the validity of its assignments."""
        for each in heartbeat.shards:
            self._inbox.note_owner(each.shard, sender, each.epoch, heartbeat.valid_until)
        now = self._clock.wall()
        self.leases.note_peer_renewals(sender, heartbeat.renewing, now)
        self.peer_renewer.note_alive(sender, now)

    def listed_workers(self) -> Mapping[HostId, ListedHost]:
        """Return this data centre's workers according to the platform's host list."""
        listing = self._hosts()
        if listing is not self._listing:
            self._listing = listing
            self._listed = {} if listing is None else self._select_workers(listing)
        return self._listed

    def _select_workers(self, listing: HostListing) -> dict[HostId, ListedHost]:
        return {
            host_id: host
            for host_id, host in listing.by_id.items()
            if host.kind is HostKind.WORKER and host.data_centre == self._data_centre
        }

    def address_of(self, worker: HostId) -> str | None:
        """Return a worker's address, or None if the host list doesn't contain it."""
        host = self.listed_workers().get(worker)
        return host.address if host else None

    def may_act(self, worker: HostId, epoch: Epoch) -> bool:
        """Return whether a command decided under this epoch may be sent now."""
        return self._ownership.may_act(make_ownable_id(OwnableKind.WORKER, worker)) == epoch

    def may_renew(self, worker: HostId) -> bool:
        """Return whether the log as read so far names this host as the worker's owner."""
        ownable = make_ownable_id(OwnableKind.WORKER, worker)
        return self._ownership.owner_of(ownable) == self._link.host_id

    @property
    def host_id(self) -> HostId:
        """This entry host."""
        return self._link.host_id

    def note(
        self, task: TaskSpec, kind: ReportKind, worker: HostId = NO_HOST, detail: str = ""
    ) -> None:
        """Record the latest status of a task, for its shard."""
        report = TaskReport(
            task_id=task.task_id,
            attempt=task.attempt,
            kind=kind,
            worker_id=worker,
            detail=detail,
            need_mb=self.core.raised_need_mb(task),
        )
        self.note_report(report, task)

    def note_report(self, report: TaskReport, task: TaskSpec | None = None) -> None:
        """Record a report for its task's shard."""
        job_id, _ = split_task_id(report.task_id)
        shard = shard_of(job_id, shards=self._shards)
        self.assigned.note(report, shard=shard, task=task)
        self.reporter.wake()

    def requeued(self, task_id: TaskId, *, is_next_attempt: bool) -> None:
        """Handle a task that the core queued again; gang tasks are returned to their shard."""
        known = self.assigned.get(task_id)
        if known is None or known.task is None:
            return
        task = known.task
        if is_next_attempt:
            task = _as_next_attempt(task)
        if task.workload is Workload.GANG or not self.assigned.is_valid(
            task_id, self._clock.wall()
        ):
            self.core.cancel((task_id,), self._clock.wall())
            kind = ReportKind.STOPPED if is_next_attempt else ReportKind.RETURNED
            if is_next_attempt and self._give_up_if_too_large(known.task):
                return
            self.note(known.task, kind, detail="it was interrupted here")
            return
        if is_next_attempt:
            self.events.record("worker.made_way", subjects=(task_id,))
            self.note(task, ReportKind.QUEUED, detail="it was preempted and is queued again")
        else:
            self.assigned.set_without_report(task_id, ReportKind.QUEUED)
        self.wake()

    def _give_up_if_too_large(self, task: TaskSpec) -> bool:
        """Report a task as failed for good if it needed more than any listed worker has."""
        need = task.resources.at_least(Resources(memory_mb=self.core.raised_need_mb(task)))
        obstacle = find_obstacle_on_hosts(need, self.listed_workers().values())
        if obstacle is None:
            return False
        report = TaskReport(
            task_id=task.task_id,
            attempt=task.attempt,
            kind=ReportKind.FAILED,
            detail=obstacle,
            give_up=True,
        )
        self.note_report(report, task)
        return True

    def _on_activated(self, ownable: OwnableId, epoch: Epoch) -> None:
        kind, name = split_ownable_id(ownable)
        if kind is not OwnableKind.WORKER:
            return
        worker = HostId(name)
        self._drop_watch(worker)
        self.settling.begin(worker, epoch, settle_s=self._timings.start_settle_s)
        watch = WorkerWatch(
            worker_id=worker,
            epoch=epoch,
            owner=self,
            workers=self._workers,
            ownership=self._ownership,
            clock=self._clock,
            timings=self._timings,
            events=self.events,
        )
        self.watches_by_id[worker] = watch
        self.leases.add(worker, self._clock.wall())
        if self._nursery is not None:
            self._nursery.start_soon(watch.run)

    def _on_lost(self, ownable: OwnableId) -> None:
        kind, name = split_ownable_id(ownable)
        if kind is OwnableKind.WORKER:
            self._drop_watch(HostId(name))

    def _drop_watch(self, worker: HostId) -> None:
        watch = self.watches_by_id.pop(worker, None)
        if watch is None:
            return
        watch.cancel()
        self.leases.remove(worker)
        for placed in self.core.remove_worker(worker):
            if placed.phase is TaskPhase.HELD:
                continue
            self.note(placed.task, ReportKind.ORPHANED, worker, "its worker has another owner")

    async def _decide_loop(self) -> None:
        while True:
            with trio.move_on_after(self._timings.tick_s):
                await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(self._timings.window_s)
            self._decide()

    def _decide(self) -> None:
        now = self._clock.wall()
        late = self.assigned.find_invalid(now)
        self._inbox.return_tasks(late, "its shard's owner stopped sending heartbeats", now)
        for worker, watch in self.watches_by_id.items():
            self.core.set_worker_state(worker, watch.state(now))
            if watch.is_to_be_drained and self.may_act(worker, watch.epoch):
                self.core.drain_worker(worker)
        decision = self.core.decide(now, 0 if self._is_draining else self._timings.decide_limit)
        self._gangs.expired(decision.expired_holds)
        for refusal in decision.refusals:
            self._on_refusal(refusal)
        self._carry_out(decision)
        if decision.more and not self._is_draining:
            self.wake()

    def _on_refusal(self, refusal: Refusal) -> None:
        """Report a task as refused, or as returned if another owner's worker is large enough."""
        need = refusal.need
        owned = [
            host for worker, host in self.listed_workers().items() if worker in self.watches_by_id
        ]
        fits_elsewhere = (
            find_obstacle_on_hosts(need, owned) is not None
            and find_obstacle_on_hosts(need, self.listed_workers().values()) is None
        )
        report = TaskReport(
            task_id=refusal.task.task_id,
            attempt=refusal.task.attempt,
            kind=ReportKind.RETURNED if fits_elsewhere else ReportKind.REFUSED,
            detail=f"{refusal.reason.value}: {refusal.detail}",
            give_up=not fits_elsewhere,
        )
        self.events.record("worker.refused", subjects=(refusal.task.task_id,), cause=report.detail)
        self.note_report(report, refusal.task)

    def _carry_out(self, decision: Decision) -> None:
        if self._nursery is None:
            return
        for commands in decision.by_worker:
            if commands.starts:
                for start in commands.starts:
                    self.assigned.set_without_report(start.task.task_id, ReportKind.UNKNOWN)
                self._nursery.start_soon(self._starter.start, commands)
            if commands.stops or commands.checkpoints or commands.throttles:
                record_endings(self.events, commands)
                self._nursery.start_soon(self._commander.send, commands)

    def _on_settled(self, reports: Iterable[TaskReport]) -> None:
        for report in reports:
            watch = self.watches_by_id.get(report.worker_id)
            if watch is not None:
                watch.acknowledge(report.task_id)


def _as_next_attempt(task: TaskSpec) -> TaskSpec:
    return replace(task, attempt=task.attempt + 1)
