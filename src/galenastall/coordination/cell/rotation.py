"""Rotates through steps beyond a decision's limits, so that none is starved."""

from collections import Counter
from collections.abc import Collection, Sequence
from typing import Final

from galenastall.state.cell.jobs import StepKey

STEPS_PER_DECISION: Final = 120
"""Waiting steps considered in one decision, besides those for which an advice call was answered."""
ROTATED_STEPS: Final = 20
"""How many of them are picked in rotation from behind the head of the queue."""
MAX_PLANNED_GANGS: Final = 12
"""Gangs for which a decision finds a start; those behind them reserve no capacity yet."""
MAX_FAILED_PLANS: Final = 8
"""Plans in one decision that may find no start: this many for gangs whose last plan found none
either, and this many for others."""
ROTATED_GANGS: Final = 4
"""Gangs beyond these limits that are planned in rotation: without a plan their tickets are not
renewed."""

OVERDUE_TURN_S: Final = 10.0
"""How long one overdue step is promoted."""
OVERDUE_PAUSE_S: Final = 5.0
"""Pause between promotions of overdue steps, for work that still has value."""


class Rotation:
    """Picks a fixed number of keys at a time, those first that have waited longest."""

    def __init__(self, *, batch_size: int) -> None:
        """Pick up to `batch_size` keys at a time."""
        self._batch_size = batch_size
        self._queue: list[StepKey] = []

    def pick(self, keys: Collection[StepKey]) -> frozenset[StepKey]:
        """Return the keys whose turn it is; new keys go to the back."""
        present, known = set(keys), set(self._queue)
        queue = [key for key in self._queue if key in present]
        queue += [key for key in keys if key not in known]
        picked = queue[: self._batch_size]
        self._queue = queue[self._batch_size :] + picked
        return frozenset(picked)


class StepRotation:
    """Chooses the waiting steps that a decision considers."""

    def __init__(self) -> None:
        """Start with an empty rotation."""
        self._rotation = Rotation(batch_size=ROTATED_STEPS)

    def choose(self, queue: Sequence[StepKey]) -> frozenset[StepKey]:
        """Return the steps at the head of the queue, and some of the others in rotation."""
        if len(queue) <= STEPS_PER_DECISION:
            return frozenset(queue)
        first = STEPS_PER_DECISION - ROTATED_STEPS
        return frozenset(queue[:first]) | self._rotation.pick(queue[first:])


class OverdueRotation:
    """Chooses the one overdue step that is promoted.

    A promotion is limited in time, since the step may wait for advice that does not come. The next
    one begins after a pause.
    """

    def __init__(self) -> None:
        """Start with no step promoted."""
        self._turn: StepKey | None = None
        self._until = float("-inf")
        self._next_at = float("-inf")
        self._had_turn: dict[StepKey, None] = {}

    def choose(self, overdue: Sequence[StepKey], *, now: float) -> StepKey | None:
        """Return the promoted step; `overdue` are the steps that may start, in queue order."""
        if self._turn is not None and (self._turn not in overdue or now >= self._until):
            self._had_turn[self._turn] = None
            self._turn = None
            self._next_at = now + OVERDUE_PAUSE_S
        if self._turn is None and overdue and now >= self._next_at:
            self._had_turn = {key: None for key in self._had_turn if key in overdue}
            others = [key for key in overdue if key not in self._had_turn]
            self._turn = others[0] if others else next(iter(self._had_turn))
            self._had_turn.pop(self._turn, None)
            self._until = now + OVERDUE_TURN_S
        return self._turn


class GangRotation:
    """Chooses the gangs that a decision plans: call `may_plan` first, then `note`.

    Gangs for which a start is found count against MAX_PLANNED_GANGS, the others against
    MAX_FAILED_PLANS: gangs that can't start where they are approved must not prevent those behind
    them from having their tickets renewed. Gangs beyond the limits are deferred and planned in
    rotation.
    """

    def __init__(self) -> None:
        """Start with no gang deferred."""
        self._rotation = Rotation(batch_size=ROTATED_GANGS)
        self.in_turn: frozenset[StepKey] = frozenset()
        """Deferred gangs that this decision plans."""
        self._deferred: dict[StepKey, None] = {}
        """Gangs beyond the limits, in the order in which they were deferred."""
        self._without_start: set[StepKey] = set()
        """Gangs for which the last plan found no start."""
        self._found = 0
        self._failed_plans = Counter[bool]()
        """Plans without a start, by whether the gang's previous plan had none either."""

    def begin(self, waiting: Collection[StepKey]) -> None:
        """Begin a decision in which these steps wait."""
        self._deferred = {key: None for key in self._deferred if key in waiting}
        self._without_start.intersection_update(waiting)
        self.in_turn = self._rotation.pick(self._deferred)
        self._found = 0
        self._failed_plans.clear()

    def may_plan(self, key: StepKey) -> bool:
        """Whether to plan a gang now; if not, it is planned later in rotation."""
        if self._is_among_first(key):
            self._deferred.pop(key, None)
            return True
        self._deferred[key] = None
        return key in self.in_turn

    def is_deferred(self, key: StepKey) -> bool:
        """Whether a gang is beyond the limits and not planned by this decision."""
        return key in self._deferred and key not in self.in_turn

    def note_infeasible(self, key: StepKey) -> None:
        """Note that a gang would not fit on empty executors either: planning it is useless."""
        self._without_start.add(key)
        self._deferred.pop(key, None)

    def had_no_start(self, key: StepKey) -> bool:
        """Whether the gang's last plan found no start."""
        return key in self._without_start

    def note(self, key: StepKey, *, is_found: bool) -> bool:
        """Count a plan; return whether the gang is within the limits and may reserve capacity."""
        is_first = self._is_among_first(key)
        if is_found:
            self._found += 1
            self._without_start.discard(key)
        else:
            self._failed_plans[key in self._without_start] += 1
            self._without_start.add(key)
        return is_first

    def _is_among_first(self, key: StepKey) -> bool:
        if self._found >= MAX_PLANNED_GANGS:
            return False
        return self._failed_plans[key in self._without_start] < MAX_FAILED_PLANS
