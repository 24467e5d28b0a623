"""Bounds how many log lines a second each kind of event writes, and counts all events."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Any, Final

from galenastall.protocol.clock import Clock
from galenastall.transport.logs import Level, Recorder
from galenastall.transport.metrics import Counter, Metrics

LINES_PER_SECOND: Final = 150.0
"""Of one kind; three times what the busiest kind writes at the size of today (50 starts a second
on one leader), so that a storm of one kind costs at most 2% of a core."""
EXPLAINING_LINES_PER_SECOND: Final = 1_000.0
"""Of the kinds that explain a refusal or a failed job: the last to be left out."""
BURST_S: Final = 2.0
"""How many seconds' lines may come at once."""
EXPLAINING_KINDS: Final = frozenset({"job.refused", "job.ended", "job.withdrawn", "leader.lost"})


class LineBudget:
    """A token bucket for each kind of event."""

    def __init__(self, *, clock: Clock) -> None:
        """Refill by `clock`."""
        self._clock = clock
        self._left_by_kind: dict[str, tuple[float, float]] = {}
        self.suppressed_by_kind: defaultdict[str, int] = defaultdict(int)
        """Lines that were left out since `take_left_out`."""

    def allows(self, kind: str) -> bool:
        """Whether one more line of this kind may be written; counts it if not."""
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
        """Return and forget how many lines of each kind were left out."""
        found = dict(self.suppressed_by_kind)
        self.suppressed_by_kind.clear()
        return found


class BudgetedRecorder(Recorder):
    """A recorder whose lines stay within a budget and whose events are counted."""

    def __init__(self, *, budget: LineBudget, metrics: Metrics, **options: Any) -> None:
        """Take the options of Recorder besides."""
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
        kept = level if self._budget.allows(step) else Level.DETAIL
        super().record(step, peer=peer, subjects=subjects, cause=cause, fields=fields, level=kept)

    def report_suppressed(self, dropped_writes: int) -> None:
        """Write one line on what was left out, if anything was."""
        suppressed = self._budget.take_suppressed()
        if not suppressed and not dropped_writes:
            return
        fields = {kind: str(count) for kind, count in suppressed.items()}
        super().record(
            "log.left_out",
            cause="over the budget of their kind, or not read in time",
            fields={**fields, "dropped_writes": str(dropped_writes)},
            level=Level.WARNING,
        )
