"""Bounds within which a job can be stored, computed with and restored by each leader."""

from typing import Final

from galenastall.state.cell.jobs import CellJob, Recurrence, Step
from galenastall.state.decoding import MAX_AMOUNT, MAX_WHOLE, shorten

MAX_TASKS: Final = 4_000
"""Tasks of one job; far above what callers send. A job's progress is one row, mostly with up to 63
bytes per task, and is written whole at each change."""

_DECIMAL_BITS: Final = 64


def limit_problem(job: CellJob) -> str:
    """Return which number of a job is out of its bounds; empty if none is."""
    if not job.steps:
        return "steps: expected at least one, got []"
    for index, step in enumerate(job.steps):
        problem = _step_problem(step, index)
        if problem:
            return f"steps[{index}].{problem}"
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        return f"steps: at most {MAX_TASKS} tasks together, got {tasks}"
    if job.recurrence is not None:
        return _recurrence_problem(job.recurrence)
    return ""


def _step_problem(step: Step, index: int) -> str:
    for earlier in step.after:
        if not 0 <= earlier < index:
            return f"after: expected numbers of earlier steps, got {_shown(earlier)}"
    need = step.need
    return (
        _range_problem("count", step.count, 1, MAX_TASKS)
        or _range_problem("cores_milli", need.cores_milli, 0, MAX_AMOUNT)
        or _range_problem("memory_mb", need.memory_mb, 0, MAX_AMOUNT)
        or _range_problem("accelerators", need.accelerators, 0, MAX_AMOUNT)
        or _range_problem("estimate_s", step.estimate_s, 0, MAX_WHOLE)
        or _range_problem("most_per_executor", step.most_per_executor, 0, MAX_WHOLE)
        or _range_problem("tail_target_ms", step.tail_target_ms, 0, MAX_WHOLE)
        or _range_problem("most_unavailable", step.most_unavailable, 0, MAX_WHOLE)
    )


def _recurrence_problem(recurrence: Recurrence) -> str:
    return (
        _range_problem("first_due", recurrence.first_due, -MAX_WHOLE, MAX_WHOLE)
        or _range_problem("interval_s", recurrence.interval_s, 0, MAX_WHOLE)
        or _range_problem("times", recurrence.times, 1, MAX_WHOLE)
    )


def _range_problem(name: str, value: float, least: int, most: int) -> str:
    """Return that a number is out of its bounds, as NaN is of any."""
    if least <= value <= most:
        return ""
    return f"{name}: expected {least} to {most}, got {_shown(value)}"


def _shown(value: float) -> str:
    """Return a number as text; hexadecimal, if its decimal digits may be too many to convert."""
    if isinstance(value, int) and value.bit_length() > _DECIMAL_BITS:
        return shorten(hex(value))
    return str(value)
