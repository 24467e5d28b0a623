"""A new leader collects the advice that hosts got for earlier leaders."""

from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure

from galenastall.node.cell.advice_desk import ADVICE_SLACK_S, AdviceDesk
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
"""How long hosts that a new leader hears for the first time are asked: tickets last for 2.5 s, and
each host makes itself known within 0.5 s."""
ANSWER_WITHIN_S: Final = 0.5
"""Wait for a host's answer, which takes some milliseconds."""
FIRST_WITHIN_S: Final = 0.15
"""How long the first decision waits for the answers: a question put before would be put twice, and
takes a second. Executors have not yet told what they run either."""
LOOK_EVERY_S: Final = 0.05


class AdviceRecovery:
    """Asks each host once, and waits for the calls that are under way there.

    Without it the hosts of a new leader are busy for up to 1.1 s with calls whose answers are lost,
    and everything is asked again.
    """

    def __init__(
        self,
        *,
        context: TermContext,
        link: PeerLink,
        desk: AdviceDesk,
        helpers: Callable[[], tuple[HostId, ...]],
    ) -> None:
        """Ask `helpers`, which include this host; `desk` is told which of them are busy."""
        self._context = context
        self._link = link
        self._desk = desk
        self._helpers = helpers
        self._asked: set[HostId] = set()
        self._unanswered: set[HostId] = set()
        self._answered = trio.Event()
        """Set, and replaced, whenever a host has answered or failed to."""
        self._adopted = 0

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Collect; reports started once the hosts that are known have answered."""
        steps = self._context.core.inherited_advice.wanted_steps()
        until = trio.current_time() + COLLECT_FOR_S
        async with trio.open_nursery() as nursery:
            self._ask_new(nursery, steps)
            with trio.move_on_after(FIRST_WITHIN_S):
                while self._unanswered:
                    await self._answered.wait()
            fields = {"hosts": str(len(self._asked)), "answers": str(self._adopted)}
            self._context.note("advice.recovered", **fields)
            task_status.started()
            while trio.current_time() < until:
                await trio.sleep(LOOK_EVERY_S)
                self._ask_new(nursery, steps)

    def _ask_new(self, nursery: trio.Nursery, steps: tuple[StepKey, ...]) -> None:
        for host in set(self._helpers()) - self._asked:
            self._asked.add(host)
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
        """Take a host's answers; it measured the tickets' time after it was asked."""
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
        ask = core.inherited_advice.begin(call.step, call.executor_ids, now=trio.current_time())
        with self._desk.holding(host):
            answer = await self._link.call(
                peer=host,
                message=AwaitAdvice(step=call.step),
                timeout_s=max(call.left_s, 0.0) + ADVICE_SLACK_S,
            )
        now = trio.current_time()
        if ask is None:
            return
        if isinstance(answer, Failure):
            core.on_advice_failed(ask, now=now)
        else:
            advice: AdviceAnswer = answer.unwrap()
            core.on_advice(ask, advice.approved, validity_s=advice.validity_s, now=now)
        self._context.wake()
