"""Registry of placement policies: which of the workers with room gets a task.

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
"""Workers drawn before the random policy looks at all."""
CANDIDATES: Final = 12
"""Workers scored for a task."""
SPREAD_CANDIDATES: Final = 32
"""Workers scored for a service's replica, since tight ones may all be in one rack."""
IMBALANCE_WEIGHT: Final = 1.0
"""How much a leftover of one resource without the other counts against a worker."""
RACK_WEIGHT: Final = 4.0
WORKER_WEIGHT: Final = 16.0
"""Replicas on the rack and on the worker outweigh any leftover."""


class PlacementPolicy(Protocol):
    """Chooses a worker; has no state but the index it looks at."""

    def __init__(self, *, index: WorkerIndex, spread: ReplicaSpread, rng: Random) -> None:
        """Look at this index; `rng` makes all random choices."""

    def choose(
        self, *, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        """Return a worker with room for `amount` that is not in `avoid`, or None."""


PLACEMENT_POLICIES: Final[Registry[type[PlacementPolicy]]] = Registry(kind="placement policy")


@PLACEMENT_POLICIES.register("first_fit")
class FirstFit:
    """Take the first worker by id that has room; a baseline, linear in workers."""

    def __init__(self, *, index: WorkerIndex, spread: ReplicaSpread, rng: Random) -> None:
        """Look at this index in order."""
        self._index = index

    def choose(
        self, *, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        """Return the first worker with room."""
        for worker in self._index.in_order():
            if worker.can_fit(amount) and worker.worker_id not in avoid:
                return worker
        return None


@PLACEMENT_POLICIES.register("random")
class RandomFit:
    """Take any worker with room; a baseline."""

    def __init__(self, *, index: WorkerIndex, spread: ReplicaSpread, rng: Random) -> None:
        """Draw from this index."""
        self._index = index
        self._rng = rng

    def choose(
        self, *, task: TaskSpec, amount: Resources, avoid: Container[HostId]
    ) -> Worker | None:
        """Return a worker drawn among those with room."""
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
    """Take the worker that would have the least and the most even room left.

    A tight fit keeps large holes whole for large tasks and empties workers that are little used;
    an even leftover keeps cores from being stranded without memory, or memory without cores.
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
