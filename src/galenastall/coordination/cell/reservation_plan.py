"""Capacity that one decision reserves for steps that can't start yet, with backfilling.

Addresses this load: wide gangs of large tasks wait while small tasks take any capacity as soon as
it is free. Each blocked step, in queue order, reserves the capacity that is free soonest, for the
time at which all of it is; tasks that end before that time, or that fit beside the reservation,
start. No reservation outlasts the decision, so steps that could only get part of their capacity
block nothing.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.executor_speeds import ExecutorSpeeds
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.forecast import OVERDUE_S, Forecast
from galenastall.coordination.cell.mechanisms import ALL_ON, DisabledMechanisms, Mechanism
from galenastall.coordination.cell.urgent_reserve import NO_RESERVE, UrgentReserve
from galenastall.state.cell.jobs import Step
from galenastall.state.resources import NOTHING, Resources

MAX_RESERVED_SHARE: Final = 0.4
"""Share of the executors that may hold reservations at once; the rest is open to all steps."""
MAX_RESERVED_SINGLES: Final = 2
"""Tasks of a non-gang step for which capacity is reserved: each starts on its own."""
RUN_MARGIN: Final = 1.5
"""A run counts as finished before a given time if this multiple of its declared time fits until
then."""
RESERVE_AHEAD_S: Final = 0.7
"""Capacity that is needed later is reserved only for the head of the queue: it would be idle for
longer than the tasks that could use it meanwhile run."""
HORIZON_S: Final = 30.0
"""Capacity that becomes free later than this, in seconds, is not planned with."""


@dataclass(slots=True)
class _Reservation:
    """Capacity reserved on one executor."""

    at: float
    """When it is needed."""
    amount: Resources
    spare: Resources
    """Capacity that will be free beside it then, shared by runs that continue past that time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """Capacity for some tasks of a step on an executor."""

    executor: Executor
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedStart:
    """Where and when a step could start."""

    at: float
    slots: tuple[Slot, ...]


class ReservationPlan:
    """Holds the reservations of the current decision."""

    def __init__(
        self,
        *,
        forecast: Forecast,
        speeds: ExecutorSpeeds | None = None,
        without: DisabledMechanisms = ALL_ON,
    ) -> None:
        """Plan with the expected ends of this forecast, and with executors of these speeds."""
        self._speeds = ExecutorSpeeds() if speeds is None else speeds
        self._avoids_reserved = Mechanism.KEPT_ROOM_LAST not in without
        self._forecast = forecast
        self._reservations_by_id: dict[str, _Reservation] = {}
        self._reserved_before: frozenset[str] = frozenset()
        self._now = 0.0
        self._max_reserved = 0
        self._closed_ids: frozenset[str] = frozenset()
        self.urgent = NO_RESERVE
        """Free capacity that only urgent work may use."""
        self.withheld_for_urgent = 0
        """Slots that the last search for capacity could not use because they are kept for urgent
        work."""
        self.withheld = 0
        """Slots that the last search for capacity could not use because they are reserved for
        others."""
        self.missing_slots = 0
        """Slots that the last search for a gang did not find."""

    @property
    def reserved_count(self) -> int:
        """Number of executors with a reservation."""
        return len(self._reservations_by_id)

    @property
    def kept_cores_milli(self) -> int:
        """Reserved cores, in thousandths."""
        return sum(
            reservation.amount.cores_milli for reservation in self._reservations_by_id.values()
        )

    def kept_on(self, executor: Executor) -> Resources:
        """Return the capacity reserved on an executor."""
        reservation = self._reservations_by_id.get(executor.executor_id)
        return NOTHING if reservation is None else reservation.amount

    def begin(self, *, now: float, fleet_size: int) -> None:
        """Begin a decision without reservations."""
        self._reserved_before = (
            frozenset(self._reservations_by_id) if self._avoids_reserved else frozenset()
        )
        self._reservations_by_id.clear()
        self.urgent = NO_RESERVE
        self._now = now
        self._max_reserved = max(1, int(fleet_size * MAX_RESERVED_SHARE))

    def close(self, executor_ids: frozenset[str]) -> None:
        """Start nothing more on these executors in this decision."""
        self._closed_ids = executor_ids

    def keep_for_urgent(self, reserve: UrgentReserve) -> None:
        """Keep free capacity from all that this decision starts from now on."""
        self.urgent = reserve

    def begin_search(self) -> None:
        """Begin a search for capacity for a task or a gang."""
        self.withheld = self.withheld_for_urgent = self.missing_slots = 0

    def was_reserved(self, executor: Executor) -> bool:
        """Whether the previous decision reserved capacity on an executor.

        Work of higher priority may use that capacity, but prefers other capacity where there is
        some.
        """
        return executor.executor_id in self._reserved_before

    def startable_count(self, executor: Executor, step: Step, most: int) -> int:
        """Return how many tasks of a step, up to `most`, may start on an executor now."""
        if executor.executor_id in self._closed_ids:
            return 0
        fitting = self._count_beside_urgent(executor, step, most)
        reservation = self._reservations_by_id.get(executor.executor_id)
        if reservation is None or fitting == 0:
            return fitting
        if self._now + self._run_s(executor, step) <= reservation.at:
            return fitting
        allowed = min(fitting, step.need.count_in(reservation.spare, most))
        self.withheld += fitting - allowed
        return allowed

    def _count_beside_urgent(self, executor: Executor, step: Step, most: int) -> int:
        """Return how many tasks fit beside the capacity kept for urgent work."""
        fitting = executor.count_fitting(step.need, most)
        kept = self._kept_for_urgent(executor, step)
        if kept is NOTHING or fitting == 0:
            return fitting
        allowed = step.need.count_in(executor.free - kept, most)
        self.withheld_for_urgent += fitting - allowed
        return allowed

    def _kept_for_urgent(self, executor: Executor, step: Step) -> Resources:
        """Return what is kept on an executor from a step.

        Gangs may use it: they wait longest, and lose most, where capacity is broken up. So may a
        long-running task, which others must not keep down, and one that could never fit beside it.
        """
        kept = self.urgent.amount_by_id.get(executor.executor_id)
        if kept is None or step.is_gang or step.is_long_running:
            return NOTHING
        return kept if (kept + step.need).fits_in(executor.info.capacity) else NOTHING

    def use(self, executor: Executor, step: Step) -> None:
        """Note that a task of a step was assigned to an executor."""
        reservation = self._reservations_by_id.get(executor.executor_id)
        if reservation is not None and self._now + self._run_s(executor, step) > reservation.at:
            reservation.spare = reservation.spare - step.need

    def _run_s(self, executor: Executor, step: Step) -> float:
        """Return the time within which a run of a step should end on an executor."""
        return RUN_MARGIN * step.estimate_s / self._speeds.of(executor.info.host)

    def reserve_for_gang(self, planned: PlannedStart, step: Step) -> None:
        """Reserve a planned start, unless it is far ahead or too much is reserved."""
        if self._reservations_by_id and planned.at > self._now + RESERVE_AHEAD_S:
            return
        if not self._may_reserve_on({slot.executor.executor_id for slot in planned.slots}):
            return
        for slot in planned.slots:
            self._reserve(slot.executor, step.need.times(slot.count), planned.at)

    def reserve_for_singles(self, step: Step, wanted: int, candidates: Iterable[Executor]) -> None:
        """Reserve capacity for some tasks that start one by one, where they fit soonest."""
        left = min(wanted, MAX_RESERVED_SINGLES)
        usable = [e for e in candidates if self._fits_with_reservation(e, step.need)]
        usable.sort(
            key=lambda e: (-_fit_ratio(self._unreserved(e, step), step.need), e.executor_id)
        )
        for executor in usable:
            if left <= 0:
                return
            if self._may_reserve_on({executor.executor_id}):
                kept = self._kept_for_urgent(executor, step)
                self._reserve(executor, step.need, self._first_fit(executor, step), kept)
                left -= 1

    def earliest_start(
        self,
        step: Step,
        count: int,
        candidates: Sequence[Executor],
        *,
        not_before: float,
        within_s: float = HORIZON_S,
    ) -> PlannedStart | None:
        """Return where all of a gang fits soonest, at `not_before` or later.

        None if it does not within `within_s`.

        Takes one pass over the expected ends of all candidates, in time order.
        """
        unreserved_by_id = {e.executor_id: self._unreserved(e, step) for e in candidates}
        slots_by_id = {
            e.executor_id: self._slots(e, unreserved_by_id, step, count) for e in candidates
        }
        total = sum(slots_by_id.values())
        if total >= count:
            return _planned(not_before, candidates, slots_by_id, count)
        until = self._now + within_s
        ends = [
            (max(release.at, self._now + OVERDUE_S), executor.executor_id, release.amount, executor)
            for executor in candidates
            for release in self._forecast.releases(executor)
            if release.at < until
        ]
        ends.sort(key=lambda end: end[:2])
        for at, executor_id, amount, executor in ends:
            unreserved_by_id[executor_id] = unreserved_by_id[executor_id] + amount
            slots = self._slots(executor, unreserved_by_id, step, count)
            total += slots - slots_by_id[executor_id]
            slots_by_id[executor_id] = slots
            if total >= count:
                return _planned(max(at, not_before), candidates, slots_by_id, count)
        return None

    def _slots(
        self, executor: Executor, unreserved_by_id: dict[str, Resources], step: Step, count: int
    ) -> int:
        return _slots_in(unreserved_by_id[executor.executor_id], step, count)

    def _unreserved(self, executor: Executor, step: Step) -> Resources:
        """Return the capacity that is free for a task now and not reserved; may be negative."""
        reservation = self._reservations_by_id.get(executor.executor_id)
        kept = self._kept_for_urgent(executor, step)
        free = executor.free if kept is NOTHING else executor.free - kept
        return free if reservation is None else free - reservation.amount

    def _first_fit(self, executor: Executor, step: Step) -> float:
        free = self._unreserved(executor, step)
        at = self._now
        for release in self._forecast.releases(executor):
            if step.need.fits_in(free):
                break
            free = free + release.amount
            at = max(release.at, self._now + OVERDUE_S)
        return at

    def _may_reserve_on(self, executor_ids: set[str]) -> bool:
        """Whether these executors may hold reservations; the first step may reserve any number."""
        if not self._reservations_by_id:
            return True
        return len(self._reservations_by_id.keys() | executor_ids) <= self._max_reserved

    def _fits_with_reservation(self, executor: Executor, need: Resources) -> bool:
        """Whether the executor, once empty, holds its reservation and `need` together."""
        reservation = self._reservations_by_id.get(executor.executor_id)
        wanted = need if reservation is None else reservation.amount + need
        return wanted.fits_in(executor.info.capacity)

    def _reserve(
        self, executor: Executor, amount: Resources, at: float, kept: Resources = NOTHING
    ) -> None:
        known = self._reservations_by_id.get(executor.executor_id)
        if known is not None:
            amount = known.amount + amount
            at = min(known.at, at)
        free = self._free_at(executor, at)
        self._reservations_by_id[executor.executor_id] = _Reservation(
            at=at, amount=amount, spare=free - amount - kept
        )

    def _free_at(self, executor: Executor, at: float) -> Resources:
        released = NOTHING
        for release in self._forecast.releases(executor):
            if max(release.at, self._now + OVERDUE_S) > at:
                break
            released = released + release.amount
        return executor.free + released


def could_hold(step: Step, count: int, candidates: Iterable[Executor]) -> bool:
    """Whether a gang fits on some executors once they are empty."""
    left = count
    for executor in candidates:
        left -= _slots_in(executor.info.capacity, step, left)
        if left <= 0:
            return True
    return False


def _slots_in(room: Resources, step: Step, most: int) -> int:
    """Return how many members of a gang, up to `most`, fit into an executor's capacity."""
    fitting = step.need.count_in(room, most)
    return min(fitting, step.most_per_executor) if step.most_per_executor > 0 else fitting


def _planned(
    at: float, candidates: Sequence[Executor], slots_by_id: dict[str, int], count: int
) -> PlannedStart:
    """Return the slots to use, on as few executors as possible."""
    slots: list[Slot] = []
    left = count
    for executor in sorted(candidates, key=lambda e: (-slots_by_id[e.executor_id], e.executor_id)):
        taken = min(slots_by_id[executor.executor_id], left)
        if taken <= 0:
            break
        slots.append(Slot(executor=executor, count=taken))
        left -= taken
    return PlannedStart(at=at, slots=tuple(slots))


def _fit_ratio(free: Resources, need: Resources) -> float:
    """Return how much of one task's need the free capacity covers; 1 or more if the task fits."""
    shares = [
        have / wanted
        for have, wanted in (
            (free.cores_milli, need.cores_milli),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if wanted
    ]
    return min(shares, default=1.0)
