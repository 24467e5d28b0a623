"""Collects the leader's writes to the store, and the orders to send once they are durable."""

from collections.abc import Iterable

from galenastall.coordination.cell.advice import AdviceTable
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.commands import Batch, StartOrder
from galenastall.coordination.cell.host_operations import HostOperations
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.task_runs import StartState
from galenastall.coordination.cell.unresponsive import UnresponsiveExecutors
from galenastall.state.cell.phases import JobPhase, RunEnd
from galenastall.state.cell.rows import (
    JOB_PREFIX,
    PROGRESS_PREFIX,
    encode_job,
    encode_progress,
)
from galenastall.state.cell.speeds import SPEEDS_KEY, SpeedsRow, encode_speeds


class Batches:
    """Collects changes for one append, and applies its effects once it is durable."""

    def __init__(
        self,
        *,
        state: CellState,
        ends: RunEnds,
        advice: AdviceTable,
        hosts: HostOperations,
        unresponsive: UnresponsiveExecutors,
    ) -> None:
        """Work on these tables; `hosts` and `unresponsive` add their own rows to each batch."""
        self._state = state
        self._ends = ends
        self._advice = advice
        self._hosts = hosts
        self._unresponsive = unresponsive
        self._dropped_keys: set[str] = set()
        self._speeds_value: bytes | None = None
        """The speeds to write with the next batch, empty to delete them; None if there are none."""

    @property
    def has_changes(self) -> bool:
        """Whether a batch taken now would contain anything."""
        state = self._state
        has_work = state.dirty_jobs or state.noted_executors or state.new_starts
        return bool(has_work) or self._hosts.has_changes or self._unresponsive.has_changes

    def store_speeds(self, row: SpeedsRow) -> None:
        """Write the speeds of hosts with the next batch that has anything else to write."""
        self._speeds_value = encode_speeds(row) if row.hosts else b""

    def drop(self, key: str) -> None:
        """Delete a key from the store with the next batch."""
        self._dropped_keys.add(key)

    def take(self) -> Batch:
        """Return all changes since the last batch; none of them is durable before `commit`."""
        state = self._state
        values: dict[str, bytes] = dict.fromkeys(self._dropped_keys, b"")
        job_ids = tuple(sorted(state.dirty_jobs))
        for job_id in job_ids:
            run = state.jobs_by_id.get(job_id)
            if run is not None:
                values.update(_job_rows(run))
                run.is_written = True
        values.update(self._hosts.take_values())
        values.update(self._unresponsive.take_values())
        if self._speeds_value is not None:
            values[SPEEDS_KEY] = self._speeds_value
            self._speeds_value = None
        noted = {
            executor_id: state.executors_by_id[executor_id].applied_position
            for executor_id in state.noted_executors
            if executor_id in state.executors_by_id
        }
        batch = Batch(
            values_by_key=values,
            starts=tuple(state.new_starts),
            noted_by_executor=noted,
            job_ids=job_ids,
            host_orders=self._hosts.take_orders(),
            answering=self._unresponsive.take_answering(),
        )
        state.dirty_jobs.clear()
        state.noted_executors.clear()
        state.new_starts.clear()
        self._dropped_keys.clear()
        return batch

    def commit(self, batch: Batch, *, wall: float) -> list[StartOrder]:
        """Record that a batch is durable; return the starts that may be sent now."""
        for executor_id, position in batch.noted_by_executor.items():
            executor = self._state.executors_by_id.get(executor_id)
            if executor is not None:
                executor.durable_position = position
        for job_id in batch.job_ids:
            run = self._state.jobs_by_id.get(job_id)
            if run is not None and job_id not in self._state.dirty_jobs:
                self._on_durable(run)
            elif run is not None:
                self._on_acceptance_durable(run)
        self._hosts.release(batch.host_orders)
        self._unresponsive.release(batch.answering)
        self._withhold_over_capacity(batch.starts, wall)
        return [order for order in batch.starts if self._may_send(order, wall)]

    def _withhold_over_capacity(self, orders: Iterable[StartOrder], wall: float) -> None:
        """Withdraw starts whose capacity or quota shrank while they were being made durable.

        An executor that does not enforce its capacity would start them. The last one placed is
        withdrawn first; a gang is withdrawn as a whole.
        """
        for order in reversed(list(orders)):
            cause = self._withheld_cause(order)
            if not cause or not self._state.find_ordered(order):
                continue
            fields = {"run": str(order.run), "executor": order.executor_id}
            self._state.note("run.withheld", order.task.job, cause=cause, fields=fields)
            self._ends.apply(order.task, order.run, RunEnd.NEVER_STARTED, wall=wall)

    def _withheld_cause(self, order: StartOrder) -> str:
        executor = self._state.executors_by_id.get(order.executor_id)
        if executor is not None and executor.is_overcommitted:
            return "no capacity left"
        job = self._state.jobs_by_id.get(order.task.job)
        if job is not None and self._state.workspaces.is_over(job.job.workspace):
            return "no quota left"
        return ""

    def _on_durable(self, run: JobRun) -> None:
        run.shown_phase = self._visible_phase(run)
        self._on_acceptance_durable(run)
        if not run.has_ended:
            return
        self._advice.forget_job(run.job.job_id)
        for task in run.assigned():
            step = run.find_step(task.key.step_key)
            if step is not None and not step.is_done:
                cause = f"its job is {run.phase.value}"
                self._ends.stop(task, rule=StopRule.JOB_ENDED, cause=cause)

    def _on_acceptance_durable(self, run: JobRun) -> None:
        """Record that a job's acceptance is durable, even if newer changes of the job are not."""
        if not run.is_durable:
            run.is_durable = True
            self._state.note(
                "job.accepted",
                run.job.job_id,
                fields={
                    "queue": run.queue.name,
                    "workspace": run.job.workspace,
                    "objective_s": f"{run.objective_s:.2f}",
                },
            )

    @staticmethod
    def _visible_phase(run: JobRun) -> JobPhase:
        if run.phase is JobPhase.QUEUED and run.has_started:
            return JobPhase.RUNNING
        return run.phase

    def _may_send(self, order: StartOrder, wall: float) -> bool:
        task = self._state.find_ordered(order)
        if task is None:
            return False
        if task.is_stopping or self._state.jobs_by_id[order.task.job].has_ended:
            self._ends.apply(order.task, order.run, RunEnd.NEVER_STARTED, wall=wall)
            return False
        task.state = StartState.SENT
        return True


def _job_rows(run: JobRun) -> dict[str, bytes]:
    """Return a job's rows in the order in which they are written.

    A write may stop after any of them. Progress without a definition can't be restored, so a job's
    definition is the first of its rows to be written and the last to be deleted.
    """
    job_id = run.job.job_id
    progress = {PROGRESS_PREFIX + job_id: encode_progress(run.row())}
    if run.has_ended:
        return progress | {JOB_PREFIX + job_id: b""}
    if not run.is_durable:
        return {JOB_PREFIX + job_id: encode_job(run.job)} | progress
    return progress
