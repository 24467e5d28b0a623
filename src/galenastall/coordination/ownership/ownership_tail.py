"""The latest ownership records, without gaps, for members that are isolated from the log."""

from collections import deque
from collections.abc import Sequence
from typing import Final

from galenastall.state.ids import Offset
from galenastall.state.ownership_fold import OWNERSHIP_RECORDS
from galenastall.state.records import LoggedRecord

TAIL_KEPT: Final = 512


class RecordTail:
    """All ownership records in [start, end); restarts when the log was trimmed ahead of it."""

    def __init__(self, *, kept: int = TAIL_KEPT) -> None:
        """Keep at most `kept` records."""
        self._kept = kept
        self._records: deque[LoggedRecord] = deque()
        self.start = Offset(0)
        self.end = Offset(0)

    def keep(self, logged: LoggedRecord) -> None:
        """Add the stream's next record, of whatever type."""
        if logged.offset < self.end:
            return
        if logged.offset > self.end:
            self._records.clear()
            self.start = logged.offset
        self.end = Offset(logged.offset + 1)
        self._add(logged)

    def extend(self, *, start: Offset, end: Offset, records: Sequence[LoggedRecord]) -> None:
        """Add a peer's tail if it continues from here."""
        if start > self.end:
            return
        for logged in records:
            if logged.offset >= self.end:
                self._add(logged)
        self.end = max(self.end, end)

    def since(self, offset: Offset) -> list[LoggedRecord] | None:
        """Return all ownership records from `offset` on; None if some are no longer kept."""
        if offset < self.start:
            return None
        return [logged for logged in self._records if logged.offset >= offset]

    def _add(self, logged: LoggedRecord) -> None:
        if not isinstance(logged.record, OWNERSHIP_RECORDS):
            return
        self._records.append(logged)
        if len(self._records) > self._kept:
            self.start = Offset(self._records.popleft().offset + 1)
