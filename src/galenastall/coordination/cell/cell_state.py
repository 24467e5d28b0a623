"""The leader's tables: jobs, executors, the wait queue, and changes to write next."""

from collections import Counter
from collections.abc import Iterable

from galenastall.coordination.cell.cell_clock import CellClock
from galenastall.coordination.cell.commands import (
    AdviceRequest,
    Note,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from galenastall.coordination.cell.contention import NO_RULES, ContentionRules
from galenastall.coordination.cell.executor_speeds import ExecutorSpeeds
from galenastall.coordination.cell.executor_table import ExecutorTable
from galenastall.coordination.cell.executors import ClosedReason, Executor
from galenastall.coordination.cell.job_runs import JobRun, StepRun
from galenastall.coordination.cell.late_orders import LateOrders
from galenastall.coordination.cell.lease_clock import longest_lease_s
from galenastall.coordination.cell.mechanisms import ALL_ON, DisabledMechanisms, Mechanism
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.coordination.cell.timings import CellTimings
from galenastall.coordination.cell.workspace_use import WorkspaceUse
from galenastall.state.cell.jobs import Queue, StepKey, TaskKey
from galenastall.state.cell.phases import TaskPhase


class CellState:
    """State shared by the parts of the core; it only keeps the tables consistent."""

    def __init__(
        self, *, timings: CellTimings, fenced_at: float, without: DisabledMechanisms = ALL_ON
    ) -> None:
        """Create empty tables of a leader whose fence has been in place since `fenced_at`.

        Until the fence is confirmed, an earlier leader may still extend leases (see `set_fenced`).
        """
        self.timings = timings
        self.without = without
        """Mechanisms that are switched off, to measure what each contributes."""
        self.fenced_at = fenced_at
        self.now = fenced_at
        """Leader's time of the current event."""
        self.clock = CellClock(fenced_at=fenced_at)
        self.jobs_by_id: dict[str, JobRun] = {}
        self.executors = ExecutorTable()
        self.speeds = ExecutorSpeeds(is_enabled=Mechanism.SPEEDS not in without)
        self.queues_by_name: dict[str, Queue] = {}
        self.workspaces = WorkspaceUse()
        self.contention: ContentionRules = NO_RULES
        """Rules for workspaces that compete; set with each configuration."""
        self.has_executor_list = False
        """Whether the platform's list of executors has been read in this term."""
        self.named_services: frozenset[str] | None = None
        """Services that the configuration names; None before the first configuration."""
        self.waiting_steps: set[StepKey] = set()
        """Steps that are ready to run and have tasks without a run."""
        self.dirty_jobs: set[str] = set()
        self.noted_executors: set[str] = set()
        """Executors with run ends that were applied and are not yet durable."""
        self.new_starts: list[StartOrder] = []
        self.late_orders = LateOrders(late_s=timings.late_order_s, lease_s=longest_lease_s(timings))
        self.stopping: set[TaskKey] = set()
        """Tasks whose runs are to be stopped and may still be running."""
        self.stops: list[StopOrder] = []
        self.stopped_by_rule: Counter[StopRule] = Counter()
        """Number of runs that this leader has stopped; a gang's run counts once."""
        self.throttle_orders: list[ThrottleOrder] = []
        self.asks: list[AdviceRequest] = []
        self.notes: list[Note] = []
        self.wanted_listings: set[str] = set()
        """Executors whose listing is needed now, without waiting for a run to end."""
        self.suspect_members: set[TaskKey] = set()
        """Gang members whose next runs are monitored from their start."""
        self.newly_polled: set[str] = set()
        """Executors that have to be polled continuously from now on."""
        self.advice_calls_at_once = 1
        """Number of advice calls that can be pending at a time: one for each entry host."""
        self._seq = 0

    def set_fenced(self, at: float) -> None:
        """Record when the fence was confirmed, before anything is restored."""
        self.fenced_at = self.now = at
        self.clock = CellClock(fenced_at=at)

    @property
    def executors_by_id(self) -> dict[str, Executor]:
        """Executors that are listed, or that may still run something."""
        return self.executors.by_id

    def next_seq(self) -> int:
        """Return the next sequence number for messages that this leader sends and receives."""
        self._seq += 1
        return self._seq

    def note(
        self, step: str, *subjects: str, cause: str = "", fields: dict[str, str] | None = None
    ) -> None:
        """Record a decision for the log."""
        self.notes.append(Note(step=step, subjects=subjects, cause=cause, fields=fields or {}))

    def find(self, key: TaskKey) -> tuple[JobRun, StepRun, TaskRun] | None:
        """Return a task with its step and job, or None if it is not known."""
        job = self.jobs_by_id.get(key.job)
        occurrence = job.occurrences_by_number.get(key.occurrence) if job is not None else None
        if job is None or occurrence is None or not 0 <= key.step < len(occurrence.steps):
            return None
        step = occurrence.steps[key.step]
        if not 0 <= key.number < len(step.tasks):
            return None
        return job, step, step.tasks[key.number]

    def why_closed(self, executor: Executor) -> ClosedReason | None:
        """Return why an executor accepts no new work now; None if it does."""
        timings = self.timings
        return executor.why_closed(
            now=self.now, reach_s=timings.reach_s, delisted_grace_s=timings.delisted_grace_s
        )

    def request_listing(self, executor: Executor) -> None:
        """Request a listing from an executor now."""
        executor.needs_listing = True
        self.wanted_listings.add(executor.executor_id)

    def keep_polled(self, executor: Executor, *, until: float) -> None:
        """Poll an executor continuously until the given time, even if it runs nothing."""
        executor.polled_until = max(executor.polled_until, until)
        self.newly_polled.add(executor.executor_id)

    def count_stop(self, task: TaskRun, rule: StopRule) -> int:
        """Count a stop, and return how many of the job's runs the rule has stopped."""
        found = self.find(task.key)
        if found is None:
            return 0
        job, step, _ = found
        if job.stops.count(task.key, task.run, rule, is_gang=step.step.is_gang):
            self.stopped_by_rule[rule] += 1
        return job.stops.by_rule[rule]

    @property
    def has_unplaced_runs(self) -> bool:
        """Whether runs are on executors of which it is not known on which hosts they are."""
        return any(e.runs_by_task and not e.info.host for e in self.executors_by_id.values())

    def executor_on(self, host: str) -> Executor | None:
        """Return the executor on a host; if there are several, the one that answered last."""
        found = self.executors.on_host(host)
        return max(found, key=lambda e: (e.answered_seq, e.executor_id), default=None)

    def find_ordered(self, order: StartOrder | StopOrder | ThrottleOrder) -> TaskRun | None:
        """Return the task of an order, or None if the order is for an earlier run.

        The executor must match too: a job that is withdrawn and resubmitted restarts at run 1.
        """
        found = self.find(order.task)
        if found is None:
            return None
        task = found[2]
        is_same = task.run == order.run and task.executor_id == order.executor_id
        return task if is_same and task.phase is TaskPhase.ASSIGNED else None

    def drop_starts(self, job_id: str) -> None:
        """Drop the start orders of a job that have not been sent."""
        self.new_starts = [order for order in self.new_starts if order.task.job != job_id]

    def queue_of(self, job: JobRun) -> Queue:
        """Return the policy in force for a job; a removed queue keeps its last one."""
        queue = self.queues_by_name.get(job.queue.name)
        if queue is not None and queue is not job.queue:
            job.queue = queue
        return job.queue

    def assign(
        self, task: TaskRun, step: StepRun, executor: Executor, run: int, now: float
    ) -> None:
        """Reserve capacity for a new run of a task and count the run in the ledger."""
        task.assign(run=run, executor_id=executor.executor_id, now=now)
        task.assigned_ms = self.clock.ms_at(now)
        executor.reserve(step.step.need)
        executor.runs_by_task[task.key] = run
        self.count_run(task, step)
        self.dirty_jobs.add(task.key.job)

    def count_run(self, task: TaskRun, step: StepRun) -> None:
        """Count an assigned run against the limit of its workspace."""
        job = self.jobs_by_id[task.key.job].job
        self.workspaces.add(task.key, workspace=job.workspace, need=step.step.need)

    def free(self, task: TaskRun, step: StepRun) -> Executor | None:
        """Release the capacity of a task's ended run; return its executor if known."""
        executor = self.executors_by_id.get(task.executor_id)
        if executor is not None and executor.runs_by_task.pop(task.key, None) is not None:
            executor.release(step.step.need)
        self.workspaces.remove(task.key)
        self.dirty_jobs.add(task.key.job)
        return executor

    def refresh_waiting(self, job: JobRun) -> None:
        """Add the job's steps that have tasks to start to the wait queue, and remove the others.

        A job whose acceptance is not durable yet is placed too: its first assignments are written
        in the same append, which saves 25 ms before its first start.
        """
        for occurrence in job.occurrences_by_number.values():
            for step in occurrence.steps:
                wanted = (
                    not job.has_ended
                    and not step.is_done
                    and occurrence.is_ready(step)
                    and any(task.phase is TaskPhase.WAITING for task in step.tasks)
                )
                if wanted:
                    self.waiting_steps.add(step.key)
                else:
                    self.waiting_steps.discard(step.key)

    def drop_waiting(self, steps: Iterable[StepKey]) -> None:
        """Remove steps from the wait queue."""
        self.waiting_steps.difference_update(steps)
