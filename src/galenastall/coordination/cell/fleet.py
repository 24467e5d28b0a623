"""Tracks executors that join, drain and leave, from the platform's list and missing answers."""

from collections.abc import Iterable
from typing import Final

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.crashes import NO_ATTRIBUTION, CrashAttributor
from galenastall.coordination.cell.executors import Executor, ExecutorInfo
from galenastall.coordination.cell.incarnations import Incarnations
from galenastall.coordination.cell.job_runs import JobRun
from galenastall.coordination.cell.run_ends import RunEnds
from galenastall.coordination.cell.task_runs import StartState, TaskRun
from galenastall.coordination.cell.unresponsive import UnresponsiveExecutors
from galenastall.state.cell.executor_ids import started_at_ms_of
from galenastall.state.cell.phases import RunEnd, TaskPhase
from galenastall.state.resources import NOTHING

FORGET_AFTER_S: Final = 5.0
"""An executor without runs is removed after it has been off the list for this long."""


class Fleet:
    """Updates the executor table from the platform's list, and ends runs with expired leases."""

    def __init__(
        self,
        *,
        state: CellState,
        ends: RunEnds,
        crashes: CrashAttributor,
        incarnations: Incarnations,
        unresponsive: UnresponsiveExecutors,
    ) -> None:
        """Work on these tables; `incarnations` adds executors that are newly listed."""
        self._state = state
        self._ends = ends
        self._crashes = crashes
        self._incarnations = incarnations
        self._unresponsive = unresponsive
        self._unknown_service_ids: set[str] = set()
        """Executors already logged as being of a service that no configuration names."""

    def adopt(self, run: JobRun) -> None:
        """Reserve capacity for runs of earlier leaders; their executors may not be listed yet."""
        for task in run.assigned():
            step = run.find_step(task.key.step_key)
            if step is None:
                continue
            info = _unlisted(task.executor_id)
            executor = self._state.executors_by_id.get(task.executor_id)
            if executor is None:
                executor = self._incarnations.add(info, now=self._state.fenced_at)
                executor.is_listed = False
                self._unresponsive.adopt(executor)
            executor.reserve(step.step.need)
            executor.runs_by_task[task.key] = task.run
            self._state.count_run(task, step)
            if run.queue.advisor is None and started_at_ms_of(task.executor_id) is not None:
                self._inherit_start(task, task.executor_id)
        for task in run.tasks():
            if task.phase is TaskPhase.WAITING and task.unanswered_by:
                self._inherit_start(task, task.unanswered_by)
        for step in run.steps():
            if step.has_ended_members:
                self._ends.stop_members(step, cause="a member ended under an earlier leader")
            if step.step.is_gang:
                suspects = (task.key for task in step.tasks if task.is_suspect)
                self._state.suspect_members.update(suspects)

    def _inherit_start(self, task: TaskRun, executor_id: str) -> None:
        sent_by = self._state.fenced_at
        self._state.late_orders.inherit(task.key, task.run, executor_id, sent_by=sent_by)

    def update(self, infos: Iterable[ExecutorInfo], *, now: float) -> None:
        """Apply the current list; which of two incarnations has ended is decided by answers."""
        self._state.has_executor_list = True
        listed_by_id = {info.executor_id: info for info in infos if self._is_of_service(info)}
        for info in listed_by_id.values():
            if not self._incarnations.has_ended(info.executor_id):
                self._on_listed(info, now=now)
        for executor in list(self._state.executors_by_id.values()):
            if executor.executor_id not in listed_by_id:
                self._on_delisted(executor, now)

    def _is_of_service(self, info: ExecutorInfo) -> bool:
        """Whether a configuration names the executor's service; others are not called."""
        services = self._state.named_services
        if services is None or info.service in services:
            self._unknown_service_ids.discard(info.executor_id)
            return True
        if info.executor_id not in self._unknown_service_ids:
            self._unknown_service_ids.add(info.executor_id)
            cause = f"no configuration names its service {info.service[:40]!r}"
            self._state.note("executor.unnamed_service", info.executor_id, cause=cause)
        return False

    def _on_listed(self, info: ExecutorInfo, *, now: float) -> None:
        executor = self._state.executors_by_id.get(info.executor_id)
        if executor is None:
            executor = self._incarnations.add(info, now=now)
            self._state.note("executor.seen", info.executor_id, fields={"host": info.host})
        if executor.info is info and executor.is_listed and not executor.runs_by_task:
            return
        was_draining = executor.info.is_draining
        self._state.executors.set_info(executor, info)
        executor.is_listed = True
        if executor.is_overcommitted:
            self._stop_unanswered(executor)
        if info.is_draining and not was_draining:
            cause = "marked as draining in the platform's list"
            self._state.note("executor.draining", info.executor_id, cause=cause)

    def _stop_unanswered(self, executor: Executor) -> None:
        """Stop runs with unanswered starts on an overcommitted executor, instead of retrying."""
        for key in executor.runs_by_task:
            found = self._state.find(key)
            if found is not None and found[2].state is StartState.UNSURE:
                self._ends.stop_for_capacity(found[2])

    def stop_unanswered_over_limits(self) -> None:
        """Stop runs with unanswered starts of workspaces over their limits, instead of retrying."""
        for executor in self._state.executors_by_id.values():
            for key in executor.runs_by_task:
                found = self._state.find(key)
                if found is None or found[2].state is not StartState.UNSURE:
                    continue
                if self._state.workspaces.is_over(found[0].job.workspace):
                    self._ends.stop_for_capacity(found[2])

    def _on_delisted(self, executor: Executor, now: float) -> None:
        if executor.is_listed:
            executor.is_listed = False
            executor.delisted_at = now
            self._state.note("executor.delisted", executor.executor_id)
        if not executor.runs_by_task and now - executor.delisted_at > FORGET_AFTER_S:
            self._state.executors.remove(executor.executor_id)
            self._state.note("executor.forgotten", executor.executor_id)

    def expire(self, *, now: float, wall: float) -> None:
        """End runs whose leases have certainly expired on executors that do not answer."""
        reach_s = self._state.timings.reach_s
        running = [e for e in self._state.executors_by_id.values() if e.runs_by_task]
        for executor in running:
            if executor.has_answered(now=now, reach_s=reach_s):
                # Ends of its runs are taken from its listings.
                continue
            if not executor.runs_by_task or not executor.clock.has_lapsed(now):
                continue
            self._state.note(
                "executor.lapsed",
                executor.executor_id,
                cause="its leases expired before it answered again",
                fields={"runs": str(len(executor.runs_by_task))},
            )
            attributions = self._crashes.on_lapsed(executor)
            for key, run in list(executor.runs_by_task.items()):
                attribution = attributions.get(key, NO_ATTRIBUTION)
                self._ends.apply(key, run, RunEnd.LAPSED, wall=wall, attribution=attribution)


def _unlisted(executor_id: str) -> ExecutorInfo:
    """Return a placeholder entry for an executor of which only the id is stored."""
    return ExecutorInfo(
        executor_id=executor_id,
        host="",
        address="",
        data_centre="",
        service="",
        capacity=NOTHING,
    )
