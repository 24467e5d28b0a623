"""In-memory stand-in of the platform's log, with outages, trimming and lost responses."""

import heapq
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import LogEntry, LogPage
from galenastall.standin.faults import LogFaults, draw_call_outcome
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Offset, StreamName

PEER: Final = "log"
BURST_S: Final = 0.25
"""Burst allowance of the rate limit, in seconds' worth of appends."""
MIN_COMPACTION: Final = 1024
"""Minimum dropped records in a stream's list before it is compacted."""


@dataclass(kw_only=True, slots=True)
class LogCounters:
    """Counters of the log since its start."""

    appends: int = 0
    records: int = 0
    bytes_appended: int = 0
    refused_appends: int = 0
    reads: int = 0
    records_read: int = 0
    bytes_read: int = 0
    trimmed_records: int = 0


class _Stream:
    """Records of one stream; dropped ones stay in the list until it is compacted."""

    def __init__(self) -> None:
        self.records: list[tuple[float, str]] = []
        self.head = 0
        self.base = 0
        self.changed = trio.Event()

    @property
    def start(self) -> int:
        return self.base + self.head

    @property
    def end(self) -> int:
        return self.base + len(self.records)

    @property
    def oldest_at(self) -> float:
        return self.records[self.head][0]

    def entries(self, start: int, limit: int) -> tuple[LogEntry, ...]:
        first = start - self.base
        return tuple(
            LogEntry(offset=Offset(start + index), text=text)
            for index, (_, text) in enumerate(self.records[first : first + limit])
        )

    def drop_oldest(self) -> None:
        self.head += 1
        if self.head > MIN_COMPACTION and 2 * self.head > len(self.records):
            del self.records[: self.head]
            self.base += self.head
            self.head = 0

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class MemoryLog:
    """Append-only streams in memory; implements protocol.platform.LogService."""

    def __init__(
        self, *, clock: Clock, rng: random.Random, faults: LogFaults | None = None
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._streams_by_name: dict[StreamName, _Stream] = {}
        self._late: list[tuple[float, int, StreamName, tuple[str, ...]]] = []
        self._late_count = 0
        self._tokens = 0.0
        self._refilled_at = clock.now()
        self.counters = LogCounters()
        self.faults = faults or LogFaults()
        self._tokens = self._burst()

    def set_faults(self, faults: LogFaults) -> None:
        """Replace the fault settings; waiting reads are notified."""
        self.faults = faults
        for stream in self._streams_by_name.values():
            stream.notify()

    def trim(self, *, stream: StreamName, before: Offset) -> None:
        """Drop the stream's records older than `before`."""
        kept = self._stream(stream)
        while kept.start < min(before, kept.end):
            kept.drop_oldest()
            self.counters.trimmed_records += 1

    def snapshot(self, stream: StreamName) -> tuple[str, ...]:
        """Return all kept texts of a stream, for checkers."""
        self._settle()
        kept = self._stream(stream)
        return tuple(entry.text for entry in kept.entries(kept.start, kept.end))

    async def append(
        self, *, stream: StreamName, texts: Sequence[str]
    ) -> Result[Offset, StepError]:
        """Append atomically; see LogService. OVERLOADED beyond the rate limit: not appended."""
        faults = self.faults
        outcome = draw_call_outcome(faults=faults, clock=self._clock, rng=self._rng)
        if faults.unreachable:
            return Failure(_error("log.append", Reason.UNREACHABLE))
        if outcome.lost:
            await trio.sleep(faults.call_timeout_s)
            return Failure(_error("log.append", Reason.TIMEOUT, "no answer"))
        batch = tuple(texts)
        if faults.delay_s >= faults.call_timeout_s:
            self._append_later(outcome.due, stream, batch)
            await trio.sleep(faults.call_timeout_s)
            return Failure(_error("log.append", Reason.TIMEOUT, "no answer"))
        await trio.sleep(faults.delay_s)
        appended = self._append_now(stream, batch)
        if outcome.answer_lost:
            await trio.sleep(faults.call_timeout_s)
            return Failure(_error("log.append", Reason.TIMEOUT, "no answer"))
        return appended

    async def read(
        self, *, stream: StreamName, start: Offset, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, StepError]:
        """Read from `start`, waiting for the first entry; see LogService."""
        faults = self.faults
        outcome = draw_call_outcome(faults=faults, clock=self._clock, rng=self._rng)
        if faults.unreachable:
            return Failure(_error("log.read", Reason.UNREACHABLE))
        if outcome.lost or outcome.answer_lost or faults.delay_s >= faults.call_timeout_s:
            await trio.sleep(faults.call_timeout_s)
            return Failure(_error("log.read", Reason.TIMEOUT, "no answer"))
        await trio.sleep(faults.delay_s)
        deadline = self._clock.now() + wait_s
        while True:
            page = self._read_now(stream, start, limit)
            if isinstance(page, Failure) or page.unwrap().entries:
                return page
            if self._clock.now() >= deadline:
                return page
            await self._wait_for_change(stream, deadline)

    def _read_now(self, name: StreamName, start: Offset, limit: int) -> Result[LogPage, StepError]:
        if self.faults.outage:
            return Failure(_error("log.read", Reason.UNAVAILABLE, "outage"))
        if self.faults.unreachable:
            return Failure(_error("log.read", Reason.CUT, "connection lost"))
        self._settle()
        stream = self._stream(name)
        if start < stream.start:
            return Failure(_error("log.read", Reason.TRIMMED, str(stream.start)))
        entries = stream.entries(start, limit)
        self.counters.reads += 1
        self.counters.records_read += len(entries)
        self.counters.bytes_read += sum(len(entry.text) for entry in entries)
        return Success(LogPage(entries=entries, start=Offset(stream.start), end=Offset(stream.end)))

    async def _wait_for_change(self, name: StreamName, deadline: float) -> None:
        until = min(deadline, self._late[0][0]) if self._late else deadline
        with trio.move_on_after(max(0.0, until - self._clock.now())):
            await self._stream(name).changed.wait()

    def _append_later(self, due: float, stream: StreamName, texts: tuple[str, ...]) -> None:
        self._late_count += 1
        heapq.heappush(self._late, (due, self._late_count, stream, texts))

    def _settle(self) -> None:
        """Apply delayed appends that are due, and trim the streams."""
        now = self._clock.now()
        while self._late and self._late[0][0] <= now:
            _, _, name, texts = heapq.heappop(self._late)
            self._append_now(name, texts)
        for stream in self._streams_by_name.values():
            self._trim(stream, now)

    def _append_now(self, name: StreamName, texts: tuple[str, ...]) -> Result[Offset, StepError]:
        if self.faults.outage:
            return Failure(_error("log.append", Reason.UNAVAILABLE, "outage"))
        wait_s = self._take_token()
        if wait_s > 0:
            self.counters.refused_appends += 1
            return Failure(
                StepError(
                    step="log.append",
                    peer=PEER,
                    reason=Reason.OVERLOADED,
                    detail=f"more than {self.faults.appends_per_s:g} appends/s",
                    retry_after_s=wait_s,
                )
            )
        stream = self._stream(name)
        now = self._clock.now()
        first = stream.end
        stream.records.extend((now, text) for text in texts)
        self.counters.appends += 1
        self.counters.records += len(texts)
        self.counters.bytes_appended += sum(len(text) for text in texts)
        stream.notify()
        return Success(Offset(first))

    def _take_token(self) -> float:
        """Take one token of the rate limit; return the seconds to wait if there is none."""
        now = self._clock.now()
        rate = self.faults.appends_per_s
        self._tokens = min(self._burst(), self._tokens + (now - self._refilled_at) * rate)
        self._refilled_at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / rate
        self._tokens -= 1.0
        return 0.0

    def _burst(self) -> float:
        return max(1.0, self.faults.appends_per_s * BURST_S)

    def _trim(self, stream: _Stream, now: float) -> None:
        count, age = self.faults.keep_records, self.faults.keep_s
        while stream.start < stream.end and (
            (count is not None and stream.end - stream.start > count)
            or (age is not None and stream.oldest_at < now - age)
        ):
            stream.drop_oldest()
            self.counters.trimmed_records += 1

    def _stream(self, name: StreamName) -> _Stream:
        return self._streams_by_name.setdefault(name, _Stream())


def _error(step: str, reason: Reason, detail: str = "") -> StepError:
    return StepError(step=step, peer=PEER, reason=reason, detail=detail)
