"""The time line of all processes: answers peers from the local ring, and gathers their events."""

from collections.abc import Callable, Iterable
from typing import Any, Final

import trio
from returns.result import Success

from galenastall.coordination.timeline.timeline_merge import MergedTimeline, merge_timelines
from galenastall.protocol.peers import PeerLink
from galenastall.protocol.timeline_messages import TimelineEvents, TimelineQuery
from galenastall.state.ids import HostId, job_of_task
from galenastall.state.timeline import TimelineEvent
from galenastall.state.timeline_ring import TimelineRing

GATHER_TIMEOUT_S: Final = 2.0
"""Time limit for the answer of a peer, in seconds."""
EVENTS_LIMIT: Final = 2_000
"""Maximum number of events from one process."""


class TimelineService:
    """Gathers the events about an id from all peers that can be reached."""

    def __init__(
        self,
        *,
        link: PeerLink,
        ring: TimelineRing,
        peers: Callable[[], Iterable[HostId]],
        timeout_s: float = GATHER_TIMEOUT_S,
    ) -> None:
        """Answer peers' queries from `ring`; `peers` returns the hosts to query."""
        self._link = link
        self._ring = ring
        self._peers = peers
        self._timeout_s = timeout_s
        link.handle(TimelineQuery, self._answer)

    async def gather(self, subject: str) -> MergedTimeline:
        """Return the merged time line of all processes, naming those that don't answer in time.

        A job's time line includes its tasks' events, and a task's those of its job as a whole.
        """
        line = await self._gather(
            TimelineQuery(subject=subject, limit=EVENTS_LIMIT, with_parts=True)
        )
        job_id = job_of_task(subject)
        if job_id is None:
            return line
        of_job = await self._gather(TimelineQuery(subject=job_id, limit=EVENTS_LIMIT))
        return merge_timelines(
            (line.events, of_job.events),
            subject=subject,
            unreachable=(*line.unreachable, *of_job.unreachable),
            forgetful=(*line.forgetful, *of_job.forgetful),
        )

    async def _gather(self, query: TimelineQuery) -> MergedTimeline:
        here = self._own_events(query)
        rings: list[tuple[TimelineEvent, ...]] = [here.events]
        forgetful = [str(self._link.host_id)] if here.is_forgetful else []
        unreachable: list[str] = []

        async def ask(peer: HostId) -> None:
            result = await self._link.call(peer=peer, message=query, timeout_s=self._timeout_s)
            if not isinstance(result, Success):
                unreachable.append(peer)
                return
            answer: TimelineEvents = result.unwrap()
            rings.append(answer.events)
            if answer.is_forgetful:
                forgetful.append(peer)

        async with trio.open_nursery() as nursery:
            for peer in self._peers():
                if peer != self._link.host_id:
                    nursery.start_soon(ask, peer)
        return merge_timelines(
            rings, subject=query.subject, unreachable=unreachable, forgetful=forgetful
        )

    async def _answer(self, sender: HostId, query: Any) -> TimelineEvents:
        return self._own_events(query)

    def _own_events(self, query: TimelineQuery) -> TimelineEvents:
        limit = min(query.limit, EVENTS_LIMIT)
        if query.subject:
            events = self._ring.about(query.subject, limit=limit, with_parts=query.with_parts)
        else:
            events = self._ring.latest(limit)
        return TimelineEvents(events=events, is_forgetful=self._ring.evicted > 0)
