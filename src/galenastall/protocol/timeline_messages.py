"""Peer messages that ask other processes for their part of the time line."""

from dataclasses import dataclass

from galenastall.protocol.codec import PEER_MESSAGES
from galenastall.state.timeline import TimelineEvent


@PEER_MESSAGES.register("timeline_query")
@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineQuery:
    """Asks for events about an id; an empty id asks for the latest about anything."""

    subject: str
    limit: int
    with_parts: bool = False
    """Whether events about a part of the subject count too: a job's tasks."""


@PEER_MESSAGES.register("timeline_events")
@dataclass(frozen=True, kw_only=True, slots=True)
class TimelineEvents:
    """The answer to a TimelineQuery."""

    events: tuple[TimelineEvent, ...]
    is_forgetful: bool
    """Whether the ring has let go of older events."""
