"""Recent listings of a stand-in worker, by cursor."""

from collections import OrderedDict
from dataclasses import replace
from typing import Final

from galenastall.protocol.listing_changes import changes_since
from galenastall.protocol.platform import WorkerListing

MAX_LISTINGS: Final = 4
"""Owners request changes since the latest; older ones are needed when a response was lost."""


class ListingCursors:
    """Assigns cursors to listings and computes the changes since one of them."""

    def __init__(self, *, prefix: str) -> None:
        """`prefix` must differ for each incarnation of the worker."""
        self._prefix = prefix
        self._cursor_count = 0
        self._listings: OrderedDict[str, WorkerListing] = OrderedDict()

    def answer(self, listing: WorkerListing, *, since: str) -> WorkerListing:
        """Return the changes since the listing `since`, or the full listing if that is gone."""
        named = self._assign_cursor(listing)
        base = self._listings.get(since)
        return named if base is None else changes_since(base, named)

    def clear(self) -> None:
        """Drop all cursors, as after a restart."""
        self._listings.clear()

    def _assign_cursor(self, listing: WorkerListing) -> WorkerListing:
        """Store a listing under a new cursor, or return the last one if it is equal."""
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
