"""Decide which owned worker runs which task: the pure core of a worker owner.

It takes typed events with a time and returns typed commands. Capacity is taken in an exact ledger
before a start is commanded and given back only on proof: a worker's word that the task ended or
was refused, or a listing after the time in which an unanswered start could take effect.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

from returns.result import Failure, Result, Success
from sortedcontainers import SortedDict

from galenastall.coordination.placement_commands import (
    CancelVerdict,
    CapacitySummary,
    CommandAnswer,
    CommandKind,
    Decision,
    EndAdvice,
    EndedTask,
    Hold,
    HoldId,
    Hole,
    Listing,
    PlacedTask,
    ReconcileReport,
    StartAnswer,
    StartTask,
    StopTask,
    WorkerCommands,
    WorkerState,
)
from galenastall.coordination.placement_settings import PlacementSettings
from galenastall.coordination.placement_state import EndMemory, Placed, Worker
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import ListedHost
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.ledger import LedgerPhase
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskPhase, TaskSpec


class PlacementCore:
    """Places tasks on the workers that this entry host owns; all times are wall seconds."""

    def __init__(self, *, settings: PlacementSettings | None = None, seed: int = 0) -> None:
        """Start with no workers and nothing waiting; `seed` fixes all random choices."""
        self._settings = settings or PlacementSettings()
        self._seed = seed
        self._workers_by_id: dict[HostId, Worker] = SortedDict()
        self._placed_by_task: dict[TaskId, Placed] = {}
        self._waiting: OrderedDict[TaskId, TaskSpec] = OrderedDict()
        self._stops: OrderedDict[TaskId, None] = OrderedDict()
        self._ends: OrderedDict[TaskId, EndMemory] = OrderedDict()
        self._holds_by_id: dict[HoldId, Hold] = {}
        self._holds_made = 0

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Use other settings from the next decision on."""
        self._settings = settings

    def add_worker(
        self, worker: ListedHost, epoch: Epoch, running: Sequence[RunningTask], now: float
    ) -> ReconcileReport:
        """Take a worker into the ledger with what its listing shows, after activation."""
        known = self._workers_by_id.get(worker.host_id)
        if known is not None:
            known.epoch = epoch
            return self._reconcile_running(known, running, now)
        added = Worker(host=worker, epoch=epoch)
        self._workers_by_id[worker.host_id] = added
        return self._reconcile_running(added, running, now)

    def remove_worker(self, worker_id: HostId) -> tuple[PlacedTask, ...]:
        """Forget a worker whose ownership was lost; return what was on it, as known here."""
        worker = self._workers_by_id.pop(worker_id, None)
        if worker is None:
            return ()
        lost = [self._placed_by_task.pop(task_id) for task_id in worker.ledger.tasks()]
        return tuple(_describe(placed) for placed in lost)

    def set_worker_state(self, worker_id: HostId, state: WorkerState) -> None:
        """Say whether a worker may get new tasks; unknown workers are passed over."""
        worker = self._workers_by_id.get(worker_id)
        if worker is not None:
            worker.state = state

    def enqueue(self, tasks: Sequence[TaskSpec], now: float) -> None:
        """Let tasks wait for a place; those already waiting or placed here are passed over."""
        for task in tasks:
            if task.task_id not in self._placed_by_task:
                self._waiting.setdefault(task.task_id, task)

    def cancel(self, task_ids: Iterable[TaskId], now: float) -> Mapping[TaskId, CancelVerdict]:
        """Give up tasks at constant cost each; call it before deciding in the same window."""
        return {task_id: self._cancel(task_id) for task_id in task_ids}

    def decide(self, now: float, limit: int) -> Decision:
        """Return the commands due now, with at most `limit` starts."""
        expired = [hold for hold in self._holds_by_id.values() if hold.until <= now]
        for hold in expired:
            self.release_hold(hold.hold_id)
        stops = self._take_stops()
        starts: list[StartTask] = []
        for task in list(self._waiting.values()):
            if len(starts) >= limit:
                break
            worker = self._choose(task)
            if worker is None:
                continue
            del self._waiting[task.task_id]
            starts.append(self._reserve(task, worker, LedgerPhase.STARTING, now))
        return Decision(
            by_worker=_group(starts, stops),
            expired_holds=tuple(hold.hold_id for hold in expired),
            more=len(starts) >= limit and bool(self._waiting),
        )

    def on_start_answer(
        self, task_id: TaskId, worker_id: HostId, answer: StartAnswer, now: float
    ) -> TaskPhase:
        """Take in what became of a start; return where the task now stands.

        WAITING: it waits again. CANCELLED: it never started and its cancellation is final. DONE:
        nothing is known of such a start any more.
        """
        placed = self._placed_at(task_id, worker_id)
        if placed is None:
            return TaskPhase.DONE
        ledger = placed.worker.ledger
        if answer is StartAnswer.UNKNOWN:
            ledger.move(task_id, LedgerPhase.UNKNOWN)
            return placed.phase
        if answer is StartAnswer.STARTED:
            ledger.move(task_id, LedgerPhase.RUNNING)
            return placed.phase
        if placed.phase is TaskPhase.RUNNING:
            return TaskPhase.RUNNING
        self._forget(placed)
        if placed.is_cancelled:
            return TaskPhase.CANCELLED
        self._requeue(placed.task)
        return TaskPhase.WAITING

    def on_command_answer(
        self,
        task_id: TaskId,
        worker_id: HostId,
        command: CommandKind,
        answer: CommandAnswer,
        now: float,
    ) -> None:
        """Take in what became of a checkpoint or stop; a preempted task waits again."""
        placed = self._placed_at(task_id, worker_id)
        if placed is None or placed.ending is not command or answer is not CommandAnswer.DONE:
            return
        self._forget(placed)
        if placed.is_cancelled:
            self._remember_end(placed, ok=False, detail="cancelled")
            return
        self._requeue(placed.task)

    def on_finished(
        self, worker_id: HostId, finished: Sequence[FinishedTask], now: float
    ) -> tuple[EndedTask, ...]:
        """Take in ended tasks; those already known as ended are passed over."""
        return tuple(self._ended(worker_id, finished))

    def on_listing(
        self, worker_id: HostId, listing: Listing, now: float, asked_at: float | None = None
    ) -> ReconcileReport:
        """Reconcile with a worker's listing that was asked for at `asked_at` (or `now`)."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None:
            return ReconcileReport()
        ended = self.on_finished(worker_id, listing.finished, now)
        worker.used = listing.used
        report = self._reconcile_running(worker, listing.running, now)
        requeued, lapsed = self._find_missing(
            worker, {entry.task.task_id for entry in listing.running}, now, asked_at
        )
        return ReconcileReport(
            adopted=report.adopted,
            confirmed=report.confirmed,
            duplicates=report.duplicates,
            requeued=tuple(requeued),
            lapsed=tuple(lapsed),
            ended=ended,
        )

    def on_usage(
        self,
        worker_id: HostId,
        used: Resources,
        used_by_task: Mapping[TaskId, Resources],
        now: float,
    ) -> None:
        """Take in measured usage of a worker and of its tasks; it lags."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None:
            return
        worker.used = used
        for task_id, amount in used_by_task.items():
            placed = self._placed_at(task_id, worker_id)
            if placed is not None:
                placed.used = amount

    def hold(
        self, gang_id: str, tasks: Sequence[TaskSpec], now: float, until: float
    ) -> Result[Hold, StepError]:
        """Hold capacity for all of a gang's tasks here until `until`, or for none.

        OVERLOADED: no room now, with a time after which to ask again. CONFLICT: a task of it is
        already placed.
        """
        if any(task.task_id in self._placed_by_task for task in tasks):
            return Failure(_hold_error(gang_id, Reason.CONFLICT, "a task is already placed"))
        held: list[Placed] = []
        for task in tasks:
            worker = self._choose(task)
            if worker is None:
                for placed in held:
                    self._forget(placed)
                return Failure(_hold_error(gang_id, Reason.OVERLOADED, f"{task.task_id}: no room"))
            self._reserve(task, worker, LedgerPhase.HELD, now)
            held.append(self._placed_by_task[task.task_id])
        self._holds_made += 1
        hold = Hold(
            hold_id=HoldId(f"{gang_id}#{self._holds_made}"),
            gang_id=gang_id,
            until=until,
            worker_by_task={placed.task.task_id: placed.worker.worker_id for placed in held},
        )
        self._holds_by_id[hold.hold_id] = hold
        return Success(hold)

    def start_hold(self, hold_id: HoldId, now: float) -> Result[Decision, StepError]:
        """Return the starts of all tasks of a hold; NOT_FOUND once it expired or was released."""
        hold = self._holds_by_id.get(hold_id)
        if hold is None or hold.until <= now:
            return Failure(_hold_error(hold_id, Reason.NOT_FOUND, "expired or released"))
        del self._holds_by_id[hold_id]
        starts = []
        for task_id in hold.worker_by_task:
            placed = self._placed_by_task[task_id]
            placed.worker.ledger.move(task_id, LedgerPhase.STARTING)
            placed.decided_at = now
            starts.append(_start(placed))
        return Success(Decision(by_worker=_group(starts, ())))

    def release_hold(self, hold_id: HoldId) -> bool:
        """Free a hold that was not started; return whether there was one."""
        hold = self._holds_by_id.pop(hold_id, None)
        if hold is None:
            return False
        for task_id in hold.worker_by_task:
            placed = self._placed_by_task.get(task_id)
            if placed is not None and placed.phase is TaskPhase.HELD:
                self._forget(placed)
        return True

    def summary(self) -> CapacitySummary:
        """Return free totals and the largest holes, for others to choose this owner by."""
        live = [w for w in self._workers_by_id.values() if w.state is WorkerState.LIVE]
        waiting: dict[str, int] = {}
        for task in self._waiting.values():
            name = task.urgency.name.lower()
            waiting[name] = waiting.get(name, 0) + 1
        return CapacitySummary(
            workers=len(live),
            capacity=sum((w.ledger.capacity for w in live), NOTHING),
            free=sum((w.ledger.free for w in live), NOTHING),
            holes=_largest([w.ledger.free for w in live]),
            largest_worker=_largest([w.ledger.capacity for w in live]),
            waiting_by_class=waiting,
            running=len(self._placed_by_task),
        )

    def explain(self, task_id: TaskId) -> tuple[str, ...]:
        """Return sentences on where the task is or why it waits."""
        placed = self._placed_by_task.get(task_id)
        if placed is not None:
            return (f"{task_id} is {placed.phase.value} on {placed.worker.worker_id}.",)
        if task_id in self._waiting:
            return (f"{task_id} waits: no worker has room for {self._waiting[task_id].resources}.",)
        end = self._ends.get(task_id)
        if end is not None:
            return (f"{task_id} ended on {end.worker_id}: {end.detail or 'done'}.",)
        return (f"{task_id} is not known here.",)

    def placed(self, task_id: TaskId) -> PlacedTask | None:
        """Return where a task is, or None if it is on no worker."""
        placed = self._placed_by_task.get(task_id)
        return None if placed is None else _describe(placed)

    def _choose(self, task: TaskSpec) -> Worker | None:
        for worker in self._workers_by_id.values():
            if worker.state is WorkerState.LIVE and worker.ledger.fits(task.resources):
                return worker
        return None

    def _reserve(self, task: TaskSpec, worker: Worker, phase: LedgerPhase, now: float) -> StartTask:
        worker.ledger.reserve(task.task_id, task.resources, phase)
        entry = worker.ledger.entry(task.task_id)
        assert entry is not None
        placed = Placed(task=task, worker=worker, entry=entry, now=now)
        self._placed_by_task[task.task_id] = placed
        return _start(placed)

    def _forget(self, placed: Placed) -> None:
        placed.worker.ledger.release(placed.task.task_id)
        del self._placed_by_task[placed.task.task_id]
        self._stops.pop(placed.task.task_id, None)

    def _requeue(self, task: TaskSpec) -> None:
        self._waiting[task.task_id] = task
        self._waiting.move_to_end(task.task_id, last=False)

    def _placed_at(self, task_id: TaskId, worker_id: HostId) -> Placed | None:
        placed = self._placed_by_task.get(task_id)
        return placed if placed is not None and placed.worker.worker_id == worker_id else None

    def _cancel(self, task_id: TaskId) -> CancelVerdict:
        if self._waiting.pop(task_id, None) is not None:
            return CancelVerdict.NEVER_STARTED
        placed = self._placed_by_task.get(task_id)
        if placed is None:
            known = task_id in self._ends
            return CancelVerdict.ALREADY_DONE if known else CancelVerdict.NOT_HERE
        if placed.phase is TaskPhase.HELD:
            self._forget(placed)
            return CancelVerdict.NEVER_STARTED
        placed.is_cancelled = True
        self._stops[task_id] = None
        return CancelVerdict.STOPPING

    def _take_stops(self) -> list[StopTask]:
        stops = []
        for task_id in self._stops:
            placed = self._placed_by_task[task_id]
            placed.ending = CommandKind.STOP
            stops.append(
                StopTask(
                    worker_id=placed.worker.worker_id,
                    epoch=placed.worker.epoch,
                    task_id=task_id,
                    cause="cancelled",
                )
            )
        self._stops.clear()
        return stops

    def _ended(self, worker_id: HostId, finished: Sequence[FinishedTask]) -> Iterable[EndedTask]:
        for end in finished:
            placed = self._placed_at(end.task_id, worker_id)
            if placed is None or placed.task.attempt != end.attempt:
                continue
            self._forget(placed)
            self._remember_end(placed, ok=end.ok, detail=end.detail)
            yield EndedTask(
                task=placed.task,
                worker_id=worker_id,
                ok=end.ok,
                advice=_advice(placed, end),
                detail=end.detail,
            )

    def _remember_end(self, placed: Placed, *, ok: bool, detail: str) -> None:
        task_id = placed.task.task_id
        self._ends[task_id] = EndMemory(
            task_id=task_id, worker_id=placed.worker.worker_id, ok=ok, detail=detail
        )
        if len(self._ends) > self._settings.remembered_ends:
            self._ends.popitem(last=False)

    def _reconcile_running(
        self, worker: Worker, running: Sequence[RunningTask], now: float
    ) -> ReconcileReport:
        adopted: list[TaskId] = []
        confirmed: list[TaskId] = []
        duplicates: list[TaskId] = []
        for listed in running:
            task_id = listed.task.task_id
            placed = self._placed_by_task.get(task_id)
            if placed is None:
                self._adopt(worker, listed, now)
                adopted.append(task_id)
            elif placed.worker is not worker:
                duplicates.append(task_id)
            elif worker.ledger.move(task_id, LedgerPhase.RUNNING):
                confirmed.append(task_id)
        return ReconcileReport(
            adopted=tuple(adopted), confirmed=tuple(confirmed), duplicates=tuple(duplicates)
        )

    def _adopt(self, worker: Worker, listed: RunningTask, now: float) -> None:
        task = listed.task
        self._waiting.pop(task.task_id, None)
        worker.ledger.adopt(task.task_id, listed.reserved)
        entry = worker.ledger.entry(task.task_id)
        assert entry is not None
        placed = Placed(task=task, worker=worker, entry=entry, now=now)
        placed.used = listed.used
        self._placed_by_task[task.task_id] = placed

    def _find_missing(
        self, worker: Worker, listed: set[TaskId], now: float, asked_at: float | None
    ) -> tuple[list[TaskId], list[TaskSpec]]:
        asked = now if asked_at is None else asked_at
        requeued: list[TaskId] = []
        lapsed: list[TaskSpec] = []
        for task_id in [task for task in worker.ledger.tasks() if task not in listed]:
            placed = self._placed_by_task[task_id]
            settled = placed.decided_at + self._settings.start_settle_s
            if placed.phase is TaskPhase.HELD or placed.phase is TaskPhase.STARTING:
                continue
            if placed.decided_at >= asked:
                continue
            if placed.phase is TaskPhase.UNKNOWN and asked < settled:
                continue
            was_unknown = placed.phase is TaskPhase.UNKNOWN
            self._forget(placed)
            if was_unknown and placed.task.idempotent and not placed.is_cancelled:
                self._requeue(placed.task)
                requeued.append(task_id)
            else:
                lapsed.append(placed.task)
        return requeued, lapsed


def _advice(placed: Placed, end: FinishedTask) -> EndAdvice:
    if placed.is_cancelled:
        return EndAdvice.CANCELLED
    return EndAdvice.DONE if end.ok else EndAdvice.RETRY


def _describe(placed: Placed) -> PlacedTask:
    return PlacedTask(
        task=placed.task,
        worker_id=placed.worker.worker_id,
        phase=placed.phase,
        reserved=placed.entry.amount,
    )


def _start(placed: Placed) -> StartTask:
    return StartTask(
        worker_id=placed.worker.worker_id,
        epoch=placed.worker.epoch,
        task=placed.task,
        reserved=placed.entry.amount,
    )


def _group(starts: Iterable[StartTask], stops: Iterable[StopTask]) -> tuple[WorkerCommands, ...]:
    starts_by_worker: dict[HostId, list[StartTask]] = {}
    stops_by_worker: dict[HostId, list[StopTask]] = {}
    epochs_by_worker: dict[HostId, Epoch] = {}
    for stop in stops:
        stops_by_worker.setdefault(stop.worker_id, []).append(stop)
        epochs_by_worker[stop.worker_id] = stop.epoch
    for start in starts:
        starts_by_worker.setdefault(start.worker_id, []).append(start)
        epochs_by_worker[start.worker_id] = start.epoch
    return tuple(
        WorkerCommands(
            worker_id=worker_id,
            epoch=epoch,
            starts=tuple(starts_by_worker.get(worker_id, ())),
            stops=tuple(stops_by_worker.get(worker_id, ())),
        )
        for worker_id, epoch in epochs_by_worker.items()
    )


def _largest(amounts: Sequence[Resources]) -> tuple[Hole, ...]:
    if not amounts:
        return ()
    return (
        Hole(by="cores", free=max(amounts, key=lambda a: a.cores_milli)),
        Hole(by="memory", free=max(amounts, key=lambda a: a.memory_mb)),
        Hole(by="accelerators", free=max(amounts, key=lambda a: a.accelerators)),
    )


def _hold_error(peer: str, reason: Reason, detail: str) -> StepError:
    retry = 1.0 if reason is Reason.OVERLOADED else None
    return StepError(
        step="placement.hold", peer=peer, reason=reason, detail=detail, retry_after_s=retry
    )
