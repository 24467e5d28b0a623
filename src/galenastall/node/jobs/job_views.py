"""Views of a job for callers, from what its shard's owner knows or from the log alone."""

from typing import Final

from galenastall.coordination.jobs.job_run import JobRun
from galenastall.protocol.job_messages import JobQuery, JobView, TaskView
from galenastall.state.ids import HostId, make_task_id
from galenastall.state.job_fold import CODES_BY_PHASE, JobState
from galenastall.state.work import TaskPhase

MAX_TASKS_PER_VIEW: Final = 1000
"""Maximum number of tasks in one view; query again from a later index for more."""


def view_run(run: JobRun, ask: JobQuery) -> JobView:
    """Return the view of a live job, as its shard's owner has it."""
    counts = _ended_counts(run.state)
    for index in (*run.assigned_by_index, *run.unconfirmed):
        phase = run.phase_of(index)
        if phase is not TaskPhase.WAITING and run.is_open(index):
            counts[phase.value] = counts.get(phase.value, 0) + 1
    tasks = tuple(_view_task(run, index) for index in _requested_range(run.state, ask))
    reason = run.detail or run.waiting_reason or run.history()
    return JobView(
        is_known=True, counts=_with_waiting(run.state, counts), reason=reason, tasks=tasks
    )


def view_state(state: JobState, ask: JobQuery) -> JobView:
    """Return the view of a job from the log alone: tasks that have not ended show as waiting."""
    job_id = state.spec.job_id
    tasks = tuple(
        TaskView(
            task_id=make_task_id(job_id, index),
            phase=state.phase_of(index) or TaskPhase.WAITING,
        )
        for index in _requested_range(state, ask)
    )
    counts = _with_waiting(state, _ended_counts(state))
    reason = state.end.detail if state.end else ""
    return JobView(is_known=True, counts=counts, reason=reason, tasks=tasks)


def _ended_counts(state: JobState) -> dict[str, int]:
    counts = {phase.value: state.count(phase) for phase in CODES_BY_PHASE}
    return {name: count for name, count in counts.items() if count}


def _with_waiting(state: JobState, counts: dict[str, int]) -> dict[str, int]:
    waiting = state.spec.tasks - sum(counts.values())
    return {**counts, TaskPhase.WAITING.value: waiting} if waiting > 0 else counts


def _requested_range(state: JobState, ask: JobQuery) -> range:
    first = max(ask.first, 0)
    last = min(first + min(max(ask.count, 0), MAX_TASKS_PER_VIEW), state.spec.tasks)
    return range(first, last)


def _view_task(run: JobRun, index: int) -> TaskView:
    assigned = run.assigned_by_index.get(index)
    return TaskView(
        task_id=make_task_id(run.state.spec.job_id, index),
        phase=run.phase_of(index),
        attempt=assigned.attempt if assigned else 0,
        assignee=assigned.host if assigned else HostId(""),
        worker=assigned.worker_id if assigned else HostId(""),
    )
