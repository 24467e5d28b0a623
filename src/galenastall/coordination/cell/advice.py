"""Which executors the advisor lets run a step, and until when its tickets are good."""

from dataclasses import dataclass, field
from typing import Final

from galenastall.state.cell.jobs import StepKey

TICKET_MARGIN_S: Final = 0.25
"""A ticket is used only while it is good for longer: an append and a start take some 30 ms."""
ASK_PATIENCE_S: Final = 2.5
"""How long an unanswered call for advice keeps another one for its step from being made."""
ASK_AGAIN_S: Final = 0.15
"""Pause after a call that failed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Approval:
    """An executor that may run a step."""

    executor_id: str
    ticket: str


@dataclass(slots=True)
class StepAdvice:
    """All that the advisor said about one step."""

    asked: set[str] = field(default_factory=set)
    """Executors that a call has named and answered; who is not approved of these never is."""
    tickets_by_executor: dict[str, str] = field(default_factory=dict)
    good_until_by_executor: dict[str, float] = field(default_factory=dict)
    """Leader's time at which each ticket expires."""
    asking: frozenset[str] = frozenset()
    """Executors named by the call under way."""
    asked_at: float = 0.0
    not_before: float = 0.0

    def ticket(self, executor_id: str, now: float) -> str | None:
        """Return a ticket that is good for long enough, or None."""
        if self.good_until_by_executor.get(executor_id, 0.0) - now < TICKET_MARGIN_S:
            return None
        return self.tickets_by_executor[executor_id]

    def is_asking(self, now: float) -> bool:
        """Whether a call is under way, or one has just failed."""
        under_way = bool(self.asking) and now - self.asked_at < ASK_PATIENCE_S
        return under_way or now < self.not_before

    def may_run(self, executor_id: str) -> bool:
        """Whether the executor is approved or has not been asked about."""
        return executor_id in self.tickets_by_executor or executor_id not in self.asked


class AdviceBook:
    """Advice by step; forgotten with the step's last start."""

    def __init__(self) -> None:
        """Create an empty book."""
        self._advice_by_step: dict[StepKey, StepAdvice] = {}
        self._asking_steps: set[StepKey] = set()
        self._answered = 0
        self._approved = 0

    def of(self, step: StepKey) -> StepAdvice:
        """Return what is known about a step, creating an empty entry."""
        advice = self._advice_by_step.get(step)
        if advice is None:
            advice = self._advice_by_step[step] = StepAdvice()
        return advice

    def begin(self, step: StepKey, executor_ids: tuple[str, ...], now: float) -> None:
        """Note that a call is under way."""
        advice = self.of(step)
        advice.asking = frozenset(executor_ids)
        advice.asked_at = now
        self._asking_steps.add(step)

    @property
    def calls_under_way(self) -> int:
        """How many calls have no answer yet."""
        return len(self._asking_steps)

    @property
    def approved_share(self) -> float:
        """Share of the executors asked about that were approved so far; a half before any."""
        return (self._approved + 1.0) / (self._answered + 2.0)

    def answer(
        self, step: StepKey, approved: tuple[Approval, ...], *, validity_s: float, now: float
    ) -> None:
        """Take in an answer that came at `now`; TICKET_MARGIN_S covers its way here."""
        advice = self.of(step)
        self._answered += len(advice.asking - advice.asked)
        self._approved += sum(1 for a in approved if a.executor_id not in advice.asked)
        advice.asked |= advice.asking
        for approval in approved:
            advice.tickets_by_executor[approval.executor_id] = approval.ticket
            advice.good_until_by_executor[approval.executor_id] = now + validity_s
        advice.asking = frozenset()
        self._asking_steps.discard(step)

    def fail(self, step: StepKey, now: float) -> None:
        """Note that a call has failed."""
        advice = self.of(step)
        advice.asking = frozenset()
        advice.not_before = now + ASK_AGAIN_S
        self._asking_steps.discard(step)

    def drop_ticket(self, step: StepKey, executor_id: str) -> None:
        """Forget a ticket that the executor did not accept."""
        self.of(step).good_until_by_executor.pop(executor_id, None)

    def forget_job(self, job_id: str) -> None:
        """Forget all steps of a job."""
        for step in [step for step in self._advice_by_step if step.job == job_id]:
            del self._advice_by_step[step]
            self._asking_steps.discard(step)
