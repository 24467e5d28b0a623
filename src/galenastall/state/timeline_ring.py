"""Bounded buffer of a process's events, searchable by the ids that they concern.

Events of single requests are kept in a separate ring, so that many of them do not evict those of
jobs, owners and settings. Queries scan; recording, which happens thousands of times per query, only
appends.
"""

from collections import deque
from collections.abc import Iterator
from typing import Final

from galenastall.state.timeline import TimelineEvent

DEFAULT_CAPACITY: Final = 20_000
"""Events kept; half of the capacity is for single requests."""


def is_about(event: TimelineEvent, subject: str) -> bool:
    """Return whether an event concerns an id or a part of it, such as a task of a job."""
    if subject in event.subjects:
        return True
    prefix = f"{subject}/"
    return any(each.startswith(prefix) for each in event.subjects)


class TimelineRing:
    """The latest events of one process."""

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY) -> None:
        """Keep at most `capacity` events, half of them details."""
        if capacity < 2:  # noqa: PLR2004 - one place in each half
            raise ValueError(f"capacity: expected at least 2, got {capacity}")
        self._events: deque[TimelineEvent] = deque(maxlen=capacity - capacity // 2)
        self._details: deque[TimelineEvent] = deque(maxlen=capacity // 2)
        self.recorded = 0
        """Events recorded since the start."""

    def append(self, event: TimelineEvent, *, is_detail: bool = False) -> None:
        """Keep an event; evicts the oldest of its half if that is full."""
        self.recorded += 1
        (self._details if is_detail else self._events).append(event)

    @property
    def evicted(self) -> int:
        """Number of events evicted."""
        return self.recorded - len(self)

    def about(
        self, subject: str, *, limit: int | None = None, with_parts: bool = False
    ) -> tuple[TimelineEvent, ...]:
        """Return the latest `limit` events about an id, in time order.

        With parts, ids that continue after a slash match too, as those of a job's tasks do.
        """
        if with_parts:
            return self._latest((event for event in self if is_about(event, subject)), limit)
        return self._latest((event for event in self if subject in event.subjects), limit)

    def latest(self, limit: int) -> tuple[TimelineEvent, ...]:
        """Return the latest events of all ids, in time order."""
        return self._latest(iter(self), limit)

    def _latest(
        self, events: Iterator[TimelineEvent], limit: int | None
    ) -> tuple[TimelineEvent, ...]:
        ordered = sorted(events, key=lambda event: event.at)
        return tuple(ordered if limit is None else ordered[max(0, len(ordered) - limit) :])

    def __len__(self) -> int:
        return len(self._events) + len(self._details)

    def __iter__(self) -> Iterator[TimelineEvent]:
        yield from self._events
        yield from self._details
