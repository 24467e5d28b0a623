"""Decides for which step to request advice, on which executors, and when.

Addresses this load: an advice call takes half a second and more, each entry host makes one call at
a time, a third of the executors is approved, and tickets are valid for 2.5 s. A request whose
tickets would expire before there is capacity, or that can't give a gang all of its places, costs a
host a call and gains nothing. So a gang's tickets are renewed for the time at which its planned
capacity is free, and no request is made that no host could send at once.
"""

from typing import Final

from galenastall.coordination.cell.advice import TICKET_MARGIN_S, AdviceTable, StepAdvice
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import AdviceRequest
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.fitting import may_add
from galenastall.coordination.cell.forecast import Forecast
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.objectives import ADVISED_EXECUTORS
from galenastall.coordination.cell.reservation_plan import PlannedStart
from galenastall.coordination.cell.speed_wish import wish_of
from galenastall.coordination.cell.wait_queue import WaitingStep

RENEW_AHEAD_S: Final = 0.5
"""Tickets of single tasks are renewed this long before capacity is expected."""
GANG_RENEW_MARGIN_S: Final = 0.15
"""A gang's tickets are requested this much earlier than a call takes: expected ends are off by as
much, and tickets are valid for far longer."""
MAX_EXECUTORS_PER_CALL: Final = 100
"""Executors that one call may name, as specified by the platform."""
SHORT_CALL_EXECUTORS: Final = 30
"""Executors that a short call names; each of them makes the call longer."""
HOSTS_PER_SHORT_CALL: Final = 4
"""Hosts that must be free for each of several short calls that replace a long one."""
CANDIDATE_FACTOR: Final = 2.0
"""A first request names executors until the expected approved places are this many times those
wanted: other steps take some of the places during the call."""
POLL_AFTER_REQUEST_S: Final = 4.0
"""How long executors named in a request are polled continuously: a call takes a second or two, and
its tickets are valid for as long."""
MIN_GANG_CANDIDATES: Final = 300
"""Executors that the first request of a gang may name however few members it has."""
HOSTS_RESERVED_FOR_URGENT: Final = 2
"""Hosts left free by calls for other work, which take many times longer."""


class AdvicePlanner:
    """Adds advice requests to the tables, step by step."""

    def __init__(self, *, state: CellState, advice: AdviceTable, forecast: Forecast) -> None:
        """Operate on these tables."""
        self._state = state
        self._advice = advice
        self._forecast = forecast

    def request_for_gang(
        self,
        waiting: WaitingStep,
        advice: StepAdvice,
        usable: list[Executor],
        planned: PlannedStart | None,
    ) -> None:
        """Request advice on executors not yet named, or renew the tickets of a planned start."""
        if not self._free_hosts(waiting):
            return
        call_s = self._call_s(waiting, SHORT_CALL_EXECUTORS)
        if planned is None or planned.at > waiting.now + 2.0 * call_s:
            fresh = self._not_yet_named(waiting, advice, usable)
            self._request_new(waiting, fresh[: self._max_gang_candidates(waiting)])
            return
        if planned.at > waiting.now + call_s + GANG_RENEW_MARGIN_S:
            return
        if any(_expires(advice, slot.executor, planned) for slot in planned.slots):
            self._request(waiting, self._renewed(waiting, advice, usable, planned))

    def request_for_singles(
        self, waiting: WaitingStep, advice: StepAdvice, usable: list[Executor], left: int
    ) -> None:
        """Request advice on executors not yet named, or renew tickets where capacity is near."""
        if not self._free_hosts(waiting):
            return
        wanted = self._worth_renewing(waiting, advice, usable) if advice.asked else []
        if wanted:
            self._request(waiting, wanted)
        else:
            fresh = self._not_yet_named(waiting, advice, usable)
            self._request_new(waiting, fresh[: self._candidate_count(waiting, fresh, left)])

    def can_request(self, waiting: WaitingStep) -> bool:
        """Whether a host is free to request advice on a step now."""
        return self._free_hosts(waiting) > 0

    def _free_hosts(self, waiting: WaitingStep) -> int:
        """Return how many hosts a step may use for calls now."""
        hosts = self._state.advice_calls_at_once
        if waiting.is_urgent:
            return max(hosts - self._advice.calls_under_way, 1)
        if hosts > HOSTS_RESERVED_FOR_URGENT:
            hosts -= HOSTS_RESERVED_FOR_URGENT
        return max(hosts - self._advice.calls_under_way, 0)

    def _call_s(self, waiting: WaitingStep, named: int) -> float:
        timing = waiting.queue.advisor
        assert timing is not None, "only steps of queues with an advisor need advice"
        return timing.base_s + timing.per_executor_s * named

    def _request(self, waiting: WaitingStep, wanted: list[Executor]) -> None:
        if not wanted:
            return
        timing = waiting.queue.advisor
        assert timing is not None, "only steps of queues with an advisor need advice"
        ids = tuple(executor.executor_id for executor in wanted)
        for executor in wanted:
            self._state.keep_polled(executor, until=waiting.now + POLL_AFTER_REQUEST_S)
        self._advice.begin(waiting.step.key, ids, waiting.now)
        self._state.asks.append(
            AdviceRequest(
                step=waiting.step.key,
                executor_ids=ids,
                timing=timing,
                queue_name=waiting.queue.name,
                is_urgent=waiting.is_urgent,
            )
        )

    def _not_yet_named(
        self, waiting: WaitingStep, advice: StepAdvice, usable: list[Executor]
    ) -> list[Executor]:
        """Return the executors that no answered call named, those with most free cores first.

        While speeds are in use, those of the wanted speed that have capacity now go before.
        """
        fresh = [e for e in usable if e.executor_id not in advice.asked]
        fresh.sort(key=lambda e: (-e.free.cores_milli, e.executor_id))
        wish = wish_of(waiting, self._state.speeds)
        if wish.speeds is not None:
            need = waiting.step.step.need
            fresh.sort(key=lambda e: (not need.fits_in(e.free), wish.rank(e)))
        return fresh

    def _request_new(self, waiting: WaitingStep, wanted: list[Executor]) -> None:
        """Request advice on executors not yet named, through several hosts if they are many.

        With one call after the other the first tickets would expire before a gang has enough.
        """
        if Mechanism.ADVICE_AT_ONCE in self._state.without:
            wanted = wanted[:SHORT_CALL_EXECUTORS]
        calls = _calls_for(len(wanted), hosts_left=self._free_hosts(waiting))
        for number in range(calls):
            self._request(waiting, wanted[number::calls][:MAX_EXECUTORS_PER_CALL])

    def _max_gang_candidates(self, waiting: WaitingStep) -> int:
        """Return how many executors a gang's request may name: a few times what it can use."""
        share = self._advice.approved_share(waiting.queue.name)
        wanted = CANDIDATE_FACTOR * waiting.step.step.count / share
        return max(int(wanted), MIN_GANG_CANDIDATES)

    def _candidate_count(self, waiting: WaitingStep, fresh: list[Executor], count: int) -> int:
        """Return how many of the executors to name for `count` single tasks."""
        need = waiting.step.step.need
        share = self._advice.approved_share(waiting.queue.name)
        expected = 0.0
        for number, executor in enumerate(fresh):
            if number >= ADVISED_EXECUTORS and expected >= CANDIDATE_FACTOR * count:
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
        """Return a planned start's executors, and other approved ones with capacity by then."""
        wanted = [slot.executor for slot in planned.slots]
        if len(wanted) > MAX_EXECUTORS_PER_CALL:
            # One call can't name them all: the next call names those left out.
            wanted = [e for e in wanted if _expires(advice, e, planned)]
        named = {executor.executor_id for executor in wanted}
        need = waiting.step.step.need
        others = [
            e
            for e in usable
            if e.executor_id in advice.tickets_by_executor
            and e.executor_id not in named
            and self._has_capacity_by(e, waiting, planned.at)
        ]
        others.sort(key=lambda e: (-e.count_fitting(need, MAX_EXECUTORS_PER_CALL), e.executor_id))
        most = min(max(2 * len(wanted), ADVISED_EXECUTORS // 2), MAX_EXECUTORS_PER_CALL)
        return [*wanted, *others][:most]

    def _worth_renewing(
        self, waiting: WaitingStep, advice: StepAdvice, usable: list[Executor]
    ) -> list[Executor]:
        """Return approved executors with capacity soon, if some of their tickets have expired."""
        soon = waiting.now + RENEW_AHEAD_S
        candidates = [
            executor
            for executor in usable
            if executor.executor_id in advice.tickets_by_executor
            and may_add(executor, waiting.step)
            and self._has_capacity_by(executor, waiting, soon)
        ]
        has_expired = any(waiting.ticket(e.executor_id) is None for e in candidates)
        return candidates[:MAX_EXECUTORS_PER_CALL] if has_expired else []

    def _has_capacity_by(self, executor: Executor, waiting: WaitingStep, at: float) -> bool:
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
    """Return through how many hosts to request advice on `count` executors not yet named.

    Uses short calls while hosts are idle, and as few calls as can name them all while others wait
    for hosts: each call has a base time besides its time per executor.
    """
    fewest = -(-count // MAX_EXECUTORS_PER_CALL)
    shortest = -(-count // SHORT_CALL_EXECUTORS)
    spread = hosts_left // HOSTS_PER_SHORT_CALL
    return min(max(fewest, min(shortest, spread)), hosts_left)


def _expires(advice: StepAdvice, executor: Executor, planned: PlannedStart) -> bool:
    """Whether an executor's ticket expires before a planned start."""
    good_until = advice.good_until_by_executor.get(executor.executor_id, float("-inf"))
    return good_until < planned.at + TICKET_MARGIN_S
