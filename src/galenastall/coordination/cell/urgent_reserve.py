"""How much capacity is kept free for urgent work, and on which executors.

Only work that starts now is affected: nothing is stopped, and the reserve refills as other runs
end. It is spread in units of one typical task, since an advisor approves only some executors for a
task and a smaller remainder would be of no use to it.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.urgent_demand import Demand, UrgentDemand
from galenastall.coordination.cell.wait_queue import URGENT_PRIORITY, WaitingStep
from galenastall.state.resources import NOTHING, Resources

MAX_RESERVE_PARTS: Final = 4
"""Urgent work may use or keep free at once one part in this many of each resource, so that three
quarters of a fleet are always open to other work."""
HEADROOM: Final = 1.25
"""Capacity kept for urgent work relative to its average demand, since arrivals vary."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UrgentReserve:
    """Free capacity that only urgent work may use, and what decided how much."""

    amount_by_id: Mapping[str, Resources]
    """By executor."""
    demand_cores_milli: int = 0
    in_use_cores_milli: int = 0

    @property
    def kept_cores_milli(self) -> int:
        """Return the cores that are kept free, in thousandths."""
        return sum(amount.cores_milli for amount in self.amount_by_id.values())


NO_RESERVE: Final = UrgentReserve(amount_by_id={})


class UrgentCapacity:
    """Learns the demand of urgent work by service, and decides what to keep free for it."""

    def __init__(self, *, state: CellState) -> None:
        """Read the runs of these tables."""
        self._use = _UrgentUse(state=state)
        self._demand_by_service: defaultdict[str, UrgentDemand] = defaultdict(UrgentDemand)

    def observe(self, in_order: Iterable[WaitingStep], *, now: float) -> None:
        """Learn from the waiting steps of a decision."""
        claims_by_service: defaultdict[str, list[WaitingStep]] = defaultdict(list)
        for waiting in in_order:
            if waiting.has_urgent_claim:
                claims_by_service[waiting.queue.service].append(waiting)
        for service in self._demand_by_service.keys() | claims_by_service.keys():
            self._demand_by_service[service].observe(claims_by_service[service], now=now)
        for service, demand in list(self._demand_by_service.items()):
            if demand.is_forgotten:
                del self._demand_by_service[service]

    def reserve(self, executors: Iterable[Executor]) -> UrgentReserve:
        """Return what to keep free now on the executors that accept new work."""
        executors_by_service: defaultdict[str, list[Executor]] = defaultdict(list)
        for executor in executors:
            if executor.info.service in self._demand_by_service:
                executors_by_service[executor.info.service].append(executor)
        amount_by_id: dict[str, Resources] = {}
        demand_cores_milli = in_use_cores_milli = 0
        for service, usable in executors_by_service.items():
            demand = self._demand_by_service[service].current()
            in_use = self._use.total(usable)
            amount_by_id |= keep_free(demand, in_use=in_use, executors=usable)
            demand_cores_milli += demand.cores_milli
            in_use_cores_milli += in_use.cores_milli
        self._use.forget()
        return UrgentReserve(
            amount_by_id=amount_by_id,
            demand_cores_milli=demand_cores_milli,
            in_use_cores_milli=in_use_cores_milli,
        )


class _UrgentUse:
    """Capacity that urgent runs hold; recomputed only for executors that have changed."""

    def __init__(self, *, state: CellState) -> None:
        """Read the runs of these tables."""
        self._state = state
        self._use_by_id: dict[str, tuple[int, Resources]] = {}

    def total(self, executors: Iterable[Executor]) -> Resources:
        """Return what urgent runs hold on the executors together."""
        return _sum_of(self._on(executor) for executor in executors)

    def _on(self, executor: Executor) -> Resources:
        known = self._use_by_id.get(executor.executor_id)
        if known is None or known[0] != executor.version:
            known = (executor.version, self._work_out(executor))
            self._use_by_id[executor.executor_id] = known
        return known[1]

    def _work_out(self, executor: Executor) -> Resources:
        used = NOTHING
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is None or found[1].step.is_long_running:
                continue
            if self._state.queue_of(found[0]).priority == URGENT_PRIORITY:
                used = used + found[1].step.need
        return used

    def forget(self) -> None:
        """Drop what is known of executors that have been removed."""
        for gone in self._use_by_id.keys() - self._state.executors_by_id.keys():
            del self._use_by_id[gone]


def keep_free(
    demand: Demand, *, in_use: Resources, executors: Sequence[Executor]
) -> dict[str, Resources]:
    """Return what to keep free on executors for a demand, beside what urgent work holds."""
    total = _sum_of(executor.info.capacity for executor in executors)
    count = _units_to_keep(demand, in_use=in_use, total=total)
    return _spread(count, demand.unit, executors) if count else {}


def _units_to_keep(demand: Demand, *, in_use: Resources, total: Resources) -> int:
    """Return for how many typical tasks to keep capacity, beside those that run."""
    unit = demand.unit.cores_milli
    if unit <= 0:
        return 0
    wanted = max(int((HEADROOM * demand.cores_milli - in_use.cores_milli) / unit), 0)
    return max(demand.unit.count_in(_part_of(total) - in_use, wanted), 0)


def _part_of(total: Resources) -> Resources:
    return Resources(
        cores_milli=total.cores_milli // MAX_RESERVE_PARTS,
        memory_mb=total.memory_mb // MAX_RESERVE_PARTS,
        accelerators=total.accelerators // MAX_RESERVE_PARTS,
    )


def _sum_of(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of amounts; whole numbers add up ten times as fast as objects."""
    cores_milli = memory_mb = accelerators = 0
    for amount in amounts:
        cores_milli += amount.cores_milli
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(cores_milli=cores_milli, memory_mb=memory_mb, accelerators=accelerators)


def _spread(count: int, unit: Resources, executors: Iterable[Executor]) -> dict[str, Resources]:
    """Return what to keep free on each executor so that `count` units fit, one each if possible.

    Units that fit nowhere now are left out: they are kept once runs have ended.
    """
    fitting = [(unit.count_in(e.free, count), e.executor_id) for e in executors]
    slots = sorted((each for each in fitting if each[0] > 0), key=lambda s: (-s[0], s[1]))
    kept_by_id: dict[str, int] = {}
    left, layer = count, 0
    while left > 0 and slots:
        layer += 1
        for _, executor_id in slots[:left]:
            kept_by_id[executor_id] = layer
        left -= len(slots)
        slots = [each for each in slots if each[0] > layer]
    return {executor_id: unit.times(kept) for executor_id, kept in kept_by_id.items()}
