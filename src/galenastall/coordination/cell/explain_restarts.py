"""Explains from a job's log lines its waits after the first start and the stops of its runs."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.explain_logs import LogLine
from galenastall.coordination.cell.stop_rules import StopRule

Span = tuple[float, float]
_DONE: Final = "done"
_NOT_COUNTED: Final = "0"
"""`stopped_so_far` of a stop that is already counted for another member of the gang."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Restarts:
    """Restarts and waits of a job after its first start."""

    runs: int
    """Highest run number of its tasks."""
    waits: tuple[Span, ...]
    """Spans in which a task had no run, from the end of one run to the next assignment."""
    is_waiting: bool
    """Whether a task is still waiting when the job or the log ends."""
    stops: tuple[tuple[str, str], ...]
    """Rule and percent of each run that the leader stopped, in order."""
    reasons: tuple[tuple[str, int], ...]
    """Wait reasons in the job's own lines with their counts, the most frequent first."""


def restarts_of(own: Sequence[LogLine], *, log_end_s: float) -> Restarts:
    """Return the restarts of the job whose log lines are `own`, in order."""
    waits, open_waits = _waits(own)
    ended = next((line.at_s for line in own if line.event == "job.ended"), log_end_s)
    reported = {_step(line) for line in own if line.event == "job.waiting"}
    done = {_run(line) for line in own if line.event == "run.ended" and line.cause == _DONE}
    unfinished = [
        (line.at_s, max(ended, line.at_s))
        for line in open_waits
        if _step(line) in reported or _run(line) not in done
    ]
    reasons = Counter(line.fields.get("reason", "") for line in own if line.event == "job.waiting")
    runs = [line.fields.get("run", "") for line in own if line.event == "run.assigned"]
    return Restarts(
        runs=max((int(run) for run in runs if run.isdigit()), default=0),
        waits=tuple(sorted([*waits, *unfinished])),
        is_waiting=bool(unfinished),
        stops=tuple(_stops(own)),
        reasons=tuple(reasons.most_common()),
    )


def _waits(own: Sequence[LogLine]) -> tuple[list[Span], list[LogLine]]:
    """Return the spans that an assignment ends, and the ends of runs that no assignment followed.

    The caller has to filter the latter: the end of a gang member is no wait if another member of
    the run was done, but is always a wait if the step was reported as `job.waiting`.
    """
    waits: list[Span] = []
    ends_by_task: dict[str, LogLine] = {}
    for line in own:
        task = line.subjects[1] if len(line.subjects) > 1 else ""
        if line.event == "run.ended":
            if line.cause == _DONE:
                ends_by_task.pop(task, None)
            else:
                ends_by_task[task] = line
        elif line.event == "run.assigned" and task in ends_by_task:
            waits.append((ends_by_task.pop(task).at_s, line.at_s))
    return waits, list(ends_by_task.values())


def _stops(own: Sequence[LogLine]) -> list[tuple[str, str]]:
    """Return rule and percent of each stopped run; a run of a gang counts once."""
    stops: dict[tuple[str, str, str, str], tuple[str, str]] = {}
    for line in own:
        rule = line.fields.get("rule", line.cause)
        count = line.fields.get("stopped_so_far", "")
        if line.event != "run.stop" or count == _NOT_COUNTED or rule == StopRule.JOB_ENDED:
            continue
        stops.setdefault((*_run(line), rule, count), (rule, line.fields.get("percent", "")))
    return list(stops.values())


def _step(line: LogLine) -> str:
    """Return occurrence and step of the task or step that a line is about."""
    return ".".join(line.subjects[1].split(".")[:2]) if len(line.subjects) > 1 else ""


def _run(line: LogLine) -> tuple[str, str]:
    return _step(line), line.fields.get("run", "")


def format_restarts(restarts: Restarts) -> list[str]:
    """Return the restarts of a job as lines of text."""
    lines: list[str] = []
    if restarts.waits:
        longest = max(end - begin for begin, end in restarts.waits)
        last = ", and still waiting after the last" if restarts.is_waiting else ""
        lines.append(
            f"    {restarts.runs} runs; the longest time from the end of a run to the next"
            f" {longest:.3f} s{last}"
        )
    percents_by_rule: defaultdict[str, list[str]] = defaultdict(list)
    for rule, percent in restarts.stops:
        percents_by_rule[rule].append(percent)
    for rule, percents in percents_by_rule.items():
        at = f" at {', '.join(percents)}%" if all(percents) else ""
        lines.append(f"    stopped by the leader {len(percents)} times as {rule}{at}")
    if restarts.reasons:
        reasons = ", ".join(f"{reason} {count}" for reason, count in restarts.reasons)
        lines.append(f"    reported as waiting: {reasons}")
    return lines
