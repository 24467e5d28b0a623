"""Asks the advisor on behalf of the leader, one call at a time, and keeps what it says."""

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

KEPT_ANSWERS: Final = 64
"""Answers that a host keeps, a minute of its calls; each takes 2 kB."""


@dataclass(slots=True, eq=False)
class _Call:
    """A call that has the advisor's turn."""

    message: GetAdvice
    until: float
    ended: trio.Event = field(default_factory=trio.Event)
    answer: Result[AdviceAnswer, StepError] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Kept:
    message: GetAdvice
    answer: AdviceAnswer
    good_until: float


class AdviceProxy:
    """Serves the leader's calls for advice in their order.

    A call goes on when the leader that asked is lost, and its answer is kept for the next one.
    """

    def __init__(self, *, link: PeerLink, advisor: AdvisorPort | None) -> None:
        """Ask `advisor`; without one all calls are refused."""
        self._host_id = link.host_id
        self._advisor = advisor
        self._turn = trio.Lock()
        self._call: _Call | None = None
        self._kept: deque[_Kept] = deque(maxlen=KEPT_ANSWERS)
        link.handle(GetAdvice, self._on_get)
        link.handle(RecoverAdvice, self._on_recover)
        link.handle(AwaitAdvice, self._on_await)

    async def _on_get(self, _: HostId, message: GetAdvice) -> Any:
        if self._advisor is None:
            return self._error(Reason.UNAVAILABLE, "the settings name no advisor")
        call = _Call(message=message, until=trio.current_time() + message.timeout_s)
        with trio.move_on_at(call.until):
            async with self._turn:
                await self._make(call, self._advisor)
        return self._answer_of(call)

    async def _make(self, call: _Call, advisor: AdvisorPort) -> None:
        self._call = call
        try:
            call.answer = await advisor.advise(
                step=call.message.step,
                executor_ids=call.message.executor_ids,
                timeout_s=call.until - trio.current_time(),
            )
            if not isinstance(call.answer, Failure):
                self._keep(call.message, call.answer.unwrap())
        finally:
            self._call = None
            call.ended.set()

    def _keep(self, message: GetAdvice, answer: AdviceAnswer) -> None:
        good_until = trio.current_time() + answer.validity_s
        self._kept.append(_Kept(message=message, answer=answer, good_until=good_until))

    async def _on_recover(self, _: HostId, message: RecoverAdvice) -> Any:
        wanted = set(message.steps)
        now = trio.current_time()
        answers = tuple(
            CachedAdvice(
                step=kept.message.step,
                executor_ids=kept.message.executor_ids,
                approved=kept.answer.approved,
                good_for_s=kept.good_until - now,
            )
            for kept in self._kept
            if kept.message.step in wanted
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
        """Return the last answer about a step: its call may have ended just before."""
        if not self._kept or self._kept[-1].message.step != step:
            return self._error(Reason.UNAVAILABLE, "the call has ended without an answer")
        last = self._kept[-1]
        validity_s = max(last.good_until - trio.current_time(), 0.0)
        return AdviceAnswer(approved=last.answer.approved, validity_s=validity_s)

    def _answer_of(self, call: _Call) -> AdviceAnswer | StepError:
        if call.answer is None:
            return self._error(Reason.TIMEOUT, "no answer in time")
        return call.answer.failure() if isinstance(call.answer, Failure) else call.answer.unwrap()

    def _error(self, reason: Reason, detail: str) -> StepError:
        return StepError(step="advice.get", peer=self._host_id, reason=reason, detail=detail)
