"""Applies the outcomes of start and stop orders, including missing answers, to runs."""

from enum import StrEnum
from typing import Final

from galenastall.coordination.cell.advice import AdviceTable
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import StartOrder, StopOrder
from galenastall.coordination.cell.executor_health import ExecutorHealth
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.task_runs import StartState, TaskRun
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.phases import RunEnd

PATH_CHECK_INTERVAL_S: Final = 0.1
"""Minimum time between two scans of a data centre for executors that have not answered since a
start was sent. Starts lost to a network cut fail together, by the hundred in a large fleet."""


class StartOutcome(StrEnum):
    """The known result of a start order."""

    STARTED = "started"
    NOT_STARTED = "not_started"
    """The executor refused it, or nothing was sent: the run never starts."""
    ENDED = "ended"
    """This run or a later one was stopped or has ended there; a listing shows which."""
    NO_TICKET = "no_ticket"
    """Refused because of its ticket."""
    UNHEALTHY = "unhealthy"
    """Refused by an executor that is to be paused."""
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may still be."""


class OrderOutcomes:
    """Applies the outcomes of orders to the leader's tables."""

    def __init__(
        self, *, state: CellState, ends: RunEnds, advice: AdviceTable, health: ExecutorHealth
    ) -> None:
        """Work on these tables; `health` is notified of accepted and refused starts."""
        self._state = state
        self._health = health
        self._ends = ends
        self._path_checked_at_by_data_centre: dict[str, float] = {}
        self._advice = advice

    def on_start(
        self, order: StartOrder, outcome: StartOutcome, *, now: float, wall: float
    ) -> bool:
        """Apply a start's outcome; return whether the same order should be retried."""
        if outcome is StartOutcome.UNKNOWN:
            self._record_unanswered(order, now)
        task = self._state.find_ordered(order)
        if task is None:
            return False
        task.tries += 1
        if outcome is StartOutcome.STARTED:
            task.state = StartState.STARTED
            task.confirmed_seq = self._state.next_seq()
            task.began_at = now if task.began_at is None else task.began_at
            self._state.jobs_by_id[order.task.job].note_start()
            self._health.on_start_taken(order.executor_id)
            return False
        if outcome is StartOutcome.UNKNOWN:
            self._hold_unresponsive(task.executor_id, now)
            return self._on_unknown(task)
        if outcome is StartOutcome.ENDED:
            self._on_ended(task)
            return False
        self._on_refused(order, outcome, now=now, wall=wall)
        return False

    def on_started_later(self, order: StartOrder, *, sent_at: float, now: float) -> None:
        """Wait for the listing of the later incarnation that has carried out a start.

        That incarnation gets nothing new before.
        """
        self._state.late_orders.on_unanswered(order, sent_at=sent_at)
        for executor in self._state.executors.named(executor_name(order.executor_id)):
            executor.start_unanswered_at = now
            self._state.request_listing(executor)

    def _record_unanswered(self, order: StartOrder, now: float) -> None:
        """Make it durable that an unanswered start may still be carried out."""
        found = self._state.find(order.task)
        sent_to = self._state.late_orders.sent_to(order.task, now=now)
        if found is not None and sent_to:
            found[2].unanswered_by = sent_to
            self._state.dirty_jobs.add(order.task.job)

    def _hold_unresponsive(self, executor_id: str, now: float) -> None:
        """Hold new work from an executor that left a start unanswered.

        The same applies to executors of its data centre that have not answered since that start.
        """
        unresponsive = self._state.executors_by_id.get(executor_id)
        if unresponsive is None or Mechanism.PATH_DOUBTS in self._state.without:
            return
        unresponsive.start_unanswered_at = now
        self._state.request_listing(unresponsive)
        data_centre = unresponsive.info.data_centre
        if (
            now - self._path_checked_at_by_data_centre.get(data_centre, float("-inf"))
            < PATH_CHECK_INTERVAL_S
        ):
            return
        self._path_checked_at_by_data_centre[data_centre] = now
        sent_at = now - self._state.timings.order_timeout_s
        for executor in self._state.executors_by_id.values():
            is_same_data_centre = executor.info.data_centre == data_centre
            has_answered = executor.answered_at is not None and executor.answered_at >= sent_at
            is_in_use = bool(executor.runs_by_task) or executor.has_answered(
                now=now, reach_s=self._state.timings.reach_s
            )
            if is_same_data_centre and is_in_use and not has_answered:
                executor.start_unanswered_at = now
                self._state.request_listing(executor)

    def _on_unknown(self, task: TaskRun) -> bool:
        task.state = StartState.UNSURE
        if task.is_stopping:
            return False
        executor = self._state.executors_by_id.get(task.executor_id)
        job = self._state.jobs_by_id[task.key.job].job
        has_capacity = executor is None or not executor.is_overcommitted
        if not has_capacity or self._state.workspaces.is_over(job.workspace):
            self._ends.stop_for_capacity(task)
            return False
        if task.tries < self._state.timings.start_tries:
            return True
        cause = f"no answer to {task.tries} start orders"
        self._ends.stop(task, rule=StopRule.NO_ANSWER, cause=cause)
        return False

    def _on_ended(self, task: TaskRun) -> None:
        task.state = StartState.STARTED
        task.confirmed_seq = self._state.next_seq()
        executor = self._state.executors_by_id.get(task.executor_id)
        if executor is not None:
            self._state.request_listing(executor)

    def _on_refused(
        self, order: StartOrder, outcome: StartOutcome, *, now: float, wall: float
    ) -> None:
        task = self._state.find_ordered(order)
        if task is not None and task.tries > 1:
            # An earlier try got no answer and may still be carried out; only a stop rules that out.
            cause = f"refused as {outcome.value} after an unanswered start"
            self._ends.stop(task, rule=StopRule.REFUSED_LATER, cause=cause)
            return
        executor = self._state.executors_by_id.get(order.executor_id)
        if executor is not None and task is not None and outcome is StartOutcome.UNHEALTHY:
            self._health.on_refusal(executor, task, now=now)
        elif executor is not None and outcome is StartOutcome.NOT_STARTED:
            self._health.on_start_late(executor, now=now)
        if outcome is StartOutcome.NO_TICKET:
            self._advice.drop_ticket(order.task.step_key, order.executor_id)
        self._state.note(
            "run.refused",
            order.task.job,
            cause=outcome.value,
            fields={"run": str(order.run), "executor": order.executor_id},
        )
        if task is not None:
            # Otherwise best fit would place a gang here again, to be refused again.
            task.avoid(order.executor_id)
        self._ends.apply(order.task, order.run, RunEnd.NEVER_STARTED, wall=wall)

    def on_stop(self, order: StopOrder) -> None:
        """Apply the answer to a stop: the run is listed as ended from now on, or never starts."""
        executor = self._state.executors_by_id.get(order.executor_id)
        if executor is not None:
            self._state.request_listing(executor)
        task = self._state.find_ordered(order)
        if task is not None:
            task.stop_seq = self._state.next_seq()

    def order_stops(self, now: float) -> None:
        """Send pending stops, and resend those whose run is not listed as ended after a while."""
        for key in sorted(self._state.stopping):
            found = self._state.find(key)
            if found is None or not found[2].is_stopping:
                self._state.stopping.discard(key)
            elif self._is_stop_due(found[2], now):
                found[2].stop_sent_at = now
                self._state.stops.append(_stop_of(found[2]))

    def _is_stop_due(self, task: TaskRun, now: float) -> bool:
        """Whether to send a stop; if the start has not been sent yet, it is dropped instead."""
        if task.state is StartState.WRITING:
            return False
        return now - task.stop_sent_at >= self._state.timings.resend_after_s


def _stop_of(task: TaskRun) -> StopOrder:
    return StopOrder(task=task.key, run=task.run, executor_id=task.executor_id)
