"""Finds the leader by querying other hosts while this host receives no heartbeats."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import Any, Final, Protocol

import trio
from returns.result import Failure

from galenastall.protocol.cell.messages import GetLeader, LeaderAnswer
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId

QUERY_EVERY_S: Final = 0.5
"""Interval between two rounds of queries while there is no leader."""
QUERIED_AT_ONCE: Final = 3
"""Hosts queried in a round: the previous leader, and others in rotation."""
QUERY_TIMEOUT_S: Final = 0.3
"""Time-out for their answers, which take some milliseconds."""


class LeaderView(Protocol):
    """What a host knows of the leadership."""

    @property
    def has_leader(self) -> bool:
        """Whether this host leads or receives a leader's heartbeats."""

    @property
    def last_leader(self) -> str:
        """The leader whose heartbeat arrived last; empty if none ever did."""

    @property
    def other_hosts(self) -> Iterable[str]:
        """All other hosts whose addresses are known."""

    def leader_answer(self) -> LeaderAnswer:
        """Return the leader that this host follows."""

    def on_leader_answer(self, found: LeaderAnswer) -> None:
        """Process another host's answer about the leader."""


class LeaderSearch:
    """Queries other hosts for the leader while there is none, and answers their queries.

    A leader sends heartbeats to the hosts that it knows of, and the other hosts find it in the
    store. A host that cannot reach the store, or that is stopping and does not read it, would not
    learn of a newly started leader: such hosts refused all callers for 5 s although they could
    reach that leader.
    """

    def __init__(self, *, link: PeerLink, view: LeaderView) -> None:
        """Query hosts through `link`, for the leadership state in `view`."""
        self._link = link
        self._view = view
        self._queried_last: str = link.host_id
        link.handle(GetLeader, self._on_ask)

    async def run(self) -> None:
        """Search until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(QUERY_EVERY_S)
                if self._view.has_leader:
                    continue
                for host in self._next_queried():
                    nursery.start_soon(self._query, host)

    def _next_queried(self) -> list[str]:
        """Return the previous leader, which learns of its successor first, and others in turn."""
        before = self._view.last_leader
        others = sorted(set(self._view.other_hosts) - {before})
        split = bisect_right(others, self._queried_last)
        rotation = (others[split:] + others[:split])[: QUERIED_AT_ONCE - 1]
        if rotation:
            self._queried_last = rotation[-1]
        is_other = before not in ("", self._link.host_id)
        return [before, *rotation] if is_other else rotation

    async def _query(self, host: str) -> None:
        answer = await self._link.call(
            peer=HostId(host), message=GetLeader(), timeout_s=QUERY_TIMEOUT_S
        )
        if not isinstance(answer, Failure):
            self._view.on_leader_answer(answer.unwrap())

    async def _on_ask(self, _: HostId, __: GetLeader) -> Any:
        return self._view.leader_answer()
