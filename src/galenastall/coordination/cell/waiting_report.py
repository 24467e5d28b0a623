"""Why steps wait: one line a second for all, and a line for each of some jobs that wait long."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from galenastall.coordination.cell.advice import AdviceBook, StepAdvice
from galenastall.coordination.cell.approved_room import ApprovedRoom, room_of
from galenastall.coordination.cell.cell_state import CellState
from galenastall.coordination.cell.executors import ClosedReason
from galenastall.coordination.cell.job_runs import JobRun, StepRun
from galenastall.coordination.cell.room_plan import RoomPlan
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.coordination.cell.wait_sight import WaitSight
from galenastall.state.cell.jobs import StepKey

LONG_WAIT_S: Final = 5.0
"""A job that has waited for longer without a start gets a line of its own: twice what tickets last,
so that a wait for one round of advice is passed over."""
TELL_AGAIN_S: Final = 10.0
"""Least time between two lines of one job."""
LINES_AT_ONCE: Final = 10
"""Lines of single jobs in one report, so a second: a 15th of what the log takes of one kind. With
TELL_AGAIN_S a hundred jobs that wait are told in turn."""
MOST_COUNTS: Final = 60
"""Counts by queue and reason that one line holds; smaller ones are added up as `others`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Wait:
    """A step that waits, at one report."""

    job: JobRun
    step: StepRun
    since: float
    """Leader's time since which it has waited without a start, to a second."""
    reason: WaitReason


@dataclass(frozen=True, kw_only=True, slots=True)
class _Since:
    """A step as an earlier report found it."""

    at: float
    runs: int
    """Sum of the numbers of its tasks' runs, which each start raises."""


class WaitingReport:
    """Tells the reasons of the last decision; once a second."""

    def __init__(
        self, *, state: CellState, advice: AdviceBook, sight: WaitSight, plan: RoomPlan
    ) -> None:
        """Read these tables."""
        self._plan = plan
        self._state = state
        self._advice = advice
        self._sight = sight
        self._since_by_step: dict[StepKey, _Since] = {}
        self._told_at_by_job: dict[str, float] = {}
        self.steps_by_reason: Counter[WaitReason] = Counter()
        """Waiting steps at the last report."""

    def tell(self, closed_by_id: Mapping[str, ClosedReason]) -> None:
        """Note the lines for the log; `closed_by_id` names the executors that are not open."""
        waits = [self._sharpened(wait, closed_by_id) for wait in self._waits()]
        self.steps_by_reason = Counter(wait.reason for wait in waits)
        self._tell_counts(waits)
        self._tell_jobs(waits, closed_by_id)

    def _waits(self) -> list[_Wait]:
        waits: list[_Wait] = []
        since_by_step: dict[StepKey, _Since] = {}
        for key in self._state.waiting_steps:
            job = self._state.jobs_by_id.get(key.job)
            step = job.find_step(key) if job is not None else None
            if job is None or step is None:
                continue
            since = self._since(key, step)
            since_by_step[key] = since
            reason = self._sight.reason_of(key)
            waits.append(_Wait(job=job, step=step, since=since.at, reason=reason))
        self._since_by_step = since_by_step
        return waits

    def _since(self, key: StepKey, step: StepRun) -> _Since:
        runs = sum(task.run for task in step.tasks)
        known = self._since_by_step.get(key)
        if known is not None and known.runs == runs:
            return known
        return _Since(at=self._state.now, runs=runs)

    def _sharpened(self, wait: _Wait, closed_by_id: Mapping[str, ClosedReason]) -> _Wait:
        """Return a gang's wait with what a decision has no time to find out.

        Only gangs for which a decision looks for a start come here, and the limits of `turns` bound
        these.
        """
        if wait.reason not in {WaitReason.ROOM_LATER, WaitReason.NO_ROOM_AHEAD}:
            return wait
        return replace(wait, reason=sharper(wait.reason, wait.step, self._room(wait, closed_by_id)))

    def _tell_counts(self, waits: list[_Wait]) -> None:
        counts = Counter(f"{wait.job.queue.name}:{wait.reason}" for wait in waits)
        if not counts:
            return
        fields = {name: str(count) for name, count in counts.most_common(MOST_COUNTS)}
        others = counts.total() - sum(map(int, fields.values()))
        if others:
            fields["others"] = str(others)
        self._state.note("cell.waiting", fields=fields)

    def _tell_jobs(self, waits: list[_Wait], closed_by_id: Mapping[str, ClosedReason]) -> None:
        now = self._state.now
        oldest = now - TELL_AGAIN_S
        self._told_at_by_job = {i: at for i, at in self._told_at_by_job.items() if at > oldest}
        longest_by_job: dict[str, _Wait] = {}
        for wait in sorted(waits, key=lambda each: (each.since, each.step.key)):
            job_id = wait.job.job.job_id
            if now - wait.since >= LONG_WAIT_S and job_id not in self._told_at_by_job:
                longest_by_job.setdefault(job_id, wait)
        for job_id, wait in list(longest_by_job.items())[:LINES_AT_ONCE]:
            self._told_at_by_job[job_id] = now
            self._tell_job(wait, self._room(wait, closed_by_id))

    def _tell_job(self, wait: _Wait, room: ApprovedRoom) -> None:
        key = wait.step.key
        stops = wait.job.stops.by_rule
        workspace = self._state.workspaces.find(wait.job.job.workspace)
        used = self._state.workspaces.used(workspace.name)
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

    def _room(self, wait: _Wait, closed_by_id: Mapping[str, ClosedReason]) -> ApprovedRoom:
        queue = self._state.queue_of(wait.job)
        advice: StepAdvice | None = None
        if queue.advisor is not None:
            advice = self._advice.of(wait.step.key)
        return room_of(
            wait.step.step,
            queue.service,
            advice,
            executors_by_id=self._state.executors_by_id,
            closed_by_id=closed_by_id,
            plan=self._plan,
        )


def sharper(reason: WaitReason, step: StepRun, room: ApprovedRoom) -> WaitReason:
    """Return why a gang has no room now, from all the room of its executors."""
    wanted = step.step.count
    if room.places < wanted:
        return WaitReason.TOO_FEW_APPROVED
    if room.places_open < wanted:
        return WaitReason.APPROVED_CLOSED
    if room.places_free >= wanted:
        return WaitReason.ROOM_KEPT
    if reason is WaitReason.NO_ROOM_AHEAD and room.places_kept > 0:
        # A gang for which no start was found keeps nothing itself.
        return WaitReason.PLANNED_FOR_OTHERS
    return reason
