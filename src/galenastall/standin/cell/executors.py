"""Simulated executors of a cell, after the platform's description, with invariant checks.

Runs do no work; the simulation's owner sets how long they last. All executors of a simulation know
each other, as members of a gang must, so that a task that runs twice is detected at once.
"""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

import trio

from galenastall.coordination.cell.commands import StartOrder, StopOrder
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.listings import (
    MAX_LISTED_ENDS,
    ListedEnd,
    ListedRun,
    Listing,
)
from galenastall.protocol.cell.executor_port import StartVerdict
from galenastall.standin.cell.quota_checker import QuotaChecker, sum_of
from galenastall.state.cell.jobs import Step, TaskKey
from galenastall.state.cell.phases import RunEnd
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.resources import NOTHING, Resources

GANG_WAIT_S: Final = 3.0
"""How long a gang member waits for the others, as the platform specifies it."""
STOP_S: Final = 0.2
"""How long a stop takes."""
CRASH_AFTER_S: Final = 0.01
"""How long a task that crashes its executor runs before it does so."""
SHRUNK_GRACE_S: Final = 3.0
"""How long starts may use an earlier, larger capacity: the leader's list of executors lags."""
CRASH_LIMIT: Final = 3
"""Crashes by a task after which its further starts are counted."""
STARTS_AFTER_CRASHES: Final = 3
"""Starts of a task after `CRASH_LIMIT` crashes that count as a violation."""


@dataclass(kw_only=True)
class Run:
    """A run on an executor."""

    task: TaskKey
    run: int
    need: Resources
    ends_at: float | None
    fails: bool
    started_at: float = 0.0
    stops_at: float | None = None
    crashes_at: float | None = None
    """When the run crashes its executor."""
    waits_until: float | None = None


class Executor:
    """One incarnation of an executor, by the platform's rules."""

    def __init__(
        self, *, simulation: "ExecutorSimulation", info: ExecutorInfo, rate: float = 1.0
    ) -> None:
        """Start the executor; its monotonic clock runs at `rate`, at most 2% slower than 1."""
        self.simulation = simulation
        self.info = info
        self.rate = rate
        self.born = trio.current_time()
        self.is_up = True
        self._earlier_capacities: list[tuple[float, Resources]] = []
        """Earlier capacities, each with the time until which it was in force."""
        self.fence = 0
        self.deadline_ms = 0.0
        self.expired_at = float("-inf")
        self.runs: dict[TaskKey, Run] = {}
        self.ended: list[ListedEnd] = []
        self.position = 0
        self.finished_runs: dict[TaskKey, int] = {}
        self.changed = trio.Event()

    def clock_ms(self) -> float:
        """Return the executor's clock in milliseconds."""
        return (trio.current_time() - self.born) * 1000.0 * self.rate + 500_000.0

    def resize(self, capacity: Resources) -> None:
        """Change the capacity; current runs continue."""
        self._earlier_capacities.append((trio.current_time(), self.info.capacity))
        self.info = replace(self.info, capacity=capacity)

    def allowed(self) -> Resources:
        """Return the capacity that bounds starts now."""
        allowed = self.info.capacity
        for until, earlier in self._earlier_capacities:
            if trio.current_time() < until + SHRUNK_GRACE_S:
                allowed = allowed.at_least(earlier)
        return allowed

    def sweep(self) -> None:
        """Bring the runs up to date: ends those that are due or whose lease has expired."""
        now = trio.current_time()
        if not self.is_up:
            return
        if any(run.crashes_at is not None and run.crashes_at <= now for run in self.runs.values()):
            self.simulation.crash_by_task(self)
            return
        if self.clock_ms() >= self.deadline_ms:
            expired_at = now - (self.clock_ms() - self.deadline_ms) / 1000.0 / self.rate
            self._end_due(expired_at)
            self.expired_at = max(self.expired_at, expired_at)
            for run in list(self.runs.values()):
                self.end(run, RunEnd.LAPSED)
        self._end_due(now)

    def _sweep_all(self) -> None:
        """Bring this executor, whose lease may have expired, and all others up to date."""
        self.sweep()
        self.simulation.sweep()

    def _end_due(self, now: float) -> None:
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if run.stops_at is not None and run.stops_at <= now:
                self.end(run, RunEnd.STOPPED)
            elif run.waits_until is not None and run.waits_until <= now:
                self.simulation.alone.append((run.task, run.run))
                self.end(run, RunEnd.ALONE)
            elif run.ends_at is not None and run.ends_at <= now:
                self.end(run, RunEnd.FAILED if run.fails else RunEnd.DONE)

    def end(self, run: Run, how: RunEnd) -> None:
        """End a run and add its end to the listing."""
        if self.runs.pop(run.task, None) is None:
            return
        self.position += 1
        self.finished_runs[run.task] = max(self.finished_runs.get(run.task, 0), run.run)
        self.ended.append(ListedEnd(position=self.position, task=run.task, run=run.run, end=how))
        self.simulation.on_end(self, run, how)
        event, self.changed = self.changed, trio.Event()
        event.set()

    def start(self, order: StartOrder, deadline_ms: float, token: int) -> StartVerdict:
        """Carry out a start with this token and lease deadline."""
        self._sweep_all()
        if token < self.fence:
            return StartVerdict.FENCED
        self.fence = token
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        present = self.runs.get(order.task)
        if present is not None and present.run == order.run:
            return StartVerdict.STARTED
        if present is not None or order.run <= self.finished_runs.get(order.task, 0):
            return StartVerdict.OLD_RUN
        if deadline_ms <= self.clock_ms():
            return StartVerdict.TOO_LATE
        if self.simulation.requires_tickets and order.executor_id != self.info.executor_id:
            return StartVerdict.NO_TICKET
        run = self.simulation.on_start(self, order)
        self.runs[order.task] = run
        self.simulation.check_capacity(self)
        self.simulation.check_quota(run)
        self.simulation.join_gang(run)
        return StartVerdict.STARTED

    def stop(self, order: StopOrder, token: int) -> StartVerdict:
        """Stop a run; if it has not started yet, a later start of it is rejected."""
        self._sweep_all()
        if token < self.fence:
            return StartVerdict.FENCED
        self.fence = token
        self.finished_runs[order.task] = max(self.finished_runs.get(order.task, 0), order.run)
        present = self.runs.get(order.task)
        if present is not None and present.run <= order.run and present.stops_at is None:
            present.stops_at = trio.current_time() + STOP_S
        return StartVerdict.STARTED

    def hold(self, deadline_ms: float | None, noted: int, token: int) -> StartVerdict:
        """Renew the lease, and forget ends up to position `noted`."""
        self._sweep_all()
        if token < self.fence:
            return StartVerdict.FENCED
        self.fence = token
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        for end in self.ended:
            if end.position <= noted:
                self.simulation.on_acknowledged(self, end)
        self.ended = [end for end in self.ended if end.position > noted]
        return StartVerdict.STARTED

    def listing(self) -> Listing:
        """Return the current runs and the ends that have not been acknowledged."""
        self._sweep_all()
        now = trio.current_time()
        return Listing(
            clock_ms=int(self.clock_ms()),
            running=tuple(
                ListedRun(task=run.task, run=run.run, percent=self._percent(run, now))
                for run in self.runs.values()
            ),
            ended=tuple(self.ended[:MAX_LISTED_ENDS]),
        )

    def _percent(self, run: Run, now: float) -> int:
        if not self.simulation.shows_progress or run.ends_at is None:
            return min(99, int(now * 10) % 100)
        return int(100 * (now - run.started_at) / (run.ends_at - run.started_at))


class ExecutorSimulation(ABC):
    """All executors of a simulation, and the violations of invariants that they detected."""

    def __init__(self) -> None:
        """Create a simulation without executors."""
        self.executors: dict[str, Executor] = {}
        self.earlier_incarnations: list[Executor] = []
        """Incarnations that were replaced by a later one with the same id."""
        self.violations: list[str] = []
        self.alone: list[tuple[TaskKey, int]] = []
        self.acknowledged_done: set[TaskKey] = set()
        self.done: set[TaskKey] = set()
        self.starts = 0
        self.starts_of: defaultdict[TaskKey, list[float]] = defaultdict(list)
        self.acknowledged_ends: defaultdict[TaskKey, list[tuple[float, RunEnd]]] = defaultdict(list)
        self.ended_at: dict[tuple[TaskKey, int], float] = {}
        self.gangs: defaultdict[tuple[Any, ...], dict[TaskKey, Run]] = defaultdict(dict)
        self.crashing_tasks: set[TaskKey] = set()
        """Tasks that crash each executor that starts them."""
        self.crashes_of: defaultdict[TaskKey, list[float]] = defaultdict(list)
        """Times at which a task crashed executors."""
        self.requires_tickets = False
        """Whether starts carry a ticket, which holds for one incarnation of an executor."""
        self.shows_progress = False
        """Whether listings show the true progress of runs, instead of a mostly rising number."""
        self.quotas = QuotaChecker()

    def workspace_of(self, task: TaskKey) -> str:
        """Return the workspace that owns a task."""
        return NO_WORKSPACE

    @abstractmethod
    def step_of(self, task: TaskKey) -> Step:
        """Return the step that a task belongs to."""

    @abstractmethod
    def attempts_of(self, task: TaskKey) -> int:
        """Return the number of failed runs after which a task must not start again."""

    @abstractmethod
    def draw_run(self, order: StartOrder) -> tuple[float, bool]:
        """Return how long a run lasts in seconds, and whether it fails."""

    @abstractmethod
    def draw_gang_s(self, members: Iterable[Run]) -> float:
        """Return how long a gang's run lasts once all members have started."""

    def crash(self, executor: Executor) -> None:
        """End an incarnation with all its runs; its entry stays listed for a while."""
        self.sweep()
        executor.is_up = False
        for run in list(executor.runs.values()):
            if executor.runs.pop(run.task, None) is not None:
                self._break_gang(run)

    def crash_by_task(self, executor: Executor) -> None:
        """Crash an executor because of the crashing tasks that run there."""
        for task in executor.runs.keys() & self.crashing_tasks:
            self.crashes_of[task].append(trio.current_time())
            executor.runs[task].crashes_at = None
        self.crash(executor)
        self.on_crashed_by_task(executor)

    def on_crashed_by_task(self, executor: Executor) -> None:  # noqa: B027 - no-op by default
        """Handle a crash by a task; a simulation may restart the executor's host."""

    def sweep(self) -> None:
        """Bring all runs up to date."""
        running = [executor for executor in self.executors.values() if executor.runs]
        for executor in running:
            executor.sweep()

    def on_start(self, executor: Executor, order: StartOrder) -> Run:
        """Check a start against the invariants, and return its run."""
        self.starts += 1
        task = order.task
        step = self.step_of(task)
        for other in self.executors.values():
            if task in other.runs and other is not executor:
                self.violations.append(f"{task} runs twice at {trio.current_time():.2f}")
        if task in self.acknowledged_done:
            self.violations.append(f"{task} starts after its end was noted")
        self.starts_of[task].append(trio.current_time())
        self._check_crashes(task)
        for earlier in step.after:
            first = TaskKey(task.job, task.occurrence, earlier, 0)
            before = self.step_of(first)
            for number in range(before.count):
                each = first._replace(number=number)
                if each not in self.done and not before.is_gang:
                    self.violations.append(f"{task} starts before {each}")
        lasts_s, fails = self.draw_run(order)
        return Run(
            task=task,
            run=order.run,
            need=step.need,
            ends_at=None if step.is_gang else trio.current_time() + lasts_s,
            fails=fails,
            started_at=trio.current_time(),
            crashes_at=trio.current_time() + CRASH_AFTER_S if task in self.crashing_tasks else None,
            waits_until=trio.current_time() + GANG_WAIT_S if step.is_gang else None,
        )

    def _check_crashes(self, task: TaskKey) -> None:
        """Check that a task that keeps crashing executors is not started indefinitely."""
        crashes = self.crashes_of[task]
        if len(crashes) < CRASH_LIMIT:
            return
        third = crashes[CRASH_LIMIT - 1]
        later = [at for at in self.starts_of[task] if at > third]
        if len(later) >= STARTS_AFTER_CRASHES:
            self.violations.append(f"{task} starts {len(later)} times after {third:.2f}")

    def join_gang(self, run: Run) -> None:
        """Start a gang's work once its last member has joined."""
        step = self.step_of(run.task)
        if not step.is_gang:
            return
        members = self.gangs[(*run.task.step_key, run.run)]
        members[run.task] = run
        if len(members) == step.count:
            ends_at = trio.current_time() + self.draw_gang_s(members.values())
            fails = any(member.fails for member in members.values())
            first = min(members)
            for member in members.values():
                member.waits_until = None
                member.fails = fails and member.task == first
                # Only the first member fails; its failure then breaks the others' runs.
                member.ends_at = ends_at if member.fails or not fails else None

    def check_capacity(self, executor: Executor) -> None:
        """Check that an executor's runs fit its capacity."""
        used = NOTHING
        for run in executor.runs.values():
            used = used + run.need
        if not used.fits_in(executor.allowed()):
            runs = sorted((*run.task, run.run) for run in executor.runs.values())
            at = f"{executor.info.executor_id} at {trio.current_time():.2f}"
            self.violations.append(f"{at} is over its capacity: {used} by {runs}")

    def check_quota(self, started: Run) -> None:
        """Check that a run that has just started keeps its workspace within the limit."""
        name = self.workspace_of(started.task)
        if name == NO_WORKSPACE:
            return
        used = sum_of(
            run.need
            for executor in self.executors.values()
            for run in executor.runs.values()
            if self.workspace_of(run.task) == name
        )
        violation = self.quotas.violation(name, used=used, started=started.need)
        if violation:
            self.violations.append(f"{violation}, with {started.task} at {trio.current_time():.2f}")

    def on_end(self, executor: Executor, run: Run, how: RunEnd) -> None:
        """Record an end; any end other than DONE breaks the rest of a gang."""
        self.ended_at.setdefault((run.task, run.run), _ended_at(run, how))
        if how is RunEnd.DONE:
            self.done.add(run.task)
        if how is not RunEnd.DONE:
            self._break_gang(run)

    def _break_gang(self, run: Run) -> None:
        if not self.step_of(run.task).is_gang:
            return
        members = self.gangs[(*run.task.step_key, run.run)]
        members.pop(run.task, None)
        for executor in self.executors.values():
            for member in list(members.values()):
                if executor.runs.get(member.task) is member:
                    executor.end(member, RunEnd.BROKEN)

    def on_acknowledged(self, executor: Executor, end: ListedEnd) -> None:
        """Record that the leader acknowledged an end, unless the lease expired after that end."""
        if executor.expired_at > self.ended_at[end.task, end.run]:
            return
        self.acknowledged_ends[end.task].append((self.ended_at[end.task, end.run], end.end))
        if end.end is RunEnd.DONE and not self.step_of(end.task).is_gang:
            self.acknowledged_done.add(end.task)

    def check_history(self) -> None:
        """Check starts against acknowledged ends, including those acknowledged after the start."""
        for task, starts in self.starts_of.items():
            ends = self.acknowledged_ends[task]
            is_gang = self.step_of(task).is_gang
            for started in starts:
                before = [how for at, how in ends if at < started]
                if RunEnd.DONE in before and not is_gang:
                    self.violations.append(f"{task} starts after it was done")
                if before.count(RunEnd.FAILED) >= self.attempts_of(task):
                    self.violations.append(f"{task} starts after {before.count(RunEnd.FAILED)}")


def _ended_at(run: Run, how: RunEnd) -> float:
    """Return when a run ended, which may be before the sweep that finds it."""
    now = trio.current_time()
    if run.ends_at is None or how not in (RunEnd.DONE, RunEnd.FAILED):
        return now
    return min(run.ends_at, now)
