"""Records events and writes their log lines in one call; all log lines are JSON.

A line carries the same step, peer, ids and hybrid time as its event on the time line, so that each
can be found from the other.
"""

import logging
import sys
from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import Any, BinaryIO, Final, Protocol, cast

import msgspec
import structlog
import xxhash

from galenastall.coordination.timeline.hybrid_clock import HybridClock
from galenastall.protocol.clock import Clock
from galenastall.state.errors import StepError
from galenastall.state.timeline import HybridTime, TimelineEvent
from galenastall.state.timeline_ring import TimelineRing

_HASH_RANGE: Final = 1 << 32
_NO_FIELDS: Final[dict[str, str]] = {}


class Level(IntEnum):
    """Severity of an event; the numbers are those of the standard library's logging."""

    DETAIL = logging.DEBUG
    """A step of a single request: kept for a sample of requests, separately from other events."""
    DEBUG = DETAIL
    """The name that settings use."""
    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


class LineStream(Protocol):
    """Destination of log lines."""

    def write(self, data: bytes, /) -> int:
        """Accept a line."""

    def flush(self) -> None:
        """Write accepted lines."""


class Recorder:
    """Records events into the ring, and into the log at or above a level."""

    def __init__(
        self,
        *,
        process: str,
        clock: Clock,
        ring: TimelineRing,
        hybrid: HybridClock | None = None,
        log_level: Level = Level.INFO,
        detail_share: float = 1.0,
        stream: LineStream | None = None,
    ) -> None:
        """Record for `process`; without `stream` no lines are written.

        `detail_share` (0 to 1) is the fraction of ids whose details are sampled. The decision is a
        hash of the first id, so that all processes sample the same ids.
        """
        if not 0.0 <= detail_share <= 1.0:
            raise ValueError(f"detail_share: expected 0 to 1, got {detail_share}")
        self._process = process
        self._clock = clock
        self._ring = ring
        self._hybrid = hybrid or HybridClock()
        self._log_level = log_level
        self._detail_limit = int(detail_share * _HASH_RANGE)
        self._log = None if stream is None else _json_logger(stream, log_level)

    @property
    def ring(self) -> TimelineRing:
        """The ring recorded into."""
        return self._ring

    @property
    def hybrid(self) -> HybridClock:
        """The clock that timestamps the events."""
        return self._hybrid

    def record(
        self,
        step: str,
        *,
        peer: str = "",
        subjects: Sequence[str] = (),
        cause: str = "",
        fields: Mapping[str, str] | None = None,
        level: Level = Level.INFO,
    ) -> None:
        """Record one event, and write its log line if its level is enabled; never fails."""
        is_detail = level is Level.DETAIL
        if is_detail and subjects and self._is_sampled_out(subjects[0]):
            return
        event = TimelineEvent(
            at=self._hybrid.tick(self._clock.wall()),
            process=self._process,
            step=step,
            peer=peer,
            subjects=tuple(subjects),
            cause=cause,
            fields=dict(fields) if fields else _NO_FIELDS,
        )
        self._ring.append(event, is_detail=is_detail)
        if self._log is not None and level >= self._log_level:
            self._write(event, level, None)

    def detail(
        self,
        step: str,
        subject: str,
        *,
        peer: str = "",
        cause: str = "",
        fields: dict[str, str] | None = None,
    ) -> None:
        """Record one step of a single request, if the request is sampled."""
        if self._is_sampled_out(subject):
            return
        event = TimelineEvent(
            at=self._hybrid.tick(self._clock.wall()),
            process=self._process,
            step=step,
            peer=peer,
            subjects=(subject,),
            cause=cause,
            fields=_NO_FIELDS if fields is None else fields,
        )
        self._ring.append(event, is_detail=True)
        if self._log is not None and self._log_level <= Level.DETAIL:
            self._write(event, Level.DETAIL, None)

    def record_error(self, error: StepError, exception: BaseException | None = None) -> None:
        """Record a typed error as an event, with the exception's traceback in its log line."""
        event = TimelineEvent(
            at=self._hybrid.tick(self._clock.wall()),
            process=self._process,
            step=error.step,
            peer=error.peer,
            cause=error.detail,
            fields={"reason": error.reason.value},
        )
        self._ring.append(event)
        if self._log is not None:
            self._write(event, Level.ERROR, exception)

    def _is_sampled_out(self, subject: str) -> bool:
        if self._detail_limit >= _HASH_RANGE:
            return False
        return xxhash.xxh32_intdigest(subject.encode()) >= self._detail_limit

    def _write(self, event: TimelineEvent, level: Level, exception: BaseException | None) -> None:
        line: dict[str, Any] = {"at": _timestamp(event.at), "process": event.process}
        if event.peer:
            line["peer"] = event.peer
        if event.subjects:
            line["subjects"] = event.subjects
        if event.cause:
            line["cause"] = event.cause
        line.update(event.fields)
        if exception is not None:
            line["exc_info"] = exception
        assert self._log is not None, "only called with a log"
        try:
            self._log.log(int(level), event.step, **line)
        except OSError:
            # A failing log must not stop the work that it reports on.
            self._log = None


def configure_logging(*, stream: BinaryIO, level: Level = Level.INFO) -> None:
    """Write the log lines of libraries as JSON too; call once per process."""
    formatter = structlog.stdlib.ProcessorFormatter(
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode_text),
        ],
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.stdlib.add_logger_name,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
        ],
    )
    handler = logging.StreamHandler(_TextAdapter(stream))
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(int(level))


def default_stream() -> BinaryIO:
    """Return standard error, where log lines go."""
    return sys.stderr.buffer


class _TextAdapter:
    """Text interface over a byte stream, as the standard library's handler expects."""

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream

    def write(self, text: str) -> None:
        self._stream.write(text.encode("utf-8", "replace"))

    def flush(self) -> None:
        self._stream.flush()


def _json_logger(stream: LineStream, level: Level) -> Any:
    return structlog.wrap_logger(
        structlog.BytesLogger(cast(BinaryIO, stream)),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode_bytes),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(int(level)),
        cache_logger_on_first_use=True,
    )


def _timestamp(at: HybridTime) -> str:
    return f"{at.wall_ms}.{at.counter}"


def _encode_bytes(line: Any, **_: Any) -> bytes:
    return msgspec.json.encode(line, enc_hook=str)


def _encode_text(line: Any, **_: Any) -> str:
    return _encode_bytes(line).decode()
