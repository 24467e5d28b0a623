"""How a host that hears no leader learns of one from other hosts."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import Any, Final, Protocol

import trio
from returns.result import Failure

from galenastall.protocol.cell.messages import AskLeader, LeaderAnswer
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId

QUERY_EVERY_S: Final = 0.5
"""Between two rounds of questions while no leader is heard."""
QUERIED_AT_ONCE: Final = 3
"""Hosts that a round asks: the one that led before, and others in turn."""
QUERY_TIMEOUT_S: Final = 0.3
"""Wait for their answers, which take some milliseconds."""


class LeaderView(Protocol):
    """What a host knows of the leadership."""

    @property
    def has_leader(self) -> bool:
        """Whether this host leads or hears who does."""

    @property
    def last_leader(self) -> str:
        """The leader that was heard last; empty if none was."""

    @property
    def other_hosts(self) -> Iterable[str]:
        """All other hosts whose addresses are known."""

    def leader_answer(self) -> LeaderAnswer:
        """Return the leader that is heard here."""

    def on_leader_answer(self, found: LeaderAnswer) -> None:
        """Take what another host has said of the leader."""


class LeaderSearch:
    """Asks other hosts who leads while none is heard, and answers them.

    A leader makes itself known to the hosts that it knows of, and the others find it at the store.
    A host that can't reach the store, or that stops, would not learn of a leader that has just
    started: such hosts refused all callers for 5 s beside a leader that they could reach.
    """

    def __init__(self, *, link: PeerLink, view: LeaderView) -> None:
        """Ask through `link`."""
        self._link = link
        self._view = view
        self._queried_last: str = link.host_id
        link.handle(AskLeader, self._on_ask)

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
        """Return the host that led before, which hears its successor first, and others in turn."""
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
            peer=HostId(host), message=AskLeader(), timeout_s=QUERY_TIMEOUT_S
        )
        if not isinstance(answer, Failure):
            self._view.on_leader_answer(answer.unwrap())

    async def _on_ask(self, _: HostId, __: AskLeader) -> Any:
        return self._view.leader_answer()
