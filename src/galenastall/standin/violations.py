"""Invariant violations that the stand-ins detect on the receiving side."""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

MAX_KEPT: Final = 10_000
"""Violations kept in full; further ones are only counted."""


class ViolationKind(StrEnum):
    """Invariants whose violation a stand-in can detect."""

    OVERCOMMIT = "overcommit"
    """A worker's reservations exceed its capacity."""
    DOUBLE_RUN = "double_run"
    """A task was started while it was running, on the same or another worker."""
    REPEATED_NON_IDEMPOTENT = "repeated_non_idempotent"
    """A non-idempotent task was started again after a run that was not checkpointed."""
    MEMORY_EXHAUSTED = "memory_exhausted"
    """Real memory usage exceeds a worker's memory."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """One invariant violation."""

    kind: ViolationKind
    host: str
    subject: str
    """The task or request."""
    at: float
    """Wall time in seconds."""
    detail: str = ""


class ViolationLog:
    """Violations in order of detection."""

    def __init__(self) -> None:
        self.kept: list[Violation] = []
        self.counts_by_kind: Counter[str] = Counter()

    def add(self, violation: Violation) -> None:
        """Count a violation and keep it unless MAX_KEPT are stored."""
        self.counts_by_kind[violation.kind.value] += 1
        if len(self.kept) < MAX_KEPT:
            self.kept.append(violation)

    def of_kind(self, kind: ViolationKind) -> tuple[Violation, ...]:
        """Return the kept violations of a kind."""
        return tuple(violation for violation in self.kept if violation.kind is kind)
