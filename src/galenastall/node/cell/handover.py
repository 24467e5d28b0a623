"""Handover of the leadership to a host that is better able to lead."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio
from returns.result import Failure, Result

from galenastall.coordination.cell.succession import Handover, LeaderHealth, handover_of
from galenastall.node.cell.leader_term import LeaderTerm
from galenastall.node.cell.loop_lag import LoopLag
from galenastall.node.cell.peer_table import PeerTable
from galenastall.protocol.cell.messages import CanLead, TakeOver
from galenastall.protocol.cell.ports import StoreView
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import StepError
from galenastall.state.ids import HostId
from galenastall.transport.logs import Recorder

CHECK_EVERY_S: Final = 0.1
"""Interval between checks for a better leader: one that is too small fails starts meanwhile."""
CAN_LEAD_WITHIN_S: Final = 0.4
"""Time-out for a host to confirm that it reaches the store; a slower one would lead no better."""
CAN_LEAD_RETRY_S: Final = 5.0
"""Pause before a host that could not lead is queried again."""


class LeaderHandover:
    """Monitors one term and ends it in favour of a better host.

    The successor must first confirm that it reaches the store, or the handover could leave the cell
    without a leader. This host leads until then.
    """

    def __init__(
        self,
        *,
        term: LeaderTerm,
        peers: PeerTable,
        weight: float,
        lag: LoopLag,
        link: PeerLink,
        recorder: Recorder,
        read_store: Callable[[], Awaitable[Result[StoreView, StepError]]],
        on_behind: Callable[[], None],
    ) -> None:
        """`on_behind` is called if this host hands over because it falls behind."""
        self._read_store = read_store
        self._term = term
        self._peers = peers
        self._weight = weight
        self._lag = lag
        self._link = link
        self._recorder = recorder
        self._on_behind = on_behind
        self._begun_at = trio.current_time()
        self._not_before_by_host: dict[str, float] = {}

    async def run(self) -> None:
        """Monitor the term until it is handed over or cancelled."""
        while True:
            await trio.sleep(CHECK_EVERY_S)
            handover = self._propose()
            if handover is not None and await self._is_confirmed(handover):
                self._carry_out(handover)
                return

    def _propose(self) -> Handover | None:
        now = trio.current_time()
        health = LeaderHealth(
            weight=self._weight,
            lag_s=self._lag.seconds,
            leads_for_s=now - self._begun_at,
            store_refuses_s=self._term.store_refuses_s,
            store_failing_s=self._term.store_outage_s,
        )
        candidates = [
            candidate
            for candidate in self._peers.candidates(now)
            if self._not_before_by_host.get(candidate.host, 0.0) <= now
        ]
        return handover_of(health, candidates)

    async def _is_confirmed(self, handover: Handover) -> bool:
        """Whether the successor can lead and, if the cause is the store, this host still cannot.

        After an outage the store serves both hosts, and then the leader stays.
        """
        found: list[bool] = []
        async with trio.open_nursery() as nursery:
            if handover.is_rejected_by_store:
                nursery.start_soon(self._check_store, found)
            can_lead = await self._can_lead(handover.successor)
        return can_lead and not any(found)

    async def _check_store(self, found: list[bool]) -> None:
        with trio.move_on_after(CAN_LEAD_WITHIN_S):
            answer = await self._read_store()
            found.append(not isinstance(answer, Failure))

    async def _can_lead(self, host: str) -> bool:
        answer = await self._link.call(
            peer=HostId(host), message=CanLead(), timeout_s=CAN_LEAD_WITHIN_S
        )
        if not isinstance(answer, Failure):
            return True
        self._not_before_by_host[host] = trio.current_time() + CAN_LEAD_RETRY_S
        self._recorder.record("leader.not_handed_over", peer=host, cause=str(answer.failure()))
        return False

    def _carry_out(self, handover: Handover) -> None:
        if handover.is_overloaded:
            self._on_behind()
        self._recorder.record("leader.hands_over", peer=handover.successor, cause=handover.cause)
        self._term.give_up(handover.cause)
        self._link.send(peer=HostId(handover.successor), message=TakeOver(token=self._term.token))
