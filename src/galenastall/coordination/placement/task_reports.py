"""What a worker owner tells a job shard's owner, and the attempt numbers that order it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from galenastall.state.ids import Epoch, HostId, TaskId

ATTEMPTS_PER_EPOCH: Final = 1 << 24
"""Attempt numbers of one task under one shard epoch."""
ATTEMPTS_PER_ASSIGNMENT: Final = 64
"""Attempt numbers that an assignee may use by itself, each time that a task makes way there."""


class ReportKind(StrEnum):
    """What became of an attempt at a task."""

    QUEUED = "queued"
    """It waits at the assignee and was not sent to a worker."""
    RUNNING = "running"
    """A worker said that it runs."""
    UNKNOWN = "unknown"
    """It was sent and may run; its capacity stays reserved."""
    ORPHANED = "orphaned"
    """It was on a worker that the assignee no longer owns; the next owner knows more."""
    RETURNED = "returned"
    """Proved never started under this attempt; the assignee no longer has it."""
    DONE = "done"
    FAILED = "failed"
    """It ran and said that it failed."""
    LOST = "lost"
    """It may have run and provably runs no more."""
    STOPPED = "stopped"
    """It was running and was stopped because its job was cancelled."""
    REFUSED = "refused"
    """Proved never started, and it never can be."""


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
"""After one of these the attempt is over."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskReport:
    """The latest word on one attempt at one task."""

    task_id: TaskId
    attempt: int
    kind: ReportKind
    worker_id: HostId = HostId("")
    detail: str = ""
    give_up: bool = False
    """With FAILED: the owner saw the job fail on several different workers."""
    need_mb: int = 0
    """Memory that an overrunning attempt was seen to need, in MB; 0 if it kept to its size."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskAttempt:
    """One attempt at one task."""

    task_id: TaskId
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HostCensus:
    """All that one entry host has of a shard, and the workers that it speaks for."""

    host_id: HostId
    reports: tuple[TaskReport, ...]
    workers: tuple[HostId, ...]
    """Owned workers that were listed, or whose leases provably lapsed, since it owns them."""


def first_attempt(epoch: Epoch) -> int:
    """Return the first attempt number under a shard epoch.

    Numbers under a later epoch are higher than all earlier ones, so that a new shard owner that
    can't know how many attempts there were never uses a number again.
    """
    return epoch * ATTEMPTS_PER_EPOCH


def next_attempt(tries: int) -> int:
    """Return the first number, within an epoch, after the assignment that `tries` is of."""
    return (tries // ATTEMPTS_PER_ASSIGNMENT + 1) * ATTEMPTS_PER_ASSIGNMENT


def describe_attempt(attempt: int) -> str:
    """Return an attempt's number in words: epoch, assignment under it, and run within that."""
    epoch, tries = divmod(attempt, ATTEMPTS_PER_EPOCH)
    assignment, run = divmod(tries, ATTEMPTS_PER_ASSIGNMENT)
    return f"{epoch}.{assignment}.{run}"
