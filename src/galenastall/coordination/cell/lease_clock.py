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
        self._is_held = False

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

    def limit_earlier_leases(self, until: float) -> None:
        """Record that leases of earlier leaders have certainly ended by `until`."""
        self._unknown_until = min(self._unknown_until, until)

    @property
    def is_held(self) -> bool:
        """Whether no lease is extended."""
        return self._is_held

    def hold(self) -> None:
        """Extend no lease until `release`."""
        self._is_held = True

    def release(self) -> None:
        """Extend leases again."""
        self._is_held = False

    @property
    def promised_ms(self) -> int:
        """The latest deadline sent to the executor, on its clock."""
        return self._promised_ms

    def deadline_ms(self, *, confirmed_at: float, now: float) -> int | None:
        """Return the deadline to send now; None if none can be sent.

        There is none before the first answer. While leases are held it is the last one sent.
        Otherwise it is one renewal period after `now`, but never more than one lease after the
        store's last confirmation. If this process pauses between the clock readings, the result is
        earlier, never later.
        """
        if self._clock_ms is None:
            return None
        if self._is_held:
            return self._promised_ms or None
        timings = self._timings
        until = min(now + timings.renewal_s, confirmed_at + timings.lease_s)
        deadline = int(self._clock_ms + (until - self._received_at) * 1000.0)
        self._promised_ms = max(self._promised_ms, deadline)
        return deadline

    def start_deadline_ms(self, *, confirmed_at: float, now: float) -> int | None:
        """Return the deadline to send with a start, which extends the lease only where it is short.

        Otherwise a start that an executor leaves without an answer, as it is gone, keeps all its
        runs for longer than the last poll that it answered does.
        """
        if self._clock_ms is None:
            return None
        timings = self._timings
        left_s = (self._promised_ms - self._clock_ms) / 1000.0 - (now - self._received_at)
        if left_s >= timings.renewal_s - timings.reach_s:
            return self._promised_ms
        return self.deadline_ms(confirmed_at=confirmed_at, now=now)

    @property
    def lapses_at(self) -> float:
        """Leader's time by which every lease granted to the executor has certainly expired."""
        if self._clock_ms is None:
            return self._unknown_until
        timings = self._timings
        left_s = (self._promised_ms - self._clock_ms) / 1000.0 + timings.lease_slack_s
        return max(
            self._received_at + left_s / (1.0 - timings.clock_rate_slack), self._unknown_until
        )

    def has_lapsed(self, now: float) -> bool:
        """Whether every lease granted to the executor has certainly expired."""
        return now >= self.lapses_at
