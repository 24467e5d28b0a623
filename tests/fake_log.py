"""Scriptable log in memory, for tests that need an exact fault at an exact call."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.platform import LogEntry, LogPage
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Offset, StreamName

TIMEOUT_S = 2.0


@dataclass
class _Stream:
    texts: list[str] = field(default_factory=list)
    start: int = 0
    changed: trio.Event = field(default_factory=trio.Event)


class FakeLog:
    """Streams stored in full except for what `trim` drops; each fault is a plain attribute."""

    def __init__(self) -> None:
        self.is_down = False
        self.appends_fail = False
        self.lose_answers = 0
        """Number of next appends whose response is lost after they took effect."""
        self.land_after_s: float | None = None
        """If set, the response of appends is lost and they take effect this much later."""
        self.lose_requests = 0
        """Number of next appends that are lost on the way, seen as a timeout."""
        self.append_times: list[float] = []
        self.reads = 0
        self._streams: dict[StreamName, _Stream] = {}
        self._pending_appends: list[tuple[float, StreamName, tuple[str, ...]]] = []

    def view(self) -> "FakeLog":
        """Return another client of the same streams, with separate faults."""
        other = FakeLog()
        other._streams = self._streams
        other._pending_appends = self._pending_appends
        return other

    def texts(self, stream: StreamName) -> list[str]:
        return list(self._of(stream).texts)

    def trim(self, stream: StreamName, start: int) -> None:
        self._of(stream).start = start

    async def append(
        self, *, stream: StreamName, texts: Sequence[str]
    ) -> Result[Offset, StepError]:
        await trio.lowlevel.checkpoint()
        if self.is_down or self.appends_fail:
            return Failure(_error("log.append", Reason.UNAVAILABLE))
        self.append_times.append(trio.current_time())
        if self.lose_requests:
            self.lose_requests -= 1
            return await self._timeout()
        if self.land_after_s is not None:
            self._pending_appends.append(
                (trio.current_time() + self.land_after_s, stream, tuple(texts))
            )
            return await self._timeout()
        first = self._land(stream, texts)
        if self.lose_answers:
            self.lose_answers -= 1
            return await self._timeout()
        return Success(first)

    async def read(
        self, *, stream: StreamName, start: Offset, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, StepError]:
        await trio.lowlevel.checkpoint()
        self.reads += 1
        deadline = trio.current_time() + wait_s
        while True:
            self._land_due()
            stored = self._of(stream)
            if self.is_down:
                return Failure(_error("log.read", Reason.UNAVAILABLE))
            if start < stored.start:
                return Failure(_error("log.read", Reason.TRIMMED, str(stored.start)))
            if len(stored.texts) > start or trio.current_time() >= deadline:
                return Success(_page(stored, start, limit))
            with trio.move_on_at(deadline):
                await stored.changed.wait()

    def _land(self, stream: StreamName, texts: Sequence[str]) -> Offset:
        stored = self._of(stream)
        first = len(stored.texts)
        stored.texts.extend(texts)
        stored.changed.set()
        stored.changed = trio.Event()
        return Offset(first)

    def _land_due(self) -> None:
        for late in [late for late in self._pending_appends if late[0] <= trio.current_time()]:
            self._pending_appends.remove(late)
            self._land(late[1], late[2])

    def _of(self, stream: StreamName) -> _Stream:
        return self._streams.setdefault(stream, _Stream())

    async def _timeout(self) -> Result[Offset, StepError]:
        await trio.sleep(TIMEOUT_S)
        return Failure(_error("log.append", Reason.TIMEOUT))


def _page(stored: _Stream, start: int, limit: int) -> LogPage:
    entries = tuple(
        LogEntry(offset=Offset(offset), text=stored.texts[offset])
        for offset in range(start, min(len(stored.texts), start + limit))
    )
    return LogPage(entries=entries, start=Offset(stored.start), end=Offset(len(stored.texts)))


def _error(step: str, reason: Reason, detail: str = "") -> StepError:
    return StepError(step=step, peer="log", reason=reason, detail=detail)
