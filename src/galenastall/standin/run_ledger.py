"""Runs of all stand-in workers, to detect duplicate runs across workers."""

from typing import Final

from galenastall.protocol.clock import Clock
from galenastall.standin.history import History
from galenastall.standin.run import Run, RunRecord
from galenastall.standin.violations import Violation, ViolationKind, ViolationLog
from galenastall.state.ids import HostId, TaskId
from galenastall.state.work import TaskEnd

MAX_RECORDS: Final = 200_000
"""Run records kept; the oldest are dropped first."""


class RunLedger:
    """Records runs and reports the invariant violations that they cause."""

    def __init__(self, *, clock: Clock, violations: ViolationLog) -> None:
        self._clock = clock
        self._violations = violations
        self.records: History[RunRecord] = History(keep=MAX_RECORDS)
        self._live_by_number: dict[int, RunRecord] = {}
        self._live_by_task: dict[TaskId, set[int]] = {}
        self._checkpointed: dict[TaskId, float] = {}
        self._ran_once: set[TaskId] = set()
        self.runs = 0

    def next_number(self) -> int:
        """Return the number of the next run."""
        self.runs += 1
        return self.runs

    def progress_of(self, task: TaskId) -> float:
        """Return the work saved by a task's last checkpoint, in seconds."""
        return self._checkpointed.get(task, 0.0)

    def started(self, *, run: Run, host: HostId, now: float) -> None:
        """Record a start and any invariant violation it causes."""
        task = run.task.task_id
        self._check(run=run, host=host, now=now)
        record = RunRecord(
            number=run.number,
            task_id=task,
            attempt=run.task.attempt,
            host=host,
            reserved=run.reserved,
            started_at=self._wall(now),
        )
        self.records.add(record)
        self._live_by_number[run.number] = record
        self._live_by_task.setdefault(task, set()).add(run.number)
        self._checkpointed.pop(task, None)
        if not run.task.idempotent:
            self._ran_once.add(task)

    def ended(self, *, run: Run, end: TaskEnd, now: float) -> None:
        """Record an end; a checkpoint saves the progress for the next run."""
        task = run.task.task_id
        record = self._live_by_number.pop(run.number)
        record.ended_at = self._wall(now)
        record.end = end.value
        live = self._live_by_task[task]
        live.discard(run.number)
        if not live:
            del self._live_by_task[task]
        if end is TaskEnd.CHECKPOINTED:
            self._checkpointed[task] = run.progress(now)
            self._ran_once.discard(task)

    def running(self) -> int:
        """Return the number of active runs."""
        return len(self._live_by_number)

    def _check(self, *, run: Run, host: HostId, now: float) -> None:
        task = run.task.task_id
        live = self._live_by_task.get(task)
        if live:
            places = ", ".join(sorted(self._live_by_number[number].host for number in live))
            self._report(ViolationKind.DOUBLE_RUN, host, task, now, f"runs on {places}")
        elif task in self._ran_once:
            self._report(ViolationKind.REPEATED_NON_IDEMPOTENT, host, task, now, "ran before")

    def _report(
        self, kind: ViolationKind, host: HostId, task: TaskId, now: float, detail: str
    ) -> None:
        self._violations.add(
            Violation(kind=kind, host=host, subject=task, at=self._wall(now), detail=detail)
        )

    def _wall(self, now: float) -> float:
        return self._clock.wall() - (self._clock.now() - now)
