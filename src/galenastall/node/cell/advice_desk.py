"""Spread calls for advice over the entry hosts: the advisor serves one a time for each of them."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

import trio
from returns.result import Failure, Result

from galenastall.coordination.cell.advice_planner import HOSTS_RESERVED_FOR_URGENT
from galenastall.coordination.cell.commands import AdviceRequest
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.messages import AdviceAnswer, GetAdvice
from galenastall.protocol.peers import PeerLink
from galenastall.state.errors import StepError
from galenastall.state.ids import HostId

ADVICE_SLACK_S: Final = 0.5
"""Wait for advice beyond the time that the call is known to take."""
TRIES: Final = 3
"""Hosts through which one call is tried: some may just have been killed."""
AVOID_S: Final = 1.0
"""How long a host through which a call failed is not used."""


class AdviceDesk:
    """Gives each call to a host that makes no other one; urgent calls go first."""

    def __init__(
        self,
        *,
        context: TermContext,
        link: PeerLink,
        helpers: Callable[[], tuple[HostId, ...]],
        nursery: trio.Nursery,
    ) -> None:
        """Ask through `helpers`, which include this host."""
        self._context = context
        self._link = link
        self._helpers = helpers
        self._nursery = nursery
        self._urgent: deque[tuple[AdviceRequest, int]] = deque()
        self._other: deque[tuple[AdviceRequest, int]] = deque()
        """Calls that wait for a host, with the tries that they have had."""
        self._busy: set[HostId] = set()
        self._avoided_until: dict[HostId, float] = {}

    def ask(self, ask: AdviceRequest) -> None:
        """Make a call as soon as a host is free for it."""
        self._put(ask, 0)
        self._dispatch()

    @contextmanager
    def holding(self, host: HostId) -> Iterator[None]:
        """Ask nothing through a host in the meantime: a call of an earlier leader has its turn."""
        self._busy.add(host)
        try:
            yield
        finally:
            self._busy.discard(host)
            self._dispatch()

    def _put(self, ask: AdviceRequest, tries: int) -> None:
        (self._urgent if ask.is_urgent else self._other).append((ask, tries))

    def _dispatch(self) -> None:
        now = trio.current_time()
        helpers = self._helpers()
        well = [host for host in helpers if self._avoided_until.get(host, 0.0) <= now]
        usable = well or list(helpers)
        free = [host for host in usable if host not in self._busy]
        while free and self._urgent:
            self._begin(free.pop(), *self._urgent.popleft())
        kept = HOSTS_RESERVED_FOR_URGENT if len(usable) > HOSTS_RESERVED_FOR_URGENT else 0
        while len(free) > kept and self._other:
            self._begin(free.pop(), *self._other.popleft())

    def _begin(self, host: HostId, ask: AdviceRequest, tries: int) -> None:
        self._busy.add(host)
        self._nursery.start_soon(self._ask_through, host, ask, tries)

    async def _ask_through(self, host: HostId, ask: AdviceRequest, tries: int) -> None:
        asked_at = trio.current_time()
        try:
            answer = await self._call(host, ask)
        finally:
            self._busy.discard(host)
        if not isinstance(answer, Failure):
            self._take(ask, answer.unwrap(), took_s=trio.current_time() - asked_at)
        else:
            self._on_failure(host, ask, tries + 1, answer.failure())
        self._dispatch()

    async def _call(self, host: HostId, ask: AdviceRequest) -> Result[AdviceAnswer, StepError]:
        takes_s = ask.timing.base_s + len(ask.executor_ids) * ask.timing.per_executor_s
        timeout_s = takes_s + ADVICE_SLACK_S
        message = GetAdvice(step=ask.step, executor_ids=ask.executor_ids, timeout_s=timeout_s)
        return await self._link.call(peer=host, message=message, timeout_s=timeout_s)

    def _on_failure(self, host: HostId, ask: AdviceRequest, tries: int, error: StepError) -> None:
        now = trio.current_time()
        self._avoided_until[host] = now + AVOID_S
        self._context.note("advice.failed", ask.step.job, cause=str(error), host=host)
        if tries < TRIES:
            self._put(ask, tries)
            return
        self._context.core.on_advice_failed(ask, now=now)
        self._context.wake()

    def _take(self, ask: AdviceRequest, advice: AdviceAnswer, *, took_s: float) -> None:
        self._context.note(
            "advice.answered",
            ask.step.job,
            asked=str(len(ask.executor_ids)),
            approved=str(len(advice.approved)),
            took_ms=f"{took_s * 1000:.0f}",
        )
        self._context.core.on_advice(
            ask, advice.approved, validity_s=advice.validity_s, now=trio.current_time()
        )
        self._context.wake()
