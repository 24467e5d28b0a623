"""Peer messages that query other processes for their time line events."""

from dataclasses import dataclass

from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.timeline import TimelineEvent


@PEER_MESSAGES.register("timeline_query")
@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineQuery:
    """Requests the events about an id; with an empty id, the latest events of all ids."""

    subject: str
    limit: int
    with_parts: bool = False
    """Whether events about parts of the subject, such as a job's tasks, are included."""


@PEER_MESSAGES.register("timeline_events")
@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineEvents:
    """The answer to a TimelineQuery."""

    events: tuple[TimelineEvent, ...]
    is_forgetful: bool
    """Whether the ring has evicted older events."""
