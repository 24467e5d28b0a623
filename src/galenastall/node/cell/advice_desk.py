"""Spread calls for advice over the entry hosts: the advisor serves one a time for each of them."""

from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.commands import AskAdvice
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.messages import AdviceAnswer, GetAdvice
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import Reason
from galenastall.state.ids import HostId

ADVICE_SLACK_S: Final = 0.8
"""Wait for advice beyond the time that the call is known to take."""
AVOID_S: Final = 1.0
"""How long a host through which a call failed is not used."""


class AdviceDesk:
    """Chooses for each call the host that is free first."""

    def __init__(
        self, *, context: TermContext, link: PeerLink, hosts: Callable[[], tuple[HostId, ...]]
    ) -> None:
        """Ask through `hosts`, which includes this one."""
        self._context = context
        self._link = link
        self._hosts = hosts
        self._free_at_by_host: dict[HostId, float] = {}

    async def ask(self, ask: AskAdvice) -> None:
        """Make one call and hand its answer to the core."""
        context = self._context
        takes_s = ask.timing.base_s + len(ask.executor_ids) * ask.timing.per_executor_s
        host, free_at = self._choose(trio.current_time(), takes_s)
        waits_s = max(0.0, free_at - trio.current_time())
        timeout_s = waits_s + takes_s + ADVICE_SLACK_S
        message = GetAdvice(step=ask.step, executor_ids=ask.executor_ids, timeout_s=timeout_s)
        answer = await self._link.call(peer=host, message=message, timeout_s=timeout_s)
        now = trio.current_time()
        if isinstance(answer, Failure):
            error = answer.failure()
            if error.reason is not Reason.OVERLOADED:
                self._free_at_by_host[host] = now + AVOID_S
            context.note("advice.failed", ask.step.job, cause=str(error), host=host)
            context.core.on_advice_failed(ask.step, now=now)
        else:
            advice: AdviceAnswer = answer.unwrap()
            context.note(
                "advice.answered",
                ask.step.job,
                asked=str(len(ask.executor_ids)),
                approved=str(len(advice.approved)),
                host=host,
            )
            context.core.on_advice(ask.step, advice.approved, validity_s=advice.validity_s, now=now)
        context.wake()

    def _choose(self, now: float, takes_s: float) -> tuple[HostId, float]:
        host = min(self._hosts(), key=lambda h: (self._free_at_by_host.get(h, 0.0), h))
        free_at = max(self._free_at_by_host.get(host, 0.0), now)
        self._free_at_by_host[host] = free_at + takes_s
        return host, free_at
