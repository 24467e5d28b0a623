"""Follows the newest value of each key of a topic: reads all keys first, then new records."""

from collections.abc import Sequence
from typing import Final

from returns.result import Failure, Result, Success

from galenastall.platform.calls import (
    SILENCE_TIMEOUT_S,
    TRANSFER_TIMEOUT_S,
    AddressProvider,
    PlatformCalls,
    to_failure,
)
from galenastall.platform.log_wire import WireError, decode_read, split_keyed
from galenastall.platform.newest_records import PAGE_TIMEOUT_S, NewestReader
from galenastall.platform.transfers import ResponseWatch, TransferSlot
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import BufferedResponse
from galenastall.transport.logs import Level, Recorder

ANSWER_MARGIN_S: Final = 0.8
"""Added to the time of a long poll for its time-out; a slow store takes up to 0.4 s."""
_OK: Final = 200
_GONE: Final = 410
_NOT_FOUND: Final = 404


class KeyedFollower:
    """Newest values of a topic that others write."""

    def __init__(
        self,
        *,
        calls: PlatformCalls,
        address: AddressProvider,
        topic: str,
        recorder: Recorder,
        transfers: TransferSlot | None = None,
    ) -> None:
        """Follow partition 0 of `topic`; unreadable records are logged and skipped.

        A response has time as long as it keeps arriving. With `transfers`, values may be large:
        concurrent reads wait for a response instead of receiving the same records.
        """
        self._calls = calls
        self._address = address
        self._topic = topic
        self._newest = NewestReader(calls=calls, address=address)
        self._recorder = recorder
        self._transfers = transfers
        self._reported_problems: frozenset[str] = frozenset()
        """Decode errors of the last read of all keys; the next one mostly finds the same."""
        self._offset: int | None = None
        self._changes = 0
        """How many reads have changed a value."""
        self.values_by_key: dict[str, bytes] = {}

    async def refresh(self, *, wait_s: float) -> Result[bool, StepError]:
        """Read new records, waiting up to `wait_s` for them; True if any value has changed."""
        changes = self._changes
        while True:
            await self._wait_for_transfer()
            if wait_s > 0.0 and self._changes != changes:
                return Success(True)
            watch = self._make_watch()
            answer = await self._read(wait_s, watch)
            if watch is None or not watch.is_duplicate:
                break
        # A concurrent read may still be receiving what this one was meant to find.
        await self._wait_for_transfer()
        return answer.map(lambda _: self._changes != changes)

    async def _wait_for_transfer(self) -> None:
        if self._transfers is not None:
            await self._transfers.wait_free()

    def _make_watch(self) -> ResponseWatch | None:
        if self._transfers is None:
            return None
        return ResponseWatch(slot=self._transfers, offset=self._offset)

    async def _read(self, wait_s: float, watch: ResponseWatch | None) -> Result[None, StepError]:
        is_complete = False
        try:
            if self._offset is None:
                answer = await self._read_newest(watch)
            else:
                answer = await self._read_from(self._offset, wait_s, watch)
            is_complete = isinstance(answer, Success)
            return answer
        finally:
            if self._transfers is not None and watch is not None:
                self._transfers.release(watch, is_complete=is_complete)

    async def _read_newest(self, watch: ResponseWatch | None) -> Result[None, StepError]:
        if watch is not None:
            watch.expect_newest()
        answer = await self._newest.all(
            self._topic,
            timeout_s=TRANSFER_TIMEOUT_S,
            idle_timeout_s=PAGE_TIMEOUT_S if watch is None else SILENCE_TIMEOUT_S,
            on_progress=None if watch is None else watch.check,
        )
        if isinstance(answer, Failure):
            return answer
        page = answer.unwrap()
        if self._offset is not None and page.end_offset < self._offset:
            # A concurrent read has already applied later records.
            return Success(None)
        problems = frozenset(page.problems)
        for problem in sorted(problems - self._reported_problems):
            self._report(problem)
        self._reported_problems = problems
        values_by_key = page.values_by_key
        self._changes += values_by_key != self.values_by_key
        self.values_by_key = values_by_key
        self._offset = page.end_offset
        return Success(None)

    async def _read_from(
        self, offset: int, wait_s: float, watch: ResponseWatch | None
    ) -> Result[None, StepError]:
        step = "store.read"
        answer = await self._request_from(offset, wait_s, watch, step=step)
        if watch is not None and watch.is_superseded:
            return await self._read_newest(watch)
        if isinstance(answer, Failure):
            return answer
        response = answer.unwrap()
        if response.status in {_GONE, _NOT_FOUND}:
            # The history from this offset is gone: only the newest record of each key is left.
            self._offset = None
            return await self._read_newest(watch)
        if response.status != _OK:
            return to_failure(response, step=step, peer=self._address())
        try:
            page = decode_read(response.body)
        except WireError as error:
            self._offset = None
            return Failure(
                StepError(step=step, peer=self._address(), reason=Reason.CUT, detail=str(error))
            )
        if page.end > offset and not page.records:
            # The next record is larger than a read may return.
            return await self._read_newest(watch)
        self._apply_from(offset, page.records)
        return Success(None)

    async def _request_from(
        self, offset: int, wait_s: float, watch: ResponseWatch | None, *, step: str
    ) -> Result[BufferedResponse, StepError]:
        path = f"/log-read?topic={self._topic}&part=0&from={offset}&waitMs={int(wait_s * 1000)}"
        answer_s = wait_s + ANSWER_MARGIN_S
        return await self._calls.get(
            step=step,
            address=self._address(),
            path=path,
            timeout_s=TRANSFER_TIMEOUT_S,
            idle_timeout_s=answer_s if watch is None else max(answer_s, SILENCE_TIMEOUT_S),
            on_progress=None if watch is None else watch.check,
        )

    def _apply_from(self, offset: int, records: Sequence[bytes]) -> None:
        """Apply records that begin at `offset`, except those that a concurrent read has applied."""
        reached = self._offset
        if reached is None:
            # A concurrent read has found the history gone; the next refresh reads all keys.
            return
        new = records[max(reached - offset, 0) :]
        for record in new:
            self._apply(record)
        self._changes += bool(new)
        self._offset = max(reached, offset + len(records))

    def _apply(self, record: bytes) -> None:
        try:
            key, value = split_keyed(record)
        except WireError as error:
            self._report(str(error))
            return
        if value:
            self.values_by_key[key] = value
        else:
            self.values_by_key.pop(key, None)

    def _report(self, problem: str) -> None:
        self._recorder.record(
            "store.unreadable", subjects=(self._topic,), cause=problem, level=Level.WARNING
        )
