"""Hold capacity for all tasks of a gang, for a bounded time, or for none of them.

A gang that spans owners is held owner by owner in host id order, and each hold expires, so that two
gangs can't deadlock. Of the gangs that don't fit, only the first by class and id keeps capacity
promised between its attempts; that order is the same at every owner.
"""

from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import replace

from returns.result import Failure, Result, Success

from galenastall.coordination.placement.feasibility import describe_amount
from galenastall.coordination.placement.placement_commands import Hold, HoldId
from galenastall.coordination.placement.placement_state import Placed, Worker
from galenastall.coordination.placement.placement_tables import PlacementTables
from galenastall.coordination.placement.placer import Placer
from galenastall.coordination.placement.promises import Promise
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import TaskId
from galenastall.state.ledger import LedgerPhase
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import TaskPhase, TaskSpec

RETRY_S = 1.0
"""Time after which a hold that found no capacity may be retried, in seconds."""


class GangHolds:
    """The holds of this owner."""

    def __init__(self, *, tables: PlacementTables, placer: Placer) -> None:
        """Reserve in these tables on the workers that the placer chooses."""
        self._tables = tables
        self._placer = placer
        self._holds_by_id: dict[HoldId, Hold] = {}
        self._hold_count = 0
        self._waiting_gang: tuple[int, str] | None = None

    def hold(
        self, gang_id: str, tasks: Sequence[TaskSpec], now: float, until: float
    ) -> Result[Hold, StepError]:
        """Hold capacity for all tasks until `until`, in wall seconds."""
        error = self._find_error(gang_id, tasks)
        if error is not None:
            return Failure(error)
        for task in tasks:
            self._tables.queue.remove(task.task_id)
        self._drop_promises(gang_id, now, kept={task.task_id for task in tasks})
        held, missing = self._hold_all(tasks, self._placer.amount_of, now)
        if missing is not None:
            # The shard's owner planned with the tasks' needs, not with the sizes learned here.
            self._forget(held)
            held, missing = self._hold_all(tasks, self._tables.estimates.need, now)
        if missing is not None:
            self._on_no_capacity(gang_id, tasks, held, now)
            need = self._tables.estimates.need(missing)
            detail = f"{missing.task_id}: no free capacity for {describe_amount(need)}"
            return Failure(_error(gang_id, Reason.OVERLOADED, detail))
        return Success(self._keep(gang_id, held, until))

    def start(self, hold_id: HoldId, now: float) -> Result[list[Placed], StepError]:
        """Move all tasks of a hold to starting, or none if any of them can't start."""
        hold = self._holds_by_id.get(hold_id)
        if hold is None or hold.until <= now:
            return Failure(_error(hold_id, Reason.NOT_FOUND, "expired or released"))
        held = [self._held(task_id) for task_id in hold.worker_by_task]
        startable = [placed for placed in held if placed is not None and placed.worker.is_open]
        if len(startable) < len(held):
            self.release(hold_id)
            return Failure(_error(hold_id, Reason.CONFLICT, "a task or its worker was lost"))
        del self._holds_by_id[hold_id]
        for placed in startable:
            placed.worker.ledger.set_phase(placed.task.task_id, LedgerPhase.STARTING)
            placed.decided_at = now
        return Success(startable)

    def extend(self, hold_id: HoldId, now: float, until: float) -> bool:
        """Extend a hold to `until`; False if it is no longer complete or was released."""
        hold = self._holds_by_id.get(hold_id)
        if hold is None or hold.until <= now:
            return False
        held = [self._held(task_id) for task_id in hold.worker_by_task]
        if any(placed is None or not placed.worker.is_open for placed in held):
            return False
        self._holds_by_id[hold_id] = replace(hold, until=until)
        return True

    def release(self, hold_id: HoldId) -> bool:
        """Release a hold that was not started; return whether there was one."""
        hold = self._holds_by_id.pop(hold_id, None)
        if hold is None:
            return False
        for task_id in hold.worker_by_task:
            placed = self._held(task_id)
            if placed is not None:
                self._tables.forget(placed)
        return True

    def expire(self, now: float) -> tuple[HoldId, ...]:
        """Release expired holds and promises; return the ids of the holds."""
        for promise in self._tables.promises.ended(now):
            self._tables.drop_promise(promise.task_id)
        if self._waiting_gang and not self._tables.promises.of_gang(self._waiting_gang[1]):
            self._waiting_gang = None
        expired = [hold.hold_id for hold in self._holds_by_id.values() if hold.until <= now]
        for hold_id in expired:
            self.release(hold_id)
        return tuple(expired)

    def _find_error(self, gang_id: str, tasks: Sequence[TaskSpec]) -> StepError | None:
        tables = self._tables
        if not tasks:
            return _error(gang_id, Reason.INVALID, "tasks: a gang has at least one")
        total = NOTHING
        for task in tasks:
            total = total + tables.estimates.need(task)
            if task.task_id in tables.placed_by_task:
                return _error(gang_id, Reason.CONFLICT, f"{task.task_id} is already placed")
            obstacle = tables.capacities.obstacle(tables.estimates.need(task))
            if obstacle is not None:
                return _error(gang_id, Reason.REFUSED, f"{task.task_id} {obstacle}")
        if not tables.queue.allows(tasks[0].team, total):
            return _error(gang_id, Reason.OVERLOADED, f"{tasks[0].team} is at its quota")
        return None

    def _hold_all(
        self, tasks: Sequence[TaskSpec], amount_of: Callable[[TaskSpec], Resources], now: float
    ) -> tuple[list[Placed], TaskSpec | None]:
        """Return what was held and the first task that did not fit, if any."""
        held: list[Placed] = []
        for task in sorted(tasks, key=_size, reverse=True):
            placed = self._hold_one(task, amount_of(task), now)
            if placed is None:
                return held, task
            held.append(placed)
        return held, None

    def _forget(self, held: Iterable[Placed]) -> None:
        for placed in held:
            self._tables.forget(placed)

    def _hold_one(self, task: TaskSpec, amount: Resources, now: float) -> Placed | None:
        promise = self._tables.promises.get(task.task_id)
        if promise is not None and promise.worker.is_open:
            placed = self._reserve(task, promise.worker, amount, now)
            if placed is not None:
                self._tables.drop_promise(task.task_id)
                return placed
        worker = self._placer.find(task, amount, now)
        if worker is None:
            return None
        placed = self._reserve(task, worker, amount, now)
        if placed is not None:
            placed.why = f"all of its gang fit at once and {self._placer.why}"
        return placed

    def _reserve(
        self, task: TaskSpec, worker: Worker, amount: Resources, now: float
    ) -> Placed | None:
        return self._tables.reserve(
            task, worker, amount, phase=LedgerPhase.HELD, now=now, since=now
        )

    def _keep(self, gang_id: str, held: Sequence[Placed], until: float) -> Hold:
        self._hold_count += 1
        hold = Hold(
            hold_id=HoldId(f"{gang_id}#{self._hold_count}"),
            gang_id=gang_id,
            until=until,
            worker_by_task={placed.task.task_id: placed.worker.worker_id for placed in held},
        )
        self._holds_by_id[hold.hold_id] = hold
        return hold

    def _on_no_capacity(
        self,
        gang_id: str,
        tasks: Sequence[TaskSpec],
        held: Sequence[Placed],
        now: float,
    ) -> None:
        """Release what was held, and promise capacity if this is the first waiting gang."""
        for placed in held:
            self._tables.forget(placed)
        rank = (int(tasks[0].urgency), gang_id)
        if self._waiting_gang is not None and self._waiting_gang < rank:
            return
        if self._waiting_gang is not None and self._waiting_gang != rank:
            self._drop_promises(self._waiting_gang[1], now)
        self._waiting_gang = rank
        held_on = {placed.task.task_id: placed.worker for placed in held}
        for task in tasks:
            worker = held_on.get(task.task_id)
            earlier = self._tables.promises.get(task.task_id)
            if earlier is not None:
                earlier.until = now + self._tables.settings.gang_promise_s
            elif worker is not None:
                self._promise(gang_id, task, worker, now, now)
        for task in tasks:
            if self._tables.promises.get(task.task_id) is not None:
                continue
            if not self._seek_capacity(gang_id, task, now):
                self._drop_promises(gang_id, now)
                self._waiting_gang = None
                return

    def _seek_capacity(self, gang_id: str, task: TaskSpec, now: float) -> bool:
        """Preempt or promise for one task; False if no capacity is foreseen for it.

        The gang must then not block others.
        """
        amount = self._placer.amount_of(task)
        return self._placer.preempt_or_promise(task, amount, now, gang_id=gang_id) is not None

    def _promise(
        self, gang_id: str, task: TaskSpec, worker: Worker, now: float, expected_at: float
    ) -> None:
        promise = Promise(
            task_id=task.task_id,
            worker=worker,
            amount=self._placer.amount_of(task),
            now=now,
            expected_at=expected_at,
            until=now + self._tables.settings.gang_promise_s,
            gang_id=gang_id,
        )
        self._tables.make_promise(promise)

    def _drop_promises(self, gang_id: str, now: float, kept: Container[TaskId] = ()) -> None:
        """Drop a gang's promises except for the tasks in `kept`."""
        promises = self._tables.promises.of_gang(gang_id)
        dropped = [promise.task_id for promise in promises if promise.task_id not in kept]
        for task_id in dropped:
            self._tables.drop_promise(task_id)
        if dropped:
            self._tables.apply_freed_capacity(now)

    def _held(self, task_id: TaskId) -> Placed | None:
        placed = self._tables.placed_by_task.get(task_id)
        return placed if placed is not None and placed.phase is TaskPhase.HELD else None


def _size(task: TaskSpec) -> tuple[int, int, int, str]:
    need = task.resources
    return need.accelerators, need.cores_milli, need.memory_mb, task.task_id


def _error(peer: str, reason: Reason, detail: str) -> StepError:
    retry = RETRY_S if reason is Reason.OVERLOADED else None
    return StepError(
        step="placement.hold", peer=peer, reason=reason, detail=detail, retry_after_s=retry
    )
