"""Pages of the newest record of each key of a keyed topic."""

from typing import Final
from urllib.parse import quote

from returns.result import Failure, Result, Success

from galenastall.platform.calls import Address, PlatformCalls, decode_answer, refused
from galenastall.platform.log_wire import NewestItem, NewestPage
from galenastall.state.errors import StepError

PAGE_TIMEOUT_S: Final = 1.0
"""Wait for a page; a slow store takes up to 0.4 s."""
_STEP: Final = "store.newest"
_OK: Final = 200
_NOT_FOUND: Final = 404


class NewestReader:
    """Reads partition 0 of keyed topics."""

    def __init__(self, *, calls: PlatformCalls, address: Address) -> None:
        """Read from the store at `address`."""
        self._calls = calls
        self._address = address

    async def page(self, topic: str, after: str = "") -> Result[NewestPage, StepError]:
        """Return the keys that sort behind `after`; a topic that nobody wrote to is empty."""
        path = f"/log-newest?topic={topic}&part=0"
        if after:
            path += f"&after={quote(after, safe='')}"
        answer = await self._calls.get(
            step=_STEP, address=self._address(), path=path, timeout_s=PAGE_TIMEOUT_S
        )
        if isinstance(answer, Failure):
            return answer
        whole = answer.unwrap()
        if whole.status == _NOT_FOUND:
            return Success(NewestPage())
        if whole.status != _OK:
            return refused(whole, step=_STEP, peer=self._address())
        return decode_answer(whole, NewestPage, step=_STEP, peer=self._address())

    async def all(self, topic: str) -> Result[NewestPage, StepError]:
        """Return all keys; `end_offset` is the first page's, after which nothing is missed."""
        items: list[NewestItem] = []
        end: int | None = None
        after = ""
        while True:
            page = await self.page(topic, after)
            if isinstance(page, Failure):
                return page
            found = page.unwrap()
            items.extend(found.items)
            end = found.end_offset if end is None else end
            if not found.has_more or not found.items:
                return Success(NewestPage(items=items, end_offset=end))
            after = found.items[-1].key
