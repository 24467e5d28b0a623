"""Rate limit for the leader's polls of executors that run nothing.

In a fleet of thousands of executors only a few hundred work. Polling each of them once a second
takes more than the leader's single thread: its heartbeats are late, and its successors repeat the
same polls. So polls of executors without leases share one rate. A fleet that fits into that rate is
polled continuously; in a larger one executors wait for their slot, and each accepts new work for
`reach_s` after its poll.
"""

from typing import Final

IDLE_POLLS_PER_S: Final = 300.0
"""Polls per second of executors that run nothing; each takes the leader's thread some 0.8 ms."""
BURST: Final = 400
"""Polls that may be sent at once after a pause: those of a whole fleet that fits into the rate, at
the start of a term."""


class IdlePollLimiter:
    """Assigns each poll the time at which it may be sent, first come, first served."""

    def __init__(self, *, polls_per_s: float = IDLE_POLLS_PER_S, burst: int = BURST) -> None:
        """Allow `polls_per_s`, and up to `burst` polls at once after a pause."""
        self._interval_s = 1.0 / polls_per_s
        self._burst_s = burst / polls_per_s
        self._next_at = float("-inf")

    def next_slot(self, now: float) -> float:
        """Return when a poll requested now may be sent; `now` or earlier means at once."""
        slot_at = max(self._next_at, now - self._burst_s + self._interval_s)
        self._next_at = slot_at + self._interval_s
        return slot_at
