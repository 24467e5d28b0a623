"""Bounds how many refused calls a second a host passes to the leader.

Guards against this failure: callers try made-up keys or paths on all hosts, and each try costs the
leader a decision. A call that the leader admits costs nothing, so callers whose route or key is too
new for their host are not held up by their number.
"""

from typing import Final

REFUSALS_PER_S: Final = 10.0
"""Calls that the leader refuses, per second and host."""
BURST: Final = 20.0
"""Calls that may be under way or refused at once after a pause."""


class RefusalBudget:
    """Counts calls passed to the leader, and gives back those that it admitted."""

    def __init__(self, *, per_s: float = REFUSALS_PER_S, burst: float = BURST) -> None:
        """Allow `per_s` refusals, and up to `burst` at once."""
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._counted_at = 0.0

    def take(self, now: float) -> bool:
        """Take one call from the budget; False if nothing is left."""
        gained = (now - self._counted_at) * self._per_s
        self._counted_at = now
        self._left = min(self._burst, self._left + max(gained, 0.0))
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def give_back(self) -> None:
        """Return a call that was not refused."""
        self._left = min(self._burst, self._left + 1.0)
