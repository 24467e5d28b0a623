"""Asks the advisor on behalf of the leader, one call at a time."""

from typing import Any

import trio
from returns.result import Failure

from galenastall.protocol.cell.messages import GetAdvice
from galenastall.protocol.cell.ports import AdvisorPort
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId


class AdviceProxy:
    """Serves the leader's calls for advice in their order."""

    def __init__(self, *, link: PeerLink, advisor: AdvisorPort | None) -> None:
        """Ask `advisor`; without one all calls are refused."""
        self._advisor = advisor
        self._turn = trio.Lock()
        link.handle(GetAdvice, self._on_get)

    async def _on_get(self, sender: HostId, message: GetAdvice) -> Any:
        if self._advisor is None:
            detail = "the settings name no advisor"
            return StepError(
                step="advice.get", peer=sender, reason=Reason.UNAVAILABLE, detail=detail
            )
        until = trio.current_time() + message.timeout_s
        with trio.move_on_at(until):
            async with self._turn:
                answer = await self._advisor.advise(
                    step=message.step,
                    executor_ids=message.executor_ids,
                    timeout_s=until - trio.current_time(),
                )
                return answer.failure() if isinstance(answer, Failure) else answer.unwrap()
        return StepError(step="advice.get", peer=sender, reason=Reason.TIMEOUT)
