"""Phases of jobs and tasks, and outcomes of runs."""

from enum import StrEnum


class JobPhase(StrEnum):
    """Phase of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})
"""Phases in which nothing of a job starts any more."""


class TaskPhase(StrEnum):
    """Scheduling phase of a task."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    """A run may exist on the assigned executor."""
    DONE = "done"


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    """By a fault of the task or of its executor; counts as an attempt."""
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease expired."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """It timed out waiting for the other members of its gang."""
    NEVER_STARTED = "never_started"
    """The executor has refused the run or has certainly never received it."""
    LOST = "lost"
    """Its executor's incarnation has ended."""
