"""What the system asks of the platform: one narrow interface for each thing that it gives.

Wire formats stay behind these; adapters are filed in `PLATFORM_ADAPTERS` by the name that a
process's settings give.
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
    """Oldest offset that the stream still keeps."""
    end: Offset
    """Offset that the next append will get."""


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

        TRIMMED if `start` is older than what the log keeps; detail then carries the start.
        """


class HostListService(Protocol):
    """The platform's lagging list of hosts."""

    async def fetch(
        self,
        *,
        data_centre: DataCentre | None = None,
        kind: HostKind | None = None,
        known_version: str | None = None,
    ) -> Result[HostListing, StepError]:
        """Return the list as the platform now shows it, cut to a data centre and a kind of host.

        An answer may be unchanged, without rows, if `known_version` is what the same cut had. A
        platform that knows no versions or no cuts answers with more rows than asked for.
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
    """Wall time after which a worker that can compare refuses the batch."""
    starts: tuple[StartRequest, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskAnswer:
    """A worker's word on one task of a batched call."""

    task_id: TaskId
    ok: bool
    detail: str = ""


TaskChange = tuple[TaskId, float, Resources]
"""A listed task whose lease (wall seconds) or usage changed; a tuple, since bytes count."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerListing:
    """What a worker runs and what it finished but has not had acknowledged."""

    running: tuple[RunningTask, ...]
    finished: tuple[FinishedTask, ...]
    used: Resources = field(default_factory=Resources)
    """Measured usage of the whole worker; lags."""
    highest_epoch: Epoch = Epoch(0)
    """Highest epoch in any command; 0 from workers that can't compare epochs."""
    cursor: str = ""
    """Names what runs and what ended as listed here; empty from workers that keep none."""
    base: str = ""
    """The cursor on whose listing this one builds; empty if `running` is all that runs."""
    changed: tuple[TaskChange, ...] = ()
    """With a base: tasks listed there whose lease or usage is another now."""
    gone: tuple[TaskId, ...] = ()
    """With a base: tasks listed there that don't run any more."""


class WorkerService(Protocol):
    """The calls of one worker, each batched over tasks."""

    async def start(
        self, *, address: str, batch: StartBatch
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Start tasks. A worker starts what it is given, whether it fits or not."""

    async def renew(
        self, *, address: str, tasks: Sequence[TaskId], lease_until: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Extend leases of running tasks; starts nothing."""

    async def checkpoint(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Save the tasks' state and stop them; they can go on elsewhere."""

    async def throttle(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch, share: float
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Limit the tasks to `share` (0 to 1) of what they were reserved."""

    async def stop(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        """Stop the tasks for good."""

    async def acknowledge(
        self, *, address: str, tasks: Sequence[TaskId]
    ) -> Result[None, StepError]:
        """Let the worker forget finished tasks whose end is durable."""

    async def listing(self, *, address: str, since: str = "") -> Result[WorkerListing, StepError]:
        """Return what runs and what finished, or what changed since the cursor `since`.

        A worker that does not know the cursor any more, or knows none, answers whole.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamCall:
    """One attempt at one request."""

    request_id: RequestId
    attempt_id: AttemptId
    epoch: Epoch
    not_after: float
    """Wall time in seconds by which the executor should have answered."""
    content_type: str = "application/octet-stream"
    operation: str = ""
    """Path of the operation on the executor, without the leading slash."""
    content_length: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamAnswer:
    """Head of an executor's answer; the body follows as a stream."""

    outcome: Outcome
    attempt_id: AttemptId
    """As the executor echoed it; must equal the call's."""
    status: int
    content_type: str
    body: AsyncIterator[bytes]
    """Raises UpstreamCutError if the answer breaks off before its end."""
    leaving: bool = False
    """The executor said that it is leaving."""


class UpstreamCutError(Exception):
    """An executor's answer broke off: it is not whole."""


class UpstreamService(Protocol):
    """The one call of an executor."""

    def call(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> AbstractAsyncContextManager[Result[UpstreamAnswer, StepError]]:
        """Send the request and stream its answer.

        UNREACHABLE, REFUSED: it did not run. TIMEOUT, CUT: it may have run.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """The adapters of one entry host."""

    log: LogService
    host_list: HostListService
    workers: WorkerService
    upstreams: UpstreamService
