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
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.objectives import ADVISED_EXECUTORS
from galenastall.coordination.cell.room_plan import PlannedStart
from galenastall.coordination.cell.waiting_line import WaitingStep

RENEW_AHEAD_S: Final = 0.5
"""Tickets of single tasks are renewed this long before room is expected."""
AHEAD_SLACK_S: Final = 0.15
"""A gang's tickets are asked for this much earlier than a call takes: expected ends are off by as
much, and the tickets outlast it by far."""
MOST_NAMED: Final = 100
"""Executors that one call may name, as the platform states it."""
NAMED_AT_ONCE: Final = 30
"""Executors that a short call names; each of them makes the call longer."""
HOSTS_A_SHORT_CALL: Final = 4
"""Hosts that must be free for each of several short calls that take the place of a long one."""
ENOUGH_FACTOR: Final = 2.0
"""A first question names executors until the places expected to be approved are so many times those
wanted: places get lost to other steps while the call takes its time."""
POLLED_S: Final = 4.0
"""How long executors that a question names are polled without a pause: a call takes a second or
two, and its tickets are good for as long."""
NAMED_FIRST: Final = 300
"""Executors that the first question of a gang may name however narrow it is."""
KEPT_FOR_URGENT: Final = 2
"""Hosts that calls for other work, which take many times longer, leave free."""


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
        if not self._hosts_left(waiting):
            return
        call_s = self._call_s(waiting, NAMED_AT_ONCE)
        if planned is None or planned.at > waiting.now + 2.0 * call_s:
            fresh = self._fresh(advice, usable)
            self._ask_fresh(waiting, fresh[: self._most_named(waiting)])
            return
        if planned.at > waiting.now + call_s + AHEAD_SLACK_S:
            return
        if any(_expires(advice, slot.executor, planned) for slot in planned.slots):
            self._ask(waiting, self._renewed(waiting, advice, usable, planned))

    def ask_for_singles(
        self, waiting: WaitingStep, advice: StepAdvice, usable: list[Executor], left: int
    ) -> None:
        """Ask about executors that were never asked, or again where room is near."""
        if not self._hosts_left(waiting):
            return
        wanted = self._worth_renewing(waiting, advice, usable) if advice.asked else []
        if wanted:
            self._ask(waiting, wanted)
        else:
            fresh = self._fresh(advice, usable)
            self._ask_fresh(waiting, fresh[: self._enough(waiting, fresh, left)])

    def can_ask(self, waiting: WaitingStep) -> bool:
        """Whether a host is free to ask about a step now."""
        return self._hosts_left(waiting) > 0

    def _hosts_left(self, waiting: WaitingStep) -> int:
        """Return through how many hosts a step may ask at once now."""
        hosts = self._state.advice_calls_at_once
        if waiting.is_urgent:
            return max(hosts - self._advice.calls_under_way, 1)
        if hosts > KEPT_FOR_URGENT:
            hosts -= KEPT_FOR_URGENT
        return max(hosts - self._advice.calls_under_way, 0)

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
        for executor in wanted:
            self._state.keep_polled(executor, until=waiting.now + POLLED_S)
        self._advice.begin(waiting.step.key, ids, waiting.now)
        self._state.asks.append(
            AskAdvice(
                step=waiting.step.key,
                executor_ids=ids,
                timing=timing,
                queue_name=waiting.queue.name,
                is_urgent=waiting.is_urgent,
            )
        )

    def _fresh(self, advice: StepAdvice, usable: list[Executor]) -> list[Executor]:
        """Return the executors never asked about, those with most room first."""
        fresh = [e for e in usable if e.executor_id not in advice.asked]
        fresh.sort(key=lambda e: (-e.free.cores_milli, e.executor_id))
        return fresh

    def _ask_fresh(self, waiting: WaitingStep, wanted: list[Executor]) -> None:
        """Ask about executors never asked about, through several hosts where they are many.

        With one call after the other the first tickets would run out before a gang has enough.
        """
        if Mechanism.ADVICE_AT_ONCE in self._state.without:
            wanted = wanted[:NAMED_AT_ONCE]
        calls = _calls_for(len(wanted), hosts_left=self._hosts_left(waiting))
        for number in range(calls):
            self._ask(waiting, wanted[number::calls][:MOST_NAMED])

    def _most_named(self, waiting: WaitingStep) -> int:
        """Return how many executors a question of a gang may name: a few times what it can use."""
        share = self._advice.approved_share(waiting.queue.name)
        wanted = ENOUGH_FACTOR * waiting.step.step.count / share
        return max(int(wanted), NAMED_FIRST)

    def _enough(self, waiting: WaitingStep, fresh: list[Executor], count: int) -> int:
        """Return how many of the executors are to be named for `count` single tasks."""
        need = waiting.step.step.need
        share = self._advice.approved_share(waiting.queue.name)
        expected = 0.0
        for number, executor in enumerate(fresh):
            if number >= ADVISED_EXECUTORS and expected >= ENOUGH_FACTOR * count:
                return number
            expected += share * executor.count_fitting(need, count)
        return len(fresh)

    def _renewed(
        self,
        waiting: WaitingStep,
        advice: StepAdvice,
        usable: list[Executor],
        planned: PlannedStart,
    ) -> list[Executor]:
        """Return the executors of a planned start, and other approved ones with room by then."""
        wanted = [slot.executor for slot in planned.slots]
        if len(wanted) > MOST_NAMED:
            # A call can't name them all: those that it leaves out are named by the next one.
            wanted = [e for e in wanted if _expires(advice, e, planned)]
        named = {executor.executor_id for executor in wanted}
        need = waiting.step.step.need
        others = [
            e
            for e in usable
            if e.executor_id in advice.tickets_by_executor
            and e.executor_id not in named
            and self._has_room_by(e, waiting, planned.at)
        ]
        others.sort(key=lambda e: (-e.count_fitting(need, MOST_NAMED), e.executor_id))
        most = min(max(2 * len(wanted), ADVISED_EXECUTORS // 2), MOST_NAMED)
        return [*wanted, *others][:most]

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


def _calls_for(count: int, *, hosts_left: int) -> int:
    """Return through how many hosts to ask about `count` executors that were never asked about.

    Short calls while hosts are idle, and as few as can name them all where others wait for hosts:
    each call costs its base time besides.
    """
    fewest = -(-count // MOST_NAMED)
    shortest = -(-count // NAMED_AT_ONCE)
    spread = hosts_left // HOSTS_A_SHORT_CALL
    return min(max(fewest, min(shortest, spread)), hosts_left)


def _expires(advice: StepAdvice, executor: Executor, planned: PlannedStart) -> bool:
    """Whether an executor's ticket runs out before a planned start."""
    good_until = advice.good_until_by_executor.get(executor.executor_id, float("-inf"))
    return good_until < planned.at + TICKET_MARGIN_S
