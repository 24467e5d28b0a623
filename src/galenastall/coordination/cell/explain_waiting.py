"""Explains from log lines what jobs waited for: store, advice or capacity, and between runs."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.explain_logs import LogLine
from galenastall.coordination.cell.explain_restarts import Restarts, format_restarts, restarts_of

Span = tuple[float, float]
_OUTAGE_BEGINS: Final = frozenset({"store.lost", "leader.lost"})
_OUTAGE_ENDS: Final = frozenset({"store.regained", "leader.loaded"})


@dataclass(frozen=True, kw_only=True, slots=True)
class JobWait:
    """Seconds from a job's acceptance to its first start or end, or to the end of the log."""

    job_id: str
    queue: str
    has_started: bool
    store_s: float
    """No leader was confirmed by the store."""
    advice_s: float
    """A call for advice was in progress."""
    capacity_s: float
    """The rest: capacity was insufficient, also for a complete gang, or reserved for others."""

    share_s: float
    """Part of `capacity_s` in which a job beyond its workspace's rate waited behind others, as the
    workspace was above its share."""

    restarts: Restarts
    """Restarts after the first start."""

    @property
    def total_s(self) -> float:
        """Return the total wait for the first start."""
        return self.store_s + self.advice_s + self.capacity_s

    @property
    def restart_wait_s(self) -> float:
        """Return the time after the first start in which any task waited for its next run."""
        return _length(self.restarts.waits)


def waits_of(lines: Sequence[LogLine]) -> list[JobWait]:
    """Return the waits of each accepted job, the longest first; `lines` are in log order."""
    if not lines:
        return []
    outages = _outages(lines)
    above_by_workspace = _above_share(lines)
    lines_by_job: defaultdict[str, list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.subjects:
            lines_by_job[line.subjects[0]].append(line)
    waits = [
        wait
        for job_id, own in lines_by_job.items()
        if (wait := _wait_of(job_id, own, outages, above_by_workspace, lines[-1].at_s)) is not None
    ]
    return sorted(waits, key=lambda wait: (-wait.total_s - wait.restart_wait_s, wait.job_id))


def _wait_of(
    job_id: str,
    own: Sequence[LogLine],
    outages: list[Span],
    above_by_workspace: Mapping[str, list[Span]],
    log_end_s: float,
) -> JobWait | None:
    accepted = next((line for line in own if line.event == "job.accepted"), None)
    if accepted is None:
        return None
    first = next((line for line in own if line.event == "run.assigned"), None)
    ended = next((line for line in own if line.event == "job.ended"), None)
    until = first or ended
    window = (accepted.at_s, max(until.at_s if until else log_end_s, accepted.at_s))
    store = _clip(outages, window)
    advice = _clip(_advice_spans(own), window)
    store_s = _length(store)
    advice_s = _length([*store, *advice]) - store_s
    other_s = _length([*store, *advice])
    above: list[Span] = []
    if any(line.event == "job.beyond_rate" for line in own):
        workspace = accepted.fields.get("workspace", "")
        above = _clip(above_by_workspace.get(workspace, []), window)
    return JobWait(
        job_id=job_id,
        queue=accepted.fields.get("queue", ""),
        has_started=first is not None,
        store_s=store_s,
        advice_s=advice_s,
        capacity_s=max(window[1] - window[0] - store_s - advice_s, 0.0),
        share_s=_length([*store, *advice, *above]) - other_s,
        restarts=restarts_of(own, log_end_s=log_end_s),
    )


def _outages(lines: Sequence[LogLine]) -> list[Span]:
    """Return the spans without a leader confirmed by the store, as logged by the leaders."""
    spans: list[Span] = []
    begun: float | None = None
    for line in lines:
        if line.event in _OUTAGE_BEGINS and begun is None:
            begun = line.at_s
        elif line.event in _OUTAGE_ENDS and begun is not None:
            spans.append((begun, line.at_s))
            begun = None
    if begun is not None:
        spans.append((begun, lines[-1].at_s))
    return spans


def _above_share(lines: Sequence[LogLine]) -> dict[str, list[Span]]:
    """Return by workspace the spans in which it was above its share, as logged by the leaders."""
    begun_by_name: dict[str, float] = {}
    spans_by_name: defaultdict[str, list[Span]] = defaultdict(list)
    for line in lines:
        if line.event == "workspace.above_share":
            begun_by_name.setdefault(line.subjects[0], line.at_s)
            continue
        ended: list[str] = []
        if line.event == "workspace.within_share":
            ended = [line.subjects[0]]
        elif line.event == "leader.loaded":
            ended = list(begun_by_name)
        for name in ended:
            spans_by_name[name].append((begun_by_name.pop(name, line.at_s), line.at_s))
    for name, begun in begun_by_name.items():
        spans_by_name[name].append((begun, lines[-1].at_s))
    return spans_by_name


def _advice_spans(own: Sequence[LogLine]) -> list[Span]:
    answers = (line for line in own if line.event == "advice.answered")
    return [(line.at_s - _took_s(line), line.at_s) for line in answers]


def _took_s(line: LogLine) -> float:
    text = line.fields.get("took_ms", "")
    return int(text) / 1000.0 if text.isdigit() else 0.0


def _clip(spans: Iterable[Span], window: Span) -> list[Span]:
    clipped = [(max(begin, window[0]), min(end, window[1])) for begin, end in spans]
    return [(begin, end) for begin, end in clipped if end > begin]


def _length(spans: Iterable[Span]) -> float:
    """Return the time that the union of spans covers."""
    covered = 0.0
    reached = float("-inf")
    for begin, end in sorted(spans):
        covered += max(0.0, end - max(begin, reached))
        reached = max(reached, end)
    return covered


def format_waits(waits: Sequence[JobWait], *, longest: int) -> list[str]:
    """Return the averages by queue and the longest waits as lines of text."""
    waits_by_queue: defaultdict[str, list[JobWait]] = defaultdict(list)
    for wait in waits:
        waits_by_queue[wait.queue].append(wait)
    lines = [_queue_line(queue, own) for queue, own in sorted(waits_by_queue.items())]
    for wait in waits[:longest]:
        lines += [_job_line(wait), *format_restarts(wait.restarts)]
    return lines


def _queue_line(queue: str, waits: Sequence[JobWait]) -> str:
    count = len(waits)
    started = sum(1 for wait in waits if wait.has_started)
    store_s = sum(wait.store_s for wait in waits) / count
    advice_s = sum(wait.advice_s for wait in waits) / count
    capacity_s = sum(wait.capacity_s for wait in waits) / count
    share_s = sum(wait.share_s for wait in waits) / count
    restart_wait_s = sum(wait.restart_wait_s for wait in waits) / count
    return (
        f"{queue}: {count} jobs accepted, {started} started; waited on average for the store"
        f" {store_s:.3f} s, for advice {advice_s:.3f} s, for capacity {capacity_s:.3f} s"
        f"{_of_share(share_s)}, and between runs {restart_wait_s:.3f} s"
    )


def _of_share(share_s: float) -> str:
    return f" ({share_s:.3f} s with its workspace above its share)" if share_s > 0 else ""


def _job_line(wait: JobWait) -> str:
    until = "first start" if wait.has_started else "never started"
    return (
        f"  {wait.job_id} of {wait.queue}: {wait.total_s:.3f} s, {until}; store"
        f" {wait.store_s:.3f} s, advice {wait.advice_s:.3f} s, capacity {wait.capacity_s:.3f} s"
        f"{_of_share(wait.share_s)}; between runs {wait.restart_wait_s:.3f} s"
    )
