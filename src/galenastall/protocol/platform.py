"""Interfaces to the platform: one narrow interface for each of its services.

Adapters hide the wire formats and are registered in `PLATFORM_ADAPTERS` under the name that the
process settings use.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from returns.result import Result

from galenastall.state.errors import StepError
from galenastall.state.hosts import HostKind, HostListing
from galenastall.state.ids import (
    AttemptId,
    DataCentre,
    Epoch,
    HostId,
    Offset,
    RequestId,
    StreamName,
    TaskId,
)
from galenastall.state.outcomes import Outcome
from galenastall.state.registry import Registry
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskSpec

PLATFORM_ADAPTERS: Final[Registry[Any]] = Registry(kind="platform adapter")


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """One entry of a stream; `text` is what was appended."""

    offset: Offset
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LogPage:
    """The answer to a read."""

    entries: tuple[LogEntry, ...]
    start: Offset
    """Oldest offset still kept in the stream."""
    end: Offset
    """Offset of the next append."""


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(
        self, *, stream: StreamName, texts: Sequence[str]
    ) -> Result[Offset, StepError]:
        """Append all texts at consecutive offsets as one append; return the first offset.

        TIMEOUT or CUT: it may have been appended. UNREACHABLE, REFUSED, UNAVAILABLE: it was not.
        """

    async def read(
        self, *, stream: StreamName, start: Offset, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, StepError]:
        """Return entries from `start`, waiting up to `wait_s` for the first one.

        TRIMMED if `start` is older than the oldest entry; `detail` then holds that offset.
        """


class HostListService(Protocol):
    """The platform's list of hosts, which lags."""

    async def fetch(
        self,
        *,
        data_centre: DataCentre | None = None,
        kind: HostKind | None = None,
        known_version: str | None = None,
    ) -> Result[HostListing, StepError]:
        """Return the current list, filtered by data centre and kind of host.

        An answer may be "unchanged", without rows, if `known_version` is still the version for the
        same filter. A platform without versions or filters returns more rows than requested.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRequest:
    """One task to start."""

    task: TaskSpec
    reserved: Resources
    lease_until: float
    """Wall time in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartBatch:
    """All starts of one decision for one worker."""

    owner: HostId
    epoch: Epoch
    not_after: float
    """Wall time in seconds after which a worker that supports it rejects the batch."""
    starts: tuple[StartRequest, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskAnswer:
    """A worker's answer for one task of a batched call."""

    task_id: TaskId
    ok: bool
    detail: str = ""


TaskChange = tuple[TaskId, float, Resources]
"""A listed task whose lease (wall seconds) or usage changed; a tuple, to keep messages small."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerListing:
    """The tasks that a worker runs, and finished ones that are not acknowledged yet."""

    running: tuple[RunningTask, ...]
    finished: tuple[FinishedTask, ...]
    used: Resources = field(default_factory=Resources)
    """Measured usage of the whole worker; lags."""
    highest_epoch: Epoch = Epoch(0)
    """Highest epoch of any command; 0 from workers without epoch checks."""
    cursor: str = ""
    """Identifies the state listed here; empty from workers without cursors."""
    base: str = ""
    """Cursor of the listing that this one is based on; empty if `running` is complete."""
    changed: tuple[TaskChange, ...] = ()
    """With a base: tasks listed there whose lease or usage has changed."""
    gone: tuple[TaskId, ...] = ()
    """With a base: tasks listed there that no longer run."""


class WorkerService(Protocol):
    """The calls of one worker, each batched over tasks."""

    async def start(
        self, *, address: str, batch: StartBatch
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Start tasks. A worker starts all of them, even beyond its capacity."""

    async def renew(
        self, *, address: str, tasks: Sequence[TaskId], lease_until: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Extend leases of running tasks; starts nothing."""

    async def checkpoint(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Save the tasks' state and stop them; they can resume on another worker."""

    async def throttle(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch, share: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Limit the tasks to `share` (0 to 1) of their reservation."""

    async def stop(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Stop the tasks permanently."""

    async def acknowledge(
        self, *, address: str, tasks: Sequence[TaskId]
    ) -> Result[None, StepError]:
        """Let the worker discard finished tasks whose end is durable."""

    async def listing(self, *, address: str, since: str = "") -> Result[WorkerListing, StepError]:
        """Return running and finished tasks, or the changes since the cursor `since`.

        A worker that no longer knows the cursor, or has none, returns the complete listing.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamCall:
    """One attempt of a request."""

    request_id: RequestId
    attempt_id: AttemptId
    epoch: Epoch
    not_after: float
    """Wall time in seconds by which the executor should respond."""
    content_type: str = "application/octet-stream"
    operation: str = ""
    """Path of the operation on the executor, without the leading slash."""
    content_length: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamAnswer:
    """Head of an executor's response; the body follows as a stream."""

    outcome: Outcome
    attempt_id: AttemptId
    """As echoed by the executor; must equal that of the call."""
    status: int
    content_type: str
    body: AsyncIterator[bytes]
    """Raises UpstreamCutError if the response is cut off before its end."""
    leaving: bool = False
    """The executor reported that it is leaving."""


class UpstreamCutError(Exception):
    """An executor's response was cut off and is incomplete."""


class UpstreamService(Protocol):
    """The call interface of executors."""

    def call(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> AbstractAsyncContextManager[Result[UpstreamAnswer, StepError]]:
        """Send the request and stream its response.

        UNREACHABLE, REFUSED: it did not run. TIMEOUT, CUT: it may have run.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """The adapters of one entry host."""

    log: LogService
    host_list: HostListService
    workers: WorkerService
    upstreams: UpstreamService
