"""Room that pressing steps wait for, kept from less pressing ones while a decision is taken."""

from collections.abc import Iterable
from typing import Final

from galenastall.coordination.cell.executors import Executor
from galenastall.state.cell.jobs import Step
from galenastall.state.resources import Resources

RESERVED_SHARE: Final = 0.4
"""Share of the executors on which room may be kept at once; the rest goes to whoever fits."""
SINGLE_TASKS: Final = 2
"""Tasks of a step that is no gang for which room is kept: each starts on its own."""


class Reservations:
    """Takes room off executors' ledgers until `clear`.

    Without it small tasks take each bit of room as it comes free, and a task of 18 cores whose
    advisor approves of a quarter of the executors waits for 30 s.
    """

    def __init__(self) -> None:
        """Create one without reservations."""
        self._taken: list[tuple[Executor, Resources]] = []
        self._executor_ids: set[str] = set()

    @property
    def executor_count(self) -> int:
        """How many executors keep room."""
        return len(self._executor_ids)

    def clear(self) -> None:
        """Give everything back."""
        for executor, amount in self._taken:
            executor.give_back(amount)
        self._taken.clear()

    def begin(self) -> None:
        """Begin a decision without reservations."""
        self.clear()
        self._executor_ids.clear()

    def reserve(
        self, step: Step, wanted: int, candidates: Iterable[Executor], *, fleet_size: int
    ) -> None:
        """Keep room for `wanted` tasks of a step where it is nearest to being free."""
        slots_by_executor = [(executor, _most_ever(executor, step)) for executor in candidates]
        if step.is_gang and sum(slots for _, slots in slots_by_executor) < wanted:
            # It can't run on these at all, so room kept for it would only lie idle.
            return
        left = wanted if step.is_gang else min(wanted, SINGLE_TASKS)
        slots_by_executor.sort(
            key=lambda pair: (-_readiness(pair[0], step.need), pair[0].executor_id)
        )
        for executor, slots in slots_by_executor:
            if left <= 0:
                return
            taken = min(slots if step.is_gang else 1, left)
            if taken > 0 and self._may_take(executor, fleet_size):
                self._take(executor, step.need.times(taken))
                left -= taken

    def _may_take(self, executor: Executor, fleet_size: int) -> bool:
        if executor.executor_id in self._executor_ids:
            return True
        return len(self._executor_ids) < max(1, int(fleet_size * RESERVED_SHARE))

    def _take(self, executor: Executor, amount: Resources) -> None:
        executor.take(amount)
        self._taken.append((executor, amount))
        self._executor_ids.add(executor.executor_id)


def _readiness(executor: Executor, need: Resources) -> float:
    """Return how near the executor is to having room for one task; 1 and more if it has some."""
    shares = [
        free / wanted
        for free, wanted in (
            (executor.free_cores_milli, need.cores_milli),
            (executor.free_memory_mb, need.memory_mb),
            (executor.free_accelerators, need.accelerators),
        )
        if wanted
    ]
    return min(shares, default=1.0)


def _most_ever(executor: Executor, step: Step) -> int:
    """Return how many tasks of the step an empty executor would hold."""
    capacity, need = executor.info.capacity, step.need
    fits = [
        offered // wanted
        for offered, wanted in (
            (capacity.cores_milli, need.cores_milli),
            (capacity.memory_mb, need.memory_mb),
            (capacity.accelerators, need.accelerators),
        )
        if wanted
    ]
    most = min(fits, default=step.count)
    return min(most, step.most_per_executor) if step.most_per_executor > 0 else most
