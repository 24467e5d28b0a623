"""Spread calls for advice over the entry hosts: the advisor serves one a time for each of them."""

from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure, Result

from galenastall.coordination.cell.commands import AskAdvice
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.messages import AdviceAnswer, GetAdvice
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

ADVICE_SLACK_S: Final = 0.5
"""Wait for advice beyond the time that the call is known to take."""
TRIES: Final = 3
"""Hosts through which one call is tried: some may just have been killed."""
AVOID_S: Final = 1.0
"""How long a host through which a call failed is not used."""


class AdviceDesk:
    """Chooses for each call the host that is free first."""

    def __init__(
        self, *, context: TermContext, link: PeerLink, helpers: Callable[[], tuple[HostId, ...]]
    ) -> None:
        """Ask through `helpers`, which include this host."""
        self._context = context
        self._link = link
        self._helpers = helpers
        self._free_at_by_host: dict[HostId, float] = {}

    async def ask(self, ask: AskAdvice) -> None:
        """Make one call, by another host if one fails, and hand its answer to the core."""
        for _ in range(TRIES):
            answer = await self._ask_through_one(ask)
            if not isinstance(answer, Failure):
                self._take(ask, answer.unwrap())
                return
        self._context.core.on_advice_failed(ask.step, now=trio.current_time())
        self._context.wake()

    async def _ask_through_one(self, ask: AskAdvice) -> Result[AdviceAnswer, StepError]:
        takes_s = ask.timing.base_s + len(ask.executor_ids) * ask.timing.per_executor_s
        host, free_at = self._choose(trio.current_time(), takes_s)
        waits_s = max(0.0, free_at - trio.current_time())
        timeout_s = waits_s + takes_s + ADVICE_SLACK_S
        message = GetAdvice(step=ask.step, executor_ids=ask.executor_ids, timeout_s=timeout_s)
        answer = await self._link.call(peer=host, message=message, timeout_s=timeout_s)
        if isinstance(answer, Failure):
            error = answer.failure()
            if error.reason is not Reason.OVERLOADED:
                self._free_at_by_host[host] = trio.current_time() + AVOID_S
            self._context.note("advice.failed", ask.step.job, cause=str(error), host=host)
        return answer

    def _take(self, ask: AskAdvice, advice: AdviceAnswer) -> None:
        self._context.note(
            "advice.answered",
            ask.step.job,
            asked=str(len(ask.executor_ids)),
            approved=str(len(advice.approved)),
        )
        self._context.core.on_advice(
            ask.step, advice.approved, validity_s=advice.validity_s, now=trio.current_time()
        )
        self._context.wake()

    def _choose(self, now: float, takes_s: float) -> tuple[HostId, float]:
        host = min(self._helpers(), key=lambda h: (self._free_at_by_host.get(h, 0.0), h))
        free_at = max(self._free_at_by_host.get(host, 0.0), now)
        self._free_at_by_host[host] = free_at + takes_s
        return host, free_at
