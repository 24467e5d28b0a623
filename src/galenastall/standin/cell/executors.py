"""Executors of a cell as the platform describes them, and a watch over what must never happen.

Runs do no work: they last as long as whoever sets the world up says. All executors of one world
know of each other, as members of a gang must, so that a task that runs twice is noticed at once.
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
from galenastall.standin.cell.quota_watch import QuotaWatch, sum_of
from galenastall.state.cell.jobs import Step, TaskKey
from galenastall.state.cell.phases import RunEnd
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.resources import NOTHING, Resources

GANG_WAIT_S: Final = 3.0
"""How long a member waits for the others of its gang, as the platform states it."""
STOP_S: Final = 0.2
"""How long a stop takes."""
CRASH_AFTER_S: Final = 0.01
"""How long a task that crashes its executor has been there by then."""
SHRUNK_GRACE_S: Final = 3.0
"""For how long starts may go by an earlier, larger capacity: the list of executors is behind."""
MOST_CRASHES: Final = 3
"""Executors that a task may crash before more starts of it count."""
STARTS_AFTER_CRASHES: Final = 3
"""Starts of a task after so many crashes that are one too many."""


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
    """When it crashes its executor."""
    waits_until: float | None = None


class Executor:
    """One incarnation of an executor, by the rules that the platform gives for it."""

    def __init__(self, *, world: "ExecutorWorld", info: ExecutorInfo, rate: float = 1.0) -> None:
        """Start it; its steady clock runs at `rate`, slower than 1 by 2% at most."""
        self.world = world
        self.info = info
        self.rate = rate
        self.born = trio.current_time()
        self.is_up = True
        self._earlier_capacities: list[tuple[float, Resources]] = []
        """Capacities that it has had, each with the time until which it had it."""
        self.fence = 0
        self.deadline_ms = 0.0
        self.lapsed_at = float("-inf")
        self.runs: dict[TaskKey, Run] = {}
        self.ended: list[ListedEnd] = []
        self.position = 0
        self.dead_runs: dict[TaskKey, int] = {}
        self.changed = trio.Event()

    def clock_ms(self) -> float:
        """Return the reading of its clock."""
        return (trio.current_time() - self.born) * 1000.0 * self.rate + 500_000.0

    def resize(self, capacity: Resources) -> None:
        """Change its capacity; what runs there goes on."""
        self._earlier_capacities.append((trio.current_time(), self.info.capacity))
        self.info = replace(self.info, capacity=capacity)

    def allowed(self) -> Resources:
        """Return the capacity that starts have to keep to now."""
        allowed = self.info.capacity
        for until, earlier in self._earlier_capacities:
            if trio.current_time() < until + SHRUNK_GRACE_S:
                allowed = allowed.at_least(earlier)
        return allowed

    def sweep(self) -> None:
        """Bring the runs up to now."""
        now = trio.current_time()
        if not self.is_up:
            return
        if any(run.crashes_at is not None and run.crashes_at <= now for run in self.runs.values()):
            self.world.crash_by_task(self)
            return
        if self.clock_ms() >= self.deadline_ms:
            lapsed_at = now - (self.clock_ms() - self.deadline_ms) / 1000.0 / self.rate
            self._end_due(lapsed_at)
            self.lapsed_at = max(self.lapsed_at, lapsed_at)
            for run in list(self.runs.values()):
                self.end(run, RunEnd.LAPSED)
        self._end_due(now)

    def _sweep_all(self) -> None:
        """Bring this executor, whose lease may have lapsed, and all runs up to now."""
        self.sweep()
        self.world.sweep()

    def _end_due(self, now: float) -> None:
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if run.stops_at is not None and run.stops_at <= now:
                self.end(run, RunEnd.STOPPED)
            elif run.waits_until is not None and run.waits_until <= now:
                self.world.alone.append((run.task, run.run))
                self.end(run, RunEnd.ALONE)
            elif run.ends_at is not None and run.ends_at <= now:
                self.end(run, RunEnd.FAILED if run.fails else RunEnd.DONE)

    def end(self, run: Run, how: RunEnd) -> None:
        """End a run and list its end."""
        if self.runs.pop(run.task, None) is None:
            return
        self.position += 1
        self.dead_runs[run.task] = max(self.dead_runs.get(run.task, 0), run.run)
        self.ended.append(ListedEnd(position=self.position, task=run.task, run=run.run, end=how))
        self.world.on_end(self, run, how)
        event, self.changed = self.changed, trio.Event()
        event.set()

    def start(self, order: StartOrder, deadline_ms: float, token: int) -> StartVerdict:
        """Start a run, as an order with this token and deadline asks."""
        self._sweep_all()
        if token < self.fence:
            return StartVerdict.FENCED
        self.fence = token
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        there = self.runs.get(order.task)
        if there is not None and there.run == order.run:
            return StartVerdict.STARTED
        if there is not None or order.run <= self.dead_runs.get(order.task, 0):
            return StartVerdict.OLD_RUN
        if deadline_ms <= self.clock_ms():
            return StartVerdict.TOO_LATE
        if self.world.asks_tickets and order.executor_id != self.info.executor_id:
            return StartVerdict.NO_TICKET
        run = self.world.on_start(self, order)
        self.runs[order.task] = run
        self.world.check_room(self)
        self.world.check_quota(run)
        self.world.join_gang(run)
        return StartVerdict.STARTED

    def stop(self, order: StopOrder, token: int) -> StartVerdict:
        """Stop a run, or have it rejected if it comes later."""
        self._sweep_all()
        if token < self.fence:
            return StartVerdict.FENCED
        self.fence = token
        self.dead_runs[order.task] = max(self.dead_runs.get(order.task, 0), order.run)
        there = self.runs.get(order.task)
        if there is not None and there.run <= order.run and there.stops_at is None:
            there.stops_at = trio.current_time() + STOP_S
        return StartVerdict.STARTED

    def hold(self, deadline_ms: float | None, noted: int, token: int) -> StartVerdict:
        """Renew the lease, and forget ends up to `noted`."""
        self._sweep_all()
        if token < self.fence:
            return StartVerdict.FENCED
        self.fence = token
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        for end in self.ended:
            if end.position <= noted:
                self.world.on_noted(self, end)
        self.ended = [end for end in self.ended if end.position > noted]
        return StartVerdict.STARTED

    def listing(self) -> Listing:
        """Return what runs and what has ended."""
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
        if not self.world.shows_progress or run.ends_at is None:
            return min(99, int(now * 10) % 100)
        return int(100 * (now - run.started_at) / (run.ends_at - run.started_at))


class ExecutorWorld(ABC):
    """All executors, and what they did that they must never do."""

    def __init__(self) -> None:
        """Create a world without executors."""
        self.executors: dict[str, Executor] = {}
        self.earlier: list[Executor] = []
        """Incarnations whose id a later one has."""
        self.violations: list[str] = []
        self.alone: list[tuple[TaskKey, int]] = []
        self.noted_done: set[TaskKey] = set()
        self.done: set[TaskKey] = set()
        self.starts = 0
        self.starts_of: defaultdict[TaskKey, list[float]] = defaultdict(list)
        self.noted_ends: defaultdict[TaskKey, list[tuple[float, RunEnd]]] = defaultdict(list)
        self.ended_at: dict[tuple[TaskKey, int], float] = {}
        self.gangs: defaultdict[tuple[Any, ...], dict[TaskKey, Run]] = defaultdict(dict)
        self.crashing: set[TaskKey] = set()
        """Tasks that crash each executor that starts them."""
        self.crashes_of: defaultdict[TaskKey, list[float]] = defaultdict(list)
        """When executors crashed by a task."""
        self.asks_tickets = False
        """Whether starts carry a ticket, which holds for one incarnation of an executor."""
        self.shows_progress = False
        """Whether listings tell how far runs are; else some figure that mostly rises."""
        self.quotas = QuotaWatch()

    def workspace_of(self, task: TaskKey) -> str:
        """Return the workspace that owns a task."""
        return NO_WORKSPACE

    @abstractmethod
    def step_of(self, task: TaskKey) -> Step:
        """Return the step that a task belongs to."""

    @abstractmethod
    def attempts_of(self, task: TaskKey) -> int:
        """Return after how many failed runs a task must not start again."""

    @abstractmethod
    def draw_run(self, order: StartOrder) -> tuple[float, bool]:
        """Return how long a run lasts in seconds, and whether it fails."""

    @abstractmethod
    def draw_gang_s(self, members: Iterable[Run]) -> float:
        """Return how long a gang's run lasts once all members are there."""

    def crash(self, executor: Executor) -> None:
        """End an incarnation, with all that runs there; its entry stays listed for a while."""
        self.sweep()
        executor.is_up = False
        for run in list(executor.runs.values()):
            if executor.runs.pop(run.task, None) is not None:
                self._break_gang(run)

    def crash_by_task(self, executor: Executor) -> None:
        """Crash an executor by the tasks there that do so."""
        for task in executor.runs.keys() & self.crashing:
            self.crashes_of[task].append(trio.current_time())
            executor.runs[task].crashes_at = None
        self.crash(executor)
        self.on_crashed_by_task(executor)

    def on_crashed_by_task(self, executor: Executor) -> None:  # noqa: B027 - nothing by itself
        """Have the executor's host come back, where the world does so."""

    def sweep(self) -> None:
        """Bring all runs up to now."""
        running = [executor for executor in self.executors.values() if executor.runs]
        for executor in running:
            executor.sweep()

    def on_start(self, executor: Executor, order: StartOrder) -> Run:
        """Check a start, and return its run."""
        self.starts += 1
        task = order.task
        step = self.step_of(task)
        for other in self.executors.values():
            if task in other.runs and other is not executor:
                self.violations.append(f"{task} runs twice at {trio.current_time():.2f}")
        if task in self.noted_done:
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
            crashes_at=trio.current_time() + CRASH_AFTER_S if task in self.crashing else None,
            waits_until=trio.current_time() + GANG_WAIT_S if step.is_gang else None,
        )

    def _check_crashes(self, task: TaskKey) -> None:
        """Check that a task is not started on and on though executors crash under it."""
        crashes = self.crashes_of[task]
        if len(crashes) < MOST_CRASHES:
            return
        third = crashes[MOST_CRASHES - 1]
        later = [at for at in self.starts_of[task] if at > third]
        if len(later) >= STARTS_AFTER_CRASHES:
            self.violations.append(f"{task} starts {len(later)} times after {third:.2f}")

    def join_gang(self, run: Run) -> None:
        """Have a gang begin its work once its last member is there."""
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
                # The others of a failed run are broken by the one that fails.
                member.ends_at = ends_at if member.fails or not fails else None

    def check_room(self, executor: Executor) -> None:
        """Check that what runs on an executor fits it."""
        used = NOTHING
        for run in executor.runs.values():
            used = used + run.need
        if not used.fits_in(executor.allowed()):
            runs = sorted((*run.task, run.run) for run in executor.runs.values())
            at = f"{executor.info.executor_id} at {trio.current_time():.2f}"
            self.violations.append(f"{at} is over its capacity: {used} by {runs}")

    def check_quota(self, started: Run) -> None:
        """Check that the workspace of a run that has just started may have so much at once."""
        name = self.workspace_of(started.task)
        if name == NO_WORKSPACE:
            return
        used = sum_of(
            run.need
            for executor in self.executors.values()
            for run in executor.runs.values()
            if self.workspace_of(run.task) == name
        )
        problem = self.quotas.problem(name, used=used, started=started.need)
        if problem:
            self.violations.append(f"{problem}, with {started.task} at {trio.current_time():.2f}")

    def on_end(self, executor: Executor, run: Run, how: RunEnd) -> None:
        """Note an end; a gang breaks with any end but the common one."""
        self.ended_at.setdefault((run.task, run.run), trio.current_time())
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

    def on_noted(self, executor: Executor, end: ListedEnd) -> None:
        """Take note of an end; one that a lapse of the lease came after is never taken note of."""
        if executor.lapsed_at > self.ended_at[end.task, end.run]:
            return
        self.noted_ends[end.task].append((self.ended_at[end.task, end.run], end.end))
        if end.end is RunEnd.DONE and not self.step_of(end.task).is_gang:
            self.noted_done.add(end.task)

    def check_history(self) -> None:
        """Check starts against ends that were taken note of, also those noted after the start."""
        for task, starts in self.starts_of.items():
            ends = self.noted_ends[task]
            is_gang = self.step_of(task).is_gang
            for started in starts:
                before = [how for at, how in ends if at < started]
                if RunEnd.DONE in before and not is_gang:
                    self.violations.append(f"{task} starts after it was done")
                if before.count(RunEnd.FAILED) >= self.attempts_of(task):
                    self.violations.append(f"{task} starts after {before.count(RunEnd.FAILED)}")
