"""Logs why steps wait: one summary per second, and lines for some of the longest waiting jobs."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from galenastall.coordination.cell.advice import AdviceTable, StepAdvice
from galenastall.coordination.cell.approved_capacity import ApprovedCapacity, capacity_for
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import ClosedReason
from galenastall.coordination.cell.job_runs import JobRun, StepRun
from galenastall.coordination.cell.reservation_plan import ReservationPlan
from galenastall.coordination.cell.wait_observations import WaitObservations
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.coordination.cell.workspace_shares import WorkspaceShares
from galenastall.state.cell.jobs import StepKey

LONG_WAIT_S: Final = 5.0
"""A job that has waited longer without a start gets its own line. This is twice the validity of
tickets, so that a wait for one round of advice is not reported."""
JOB_REPORT_INTERVAL_S: Final = 10.0
"""Minimum time between two lines about the same job."""
MAX_JOB_LINES: Final = 10
"""Maximum lines about single jobs per report, that is per second: a 15th of the log budget of one
event. With JOB_REPORT_INTERVAL_S a hundred waiting jobs are reported in rotation."""
MAX_COUNTS: Final = 60
"""Maximum counts by queue and reason in one line; the smallest are summed up as `others`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Wait:
    """A waiting step at the time of a report."""

    job: JobRun
    step: StepRun
    since: float
    """Leader's time since which it has waited without a start; accurate to one second."""
    reason: WaitReason


@dataclass(frozen=True, kw_only=True, slots=True)
class _WaitStart:
    """The start of a step's wait, as recorded by an earlier report."""

    at: float
    runs: int
    """Sum of the run numbers of its tasks, which each start increases."""


class WaitingReport:
    """Logs the wait reasons of the last decision, once per second."""

    def __init__(
        self,
        *,
        state: CellState,
        advice: AdviceTable,
        observations: WaitObservations,
        plan: ReservationPlan,
        shares: WorkspaceShares,
    ) -> None:
        """Read the given state."""
        self._shares = shares
        self._plan = plan
        self._state = state
        self._advice = advice
        self._observations = observations
        self._since_by_step: dict[StepKey, _WaitStart] = {}
        self._reported_at_by_job: dict[str, float] = {}
        self.steps_by_reason: Counter[WaitReason] = Counter()
        """Number of waiting steps at the last report."""

    def report(self, closed_by_id: Mapping[str, ClosedReason]) -> None:
        """Log the waiting steps; `closed_by_id` holds the executors that are not open."""
        waits = [self._refined(wait, closed_by_id) for wait in self._waits()]
        self.steps_by_reason = Counter(wait.reason for wait in waits)
        self._report_counts(waits)
        self._report_jobs(waits, closed_by_id)

    def _waits(self) -> list[_Wait]:
        waits: list[_Wait] = []
        since_by_step: dict[StepKey, _WaitStart] = {}
        for key in self._state.waiting_steps:
            job = self._state.jobs_by_id.get(key.job)
            step = job.find_step(key) if job is not None else None
            if job is None or step is None:
                continue
            since = self._since(key, step)
            since_by_step[key] = since
            reason = self._observations.reason_of(key)
            waits.append(_Wait(job=job, step=step, since=since.at, reason=reason))
        self._since_by_step = since_by_step
        return waits

    def _since(self, key: StepKey, step: StepRun) -> _WaitStart:
        runs = sum(task.run for task in step.tasks)
        known = self._since_by_step.get(key)
        if known is not None and known.runs == runs:
            return known
        return _WaitStart(at=self._state.now, runs=runs)

    def _refined(self, wait: _Wait, closed_by_id: Mapping[str, ClosedReason]) -> _Wait:
        """Return the wait of a gang with a reason that is too expensive to find in a decision.

        This affects only gangs for which a decision searches for a start; the limits in `turns`
        bound their number.
        """
        if wait.reason not in {WaitReason.ROOM_LATER, WaitReason.NO_ROOM_AHEAD}:
            return wait
        return replace(
            wait, reason=refine_reason(wait.reason, wait.step, self._room(wait, closed_by_id))
        )

    def _report_counts(self, waits: list[_Wait]) -> None:
        counts = Counter(f"{wait.job.queue.name}:{wait.reason}" for wait in waits)
        if not counts:
            return
        fields = {name: str(count) for name, count in counts.most_common(MAX_COUNTS)}
        others = counts.total() - sum(map(int, fields.values()))
        if others:
            fields["others"] = str(others)
        self._state.note("cell.waiting", fields=fields)

    def _report_jobs(self, waits: list[_Wait], closed_by_id: Mapping[str, ClosedReason]) -> None:
        now = self._state.now
        oldest = now - JOB_REPORT_INTERVAL_S
        self._reported_at_by_job = {
            i: at for i, at in self._reported_at_by_job.items() if at > oldest
        }
        longest_by_job: dict[str, _Wait] = {}
        for wait in sorted(waits, key=lambda each: (each.since, each.step.key)):
            job_id = wait.job.job.job_id
            if now - wait.since >= LONG_WAIT_S and job_id not in self._reported_at_by_job:
                longest_by_job.setdefault(job_id, wait)
        for job_id, wait in list(longest_by_job.items())[:MAX_JOB_LINES]:
            self._reported_at_by_job[job_id] = now
            self._report_job(wait, self._room(wait, closed_by_id))

    def _report_job(self, wait: _Wait, room: ApprovedCapacity) -> None:
        key = wait.step.key
        stops = wait.job.stops.by_rule
        workspace = self._state.workspaces.find(wait.job.job.workspace)
        used = self._state.workspaces.used(workspace.name)
        share = self._shares.of(workspace.name)
        self._state.note(
            "job.waiting",
            key.job,
            f"{key.occurrence}.{key.step}",
            fields={
                "queue": wait.job.queue.name,
                "workspace": workspace.name,
                "limit_cores_milli": str(workspace.limit.cores_milli),
                "used_cores_milli": str(used.cores_milli),
                "limit_memory_mb": str(workspace.limit.memory_mb),
                "used_memory_mb": str(used.memory_mb),
                "is_within_rate": "yes" if wait.job.is_within_rate else "no",
                "share": f"{share.ratio:.2f}",
                "is_above_share": "yes" if share.is_above else "no",
                "reason": wait.reason,
                "waited_s": f"{self._state.now - wait.since:.1f}",
                "tasks": str(len(wait.step.waiting())),
                "of": str(wait.step.step.count),
                "approved": str(room.executors),
                "approved_open": str(room.open),
                "places_free": str(room.places_free),
                "places_kept": str(room.places_kept),
                "places_open": str(room.places_open),
                "places": str(room.places),
                "runs": str(wait.step.highest_run),
                "stops": " ".join(f"{rule}:{count}" for rule, count in sorted(stops.items())),
            },
        )

    def _room(self, wait: _Wait, closed_by_id: Mapping[str, ClosedReason]) -> ApprovedCapacity:
        queue = self._state.queue_of(wait.job)
        advice: StepAdvice | None = None
        if queue.advisor is not None:
            advice = self._advice.of(wait.step.key)
        return capacity_for(
            wait.step.step,
            queue.service,
            advice,
            executors_by_id=self._state.executors_by_id,
            closed_by_id=closed_by_id,
            plan=self._plan,
        )


def refine_reason(reason: WaitReason, step: StepRun, room: ApprovedCapacity) -> WaitReason:
    """Return why a gang cannot start now, from the total capacity of its approved executors."""
    wanted = step.step.count
    if room.places < wanted:
        return WaitReason.TOO_FEW_APPROVED
    if room.places_open < wanted:
        return WaitReason.APPROVED_CLOSED
    if room.places_free >= wanted:
        return WaitReason.ROOM_KEPT
    if reason is WaitReason.NO_ROOM_AHEAD and room.places_kept > 0:
        # A gang without a planned start reserves nothing itself.
        return WaitReason.PLANNED_FOR_OTHERS
    return reason
