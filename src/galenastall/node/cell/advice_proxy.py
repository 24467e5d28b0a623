"""Calls the advisor on behalf of the leader, one call at a time, and caches the answers."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any, Final

import trio
from returns.result import Failure, Result

from galenastall.protocol.cell.messages import (
    AdviceAnswer,
    AwaitAdvice,
    CachedAdvice,
    GetAdvice,
    PendingAdviceCall,
    RecoverAdvice,
    RecoveredAdvice,
)
from galenastall.protocol.cell.ports import AdvisorPort
from galenastall.protocol.peers import PeerLink
from galenastall.state.cell.jobs import StepKey
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

CACHED_ANSWERS: Final = 64
"""Answers that a host caches: a minute of its calls, at 2 kB each."""


@dataclass(slots=True, eq=False)
class _Call:
    """A call to the advisor."""

    message: GetAdvice
    until: float
    ended: trio.Event = field(default_factory=trio.Event)
    answer: Result[AdviceAnswer, StepError] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _CachedAnswer:
    message: GetAdvice
    answer: AdviceAnswer
    valid_until: float


class AdviceProxy:
    """Serves the leader's calls for advice in order of arrival.

    A call continues after the leader that made it is lost; its answer is cached for the next one.
    """

    def __init__(self, *, link: PeerLink, advisor: AdvisorPort | None) -> None:
        """Forward calls to `advisor`; without one all calls are refused."""
        self._host_id = link.host_id
        self._advisor = advisor
        self._call_slot = trio.Lock()
        self._call: _Call | None = None
        self._cached: deque[_CachedAnswer] = deque(maxlen=CACHED_ANSWERS)
        link.handle(GetAdvice, self._on_get)
        link.handle(RecoverAdvice, self._on_recover)
        link.handle(AwaitAdvice, self._on_await)

    async def _on_get(self, _: HostId, message: GetAdvice) -> Any:
        if self._advisor is None:
            return self._error(Reason.UNAVAILABLE, "no advisor is configured")
        call = _Call(message=message, until=trio.current_time() + message.timeout_s)
        with trio.move_on_at(call.until):
            async with self._call_slot:
                await self._perform(call, self._advisor)
        return self._answer_of(call)

    async def _perform(self, call: _Call, advisor: AdvisorPort) -> None:
        self._call = call
        try:
            call.answer = await advisor.advise(
                step=call.message.step,
                executor_ids=call.message.executor_ids,
                timeout_s=call.until - trio.current_time(),
            )
            if not isinstance(call.answer, Failure):
                self._cache(call.message, call.answer.unwrap())
        finally:
            self._call = None
            call.ended.set()

    def _cache(self, message: GetAdvice, answer: AdviceAnswer) -> None:
        valid_until = trio.current_time() + answer.validity_s
        self._cached.append(_CachedAnswer(message=message, answer=answer, valid_until=valid_until))

    async def _on_recover(self, _: HostId, message: RecoverAdvice) -> Any:
        wanted = set(message.steps)
        now = trio.current_time()
        answers = tuple(
            CachedAdvice(
                step=cached.message.step,
                executor_ids=cached.message.executor_ids,
                approved=cached.answer.approved,
                good_for_s=cached.valid_until - now,
            )
            for cached in self._cached
            if cached.message.step in wanted
        )
        return RecoveredAdvice(answers=answers, under_way=self._under_way(now))

    def _under_way(self, now: float) -> PendingAdviceCall | None:
        call = self._call
        if call is None:
            return None
        message = call.message
        return PendingAdviceCall(
            step=message.step, executor_ids=message.executor_ids, left_s=call.until - now
        )

    async def _on_await(self, _: HostId, message: AwaitAdvice) -> Any:
        call = self._call
        if call is not None and call.message.step == message.step:
            await call.ended.wait()
            return self._answer_of(call)
        return self._last_answer(message.step)

    def _last_answer(self, step: StepKey) -> AdviceAnswer | StepError:
        """Return the last answer if it is for this step: its call may just have ended."""
        if not self._cached or self._cached[-1].message.step != step:
            return self._error(Reason.UNAVAILABLE, "the call has ended without an answer")
        last = self._cached[-1]
        validity_s = max(last.valid_until - trio.current_time(), 0.0)
        return AdviceAnswer(approved=last.answer.approved, validity_s=validity_s)

    def _answer_of(self, call: _Call) -> AdviceAnswer | StepError:
        if call.answer is None:
            return self._error(Reason.TIMEOUT, "the advisor did not answer in time")
        return call.answer.failure() if isinstance(call.answer, Failure) else call.answer.unwrap()

    def _error(self, reason: Reason, detail: str) -> StepError:
        return StepError(step="advice.get", peer=self._host_id, reason=reason, detail=detail)
