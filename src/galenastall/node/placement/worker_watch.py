"""Watch one owned worker: list and adopt, poll, renew leases, acknowledge ends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio
from returns.result import Failure, Success

from galenastall.coordination.placement.placement_commands import (
    EndAdvice,
    EndedTask,
    ReconcileReport,
    WorkerState,
)
from galenastall.coordination.placement.task_reports import ReportKind, TaskReport
from galenastall.node.placement.worker_timings import WorkerTimings
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.listing_changes import apply_changes
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.platform import WorkerListing, WorkerService
from galenastall.state.hosts import HostState
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.work import FinishedTask, TaskEnd

if TYPE_CHECKING:
    from galenastall.node.placement.worker_service import WorkerService as Owner

IDLE_POLLS: Final = 2
"""An idle worker is polled once in this many intervals; `silent_s` counts from its last answer."""
KIND_BY_ADVICE = {
    EndAdvice.DONE: ReportKind.DONE,
    EndAdvice.RETRY: ReportKind.FAILED,
    EndAdvice.GIVE_UP: ReportKind.FAILED,
    EndAdvice.CANCELLED: ReportKind.STOPPED,
}
KIND_BY_DETAIL = {
    TaskEnd.LEASE_LAPSED.value: ReportKind.LOST,
    TaskEnd.STOPPED.value: ReportKind.STOPPED,
    TaskEnd.CHECKPOINTED.value: ReportKind.LOST,
}
"""Interruptions, which don't count as failures of the task."""


class WorkerWatch:
    """One worker under one epoch of its ownership."""

    def __init__(
        self,
        *,
        worker_id: HostId,
        epoch: Epoch,
        owner: Owner,
        workers: WorkerService,
        ownership: OwnershipView,
        clock: Clock,
        timings: WorkerTimings,
        events: EventSink,
    ) -> None:
        """`owner` holds the core, the assigned tasks, the leases and the start settling."""
        self.worker_id = worker_id
        self.epoch = epoch
        self.is_adopted = False
        self.has_expired = False
        self._is_settled = False
        self._owner = owner
        self._workers = workers
        self._ownership = ownership
        self._clock = clock
        self.timings = timings
        """Replaced when operators change them."""
        self._events = events
        self._scope = trio.CancelScope()
        self._poll_requested = trio.Event()
        self._acks: dict[TaskId, None] = {}
        self._known: WorkerListing | None = None
        """The last complete listing, to which the next answer may be a change."""

    @property
    def is_fully_known(self) -> bool:
        """Whether this owner knows all tasks that run there."""
        return (self.is_adopted and self._is_settled) or self.has_expired

    def cancel(self) -> None:
        """Stop watching, since the worker has another owner."""
        self._scope.cancel()

    def poll_soon(self) -> None:
        """Poll the worker soon."""
        self._poll_requested.set()

    def acknowledge(self, task_id: TaskId) -> None:
        """Acknowledge an ended task with the next poll, so that the worker forgets it."""
        self._acks[task_id] = None
        self._poll_requested.set()

    def state(self, now: float) -> WorkerState:
        """Return whether the worker may get new tasks, and if not, why."""
        if not self._is_settled or not self._owner.may_act(self.worker_id, self.epoch):
            return WorkerState.UNRESPONSIVE
        if self._owner.leases.silent_s(self.worker_id, now) > self.timings.silent_after_s:
            return WorkerState.UNRESPONSIVE
        host = self._owner.listed_workers().get(self.worker_id)
        is_live = host is not None and host.state is HostState.LIVE
        is_drained = self.worker_id in self._owner.drained
        return WorkerState.LIVE if is_live and not is_drained else WorkerState.LEAVING

    @property
    def is_to_be_drained(self) -> bool:
        """Whether operators drain the worker, or the host list marks it as leaving.

        A worker that is merely missing from the list keeps its tasks: lists have gaps.
        """
        if self.worker_id in self._owner.drained:
            return True
        host = self._owner.listed_workers().get(self.worker_id)
        return host is not None and host.state is HostState.LEAVING

    async def run(self) -> None:
        """Watch until cancelled."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._query_last_owner)
                await self._poll_loop()

    async def _query_last_owner(self) -> None:
        await self._owner.settling.query_last_owner(self.worker_id, self.epoch)
        self.poll_soon()

    async def _poll_loop(self) -> None:
        while True:
            await self._poll()
            for _ in range(IDLE_POLLS):
                with trio.move_on_after(self.timings.poll_every_s):
                    await self._poll_requested.wait()
                if self._poll_requested.is_set() or not self._is_idle:
                    break
            self._poll_requested = trio.Event()

    @property
    def _is_idle(self) -> bool:
        """Whether the last answer had no running or ended tasks, and none was placed since."""
        known = self._known
        if known is None or known.running or known.finished or not self.is_fully_known:
            return False
        return not self._acks and not self._owner.core.on_worker(self.worker_id)

    async def _poll(self) -> None:
        address = self._owner.address_of(self.worker_id)
        asked_at = self._clock.wall()
        result = None
        if address is not None:
            await self._send_acks(address)
            asked_at = self._clock.wall()
            with trio.move_on_after(self.timings.call_s):
                since = self._known.cursor if self._known is not None else ""
                result = await self._workers.listing(address=address, since=since)
        listing = self._merge(result.unwrap()) if isinstance(result, Success) else None
        before, self._known = self._known, listing
        if listing is None:
            self._check_lease_expiry()
            return
        self._take_listing(listing, asked_at, has_changed=listing != before)
        await self._renew_if_due(str(address), listing)

    def _merge(self, answer: WorkerListing) -> WorkerListing | None:
        return apply_changes(self._known or WorkerListing(running=(), finished=()), answer)

    def _take_listing(self, listing: WorkerListing, asked_at: float, *, has_changed: bool) -> None:
        now = self._clock.wall()
        owner = self._owner
        untils = [running.lease_until for running in listing.running]
        owner.leases.note_listing(self.worker_id, untils, now)
        self.has_expired = False
        if not self.is_adopted:
            host = owner.listed_workers().get(self.worker_id)
            if host is None:
                return
            report = owner.core.add_worker(host, self.epoch, listing.running, now)
            self._take_report(report, listing)
            self.is_adopted = True
            owner.core.set_worker_state(self.worker_id, WorkerState.UNRESPONSIVE)
            self._events.record(
                "worker.adopted",
                peer=self.worker_id,
                cause=f"{len(report.adopted)} tasks run there",
                fields={"epoch": str(self.epoch)},
            )
        elif not has_changed and self._is_idle:
            return
        report = owner.core.on_listing(self.worker_id, listing, now, asked_at)
        self._take_report(report, listing)
        self._take_finished(listing)
        # Only a listing requested after all earlier owners' starts were over is complete.
        self._is_settled |= owner.settling.is_settled(self.worker_id, at=asked_at)
        owner.wake()

    def _take_report(self, report: ReconcileReport, listing: WorkerListing) -> None:
        owner = self._owner
        known_here = {*report.adopted, *report.confirmed}
        for running in listing.running:
            if running.task.task_id in known_here:
                owner.note(running.task, ReportKind.RUNNING, self.worker_id, "listed")
        for ended in report.ended:
            self._take_ended(ended)
        for task in report.lapsed:
            owner.note(task, ReportKind.LOST, self.worker_id, "the worker no longer lists it")
        for task_id in report.requeued:
            owner.requeued(task_id, is_next_attempt=True)
        for task_id in report.duplicates:
            self._events.record(
                "worker.duplicate",
                peer=self.worker_id,
                subjects=(task_id,),
                cause="it runs on another worker too",
            )

    def _take_ended(self, ended: EndedTask) -> None:
        if ended.worker_change:
            self._events.record("worker.health", peer=self.worker_id, cause=ended.worker_change)
        if ended.advice is EndAdvice.REQUEUED:
            self._owner.requeued(ended.task.task_id, is_next_attempt=True)
            return
        kind = KIND_BY_ADVICE[ended.advice]
        if kind is ReportKind.FAILED:
            kind = KIND_BY_DETAIL.get(ended.detail, kind)
        report = TaskReport(
            task_id=ended.task.task_id,
            attempt=ended.task.attempt,
            kind=kind,
            worker_id=self.worker_id,
            detail=ended.detail,
            give_up=ended.advice is EndAdvice.GIVE_UP,
        )
        self._owner.note_report(report, ended.task)

    def _take_finished(self, listing: WorkerListing) -> None:
        """Report ends that are unknown to the core, and acknowledge those that are settled."""
        for end in listing.finished:
            if self._owner.assigned.is_over(end.task_id, end.attempt):
                self._acks[end.task_id] = None
                continue
            known = self._owner.assigned.get(end.task_id)
            if known is None or known.report.attempt <= end.attempt:
                self._owner.note_report(_report_of(end, self.worker_id))

    async def _renew_if_due(self, address: str, listing: WorkerListing) -> None:
        leases = self._owner.leases
        now = self._clock.wall()
        if not listing.running or not leases.is_renewal_due(self.worker_id, now):
            return
        if not self._owner.may_renew(self.worker_id):
            return
        tasks = [running.task.task_id for running in listing.running]
        until = leases.grant(self.worker_id, now)
        with trio.move_on_after(self.timings.call_s):
            result = await self._workers.renew(address=address, tasks=tasks, lease_until=until)
            if isinstance(result, Success):
                leases.note_renewal(self.worker_id, now)

    async def _send_acks(self, address: str) -> None:
        placed = self._owner.core.placed
        tasks = []
        for task_id in self._acks:
            current = placed(task_id)
            # Acknowledgements name the task, not the attempt, so a newer run there must end first.
            if current is None or current.worker_id != self.worker_id:
                tasks.append(task_id)
        if not tasks:
            return
        with trio.move_on_after(self.timings.call_s):
            result = await self._workers.acknowledge(address=address, tasks=tasks)
            if isinstance(result, Failure):
                return
            for task_id in tasks:
                self._acks.pop(task_id, None)

    def _check_lease_expiry(self) -> None:
        now = self._clock.wall()
        owner = self._owner
        if owner.leases.silent_s(self.worker_id, now) > self.timings.silent_after_s:
            self._report_unresponsive()
        peers = self._ownership.roster() - {owner.host_id}
        if self.has_expired or not owner.leases.has_expired(self.worker_id, peers, now):
            return
        self.has_expired = True
        self._events.record(
            "worker.lapsed", peer=self.worker_id, cause="all leases there have expired"
        )
        empty = WorkerListing(running=(), finished=())
        report = owner.core.on_listing(self.worker_id, empty, now, now)
        self._take_report(report, empty)

    def _report_unresponsive(self) -> None:
        for placed in self._owner.core.on_worker(self.worker_id):
            known = self._owner.assigned.get(placed.task.task_id)
            if known is not None and known.report.kind is ReportKind.RUNNING:
                self._owner.note(
                    placed.task, ReportKind.UNKNOWN, self.worker_id, "its worker is unresponsive"
                )


def _report_of(end: FinishedTask, worker: HostId) -> TaskReport:
    kind = ReportKind.DONE if end.ok else KIND_BY_DETAIL.get(end.detail, ReportKind.FAILED)
    return TaskReport(
        task_id=end.task_id,
        attempt=end.attempt,
        kind=kind,
        worker_id=worker,
        detail=end.detail,
    )
