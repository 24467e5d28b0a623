"""Choose executors for waiting steps: the most pressing first, gangs whole or not at all."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.advice import AdviceBook, StepAdvice
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import AskAdvice, StartOrder
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import JobRun, Occurrence, StepRun, TaskRun
from galenastall.coordination.cell.objectives import ADVISED_EXECUTORS, lateness_rank
from galenastall.coordination.cell.reservations import Reservations
from galenastall.state.cell.jobs import Queue, Step, StepKey
from galenastall.state.resources import NOTHING, Resources

STEPS_PER_DECISION: Final = 120
"""Waiting steps looked at in one decision, so that it stays within some milliseconds."""
RENEW_AHEAD_S: Final = 0.5
"""Tickets are renewed this long before room is expected: a call takes 0.1 to 0.7 s."""
URGENT_PRIORITY: Final = 0

WORTHLESS_RANK: Final = 2
"""Rank of what is so late that it earns nothing more; it runs when nothing else wants the room."""

OrderKey = tuple[int, int, int, float, StepKey]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Waiting:
    """A waiting step with what orders it."""

    job: JobRun
    occurrence: Occurrence
    step: StepRun
    queue: Queue
    advice: StepAdvice | None
    """What the advisor said; None on a queue without one."""
    now: float
    rank: int
    """How late its job is, as `lateness_rank` tells."""

    def ticket(self, executor_id: str) -> str | None:
        """Return a ticket for the executor; empty where none is needed, None where one is."""
        return "" if self.advice is None else self.advice.ticket(executor_id, self.now)

    def order_key(self) -> OrderKey:
        """Return its place in the order of decisions.

        Urgent work goes before other work also when it is late: it is an eighth of all work, and
        what waits behind work with seconds to spare ends up earning nothing.
        """
        urgency = 0 if self.queue.priority == URGENT_PRIORITY else 1
        worthless = 1 if self.rank >= WORTHLESS_RANK else 0
        return (worthless, urgency, self.rank, self.occurrence.objective, self.step.key)


class Placer:
    """Gives waiting tasks runs on executors with room, and asks for advice where it is needed."""

    def __init__(self, *, state: CellState, advice: AdviceBook) -> None:
        """Work on these tables."""
        self._state = state
        self._advice = advice
        self._reservations = Reservations()
        self._holders_by_step: dict[StepKey, list[Executor]] = {}
        """Executors that keep room for a step while its tickets are renewed."""
        self._held_by_step: defaultdict[StepKey, int] = defaultdict(int)
        """For how many of its tasks they do."""
        self._fleet_size = 0
        """Executors that were open to new work in this decision."""

    @property
    def reserved_count(self) -> int:
        """On how many executors the last decision kept room for steps that wait for it."""
        return self._reservations.executor_count

    def decide(self, *, now: float, wall: float) -> None:
        """Place what fits; starts and questions to the advisor go into the tables."""
        self._reservations.begin()
        for step in self._holders_by_step.keys() - self._state.waiting_steps:
            self._drop_holds(step)
        open_executors = self._open_executors(now)
        if not open_executors:
            return
        self._fleet_size = len(open_executors)
        for waiting in self._in_order(now, wall):
            usable = [
                executor
                for executor in open_executors
                if executor.info.service == waiting.queue.service
                and _may_host(executor.info.labels, waiting.step.step)
            ]
            self._place(waiting, usable)
        self._reservations.clear()

    def _open_executors(self, now: float) -> list[Executor]:
        timings = self._state.timings
        return [
            executor
            for executor in self._state.executors_by_id.values()
            if executor.is_open(
                now=now, reach_s=timings.reach_s, delisted_grace_s=timings.delisted_grace_s
            )
        ]

    def _in_order(self, now: float, wall: float) -> list[_Waiting]:
        found: list[tuple[OrderKey, _Waiting]] = []
        for key in list(self._state.waiting_steps):
            job = self._state.jobs_by_id.get(key.job)
            step = job.find_step(key) if job is not None else None
            if job is None or step is None or job.has_ended:
                self._state.waiting_steps.discard(key)
                continue
            waiting = self._describe(job, step, now, wall)
            found.append((waiting.order_key(), waiting))
        found.sort(key=lambda pair: pair[0])
        return [waiting for _, waiting in found[:STEPS_PER_DECISION]]

    def _describe(self, job: JobRun, step: StepRun, now: float, wall: float) -> _Waiting:
        queue = self._state.queue_of(job)
        occurrence = job.occurrences_by_number[step.key.occurrence]
        return _Waiting(
            job=job,
            occurrence=occurrence,
            step=step,
            queue=queue,
            advice=None if queue.advisor is None else self._advice.of(step.key),
            now=now,
            rank=lateness_rank(
                objective=occurrence.objective, begins_at=occurrence.begins_at, now=wall
            ),
        )

    def _place(self, waiting: _Waiting, usable: list[Executor]) -> None:
        tasks = waiting.step.waiting()
        if waiting.step.step.is_gang and len(tasks) < waiting.step.step.count:
            # Members of its last run are still ending.
            return
        if waiting.advice is None:
            left = self._place_on(waiting, tasks, usable)
            self._reserve(waiting, left, usable)
            return
        self._place_advised(waiting, waiting.advice, tasks, usable)

    def _place_advised(
        self,
        waiting: _Waiting,
        advice: StepAdvice,
        tasks: list[TaskRun],
        usable: list[Executor],
    ) -> None:
        if advice.is_asking(waiting.now):
            held = self._held_count(waiting.step.key)
            self._reserve(waiting, len(tasks) - held, usable)
            return
        self._drop_holds(waiting.step.key)
        ticketed = [e for e in usable if waiting.ticket(e.executor_id) is not None]
        left = self._place_on(waiting, tasks, ticketed)
        if left:
            self._ask_if_useful(waiting, advice, left, usable)
            self._reserve(waiting, left - self._held_count(waiting.step.key), usable)

    def _ask_if_useful(
        self, waiting: _Waiting, advice: StepAdvice, left: int, usable: list[Executor]
    ) -> None:
        """Ask about executors that were never asked, or again about approved ones with room."""
        timing = waiting.queue.advisor
        assert timing is not None, "only steps of advised queues come here"
        fresh = [e for e in usable if e.executor_id not in advice.asked]
        fresh.sort(key=lambda e: (-e.free_cores_milli, e.executor_id))
        wanted = fresh[:ADVISED_EXECUTORS]
        if advice.asked:
            wanted = self._worth_renewing(waiting, advice, left, usable) or wanted
        if not wanted:
            return
        if advice.asked:
            self._hold(waiting, left, wanted)
        ids = tuple(executor.executor_id for executor in wanted)
        self._advice.begin(waiting.step.key, ids, waiting.now)
        self._state.asks.append(
            AskAdvice(
                step=waiting.step.key,
                executor_ids=ids,
                timing=timing,
                is_urgent=waiting.queue.priority == URGENT_PRIORITY,
            )
        )

    def _worth_renewing(
        self, waiting: _Waiting, advice: StepAdvice, left: int, usable: list[Executor]
    ) -> list[Executor]:
        """Return approved executors with enough room, if tickets of theirs ran out."""
        need = waiting.step.step.need
        roomy = [
            executor
            for executor in usable
            if executor.executor_id in advice.tickets_by_executor
            and self._has_room_soon(executor, need, waiting.now)
            and _may_add(executor, waiting.step, 0)
        ]
        room = sum(self._room_soon(executor, need, left, waiting.now) for executor in roomy)
        enough = left if waiting.step.step.is_gang else 1
        has_expired = any(waiting.ticket(e.executor_id) is None for e in roomy)
        return roomy if room >= enough and has_expired else []

    def _room_soon(self, executor: Executor, need: Resources, most: int, now: float) -> int:
        """Return how many of `need` should fit once a call for advice has been answered."""
        ending = self._ending_soon(executor, now)
        executor.give_back(ending)
        fitting = executor.room_for(need, most)
        executor.take(ending)
        return fitting

    def _has_room_soon(self, executor: Executor, need: Resources, now: float) -> bool:
        return self._room_soon(executor, need, 1, now) > 0

    def _ending_soon(self, executor: Executor, now: float) -> Resources:
        """Return what the runs hold that should end within RENEW_AHEAD_S at their pace so far."""
        ending = NOTHING
        for key in executor.runs_by_task:
            found = self._state.find(key)
            ends_at = found[2].ends_at() if found is not None else None
            if found is not None and ends_at is not None and ends_at < now + RENEW_AHEAD_S:
                ending = ending + found[1].step.need
        return ending

    def _hold(self, waiting: _Waiting, left: int, wanted: list[Executor]) -> None:
        """Keep room for the tasks while their tickets are renewed."""
        need = waiting.step.step.need
        for executor in wanted:
            fitting = executor.room_for(need, left)
            if fitting:
                executor.hold_room(waiting.step.key, need.times(fitting))
                self._holders_by_step.setdefault(waiting.step.key, []).append(executor)
                self._held_by_step[waiting.step.key] += fitting
                left -= fitting
            if left <= 0:
                return

    def _drop_holds(self, step: StepKey) -> None:
        self._held_by_step.pop(step, None)
        for executor in self._holders_by_step.pop(step, ()):
            executor.drop_hold(step)

    def _held_count(self, step: StepKey) -> int:
        """Return for how many tasks of a step executors hold room."""
        return self._held_by_step.get(step, 0)

    def _reserve(self, waiting: _Waiting, left: int, usable: list[Executor]) -> None:
        """Keep room for the tasks that are left from the less pressing steps that come after."""
        if left <= 0 or waiting.rank >= WORTHLESS_RANK:
            return
        advice = waiting.advice
        candidates = [
            executor
            for executor in usable
            if advice is None or executor.executor_id in advice.tickets_by_executor
        ]
        self._reservations.reserve(waiting.step.step, left, candidates, fleet_size=self._fleet_size)

    def _place_on(self, waiting: _Waiting, tasks: list[TaskRun], usable: list[Executor]) -> int:
        """Place tasks, and return how many are left."""
        if waiting.step.step.is_gang:
            return self._place_gang(waiting, tasks, usable)
        placed = 0
        for task in tasks:
            executor = _choose(usable, waiting.step, task)
            if executor is None:
                break
            self._start(waiting, task, executor, task.run + 1)
            placed += 1
        return len(tasks) - placed

    def _place_gang(self, waiting: _Waiting, tasks: list[TaskRun], usable: list[Executor]) -> int:
        chosen = _choose_for_gang(usable, waiting.step, len(tasks))
        if chosen is None:
            return len(tasks)
        run = waiting.step.highest_run + 1
        for task, executor in zip(tasks, chosen, strict=True):
            self._start(waiting, task, executor, run)
        return 0

    def _start(self, waiting: _Waiting, task: TaskRun, executor: Executor, run: int) -> None:
        state = self._state
        state.assign(task, waiting.step, executor, run, waiting.now)
        waiting.job.has_started = True
        state.new_starts.append(
            StartOrder(
                task=task.key,
                run=run,
                executor_id=executor.executor_id,
                payload=waiting.job.job.payload,
                checkpoint=task.checkpoint,
                ticket=waiting.ticket(executor.executor_id) or "",
            )
        )
        state.refresh_waiting(waiting.job)
        state.note(
            "run.assigned",
            task.key.job,
            f"{task.key.occurrence}.{task.key.step}.{task.key.number}",
            fields={
                "run": str(run),
                "executor": executor.executor_id,
                "free_cores_milli": str(executor.free_cores_milli),
            },
        )


def _may_host(labels: tuple[str, ...], step: Step) -> bool:
    return not step.label or step.label in labels


def _choose(usable: Iterable[Executor], step: StepRun, task: TaskRun) -> Executor | None:
    """Return the executor with the least room left that has some, near the data if possible.

    One on which the task has failed is the last choice: few attempts are allowed, and the fault
    may be the executor's.
    """
    need = step.step.need
    best: Executor | None = None
    best_key: tuple[int, int, float, str] | None = None
    for executor in usable:
        if not executor.has_room(need) or not _may_add(executor, step, 0):
            continue
        has_failed = executor.executor_id in task.failed_on
        key = _preference(executor, step, has_failed=has_failed)
        if best_key is None or key < best_key:
            best, best_key = executor, key
    return best


def _preference(
    executor: Executor, step: StepRun, *, has_failed: bool
) -> tuple[int, int, float, str]:
    doubtful = 1 if has_failed or executor.consecutive_failures > 1 else 0
    rack = step.step.data_rack
    far = 1 if rack and rack != executor.info.rack else 0
    need = step.step.need
    capacity = executor.info.capacity
    cores_left = (executor.free_cores_milli - need.cores_milli) / max(capacity.cores_milli, 1)
    memory_left = (executor.free_memory_mb - need.memory_mb) / max(capacity.memory_mb, 1)
    uneven = abs(cores_left - memory_left)
    return (doubtful, far, cores_left + memory_left + uneven, executor.executor_id)


def _may_add(executor: Executor, step: StepRun, added: int) -> bool:
    """Whether one more task of the step may share the executor, `added` being chosen already."""
    most = step.step.most_per_executor
    if most <= 0:
        return True
    there = sum(1 for task in executor.runs_by_task if task.step_key == step.key)
    return there + added < most


def _choose_for_gang(usable: list[Executor], step: StepRun, count: int) -> list[Executor] | None:
    """Return an executor for each member, on one rack if that is wanted and possible."""
    if step.step.wants_one_rack:
        for rack in sorted({e.info.rack for e in usable}):
            on_rack = [e for e in usable if e.info.rack == rack]
            chosen = _fill(on_rack, step, count)
            if chosen is not None:
                return chosen
    return _fill(usable, step, count)


def _fill(usable: list[Executor], step: StepRun, count: int) -> list[Executor] | None:
    chosen: list[Executor] = []
    failed_on = {executor_id for task in step.tasks for executor_id in task.failed_on}

    def preference(executor: Executor) -> tuple[int, int, float, str]:
        return _preference(executor, step, has_failed=executor.executor_id in failed_on)

    for executor in sorted(usable, key=preference):
        fitting = executor.room_for(step.step.need, count - len(chosen))
        most = step.step.most_per_executor
        if most > 0:
            fitting = min(fitting, most)
        chosen.extend([executor] * fitting)
        if len(chosen) == count:
            return chosen
    return None
