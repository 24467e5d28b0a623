"""Decide which owned worker runs which task: the pure core of a worker owner.

It takes typed events with a time and returns typed commands. Capacity is reserved in an exact
ledger before a start is commanded and released only on proof: the worker reports that the task
ended or was refused, or a listing requested once the start can no longer take effect omits it.
"""

from collections.abc import Iterable, Mapping, Sequence

from returns.result import Failure, Result, Success

from galenastall.coordination.placement import overrun
from galenastall.coordination.placement.explanations import explain, summarise
from galenastall.coordination.placement.gang_holds import GangHolds
from galenastall.coordination.placement.placement_commands import (
    CancelVerdict,
    CapacitySummary,
    CommandAnswer,
    CommandKind,
    Decision,
    EndedTask,
    Hold,
    HoldId,
    Listing,
    PlacedTask,
    ReconcileReport,
    Refusal,
    RefusalReason,
    StartAnswer,
    WorkerState,
)
from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.coordination.placement.placement_state import Placed, Worker
from galenastall.coordination.placement.placement_tables import PlacementTables
from galenastall.coordination.placement.placer import Placer
from galenastall.coordination.placement.reconcile import Reconciler, raise_reservations_to_usage
from galenastall.state.errors import StepError
from galenastall.state.hosts import ListedHost
from galenastall.state.ids import Epoch, HostId, TaskId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskPhase, TaskSpec, Workload


class PlacementCore:
    """Places tasks on the workers that this entry host owns; all times are wall seconds."""

    def __init__(self, *, settings: PlacementSettings | None = None, seed: int = 0) -> None:
        """Start with no workers and nothing waiting; `seed` fixes all random choices.

        Raises UnknownNameError if the settings name a policy or queue order that doesn't exist.
        """
        self._tables = PlacementTables(settings=settings or PlacementSettings(), seed=seed)
        self._placer = Placer(tables=self._tables)
        self._holds = GangHolds(tables=self._tables, placer=self._placer)
        self._reconciler = Reconciler(tables=self._tables)
        self._refusals: list[Refusal] = []
        self._now = 0.0

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Use other settings from the next decision on; the queue order can't be changed."""
        self._tables.settings = settings
        self._tables.quarantine.settings = settings.quarantine
        self._tables.estimates.quantile = settings.learned_quantile
        self._tables.queue.apply_settings(settings)
        self._placer.use_policies()

    def add_worker(
        self, worker: ListedHost, epoch: Epoch, running: Sequence[RunningTask], now: float
    ) -> ReconcileReport:
        """Add a worker with the tasks that its listing shows, once its ownership is active."""
        known = self._tables.workers_by_id.get(worker.host_id)
        if known is None:
            known = self._tables.add_worker(worker, epoch)
        known.epoch = epoch
        return self._reconciler.running(known, running, now)

    def remove_worker(self, worker_id: HostId) -> tuple[PlacedTask, ...]:
        """Forget a worker whose ownership was lost; return what was on it, as known here."""
        worker = self._tables.workers_by_id.get(worker_id)
        if worker is None:
            return ()
        described = tuple(
            placed.describe()
            for placed in self._tables.on_worker(worker)
            if placed.worker is worker
        )
        self._tables.remove_worker(worker)
        self._reconciler.forget_worker(worker_id)
        return described

    def set_worker_state(self, worker_id: HostId, state: WorkerState) -> None:
        """Set whether a worker may get new tasks; unknown workers are ignored.

        Quarantine decided by the core is independent of this state and ends with a good probe.
        """
        worker = self._tables.workers_by_id.get(worker_id)
        if worker is None or worker.state is state:
            return
        worker.state = state
        self._tables.refresh(worker, freed=True)
        if state is WorkerState.LIVE:
            return
        for promise in self._tables.promises.on_worker(worker_id):
            self._tables.drop_promise(promise.task_id)

    def drain_worker(self, worker_id: HostId) -> None:
        """Give a worker nothing new and move its tasks; idempotent.

        Checkpointable tasks continue elsewhere, services that may run again are stopped since they
        would never end on their own, and all other tasks run to their end.
        """
        self.set_worker_state(worker_id, WorkerState.LEAVING)
        worker = self._tables.workers_by_id.get(worker_id)
        if worker is None:
            return
        for placed in self._tables.on_worker(worker):
            if placed.phase is not TaskPhase.RUNNING or placed.ending is not None:
                continue
            if placed.can_checkpoint:
                self._tables.pending.checkpoint(placed, f"{worker_id} is drained")
            elif placed.task.workload is Workload.SERVICE and placed.task.idempotent:
                self._tables.pending.stop(placed, f"{worker_id} is drained")

    def set_reserved_elsewhere(self, reserved_by_team: Mapping[TeamPath, Resources]) -> None:
        """Set what teams have reserved with other owners, so that quotas span all owners."""
        self._tables.queue.set_elsewhere(reserved_by_team)

    def enqueue(self, tasks: Sequence[TaskSpec], now: float) -> None:
        """Queue tasks; those already queued or placed here are ignored."""
        tables = self._tables
        for task in tasks:
            if task.task_id in tables.placed_by_task:
                continue
            need = tables.estimates.need(task)
            obstacle = tables.capacities.obstacle(need)
            if obstacle is None:
                tables.queue.add(task, now)
                continue
            self._refusals.append(
                Refusal(task=task, reason=RefusalReason.IMPOSSIBLE, detail=obstacle, need=need)
            )

    def cancel(self, task_ids: Iterable[TaskId], now: float) -> Mapping[TaskId, CancelVerdict]:
        """Cancel tasks at constant cost each; call it before `decide` in the same window."""
        return {task_id: self._cancel(task_id) for task_id in task_ids}

    def decide(self, now: float, limit: int) -> Decision:
        """Return the commands due now, with at most `limit` starts."""
        self._now = now
        expired = self._holds.expire(now)
        self._tables.apply_freed_capacity(now)
        self._placer.begin()
        starts: list[Placed] = []
        more = False
        for waiting in self._tables.queue.scan(now):
            if len(starts) >= limit:
                more = True
                break
            placed = self._placer.place(waiting, now)
            if placed is not None:
                starts.append(placed)
        return Decision(
            by_worker=self._tables.pending.take(starts, now),
            refusals=self._take_refusals(),
            expired_holds=expired,
            more=more,
        )

    def on_start_answer(
        self, task_id: TaskId, worker_id: HostId, answer: StartAnswer, now: float
    ) -> TaskPhase:
        """Apply the outcome of a start; return the task's phase.

        WAITING: it is queued again. CANCELLED: it never started and its cancellation is final.
        DONE: the core no longer knows such a start.
        """
        return self._reconciler.start_answer(task_id, worker_id, answer, now)

    def on_command_answer(
        self,
        task_id: TaskId,
        worker_id: HostId,
        command: CommandKind,
        answer: CommandAnswer,
        now: float,
    ) -> TaskPhase:
        """Apply the outcome of a checkpoint, throttle or stop; return the task's phase.

        Pass DONE only if the worker reports that the task has ended. WAITING: it was preempted and
        is queued as its next attempt. CANCELLED: its cancellation is final. Otherwise the phase is
        unchanged; a command without effect is repeated after a listing that still shows the task.
        """
        return self._reconciler.command_answer(task_id, worker_id, command, answer)

    def on_finished(
        self, worker_id: HostId, finished: Sequence[FinishedTask], now: float
    ) -> tuple[EndedTask, ...]:
        """Apply ended tasks; ends of tasks that are neither placed nor queued here are ignored.

        After a takeover such ends may belong to a task that this owner never knew, so the caller
        must also report the listing's own ends to the job's shard.
        """
        return tuple(self._reconciler.finished(worker_id, finished, now))

    def on_listing(
        self, worker_id: HostId, listing: Listing, now: float, asked_at: float | None = None
    ) -> ReconcileReport:
        """Reconcile with a worker's listing that was requested at `asked_at` (`now` if None)."""
        worker = self._tables.workers_by_id.get(worker_id)
        if worker is None:
            return ReconcileReport()
        asked = now if asked_at is None else asked_at
        report = self._reconciler.listing(worker, listing, now, asked)
        used_by_task = {entry.task.task_id: entry.used for entry in listing.running}
        self.on_usage(worker_id, listing.used, used_by_task, now)
        return report

    def on_usage(
        self,
        worker_id: HostId,
        used: Resources,
        used_by_task: Mapping[TaskId, Resources],
        now: float,
    ) -> None:
        """Apply measured usage of a worker and its tasks; relieve memory before it runs out."""
        tables = self._tables
        worker = tables.workers_by_id.get(worker_id)
        if worker is None:
            return
        worker.previous_used = worker.used if worker.is_measured else None
        worker.is_measured = True
        worker.used = used
        for task_id, amount in used_by_task.items():
            placed = tables.placed_at(task_id, worker_id)
            if placed is not None:
                placed.used = amount
        raise_reservations_to_usage(tables, worker)
        self._relieve_memory_pressure(worker)

    def hold(
        self, gang_id: str, tasks: Sequence[TaskSpec], now: float, until: float
    ) -> Result[Hold, StepError]:
        """Hold capacity for all of a gang's tasks here until `until`, or for none of them.

        A gang's tasks are not enqueued. OVERLOADED: no capacity now, retry after the time given;
        the first waiting gang keeps capacity promised meanwhile. REFUSED: a task fits no worker of
        this owner. CONFLICT: a task is already placed. INVALID: no tasks.
        """
        self._tables.apply_freed_capacity(now)
        return self._holds.hold(gang_id, tasks, now, until)

    def extend_hold(self, hold_id: HoldId, now: float, until: float) -> bool:
        """Extend a hold to `until`; False if it can't be started any more.

        A gang over several owners extends all its holds before it starts the first, so that none
        expires between two starts.
        """
        return self._holds.extend(hold_id, now, until)

    def start_hold(self, hold_id: HoldId, now: float) -> Result[Decision, StepError]:
        """Return the starts of all tasks of a hold.

        NOT_FOUND: it expired or was released. CONFLICT: a task was cancelled or its worker may not
        start anything any more; then the hold is released completely.
        """
        started = self._holds.start(hold_id, now)
        if isinstance(started, Failure):
            return Failure(started.failure())
        commands = self._tables.pending.take(started.unwrap(), now)
        return Success(Decision(by_worker=commands))

    def release_hold(self, hold_id: HoldId) -> bool:
        """Release a hold that was not started; return whether there was one."""
        return self._holds.release(hold_id)

    def summary(self) -> CapacitySummary:
        """Return free totals and largest free amounts, by which others choose this owner."""
        return summarise(self._tables, self._now)

    def reserved_by_team(self) -> Mapping[TeamPath, Resources]:
        """Return what each team has reserved with this owner."""
        return self._tables.queue.reserved_by_team()

    def raised_need_mb(self, task: TaskSpec) -> int:
        """Return the MB measured at an earlier attempt, 0 if no more than declared."""
        need_mb = self._tables.estimates.need(task).memory_mb
        return need_mb if need_mb > task.resources.memory_mb else 0

    def quarantined(self) -> tuple[HostId, ...]:
        """Return the workers that the core has quarantined."""
        return tuple(self._tables.quarantined_by_id)

    def explain(self, task_id: TaskId) -> tuple[str, ...]:
        """Return sentences on where the task is or why it waits, as of the last decision."""
        return explain(self._tables, task_id, self._now)

    def placed(self, task_id: TaskId) -> PlacedTask | None:
        """Return where a task is, or None if it is on no worker."""
        placed = self._tables.placed_by_task.get(task_id)
        return None if placed is None else placed.describe()

    def on_worker(self, worker_id: HostId) -> tuple[PlacedTask, ...]:
        """Return the tasks on a worker, for renewing their leases."""
        worker = self._tables.workers_by_id.get(worker_id)
        if worker is None:
            return ()
        return tuple(placed.describe() for placed in self._tables.on_worker(worker))

    def _cancel(self, task_id: TaskId) -> CancelVerdict:
        tables = self._tables
        if tables.leave_queue(task_id) is not None:
            return CancelVerdict.NEVER_STARTED
        placed = tables.placed_by_task.get(task_id)
        if placed is None:
            known = task_id in tables.ends_by_task
            return CancelVerdict.ALREADY_DONE if known else CancelVerdict.NOT_HERE
        if placed.phase is TaskPhase.HELD:
            tables.forget(placed)
            return CancelVerdict.NEVER_STARTED
        if not placed.is_cancelled:
            placed.is_cancelled = True
            tables.pending.stop(placed, "cancelled")
        return CancelVerdict.STOPPING

    def _relieve_memory_pressure(self, worker: Worker) -> None:
        tables = self._tables
        settings = tables.settings.overrun
        capacity = worker.ledger.capacity.memory_mb
        here = tables.on_worker(worker)
        is_overrun = bool(capacity) and overrun.is_overrun(worker, here)
        relaxed = worker.used.memory_mb < settings.relaxed_below * capacity
        if worker.is_under_memory_pressure and (relaxed or not is_overrun):
            worker.is_under_memory_pressure = False
            tables.refresh(worker, freed=True)
        expected = overrun.expected_memory(worker)
        if not is_overrun or expected < settings.throttle_at * capacity:
            return
        worker.is_under_memory_pressure = True
        tables.refresh(worker, freed=False)
        for action in overrun.find_overruns(worker, here, settings):
            if action.command is CommandKind.THROTTLE:
                tables.pending.throttle(action.placed, settings.throttled_share, action.cause)
            elif action.command is CommandKind.CHECKPOINT:
                tables.pending.checkpoint(action.placed, action.cause)
            else:
                tables.pending.stop(action.placed, action.cause)

    def _take_refusals(self) -> tuple[Refusal, ...]:
        refusals = (*self._refusals, *self._placer.refusals)
        self._refusals.clear()
        self._placer.refusals.clear()
        return refusals
