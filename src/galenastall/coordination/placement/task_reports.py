"""Reports of a worker owner to a job shard's owner, and the attempt numbers that order them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from galenastall.state.ids import Epoch, HostId, TaskId

ATTEMPTS_PER_EPOCH: Final = 1 << 24
"""Attempt numbers available to one task under one shard epoch."""
ATTEMPTS_PER_ASSIGNMENT: Final = 64
"""Attempt numbers that an assignee may use on its own, one for each time it preempts the task."""


class ReportKind(StrEnum):
    """Status of an attempt at a task."""

    QUEUED = "queued"
    """It waits at the assignee and was not sent to a worker."""
    RUNNING = "running"
    """A worker reported that it runs."""
    UNKNOWN = "unknown"
    """It was sent and may run; its capacity stays reserved."""
    ORPHANED = "orphaned"
    """It was on a worker that the assignee no longer owns; the worker's next owner knows more."""
    RETURNED = "returned"
    """Provably never started under this attempt; the assignee no longer has it."""
    DONE = "done"
    FAILED = "failed"
    """It ran and failed."""
    LOST = "lost"
    """It may have run and provably no longer runs."""
    STOPPED = "stopped"
    """It was running and was stopped because its job was cancelled."""
    REFUSED = "refused"
    """Provably never started, and impossible to start."""


ENDING_KINDS: Final = frozenset(
    {
        ReportKind.RETURNED,
        ReportKind.DONE,
        ReportKind.FAILED,
        ReportKind.LOST,
        ReportKind.STOPPED,
        ReportKind.REFUSED,
    }
)
"""Kinds that finish the attempt."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskReport:
    """The latest status of one attempt at one task."""

    task_id: TaskId
    attempt: int
    kind: ReportKind
    worker_id: HostId = HostId("")
    detail: str = ""
    give_up: bool = False
    """Whether not to retry: the job failed on several workers, or the task fits no worker."""
    need_mb: int = 0
    """Memory measured at an overrunning attempt, in MB; 0 if it stayed within its declared size."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskAttempt:
    """One attempt at one task."""

    task_id: TaskId
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HostCensus:
    """All reports of one entry host for a shard, and the workers that they cover."""

    host_id: HostId
    reports: tuple[TaskReport, ...]
    workers: tuple[HostId, ...]
    """Owned workers that were listed, or whose leases provably expired, since it owns them."""


def first_attempt(epoch: Epoch) -> int:
    """Return the first attempt number under a shard epoch.

    Numbers under a later epoch are higher than all earlier ones, so that a new shard owner, which
    can't know how many attempts there were, never reuses a number.
    """
    return epoch * ATTEMPTS_PER_EPOCH


def next_attempt(tries: int) -> int:
    """Return the first number, within an epoch, of the assignment after that of `tries`."""
    return (tries // ATTEMPTS_PER_ASSIGNMENT + 1) * ATTEMPTS_PER_ASSIGNMENT


def describe_attempt(attempt: int) -> str:
    """Return an attempt's number as text: epoch, assignment under it, and run within that."""
    epoch, tries = divmod(attempt, ATTEMPTS_PER_EPOCH)
    assignment, run = divmod(tries, ATTEMPTS_PER_ASSIGNMENT)
    return f"{epoch}.{assignment}.{run}"
