"""Time line events and their hybrid logical clock."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class HybridTime:
    """Hybrid logical clock: wall milliseconds, then a counter."""

    wall_ms: int
    counter: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineEvent:
    """One action or observation of a process."""

    at: HybridTime
    process: str
    """Host id of the process that recorded it."""
    step: str
    """layer.verb, as in errors and log lines."""
    peer: str = ""
    subjects: tuple[str, ...] = ()
    """Ids that it concerns: request, job, task, host, change, ownable."""
    cause: str = ""
    """Short cause."""
    fields: dict[str, str] = field(default_factory=dict)
