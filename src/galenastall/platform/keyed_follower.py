"""Follows the newest value of each key of a topic: reads all keys first, then new records."""

from collections.abc import Sequence
from typing import Final

from returns.result import Failure, Result, Success

from galenastall.platform.calls import AddressProvider, PlatformCalls, to_failure
from galenastall.platform.log_wire import WireError, decode_read, split_keyed
from galenastall.platform.newest_records import NewestReader
from galenastall.state.errors import Reason, StepError
from galenastall.transport.logs import Level, Recorder

ANSWER_MARGIN_S: Final = 0.8
"""Added to the time of a long poll for its time-out; a slow store takes up to 0.4 s."""
_OK: Final = 200
_GONE: Final = 410
_NOT_FOUND: Final = 404


class KeyedFollower:
    """Newest values of a topic that others write."""

    def __init__(
        self, *, calls: PlatformCalls, address: AddressProvider, topic: str, recorder: Recorder
    ) -> None:
        """Follow partition 0 of `topic`; unreadable records are logged and skipped."""
        self._calls = calls
        self._address = address
        self._topic = topic
        self._newest = NewestReader(calls=calls, address=address)
        self._recorder = recorder
        self._reported_problems: frozenset[str] = frozenset()
        """Decode errors of the last read of all keys; the next one mostly finds the same."""
        self._offset: int | None = None
        self.values_by_key: dict[str, bytes] = {}

    async def refresh(self, *, wait_s: float) -> Result[bool, StepError]:
        """Read new records, waiting up to `wait_s` for them; True if any value has changed."""
        if self._offset is None:
            return await self._read_newest()
        return await self._read_from(self._offset, wait_s)

    async def _read_newest(self) -> Result[bool, StepError]:
        answer = await self._newest.all(self._topic)
        if isinstance(answer, Failure):
            return answer
        page = answer.unwrap()
        problems = frozenset(page.problems)
        for problem in sorted(problems - self._reported_problems):
            self._report(problem)
        self._reported_problems = problems
        values_by_key = page.values_by_key
        has_changed = values_by_key != self.values_by_key
        self.values_by_key = values_by_key
        self._offset = page.end_offset
        return Success(has_changed)

    async def _read_from(self, offset: int, wait_s: float) -> Result[bool, StepError]:
        step = "store.read"
        path = f"/log-read?topic={self._topic}&part=0&from={offset}&waitMs={int(wait_s * 1000)}"
        answer = await self._calls.get(
            step=step, address=self._address(), path=path, timeout_s=wait_s + ANSWER_MARGIN_S
        )
        if isinstance(answer, Failure):
            return answer
        response = answer.unwrap()
        if response.status in {_GONE, _NOT_FOUND}:
            # The history from this offset is gone: only the newest record of each key is left.
            self._offset = None
            return await self._read_newest()
        if response.status != _OK:
            return to_failure(response, step=step, peer=self._address())
        try:
            page = decode_read(response.body)
        except WireError as error:
            self._offset = None
            return Failure(
                StepError(step=step, peer=self._address(), reason=Reason.CUT, detail=str(error))
            )
        return Success(self._apply_from(offset, page.records))

    def _apply_from(self, offset: int, records: Sequence[bytes]) -> bool:
        """Apply records that begin at `offset`, except those that a concurrent read has applied."""
        reached = self._offset
        if reached is None:
            # A concurrent read has found the history gone; the next refresh reads all keys.
            return False
        new = records[max(reached - offset, 0) :]
        for record in new:
            self._apply(record)
        self._offset = max(reached, offset + len(records))
        return bool(new)

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
