"""Typed events of the time line and their hybrid logical clock."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class HybridTime:
    """Hybrid logical clock: wall milliseconds, then a counter."""

    wall_ms: int
    counter: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineEvent:
    """One thing that a process did or learned."""

    at: HybridTime
    process: str
    """Host id of the process that recorded it."""
    step: str
    """layer.verb, as in errors and log lines."""
    peer: str = ""
    subjects: tuple[str, ...] = ()
    """Ids it is about: request, job, task, host, change, ownable."""
    cause: str = ""
    """Why, in a few words."""
    fields: dict[str, str] = field(default_factory=dict)
