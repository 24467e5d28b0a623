"""How a host that hears no leader learns of one from other hosts."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import Any, Final, Protocol

import trio
from returns.result import Failure

from galenastall.protocol.cell.messages import GetLeader, LeaderAnswer
from galenastall.protocol.peers import PeerLink
from galenastall.state.ids import HostId

ASK_EVERY_S: Final = 0.5
"""Between two rounds of questions while no leader is heard."""
ASKED_AT_ONCE: Final = 3
"""Hosts that a round asks: the one that led before, and others in turn."""
ASK_TIMEOUT_S: Final = 0.3
"""Wait for their answers, which take some milliseconds."""


class LeaderView(Protocol):
    """What a host knows of the leadership."""

    @property
    def is_heard(self) -> bool:
        """Whether this host leads or hears who does."""

    @property
    def last_leader(self) -> str:
        """The leader that was heard last; empty if none was."""

    @property
    def other_hosts(self) -> Iterable[str]:
        """All other hosts whose addresses are known."""

    def sight(self) -> LeaderAnswer:
        """Return the leader that is heard here."""

    def take_sight(self, found: LeaderAnswer) -> None:
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
        self._asked_last: str = link.host_id
        link.handle(GetLeader, self._on_ask)

    async def run(self) -> None:
        """Search until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(ASK_EVERY_S)
                if self._view.is_heard:
                    continue
                for host in self._next_asked():
                    nursery.start_soon(self._ask, host)

    def _next_asked(self) -> list[str]:
        """Return the host that led before, which hears its successor first, and others in turn."""
        before = self._view.last_leader
        others = sorted(set(self._view.other_hosts) - {before})
        split = bisect_right(others, self._asked_last)
        turn = (others[split:] + others[:split])[: ASKED_AT_ONCE - 1]
        if turn:
            self._asked_last = turn[-1]
        is_other = before not in ("", self._link.host_id)
        return [before, *turn] if is_other else turn

    async def _ask(self, host: str) -> None:
        answer = await self._link.call(
            peer=HostId(host), message=GetLeader(), timeout_s=ASK_TIMEOUT_S
        )
        if not isinstance(answer, Failure):
            self._view.take_sight(answer.unwrap())

    async def _on_ask(self, _: HostId, __: GetLeader) -> Any:
        return self._view.sight()
