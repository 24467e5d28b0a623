"""Drive a placement core against fake workers in virtual time, and account for what happens.

The driver keeps its own books of what each worker was given, apart from the core's ledgers, so that
an overcommit would show even if the core believed otherwise.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time_ns
from typing import Any, Final

from returns.result import Failure

from galenastall.bench.mix_figures import MixBooks, MixFigures, group_of, hash_of
from galenastall.bench.mix_workloads import Arrival, Mix, TrueTask, services_of, workers_of
from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import (
    CancelVerdict,
    CommandAnswer,
    CommandKind,
    Decision,
    EndAdvice,
    EndedTask,
    StartAnswer,
    StartTask,
)
from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskSpec, Workload

DECIDE_EVERY_S: Final = 0.02
STARTS_PER_DECISION: Final = 256
USAGE_EVERY_S: Final = 5.0
LISTING_EVERY_S: Final = 30.0
CHECKPOINT_S: Final = 2.0
STOP_S: Final = 0.2
FAILS_AFTER_S: Final = 2.0
RAMP_SHARE: Final = 0.3
"""Part of its run time after which a task uses its peak of memory."""
HOLD_S: Final = 10.0
BAD_WORKER: Final = HostId("w05")
LOST_ANSWERS: Final = 0.002
"""Starts whose answer is lost; half of them took effect."""


class _Running:
    """A task on a fake worker."""

    __slots__ = ("began", "ends_at", "is_throttled", "reserved", "task")

    def __init__(self, *, task: TaskSpec, reserved: Resources, began: float, ends_at: float):
        self.task = task
        self.reserved = reserved
        self.began = began
        self.ends_at = ends_at
        self.is_throttled = False


class MixDriver:
    """One run of one mix under one set of settings."""

    def __init__(
        self, *, mix: Mix, settings: PlacementSettings, arrivals: Sequence[Arrival], seed: int
    ) -> None:
        """Prepare the fleet and the arrivals; `seed` fixes which answers are lost."""
        self.mix = mix
        self.core = PlacementCore(settings=settings, seed=seed)
        self.rng = Random(seed + 1)
        self.now = 0.0
        self.books = MixBooks()
        self._arrivals = arrivals
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()
        self._truth_by_task: dict[TaskId, TrueTask] = {}
        self._left_s_by_task: dict[TaskId, float] = {}
        self._enqueued_at: dict[TaskId, float] = {}
        self._waits_by_class: dict[str, list[float]] = defaultdict(list)
        self._running_by_worker: dict[HostId, dict[TaskId, _Running]] = {}
        self._finished_by_worker: dict[HostId, list[FinishedTask]] = defaultdict(list)
        self._capacity = mix.worker
        self._is_decision_due = False
        self._accounted_at = 0.0

    def run(self, *, until: float, cancel_at: float) -> MixFigures:
        """Run to `until`, with the cancellation wave at `cancel_at`, both in virtual seconds."""
        for host in workers_of(self.mix):
            self._running_by_worker[host.host_id] = {}
            self.core.add_worker(host, Epoch(1), (), 0.0)
            self._at(self.rng.uniform(0.0, USAGE_EVERY_S), self._report_usage, host.host_id)
            self._at(self.rng.uniform(0.0, LISTING_EVERY_S), self._list, host.host_id)
        self._submit(services_of(self.mix))
        for arrival in self._arrivals:
            self._at(arrival.at, self._arrive, arrival)
        self._at(cancel_at, self._cancel_wave)
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heappop(self._events)
            action(*arguments)
        return self._figures()

    def _at(self, time: float, action: Callable[..., None], *arguments: Any) -> None:
        heappush(self._events, (time, next(self._order), action, arguments))

    def _core(self, call: Callable[..., Any], *arguments: Any) -> Any:
        """Call the core and add up its CPU time."""
        began = process_time_ns()
        answer = call(*arguments)
        self.books.cpu_ns += process_time_ns() - began
        return answer

    def _want_decision(self) -> None:
        if not self._is_decision_due:
            self._is_decision_due = True
            self._at(self.now + DECIDE_EVERY_S, self._decide)

    def _arrive(self, arrival: Arrival) -> None:
        if arrival.tasks[0].spec.workload is Workload.GANG and not arrival.is_too_large:
            for task in arrival.tasks:
                self._truth_by_task[task.spec.task_id] = task
                self._enqueued_at[task.spec.task_id] = self.now
            self._try_gang(tuple(task.spec for task in arrival.tasks))
            return
        self._submit(arrival.tasks)

    def _submit(self, tasks: Sequence[TrueTask]) -> None:
        for task in tasks:
            self._truth_by_task[task.spec.task_id] = task
            self._enqueued_at[task.spec.task_id] = self.now
        self._core(self.core.enqueue, [task.spec for task in tasks], self.now)
        self._want_decision()

    def _try_gang(self, tasks: tuple[TaskSpec, ...]) -> None:
        if tasks[0].task_id not in self._enqueued_at:
            return
        held = self._core(self.core.hold, tasks[0].job_id, tasks, self.now, self.now + HOLD_S)
        self.books.messages += 1
        if isinstance(held, Failure):
            self._at(self.now + (held.failure().retry_after_s or HOLD_S), self._try_gang, tasks)
            self._want_decision()
            return
        started = self._core(self.core.start_hold, held.unwrap().hold_id, self.now)
        self._carry_out(started.unwrap())

    def _decide(self) -> None:
        self._is_decision_due = False
        decision = self._core(self.core.decide, self.now, STARTS_PER_DECISION)
        for refusal in decision.refusals:
            truth = self._truth_by_task[refusal.task.task_id]
            self._enqueued_at.pop(refusal.task.task_id, None)
            self.books.refused += 1
            fits = truth.spec.resources.fits_in(self._capacity)
            self.books.wrongly_refused += fits and not truth.fails
        self._carry_out(decision)
        if decision.more:
            self._want_decision()

    def _carry_out(self, decision: Decision) -> None:
        books = self.books
        for batch in decision.by_worker:
            kinds = (batch.starts, batch.checkpoints, batch.throttles, batch.stops)
            books.messages += sum(1 for commands in kinds if commands)
            books.commands["start"] += len(batch.starts)
            books.commands["checkpoint"] += len(batch.checkpoints)
            books.commands["throttle"] += len(batch.throttles)
            books.commands["stop"] += len(batch.stops)
            for throttle in batch.throttles:
                self._throttle(batch.worker_id, throttle.task_id)
            for stop in batch.stops:
                self._at(
                    self.now + STOP_S, self._end, batch.worker_id, stop.task_id, CommandKind.STOP
                )
            for checkpoint in batch.checkpoints:
                kind = CommandKind.CHECKPOINT
                self._at(
                    self.now + CHECKPOINT_S, self._end, batch.worker_id, checkpoint.task_id, kind
                )
            for start in batch.starts:
                self._start(start)

    def _start(self, start: StartTask) -> None:
        task_id, worker_id = start.task.task_id, start.worker_id
        is_lost = self.rng.random() < LOST_ANSWERS
        if not is_lost or self.rng.random() < 0.5:  # noqa: PLR2004 - an even chance
            self._run_task(start)
        answer = StartAnswer.UNKNOWN if is_lost else StartAnswer.STARTED
        self._core(self.core.on_start_answer, task_id, worker_id, answer, self.now)

    def _run_task(self, start: StartTask) -> None:
        self._account()
        task_id, worker_id = start.task.task_id, start.worker_id
        truth = self._truth_by_task[task_id]
        enqueued_at = self._enqueued_at.pop(task_id, None)
        if enqueued_at is not None:
            self._waits_by_class[group_of(start.task)].append(self.now - enqueued_at)
        run_s = self._left_s_by_task.get(task_id, truth.run_s)
        if truth.fails or worker_id == BAD_WORKER:
            run_s = min(run_s, FAILS_AFTER_S)
        running = _Running(
            task=start.task, reserved=start.reserved, began=self.now, ends_at=self.now + run_s
        )
        here = self._running_by_worker[worker_id]
        here[task_id] = running
        total = NOTHING
        for other in here.values():
            total = total + other.reserved
        self.books.overcommits += not total.fits_in(self._capacity)
        if run_s != float("inf"):
            self._at(running.ends_at, self._finish, worker_id, running)

    def _finish(self, worker_id: HostId, running: _Running) -> None:
        task_id = running.task.task_id
        if self._running_by_worker[worker_id].get(task_id) is not running:
            return
        if self.now < running.ends_at:
            self._at(running.ends_at, self._finish, worker_id, running)
            return
        self._account()
        del self._running_by_worker[worker_id][task_id]
        truth = self._truth_by_task[task_id]
        ok = not truth.fails and worker_id != BAD_WORKER
        end = FinishedTask(
            task_id=task_id,
            attempt=running.task.attempt,
            ok=ok,
            detail="" if ok else "exit status 1",
            peak=truth.peak if ok else NOTHING,
            run_s=self.now - running.began,
        )
        for ended in self._core(self.core.on_finished, worker_id, [end], self.now):
            self._on_ended(ended)
        self._want_decision()

    def _on_ended(self, ended: EndedTask) -> None:
        if ended.advice is EndAdvice.DONE:
            truth = self._truth_by_task[ended.task.task_id]
            self.books.done += 1
            self.books.core_s_done += truth.run_s * truth.peak.cores_milli / 1000
        elif ended.advice is EndAdvice.GIVE_UP:
            self._give_up(ended)
        elif ended.advice is EndAdvice.RETRY:
            again = replace(ended.task, attempt=ended.task.attempt + 1)
            self._core(self.core.enqueue, [again], self.now)

    def _give_up(self, ended: EndedTask) -> None:
        self.books.given_up += 1
        self.books.wrongly_given_up += not self._truth_by_task[ended.task.task_id].fails

    def _end(self, worker_id: HostId, task_id: TaskId, kind: CommandKind) -> None:
        self._account()
        running = self._running_by_worker[worker_id].pop(task_id, None)
        if running is not None and kind is CommandKind.CHECKPOINT:
            self._left_s_by_task[task_id] = max(running.ends_at - self.now, 0.1)
        self._core(
            self.core.on_command_answer, task_id, worker_id, kind, CommandAnswer.DONE, self.now
        )
        self._want_decision()

    def _throttle(self, worker_id: HostId, task_id: TaskId) -> None:
        running = self._running_by_worker[worker_id].get(task_id)
        if running is not None and not running.is_throttled:
            running.is_throttled = True
            running.ends_at = self.now + 2 * (running.ends_at - self.now)

    def _usage(self, running: _Running) -> Resources:
        truth = self._truth_by_task[running.task.task_id]
        ramp = RAMP_SHARE * truth.run_s if truth.run_s != float("inf") else USAGE_EVERY_S
        share = min((self.now - running.began) / ramp, 1.0)
        memory = round(truth.peak.memory_mb * max(share, 0.1))
        if running.is_throttled:
            memory = min(memory, max(running.reserved.memory_mb, memory // 2))
        return Resources(cores_milli=truth.peak.cores_milli, memory_mb=memory)

    def _report_usage(self, worker_id: HostId) -> None:
        here = self._running_by_worker[worker_id]
        used = {task_id: self._usage(running) for task_id, running in here.items()}
        total = sum(used.values(), NOTHING)
        self.books.memory_full += total.memory_mb > self._capacity.memory_mb
        for task_id, running in here.items():
            self.books.used += min(used[task_id].memory_mb, running.reserved.memory_mb)
            self.books.used_of += running.reserved.memory_mb
        self._at(self.now + 1.0, self._hear_usage, worker_id, total, used)
        self._at(self.now + USAGE_EVERY_S, self._report_usage, worker_id)

    def _hear_usage(
        self, worker_id: HostId, total: Resources, used: dict[TaskId, Resources]
    ) -> None:
        self._core(self.core.on_usage, worker_id, total, used, self.now)
        self._want_decision()

    def _list(self, worker_id: HostId) -> None:
        running = tuple(
            RunningTask(
                task=entry.task,
                reserved=entry.reserved,
                epoch=1,
                lease_until=self.now + 60.0,
                used=self._usage(entry),
            )
            for entry in self._running_by_worker[worker_id].values()
        )
        used = sum((entry.used for entry in running), NOTHING)
        listing = _Listing(running=running, used=used)
        report = self._core(self.core.on_listing, worker_id, listing, self.now)
        for task in report.lapsed:
            again = replace(task, attempt=task.attempt + 1)
            self._core(self.core.enqueue, [again], self.now)
        for ended in report.ended:
            self._on_ended(ended)
        self._at(self.now + LISTING_EVERY_S, self._list, worker_id)
        self._want_decision()

    def _cancel_wave(self) -> None:
        """Cancel a third of the jobs that are known, as when a meeting is moved."""
        wave = [
            task_id
            for task_id, truth in self._truth_by_task.items()
            if truth.spec.workload is Workload.BATCH and hash_of(truth.spec.job_id) % 3 == 0
        ]
        began = process_time_ns()
        verdicts = self.core.cancel(wave, self.now)
        self.books.cancel_ns = (process_time_ns() - began) // max(len(wave), 1)
        for task_id, verdict in verdicts.items():
            self.books.cancels[verdict.value] += 1
            if verdict is CancelVerdict.NEVER_STARTED:
                self._enqueued_at.pop(task_id, None)
        self._want_decision()

    def _account(self) -> None:
        """Add up reserved, held and stranded capacity since the last change."""
        span = self.now - self._accounted_at
        if span < 1.0:
            return
        self._accounted_at = self.now
        capacity = self._capacity
        smallest = self._smallest_waiting()
        stranded = 0.0
        for here in self._running_by_worker.values():
            reserved = sum((running.reserved for running in here.values()), NOTHING)
            cores = reserved.cores_milli / capacity.cores_milli
            memory = reserved.memory_mb / capacity.memory_mb
            if here:
                self.books.reserved_s += span * (cores + memory) / 2
                self.books.held_s += span
            if smallest is not None and not smallest.fits_in(capacity - reserved):
                stranded += 1.0 - cores
        if smallest is not None:
            self.books.stranded_s += span * stranded / len(self._running_by_worker)
            self.books.waiting_s += span

    def _smallest_waiting(self) -> Resources | None:
        waiting = [self._truth_by_task[t].spec.resources for t in self._enqueued_at]
        return min(waiting, key=lambda need: (need.cores_milli, need.memory_mb), default=None)

    def _figures(self) -> MixFigures:
        books = self.books
        unstarted: dict[str, int] = defaultdict(int)
        for task_id, enqueued_at in self._enqueued_at.items():
            spec = self._truth_by_task[task_id].spec
            unstarted[group_of(spec)] += 1
            self._waits_by_class[group_of(spec)].append(self.now - enqueued_at)
        return MixFigures(
            waits_by_class=dict(self._waits_by_class),
            unstarted_by_class=dict(unstarted),
            packing=books.reserved_s / max(books.held_s, 1.0),
            used_of_reserved=books.used / max(books.used_of, 1.0),
            stranded=books.stranded_s / max(books.waiting_s, 1.0),
            overcommits=books.overcommits,
            memory_full=books.memory_full,
            commands=dict(books.commands),
            messages=books.messages,
            core_cpu_s=books.cpu_ns / 1e9,
            done=books.done,
            core_s_done=books.core_s_done,
            refused=books.refused,
            wrongly_refused=books.wrongly_refused,
            given_up=books.given_up,
            wrongly_given_up=books.wrongly_given_up,
            cancels=dict(books.cancels),
            cancel_us=books.cancel_ns / 1e3,
            quarantined=tuple(self.core.quarantined()),
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Listing:
    running: tuple[RunningTask, ...]
    used: Resources
    finished: tuple[FinishedTask, ...] = ()
