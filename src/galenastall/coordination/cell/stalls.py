"""When a run that shows no progress is given up, and whether its executor is to blame for it.

Answers this load: a few executors on which runs hang, beside gangs whose members wait for each
other and runs that are sound and slow. A run that hangs is found within 3 s. A rule that stops runs
must not stop the same one at the same point for ever, nor close the executors of all members of a
gang because one of them hangs or is missing.
"""

from typing import Final

from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import DONE_PERCENT, StartState, TaskRun
from galenastall.state.cell.phases import TaskPhase

STALL_TIMEOUT_S: Final = 3.0
"""Least time without progress after which a run is given up. Runs of 10 s show progress each 0.1 s,
listings come 1.2 s apart, and a gang's members start within a second of each other."""
STALL_TIMEOUT_PERCENTS: Final = 3.0
"""A run is given the time that so many percents of it take: progress comes in whole percents, and
the pace of a sound run differs by a factor of two."""
MAX_TIMEOUT_DOUBLINGS: Final = 5
"""Each run given up doubles the patience with the next, up to 96 s: a task whose own work shows no
progress for longer would otherwise be stopped in each of its runs and never end."""
PROGRESS_SKEW_S: Final = 1.5
"""Progress of two members counts as made at the same time within this: each executor is listed
1.2 s after its last listing at the latest."""


def stall_timeout_s(step: StepRun, task: TaskRun) -> float:
    """Return for how long a run may show no progress, in seconds."""
    given_up = max(member.given_up_runs for member in _concurrent_tasks(step, task))
    doubled = STALL_TIMEOUT_S * 2.0 ** min(given_up, MAX_TIMEOUT_DOUBLINGS)
    return max(doubled, STALL_TIMEOUT_PERCENTS * _seconds_per_percent(step, task))


def waits_for_members(step: StepRun, task: TaskRun) -> bool:
    """Whether a member of a gang has done its share, and others have not.

    Stopping such a member throws the work of all away, though one that is cut off may work on.
    """
    if not step.step.is_gang or task.percent < DONE_PERCENT:
        return False
    return any(member.percent < DONE_PERCENT for member in step.tasks)


def is_executor_at_fault(step: StepRun, task: TaskRun) -> bool:
    """Whether a run stands still by itself, and not for want of other members of its gang.

    It does if the others go on, or have all done their share and wait for it. If all stand still,
    or one is missing, nobody can tell which member is at fault.
    """
    others = [member for member in _concurrent_tasks(step, task) if member is not task]
    if not all(_is_running(member) for member in others):
        return False
    if all(member.percent >= DONE_PERCENT for member in others):
        return True
    return any(member.percent_at > task.percent_at + PROGRESS_SKEW_S for member in others)


def _concurrent_tasks(step: StepRun, task: TaskRun) -> list[TaskRun]:
    """Return the tasks that run together with this one, itself included."""
    return step.tasks if step.step.is_gang else [task]


def _is_running(member: TaskRun) -> bool:
    is_started = member.phase is TaskPhase.ASSIGNED and member.state is StartState.STARTED
    return is_started and member.first_seen_at is not None


def _seconds_per_percent(step: StepRun, task: TaskRun) -> float:
    """Return how long a percent of a run takes, by its pace, or before that shows as declared."""
    gained = task.percent - task.first_percent
    if task.first_seen_at is None or gained <= 0:
        return step.step.estimate_s / DONE_PERCENT
    return (task.percent_at - task.first_seen_at) / gained
