"""The platform's names of tasks, steps, run ends, executors and machines."""

import re
from typing import Final

from galenastall.state.cell.jobs import StepKey, TaskKey
from galenastall.state.cell.phases import RunEnd
from galenastall.state.decoding import shorten

_TASK: Final = re.compile(r"([^.]{0,64})\.(\d{1,15})\.(\d{1,15})\.(\d{1,15})", re.ASCII)
"""Bounds each number: `int` raises ValueError for a text of thousands of digits."""
MAX_NAME_BYTES: Final = 200
"""Longest name of an executor or machine; with a prefix it still is a key of the store."""
_LAST_LATIN_1: Final = "\u00ff"
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


def name_problem(name: str) -> str:
    """Return why a name can't be sent as the value of a header; empty if it can."""
    if not name:
        return "expected a name, got ''"
    if len(name.encode()) > MAX_NAME_BYTES:
        return f"expected at most {MAX_NAME_BYTES} bytes, got {shorten(name)!r}"
    is_sendable = name.isprintable() and max(name) <= _LAST_LATIN_1 and name == name.strip()
    return "" if is_sendable else f"expected printable Latin-1 letters, got {name!r}"
