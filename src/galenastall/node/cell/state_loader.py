"""Loads the stored state page by page; a page that has arrived is never read again."""

from typing import Final

import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.cell.ports import StatePage, StatePort
from galenastall.state.decoding import shorten
from galenastall.state.errors import Reason, StepError

RETRY_S: Final = 0.1
"""Pause before a page that could not be read is read again."""


class StateLoader:
    """Reads all rows for a new leader.

    The time-out is one for each page: a load as a whole grows with the number of jobs, and one that
    is given up halfway is begun anew by the next leader, over a link that may be as small.
    """

    def __init__(self, *, state: StatePort, page_timeout_s: float) -> None:
        """Read from `state`; `page_timeout_s` is for one page, with all its retries."""
        self._state = state
        self._page_timeout_s = page_timeout_s

    async def load(self) -> Result[dict[str, bytes], StepError]:
        """Return all rows, or the last error if a page does not arrive."""
        values_by_key: dict[str, bytes] = {}
        after = ""
        read_after: set[str] = set()
        while True:
            answer = await self._page(after)
            if isinstance(answer, Failure):
                return answer
            page = answer.unwrap()
            values_by_key.update(page.values_by_key)
            if not page.next_after:
                return Success(values_by_key)
            if page.next_after in read_after:
                detail = f"page ends with key {shorten(page.next_after)!r} again"
                return Failure(
                    StepError(step="state.load", peer="store", reason=Reason.CUT, detail=detail)
                )
            after = page.next_after
            read_after.add(after)

    async def _page(self, after: str) -> Result[StatePage, StepError]:
        detail = f"no page after {after!r} in {self._page_timeout_s:g} s"
        error = StepError(step="state.load", peer="store", reason=Reason.TIMEOUT, detail=detail)
        with trio.move_on_after(self._page_timeout_s):
            while True:
                answer = await self._state.load_page(after=after)
                if not isinstance(answer, Failure):
                    return answer
                error = answer.failure()
                await trio.sleep(RETRY_S)
        return Failure(error)
