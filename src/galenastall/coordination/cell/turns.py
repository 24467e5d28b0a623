"""Turns for what is beyond a decision's limits, so that each waiting step is looked at in time."""

from collections import Counter
from collections.abc import Collection, Sequence
from typing import Final

from galenastall.state.cell.jobs import StepKey

STEPS_PER_DECISION: Final = 120
"""Waiting steps looked at in one decision, beside those that a call for advice was answered for."""
STEPS_IN_TURN: Final = 20
"""Those of them that are taken in turn from behind the first."""
PLANNED_GANGS: Final = 12
"""Gangs for which a decision finds when they could start; those behind them keep no room yet."""
FRUITLESS_PLANS: Final = 8
"""Looks for a gang's start that may be in vain in one decision: so many at gangs for which the last
look was in vain too, and so many at others."""
GANGS_IN_TURN: Final = 4
"""Gangs beyond these limits for which a start is looked for in turn: without one their tickets are
not renewed."""

OVERDUE_TURN_S: Final = 10.0
"""For how long one overdue step is brought forward."""
OVERDUE_PAUSE_S: Final = 5.0
"""Between two turns of overdue steps, for work that still earns something."""


class Turns:
    """Picks some keys at a time, those first that have waited longest for it."""

    def __init__(self, *, at_once: int) -> None:
        """Pick so many at a time."""
        self._at_once = at_once
        self._queue: list[StepKey] = []

    def pick(self, keys: Collection[StepKey]) -> frozenset[StepKey]:
        """Return the keys whose turn it is; new ones come after all that were there."""
        present, known = set(keys), set(self._queue)
        queue = [key for key in self._queue if key in present]
        queue += [key for key in keys if key not in known]
        picked = queue[: self._at_once]
        self._queue = queue[self._at_once :] + picked
        return frozenset(picked)


class StepTurns:
    """Chooses the waiting steps that a decision looks at."""

    def __init__(self) -> None:
        """Begin with nobody's turn."""
        self._turns = Turns(at_once=STEPS_IN_TURN)

    def choose(self, line: Sequence[StepKey]) -> frozenset[StepKey]:
        """Return the first in the line, and some of the others in turn."""
        if len(line) <= STEPS_PER_DECISION:
            return frozenset(line)
        first = STEPS_PER_DECISION - STEPS_IN_TURN
        return frozenset(line[:first]) | self._turns.pick(line[first:])


class OverdueTurns:
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


class GangTurns:
    """Chooses the gangs for which a decision looks for a start: `may_look` first, then `note`.

    Gangs that have a start count against PLANNED_GANGS, those that have none against
    FRUITLESS_PLANS: gangs that can't start where they are approved must not keep those behind them
    from having their tickets renewed. Gangs beyond the limits are left out, and have their turn.
    """

    def __init__(self) -> None:
        """Begin with nobody's turn."""
        self._turns = Turns(at_once=GANGS_IN_TURN)
        self.in_turn: frozenset[StepKey] = frozenset()
        """Gangs whose turn it is in this decision."""
        self._left_out: dict[StepKey, None] = {}
        """Gangs beyond the limits, in the order in which they came to be."""
        self._fruitless: set[StepKey] = set()
        """Gangs for which the last look found no start."""
        self._found = 0
        self._in_vain = Counter[bool]()
        """Looks in vain, by whether the look before was one too."""

    def begin(self, waiting: Collection[StepKey]) -> None:
        """Begin a decision in which these steps wait."""
        self._left_out = {key: None for key in self._left_out if key in waiting}
        self._fruitless.intersection_update(waiting)
        self.in_turn = self._turns.pick(self._left_out)
        self._found = 0
        self._in_vain.clear()

    def may_look(self, key: StepKey) -> bool:
        """Whether to look for a gang's start now; if not, its turn will come."""
        if self._is_among_first(key):
            self._left_out.pop(key, None)
            return True
        self._left_out[key] = None
        return key in self.in_turn

    def is_left_out(self, key: StepKey) -> bool:
        """Whether a gang is beyond the limits, and it is not its turn either."""
        return key in self._left_out and key not in self.in_turn

    def note_hopeless(self, key: StepKey) -> None:
        """Note that a gang would not fit on empty executors either: there is no need to look."""
        self._fruitless.add(key)
        self._left_out.pop(key, None)

    def is_fruitless(self, key: StepKey) -> bool:
        """Whether no start was found when it was last looked for."""
        return key in self._fruitless

    def note(self, key: StepKey, *, is_found: bool) -> bool:
        """Count a look; return whether the gang is among the first, which may keep room."""
        is_first = self._is_among_first(key)
        if is_found:
            self._found += 1
            self._fruitless.discard(key)
        else:
            self._in_vain[key in self._fruitless] += 1
            self._fruitless.add(key)
        return is_first

    def _is_among_first(self, key: StepKey) -> bool:
        if self._found >= PLANNED_GANGS:
            return False
        return self._in_vain[key in self._fruitless] < FRUITLESS_PLANS
