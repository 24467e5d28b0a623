"""Throttles fillers that harm the serving tasks on their executor, and speeds them up again."""

from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import ThrottleOrder
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import StartState, TaskRun

FULL_PERCENT: Final = 100
THROTTLE_ABOVE: Final = 0.85
"""Share of a latency target above which fillers are halved: a tail is a rough estimate over half a
second."""
RAISE_BELOW: Final = 0.6
"""Share of a latency target below which fillers may speed up by a step."""
STEP_UP_PERCENT: Final = 10
MIN_PERCENT: Final = 10
"""Below this a filler is suspended."""
CHANGE_INTERVAL_S: Final = 0.6
"""Minimum interval between rate changes on an executor: its tail figure follows a change within
half a second."""
REPEAT_S: Final = 0.5
"""Interval between attempts of an order that was not confirmed."""


class Throttling:
    """Keeps one throttling rate for all fillers of an executor: halved quickly, raised slowly."""

    def __init__(self, *, state: CellState) -> None:
        """Operate on these tables."""
        self._state = state

    def on_listing(self, executor: Executor) -> None:
        """Adjust an executor's rate to the tail latencies in its latest listing."""
        serving, fillers = self._split(executor)
        if not fillers:
            executor.filler_rate_percent = FULL_PERCENT
            return
        shares = [
            task.figure / step.step.tail_target_ms for step, task in serving if task.figure > 0
        ]
        self._change(executor, max(shares, default=0.0))
        for task in fillers:
            self._order(executor, task)

    def on_throttle_confirmed(self, order: ThrottleOrder) -> None:
        """Note that an executor has confirmed a throttling rate."""
        task = self._state.find_ordered(order)
        if task is not None:
            task.rate_percent = order.percent

    def _split(self, executor: Executor) -> tuple[list[tuple[StepRun, TaskRun]], list[TaskRun]]:
        serving: list[tuple[StepRun, TaskRun]] = []
        fillers: list[TaskRun] = []
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is None or found[2].state is not StartState.STARTED:
                continue
            if found[1].step.is_filler:
                fillers.append(found[2])
            elif found[1].step.tail_target_ms > 0:
                serving.append((found[1], found[2]))
        return serving, fillers

    def _change(self, executor: Executor, worst_share: float) -> None:
        now = self._state.now
        if now - executor.filler_rate_set_at < CHANGE_INTERVAL_S:
            return
        percent = executor.filler_rate_percent
        if worst_share > THROTTLE_ABOVE:
            percent = percent // 2 if percent // 2 >= MIN_PERCENT else 0
        elif worst_share < RAISE_BELOW:
            percent = min(percent + STEP_UP_PERCENT, FULL_PERCENT)
        if percent == executor.filler_rate_percent:
            return
        self._state.note(
            "executor.paced",
            executor.executor_id,
            cause=f"the worst tail latency is at {worst_share:.2f} of its target",
            fields={"percent": str(percent), "before": str(executor.filler_rate_percent)},
        )
        executor.filler_rate_percent = percent
        executor.filler_rate_set_at = now

    def _order(self, executor: Executor, task: TaskRun) -> None:
        now = self._state.now
        if task.rate_percent == executor.filler_rate_percent or task.is_stopping:
            return
        if (
            now - task.rate_sent_at < REPEAT_S
            and task.sent_rate_percent == executor.filler_rate_percent
        ):
            return
        task.rate_sent_at = now
        task.sent_rate_percent = executor.filler_rate_percent
        self._state.throttle_orders.append(
            ThrottleOrder(
                task=task.key,
                run=task.run,
                executor_id=executor.executor_id,
                percent=executor.filler_rate_percent,
            )
        )
