"""Applies the end of a run to its task, its step and its job."""

from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.crashes import MAX_WEIGHT, NO_ATTRIBUTION, Attribution
from galenastall.coordination.cell.executor_health import ExecutorHealth
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.job_runs import JobRun, StepRun
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.coordination.cell.task_runs import TaskRun
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import JobPhase, RunEnd, TaskPhase

_NOT_AN_ATTEMPT = frozenset(
    {
        RunEnd.STOPPED,
        RunEnd.LAPSED,
        RunEnd.BROKEN,
        RunEnd.ALONE,
        RunEnd.NEVER_STARTED,
        RunEnd.LOST,
    }
)
"""Ends that don't count as attempts of the task; crashes of executors are attributed separately."""

_RAN_TO_END = frozenset({RunEnd.DONE, RunEnd.FAILED})


class RunEnds:
    """Applies ends of runs, and requests the stops that follow from them."""

    def __init__(self, *, state: CellState, health: ExecutorHealth) -> None:
        """Work on these tables; `health` is notified of how runs end."""
        self._state = state
        self._health = health

    def apply(
        self,
        key: TaskKey,
        run: int,
        end: RunEnd,
        *,
        wall: float,
        saved: str = "",
        attribution: Attribution = NO_ATTRIBUTION,
    ) -> bool:
        """Apply the end of a run; return False if the task has no such run now.

        `attribution` is what a crash of its executor means for the task.
        """
        found = self._state.find(key)
        if found is None:
            return False
        job, step, task = found
        if task.phase is not TaskPhase.ASSIGNED or task.run != run:
            return False
        executor = self._state.free(task, step)
        task.save(saved, now=self._state.now)
        _record_attribution(task, end, attribution)
        if task.is_suspect and step.step.is_gang:
            self._state.suspect_members.add(key)
        self._log_end(task, end)
        task.unanswered_by = self._state.late_orders.sent_to(key, now=self._state.now)
        task.release()
        if executor is not None:
            self._update_health(executor, task, end)
        if executor is not None and end is not RunEnd.NEVER_STARTED:
            self._state.turnover_of(executor.info.service).note_release(step.step.need)
        self._advance_job(job, step, task, end, wall=wall)
        self._state.refresh_waiting(job)
        return True

    def _log_end(self, task: TaskRun, end: RunEnd) -> None:
        """Log an end and how long the run was in progress, which helps to find the cause."""
        fields = {
            "run": str(task.run),
            "executor": task.executor_id,
            "start": task.state.name.lower(),
            "at_work_s": f"{task.at_work_s:.2f}",
        }
        if task.crashes:
            fields["crashes"] = str(task.crashes)
            fields["blame"] = f"{task.blame} of {MAX_WEIGHT}"
        self._state.note(
            "run.ended", task.key.job, _task_name(task.key), cause=end.value, fields=fields
        )

    def _update_health(self, executor: Executor, task: TaskRun, end: RunEnd) -> None:
        if end is RunEnd.FAILED:
            self._health.on_failure(executor, task)
            task.avoid(executor.executor_id)
        elif end is RunEnd.DONE:
            self._health.on_success(executor)

    def _advance_job(
        self, job: JobRun, step: StepRun, task: TaskRun, end: RunEnd, *, wall: float
    ) -> None:
        if job.has_ended:
            return
        if end is RunEnd.DONE and not step.step.is_long_running:
            task.phase = TaskPhase.DONE
            self._on_done(job, step, wall=wall)
            return
        if step.is_done:
            task.phase = TaskPhase.DONE
            return
        if step.step.is_gang:
            self.stop_members(step, cause=f"member {task.key.number} ended as {end.value}")
        if task.blame >= MAX_WEIGHT:
            # A crash is not an attempt, so nothing else would end the job, and each crash ends all
            # other runs on the executor.
            cause = f"{task.crashes} executors crashed under task {_task_name(task.key)}"
            self.end_job(job, JobPhase.FAILED, wall=wall, cause=cause)
            return
        if end in _NOT_AN_ATTEMPT or step.step.is_long_running or end is RunEnd.DONE:
            return
        task.failures += 1
        self._check_attempts(job, step, task, wall=wall)

    def _check_attempts(self, job: JobRun, step: StepRun, task: TaskRun, *, wall: float) -> None:
        failures = task.failures
        if step.step.is_gang:
            # One failed run of a gang is one attempt, however many of its members failed.
            if step.failed_run < task.run:
                step.failed_run = task.run
                step.gang_failures += 1
            failures = task.failures = step.gang_failures
        most = self._state.queue_of(job).max_attempts
        if failures >= most:
            self.end_job(job, JobPhase.FAILED, wall=wall, cause=f"{failures} of {most} runs failed")

    def _on_done(self, job: JobRun, step: StepRun, *, wall: float) -> None:
        if step.step.is_gang:
            step.is_done = True
            step.done_at = self._state.now
            for member in step.waiting():
                member.phase = TaskPhase.DONE
        if not step.check_done():
            return
        job.drop_done_occurrences()
        if job.next_due() is not None:
            return
        if all(occurrence.is_done for occurrence in job.occurrences_by_number.values()):
            self.end_job(job, JobPhase.COMPLETED, wall=wall, cause="all tasks are done")

    def end_job(self, job: JobRun, phase: JobPhase, *, wall: float, cause: str) -> None:
        """End a job; its remaining runs are stopped once the end is durable."""
        job.phase = phase
        job.ended_at = wall
        self._state.dirty_jobs.add(job.job.job_id)
        self._state.refresh_waiting(job)
        self._state.note("job.ended", job.job.job_id, cause=cause, fields={"phase": phase.value})

    def stop_members(self, step: StepRun, *, cause: str) -> None:
        """Stop the remaining members of a gang's run."""
        for member in step.tasks:
            if member.phase is TaskPhase.ASSIGNED:
                self.stop(member, rule=StopRule.MEMBER_ENDED, cause=cause)

    def stop_stalled(self, task: TaskRun, *, cause: str) -> None:
        """Stop a stalled run; the next avoids this executor and has a longer stall timeout."""
        if task.is_stopping:
            return
        task.is_given_up = True
        task.avoid(task.executor_id)
        self.stop(task, rule=StopRule.STALLED, cause=cause)

    def stop_for_capacity(self, task: TaskRun) -> None:
        """Stop a run with an unanswered start that no longer fits into the capacity or quota."""
        self.stop(task, rule=StopRule.CAPACITY_SHRANK, cause="no answer; no capacity or quota left")

    def stop(self, task: TaskRun, *, rule: StopRule, cause: str) -> None:
        """Stop a task's run; decisions send the stop from now on until the run has ended."""
        if task.is_stopping:
            return
        task.is_stopping = True
        task.stop_sent_at = float("-inf")
        self._state.stopping.add(task.key)
        fields = {
            "run": str(task.run),
            "rule": rule,
            "executor": task.executor_id,
            "percent": str(task.percent),
            "stopped_so_far": str(self._state.count_stop(task, rule)),
        }
        self._state.note("run.stop", task.key.job, _task_name(task.key), cause=cause, fields=fields)


def _record_attribution(task: TaskRun, end: RunEnd, attribution: Attribution) -> None:
    """Record a crash under a task; a run that ended on its own clears the suspicion."""
    if attribution.weight:
        task.crashes += 1
        task.blame += attribution.weight
    if attribution.is_suspect:
        task.is_suspect = True
    elif end in _RAN_TO_END:
        task.is_suspect = False


def _task_name(key: TaskKey) -> str:
    return f"{key.occurrence}.{key.step}.{key.number}"
