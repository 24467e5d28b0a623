"""Room that one decision keeps for steps that can't start yet, and what may still be put there.

Answers this load: wide gangs of large tasks wait while small tasks take each bit of room as it
comes free. Each blocked step, in the order of the line, gets the room that is free soonest, for
the moment at which all of it is; whatever ends before that moment, or fits beside it, starts.
Nothing is kept beyond the decision, so steps that could only have a part keep nobody out.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.forecast import OVERDUE_S, Forecast
from galenastall.coordination.cell.mechanisms import ALL_ON, Mechanism, Without
from galenastall.state.cell.jobs import Step
from galenastall.state.resources import NOTHING, Resources

KEPT_SHARE: Final = 0.4
"""Share of the executors on which room may be kept at once; the rest goes to whoever fits."""
SINGLE_TASKS: Final = 2
"""Tasks of a step that is no gang for which room is kept: each starts on its own."""
RUN_MARGIN: Final = 1.5
"""A run counts as over before a moment if this many times its declared time is."""
KEPT_AHEAD_S: Final = 0.7
"""Room that is needed later is kept for the first in the line only: it would lie idle for longer
than what could use it meanwhile runs."""
HORIZON_S: Final = 30.0
"""Room that comes free later, in seconds, is not planned with."""


@dataclass(slots=True)
class _Kept:
    """What is kept on one executor."""

    at: float
    """When it is needed."""
    amount: Resources
    spare: Resources
    """What will be free beside it then; runs that go on beyond that moment share it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """Room for some tasks of a step on an executor."""

    executor: Executor
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedStart:
    """Where and when a step could start."""

    at: float
    slots: tuple[Slot, ...]


class RoomPlan:
    """Keeps room while one decision is taken."""

    def __init__(self, *, forecast: Forecast, without: Without = ALL_ON) -> None:
        """Plan with these expected ends."""
        self._goes_last = Mechanism.KEPT_ROOM_LAST not in without
        self._forecast = forecast
        self._kept_by_id: dict[str, _Kept] = {}
        self._kept_before: frozenset[str] = frozenset()
        self._now = 0.0
        self._most_kept = 0
        self._closed_ids: frozenset[str] = frozenset()
        self.withheld = 0
        """Places that the last search for room did not get, as they are kept for others."""
        self.lacking = 0
        """Places that the last search for a gang did not find."""

    @property
    def kept_count(self) -> int:
        """On how many executors room is kept."""
        return len(self._kept_by_id)

    @property
    def kept_cores_milli(self) -> int:
        """How many thousandths of cores are kept."""
        return sum(kept.amount.cores_milli for kept in self._kept_by_id.values())

    def kept_on(self, executor: Executor) -> Resources:
        """Return what is kept on an executor."""
        kept = self._kept_by_id.get(executor.executor_id)
        return NOTHING if kept is None else kept.amount

    def begin(self, *, now: float, fleet_size: int) -> None:
        """Begin a decision for which nothing is kept."""
        self._kept_before = frozenset(self._kept_by_id) if self._goes_last else frozenset()
        self._kept_by_id.clear()
        self._now = now
        self._most_kept = max(1, int(fleet_size * KEPT_SHARE))

    def close(self, executor_ids: frozenset[str]) -> None:
        """Start nothing more on these executors in this decision."""
        self._closed_ids = executor_ids

    def begin_search(self) -> None:
        """Begin to look for room for a task or a gang."""
        self.withheld = self.lacking = 0

    def was_kept(self, executor: Executor) -> bool:
        """Whether the decision before kept room on an executor.

        More pressing work may have that room, and takes other room where there is some.
        """
        return executor.executor_id in self._kept_before

    def room_for(self, executor: Executor, step: Step, most: int) -> int:
        """Return how many tasks of a step may start on an executor now, `most` at the highest."""
        if executor.executor_id in self._closed_ids:
            return 0
        fitting = executor.count_fitting(step.need, most)
        kept = self._kept_by_id.get(executor.executor_id)
        if kept is None or fitting == 0:
            return fitting
        if self._now + RUN_MARGIN * step.estimate_s <= kept.at:
            return fitting
        allowed = min(fitting, step.need.count_in(kept.spare, most))
        self.withheld += fitting - allowed
        return allowed

    def use(self, executor: Executor, step: Step) -> None:
        """Note that a task of a step was given room."""
        kept = self._kept_by_id.get(executor.executor_id)
        if kept is not None and self._now + RUN_MARGIN * step.estimate_s > kept.at:
            kept.spare = kept.spare - step.need

    def keep_gang(self, planned: PlannedStart, step: Step) -> None:
        """Keep the room of a planned start, unless it is far ahead or too much is kept already."""
        if self._kept_by_id and planned.at > self._now + KEPT_AHEAD_S:
            return
        if not self._may_keep_on({slot.executor.executor_id for slot in planned.slots}):
            return
        for slot in planned.slots:
            self._keep(slot.executor, step.need.times(slot.count), planned.at)

    def keep_singles(self, step: Step, wanted: int, candidates: Iterable[Executor]) -> None:
        """Keep room for some tasks that start one by one, where they fit soonest."""
        left = min(wanted, SINGLE_TASKS)
        usable = [e for e in candidates if self._may_keep_beside(e, step.need)]
        usable.sort(key=lambda e: (-_readiness(self._left(e), step.need), e.executor_id))
        for executor in usable:
            if left <= 0:
                return
            if self._may_keep_on({executor.executor_id}):
                self._keep(executor, step.need, self._first_fit(executor, step.need))
                left -= 1

    def earliest(
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

        One pass over the expected ends of all candidates, in the order of time.
        """
        left_by_id = {e.executor_id: self._left(e) for e in candidates}
        slots_by_id = {e.executor_id: self._slots(e, left_by_id, step, count) for e in candidates}
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
            left_by_id[executor_id] = left_by_id[executor_id] + amount
            slots = self._slots(executor, left_by_id, step, count)
            total += slots - slots_by_id[executor_id]
            slots_by_id[executor_id] = slots
            if total >= count:
                return _planned(max(at, not_before), candidates, slots_by_id, count)
        return None

    def _slots(
        self, executor: Executor, left_by_id: dict[str, Resources], step: Step, count: int
    ) -> int:
        return _slots_in(left_by_id[executor.executor_id], step, count)

    def _left(self, executor: Executor) -> Resources:
        """Return what is free now and not kept; may be negative."""
        kept = self._kept_by_id.get(executor.executor_id)
        return executor.free if kept is None else executor.free - kept.amount

    def _first_fit(self, executor: Executor, need: Resources) -> float:
        free = self._left(executor)
        at = self._now
        for release in self._forecast.releases(executor):
            if need.fits_in(free):
                break
            free = free + release.amount
            at = max(release.at, self._now + OVERDUE_S)
        return at

    def _may_keep_on(self, executor_ids: set[str]) -> bool:
        """Whether room may be kept there; the first in the line may whatever its size."""
        if not self._kept_by_id:
            return True
        return len(self._kept_by_id.keys() | executor_ids) <= self._most_kept

    def _may_keep_beside(self, executor: Executor, need: Resources) -> bool:
        """Whether the executor, once empty, holds what is kept there and `need`."""
        kept = self._kept_by_id.get(executor.executor_id)
        wanted = need if kept is None else kept.amount + need
        return wanted.fits_in(executor.info.capacity)

    def _keep(self, executor: Executor, amount: Resources, at: float) -> None:
        known = self._kept_by_id.get(executor.executor_id)
        if known is not None:
            amount = known.amount + amount
            at = min(known.at, at)
        free = self._free_at(executor, at)
        self._kept_by_id[executor.executor_id] = _Kept(at=at, amount=amount, spare=free - amount)

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
    """Return how many members of a gang fit into an executor's room, `most` at the highest."""
    fitting = step.need.count_in(room, most)
    return min(fitting, step.most_per_executor) if step.most_per_executor > 0 else fitting


def _planned(
    at: float, candidates: Sequence[Executor], slots_by_id: dict[str, int], count: int
) -> PlannedStart:
    """Return the slots to use: those on executors that hold most, so that few are kept."""
    slots: list[Slot] = []
    left = count
    for executor in sorted(candidates, key=lambda e: (-slots_by_id[e.executor_id], e.executor_id)):
        taken = min(slots_by_id[executor.executor_id], left)
        if taken <= 0:
            break
        slots.append(Slot(executor=executor, count=taken))
        left -= taken
    return PlannedStart(at=at, slots=tuple(slots))


def _readiness(free: Resources, need: Resources) -> float:
    """Return how near free room is to holding one task; 1 and more if it does."""
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
