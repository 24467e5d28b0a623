"""Typed events of a concurrent run, a bounded recorder and the JSON lines format.

The events are observed outside the system under test (load clients, stand-ins, the driver), so that
a checker need not trust the system's own reports. Times are wall seconds of one machine.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

import msgspec

from galenastall.state.errors import GalenastallError
from galenastall.state.ids import HostId, JobId, OwnableId, RequestId, TaskId
from galenastall.state.outcomes import Outcome
from galenastall.state.registry import Registry
from galenastall.state.resources import Resources

HISTORY_EVENTS: Final[Registry[type[Any]]] = Registry(kind="history event")
"""Event classes by their type name in JSON lines."""

DEFAULT_LIMIT: Final = 2_000_000
"""Default maximum number of events that a recorder keeps."""

FOR_EVER: Final = 1e12
"""End time in wall seconds for intervals that never end; finite, so that JSON can encode it."""

E = TypeVar("E", bound="HistoryEvent")
T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryEvent:
    """One observation."""

    at: float
    """Wall time in seconds."""


@HISTORY_EVENTS.register("request-sent")
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSent(HistoryEvent):
    """A client began to send a request to an entry host."""

    request_id: RequestId
    entry_host: HostId
    operation: str = ""
    idempotent: bool = True
    key: str = ""
    """Idempotency key; requests with the same key are one request to the caller."""
    expected_digest: str = ""
    """Digest of the complete expected answer."""
    team: str = ""


@HISTORY_EVENTS.register("request-answered")
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestAnswered(HistoryEvent):
    """A client read the complete answer to a request."""

    request_id: RequestId
    outcome: Outcome
    answered_id: RequestId
    """The request id that the answer names."""
    digest: str = ""
    """Digest of the body as read; checked only for `done`."""


@HISTORY_EVENTS.register("request-cut")
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestCut(HistoryEvent):
    """A client's connection ended before the answer was complete, and the client detected it."""

    request_id: RequestId
    reason: str = ""


@HISTORY_EVENTS.register("run-began")
@dataclass(frozen=True, kw_only=True, slots=True)
class RunBegan(HistoryEvent):
    """An executor began to run a request."""

    executor: HostId
    request_id: RequestId
    attempt: str


@HISTORY_EVENTS.register("run-ended")
@dataclass(frozen=True, kw_only=True, slots=True)
class RunEnded(HistoryEvent):
    """An executor ended a run."""

    executor: HostId
    request_id: RequestId
    attempt: str
    ok: bool = True


@HISTORY_EVENTS.register("worker-known")
@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerKnown(HistoryEvent):
    """A worker's capacity."""

    worker: HostId
    capacity: Resources


@HISTORY_EVENTS.register("task-started")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskStarted(HistoryEvent):
    """A worker began to run a task."""

    worker: HostId
    task_id: TaskId
    attempt: int
    reserved: Resources
    """Resources that the owner reserved for it."""
    real: Resources
    """Resources that it actually uses."""


@HISTORY_EVENTS.register("task-resized")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskResized(HistoryEvent):
    """A running task's resource use changed: it grew or was throttled."""

    worker: HostId
    task_id: TaskId
    real: Resources


@HISTORY_EVENTS.register("task-ended")
@dataclass(frozen=True, kw_only=True, slots=True)
class TaskEnded(HistoryEvent):
    """A task no longer runs on a worker."""

    worker: HostId
    task_id: TaskId
    attempt: int
    cause: str = ""


@HISTORY_EVENTS.register("job-accepted")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted(HistoryEvent):
    """A caller received the acceptance of its job."""

    job_id: JobId
    idempotent: bool = True
    """Whether a task that ran may run again."""


@HISTORY_EVENTS.register("job-ended")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobEnded(HistoryEvent):
    """A caller received a job's final state."""

    job_id: JobId
    state: str = ""


@HISTORY_EVENTS.register("job-cancelled")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled(HistoryEvent):
    """A caller received confirmation that a job is cancelled."""

    job_id: JobId


@HISTORY_EVENTS.register("job-seen")
@dataclass(frozen=True, kw_only=True, slots=True)
class JobSeen(HistoryEvent):
    """An entry host was queried about a job that has not ended."""

    job_id: JobId
    known: bool
    """False if an entry host that was able to answer reports that there is no such job."""


@HISTORY_EVENTS.register("setting-accepted")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingAccepted(HistoryEvent):
    """An operator received the acceptance of a change."""

    change_id: str
    path: str
    offset: int
    """Offset of the change, which becomes the path's revision."""


@HISTORY_EVENTS.register("settings-in-force")
@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsInForce(HistoryEvent):
    """An entry host reported the settings that it has in force."""

    entry_host: HostId
    offset: int
    digest: str
    revisions_by_path: dict[str, int] = field(default_factory=dict)
    """Revision of each queried path; empty if none was queried."""


@HISTORY_EVENTS.register("ownership-act")
@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipAct(HistoryEvent):
    """An entry host acted as an owner from `at` until `until`."""

    entry_host: HostId
    ownable: OwnableId
    epoch: int
    until: float
    """Last wall time at which the act may take effect: its not-after time."""


@HISTORY_EVENTS.register("planned-stop")
@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedStop(HistoryEvent):
    """An entry host was asked to stop gracefully at `at` and had exited at `until`."""

    entry_host: HostId
    until: float


@HISTORY_EVENTS.register("upstream-leaving")
@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamLeaving(HistoryEvent):
    """An executor was declared leaving."""

    executor: HostId
    back_at: float | None = None
    """Wall time at which it may get new work again."""


@HISTORY_EVENTS.register("fault")
@dataclass(frozen=True, kw_only=True, slots=True)
class Fault(HistoryEvent):
    """The driver injected a fault into a host (or the log) from `at` until `until`."""

    host: str
    kind: str
    until: float


@HISTORY_EVENTS.register("run-closed")
@dataclass(frozen=True, kw_only=True, slots=True)
class RunClosed(HistoryEvent):
    """The observers stopped after the driver had waited for all obtainable answers."""


class HistoryFormatError(GalenastallError):
    """A line is not a valid history event."""

    def __init__(self, *, line: int, detail: str) -> None:
        """Name the line (starting at 1) and the problem."""
        super().__init__(f"history line {line}: {detail}")
        self.line = line


@dataclass(frozen=True, kw_only=True, slots=True)
class History:
    """Events in time order; equal times keep the order in which they were recorded."""

    events: tuple[HistoryEvent, ...]
    dropped: int = 0
    """Events that exceeded the limit; a history with dropped events proves nothing."""

    def of(self, kind: type[E]) -> Iterator[E]:
        """Yield the events of one kind in time order."""
        return (event for event in self.events if isinstance(event, kind))

    def grouped(self, kind: type[E], key: Callable[[E], T]) -> dict[T, list[E]]:
        """Return the events of one kind by key, each list in time order."""
        groups: dict[T, list[E]] = {}
        for event in self.of(kind):
            groups.setdefault(key(event), []).append(event)
        return groups


class HistoryRecorder:
    """Collects events up to a limit and counts those beyond it."""

    def __init__(self, *, limit: int = DEFAULT_LIMIT) -> None:
        """Create an empty recorder that keeps at most `limit` events."""
        self._limit = limit
        self._events: list[HistoryEvent] = []
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._events)

    def record(self, event: HistoryEvent) -> None:
        """Keep the event, or count it as dropped when the recorder is full."""
        if len(self._events) < self._limit:
            self._events.append(event)
            return
        self._dropped += 1

    def extend(self, events: Iterable[HistoryEvent]) -> None:
        """Record each of `events`."""
        for event in events:
            self.record(event)

    def note_dropped(self, count: int) -> None:
        """Count events that an observer lost before recording them here."""
        self._dropped += count

    def history(self) -> History:
        """Return what was recorded so far, in time order."""
        return History(
            events=tuple(sorted(self._events, key=lambda event: event.at)), dropped=self._dropped
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Line:
    type: str
    event: msgspec.Raw


def write_lines(events: Iterable[HistoryEvent]) -> Iterator[bytes]:
    """Yield one JSON line for each event, with its newline."""
    names_by_type = {kind: name for name, kind in HISTORY_EVENTS}
    for event in events:
        body = msgspec.Raw(msgspec.json.encode(event))
        yield msgspec.json.encode(_Line(type=names_by_type[type(event)], event=body)) + b"\n"


def read_lines(lines: Iterable[bytes]) -> Iterator[HistoryEvent]:
    """Yield the events of JSON lines; raises HistoryFormatError naming an invalid line."""
    for number, text in enumerate(lines, start=1):
        yield _read_line(number, text)


def _read_line(number: int, text: bytes) -> HistoryEvent:
    try:
        line = msgspec.json.decode(text, type=_Line)
    except msgspec.MsgspecError as error:
        raise HistoryFormatError(line=number, detail=str(error)) from None
    if line.type not in HISTORY_EVENTS:
        raise HistoryFormatError(line=number, detail=f"unknown event {line.type!r}")
    try:
        event: HistoryEvent = msgspec.json.decode(line.event, type=HISTORY_EVENTS.get(line.type))
    except msgspec.MsgspecError as error:
        raise HistoryFormatError(line=number, detail=f"{line.type}: {error}") from None
    return event
