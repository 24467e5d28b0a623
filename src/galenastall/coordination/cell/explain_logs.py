"""Explains the outcome of a job, and its cause, from log lines of one or many processes."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Any, Final

import msgspec

from galenastall.state.cell.executor_ids import executor_name

_OWN_FIELDS: Final = frozenset({"at", "process", "event", "subjects", "cause", "peer", "level"})
_CONTEXT_EVENTS: Final = frozenset(
    {
        "leader.claimed",
        "leader.lost",
        "leader.loaded",
        "leader.hands_over",
        "store.lost",
        "store.regained",
        "config.lost",
        "host.stopping",
        "host.started",
    }
)
"""Events that concern no particular job but may explain the outcome of one."""
_NOT_STORED: Final = frozenset({"not_run", "overloaded"})
"""Verdicts of submissions whose job is certainly not stored."""
LONG_WAIT_S: Final = 0.5
"""Minimum gap between two events of a job that is reported as a delay."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One parsed log line."""

    at_s: float
    """Wall time of the writing process in seconds; clocks of processes may differ slightly."""
    counter: int
    """Logical counter that orders events within one millisecond across processes."""
    process: str
    event: str
    subjects: tuple[str, ...]
    cause: str
    fields: Mapping[str, str]

    def text(self, since_s: float) -> str:
        """Return the line as readable text, with its time relative to `since_s`."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        parts = [f"{self.at_s - since_s:+9.3f} s", self.process, self.event]
        parts += [" ".join(self.subjects[1:]), details, f"({self.cause})" if self.cause else ""]
        return "  ".join(part for part in parts if part)


@dataclass(frozen=True, kw_only=True, slots=True)
class JobSummary:
    """The outcome of a job."""

    verdict: str
    """One sentence that includes the cause."""
    delays: tuple[str, ...]
    """Long waits, the longest first, then restarts."""
    lines: tuple[LogLine, ...]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the texts that are log lines, ordered by time.

    Text before the first brace is ignored, so that lines with a prefix can be read too.
    """
    found = [line for text in texts if (line := _parse(text)) is not None]
    return sorted(found, key=lambda line: (line.at_s, line.counter))


def _parse(text: str) -> LogLine | None:
    begin = text.find("{")
    if begin < 0:
        return None
    try:
        value: Any = msgspec.json.decode(text[begin:].strip())
    except msgspec.MsgspecError:
        return None
    if not isinstance(value, dict) or "event" not in value or "process" not in value:
        return None
    wall_ms, _, counter = str(value.get("at", "0.0")).partition(".")
    if not wall_ms.isdigit():
        return None
    return LogLine(
        at_s=int(wall_ms) / 1000.0,
        counter=int(counter) if counter.isdigit() else 0,
        process=str(value["process"]).partition("/")[0],
        event=str(value["event"]),
        subjects=tuple(str(each) for each in value.get("subjects", ())),
        cause=str(value.get("cause", "")),
        fields={k: str(v) for k, v in value.items() if k not in _OWN_FIELDS},
    )


def explain_job(lines: Sequence[LogLine], job_id: str) -> JobSummary:
    """Return the summary of a job; its verdict says so if no line is about the job."""
    own = [line for line in lines if any(_is_about(each, job_id) for each in line.subjects)]
    if not own:
        verdict = f"no line is about {job_id}: it reached no host, or its lines are missing here"
        return JobSummary(verdict=verdict, delays=(), lines=())
    first, last = own[0].at_s, own[-1].at_s
    context = [
        line
        for line in lines
        if line.event in _CONTEXT_EVENTS and first - 2.0 <= line.at_s <= last + 2.0
    ]
    merged = sorted([*own, *context], key=lambda line: (line.at_s, line.counter))
    verdict = _verdict(own) + _unanswered(own)
    return JobSummary(verdict=verdict, delays=tuple(_delays(own, context)), lines=tuple(merged))


def _is_about(subject: str, wanted: str) -> bool:
    """Whether a subject is `wanted`, or an incarnation of the executor of this name."""
    return wanted in {subject, executor_name(subject)}


def _verdict(own: Sequence[LogLine]) -> str:
    ends = [line for line in own if line.event == "job.ended"]
    accepted = [line for line in own if line.event == "job.accepted"]
    refusals = [line for line in own if line.event == "job.refused"]
    if ends:
        return _verdict_of_end(own, ends[-1], accepted)
    if accepted:
        last = own[-1]
        return f"accepted and not ended; last event {last.event} ({last.cause})"
    if refusals:
        last = refusals[-1]
        is_certain = last.fields.get("verdict") in _NOT_STORED
        known = "not run" if is_certain else "unknown whether stored"
        return f"refused {len(refusals)} times, {known}: {last.cause}"
    return f"never accepted; last event {own[-1].event} ({own[-1].cause})"


def _unanswered(own: Sequence[LogLine]) -> str:
    """Return how often queries about a job had no result, and why the last one had none."""
    failed = [line for line in own if line.event == "job.unanswered"]
    if not failed:
        return ""
    last = failed[-1]
    return f"; {len(failed)} queries unanswered, the last at {last.process}: {last.cause}"


def _verdict_of_end(own: Sequence[LogLine], end: LogLine, accepted: Sequence[LogLine]) -> str:
    phase = end.fields.get("phase", "ended")
    took = f" {end.at_s - accepted[0].at_s:.3f} s after acceptance" if accepted else ""
    verdict = f"{phase}{took}: {end.cause}"
    failed = [
        f"{_run(line)} on {line.fields.get('executor')}"
        for line in own
        if line.event == "run.ended" and line.cause == "failed"
    ]
    if phase == "failed" and failed:
        verdict += f"; failed runs: {', '.join(failed)}"
    return verdict


def _delays(own: Sequence[LogLine], context: Sequence[LogLine]) -> list[str]:
    """Return the long gaps of a job with the context events in them, and its restarts."""
    gaps = [(after.at_s - before.at_s, before, after) for before, after in pairwise(own)]
    gaps.sort(key=lambda gap: -gap[0])
    delays = []
    for gap_s, before, after in gaps:
        if gap_s < LONG_WAIT_S:
            break
        meanwhile = [
            f"{line.event} on {line.process}"
            for line in context
            if before.at_s <= line.at_s <= after.at_s
        ]
        text = f"{gap_s:.3f} s between {before.event} and {after.event}"
        delays.append(f"{text}; meanwhile {', '.join(meanwhile)}" if meanwhile else text)
    restarts = [
        f"{_run(line)} ended as {line.cause}"
        for line in own
        if line.event == "run.ended" and line.cause not in {"done", "failed"}
    ]
    return delays + restarts


def _run(line: LogLine) -> str:
    return f"{' '.join(line.subjects[1:])} run {line.fields.get('run')}"
