"""Listings that a stand-in worker gave lately, by cursor."""

from collections import OrderedDict
from dataclasses import replace
from typing import Final

from galenastall.protocol.listing_changes import changes_since
from galenastall.protocol.platform import WorkerListing

MAX_LISTINGS: Final = 4
"""An owner asks by the last one; older ones serve answers that were lost."""


class ListingCursors:
    """Names listings, and answers by what changed since one of them."""

    def __init__(self, *, prefix: str) -> None:
        """`prefix` must differ for each life of the worker."""
        self._prefix = prefix
        self._cursor_count = 0
        self._listings: OrderedDict[str, WorkerListing] = OrderedDict()

    def answer(self, listing: WorkerListing, *, since: str) -> WorkerListing:
        """Return the answer to an asker that knows the listing `since`; whole if it is gone."""
        named = self._assign_cursor(listing)
        base = self._listings.get(since)
        return named if base is None else changes_since(base, named)

    def forget(self) -> None:
        """Know no cursor any more, as after a restart."""
        self._listings.clear()

    def _assign_cursor(self, listing: WorkerListing) -> WorkerListing:
        """Keep a listing under a new cursor, or return the last one if it says the same."""
        if self._listings:
            last = next(reversed(self._listings.values()))
            if replace(last, cursor="") == listing:
                return last
        self._cursor_count += 1
        named = replace(listing, cursor=f"{self._prefix}-{self._cursor_count}")
        self._listings[named.cursor] = named
        if len(self._listings) > MAX_LISTINGS:
            self._listings.popitem(last=False)
        return named
