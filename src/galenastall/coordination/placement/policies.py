"""Registry of placement policies: which of the workers with capacity gets a task.

`first_fit` and `random` are the baselines that every other policy is compared with.
"""

from collections.abc import Container
from random import Random
from typing import Final, Protocol

from galenastall.coordination.placement.placement_state import Worker
from galenastall.coordination.placement.replica_spread import ReplicaSpread
from galenastall.coordination.placement.worker_index import WorkerIndex
from galenastall.state.ids import HostId
from galenastall.state.registry import Registry
from galenastall.state.resources import Resources
from galenastall.state.work import TaskSpec, Workload

RANDOM_TRIES: Final = 16
"""Workers drawn before the random policy scans all of them."""
CANDIDATES: Final = 12
"""Workers scored for a task."""
SPREAD_CANDIDATES: Final = 32
"""Workers sampled for a service's replica, since the tightest ones may all be in one rack."""
IMBALANCE_WEIGHT: Final = 1.0
"""Weight of the difference between leftover cores and leftover memory in a worker's score."""
RACK_WEIGHT: Final = 4.0
WORKER_WEIGHT: Final = 16.0
"""Replicas on the rack and on the worker outweigh any leftover capacity."""


class PlacementPolicy(Protocol):
    """Chooses a worker; has no state except the index that it reads."""

    def __init__(self, *, index: WorkerIndex, spread: ReplicaSpread, rng: Random) -> None:
        """Read this index; `rng` makes all random choices."""

    def choose(
        self, *, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        """Return a worker with capacity for `amount` that is not in `avoid`, or None."""


PLACEMENT_POLICIES: Final[Registry[type[PlacementPolicy]]] = Registry(kind="placement policy")


@PLACEMENT_POLICIES.register("first_fit")
class FirstFit:
    """Choose the first worker by id that fits; a baseline, linear in workers."""

    def __init__(self, *, index: WorkerIndex, spread: ReplicaSpread, rng: Random) -> None:
        """Scan this index in id order."""
        self._index = index

    def choose(
        self, *, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        """Return the first worker that fits."""
        for worker in self._index.in_order():
            if worker.can_fit(amount) and worker.worker_id not in avoid:
                return worker
        return None


@PLACEMENT_POLICIES.register("random")
class RandomFit:
    """Choose any worker that fits; a baseline."""

    def __init__(self, *, index: WorkerIndex, spread: ReplicaSpread, rng: Random) -> None:
        """Draw from this index."""
        self._index = index
        self._rng = rng

    def choose(
        self, *, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        """Return a worker drawn from those that fit."""
        few = self._index.sample(amount, RANDOM_TRIES)
        fitting = [worker for worker in few if worker.worker_id not in avoid]
        if not fitting:
            fitting = [
                worker
                for worker in self._index.in_order()
                if worker.can_fit(amount) and worker.worker_id not in avoid
            ]
        return self._rng.choice(fitting) if fitting else None


@PLACEMENT_POLICIES.register("leftover")
class LeastLeftover:
    """Choose the worker that would have the least and most balanced capacity left.

    A tight fit keeps large free capacity for large tasks and lets little-used workers become idle;
    a balanced leftover keeps cores from being stranded without memory, or memory without cores.
    Replicas of a service go to the racks and workers with the fewest of them.
    """

    def __init__(self, *, index: WorkerIndex, spread: ReplicaSpread, rng: Random) -> None:
        """Score a bounded number of this index's workers."""
        self._index = index
        self._spread = spread

    def choose(
        self, *, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        """Return the best-scored candidate."""
        if task.workload is Workload.SERVICE:
            return self._choose_spread(task, amount, avoid)
        candidates = self._index.candidates(amount, CANDIDATES)
        best = _tightest(candidates, amount, avoid)
        if best is None and candidates and avoid:
            few = self._index.sample(amount, SPREAD_CANDIDATES)
            best = _tightest(few, amount, avoid)
        return best

    def _choose_spread(
        self, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        candidates = self._index.candidates(amount, CANDIDATES)
        if not candidates:
            return None
        candidates.extend(self._index.sample(amount, SPREAD_CANDIDATES))
        best = None
        best_score = 0.0
        for worker in candidates:
            if worker.worker_id in avoid:
                continue
            on_rack, on_worker = self._spread.crowding(task.job_id, worker.worker_id, worker.rack)
            score = leftover(worker, amount) + RACK_WEIGHT * on_rack + WORKER_WEIGHT * on_worker
            if best is None or score < best_score:
                best, best_score = worker, score
        return best


def leftover(worker: Worker, amount: Resources) -> float:
    """Return how much, and how unevenly, a worker would have left; lower is better."""
    cores = (worker.available_cores - amount.cores_milli) * worker.per_core
    memory = (worker.available_memory - amount.memory_mb) * worker.per_memory
    return cores + memory + IMBALANCE_WEIGHT * abs(cores - memory)


def _tightest(
    candidates: list[Worker], amount: Resources, avoid: Container[HostId]
) -> Worker | None:
    best = None
    best_score = 0.0
    for worker in candidates:
        if worker.worker_id in avoid:
            continue
        score = leftover(worker, amount)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best
