"""Owner of workers: queue what job shards assign, place it, and tell what became of it.

Nothing is decided on a worker before it was listed and what it runs was adopted. Ownership, and the
validity of each assignment, are asked for again right before a start leaves.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.assigned_tasks import AssignedTasks
from galenastall.coordination.leases import LeaseBook
from galenastall.coordination.placement import PlacementCore
from galenastall.coordination.placement_commands import (
    CancelVerdict,
    Decision,
    StartAnswer,
    StartTask,
    WorkerCommands,
)
from galenastall.coordination.task_reports import ReportKind, TaskReport
from galenastall.node.held_gangs import HeldGangs
from galenastall.node.job_link import JobLink, nothing_sent
from galenastall.node.lease_helper import LeaseHelper
from galenastall.node.task_reporter import TaskReporter
from galenastall.node.worker_commands import WorkerCommander
from galenastall.node.worker_timings import WorkerTimings
from galenastall.node.worker_watch import WorkerWatch
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.job_messages import (
    JobBeat,
    JobWord,
    ShardCensus,
    ShardRecover,
    TaskAssign,
    TaskExplain,
    TaskExplained,
    TaskRecall,
    TaskStop,
)
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.platform import StartBatch, StartRequest, TaskAnswer
from galenastall.protocol.platform import WorkerService as WorkerCalls
from galenastall.protocol.task_rows import pack_reports, unpack_tasks
from galenastall.state.errors import StepError
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
        timings: WorkerTimings | None = None,
        events: EventSink | None = None,
    ) -> None:
        """`hosts` returns the platform's list as last fetched; `shards` is the same everywhere."""
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
        self._events = events or NullEventSink()
        self._wake = trio.Event()
        self._is_draining = False
        self.drained: frozenset[HostId] = frozenset()
        """Workers that operators drain."""
        self._listing: HostListing | None = None
        self._listed: Mapping[HostId, ListedHost] = {}
        self._nursery: trio.Nursery | None = None
        times = self._timings
        self.leases = LeaseBook(
            lease_s=times.lease_s,
            renew_every_s=times.renew_every_s,
            peer_word_s=times.announce_s,
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
            is_taking=lambda: not self._is_draining,
        )
        self.helper = LeaseHelper(
            host_id=link.host_id,
            workers=workers,
            ownership=ownership,
            clock=clock,
            timings=times,
            listed_workers=self.listed_workers,
            events=self._events,
        )
        link.answer(TaskAssign, self._on_assign)
        link.answer(TaskStop, self._on_stop)
        link.answer(TaskRecall, self._on_recall)
        link.answer(ShardRecover, self._on_recover)
        link.answer(TaskExplain, self._on_explain)
        ownership.on_activated(self._on_activated)
        ownership.on_lost(self._on_lost)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Watch the owned workers and decide, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.reporter.run)
            await nursery.start(self.helper.run)
            for watch in self.watches_by_id.values():
                nursery.start_soon(watch.run)
            task_status.started()
            await self._decide_rounds()

    async def drain(self, *, timeout_s: float = 5.0) -> None:
        """Give back what waits and tell the shards what is known; running tasks go on."""
        self._is_draining = True
        now = self._clock.wall()
        for shard in range(self._shards):
            self._give_back(self.assigned.queued_of(shard), "this entry host drains", now)
        self.reporter.wake()
        with trio.move_on_after(timeout_s):
            while self.assigned.has_unsent():
                await self.reporter.progress()

    def apply_settings(self, timings: WorkerTimings, drained: frozenset[HostId]) -> None:
        """Use other timings, and let the tasks of other workers move, from now on."""
        self._timings = timings
        self.leases.apply(lease_s=timings.lease_s, renew_every_s=timings.renew_every_s)
        self.helper.timings = timings
        for watch in self.watches_by_id.values():
            watch.timings = timings
        self.drained = drained
        self.wake()

    def wake(self) -> None:
        """Decide soon."""
        self._wake.set()

    def hear_beat(self, sender: HostId, beat: JobBeat) -> None:
        """Take a shard owner's beat: its assignments stay valid."""
        for each in beat.shards:
            self._hear(each.shard, sender, each.epoch, beat.valid_until)
        now = self._clock.wall()
        self.leases.hear_peer(sender, beat.renewing, now)
        self.helper.hear_owner(sender, now)

    def listed_workers(self) -> Mapping[HostId, ListedHost]:
        """Return this data centre's workers as the platform's list shows them."""
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
        """Return a worker's address, or None if the list doesn't show it."""
        host = self.listed_workers().get(worker)
        return host.address if host else None

    def may_act(self, worker: HostId, epoch: Epoch) -> bool:
        """Return whether a command decided under this epoch may leave now."""
        return self._ownership.may_act(make_ownable_id(OwnableKind.WORKER, worker)) == epoch

    def may_renew(self, worker: HostId) -> bool:
        """Return whether the log, as far as it was read, still names this host as the owner."""
        ownable = make_ownable_id(OwnableKind.WORKER, worker)
        return self._ownership.owner_of(ownable) == self._link.host_id

    @property
    def host_id(self) -> HostId:
        """This entry host."""
        return self._link.host_id

    def note(
        self, task: TaskSpec, kind: ReportKind, worker: HostId = NO_HOST, detail: str = ""
    ) -> None:
        """Take the latest word on a task, for its shard."""
        report = TaskReport(
            task_id=task.task_id,
            attempt=task.attempt,
            kind=kind,
            worker_id=worker,
            detail=detail,
        )
        self.note_report(report, task)

    def note_report(self, report: TaskReport, task: TaskSpec | None = None) -> None:
        """Take a report for its task's shard."""
        job_id, _ = split_task_id(report.task_id)
        shard = shard_of(job_id, shards=self._shards)
        self.assigned.note(report, shard=shard, task=task)
        self.reporter.wake()

    def requeued(self, task_id: TaskId, *, is_next_attempt: bool) -> None:
        """Take note that the core let a task wait again; gangs' tasks go back to their shard."""
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
            self.note(known.task, kind, detail="it broke off here")
            return
        if is_next_attempt:
            self.note(task, ReportKind.QUEUED, detail="it made way and waits again")
        else:
            self.assigned.set_quietly(task_id, ReportKind.QUEUED)
        self.wake()

    def _on_activated(self, ownable: OwnableId, epoch: Epoch) -> None:
        kind, name = split_ownable_id(ownable)
        if kind is not OwnableKind.WORKER:
            return
        worker = HostId(name)
        self._drop_watch(worker)
        watch = WorkerWatch(
            worker_id=worker,
            epoch=epoch,
            owner=self,
            workers=self._workers,
            ownership=self._ownership,
            clock=self._clock,
            timings=self._timings,
            events=self._events,
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

    async def _decide_rounds(self) -> None:
        while True:
            with trio.move_on_after(self._timings.tick_s):
                await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(self._timings.window_s)
            self._decide()

    def _decide(self) -> None:
        now = self._clock.wall()
        self._give_back(self.assigned.drop_invalid(now), "its shard's owner went silent", now)
        for worker, watch in self.watches_by_id.items():
            self.core.set_worker_state(worker, watch.state(now))
            if watch.is_leaving and self.may_act(worker, watch.epoch):
                self.core.drain_worker(worker)
        decision = self.core.decide(now, 0 if self._is_draining else self._timings.decide_limit)
        self._gangs.expired(decision.expired_holds)
        for refusal in decision.refusals:
            report = TaskReport(
                task_id=refusal.task.task_id,
                attempt=refusal.task.attempt,
                kind=ReportKind.REFUSED,
                detail=f"{refusal.reason.value}: {refusal.detail}",
                give_up=True,
            )
            self.note_report(report, refusal.task)
        self._carry_out(decision)
        if decision.more and not self._is_draining:
            self.wake()

    def _carry_out(self, decision: Decision) -> None:
        if self._nursery is None:
            return
        for commands in decision.by_worker:
            if commands.starts:
                for start in commands.starts:
                    self.assigned.set_quietly(start.task.task_id, ReportKind.UNKNOWN)
                self._nursery.start_soon(self._start, commands)
            if commands.stops or commands.checkpoints or commands.throttles:
                self._nursery.start_soon(self._commander.send, commands)

    async def _start(self, commands: WorkerCommands) -> None:
        worker = commands.worker_id
        valid: list[StartTask] = []
        now = self._clock.wall()
        for start in commands.starts:
            if self.assigned.is_valid(start.task.task_id, now):
                valid.append(start)
            else:
                self._on_start_answer(start, StartAnswer.REFUSED, "its shard went silent")
        address = self.address_of(worker)
        if not valid:
            return
        if address is None or not self.may_act(worker, commands.epoch):
            for start in valid:
                self._on_start_answer(start, StartAnswer.REFUSED, "this host may not act now")
            return
        result = await self._send_start(address, commands, valid)
        answers_by_task: dict[TaskId, TaskAnswer] = {}
        fallback = StartAnswer.UNKNOWN
        detail = "no answer to the start"
        match result:
            case Success(answers):
                answers_by_task = {answer.task_id: answer for answer in answers}
            case Failure(error):
                detail = str(error)
                fallback = StartAnswer.REFUSED if nothing_sent(error) else StartAnswer.UNKNOWN
        for start in valid:
            answer = answers_by_task.get(start.task.task_id)
            if answer is None:
                self._on_start_answer(start, fallback, detail)
            else:
                outcome = StartAnswer.STARTED if answer.ok else StartAnswer.REFUSED
                self._on_start_answer(start, outcome, answer.detail)
        watch = self.watches_by_id.get(worker)
        if watch is not None and fallback is StartAnswer.UNKNOWN and not answers_by_task:
            watch.kick()
        self.wake()

    async def _send_start(
        self, address: str, commands: WorkerCommands, starts: list[StartTask]
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        now = self._clock.wall()
        lease_until = self.leases.grant(commands.worker_id, now)
        batch = StartBatch(
            owner=self._link.host_id,
            epoch=commands.epoch,
            not_after=now + self._timings.flight_s,
            starts=tuple(
                StartRequest(task=each.task, reserved=each.reserved, lease_until=lease_until)
                for each in starts
            ),
        )
        self._events.record(
            "worker.start",
            peer=commands.worker_id,
            subjects=tuple(each.task.task_id for each in starts),
            cause=f"{len(starts)} tasks placed by the policy of their class",
            fields={"epoch": str(commands.epoch)},
        )
        with trio.move_on_after(self._timings.call_s):
            return await self._workers.start(address=address, batch=batch)
        return self._commander.unanswered("worker.start", commands.worker_id)

    def _on_start_answer(self, start: StartTask, answer: StartAnswer, detail: str) -> None:
        now = self._clock.wall()
        task, worker = start.task, start.worker_id
        phase = self.core.on_start_answer(task.task_id, worker, answer, now)
        if phase is TaskPhase.RUNNING:
            self.note(task, ReportKind.RUNNING, worker)
        elif phase is TaskPhase.UNKNOWN:
            self.note(task, ReportKind.UNKNOWN, worker, detail)
        elif phase is TaskPhase.CANCELLED:
            self.note(task, ReportKind.RETURNED, worker, "cancelled before it started")
        elif phase is TaskPhase.WAITING:
            self._events.record(
                "worker.not_started", peer=worker, subjects=(task.task_id,), cause=detail
            )
            self.requeued(task.task_id, is_next_attempt=False)

    def _give_back(self, tasks: Iterable[TaskSpec], why: str, now: float) -> None:
        tasks_by_id = {task.task_id: task for task in tasks}
        for task_id, verdict in self.core.cancel(tuple(tasks_by_id), now).items():
            if verdict in (CancelVerdict.NEVER_STARTED, CancelVerdict.NOT_HERE):
                self.note(tasks_by_id[task_id], ReportKind.RETURNED, detail=why)

    def _hear(self, shard: int, owner: HostId, epoch: Epoch, valid_until: float) -> bool:
        if epoch > self.assigned.epoch_of(shard):
            now = self._clock.wall()
            queued = self.assigned.queued_of(shard)
            for task_id, verdict in self.core.cancel([t.task_id for t in queued], now).items():
                if verdict in (CancelVerdict.NEVER_STARTED, CancelVerdict.NOT_HERE):
                    self.assigned.forget(task_id)
            self._gangs.release_shard(shard)
        return self.assigned.hear(shard, owner, epoch, valid_until)

    async def _on_assign(self, sender: HostId, message: TaskAssign) -> JobWord:
        if not self._hear(message.shard, sender, message.epoch, message.valid_until):
            return JobWord(ok=False, detail="the shard has a later owner")
        if self._is_draining:
            return JobWord(ok=False, detail="this entry host drains")
        new, refused = self.assigned.accept(message.shard, unpack_tasks(message.groups))
        self.core.enqueue(new, self._clock.wall())
        self.wake()
        self.reporter.wake()
        return JobWord(ok=True, refused=tuple(refused))

    async def _on_stop(self, sender: HostId, message: TaskStop) -> JobWord:
        if message.epoch < self.assigned.epoch_of(message.shard):
            return JobWord(ok=False, detail="the shard has a later owner")
        self._gangs.release_tasks(message.tasks)
        stopped = [
            each.task_id
            for each in message.tasks
            if not self.assigned.is_newer(each.task_id, each.attempt)
        ]
        for task_id, verdict in self.core.cancel(stopped, self._clock.wall()).items():
            self._on_cancelled(task_id, verdict)
        self.wake()
        return JobWord(ok=True)

    def _on_cancelled(self, task_id: TaskId, verdict: CancelVerdict) -> None:
        known = self.assigned.get(task_id)
        if known is None or known.task is None:
            return
        if verdict is CancelVerdict.NEVER_STARTED:
            self.note(known.task, ReportKind.RETURNED, detail="it was still queued")
        elif verdict is CancelVerdict.NOT_HERE and known.report.kind is ReportKind.QUEUED:
            self.note(known.task, ReportKind.RETURNED, detail="it was not queued any more")

    async def _on_recall(self, sender: HostId, message: TaskRecall) -> JobWord:
        if message.epoch < self.assigned.epoch_of(message.shard):
            return JobWord(ok=False, detail="the shard has a later owner")
        known = (self.assigned.get(each.task_id) for each in message.tasks)
        queued = [
            each.task
            for each in known
            if each
            and each.task
            and self.core.placed(each.task.task_id) is None
            and each.report.kind is ReportKind.QUEUED
        ]
        self._give_back(queued, "its shard's owner has room for it elsewhere", self._clock.wall())
        return JobWord(ok=True)

    async def _on_recover(self, sender: HostId, message: ShardRecover) -> ShardCensus:
        if not self._hear(message.shard, sender, message.epoch, message.valid_until):
            return ShardCensus(is_current=False)
        return ShardCensus(
            is_current=True,
            reports=pack_reports(self.assigned.census(message.shard)),
            workers=tuple(
                worker for worker, watch in self.watches_by_id.items() if watch.is_spoken_for
            ),
        )

    async def _on_explain(self, _sender: HostId, message: TaskExplain) -> TaskExplained:
        return TaskExplained(sentences=self.core.explain(message.task_id))

    def _on_settled(self, reports: Iterable[TaskReport]) -> None:
        for report in reports:
            watch = self.watches_by_id.get(report.worker_id)
            if watch is not None:
                watch.acknowledge(report.task_id)


def _as_next_attempt(task: TaskSpec) -> TaskSpec:
    return replace(task, attempt=task.attempt + 1)
