"""Follow one stream of the log by long poll and feed its records to folds in offset order."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.codec import decode_record
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.platform import LogEntry, LogPage, LogService
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Offset, RecordId, StreamName
from galenastall.state.records import LoggedRecord, RecordFold, UnknownRecord

PAGE_RECORDS: Final = 1000
RECORDS_PER_CHECKPOINT: Final = 32
"""Records folded before yielding to other tasks; a settings change takes milliseconds."""
DEFAULT_POLL_WAIT_S: Final = 1.0
"""Also the age that the last read of an idle stream's end reaches, so well below `read_s`."""
MIN_READ_INTERVAL_S: Final = 0.2
"""Minimum time between reads that returned records; each append wakes all followers at once."""
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 2.0
UNREADABLE: Final = "unreadable"
"""Type name given to a record that can't be decoded; folds skip it like one of unknown type."""


class LogHealth:
    """Whether the last call to the log, by any component, succeeded."""

    def __init__(self) -> None:
        self.is_up = False
        """False until the first call succeeds."""


class LogStreamFollower:
    """Follows one stream from its oldest retained record on; see protocol.log_access."""

    def __init__(
        self,
        *,
        log: LogService,
        stream: StreamName,
        clock: Clock,
        rng: random.Random,
        health: LogHealth | None = None,
        events: EventSink | None = None,
        poll_wait_s: float = DEFAULT_POLL_WAIT_S,
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._rng = rng
        self._health = health or LogHealth()
        self._events = events or NullEventSink()
        self._poll_wait_s = poll_wait_s
        self._next = Offset(0)
        self._last_read_succeeded = False
        self._log_end_read_at: float | None = None
        self._folds: list[RecordFold] = []
        self._gap_callbacks: list[Callable[[Offset], None]] = []
        self._end_callbacks: list[Callable[[], None]] = []
        self._waiters: list[tuple[int, int, trio.Event]] = []
        self._waiter_count = itertools.count()
        self._waiter_added = trio.Event()
        """Set by a waiter; ends the pause between two reads."""
        self._retry_s = RETRY_MIN_S

    @property
    def stream(self) -> StreamName:
        """The stream followed."""
        return self._stream

    @property
    def next_offset(self) -> Offset:
        """Offset of the next record to fold."""
        return self._next

    @property
    def log_end_read_at(self) -> float | None:
        """Runtime time at which the last read up to the log's end was sent; None if never."""
        return self._log_end_read_at

    def subscribe(self, fold: RecordFold) -> None:
        """Feed every further record to `fold`; subscribe before `run`."""
        self._folds.append(fold)

    def on_gap(self, callback: Callable[[Offset], None]) -> None:
        """Call `callback` with the offset where reading resumes, before its record is folded.

        Happens when the log no longer retains the next record, also at the start: the content of
        the skipped records is unknown, and a snapshot must replace them.
        """
        self._gap_callbacks.append(callback)

    def on_end_reached(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each read up to the log's end, once its records were folded."""
        self._end_callbacks.append(callback)

    async def wait_for(self, offset: Offset) -> None:
        """Return once the record at `offset` has been folded."""
        if offset < self._next:
            await trio.lowlevel.checkpoint()
            return
        folded = trio.Event()
        heapq.heappush(self._waiters, (offset, next(self._waiter_count), folded))
        self._waiter_added.set()
        await folded.wait()

    async def catch_up(self) -> Result[None, StepError]:
        """Wait until all records now in the log are folded; Failure if its end is not known."""
        read = await self._log.read(stream=self._stream, start=self._next, limit=1, wait_s=0.0)
        if isinstance(read, Failure):
            return read
        end = read.unwrap().end
        if end > 0:
            await self.wait_for(Offset(end - 1))
        return Success(None)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follow until cancelled; reports started at once, as the log may be down for long."""
        task_status.started()
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        """Read a page, without long poll at the start and after a failure, to get a result soon."""
        sent_at = self._clock.now()
        wait_s = self._poll_wait_s if self._last_read_succeeded else 0.0
        read = await self._log.read(
            stream=self._stream, start=self._next, limit=PAGE_RECORDS, wait_s=wait_s
        )
        match read:
            case Success(page):
                await self._take_page(page, sent_at)
                if page.entries and self._next >= page.end:
                    await self._pause(sent_at + MIN_READ_INTERVAL_S)
            case Failure(error) if error.reason is Reason.TRIMMED and error.detail.isdecimal():
                self._skip_to(Offset(int(error.detail)))
            case Failure(error):
                await self._back_off(error)

    async def _pause(self, until: float) -> None:
        """Let appends accumulate until runtime time `until`, unless a caller waits for a record."""
        left_s = until - self._clock.now()
        if left_s <= 0 or self._waiters:
            return
        self._waiter_added = trio.Event()
        with trio.move_on_after(left_s):
            await self._waiter_added.wait()

    async def _take_page(self, page: LogPage, sent_at: float) -> None:
        if page.end < self._next:
            detail = f"the stream ends at {page.end}, but was read up to {self._next}"
            await self._back_off(self._error(Reason.INVALID, detail))
            return
        if not self._health.is_up:
            self._events.record("log.up", subjects=(self._stream,))
        self._health.is_up = True
        self._last_read_succeeded = True
        self._retry_s = RETRY_MIN_S
        for index, entry in enumerate(page.entries, start=1):
            self._fold(entry)
            if index % RECORDS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
        self._wake_waiters()
        if self._next >= page.end:
            self._log_end_read_at = sent_at
            for callback in self._end_callbacks:
                callback()

    def _fold(self, entry: LogEntry) -> None:
        if entry.offset < self._next:
            return
        if entry.offset > self._next:
            self._skip_to(entry.offset)
        logged = self._decode(entry)
        self._next = Offset(entry.offset + 1)
        for fold in self._folds:
            fold.apply(logged)

    def _decode(self, entry: LogEntry) -> LoggedRecord:
        match decode_record(entry.text, stream=self._stream, offset=entry.offset):
            case Success(LoggedRecord() as logged):
                return logged
            case Failure(error):
                self._events.record("log.unreadable_record", peer=error.peer, cause=error.detail)
        return LoggedRecord(
            stream=self._stream,
            offset=entry.offset,
            record_id=RecordId(""),
            record=UnknownRecord(name=UNREADABLE),
        )

    def _skip_to(self, start: Offset) -> None:
        if start <= self._next:
            return
        cause = f"the log no longer retains offsets {self._next} to {start - 1}"
        self._events.record("log.gap", subjects=(self._stream,), cause=cause)
        self._next = start
        for callback in self._gap_callbacks:
            callback(start)
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        while self._waiters and self._waiters[0][0] < self._next:
            heapq.heappop(self._waiters)[2].set()

    async def _back_off(self, error: StepError) -> None:
        if self._health.is_up:
            self._events.record("log.down", subjects=(self._stream,), cause=str(error))
        self._health.is_up = False
        self._last_read_succeeded = False
        await trio.sleep(self._retry_s * self._rng.uniform(0.5, 1.0))
        self._retry_s = min(RETRY_MAX_S, 2 * self._retry_s)

    def _error(self, reason: Reason, detail: str) -> StepError:
        return StepError(step="log.read", peer=self._stream, reason=reason, detail=detail)
