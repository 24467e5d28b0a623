"""Which executors the advisor approves for a step, and until when its tickets are valid."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from galenastall.state.cell.jobs import StepKey

TICKET_MARGIN_S: Final = 0.25
"""A ticket is used only if it is valid for longer than this: an append and a start come first."""
REPEAT_UNANSWERED_AFTER_S: Final = 2.5
"""How long an unanswered advice call prevents another one for its step."""
MAX_UNANSWERED_CALLS: Final = 2
"""Unanswered calls of one step at which it makes no further call."""
RETRY_PAUSE_S: Final = 0.15
"""Pause after a call that failed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Approval:
    """An executor that may run a step, with its ticket."""

    executor_id: str
    ticket: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingCall:
    """An advice call that has no answer yet."""

    executor_ids: frozenset[str]
    """Executors that it names."""
    asked_at: float
    """Leader's time."""


@dataclass(slots=True)
class StepAdvice:
    """All answers of the advisor about one step."""

    asked: set[str] = field(default_factory=set)
    """Executors named in answered calls; those that were not approved never will be."""
    tickets_by_executor: dict[str, str] = field(default_factory=dict)
    good_until_by_executor: dict[str, float] = field(default_factory=dict)
    """Leader's time at which each ticket expires."""
    pending_calls: list[PendingCall] = field(default_factory=list)
    """Calls without an answer; a call repeated for the same executors is listed twice."""
    not_before: float = 0.0

    def ticket(self, executor_id: str, now: float) -> str | None:
        """Return a ticket that is valid for long enough, or None."""
        if self.good_until_by_executor.get(executor_id, 0.0) < now + TICKET_MARGIN_S:
            return None
        return self.tickets_by_executor[executor_id]

    def ticketed(self, now: float) -> list[str]:
        """Return the executors whose tickets are valid for long enough."""
        until = now + TICKET_MARGIN_S
        return [i for i, good_until in self.good_until_by_executor.items() if good_until >= until]

    def is_request_pending(self, now: float) -> bool:
        """Whether a call is pending, or one has just failed."""
        if now < self.not_before or len(self.pending_calls) >= MAX_UNANSWERED_CALLS:
            return True
        return any(now - call.asked_at < REPEAT_UNANSWERED_AFTER_S for call in self.pending_calls)

    def has_ticket_soon(self, executor_id: str, now: float) -> bool:
        """Whether an executor has a valid ticket, or a pending call names it."""
        if self.ticket(executor_id, now) is not None:
            return True
        return any(executor_id in call.executor_ids for call in self.pending_calls)

    def end_call(self, executor_ids: frozenset[str]) -> bool:
        """Remove the oldest pending call for these executors; return False if there is none."""
        for call in self.pending_calls:
            if call.executor_ids == executor_ids:
                self.pending_calls.remove(call)
                return True
        return False


@dataclass(slots=True)
class _ApprovedShare:
    answered: int = 0
    approved: int = 0

    @property
    def value(self) -> float:
        """Return the approved share; one half before any answer."""
        return (self.approved + 1.0) / (self.answered + 2.0)


class AdviceTable:
    """Advice by step; dropped when the step's job is forgotten."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._advice_by_step: dict[StepKey, StepAdvice] = {}
        self._calls_under_way = 0
        self._shares_by_queue: defaultdict[str, _ApprovedShare] = defaultdict(_ApprovedShare)

    def of(self, step: StepKey) -> StepAdvice:
        """Return the advice for a step, creating an empty entry if there is none."""
        advice = self._advice_by_step.get(step)
        if advice is None:
            advice = self._advice_by_step[step] = StepAdvice()
        return advice

    @property
    def calls_under_way(self) -> int:
        """Number of calls without an answer."""
        return self._calls_under_way

    def approved_share(self, queue_name: str) -> float:
        """Return the share of a queue's advised executors that were approved so far."""
        return self._shares_by_queue[queue_name].value

    def begin(self, step: StepKey, executor_ids: Sequence[str], now: float) -> None:
        """Note that a call is pending."""
        call = PendingCall(executor_ids=frozenset(executor_ids), asked_at=now)
        self.of(step).pending_calls.append(call)
        self._calls_under_way += 1

    def answer(
        self,
        step: StepKey,
        executor_ids: Sequence[str],
        approved: tuple[Approval, ...],
        *,
        validity_s: float,
        now: float,
        queue_name: str = "",
    ) -> None:
        """Record the answer to a call for `executor_ids`, received at `now`.

        TICKET_MARGIN_S covers the time that the answer was in transit.
        """
        advice = self._end_call(step, executor_ids)
        if advice is None:
            return
        self._count(advice, executor_ids, approved, queue_name)
        for approval in approved:
            advice.tickets_by_executor[approval.executor_id] = approval.ticket
            advice.good_until_by_executor[approval.executor_id] = now + validity_s

    def adopt(
        self,
        step: StepKey,
        executor_ids: Sequence[str],
        approved: tuple[Approval, ...],
        *,
        good_until: float,
        queue_name: str,
    ) -> None:
        """Record an answer that an earlier leader requested; its tickets may have expired."""
        advice = self.of(step)
        self._count(advice, executor_ids, approved, queue_name)
        for approval in approved:
            known_until = advice.good_until_by_executor.get(approval.executor_id, float("-inf"))
            if good_until > known_until:
                advice.tickets_by_executor[approval.executor_id] = approval.ticket
                advice.good_until_by_executor[approval.executor_id] = good_until

    def _count(
        self,
        advice: StepAdvice,
        executor_ids: Sequence[str],
        approved: tuple[Approval, ...],
        queue_name: str,
    ) -> None:
        """Count newly named executors in the approved share, and mark all named ones as asked."""
        share = self._shares_by_queue[queue_name]
        share.answered += len(set(executor_ids) - advice.asked)
        share.approved += sum(1 for a in approved if a.executor_id not in advice.asked)
        advice.asked.update(executor_ids)

    def fail(self, step: StepKey, executor_ids: Sequence[str], now: float) -> None:
        """Note that a call has failed."""
        advice = self._end_call(step, executor_ids)
        if advice is not None:
            advice.not_before = now + RETRY_PAUSE_S

    def _end_call(self, step: StepKey, executor_ids: Sequence[str]) -> StepAdvice | None:
        """Remove a pending call and return its step's entry; None once its job was forgotten."""
        # Each call is removed exactly once: one that stays counted would block a host.
        advice = self._advice_by_step.get(step)
        if advice is not None and advice.end_call(frozenset(executor_ids)):
            self._calls_under_way -= 1
        return advice

    def drop_ticket(self, step: StepKey, executor_id: str) -> None:
        """Drop a ticket that the executor did not accept."""
        advice = self._advice_by_step.get(step)
        if advice is not None:
            advice.good_until_by_executor.pop(executor_id, None)

    def forget_job(self, job_id: str) -> None:
        """Drop the advice for all steps of a job."""
        for step in [step for step in self._advice_by_step if step.job == job_id]:
            advice = self._advice_by_step.pop(step)
            self._calls_under_way -= len(advice.pending_calls)
