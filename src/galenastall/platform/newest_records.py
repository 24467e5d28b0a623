"""Reads the newest record of each key of a keyed topic, page by page."""

import math
from dataclasses import dataclass
from functools import partial
from typing import Final
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from galenastall.platform.calls import AddressProvider, PlatformCalls, decode_answer, to_failure
from galenastall.platform.log_wire import NewestItem, NewestPage
from galenastall.state.decoding import DECODE_ERRORS, shorten
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import ProgressCheck

PAGE_TIMEOUT_S: Final = 1.0
"""Time-out for a page; a slow store takes up to 0.4 s."""
_STEP: Final = "store.newest"
_OK: Final = 200
_NOT_FOUND: Final = 404


@dataclass(frozen=True, kw_only=True, slots=True)
class NewestRecord:
    """The newest record of one key."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class NewestRecords:
    """The newest records of a topic's keys: one page, or all."""

    records: tuple[NewestRecord, ...] = ()
    problems: tuple[str, ...] = ()
    """Decode errors of unreadable records, which are skipped."""
    last_key: str = ""
    """The last key of the page; the next page begins after it."""
    has_more: bool = False
    end_offset: int = 0

    @property
    def values_by_key(self) -> dict[str, bytes]:
        """Return the records' values by their keys."""
        return {record.key: record.value for record in self.records}


class NewestReader:
    """Reads partition 0 of keyed topics."""

    def __init__(self, *, calls: PlatformCalls, address: AddressProvider) -> None:
        """Read from the store at `address`."""
        self._calls = calls
        self._address = address

    async def page(
        self,
        topic: str,
        after: str = "",
        *,
        timeout_s: float = PAGE_TIMEOUT_S,
        idle_timeout_s: float = math.inf,
        on_progress: ProgressCheck | None = None,
    ) -> Result[NewestRecords, StepError]:
        """Return the page of keys that sort after `after`; a topic never written to is empty."""
        path = f"/log-newest?topic={topic}&part=0"
        if after:
            path += f"&after={quote(after, safe='')}"
        answer = await self._calls.get(
            step=_STEP,
            address=self._address(),
            path=path,
            timeout_s=timeout_s,
            idle_timeout_s=idle_timeout_s,
            on_progress=on_progress,
        )
        if isinstance(answer, Failure):
            return answer
        response = answer.unwrap()
        if response.status == _NOT_FOUND:
            return Success(NewestRecords())
        if response.status != _OK:
            return to_failure(response, step=_STEP, peer=self._address())
        page = decode_answer(response, NewestPage, step=_STEP, peer=self._address())
        return page.map(decode_page)

    async def all(
        self,
        topic: str,
        *,
        timeout_s: float = PAGE_TIMEOUT_S,
        idle_timeout_s: float = math.inf,
        on_progress: ProgressCheck | None = None,
    ) -> Result[NewestRecords, StepError]:
        """Return all keys; `end_offset` is the first page's, so that reads from it miss nothing.

        Each page has `timeout_s`.
        """
        pages: list[NewestRecords] = []
        after = ""
        read_after: set[str] = set()
        read_page = partial(
            self.page,
            topic,
            timeout_s=timeout_s,
            idle_timeout_s=idle_timeout_s,
            on_progress=on_progress,
        )
        while True:
            answer = await read_page(after)
            if isinstance(answer, Failure):
                return answer
            page = answer.unwrap()
            pages.append(page)
            if not page.has_more:
                return Success(_join(pages))
            if not page.last_key:
                return self._cut("page has no readable key, so the next page can't be requested")
            if page.last_key in read_after:
                return self._cut(f"page ends with key {shorten(page.last_key)!r} again")
            after = page.last_key
            read_after.add(after)

    def _cut(self, detail: str) -> Failure[StepError]:
        return Failure(
            StepError(step=_STEP, peer=self._address(), reason=Reason.CUT, detail=detail)
        )


def decode_page(page: NewestPage) -> NewestRecords:
    """Return the records of a page; each is decoded on its own, unreadable ones are skipped."""
    records: list[NewestRecord] = []
    problems: list[str] = []
    last_key = ""
    for raw in page.items:
        try:
            item = msgspec.json.decode(raw, type=NewestItem)
            last_key = item.key
            record = NewestRecord(key=item.key, value=item.content(), offset=item.offset)
        except DECODE_ERRORS as error:
            problems.append(shorten(str(error)))
            continue
        records.append(record)
    return NewestRecords(
        records=tuple(records),
        problems=tuple(problems),
        last_key=last_key,
        has_more=page.has_more and bool(page.items),
        end_offset=page.end_offset,
    )


def _join(pages: list[NewestRecords]) -> NewestRecords:
    return NewestRecords(
        records=tuple(record for page in pages for record in page.records),
        problems=tuple(problem for page in pages for problem in page.problems),
        end_offset=pages[0].end_offset,
    )
