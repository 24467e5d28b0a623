"""The platform's names of tasks, steps and run ends."""

from galenastall.state.cell.jobs import StepKey, TaskKey
from galenastall.state.cell.phases import RunEnd

_TASK_PARTS = 4
END_BY_NAME = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}


def task_name(key: TaskKey) -> str:
    """Return the platform's name of a task."""
    return f"{key.job}.{key.occurrence}.{key.step}.{key.number}"


def step_name(key: StepKey) -> str:
    """Return the platform's name of a step."""
    return f"{key.job}.{key.occurrence}.{key.step}"


def parse_task(name: str) -> TaskKey | None:
    """Return the task of a name, or None if the name is malformed."""
    parts = name.split(".")
    if len(parts) != _TASK_PARTS or not all(part.isdecimal() for part in parts[1:]):
        return None
    job, occurrence, step, number = parts
    return TaskKey(job, int(occurrence), int(step), int(number))
