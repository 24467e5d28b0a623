"""Starts without an answer, which an executor may carry out seconds later.

Answers this load: executors that restart under their names while orders to them are on their way.
The executor that a start was sent to refuses it when it comes late, for it knows the run; one that
has started again carries it out unless it has seen a later token. So until the start can't come any
more, its task is started again only while each executor that it may reach is known not to have
restarted, or has seen a later token.
"""

from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.state.cell.executor_ids import executor_name

SURE_S: Final = 1.5
"""An executor whose last listing is older may have restarted since: a long poll and a margin."""


class LateStarts:
    """Knows which tasks may have a start on its way."""

    def __init__(self, *, state: CellState) -> None:
        """Work on these tables."""
        self._state = state

    def note(self, order: StartOrder, *, now: float) -> None:
        """Note that a start, sent by `now`, has got no answer."""
        until = now + self._state.timings.late_order_s
        found = self._state.find(order.task)
        if found is not None:
            found[2].unanswered_until_by_executor[order.executor_id] = until
        executor = self._state.executors_by_id.get(order.executor_id)
        if executor is not None:
            executor.unanswered_until = until
            self._state.keep_polled(executor, until=until)

    def may_begin_unseen(self, task: TaskRun, *, now: float) -> bool:
        """Whether a start that comes late may begin the task where this leader does not see it."""
        unanswered_until = task.unanswered_until_by_executor
        if not unanswered_until:
            return False
        return any(
            until > now and not self._is_harmless(executor_id, now=now)
            for executor_id, until in unanswered_until.items()
        )

    def _is_harmless(self, executor_id: str, *, now: float) -> bool:
        """Whether what answers under the executor's name now refuses orders of before."""
        incarnations = self._state.executors.named(executor_name(executor_id))
        if not incarnations:
            return self._state.executors.is_over(executor_id)
        return all(self._is_sure(executor, now=now) for executor in incarnations)

    @staticmethod
    def _is_sure(executor: Executor, *, now: float) -> bool:
        if executor.has_restarted or executor.lost_at is not None:
            return False
        return executor.has_answered(now=now, reach_s=SURE_S)
