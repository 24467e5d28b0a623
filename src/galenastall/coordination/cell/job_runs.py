"""A job in the leader's memory: its occurrences, steps and tasks, stored as rows."""

from collections.abc import Iterator
from dataclasses import replace
from typing import Final

from galenastall.coordination.cell.objectives import objective_at
from galenastall.coordination.cell.stop_rules import JobStops
from galenastall.coordination.cell.task_runs import StartState, TaskRun
from galenastall.state.cell.jobs import CellJob, Queue, Recurrence, Step, StepKey, TaskKey
from galenastall.state.cell.number_ranges import NumberRange, NumberRanges
from galenastall.state.cell.phases import ENDED_PHASES, JobPhase, TaskPhase
from galenastall.state.cell.rows import GangRow, ProgressRow, StallRow, TaskRow

MAX_DATED_TASKS: Final = 3_000
"""Maximum number of tasks in a row that tells of each when its run was assigned and whether it is
suspect, with up to 77 bytes per task; a row of more than some 256 KiB takes several records."""
MAX_OPEN_TASKS: Final = 3_600
"""Maximum number of tasks in open occurrences of a timed job; later occurrences wait. Their
progress is one row of up to 69 bytes per task, and one of more than some 256 KiB takes several
records."""


class StepRun:
    """The tasks of one step of one occurrence."""

    def __init__(self, *, key: StepKey, step: Step) -> None:
        """Create a step with all its tasks."""
        self.key = key
        self.step = step
        self.tasks = [TaskRun(key=TaskKey(*key, index)) for index in range(step.count)]
        self.is_done = False
        self.done_at = float("-inf")
        """Leader's time at which a gang was done; unknown if that was under an earlier leader."""
        self.gang_failures = 0
        self.failed_run = 0
        """Number of the last run of a gang that was counted as failed."""

    @property
    def highest_run(self) -> int:
        """The highest run number among its tasks."""
        return max(task.run for task in self.tasks)

    @property
    def has_ended_members(self) -> bool:
        """Whether members of a gang's last run have ended while others may still be at work."""
        if not self.step.is_gang or self.is_done:
            return False
        runs = {task.run for task in self.tasks if task.phase is TaskPhase.ASSIGNED}
        return any(task.run in runs for task in self.waiting())

    def waiting(self) -> list[TaskRun]:
        """Return the tasks that wait for a run."""
        return [task for task in self.tasks if task.phase is TaskPhase.WAITING]

    def share_given_up(self) -> None:
        """Count a gang's run as stopped for a stall for all members, whichever of them stalled."""
        before = max(task.given_up_runs for task in self.tasks)
        given_up_runs = before + int(any(task.is_given_up for task in self.tasks))
        for task in self.tasks:
            task.given_up_runs = given_up_runs
            task.is_given_up = False

    def share_checkpoint(self) -> None:
        """Give all members of a gang the newest checkpoint of any of them.

        A checkpoint is valid for all members, and only members with the same one can work together:
        with different ones a gang stalled until it was stopped, losing 3.4 s and a start each time.
        """
        newest = max(self.tasks, key=lambda task: (task.checkpoint_at, task.checkpoint))
        for task in self.tasks:
            task.checkpoint = newest.checkpoint
            task.checkpoint_at = newest.checkpoint_at

    def check_done(self) -> bool:
        """Update and return whether all tasks are done; a gang is done once any member is."""
        if not self.is_done:
            self.is_done = all(task.phase is TaskPhase.DONE for task in self.tasks)
        return self.is_done


class Occurrence:
    """One execution of a job's steps; a timed job has several."""

    def __init__(self, *, job: CellJob, number: int, begins_at: float, queue: Queue) -> None:
        """Create an occurrence with its steps; `begins_at` is wall-clock time in seconds."""
        self.number = number
        self.begins_at = begins_at
        self.objective = objective_at(steps=job.steps, queue=queue, begins_at=begins_at)
        self.steps = [
            StepRun(key=StepKey(job.job_id, number, index), step=step)
            for index, step in enumerate(job.steps)
        ]

    def is_ready(self, step: StepRun) -> bool:
        """Whether all steps that the given step depends on are done."""
        return all(self.steps[index].is_done for index in step.step.after)

    @property
    def is_done(self) -> bool:
        """Whether all steps are done."""
        return all(step.is_done for step in self.steps)


class JobRun:
    """An accepted job, or one whose acceptance is being written."""

    def __init__(self, *, job: CellJob) -> None:
        """Create a job without occurrences; `open_due` adds them."""
        self.job = job
        self.queue = job.queue
        self.phase = JobPhase.QUEUED
        self.shown_phase = JobPhase.QUEUED
        """The phase reported to callers: the last durable one."""
        self.is_written = False
        """Whether its acceptance has been sent to the store."""
        self.is_durable = False
        self.has_started = False
        """Whether an executor has confirmed a run of it; an assignment whose order was not sent or
        got no answer does not count."""
        self.is_within_rate = True
        """Whether it is within its workspace's rate; jobs beyond the rate are placed last."""
        self.ended_at = 0.0
        self.stops = JobStops()
        """Counts of its runs stopped by this leader."""
        self.occurrences_opened = 0
        self.occurrences_by_number: dict[int, Occurrence] = {}
        self.done_occurrences = NumberRanges()
        """Numbers of a timed job's occurrences that are done and have been dropped."""

    @property
    def has_ended(self) -> bool:
        """Whether it has ended, so that none of its tasks starts again."""
        return self.phase in ENDED_PHASES

    @property
    def is_long_running(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.is_long_running for step in self.job.steps)

    @property
    def objective_s(self) -> float:
        """Target time from submission, or from the first due time, to completion."""
        for occurrence in self.occurrences_by_number.values():
            return occurrence.objective - occurrence.begins_at
        return 0.0

    def note_start(self) -> None:
        """Record that an executor has confirmed a run."""
        self.has_started = True
        if self.shown_phase is JobPhase.QUEUED:
            self.shown_phase = JobPhase.RUNNING

    def next_due(self) -> float | None:
        """Return the wall-clock time of the next occurrence, or None after the last."""
        recurrence = self.job.recurrence
        if recurrence is None:
            return self.job.submitted_at if self.occurrences_opened == 0 else None
        if self.occurrences_opened >= recurrence.times:
            return None
        return self._due_of(self.occurrences_opened, recurrence)

    @staticmethod
    def _due_of(number: int, recurrence: Recurrence) -> float:
        return recurrence.first_due + number * recurrence.interval_s

    def open_due(self, wall: float) -> list[Occurrence]:
        """Open and return the occurrences that are due; a job that is not timed has only one."""
        opened: list[Occurrence] = []
        while True:
            due = self.next_due()
            if due is None or (self.job.recurrence is not None and due > wall):
                return opened
            if self.occurrences_by_number and not self._fits_another_occurrence():
                return opened
            opened.append(self._open(self.occurrences_opened, due))
            self.occurrences_opened += 1

    def _fits_another_occurrence(self) -> bool:
        """Whether the tasks of one more occurrence fit into the row with the open ones."""
        tasks = sum(step.count for step in self.job.steps)
        return (len(self.occurrences_by_number) + 1) * tasks <= MAX_OPEN_TASKS

    def _open(self, number: int, due: float) -> Occurrence:
        occurrence = Occurrence(job=self.job, number=number, begins_at=due, queue=self.queue)
        self.occurrences_by_number[number] = occurrence
        return occurrence

    def steps(self) -> Iterator[StepRun]:
        """Yield the steps of all open occurrences."""
        for occurrence in self.occurrences_by_number.values():
            yield from occurrence.steps

    def tasks(self) -> Iterator[TaskRun]:
        """Yield the tasks of all open occurrences."""
        for step in self.steps():
            yield from step.tasks

    def assigned(self) -> list[TaskRun]:
        """Return the assigned tasks, whose runs may exist."""
        return [task for task in self.tasks() if task.phase is TaskPhase.ASSIGNED]

    def find_step(self, key: StepKey) -> StepRun | None:
        """Return a step, or None if its occurrence is not open."""
        occurrence = self.occurrences_by_number.get(key.occurrence)
        if occurrence is None or not 0 <= key.step < len(occurrence.steps):
            return None
        return occurrence.steps[key.step]

    def find_task(self, key: TaskKey) -> TaskRun | None:
        """Return a task, or None if there is none with that key."""
        step = self.find_step(key.step_key)
        if step is None or not 0 <= key.number < len(step.tasks):
            return None
        return step.tasks[key.number]

    def drop_done_occurrences(self) -> None:
        """Drop occurrences that are done and have no runs left; their numbers stay recorded."""
        if self.job.recurrence is None:
            return
        for number, occurrence in list(self.occurrences_by_number.items()):
            idle = all(t.phase is not TaskPhase.ASSIGNED for s in occurrence.steps for t in s.tasks)
            if occurrence.is_done and idle:
                self.done_occurrences.add(number)
                del self.occurrences_by_number[number]

    def forget_tasks(self) -> None:
        """Drop the tasks and the payload of a job that has ended; this frees some 10 KB per job."""
        if self.occurrences_by_number:
            self.occurrences_by_number.clear()
            self.job = replace(self.job, payload="", steps=())

    def row(self) -> ProgressRow:
        """Return the progress that must be durable, as a row."""
        done_before, done_ranges = _split_done(self.done_occurrences)
        stored = [] if self.has_ended else [task for task in self.tasks() if _needs_row(task)]
        is_dated = len(stored) <= MAX_DATED_TASKS
        return ProgressRow(
            phase=self.phase,
            queue_name=self.queue.name,
            has_started=self.has_started,
            occurrences_opened=self.occurrences_opened,
            ended_at=self.ended_at,
            tasks=tuple(_task_row(task, is_dated=is_dated) for task in stored),
            done_before=done_before,
            done_ranges=done_ranges,
            workspace=self.job.workspace,
            gangs=() if self.has_ended else tuple(self._gang_rows()),
            stalls=tuple(_stall_row(task) for task in stored if task.all_given_up_runs),
        )

    def _gang_rows(self) -> Iterator[GangRow]:
        for step in self.steps():
            if step.failed_run:
                key = step.key
                yield GangRow(occurrence=key.occurrence, step=key.step, failed_run=step.failed_run)

    def _reopen(self, count: int, wall: float) -> None:
        """Open the occurrences with numbers below `count` that are not done."""
        recurrence = self.job.recurrence
        for number in self.done_occurrences.missing_below(count):
            if recurrence is not None:
                due = self._due_of(number, recurrence)
            else:
                due = self.job.submitted_at if number == 0 else wall
            self._open(number, due)
        self.occurrences_opened = count

    def restore(self, row: ProgressRow, *, wall: float) -> None:
        """Restore the progress that an earlier leader made durable."""
        self.is_written = self.is_durable = True
        self.phase = self.shown_phase = row.phase
        self.has_started = row.has_started
        self.ended_at = row.ended_at
        self.done_occurrences = _restore_done(row)
        self._reopen(row.occurrences_opened, wall)
        for task_row in row.tasks:
            task = self._task_of(task_row)
            if task is not None:
                _restore_task(task, task_row)
        for stall_row in row.stalls:
            task = self._task_of(stall_row)
            if task is not None:
                task.given_up_runs = stall_row.given_up_runs
        for gang_row in row.gangs:
            gang = self.find_step(StepKey(self.job.job_id, gang_row.occurrence, gang_row.step))
            if gang is not None:
                gang.failed_run = gang_row.failed_run
        for step in self.steps():
            _restore_step(step)

    def _task_of(self, row: TaskRow | StallRow) -> TaskRun | None:
        return self.find_task(TaskKey(self.job.job_id, row.occurrence, row.step, row.index))


def _split_done(done: NumberRanges) -> tuple[int, tuple[NumberRange, ...]]:
    """Return up to which number all are done, and the ranges of the others that are."""
    ranges = tuple(done)
    if ranges and ranges[0][0] == 0:
        return ranges[0][1] + 1, ranges[1:]
    return 0, ranges


def _restore_done(row: ProgressRow) -> NumberRanges:
    before = [(0, row.done_before - 1)] if row.done_before else []
    done = NumberRanges([*before, *row.done_ranges])
    for number in row.done_occurrences:
        done.add(number)
    return done


def _restore_step(step: StepRun) -> None:
    if step.step.is_gang:
        step.is_done = any(task.phase is TaskPhase.DONE for task in step.tasks)
        step.gang_failures = max(task.failures for task in step.tasks)
    step.check_done()


def _needs_row(task: TaskRun) -> bool:
    return task.run > 0 or task.phase is not TaskPhase.WAITING


def _task_row(task: TaskRun, *, is_dated: bool) -> TaskRow:
    return TaskRow(
        occurrence=task.key.occurrence,
        step=task.key.step,
        index=task.key.number,
        phase=task.phase,
        run=task.run,
        executor_id=task.executor_id,
        failures=task.failures,
        checkpoint=task.checkpoint,
        crashes=task.crashes,
        blame=task.blame,
        unanswered_by=task.unanswered_by,
        assigned_ms=task.assigned_ms if is_dated and task.phase is TaskPhase.ASSIGNED else 0,
        is_suspect=task.is_suspect if is_dated else None,
    )


def _stall_row(task: TaskRun) -> StallRow:
    return StallRow(
        occurrence=task.key.occurrence,
        step=task.key.step,
        index=task.key.number,
        given_up_runs=task.all_given_up_runs,
    )


def _restore_task(task: TaskRun, row: TaskRow) -> None:
    task.phase = row.phase
    task.run = row.run
    task.executor_id = row.executor_id
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    task.crashes = row.crashes
    task.blame = row.blame
    task.unanswered_by = row.unanswered_by
    task.assigned_ms = row.assigned_ms
    task.is_suspect = row.blame > 0 if row.is_suspect is None else row.is_suspect
    task.state = StartState.INHERITED
