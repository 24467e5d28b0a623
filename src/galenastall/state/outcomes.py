"""The four outcomes of a request; an outcome is never guessed."""

from enum import StrEnum


class Outcome(StrEnum):
    """Final outcome of a request or a task attempt."""

    DONE = "done"
    """It ran and the complete response was received."""
    NOT_RUN = "not_run"
    """It provably did not run; never inferred from a time-out."""
    FAILED = "failed"
    """It ran and reported a failure."""
    UNKNOWN = "unknown"
    """It may have run."""
