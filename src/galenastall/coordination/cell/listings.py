"""Applies an executor's listing to the runs that the ledger counts there."""

from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import StopOrder
from galenastall.coordination.cell.crashes import STARTUP_S, inherited_began_at
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import JobRun, StepRun
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.task_runs import StartState, TaskRun
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import RunEnd, TaskPhase

MAX_LISTED_ENDS: Final = 500
"""Maximum number of ends in one listing; a full listing proves nothing about missing runs."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedRun:
    """A run that is in progress."""

    task: TaskKey
    run: int
    saved: str = ""
    """The last checkpoint of the run."""
    percent: int = 0
    """Progress, 0 to 100."""
    figure: int = 0
    """Tail latency in milliseconds of a task that serves requests; processor use of any other."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEnd:
    """A run whose end has not been acknowledged yet."""

    position: int
    task: TaskKey
    run: int
    end: RunEnd
    saved: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """The state that an executor reports: its clock, its runs, and ends to acknowledge."""

    clock_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


class ListingReader:
    """Applies listings to the leader's tables."""

    def __init__(self, *, state: CellState, ends: RunEnds) -> None:
        """Work on these tables; ends of runs are passed to `ends`."""
        self._state = state
        self._ends = ends

    def read(
        self, executor: Executor, listing: Listing, *, asked_seq: int, now: float, wall: float
    ) -> None:
        """Apply a listing that was requested at sequence number `asked_seq`."""
        executor.answered_before_at = executor.answered_at
        executor.answered_at = now
        executor.version += 1
        executor.answered_seq = self._state.next_seq()
        running = {(run.task, run.run): run for run in listing.running}
        self._note_listed(executor, listing)
        for end in listing.ended:
            self._apply_end(executor, end, wall)
        self._update_running(executor, listing, now)
        if len(listing.ended) < MAX_LISTED_ENDS:
            self._end_missing(executor, running, asked_seq, wall)
        self._stop_unknown_runs(executor, running, now)

    def _note_listed(self, executor: Executor, listing: Listing) -> None:
        """Take note of runs whose starts got no answer, and count those taken for lost."""
        late_orders, now = self._state.late_orders, self._state.now
        if not late_orders.may_come_to(executor.name, now=now):
            return
        listed = [(run.task, run.run) for run in listing.running]
        listed += [(end.task, end.run) for end in listing.ended]
        for key, run in listed:
            sent_to = late_orders.on_listed(key, run)
            if sent_to:
                self._on_found(executor, key, run, sent_to)
        if len(listing.ended) < MAX_LISTED_ENDS:
            late_orders.on_listing(executor.name, now=now)

    def _on_found(self, executor: Executor, key: TaskKey, run: int, sent_to: str) -> None:
        found = self._state.find(key)
        if found is None:
            return
        job, step, task = found
        if task.unanswered_by:
            fields = {"run": str(run), "sent_to": sent_to, "executor": executor.executor_id}
            self._state.note("run.found", key.job, fields=fields)
        task.unanswered_by = ""
        is_last_run = task.phase is TaskPhase.WAITING and task.run == run
        if is_last_run and not job.has_ended and not step.is_done:
            self._take_back(executor, job, step, task)

    def _take_back(self, executor: Executor, job: JobRun, step: StepRun, task: TaskRun) -> None:
        """Count a run that was taken for lost and has been carried out late."""
        task.phase = TaskPhase.ASSIGNED
        task.executor_id = executor.executor_id
        task.state = StartState.INHERITED
        executor.reserve(step.step.need)
        executor.runs_by_task[task.key] = task.run
        self._state.count_run(task, step)
        self._state.dirty_jobs.add(task.key.job)
        self._state.refresh_waiting(job)
        fields = {"run": str(task.run), "executor": executor.executor_id}
        self._state.note("run.taken_back", task.key.job, fields=fields)
        if step.step.is_gang:
            self._ends.stop(task, rule=StopRule.MEMBER_ENDED, cause="its gang's run has ended")

    def _apply_end(self, executor: Executor, end: ListedEnd, wall: float) -> None:
        if end.position <= executor.applied_position:
            return
        executor.applied_position = end.position
        self._state.noted_executors.add(executor.executor_id)
        found = self._state.find(end.task)
        if found is None or found[2].executor_id != executor.executor_id:
            return
        found[0].note_start()
        self._ends.apply(end.task, end.run, end.end, wall=wall, saved=end.saved)

    def _update_running(self, executor: Executor, listing: Listing, now: float) -> None:
        for run in listing.running:
            if executor.runs_by_task.get(run.task) != run.run:
                continue
            found = self._state.find(run.task)
            if found is None:
                continue
            job, _, task = found
            job.note_start()
            self._date_inherited(task, now)
            task.record_progress(percent=run.percent, now=now, figure=run.figure)
            if task.at_work_s >= STARTUP_S:
                task.is_suspect = False
            task.save(run.saved, now=now)

    def _date_inherited(self, task: TaskRun, now: float) -> None:
        """Date the start of an earlier leader's run before its first listing under this leader."""
        if task.state is not StartState.INHERITED or task.began_at is not None:
            return
        began_at = inherited_began_at(self._state, task)
        if began_at is not None:
            task.began_at = min(began_at, now)

    def _end_missing(
        self,
        executor: Executor,
        running: dict[tuple[TaskKey, int], ListedRun],
        asked_seq: int,
        wall: float,
    ) -> None:
        """End runs that the listing lacks and would contain if they existed."""
        for key, run in list(executor.runs_by_task.items()):
            if (key, run) in running:
                continue
            found = self._state.find(key)
            if found is None:
                continue
            if _proves_ended(found[2], asked_seq):
                self._ends.apply(key, run, RunEnd.NEVER_STARTED, wall=wall)

    def _stop_unknown_runs(
        self, executor: Executor, running: dict[tuple[TaskKey, int], ListedRun], now: float
    ) -> None:
        unknown_runs = frozenset(
            (task, run) for task, run in running if executor.runs_by_task.get(task) != run
        )
        for task, run in unknown_runs - executor.unknown_runs:
            self._state.note(
                "run.stranger",
                task.job,
                cause="the run belongs to no live job",
                fields={"run": str(run), "executor": executor.executor_id},
            )
        if unknown_runs:
            self._state.stops.extend(
                StopOrder(task=task, run=run, executor_id=executor.executor_id)
                for task, run in unknown_runs
            )
        executor.unknown_runs = unknown_runs


def _proves_ended(task: TaskRun, asked_seq: int) -> bool:
    """Whether a listing requested at `asked_seq` that lacks the run proves that it has ended."""
    if task.phase is not TaskPhase.ASSIGNED:
        return False
    if task.stop_seq and asked_seq > task.stop_seq:
        return True
    if task.state is StartState.INHERITED:
        # The call that returned this listing has fenced all orders of earlier leaders.
        return True
    return task.state is StartState.STARTED and 0 < task.confirmed_seq < asked_seq
