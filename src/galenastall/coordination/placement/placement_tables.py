"""The placement core's shared tables, kept consistent by the few operations that change them.

A ledger is changed by these operations, or directly and followed by `refresh`, so that the index,
the shares of teams, the replica counts and the promises always agree with the ledgers.
"""

from collections import OrderedDict
from dataclasses import replace
from random import Random
from typing import Final

from galenastall.coordination.placement.estimates import Estimates
from galenastall.coordination.placement.feasibility import CapacityShapes
from galenastall.coordination.placement.pending_commands import PendingCommands
from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.coordination.placement.placement_state import EndRecord, Placed, Worker
from galenastall.coordination.placement.promises import Promise, Promises
from galenastall.coordination.placement.quarantine import Quarantine
from galenastall.coordination.placement.queue_orders import QUEUE_ORDERS
from galenastall.coordination.placement.replica_spread import ReplicaSpread
from galenastall.coordination.placement.waiting import Waiting
from galenastall.coordination.placement.worker_index import WorkerIndex
from galenastall.state.hosts import ListedHost
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.ledger import LedgerPhase
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import RunningTask, TaskSpec

MAX_FAILED_SHAPES: Final = 32
"""Smallest shapes remembered as not fitting; beyond this, shapes are simply tried again."""


class FailedShapes:
    """Shapes that no worker could fit, each kept until enough capacity is freed for it."""

    def __init__(self) -> None:
        """Start with none."""
        self._shapes: list[tuple[int, int, int]] = []

    def covers(self, amount: Resources) -> bool:
        """Return whether a shape no larger than `amount` is known not to fit."""
        cores, memory, accelerators = amount.cores_milli, amount.memory_mb, amount.accelerators
        for shape in self._shapes:
            if cores >= shape[0] and memory >= shape[1] and accelerators >= shape[2]:
                return True
        return False

    def add(self, amount: Resources) -> None:
        """Remember a shape that did not fit."""
        new = (amount.cores_milli, amount.memory_mb, amount.accelerators)
        self._shapes = [
            shape
            for shape in self._shapes
            if shape[0] < new[0] or shape[1] < new[1] or shape[2] < new[2]
        ]
        if len(self._shapes) < MAX_FAILED_SHAPES:
            self._shapes.append(new)

    def on_capacity_freed(self, freed: tuple[int, int, int]) -> None:
        """Forget the shapes that the freed amount might fit."""
        if self._shapes:
            self._shapes = [
                shape
                for shape in self._shapes
                if shape[0] > freed[0] or shape[1] > freed[1] or shape[2] > freed[2]
            ]


class PlacementTables:
    """Workers, the tasks on them, the waiting tasks, and everything derived from these."""

    def __init__(self, *, settings: PlacementSettings, seed: int) -> None:
        """Start with nothing; `seed` fixes all random choices."""
        self.settings = settings
        self.rng = Random(seed)
        self.workers_by_id: dict[HostId, Worker] = {}
        self.placed_by_task: dict[TaskId, Placed] = {}
        self.index = WorkerIndex(rng=self.rng)
        self.spread = ReplicaSpread()
        self.queue = QUEUE_ORDERS.get(settings.queue_order)(settings=settings)
        self.promises = Promises()
        self.pending = PendingCommands()
        self.capacities = CapacityShapes()
        self.estimates = Estimates(quantile=settings.learned_quantile)
        self.quarantine = Quarantine(settings=settings.quarantine)
        self.quarantined_by_id: dict[HostId, Worker] = {}
        self.failed_shapes = FailedShapes()
        self.ends_by_task: OrderedDict[TaskId, EndRecord] = OrderedDict()
        self._paused_until_by_id: dict[HostId, float] = {}
        self._largest_freed: tuple[int, int, int] | None = None
        self._total = NOTHING
        self._slots = 0

    def add_worker(self, host: ListedHost, epoch: Epoch) -> Worker:
        """Add a worker with an empty ledger."""
        self._slots += 1
        worker = Worker(host=host, epoch=epoch, slot=self._slots)
        self.workers_by_id[host.host_id] = worker
        self.capacities.add(host.capacity)
        self._total = self._total + host.capacity
        self.queue.set_total(self._total)
        self.refresh(worker, freed=True)
        return worker

    def remove_worker(self, worker: Worker) -> list[Placed]:
        """Forget a worker and its tasks; return the tasks."""
        for promise in self.promises.on_worker(worker.worker_id):
            self.promises.drop(promise.task_id)
        here = [self.placed_by_task.get(task_id) for task_id in worker.ledger.tasks()]
        lost = [placed for placed in here if placed is not None and placed.worker is worker]
        for placed in lost:
            self.forget(placed)
        self.index.drop(worker)
        self.pending.forget_worker(worker.worker_id)
        self.quarantine.forget_worker(worker.worker_id)
        self.quarantined_by_id.pop(worker.worker_id, None)
        self._paused_until_by_id.pop(worker.worker_id, None)
        del self.workers_by_id[worker.worker_id]
        self.capacities.remove(worker.ledger.capacity)
        self._total = self._total - worker.ledger.capacity
        self.queue.set_total(self._total)
        return lost

    def refresh(self, worker: Worker, *, freed: bool) -> None:
        """Update the index after a worker's ledger, promises or state changed."""
        worker.update_available()
        if not worker.is_open:
            self.index.drop(worker)
            return
        self.index.put(worker)
        if not freed:
            return
        self._note_freed_capacity(worker)

    def apply_freed_capacity(self, now: float) -> None:
        """Retry what did not fit where capacity was freed since; reopen paused workers."""
        for worker_id in [w for w, until in self._paused_until_by_id.items() if until <= now]:
            del self._paused_until_by_id[worker_id]
            worker = self.workers_by_id[worker_id]
            worker.is_paused = False
            self.refresh(worker, freed=True)
        for worker in self.quarantined_by_id.values():
            if worker.may_be_probed and self.quarantine.is_probe_due(worker.worker_id, now):
                self._note_freed_capacity(worker)
        if self._largest_freed is not None:
            self.failed_shapes.on_capacity_freed(self._largest_freed)
            self.queue.on_capacity_freed(self._largest_freed)
            self._largest_freed = None

    def pause(self, worker: Worker, now: float) -> None:
        """Give a worker nothing new for `refusal_pause_s`, since it refused a start."""
        worker.is_paused = True
        self._paused_until_by_id[worker.worker_id] = now + self.settings.refusal_pause_s
        self.refresh(worker, freed=False)

    def set_quarantined(self, worker: Worker, *, quarantined: bool) -> None:
        """Put a worker into quarantine or take it out."""
        worker.is_quarantined = quarantined
        if quarantined:
            self.quarantined_by_id[worker.worker_id] = worker
            for promise in self.promises.on_worker(worker.worker_id):
                self.drop_promise(promise.task_id)
        else:
            self.quarantined_by_id.pop(worker.worker_id, None)
        self.refresh(worker, freed=True)

    def reserve(
        self,
        task: TaskSpec,
        worker: Worker,
        amount: Resources,
        *,
        phase: LedgerPhase,
        now: float,
        since: float,
    ) -> Placed | None:
        """Reserve capacity for a task; None if the ledger doesn't have it."""
        if not worker.ledger.reserve(task.task_id, amount, phase):
            return None
        return self._enter(task, worker, now, since)

    def adopt(self, worker: Worker, listed: RunningTask, now: float) -> Placed:
        """Record a task that already runs, even if it overcommits the worker."""
        task = listed.task
        waiting = self.leave_queue(task.task_id)
        worker.ledger.adopt(task.task_id, listed.reserved)
        since = now if waiting is None else waiting.since
        placed = self._enter(task, worker, now, since)
        placed.used = listed.used
        return placed

    def resize(self, placed: Placed, amount: Resources) -> bool:
        """Change what is reserved for a task, if it fits."""
        before = placed.entry.amount
        if not placed.worker.ledger.resize(placed.task.task_id, amount):
            return False
        self.queue.credit(placed.task.team, before)
        self.queue.charge(placed.task.team, amount)
        self.refresh(placed.worker, freed=amount.fits_in(before))
        return True

    def forget(self, placed: Placed) -> None:
        """Release a task's capacity: it provably doesn't run, or its worker is no longer owned."""
        task = placed.task
        worker = placed.worker
        worker.ledger.release(task.task_id)
        del self.placed_by_task[task.task_id]
        self.queue.credit(task.team, placed.entry.amount)
        self.spread.remove(task, worker.worker_id, worker.rack)
        self.pending.forget_task(task.task_id)
        if worker.is_quarantined:
            self.quarantine.on_probe_lost(worker.worker_id, task.task_id)
        self.refresh(worker, freed=True)

    def requeue(self, placed: Placed, *, next_attempt: bool) -> None:
        """Queue a task again, ahead of its team's others, with its original waiting time."""
        task = placed.task
        if placed.used.memory_mb > placed.granted_mb:
            self.estimates.raise_floor(task, placed.used, self.capacities.most)
        if next_attempt:
            task = replace(task, attempt=task.attempt + 1)
        self.queue.add(task, placed.since, first=True)

    def leave_queue(self, task_id: TaskId) -> Waiting | None:
        """Dequeue a task and drop its promise."""
        self.drop_promise(task_id)
        return self.queue.remove(task_id)

    def make_promise(self, promise: Promise) -> None:
        """Promise a worker's capacity to a waiting task."""
        self.promises.add(promise)
        self.refresh(promise.worker, freed=False)

    def drop_promise(self, task_id: TaskId) -> None:
        """Drop a task's promise, if it has one."""
        worker = self.promises.drop(task_id)
        if worker is not None:
            self.refresh(worker, freed=True)

    def remember_end(self, placed: Placed, *, ok: bool, detail: str) -> None:
        """Remember an ended task for late cancellations and explanations."""
        task_id = placed.task.task_id
        self.estimates.drop_floor(task_id)
        self.ends_by_task[task_id] = EndRecord(
            task_id=task_id, worker_id=placed.worker.worker_id, ok=ok, detail=detail
        )
        if len(self.ends_by_task) > self.settings.remembered_ends:
            self.ends_by_task.popitem(last=False)

    def placed_at(self, task_id: TaskId, worker_id: HostId) -> Placed | None:
        """Return a task if it is on this worker."""
        placed = self.placed_by_task.get(task_id)
        if placed is None or placed.worker.worker_id != worker_id:
            return None
        return placed

    def on_worker(self, worker: Worker) -> list[Placed]:
        """Return the tasks on a worker."""
        by_task = self.placed_by_task
        return [by_task[task_id] for task_id in worker.ledger.tasks() if task_id in by_task]

    def _note_freed_capacity(self, worker: Worker) -> None:
        """Note what is free there, promised or not, since backfill may use promised capacity."""
        ledger = worker.ledger
        largest = self._largest_freed or (0, 0, 0)
        self._largest_freed = (
            max(largest[0], ledger.free_cores),
            max(largest[1], ledger.free_memory),
            max(largest[2], ledger.free_accelerators),
        )

    def _enter(self, task: TaskSpec, worker: Worker, now: float, since: float) -> Placed:
        entry = worker.ledger.entry(task.task_id)
        assert entry is not None  # the caller has just made it
        placed = Placed(task=task, worker=worker, entry=entry, now=now, since=since)
        self.placed_by_task[task.task_id] = placed
        self.queue.charge(task.team, entry.amount)
        self.spread.add(task, worker.worker_id, worker.rack)
        self.refresh(worker, freed=False)
        return placed
