"""Coordinate the gangs of one job shard: plan, hold, start, undo and retry them.

A gang's tasks end together: a task that is done stays open until all are, so that the whole gang
can be retried. The latest report on each task is kept in its assignment entry.
"""

from collections.abc import Iterable

from galenastall.coordination.jobs.assignees import AssigneeTable
from galenastall.coordination.jobs.gangs import Gang, GangPhase, GangStep, GangStepKind
from galenastall.coordination.jobs.job_run import Assigned, JobRun
from galenastall.coordination.jobs.shard_commands import GangCall, ShardSettings, StopBatch
from galenastall.coordination.jobs.task_intents import TaskIntents
from galenastall.coordination.placement.task_reports import (
    ENDING_KINDS,
    ReportKind,
    TaskAttempt,
    TaskReport,
    next_attempt,
)
from galenastall.state.ids import HostId, JobId, make_task_id


class GangCoordinator:
    """Drives every gang of a shard; the shard closes the tasks when a gang has ended."""

    def __init__(
        self, *, settings: ShardSettings, assignees: AssigneeTable, intents: TaskIntents
    ) -> None:
        """Start without gangs; `intents` collects the tasks that need a log record first."""
        self._intents = intents
        self._settings = settings
        self._assignees = assignees
        self._gangs_by_id: dict[JobId, Gang] = {}
        self._runs_by_id: dict[JobId, JobRun] = {}
        self._steps: list[tuple[JobId, GangStep]] = []
        self._repeat_at: dict[JobId, float] = {}

    def add(self, run: JobRun) -> None:
        """Add a gang."""
        spec = run.state.spec
        self._runs_by_id[spec.job_id] = run
        self._gangs_by_id[spec.job_id] = Gang(
            job_id=spec.job_id, tasks=spec.tasks, hold_s=self._settings.hold_s
        )

    def forget(self, job_id: JobId) -> None:
        """Remove a gang."""
        self._gangs_by_id.pop(job_id, None)
        self._runs_by_id.pop(job_id, None)
        self._repeat_at.pop(job_id, None)

    def __contains__(self, job_id: JobId) -> bool:
        return job_id in self._gangs_by_id

    def phase_of(self, job_id: JobId) -> GangPhase:
        """Return the phase of a gang."""
        return self._gangs_by_id[job_id].phase

    def report_kinds_of(self, job_id: JobId) -> dict[int, ReportKind]:
        """Return the latest kind of report on each task of the current attempt."""
        return self._gangs_by_id[job_id].kind_by_index

    def decide(self, now: float) -> None:
        """Begin the attempts that can begin and repeat the steps that got no answer."""
        for job_id, gang in self._gangs_by_id.items():
            if gang.phase is GangPhase.WAITING:
                self._try_to_begin(self._runs_by_id[job_id], gang, now)
            elif self._repeat_at.get(job_id, 0.0) <= now:
                self._repeat_at[job_id] = now + self._settings.gang_repeat_s
                self._push(job_id, gang.tick(now))

    def take_calls(self) -> tuple[tuple[GangCall, ...], list[StopBatch]]:
        """Return and clear the messages due: holds, starts and releases, and the tasks to stop."""
        steps, self._steps = self._steps, []
        calls: list[GangCall] = []
        stops: list[StopBatch] = []
        for job_id, step in steps:
            if step.kind is GangStepKind.STOP:
                stops.extend(self._stops_of(job_id, step))
            else:
                calls.append(self._call_of(job_id, step))
        return tuple(calls), stops

    def _call_of(self, job_id: JobId, step: GangStep) -> GangCall:
        run, gang = self._runs_by_id.get(job_id), self._gangs_by_id.get(job_id)
        if step.kind is not GangStepKind.HOLD or run is None or gang is None:
            return GangCall(job_id=job_id, step=step)
        tasks = tuple(run.make_task(index, attempt=gang.attempt) for index in step.indices)
        return GangCall(job_id=job_id, step=step, tasks=tasks)

    def on_hold(self, job_id: JobId, host: HostId, key: str, *, is_held: bool, now: float) -> None:
        """Process an owner's answer to a hold."""
        gang = self._gangs_by_id.get(job_id)
        if gang is None:
            return
        if not is_held:
            self._assignees.avoid(host, now)
        before = gang.phase
        self._push(job_id, gang.on_hold(host, key, is_held=is_held, now=now))
        if before is not gang.phase is GangPhase.STARTING:
            self._repeat_at[job_id] = now + self._settings.gang_repeat_s
            run = self._runs_by_id[job_id]
            for each, indices in gang.plan.items():
                for index in indices:
                    run.assigned_by_index[index] = Assigned(
                        host=each, attempt=gang.attempt, since=now
                    )

    def on_start(
        self, job_id: JobId, host: HostId, key: str, *, is_started: bool, now: float
    ) -> None:
        """Process an owner's answer to the start of its part."""
        gang = self._gangs_by_id.get(job_id)
        if gang is None or key != gang.key:
            return
        self._push(job_id, gang.on_start(host, key, is_started=is_started, now=now))
        if is_started:
            return
        assigned_by_index = self._runs_by_id[job_id].assigned_by_index
        for index in gang.plan[host]:
            if index in assigned_by_index:
                assigned_by_index[index].kind = ReportKind.RETURNED

    def on_report(self, job_id: JobId, index: int, report: TaskReport, now: float) -> None:
        """Process a report on one task."""
        gang = self._gangs_by_id[job_id]
        self._push(job_id, gang.on_report(index, report.attempt, report.kind, now))

    def cancel(self, job_id: JobId, now: float) -> None:
        """Release or stop all tasks of a gang."""
        gang = self._gangs_by_id.get(job_id)
        if gang is not None:
            self._push(job_id, gang.cancel(now))

    def resolve(self, run: JobRun, unconfirmed: Iterable[int], now: float) -> None:
        """Continue after a census: tasks found nowhere are lost to their gang's attempt."""
        job_id = run.state.spec.job_id
        gang = self._gangs_by_id[job_id]
        if gang.phase is GangPhase.WAITING:
            kinds = {
                index: (each.host, each.attempt, each.kind)
                for index, each in run.assigned_by_index.items()
            }
            gang.resume(kinds, now)
            return
        for index in sorted(unconfirmed):
            self._push(job_id, gang.on_report(index, gang.attempt, ReportKind.LOST, now))

    def is_over(self, job_id: JobId) -> bool:
        """Return whether the current attempt has ended for all tasks."""
        return self._gangs_by_id[job_id].phase is GangPhase.ENDED

    def retry(self, run: JobRun, now: float) -> None:
        """Let an ended gang wait for another attempt."""
        run.assigned_by_index.clear()
        self._gangs_by_id[run.state.spec.job_id].retry(now)

    def may_have_run(self, job_id: JobId) -> bool:
        """Return whether some task of the current attempt may have run."""
        return self._gangs_by_id[job_id].may_have_run

    def _try_to_begin(self, run: JobRun, gang: Gang, now: float) -> None:
        if run.unconfirmed or run.is_stopped or gang.not_before > now or run.assigned_by_index:
            return
        spec = run.state.spec
        if run.awaiting_record or not self._are_all_recorded(run):
            return
        plan = self._assignees.plan_gang(need=run.need, tasks=spec.tasks, now=now)
        if plan is None:
            return
        highest = max((0, gang.attempt - run.base_attempt, *run.tries_by_index.values()))
        run.tries_by_index = {0: next_attempt(highest)}
        attempt = run.base_attempt + run.tries_by_index[0]
        for host, count in plan.items():
            self._assignees.reserve(host, run.need, count)
        self._push(spec.job_id, gang.begin(plan, attempt=attempt, now=now))

    def _are_all_recorded(self, run: JobRun) -> bool:
        if not run.is_at_most_once or run.state.may_have_run(0):
            return True
        indices = list(range(run.state.spec.tasks))
        run.awaiting_record.update(indices)
        self._intents.add(run.state.spec.job_id, indices)
        return False

    def _stops_of(self, job_id: JobId, step: GangStep) -> Iterable[StopBatch]:
        run = self._runs_by_id.get(job_id)
        if run is None:
            return
        tasks_by_host: dict[HostId, list[TaskAttempt]] = {}
        for index in step.indices:
            assigned = run.assigned_by_index.get(index)
            if assigned is not None and assigned.kind not in ENDING_KINDS:
                attempt = TaskAttempt(task_id=make_task_id(job_id, index), attempt=assigned.attempt)
                tasks_by_host.setdefault(assigned.host, []).append(attempt)
        for host, tasks in tasks_by_host.items():
            yield StopBatch(host=host, tasks=tuple(tasks))

    def _push(self, job_id: JobId, steps: Iterable[GangStep]) -> None:
        self._steps.extend((job_id, step) for step in steps)
