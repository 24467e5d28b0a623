"""Bounded history with stable positions, so that readers can page through it while it grows."""

from collections import deque
from collections.abc import Iterator
from itertools import islice
from typing import Generic, TypeVar

T = TypeVar("T")


class History(Generic[T]):
    """The latest records; positions count from the first record ever added."""

    def __init__(self, *, keep: int) -> None:
        """Keep the last `keep` records."""
        self._records: deque[T] = deque(maxlen=keep)
        self.total = 0

    def add(self, record: T) -> None:
        """Append a record; drops the oldest one if the history is full."""
        self._records.append(record)
        self.total += 1

    def page(self, start: int, limit: int) -> tuple[tuple[T, ...], int]:
        """Return records from `start`, or from the oldest kept, and the next page's position."""
        first = self.total - len(self._records)
        start = min(max(start, first), self.total)
        skipped = start - first
        records = tuple(islice(self._records, skipped, skipped + limit))
        return records, start + len(records)

    def __iter__(self) -> Iterator[T]:
        return iter(self._records)

    def __len__(self) -> int:
        return len(self._records)
