"""Which step the advisor is asked about, on which executors, and when.

Answers this load: advice that takes half a second and more a call, one call at a time for each
entry host, approves of a third of the executors, and whose tickets last for 2.5 s. A question
whose tickets would run out before there is room, or that can't give a gang all of its places, costs
a host a call and brings nothing. So a gang's tickets are renewed for the moment at which the room
planned for it is free, and no question is put that no host could take at once.
"""

from typing import Final

from galenastall.coordination.cell.advice import TICKET_MARGIN_S, AdviceBook, StepAdvice
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import AskAdvice
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.fitting import may_add
from galenastall.coordination.cell.forecast import Forecast
from galenastall.coordination.cell.objectives import ADVISED_EXECUTORS
from galenastall.coordination.cell.room_plan import PlannedStart
from galenastall.coordination.cell.waiting_line import WaitingStep

RENEW_AHEAD_S: Final = 0.5
"""Tickets of single tasks are renewed this long before room is expected: a call takes 0.1 to
0.7 s."""
AHEAD_SLACK_S: Final = 0.15
"""A gang's tickets are asked for this much earlier than a call takes: expected ends are off by as
much, and the tickets outlast it by far."""
MOST_NAMED: Final = 100
"""Executors that one call may name, as the platform states it."""
ENOUGH_FACTOR: Final = 1.5
"""A first question names executors until the places expected to be approved are so many times those
wanted: places get lost to other steps while the call takes its time."""
KEPT_FOR_URGENT: Final = 2
"""Hosts that calls for other work leave free: one such call takes up to 0.9 s, an urgent 10 ms."""


class AdvicePlanner:
    """Puts questions into the tables, one a step at a time."""

    def __init__(self, *, state: CellState, advice: AdviceBook, forecast: Forecast) -> None:
        """Work on these tables."""
        self._state = state
        self._advice = advice
        self._forecast = forecast

    def ask_for_gang(
        self,
        waiting: WaitingStep,
        advice: StepAdvice,
        usable: list[Executor],
        planned: PlannedStart | None,
    ) -> None:
        """Ask about executors that were never asked, or again for the room that is planned."""
        if not self._may_ask(waiting):
            return
        count = waiting.step.step.count
        if planned is None:
            self._ask(waiting, self._fresh(waiting, advice, usable, count))
            return
        call_s = self._call_s(waiting, len(planned.slots))
        if planned.at > waiting.now + call_s + AHEAD_SLACK_S:
            if planned.at > waiting.now + 2.0 * call_s:
                self._ask(waiting, self._fresh(waiting, advice, usable, count))
            return
        expiring = any(
            _good_until(advice, slot.executor) < planned.at + TICKET_MARGIN_S
            for slot in planned.slots
        )
        if expiring:
            self._ask(waiting, self._renewed(waiting, advice, usable, planned))

    def ask_for_singles(
        self, waiting: WaitingStep, advice: StepAdvice, usable: list[Executor], left: int
    ) -> None:
        """Ask about executors that were never asked, or again where room is near."""
        if not self._may_ask(waiting):
            return
        wanted: list[Executor] = []
        if advice.asked:
            wanted = self._worth_renewing(waiting, advice, usable)
        self._ask(waiting, wanted or self._fresh(waiting, advice, usable, left))

    def _may_ask(self, waiting: WaitingStep) -> bool:
        hosts = self._state.advice_calls_at_once
        if not waiting.is_urgent and hosts > KEPT_FOR_URGENT:
            hosts -= KEPT_FOR_URGENT
        return waiting.is_urgent or self._advice.calls_under_way < hosts

    def _call_s(self, waiting: WaitingStep, named: int) -> float:
        timing = waiting.queue.advisor
        assert timing is not None, "only steps of advised queues come here"
        return timing.base_s + timing.per_executor_s * named

    def _ask(self, waiting: WaitingStep, wanted: list[Executor]) -> None:
        if not wanted:
            return
        timing = waiting.queue.advisor
        assert timing is not None, "only steps of advised queues come here"
        ids = tuple(executor.executor_id for executor in wanted)
        self._advice.begin(waiting.step.key, ids, waiting.now)
        self._state.asks.append(
            AskAdvice(
                step=waiting.step.key,
                executor_ids=ids,
                timing=timing,
                is_urgent=waiting.is_urgent,
            )
        )

    def _fresh(
        self, waiting: WaitingStep, advice: StepAdvice, usable: list[Executor], count: int
    ) -> list[Executor]:
        """Return executors never asked about, those with most room first, as many as are needed."""
        fresh = [e for e in usable if e.executor_id not in advice.asked]
        fresh.sort(key=lambda e: (-e.free.cores_milli, e.executor_id))
        need = waiting.step.step.need
        share = self._advice.approved_share
        expected = 0.0
        for number, executor in enumerate(fresh[:MOST_NAMED]):
            if number >= ADVISED_EXECUTORS and expected >= ENOUGH_FACTOR * count:
                return fresh[:number]
            expected += share * executor.room_for(need, count)
        return fresh[:MOST_NAMED]

    def _renewed(
        self,
        waiting: WaitingStep,
        advice: StepAdvice,
        usable: list[Executor],
        planned: PlannedStart,
    ) -> list[Executor]:
        """Return the executors of a planned start, and other approved ones with room by then."""
        wanted = [slot.executor for slot in planned.slots]
        named = {executor.executor_id for executor in wanted}
        need = waiting.step.step.need
        others = [
            e
            for e in usable
            if e.executor_id in advice.tickets_by_executor
            and e.executor_id not in named
            and self._has_room_by(e, waiting, planned.at)
        ]
        others.sort(key=lambda e: (-e.room_for(need, MOST_NAMED), e.executor_id))
        return [*wanted, *others][: max(2 * len(wanted), ADVISED_EXECUTORS // 2)]

    def _worth_renewing(
        self, waiting: WaitingStep, advice: StepAdvice, usable: list[Executor]
    ) -> list[Executor]:
        """Return approved executors with room soon, if tickets of theirs ran out."""
        soon = waiting.now + RENEW_AHEAD_S
        roomy = [
            executor
            for executor in usable
            if executor.executor_id in advice.tickets_by_executor
            and may_add(executor, waiting.step)
            and self._has_room_by(executor, waiting, soon)
        ]
        has_expired = any(waiting.ticket(e.executor_id) is None for e in roomy)
        return roomy[:MOST_NAMED] if has_expired else []

    def _has_room_by(self, executor: Executor, waiting: WaitingStep, at: float) -> bool:
        need = waiting.step.step.need
        free = executor.free
        if need.fits_in(free):
            return True
        for release in self._forecast.releases(executor):
            if release.at > at:
                return False
            free = free + release.amount
            if need.fits_in(free):
                return True
        return False


def _good_until(advice: StepAdvice, executor: Executor) -> float:
    return advice.good_until_by_executor.get(executor.executor_id, float("-inf"))
