"""Plots a time line: a row for each process, a marker for each event.

Plotting needs matplotlib, which is an optional dependency.
"""

import io
from typing import Any, Final, Literal

from galenastall.coordination.timeline.timeline_merge import MergedTimeline
from galenastall.state.errors import GalenastallError

PlotFormat = Literal["svg", "png"]

_WIDTH_INCHES: Final = 12.0
_ROW_INCHES: Final = 0.9
_LABELLED_EVENTS: Final = 40
"""Up to this many events are labelled; more labels would overlap."""


class PlotUnavailableError(GalenastallError):
    """Matplotlib is not installed."""


def plot_timeline(timeline: MergedTimeline, *, image_format: PlotFormat = "svg") -> bytes:
    """Return the image; raises PlotUnavailableError without matplotlib."""
    try:
        from matplotlib.figure import Figure  # noqa: PLC0415 - optional, and slow to import
    except ImportError as error:
        raise PlotUnavailableError(
            "drawing needs matplotlib: pip install 'galenastall[plots]'"
        ) from error
    processes = sorted({event.process for event in timeline.events} | set(timeline.unreachable))
    figure: Any = Figure(figsize=(_WIDTH_INCHES, 1.5 + _ROW_INCHES * max(1, len(processes))))
    axes = figure.add_subplot()
    _draw_events(axes, timeline, processes)
    _label_rows(axes, timeline, processes)
    axes.set_xlabel("seconds since the first event")
    axes.set_title(timeline.subject or "latest events")
    axes.margins(x=0.08, y=0.4)
    figure.tight_layout()
    picture = io.BytesIO()
    figure.savefig(picture, format=image_format)
    return picture.getvalue()


def _draw_events(axes: Any, timeline: MergedTimeline, processes: list[str]) -> None:
    if not timeline.events:
        return
    start_ms = timeline.events[0].at.wall_ms
    seconds = [(event.at.wall_ms - start_ms) / 1000 for event in timeline.events]
    rows = [processes.index(event.process) for event in timeline.events]
    axes.plot(seconds, rows, color="0.8", linewidth=1, zorder=1)
    axes.scatter(seconds, rows, zorder=2)
    if len(timeline.events) > _LABELLED_EVENTS:
        return
    for index, event in enumerate(timeline.events):
        axes.annotate(
            event.step,
            (seconds[index], rows[index]),
            xytext=(0, 8 + 9 * (index % 3)),
            textcoords="offset points",
            fontsize=7,
            ha="center",
        )


def _label_rows(axes: Any, timeline: MergedTimeline, processes: list[str]) -> None:
    missing = set(timeline.unreachable)
    labels = [f"{name} (not reached)" if name in missing else name for name in processes]
    axes.set_yticks(range(len(processes)), labels)
