"""When a leader asks the executors that run nothing for a listing.

Answers this load: a fleet of thousands of executors of which a few hundred work. Polled once a
second each, they take more than the one thread that a leader has, whose heartbeats then come late
and whose successors start the same polls anew. So polls of executors that hold no lease share one
rate. In a fleet that fits into it each of them is polled without a pause; in a larger one they take
turns, and each is open for new work for `reach_s` after its turn.
"""

from typing import Final

IDLE_POLLS_PER_S: Final = 300.0
"""Polls a second of executors that run nothing, at some 0.8 ms of the leader's thread each."""
BURST: Final = 400
"""Polls that may leave at once after a pause: all of a fleet that needs no turns, at the start of a
term."""


class IdlePollLimiter:
    """Gives each poll a time at which it may leave, in the order in which they ask."""

    def __init__(self, *, polls_per_s: float = IDLE_POLLS_PER_S, burst: int = BURST) -> None:
        """Allow so many polls a second, and `burst` of them at once after a pause."""
        self._interval_s = 1.0 / polls_per_s
        self._burst_s = burst / polls_per_s
        self._next_at = float("-inf")

    def next_slot(self, now: float) -> float:
        """Return when the poll that asks now may leave; `now` or earlier means at once."""
        slot_at = max(self._next_at, now - self._burst_s + self._interval_s)
        self._next_at = slot_at + self._interval_s
        return slot_at
