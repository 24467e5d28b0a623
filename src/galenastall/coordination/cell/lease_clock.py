"""Estimates an executor's clock, and so when its leases end.

Deadlines are absolute times on the executor's clock. An order never carries a deadline later than
that clock's reading at the store's last confirmation of the leader, plus the lease. So the next
leader knows when all leases of earlier leaders have ended, even on executors it can't reach.
"""

from galenastall.coordination.cell.timings import CellTimings


def longest_lease_s(timings: CellTimings) -> float:
    """Return the maximum duration of a lease after it was granted, on the leader's clock."""
    return timings.lease_s / (1.0 - timings.clock_rate_slack) + timings.lease_slack_s


class LeaseClock:
    """Relates one executor's clock to the leader's by samples from answers."""

    def __init__(self, *, timings: CellTimings, unknown_until: float) -> None:
        """`unknown_until`: leader's time by which leases granted by others have certainly ended."""
        self._timings = timings
        self._unknown_until = unknown_until
        self._clock_ms: int | None = None
        self._received_at = 0.0
        self._promised_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the executor has answered this leader."""
        return self._clock_ms is not None

    def observe(self, *, clock_ms: int, received_at: float) -> None:
        """Record a clock reading from an answer received at `received_at`."""
        if self._clock_ms is None or received_at >= self._received_at:
            self._clock_ms = clock_ms
            self._received_at = received_at

    def assume_lease_granted(self, at: float) -> None:
        """Assume that a lease was granted at `at`, by any clock, and don't report it as expired."""
        self._unknown_until = max(self._unknown_until, at + longest_lease_s(self._timings))

    @property
    def promised_ms(self) -> int:
        """The latest deadline sent to the executor, on its clock."""
        return self._promised_ms

    def deadline_ms(self, *, confirmed_at: float, now: float) -> int | None:
        """Return the deadline to send now, or None before the first answer.

        It is one renewal period after `now`, but never more than one lease after the store's last
        confirmation. If this process pauses between the clock readings, the result is earlier,
        never later.
        """
        if self._clock_ms is None:
            return None
        timings = self._timings
        until = min(now + timings.renewal_s, confirmed_at + timings.lease_s)
        deadline = int(self._clock_ms + (until - self._received_at) * 1000.0)
        self._promised_ms = max(self._promised_ms, deadline)
        return deadline

    def has_lapsed(self, now: float) -> bool:
        """Whether every lease granted to the executor has certainly expired."""
        timings = self._timings
        if self._clock_ms is None:
            return now >= self._unknown_until
        elapsed_s = max(0.0, now - self._received_at) * (1.0 - timings.clock_rate_slack)
        earliest_ms = self._clock_ms + elapsed_s * 1000.0
        lease_over = earliest_ms > self._promised_ms + timings.lease_slack_s * 1000.0
        return lease_over and now >= self._unknown_until
