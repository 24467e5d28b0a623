"""Phases of jobs and tasks, and the ways in which a run ends."""

from enum import StrEnum


class JobPhase(StrEnum):
    """What callers are told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})
"""Phases after which nothing of a job starts."""


class TaskPhase(StrEnum):
    """Where a task stands."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    """A run of it may exist on the executor that it is assigned to."""
    DONE = "done"


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    """By its own fault or its executor's; counts as an attempt."""
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease ran out."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """It waited too long for the other members of its gang."""
    NEVER_STARTED = "never_started"
    """The executor is known to have refused it or never to have got it."""
    LOST = "lost"
    """Its executor's incarnation has ended."""
