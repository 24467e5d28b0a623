"""A leader gives its place to a host that can carry the work better."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio
from returns.result import Failure, Result

from galenastall.coordination.cell.succession import Handover, LeaderHealth, handover_of
from galenastall.node.cell.heard_hosts import HeardHosts
from galenastall.node.cell.leader_term import LeaderTerm
from galenastall.node.cell.loop_lag import LoopLag
from galenastall.protocol.cell.messages import CanLead, TakeOver
from galenastall.protocol.cell.ports import StoreView
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import StepError
from galenastall.state.ids import HostId
from galenastall.transport.logs import Recorder

JUDGE_EVERY_S: Final = 0.1
"""Between two looks at who should lead: a leader that is too small fails starts meanwhile."""
CAN_LEAD_WITHIN_S: Final = 0.4
"""Wait for a host's answer that it reaches the store; slower ones would lead no better."""
NOT_ASKED_AGAIN_S: Final = 5.0
"""A host that could not lead is not asked again before."""


class LeaderHandover:
    """Watches one term, and ends it in favour of a better host.

    The successor has just reached the store, or the handover would leave nobody to lead. Leading
    goes on until then.
    """

    def __init__(
        self,
        *,
        term: LeaderTerm,
        heard: HeardHosts,
        weight: float,
        lag: LoopLag,
        link: PeerLink,
        recorder: Recorder,
        look: Callable[[], Awaitable[Result[StoreView, StepError]]],
        on_behind: Callable[[], None],
    ) -> None:
        """`look` looks at the store; `on_behind` is told if this host falls behind."""
        self._look = look
        self._term = term
        self._heard = heard
        self._weight = weight
        self._lag = lag
        self._link = link
        self._recorder = recorder
        self._on_behind = on_behind
        self._begun_at = trio.current_time()
        self._not_before_by_host: dict[str, float] = {}

    async def run(self) -> None:
        """Watch until the term is handed over or cancelled."""
        while True:
            await trio.sleep(JUDGE_EVERY_S)
            handover = self._judge()
            if handover is not None and await self._is_sure(handover):
                self._carry_out(handover)
                return

    def _judge(self) -> Handover | None:
        now = trio.current_time()
        health = LeaderHealth(
            weight=self._weight,
            lag_s=self._lag.seconds,
            leads_for_s=now - self._begun_at,
            store_refuses_s=self._term.store_refuses_s,
            store_failing_s=self._term.store_away_s,
        )
        contenders = [
            contender
            for contender in self._heard.contenders(now)
            if self._not_before_by_host.get(contender.host, 0.0) <= now
        ]
        return handover_of(health, contenders)

    async def _is_sure(self, handover: Handover) -> bool:
        """Whether the successor can lead, and this host can't if that is the reason.

        A store that is back after an outage serves both; a leader that stays keeps its place.
        """
        found: list[bool] = []
        async with trio.open_nursery() as nursery:
            if handover.is_rejected_by_store:
                nursery.start_soon(self._look_here, found)
            can_lead = await self._can_lead(handover.successor)
        return can_lead and not any(found)

    async def _look_here(self, found: list[bool]) -> None:
        with trio.move_on_after(CAN_LEAD_WITHIN_S):
            answer = await self._look()
            found.append(not isinstance(answer, Failure))

    async def _can_lead(self, host: str) -> bool:
        answer = await self._link.call(
            peer=HostId(host), message=CanLead(), timeout_s=CAN_LEAD_WITHIN_S
        )
        if not isinstance(answer, Failure):
            return True
        self._not_before_by_host[host] = trio.current_time() + NOT_ASKED_AGAIN_S
        self._recorder.record("leader.not_handed_over", peer=host, cause=str(answer.failure()))
        return False

    def _carry_out(self, handover: Handover) -> None:
        if handover.is_overloaded:
            self._on_behind()
        self._recorder.record("leader.hands_over", peer=handover.successor, cause=handover.cause)
        self._term.give_up(handover.cause)
        self._link.send(peer=HostId(handover.successor), message=TakeOver(token=self._term.token))
