"""Registry of invariants and the function that checks a history against them.

An invariant is a pure function from a history to its violations, each naming the events involved.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from galenastall.proof.history import History, HistoryEvent
from galenastall.state.registry import Registry


@dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """One breach of one invariant."""

    invariant: str
    detail: str
    events: tuple[HistoryEvent, ...] = ()
    """The events that together violate it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Time limits, in seconds, that invariants allow."""

    leaving_s: float = 3.0
    """After this time a leaving upstream gets no new work."""
    in_force_s: float = 5.0
    """An accepted change is in force on every reachable entry host within this."""


Finding = tuple[str, tuple[HistoryEvent, ...]]
"""Description of the violation, and the events that show it."""
Invariant = Callable[[History, Bounds], Iterator[Finding]]

INVARIANTS: Final[Registry[Invariant]] = Registry(kind="invariant")


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Result of a check."""

    violations: tuple[Violation, ...]
    checked: tuple[str, ...]
    """Names of the invariants that were checked."""
    events: int
    counts_by_kind: dict[str, int] = field(default_factory=dict)
    """Number of events of each kind; a check over no events proves nothing."""

    @property
    def holds(self) -> bool:
        """Whether no invariant is broken."""
        return not self.violations


def check(
    history: History, *, bounds: Bounds | None = None, names: Iterable[str] | None = None
) -> Verdict:
    """Check a history against the named invariants, or against all by default.

    A history with dropped events can't prove correctness, so it is itself a violation.
    """
    limits = bounds or Bounds()
    checked = tuple(names) if names is not None else INVARIANTS.names()
    violations = [
        Violation(invariant=name, detail=detail, events=events)
        for name in checked
        for detail, events in INVARIANTS.get(name)(history, limits)
    ]
    if history.dropped:
        detail = f"{history.dropped} events were dropped: the recorder was too small"
        violations.insert(0, Violation(invariant="history-whole", detail=detail))
    counts: dict[str, int] = {}
    for event in history.events:
        kind = type(event).__name__
        counts[kind] = counts.get(kind, 0) + 1
    return Verdict(
        violations=tuple(violations),
        checked=checked,
        events=len(history.events),
        counts_by_kind=counts,
    )
