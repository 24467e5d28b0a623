"""Turns for what is beyond a decision's limits, so that each waiting step is looked at in time."""

from collections import Counter
from collections.abc import Collection, Sequence
from typing import Final

from galenastall.state.cell.jobs import StepKey

STEPS_PER_DECISION: Final = 120
"""Waiting steps looked at in one decision, beside those that a call for advice was answered for."""
ROTATED_STEPS: Final = 20
"""Those of them that are taken in turn from behind the first."""
MAX_PLANNED_GANGS: Final = 12
"""Gangs for which a decision finds when they could start; those behind them keep no room yet."""
MAX_FAILED_PLANS: Final = 8
"""Looks for a gang's start that may be in vain in one decision: so many at gangs for which the last
look was in vain too, and so many at others."""
ROTATED_GANGS: Final = 4
"""Gangs beyond these limits for which a start is looked for in turn: without one their tickets are
not renewed."""

OVERDUE_TURN_S: Final = 10.0
"""For how long one overdue step is brought forward."""
OVERDUE_PAUSE_S: Final = 5.0
"""Between two turns of overdue steps, for work that still earns something."""


class Rotation:
    """Picks some keys at a time, those first that have waited longest for it."""

    def __init__(self, *, batch_size: int) -> None:
        """Pick so many at a time."""
        self._batch_size = batch_size
        self._queue: list[StepKey] = []

    def pick(self, keys: Collection[StepKey]) -> frozenset[StepKey]:
        """Return the keys whose turn it is; new ones come after all that were there."""
        present, known = set(keys), set(self._queue)
        queue = [key for key in self._queue if key in present]
        queue += [key for key in keys if key not in known]
        picked = queue[: self._batch_size]
        self._queue = queue[self._batch_size :] + picked
        return frozenset(picked)


class StepRotation:
    """Chooses the waiting steps that a decision looks at."""

    def __init__(self) -> None:
        """Begin with nobody's turn."""
        self._rotation = Rotation(batch_size=ROTATED_STEPS)

    def choose(self, queue: Sequence[StepKey]) -> frozenset[StepKey]:
        """Return the first in the line, and some of the others in turn."""
        if len(queue) <= STEPS_PER_DECISION:
            return frozenset(queue)
        first = STEPS_PER_DECISION - ROTATED_STEPS
        return frozenset(queue[:first]) | self._rotation.pick(queue[first:])


class OverdueRotation:
    """Chooses the one overdue step that is brought forward.

    It has its turn for a while only, since it may wait for advice that does not come. The next
    begins after a pause.
    """

    def __init__(self) -> None:
        """Begin with nobody's turn."""
        self._turn: StepKey | None = None
        self._until = float("-inf")
        self._next_at = float("-inf")
        self._had_turn: dict[StepKey, None] = {}

    def choose(self, overdue: Sequence[StepKey], *, now: float) -> StepKey | None:
        """Return the step whose turn it is; `overdue` are those that may start, in their order."""
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
    """Chooses the gangs for which a decision looks for a start: `may_look` first, then `note`.

    Gangs that have a start count against PLANNED_GANGS, those that have none against
    FRUITLESS_PLANS: gangs that can't start where they are approved must not keep those behind them
    from having their tickets renewed. Gangs beyond the limits are left out, and have their turn.
    """

    def __init__(self) -> None:
        """Begin with nobody's turn."""
        self._rotation = Rotation(batch_size=ROTATED_GANGS)
        self.in_turn: frozenset[StepKey] = frozenset()
        """Gangs whose turn it is in this decision."""
        self._deferred: dict[StepKey, None] = {}
        """Gangs beyond the limits, in the order in which they came to be."""
        self._without_start: set[StepKey] = set()
        """Gangs for which the last look found no start."""
        self._found = 0
        self._failed_plans = Counter[bool]()
        """Looks in vain, by whether the look before was one too."""

    def begin(self, waiting: Collection[StepKey]) -> None:
        """Begin a decision in which these steps wait."""
        self._deferred = {key: None for key in self._deferred if key in waiting}
        self._without_start.intersection_update(waiting)
        self.in_turn = self._rotation.pick(self._deferred)
        self._found = 0
        self._failed_plans.clear()

    def may_plan(self, key: StepKey) -> bool:
        """Whether to look for a gang's start now; if not, its turn will come."""
        if self._is_among_first(key):
            self._deferred.pop(key, None)
            return True
        self._deferred[key] = None
        return key in self.in_turn

    def is_deferred(self, key: StepKey) -> bool:
        """Whether a gang is beyond the limits, and it is not its turn either."""
        return key in self._deferred and key not in self.in_turn

    def note_infeasible(self, key: StepKey) -> None:
        """Note that a gang would not fit on empty executors either: there is no need to look."""
        self._without_start.add(key)
        self._deferred.pop(key, None)

    def had_no_start(self, key: StepKey) -> bool:
        """Whether no start was found when it was last looked for."""
        return key in self._without_start

    def note(self, key: StepKey, *, is_found: bool) -> bool:
        """Count a look; return whether the gang is among the first, which may keep room."""
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
