"""Lets a new leader collect the advice that hosts received for earlier leaders."""

from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure

from galenastall.node.cell.advice_dispatcher import ADVICE_SLACK_S, AdviceDispatcher
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.messages import (
    AdviceAnswer,
    AwaitAdvice,
    CachedAdvice,
    PendingAdviceCall,
    RecoverAdvice,
    RecoveredAdvice,
)
from galenastall.protocol.peers import PeerLink
from galenastall.state.cell.jobs import StepKey
from galenastall.state.ids import HostId

COLLECT_FOR_S: Final = 3.0
"""How long a new leader queries hosts that appear: tickets are valid for 2.5 s, and each host
announces itself within 0.5 s."""
ANSWER_WITHIN_S: Final = 0.5
"""Time-out for a host's answer, which takes some milliseconds."""
FIRST_ANSWERS_WITHIN_S: Final = 0.15
"""How long the first decision waits for the answers: without them it would repeat calls that take
a second. Executors have not yet listed their runs by then either."""
POLL_EVERY_S: Final = 0.05


class AdviceRecovery:
    """Queries each host once for cached answers, and awaits the call that is under way there.

    Without it the hosts are busy for up to 1.1 s with calls whose answers are lost, and the new
    leader has to repeat all calls.
    """

    def __init__(
        self,
        *,
        context: TermContext,
        link: PeerLink,
        dispatcher: AdviceDispatcher,
        available_hosts: Callable[[], tuple[HostId, ...]],
    ) -> None:
        """Query `available_hosts`, which include this host, and keep `dispatcher` off busy ones."""
        self._context = context
        self._link = link
        self._dispatcher = dispatcher
        self._available_hosts = available_hosts
        self._queried: set[HostId] = set()
        self._unanswered: set[HostId] = set()
        self._answered = trio.Event()
        """Set and replaced whenever a host has answered or its query has failed."""
        self._adopted = 0

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Collect advice; reports started once the known hosts have answered or timed out."""
        steps = self._context.core.inherited_advice.wanted_steps()
        until = trio.current_time() + COLLECT_FOR_S
        async with trio.open_nursery() as nursery:
            self._query_new_hosts(nursery, steps)
            with trio.move_on_after(FIRST_ANSWERS_WITHIN_S):
                while self._unanswered:
                    await self._answered.wait()
            fields = {"hosts": str(len(self._queried)), "answers": str(self._adopted)}
            self._context.note("advice.recovered", **fields)
            task_status.started()
            while trio.current_time() < until:
                await trio.sleep(POLL_EVERY_S)
                self._query_new_hosts(nursery, steps)

    def _query_new_hosts(self, nursery: trio.Nursery, steps: tuple[StepKey, ...]) -> None:
        for host in set(self._available_hosts()) - self._queried:
            self._queried.add(host)
            self._unanswered.add(host)
            nursery.start_soon(self._recover, nursery, host, RecoverAdvice(steps=steps))

    async def _recover(self, nursery: trio.Nursery, host: HostId, message: RecoverAdvice) -> None:
        asked_at = trio.current_time()
        answer = await self._link.call(peer=host, message=message, timeout_s=ANSWER_WITHIN_S)
        if isinstance(answer, Failure):
            self._context.note("advice.not_recovered", host, cause=str(answer.failure()))
        else:
            found: RecoveredAdvice = answer.unwrap()
            self._adopt(found.answers, asked_at=asked_at)
            if found.under_way is not None:
                nursery.start_soon(self._await_call, host, found.under_way)
        self._unanswered.discard(host)
        event, self._answered = self._answered, trio.Event()
        event.set()

    def _adopt(self, answers: tuple[CachedAdvice, ...], *, asked_at: float) -> None:
        """Adopt a host's answers.

        The host measured the tickets' remaining time after `asked_at`, so counting from `asked_at`
        is safe.
        """
        for kept in answers:
            self._adopted += self._context.core.inherited_advice.adopt(
                kept.step,
                kept.executor_ids,
                kept.approved,
                good_until=asked_at + kept.good_for_s,
            )
        if answers:
            self._context.wake()

    async def _await_call(self, host: HostId, call: PendingAdviceCall) -> None:
        core = self._context.core
        request = core.inherited_advice.begin(call.step, call.executor_ids, now=trio.current_time())
        with self._dispatcher.holding(host):
            answer = await self._link.call(
                peer=host,
                message=AwaitAdvice(step=call.step),
                timeout_s=max(call.left_s, 0.0) + ADVICE_SLACK_S,
            )
        now = trio.current_time()
        if request is None:
            return
        if isinstance(answer, Failure):
            core.on_advice_failed(request, now=now)
        else:
            advice: AdviceAnswer = answer.unwrap()
            core.on_advice(request, advice.approved, validity_s=advice.validity_s, now=now)
        self._context.wake()
