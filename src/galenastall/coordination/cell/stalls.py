"""Decides when a run without progress is stopped, and whether its executor is at fault.

Runs hang on a few executors, while members of gangs wait for each other and some healthy runs are
slow. A hanging run is found within 3 s. A rule that stops runs must not stop the same one at the
same point forever, nor close the executors of all members of a gang because one of them hangs or is
missing.
"""

from typing import Final

from galenastall.coordination.cell.job_runs import StepRun
from galenastall.coordination.cell.task_runs import DONE_PERCENT, StartState, TaskRun
from galenastall.state.cell.phases import TaskPhase

STALL_TIMEOUT_S: Final = 3.0
"""Minimum time without progress before a run is stopped. Runs of 10 s show progress every 0.1 s,
listings arrive 1.2 s apart, and members of a gang start within a second of each other."""
STALL_TIMEOUT_PERCENTS: Final = 3.0
"""A run may go without progress for the time that this many percent of it take: progress is
reported in whole percents, and the speed of a healthy run varies by a factor of two."""
MAX_TIMEOUT_DOUBLINGS: Final = 5
"""Each stopped run doubles the stall timeout of the next, up to 96 s: otherwise a task that by its
nature shows no progress for longer would be stopped in each of its runs and never end."""
PROGRESS_SKEW_S: Final = 1.5
"""Progress of two members counts as simultaneous within this time: listings of an executor are at
most 1.2 s apart."""


def stall_timeout_s(step: StepRun, task: TaskRun) -> float:
    """Return how long a run may go without progress, in seconds."""
    given_up = max(member.given_up_runs for member in _concurrent_tasks(step, task))
    doubled = STALL_TIMEOUT_S * 2.0 ** min(given_up, MAX_TIMEOUT_DOUBLINGS)
    return max(doubled, STALL_TIMEOUT_PERCENTS * _seconds_per_percent(step, task))


def waits_for_members(step: StepRun, task: TaskRun) -> bool:
    """Whether a member of a gang has finished its share while others have not.

    Stopping such a member discards the work of all members, and a member that is cut off may still
    be working.
    """
    if not step.step.is_gang or task.percent < DONE_PERCENT:
        return False
    return any(member.percent < DONE_PERCENT for member in step.tasks)


def is_executor_at_fault(step: StepRun, task: TaskRun) -> bool:
    """Whether a run stalls on its own rather than waiting for other members of its gang.

    It does if other members progress, or if all of them have finished and wait for it. If all
    members stall, or one is missing, the faulty one can't be determined.
    """
    others = [member for member in _concurrent_tasks(step, task) if member is not task]
    if not all(_is_running(member) for member in others):
        return False
    if all(member.percent >= DONE_PERCENT for member in others):
        return True
    return any(member.percent_at > task.percent_at + PROGRESS_SKEW_S for member in others)


def _concurrent_tasks(step: StepRun, task: TaskRun) -> list[TaskRun]:
    """Return the members of the task's gang, or the task alone."""
    return step.tasks if step.step.is_gang else [task]


def _is_running(member: TaskRun) -> bool:
    is_started = member.phase is TaskPhase.ASSIGNED and member.state is StartState.STARTED
    return is_started and member.first_seen_at is not None


def _seconds_per_percent(step: StepRun, task: TaskRun) -> float:
    """Return the seconds per percent of a run, measured, or as declared before any progress."""
    gained = task.percent - task.first_percent
    if task.first_seen_at is None or gained <= 0:
        return step.step.estimate_s / DONE_PERCENT
    return (task.percent_at - task.first_seen_at) / gained
