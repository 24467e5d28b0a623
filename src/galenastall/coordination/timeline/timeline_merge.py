"""Merges events of several processes into one time line, and formats it as text."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

from galenastall.state.timeline import TimelineEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class MergedTimeline:
    """Time line of all processes that could be queried."""

    subject: str
    """The id that the events concern; empty for all events."""
    events: tuple[TimelineEvent, ...]
    unreachable: tuple[str, ...] = ()
    """Processes that could not be queried, in sorted order: their events are missing."""
    forgetful: tuple[str, ...] = ()
    """Processes whose ring has dropped older events, in sorted order."""


def merge_timelines(
    rings: Iterable[Iterable[TimelineEvent]],
    *,
    subject: str = "",
    unreachable: Iterable[str] = (),
    forgetful: Iterable[str] = (),
) -> MergedTimeline:
    """Return all events without duplicates, ordered by hybrid time, then by process."""
    by_key = {(event.at, event.process): event for ring in rings for event in ring}
    events = tuple(by_key[key] for key in sorted(by_key))
    return MergedTimeline(
        subject=subject,
        events=events,
        unreachable=tuple(sorted(set(unreachable))),
        forgetful=tuple(sorted(set(forgetful))),
    )


def timeline_text(timeline: MergedTimeline) -> str:
    """Return one line for each event, then notes on missing events."""
    return "\n".join(_lines(timeline)) + "\n"


def _lines(timeline: MergedTimeline) -> Iterator[str]:
    start_ms = timeline.events[0].at.wall_ms if timeline.events else 0
    widths = _column_widths(timeline.events)
    for event in timeline.events:
        yield _line(event, start_ms, widths)
    if not timeline.events:
        yield f"no events about {timeline.subject or 'anything'}"
    for process in timeline.unreachable:
        yield f"! {process} could not be asked: its events are missing"
    for process in timeline.forgetful:
        yield f"! {process} has dropped older events"


def _column_widths(events: Iterable[TimelineEvent]) -> tuple[int, int]:
    process_width = max((len(event.process) for event in events), default=0)
    step_width = max((len(event.step) for event in events), default=0)
    return process_width, step_width


def _line(event: TimelineEvent, start_ms: int, widths: tuple[int, int]) -> str:
    clock = datetime.fromtimestamp(event.at.wall_ms / 1000, tz=UTC).strftime("%H:%M:%S.%f")[:-3]
    since_s = (event.at.wall_ms - start_ms) / 1000
    head = f"{clock} +{since_s:8.3f}s  {event.process:{widths[0]}}  {event.step:{widths[1]}}"
    parts = [head]
    if event.peer:
        parts.append(f"-> {event.peer}")
    if event.subjects:
        parts.append(f"[{' '.join(event.subjects)}]")
    if event.cause:
        parts.append(f"because {event.cause}")
    parts.extend(f"{name}={value}" for name, value in sorted(event.fields.items()))
    return "  ".join(parts)
