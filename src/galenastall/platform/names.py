"""The platform's names of tasks, steps and run ends."""

import re
from typing import Final

from galenastall.state.cell.jobs import StepKey, TaskKey
from galenastall.state.cell.phases import RunEnd

_TASK: Final = re.compile(r"([^.]{0,64})\.(\d{1,15})\.(\d{1,15})\.(\d{1,15})", re.ASCII)
"""Bounds each number: `int` raises ValueError for a text of thousands of digits."""
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
    found = _TASK.fullmatch(name)
    if found is None:
        return None
    job, occurrence, step, number = found.groups()
    return TaskKey(job, int(occurrence), int(step), int(number))
