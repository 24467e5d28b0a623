"""Distributes calls for advice over the entry hosts; the advisor serves one at a time per host."""

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
"""Time allowed for an answer beyond the call's expected duration."""
MAX_TRIES: Final = 3
"""Hosts through which a call is tried before it fails: some may just have been killed."""
AVOID_FAILED_HOST_S: Final = 1.0
"""How long a host through which a call failed is not used."""


class AdviceDispatcher:
    """Assigns each call to a host that has none under way; urgent calls go first."""

    def __init__(
        self,
        *,
        context: TermContext,
        link: PeerLink,
        available_hosts: Callable[[], tuple[HostId, ...]],
        nursery: trio.Nursery,
    ) -> None:
        """Make calls through `available_hosts`, which include this host."""
        self._context = context
        self._link = link
        self._available_hosts = available_hosts
        self._nursery = nursery
        self._urgent: deque[tuple[AdviceRequest, int]] = deque()
        self._other: deque[tuple[AdviceRequest, int]] = deque()
        """Calls that wait for a host, with the number of tries so far."""
        self._busy: set[HostId] = set()
        self._avoided_until: dict[HostId, float] = {}

    def submit(self, request: AdviceRequest) -> None:
        """Make a call as soon as a host is free for it."""
        self._enqueue(request, 0)
        self._dispatch()

    @contextmanager
    def holding(self, host: HostId) -> Iterator[None]:
        """Assign no calls to a host meanwhile: a call of an earlier leader is under way there."""
        self._busy.add(host)
        try:
            yield
        finally:
            self._busy.discard(host)
            self._dispatch()

    def _enqueue(self, request: AdviceRequest, tries: int) -> None:
        (self._urgent if request.is_urgent else self._other).append((request, tries))

    def _dispatch(self) -> None:
        now = trio.current_time()
        available_hosts = self._available_hosts()
        preferred = [host for host in available_hosts if self._avoided_until.get(host, 0.0) <= now]
        usable = preferred or list(available_hosts)
        free = [host for host in usable if host not in self._busy]
        while free and self._urgent:
            self._start_call(free.pop(), *self._urgent.popleft())
        reserved = HOSTS_RESERVED_FOR_URGENT if len(usable) > HOSTS_RESERVED_FOR_URGENT else 0
        while len(free) > reserved and self._other:
            self._start_call(free.pop(), *self._other.popleft())

    def _start_call(self, host: HostId, request: AdviceRequest, tries: int) -> None:
        self._busy.add(host)
        self._nursery.start_soon(self._request_through, host, request, tries)

    async def _request_through(self, host: HostId, request: AdviceRequest, tries: int) -> None:
        asked_at = trio.current_time()
        try:
            answer = await self._call(host, request)
        finally:
            self._busy.discard(host)
        if not isinstance(answer, Failure):
            self._on_answer(request, answer.unwrap(), took_s=trio.current_time() - asked_at)
        else:
            self._on_failure(host, request, tries + 1, answer.failure())
        self._dispatch()

    async def _call(self, host: HostId, request: AdviceRequest) -> Result[AdviceAnswer, StepError]:
        expected_s = (
            request.timing.base_s + len(request.executor_ids) * request.timing.per_executor_s
        )
        timeout_s = expected_s + ADVICE_SLACK_S
        message = GetAdvice(
            step=request.step, executor_ids=request.executor_ids, timeout_s=timeout_s
        )
        return await self._link.call(peer=host, message=message, timeout_s=timeout_s)

    def _on_failure(
        self, host: HostId, request: AdviceRequest, tries: int, error: StepError
    ) -> None:
        now = trio.current_time()
        self._avoided_until[host] = now + AVOID_FAILED_HOST_S
        self._context.note("advice.failed", request.step.job, cause=str(error), host=host)
        if tries < MAX_TRIES:
            self._enqueue(request, tries)
            return
        self._context.core.on_advice_failed(request, now=now)
        self._context.wake()

    def _on_answer(self, request: AdviceRequest, advice: AdviceAnswer, *, took_s: float) -> None:
        self._context.note(
            "advice.answered",
            request.step.job,
            asked=str(len(request.executor_ids)),
            approved=str(len(advice.approved)),
            took_ms=f"{took_s * 1000:.0f}",
        )
        self._context.core.on_advice(
            request, advice.approved, validity_s=advice.validity_s, now=trio.current_time()
        )
        self._context.wake()
