"""Asks the advisor about waiting steps, and keeps room while tickets are renewed."""

from collections import defaultdict
from typing import Final

from galenastall.coordination.cell.advice import AdviceBook, StepAdvice
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import AskAdvice
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.fitting import may_add
from galenastall.coordination.cell.objectives import ADVISED_EXECUTORS
from galenastall.coordination.cell.waiting_line import WaitingStep
from galenastall.state.cell.jobs import StepKey
from galenastall.state.resources import NOTHING, Resources

RENEW_AHEAD_S: Final = 0.5
"""Tickets are renewed this long before room is expected: a call takes 0.1 to 0.7 s."""


class AdviceAsker:
    """Puts questions into the tables, one a step at a time."""

    def __init__(self, *, state: CellState, advice: AdviceBook) -> None:
        """Work on these tables."""
        self._state = state
        self._advice = advice
        self._holds_by_step: defaultdict[StepKey, list[tuple[Executor, int]]] = defaultdict(list)
        """Executors that keep room for a step while its tickets are renewed, for how many tasks."""

    def ask_if_useful(
        self, waiting: WaitingStep, advice: StepAdvice, left: int, usable: list[Executor]
    ) -> None:
        """Ask about executors that were never asked, or again about approved ones with room."""
        fresh = [e for e in usable if e.executor_id not in advice.asked]
        fresh.sort(key=lambda e: (-e.free_cores_milli, e.executor_id))
        wanted = fresh[:ADVISED_EXECUTORS]
        if advice.asked:
            wanted = self._worth_renewing(waiting, advice, left, usable) or wanted
            self._hold(waiting, left, wanted)
        if wanted:
            self._ask(waiting, wanted)

    def _ask(self, waiting: WaitingStep, wanted: list[Executor]) -> None:
        """Ask about these executors."""
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

    def _worth_renewing(
        self, waiting: WaitingStep, advice: StepAdvice, left: int, usable: list[Executor]
    ) -> list[Executor]:
        """Return approved executors with enough room, if tickets of theirs ran out."""
        need = waiting.step.step.need
        room_by_id = {
            executor.executor_id: self._room_soon(executor, need, left, waiting.now)
            for executor in usable
            if executor.executor_id in advice.tickets_by_executor
            and may_add(executor, waiting.step)
        }
        roomy = [e for e in usable if room_by_id.get(e.executor_id, 0) > 0]
        enough = left if waiting.step.step.is_gang else 1
        has_expired = any(waiting.ticket(e.executor_id) is None for e in roomy)
        return roomy if sum(room_by_id.values()) >= enough and has_expired else []

    def _room_soon(self, executor: Executor, need: Resources, most: int, now: float) -> int:
        """Return how many of `need` should fit once a call for advice has been answered."""
        ending = self._ending_soon(executor, now)
        executor.give_back(ending)
        fitting = executor.room_for(need, most)
        executor.take(ending)
        return fitting

    def _ending_soon(self, executor: Executor, now: float) -> Resources:
        """Return what the runs hold that should end within RENEW_AHEAD_S at their pace so far."""
        ending = NOTHING
        for key in executor.runs_by_task:
            found = self._state.find(key)
            ends_at = found[2].ends_at() if found is not None else None
            if found is not None and ends_at is not None and ends_at < now + RENEW_AHEAD_S:
                ending = ending + found[1].step.need
        return ending

    def _hold(self, waiting: WaitingStep, left: int, wanted: list[Executor]) -> None:
        """Keep room for the tasks while their tickets are renewed."""
        need = waiting.step.step.need
        for executor in wanted:
            fitting = executor.room_for(need, left)
            if fitting:
                executor.hold_room(waiting.step.key, need.times(fitting))
                self._holds_by_step[waiting.step.key].append((executor, fitting))
                left -= fitting
            if left <= 0:
                return

    def drop_holds(self, step: StepKey) -> None:
        """Give back what is kept for a step."""
        for executor, _ in self._holds_by_step.pop(step, ()):
            executor.drop_hold(step)

    def drop_holds_but_of(self, steps: set[StepKey]) -> None:
        """Give back what is kept for other steps than these."""
        for step in self._holds_by_step.keys() - steps:
            self.drop_holds(step)

    def held_count(self, step: StepKey) -> int:
        """Return for how many tasks of a step executors hold room."""
        return sum(count for _, count in self._holds_by_step.get(step, ()))
