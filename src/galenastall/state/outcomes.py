"""What became of a request: four outcomes, never guessed."""

from enum import StrEnum


class Outcome(StrEnum):
    """The final word on a request or a task attempt."""

    DONE = "done"
    """It ran and the whole answer is here."""
    NOT_RUN = "not_run"
    """It never left the system: proved, never concluded from a timeout."""
    FAILED = "failed"
    """It ran and said that it failed."""
    UNKNOWN = "unknown"
    """It may have run."""
