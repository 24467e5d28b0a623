"""Reconcile the ledgers with what workers report: answers, ends, listings."""

from collections.abc import Collection, Iterator, Sequence

from galenastall.coordination.placement.placement_commands import (
    CommandAnswer,
    CommandKind,
    EndAdvice,
    EndedTask,
    Listing,
    ReconcileReport,
    StartAnswer,
)
from galenastall.coordination.placement.placement_state import Placed, Worker
from galenastall.coordination.placement.placement_tables import PlacementTables
from galenastall.coordination.placement.preemption import ENDINGS
from galenastall.coordination.placement.quarantine import HealthVerdict
from galenastall.state.ids import HostId, TaskId
from galenastall.state.ledger import LedgerPhase
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskEnd, TaskPhase, TaskSpec

CANCELLED = "cancelled"
INTERRUPTED_ENDS = frozenset(
    {TaskEnd.STOPPED.value, TaskEnd.CHECKPOINTED.value, TaskEnd.LEASE_LAPSED.value}
)
"""Interruptions that count neither against the task nor against the worker."""


class _Missing:
    """Outcomes of tasks that a listing doesn't show."""

    __slots__ = ("ended", "lapsed", "requeued")

    def __init__(self) -> None:
        self.requeued: list[TaskId] = []
        self.lapsed: list[TaskSpec] = []
        self.ended: list[EndedTask] = []


class Reconciler:
    """Applies workers' reports to the tables."""

    def __init__(self, *, tables: PlacementTables) -> None:
        """Change these tables."""
        self._tables = tables
        self._duplicates_by_worker: dict[HostId, set[TaskId]] = {}

    def start_answer(
        self, task_id: TaskId, worker_id: HostId, answer: StartAnswer, now: float
    ) -> TaskPhase:
        """Apply the outcome of a start; return the task's phase."""
        tables = self._tables
        placed = tables.placed_at(task_id, worker_id)
        if placed is None:
            return TaskPhase.DONE
        phase = placed.phase
        if phase is TaskPhase.RUNNING or phase is TaskPhase.HELD:
            return phase
        if answer is StartAnswer.UNKNOWN:
            placed.worker.ledger.set_phase(task_id, LedgerPhase.UNKNOWN)
            return TaskPhase.UNKNOWN
        if answer is StartAnswer.STARTED:
            placed.worker.ledger.set_phase(task_id, LedgerPhase.RUNNING)
            placed.decided_at = now
            return TaskPhase.RUNNING
        tables.forget(placed)
        tables.pause(placed.worker, now)
        if placed.is_cancelled:
            tables.remember_end(placed, ok=False, detail=CANCELLED)
            return TaskPhase.CANCELLED
        tables.requeue(placed, next_attempt=False)
        return TaskPhase.WAITING

    def command_answer(
        self, task_id: TaskId, worker_id: HostId, command: CommandKind, answer: CommandAnswer
    ) -> TaskPhase:
        """Apply the outcome of a checkpoint, throttle or stop; return the task's phase."""
        tables = self._tables
        placed = tables.placed_at(task_id, worker_id)
        if placed is None:
            waits = task_id in tables.queue
            return TaskPhase.WAITING if waits else TaskPhase.DONE
        if command is CommandKind.THROTTLE:
            placed.is_throttled = answer is not CommandAnswer.REFUSED
            return placed.phase
        if placed.ending is not command or answer is CommandAnswer.UNKNOWN:
            return placed.phase
        if answer is CommandAnswer.REFUSED:
            self._on_refused_ending(placed, command)
            return placed.phase
        if command is CommandKind.STOP and not placed.is_cancelled and not placed.task.idempotent:
            return placed.phase  # it must not run again: the listing shows how it ended
        return self._on_proved_ended(placed)

    def finished(
        self, worker_id: HostId, finished: Sequence[FinishedTask], now: float
    ) -> Iterator[EndedTask]:
        """Apply ends of tasks; those that are known already are ignored."""
        for end in finished:
            placed = self._tables.placed_at(end.task_id, worker_id)
            if placed is not None and placed.task.attempt == end.attempt:
                yield self._on_end(placed, end, now)
            elif placed is None:
                ended = self._on_end_while_waiting(worker_id, end)
                if ended is not None:
                    yield ended

    def running(
        self, worker: Worker, running: Sequence[RunningTask], now: float
    ) -> ReconcileReport:
        """Adopt and confirm what a worker lists as running."""
        adopted: list[TaskId] = []
        confirmed: list[TaskId] = []
        duplicates: list[TaskId] = []
        for listed in running:
            task_id = listed.task.task_id
            placed = self._tables.placed_by_task.get(task_id)
            if placed is None:
                self._tables.adopt(worker, listed, now)
                adopted.append(task_id)
            elif placed.worker is not worker:
                self._on_duplicate(worker, listed)
                duplicates.append(task_id)
            else:
                if placed.phase is not TaskPhase.RUNNING:
                    worker.ledger.set_phase(task_id, LedgerPhase.RUNNING)
                    placed.decided_at = now
                    placed.task = listed.task
                    confirmed.append(task_id)
                self._repeat_command(placed, now)
        return ReconcileReport(
            adopted=tuple(adopted), confirmed=tuple(confirmed), duplicates=tuple(duplicates)
        )

    def listing(
        self, worker: Worker, listing: Listing, now: float, asked_at: float
    ) -> ReconcileReport:
        """Apply a complete listing that was requested at `asked_at`."""
        ended = list(self.finished(worker.worker_id, listing.finished, now))
        report = self.running(worker, listing.running, now)
        listed = {entry.task.task_id for entry in listing.running}
        missing = self._find_missing(worker, listed, asked_at)
        return ReconcileReport(
            adopted=report.adopted,
            confirmed=report.confirmed,
            duplicates=report.duplicates,
            requeued=tuple(missing.requeued),
            lapsed=tuple(missing.lapsed),
            ended=(*ended, *missing.ended),
        )

    def forget_worker(self, worker_id: HostId) -> None:
        """Drop what is known of a worker that is no longer owned."""
        self._duplicates_by_worker.pop(worker_id, None)

    def _on_refused_ending(self, placed: Placed, command: CommandKind) -> None:
        placed.ending = None
        if command is CommandKind.CHECKPOINT:
            placed.can_checkpoint = False
        for promise in self._tables.promises.on_worker(placed.worker.worker_id):
            self._tables.drop_promise(promise.task_id)

    def _on_proved_ended(self, placed: Placed) -> TaskPhase:
        tables = self._tables
        tables.forget(placed)
        if placed.is_cancelled:
            tables.remember_end(placed, ok=False, detail=CANCELLED)
            return TaskPhase.CANCELLED
        tables.requeue(placed, next_attempt=True)
        return TaskPhase.WAITING

    def _on_end(self, placed: Placed, end: FinishedTask, now: float) -> EndedTask:
        tables = self._tables
        tables.estimates.record(placed.task, end)
        worker = placed.worker
        was_stopped = placed.ending is not None and not end.ok
        may_repeat = placed.task.idempotent or end.detail == TaskEnd.CHECKPOINTED.value
        verdict = HealthVerdict.NOTHING
        if not (was_stopped and may_repeat) and end.detail not in INTERRUPTED_ENDS:
            verdict = self._update_health(placed, end, now)
        tables.forget(placed)
        if was_stopped and may_repeat and not placed.is_cancelled:
            tables.requeue(placed, next_attempt=True)
            advice = EndAdvice.REQUEUED
        else:
            tables.remember_end(placed, ok=end.ok, detail=end.detail)
            advice = _advice(placed, end, verdict)
        detail = end.detail
        if advice is EndAdvice.RETRY and was_stopped and detail == TaskEnd.STOPPED.value:
            detail = f"stopped: {placed.cause}"
        if advice is EndAdvice.GIVE_UP:
            detail = tables.quarantine.history(placed.task.job_id)
        return EndedTask(
            task=placed.task,
            worker_id=worker.worker_id,
            ok=end.ok,
            advice=advice,
            detail=detail,
            worker_change=self._apply_verdict(worker, verdict),
        )

    def _update_health(self, placed: Placed, end: FinishedTask, now: float) -> HealthVerdict:
        quarantine = self._tables.quarantine
        task = placed.task
        worker_id = placed.worker.worker_id
        if end.ok:
            return quarantine.on_success(worker_id, task.job_id, task.task_id)
        return quarantine.on_failure(worker_id, task.job_id, task.task_id, end.detail, now)

    def _apply_verdict(self, worker: Worker, verdict: HealthVerdict) -> str:
        if verdict is HealthVerdict.WORKER_QUARANTINED:
            self._tables.set_quarantined(worker, quarantined=True)
            return f"{worker.worker_id} is quarantined: different jobs failed there"
        if verdict is HealthVerdict.WORKER_RESTORED:
            self._tables.set_quarantined(worker, quarantined=False)
            return f"{worker.worker_id} is out of quarantine: a probe succeeded"
        return ""

    def _on_end_while_waiting(self, worker_id: HostId, end: FinishedTask) -> EndedTask | None:
        """Keep a task that turns out to have ended from being started again."""
        waiting = self._tables.queue.get(end.task_id)
        if waiting is None or end.attempt < waiting.task.attempt:
            return None
        self._tables.leave_queue(end.task_id)
        advice = EndAdvice.DONE if end.ok else EndAdvice.RETRY
        return EndedTask(
            task=waiting.task, worker_id=worker_id, ok=end.ok, advice=advice, detail=end.detail
        )

    def _on_duplicate(self, worker: Worker, listed: RunningTask) -> None:
        task_id = listed.task.task_id
        worker.ledger.adopt(task_id, listed.reserved)
        self._duplicates_by_worker.setdefault(worker.worker_id, set()).add(task_id)
        self._tables.refresh(worker, freed=False)
        self._tables.pending.stop_duplicate(worker, task_id)

    def _repeat_command(self, placed: Placed, now: float) -> None:
        if placed.ending is None:
            return
        if now - placed.commanded_at < self._tables.settings.command_retry_s:
            return
        if placed.ending is CommandKind.STOP:
            self._tables.pending.stop(placed, placed.cause)
        else:
            self._tables.pending.checkpoint(placed, placed.cause)

    def _find_missing(
        self, worker: Worker, listed: Collection[TaskId], asked_at: float
    ) -> _Missing:
        missing = _Missing()
        self._free_duplicates(worker, listed)
        for placed in self._tables.on_worker(worker):
            if placed.worker is not worker or placed.task.task_id in listed:
                continue
            if self._is_proved_absent(placed, asked_at):
                self._on_absent(placed, missing)
        return missing

    def _free_duplicates(self, worker: Worker, listed: Collection[TaskId]) -> None:
        duplicates = self._duplicates_by_worker.get(worker.worker_id)
        if not duplicates:
            return
        for task_id in [task_id for task_id in duplicates if task_id not in listed]:
            duplicates.remove(task_id)
            worker.ledger.release(task_id)
            self._tables.refresh(worker, freed=True)

    def _is_proved_absent(self, placed: Placed, asked_at: float) -> bool:
        phase = placed.phase
        if phase is TaskPhase.RUNNING:
            return placed.decided_at < asked_at
        if phase is TaskPhase.UNKNOWN:
            return placed.decided_at + self._tables.settings.start_settle_s <= asked_at
        return False

    def _on_absent(self, placed: Placed, missing: _Missing) -> None:
        tables = self._tables
        was_unknown = placed.phase is TaskPhase.UNKNOWN
        tables.forget(placed)
        task = placed.task
        if placed.is_cancelled:
            tables.remember_end(placed, ok=False, detail=CANCELLED)
            missing.ended.append(
                EndedTask(
                    task=task,
                    worker_id=placed.worker.worker_id,
                    ok=False,
                    advice=EndAdvice.CANCELLED,
                    detail=CANCELLED,
                )
            )
            return
        # An unseen end may have been of any kind: a checkpoint command doesn't prove a checkpoint.
        if task.idempotent and (was_unknown or placed.ending in ENDINGS):
            tables.requeue(placed, next_attempt=True)
            missing.requeued.append(task.task_id)
            return
        missing.lapsed.append(task)


def raise_reservations_to_usage(tables: PlacementTables, worker: Worker) -> None:
    """Raise the reservations of overrunning tasks to their measured usage, if it fits."""
    for placed in tables.on_worker(worker):
        amount = placed.entry.amount
        if placed.used.memory_mb > placed.granted_mb:
            tables.estimates.observe(placed.task, placed.used)
        if placed.used.memory_mb > amount.memory_mb:
            more = Resources(memory_mb=placed.used.memory_mb)
            tables.resize(placed, amount.at_least(more))


def _advice(placed: Placed, end: FinishedTask, verdict: HealthVerdict) -> EndAdvice:
    if end.ok:
        return EndAdvice.DONE
    if placed.is_cancelled:
        return EndAdvice.CANCELLED
    if verdict in (HealthVerdict.JOB_BAD, HealthVerdict.TASK_BAD):
        return EndAdvice.GIVE_UP
    return EndAdvice.RETRY
