"""What is known of an executor's clock, and so when its leases end.

Deadlines are absolute on the executor's clock. An order never names a deadline later than that
clock's reading at the leader's last confirmation by the store, plus the lease. So whoever leads
next knows when all leases of earlier leaders have ended, even of executors it can't reach.
"""

from galenastall.coordination.cell.timings import CellTimings


def longest_lease_s(timings: CellTimings) -> float:
    """Return for how long at most a lease lasts once it is granted, in leader's time."""
    return timings.lease_s / (1.0 - timings.clock_rate_slack) + timings.lease_slack_s


class LeaseClock:
    """Samples of one executor's clock against the leader's."""

    def __init__(self, *, timings: CellTimings, unknown_until: float) -> None:
        """`unknown_until`: when leases that others named have surely ended, in leader's time."""
        self._timings = timings
        self._unknown_until = unknown_until
        self._clock_ms: int | None = None
        self._received_at = 0.0
        self._promised_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the executor has answered since this leader took over."""
        return self._clock_ms is not None

    def observe(self, *, clock_ms: int, received_at: float) -> None:
        """Take in a reading that came with an answer received at `received_at`."""
        if self._clock_ms is None or received_at >= self._received_at:
            self._clock_ms = clock_ms
            self._received_at = received_at

    def assume_lease_granted(self, at: float) -> None:
        """Count no lease as lapsed that may have been granted at `at`, by whatever clock."""
        self._unknown_until = max(self._unknown_until, at + longest_lease_s(self._timings))

    @property
    def promised_ms(self) -> int:
        """The latest deadline that was named."""
        return self._promised_ms

    def deadline_ms(self, *, confirmed_at: float, now: float) -> int | None:
        """Return the deadline to name now, or None before the first answer.

        It reaches one renewal beyond `now`, and never further than one lease beyond the store's
        last confirmation. A pause of this process between the readings makes the result earlier,
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
        """Whether nothing can run there any more under any lease that was named."""
        timings = self._timings
        if self._clock_ms is None:
            return now >= self._unknown_until
        elapsed_s = max(0.0, now - self._received_at) * (1.0 - timings.clock_rate_slack)
        earliest_ms = self._clock_ms + elapsed_s * 1000.0
        lease_over = earliest_ms > self._promised_ms + timings.lease_slack_s * 1000.0
        return lease_over and now >= self._unknown_until
