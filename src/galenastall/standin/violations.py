"""What must never happen, as the stand-ins see it from the receiving side."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

MAX_KEPT: Final = 10_000
"""Violations kept in full; beyond it they are only counted."""


class ViolationKind(StrEnum):
    """The promises that a stand-in can see broken."""

    OVERCOMMIT = "overcommit"
    """A worker's reservations exceed what it holds."""
    DOUBLE_RUN = "double_run"
    """A task was started while it ran, on the same worker or another."""
    REPEATED_NON_IDEMPOTENT = "repeated_non_idempotent"
    """A non-idempotent task was started again after a run that was not checkpointed."""
    MEMORY_EXHAUSTED = "memory_exhausted"
    """Real memory usage exceeds what a worker holds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """One broken promise."""

    kind: ViolationKind
    host: str
    subject: str
    """The task or request."""
    at: float
    """Wall time in seconds."""
    detail: str = ""


class ViolationLog:
    """Violations in the order in which they were seen."""

    def __init__(self) -> None:
        self.kept: list[Violation] = []
        self.counts_by_kind: Counter[str] = Counter()

    def add(self, violation: Violation) -> None:
        """Count a violation and keep it if there is room."""
        self.counts_by_kind[violation.kind.value] += 1
        if len(self.kept) < MAX_KEPT:
            self.kept.append(violation)

    def of_kind(self, kind: ViolationKind) -> tuple[Violation, ...]:
        """Return the kept violations of a kind."""
        return tuple(violation for violation in self.kept if violation.kind is kind)
