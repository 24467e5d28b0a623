"""In-memory stand-in of one worker, which starts tasks even beyond its capacity."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from functools import partial

from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import StartBatch, StartRequest, TaskAnswer, WorkerListing
from galenastall.standin.event_queue import EventQueue
from galenastall.standin.faults import WorkerFaults
from galenastall.standin.listing_cursors import ListingCursors
from galenastall.standin.run import Run
from galenastall.standin.run_ledger import RunLedger
from galenastall.standin.task_payload import read_payload, run_time_of
from galenastall.standin.violations import Violation, ViolationKind, ViolationLog
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import FinishedTask, TaskEnd


class MemoryWorker:
    """State of one worker; every method takes the runtime seconds at which it takes effect."""

    def __init__(
        self,
        *,
        host_id: HostId,
        capacity: Resources,
        clock: Clock,
        events: EventQueue,
        ledger: RunLedger,
        violations: ViolationLog,
        faults: WorkerFaults | None = None,
    ) -> None:
        self.host_id = host_id
        self.capacity = capacity
        self.faults = faults or WorkerFaults()
        self.calls_by_step: Counter[str] = Counter()
        self.highest_epoch = Epoch(0)
        self.inbox: list[Callable[[float], None]] = []
        self._clock = clock
        self._events = events
        self._ledger = ledger
        self._violations = violations
        self._runs_by_task: dict[TaskId, list[Run]] = {}
        self._finished_by_task: dict[TaskId, list[FinishedTask]] = {}
        self._reserved = NOTHING
        self._cursors = ListingCursors(prefix=f"{clock.wall():.6f}")

    @property
    def reserved(self) -> Resources:
        """Sum of the reservations of all active runs."""
        return self._reserved

    def runs(self) -> list[Run]:
        """Return all active runs, grouped by task."""
        return [run for runs in self._runs_by_task.values() for run in runs]

    def start(self, batch: StartBatch, now: float) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Start a batch's tasks."""
        refusal = self._refusal("worker.start", batch.epoch, now, not_after=batch.not_after)
        if refusal is not None:
            return Failure(refusal)
        return Success(tuple(self._start_one(start, batch.epoch, now) for start in batch.starts))

    def renew(
        self, tasks: Sequence[TaskId], lease_until: float, now: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Extend leases."""

        def extend(run: Run) -> None:
            expires_at = self._runtime(lease_until)
            is_sooner = expires_at < run.expires_at
            run.lease_until, run.expires_at = lease_until, expires_at
            if is_sooner:
                self._schedule_lease_expiry(run)

        return Success(self._for_each(tasks, extend))

    def checkpoint(
        self, tasks: Sequence[TaskId], epoch: Epoch, now: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Checkpoint and stop tasks; those that can't be checkpointed keep running."""
        refusal = self._refusal("worker.checkpoint", epoch, now)
        if refusal is not None:
            return Failure(refusal)
        checkpointable: list[TaskId] = []
        not_checkpointable: list[TaskId] = []
        for task in tasks:
            runs = self._runs_by_task.get(task, ())
            can_checkpoint = all(run.task.checkpointable for run in runs)
            (checkpointable if can_checkpoint else not_checkpointable).append(task)
        answers = self._for_each(
            checkpointable, lambda run: self._end(run, TaskEnd.CHECKPOINTED, now)
        )
        refused = (
            TaskAnswer(task_id=task, ok=False, detail="not checkpointable")
            for task in not_checkpointable
        )
        return Success((*answers, *refused))

    def throttle(
        self, tasks: Sequence[TaskId], epoch: Epoch, share: float, now: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Throttle tasks to `share` of full speed."""
        refusal = self._refusal("worker.throttle", epoch, now)
        if refusal is not None:
            return Failure(refusal)

        def slow_down(run: Run) -> None:
            run.throttle(share, now)
            self._schedule_end(run)

        return Success(self._for_each(tasks, slow_down))

    def stop(
        self, tasks: Sequence[TaskId], epoch: Epoch, now: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Stop tasks without a checkpoint."""
        refusal = self._refusal("worker.stop", epoch, now)
        if refusal is not None:
            return Failure(refusal)
        return Success(self._for_each(tasks, lambda run: self._end(run, TaskEnd.STOPPED, now)))

    def acknowledge(self, tasks: Sequence[TaskId], now: float) -> Result[None, StepError]:
        """Drop finished tasks from listings."""
        for task in tasks:
            self._finished_by_task.pop(task, None)
        return Success(None)

    def listing(self, now: float, since: str = "") -> Result[WorkerListing, StepError]:
        """Return running and finished tasks, or the changes since a cursor; usage lags."""
        self._check_memory(now)
        lag_s = self.faults.usage_lag_s
        running = tuple(run.listed(now, lag_s) for run in self.runs())
        return Success(
            self._cursors.answer(
                WorkerListing(
                    running=running,
                    finished=tuple(self._finished()),
                    used=_sum(row.used for row in running),
                    highest_epoch=self.highest_epoch if self.faults.compares_epochs else Epoch(0),
                ),
                since=since,
            )
        )

    def fail_host(self, now: float) -> None:
        """Fail all runs and clear the state, as when the machine is lost."""
        for run in self.runs():
            self._end(run, TaskEnd.FAILED, now)
        self._finished_by_task.clear()
        self.inbox.clear()
        self._cursors.clear()

    def _start_one(self, start: StartRequest, epoch: Epoch, now: float) -> TaskAnswer:
        task = start.task
        if self.faults.fail_starts:
            return TaskAnswer(task_id=task.task_id, ok=False, detail="start failed")
        if self.faults.compares_epochs and task.task_id in self._runs_by_task:
            return TaskAnswer(task_id=task.task_id, ok=False, detail="already running")
        run = self._make_run(start, epoch, now)
        self._runs_by_task.setdefault(task.task_id, []).append(run)
        self._reserved += run.reserved
        self._ledger.started(run=run, host=self.host_id, now=now)
        if not self._reserved.fits_in(self.capacity):
            detail = f"{self._reserved} of {self.capacity}"
            self._report(ViolationKind.OVERCOMMIT, task.task_id, detail)
        self._schedule_end(run)
        self._schedule_lease_expiry(run)
        return TaskAnswer(task_id=task.task_id, ok=True)

    def _make_run(self, start: StartRequest, epoch: Epoch, now: float) -> Run:
        payload = read_payload(start.task.payload)
        fail_after_s = self.faults.fail_runs_after_s
        return Run(
            number=self._ledger.next_number(),
            task=start.task,
            reserved=start.reserved,
            epoch=epoch,
            lease_until=start.lease_until,
            expires_at=self._runtime(start.lease_until),
            payload=payload,
            usage_factor=self.faults.usage_factor,
            started_at=now,
            work_s=run_time_of(start.task, payload),
            measured_at=now,
            done_s=self._ledger.progress_of(start.task.task_id),
            fails_at=None if fail_after_s is None else now + fail_after_s,
        )

    def _schedule_end(self, run: Run) -> None:
        self._events.push(run.ends_at(), partial(self._on_end_due, run, run.version))

    def _on_end_due(self, run: Run, version: int, now: float) -> None:
        if run.version != version or not self._is_running(run):
            return
        has_failed = run.payload.fail or (run.fails_at is not None and now >= run.fails_at)
        self._end(run, TaskEnd.FAILED if has_failed else TaskEnd.DONE, now)

    def _schedule_lease_expiry(self, run: Run) -> None:
        self._events.push(run.expires_at, partial(self._on_lease_expiry, run))

    def _on_lease_expiry(self, run: Run, now: float) -> None:
        if not self._is_running(run):
            return
        if run.expires_at > now:
            self._schedule_lease_expiry(run)
            return
        self._end(run, TaskEnd.LEASE_LAPSED, now)

    def _end(self, run: Run, end: TaskEnd, now: float) -> None:
        task = run.task.task_id
        self._runs_by_task[task].remove(run)
        if not self._runs_by_task[task]:
            del self._runs_by_task[task]
        self._reserved -= run.reserved
        self._ledger.ended(run=run, end=end, now=now)
        finished = FinishedTask(
            task_id=task,
            attempt=run.task.attempt,
            ok=end is TaskEnd.DONE,
            detail=end.value,
            peak=run.peak(),
            run_s=now - run.started_at,
        )
        self._finished_by_task.setdefault(task, []).append(finished)

    def _for_each(
        self, tasks: Iterable[TaskId], effect: Callable[[Run], None]
    ) -> tuple[TaskAnswer, ...]:
        return tuple(self._apply(task, effect) for task in tasks)

    def _apply(self, task: TaskId, effect: Callable[[Run], None]) -> TaskAnswer:
        runs = self._runs_by_task.get(task)
        if not runs:
            return TaskAnswer(task_id=task, ok=False, detail="not running")
        for run in tuple(runs):
            effect(run)
        return TaskAnswer(task_id=task, ok=True)

    def _refusal(
        self, step: str, epoch: Epoch, now: float, *, not_after: float = float("inf")
    ) -> StepError | None:
        if not self.faults.compares_epochs:
            return None
        if epoch < self.highest_epoch:
            detail = f"epoch {epoch} is below {self.highest_epoch}"
            return StepError(step=step, peer=self.host_id, reason=Reason.CONFLICT, detail=detail)
        if self._runtime(not_after) < now:
            detail = "past its not-after time"
            return StepError(step=step, peer=self.host_id, reason=Reason.REFUSED, detail=detail)
        self.highest_epoch = epoch
        return None

    def _check_memory(self, now: float) -> None:
        used = _sum(run.used(now) for run in self.runs())
        if used.memory_mb > self.capacity.memory_mb:
            detail = f"{used.memory_mb} of {self.capacity.memory_mb} MB"
            self._report(ViolationKind.MEMORY_EXHAUSTED, "", detail)

    def _report(self, kind: ViolationKind, subject: str, detail: str) -> None:
        at = self._clock.wall()
        self._violations.add(
            Violation(kind=kind, host=self.host_id, subject=subject, at=at, detail=detail)
        )

    def _finished(self) -> Iterable[FinishedTask]:
        return (task for tasks in self._finished_by_task.values() for task in tasks)

    def _is_running(self, run: Run) -> bool:
        return run in self._runs_by_task.get(run.task.task_id, ())

    def _runtime(self, wall: float) -> float:
        return self._clock.now() + (wall - self._clock.wall())


def _sum(amounts: Iterable[Resources]) -> Resources:
    return sum(amounts, NOTHING)
