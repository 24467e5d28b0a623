"""Limits the log lines per second of each kind of event, and counts all events."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Any, Final

from galenastall.protocol.clock import Clock
from galenastall.transport.logs import Level, Recorder
from galenastall.transport.metrics import Counter, Metrics

LINES_PER_SECOND: Final = 150.0
"""Limit for one kind; three times the rate of the busiest kind at the current fleet size (50 starts
per second on one leader), so that a burst of one kind costs at most 2% of a core."""
EXPLAINING_LINES_PER_SECOND: Final = 1_000.0
"""Higher limit for kinds that explain a rejection or a failed job, so they are suppressed last."""
BURST_S: Final = 2.0
"""Bucket size: how many seconds' worth of lines may be written at once."""
EXPLAINING_KINDS: Final = frozenset({"job.refused", "job.ended", "job.withdrawn", "leader.lost"})


class LineBudget:
    """A token bucket for each kind of event."""

    def __init__(self, *, clock: Clock) -> None:
        """Refill by `clock`."""
        self._clock = clock
        self._left_by_kind: dict[str, tuple[float, float]] = {}
        self.suppressed_by_kind: defaultdict[str, int] = defaultdict(int)
        """Lines suppressed since the last `take_suppressed`."""

    def allows(self, kind: str) -> bool:
        """Return whether a line of this kind may be written; count it as suppressed if not."""
        rate = EXPLAINING_LINES_PER_SECOND if kind in EXPLAINING_KINDS else LINES_PER_SECOND
        now = self._clock.now()
        left, at = self._left_by_kind.get(kind, (rate * BURST_S, now))
        left = min(left + (now - at) * rate, rate * BURST_S)
        is_allowed = left >= 1.0
        self._left_by_kind[kind] = (left - 1.0 if is_allowed else left, now)
        if not is_allowed:
            self.suppressed_by_kind[kind] += 1
        return is_allowed

    def take_suppressed(self) -> dict[str, int]:
        """Return and reset the number of suppressed lines of each kind."""
        found = dict(self.suppressed_by_kind)
        self.suppressed_by_kind.clear()
        return found


class BudgetedRecorder(Recorder):
    """A recorder that limits its log lines to a budget and counts its events."""

    def __init__(self, *, budget: LineBudget, metrics: Metrics, **options: Any) -> None:
        """Accept the options of Recorder as `options`."""
        super().__init__(**options)
        self._budget = budget
        self._events: Counter = metrics.counter(
            "galenastall_events",
            "Events of the log by kind, lines left out included.",
            labels=["kind"],
        )

    def record(
        self,
        step: str,
        *,
        peer: str = "",
        subjects: Sequence[str] = (),
        cause: str = "",
        fields: Mapping[str, str] | None = None,
        level: Level = Level.INFO,
    ) -> None:
        """Count an event, and write its line if the budget of its kind allows it."""
        self._events.add(1, step)
        is_line = level > Level.DETAIL
        kept = level if is_line and self._budget.allows(step) else Level.DETAIL
        super().record(step, peer=peer, subjects=subjects, cause=cause, fields=fields, level=kept)

    def report_suppressed(self, dropped_writes: int) -> None:
        """Write one line that summarizes suppressed and dropped lines, if there were any."""
        suppressed = self._budget.take_suppressed()
        if not suppressed and not dropped_writes:
            return
        fields = {kind: str(count) for kind, count in suppressed.items()}
        super().record(
            "log.left_out",
            cause="over the rate limit of their kind, or dropped because the reader was slow",
            fields={**fields, "dropped_writes": str(dropped_writes)},
            level=Level.WARNING,
        )
