"""Metrics: cheap counters, gauges and histograms, read by OpenTelemetry at each scrape.

Recording through the SDK costs about ten microseconds per value, several times for each proxied
request. Values are therefore summed here in plain numbers, which the SDK observes at each scrape.
Nothing runs in the background.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from galenastall.transport.metrics_export import MetricsExport

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
SECONDS_BUCKETS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)
"""Upper bounds in seconds, for wait and response times."""
MAX_SERIES: Final = 1_000
"""Label sets of one metric; further ones are counted together as `other`."""

Labels = tuple[str, ...]
Reading = Callable[[], float | dict[Labels, float]]
"""Returns a gauge's value, or its values by label values."""


class Counter:
    """A monotonic sum by label values."""

    __slots__ = ("_labels", "_sums")

    def __init__(self, *, labels: Sequence[str]) -> None:
        """Count by the named labels."""
        self._labels = tuple(labels)
        self._sums: dict[Labels, float] = {}

    def add(self, amount: float = 1, *values: str) -> None:
        """Add; `values` are those of the labels, in their order."""
        sums = self._sums
        if values in sums:
            sums[values] += amount
            return
        key = _bounded(values, self._labels, len(sums))
        sums[key] = sums.get(key, 0) + amount

    def value(self, *values: str) -> float:
        """Return the sum so far."""
        return self._sums.get(values, 0)

    def read(self) -> dict[Labels, float]:
        """Return the sums by label values."""
        return self._sums


class Histogram:
    """A histogram with fixed buckets, by label values."""

    __slots__ = ("_bound_texts", "_bounds", "_counts", "_labels", "_sums", "help_text", "name")

    def __init__(
        self, *, name: str, help_text: str, labels: Sequence[str], bounds: Sequence[float]
    ) -> None:
        """Create buckets with the ascending upper `bounds`."""
        self.name = name
        self.help_text = help_text
        self._labels = tuple(labels)
        self._bounds = tuple(bounds)
        self._bound_texts = (*map(str, self._bounds), "+Inf")
        self._counts: dict[Labels, list[int]] = {}
        self._sums: dict[Labels, float] = {}

    def record(self, value: float, *values: str) -> None:
        """Count one value; `values` are those of the labels, in their order."""
        counts = self._counts.get(values)
        if counts is None:
            values = _bounded(values, self._labels, len(self._counts))
            counts = self._counts.setdefault(values, [0] * (len(self._bounds) + 1))
            self._sums.setdefault(values, 0.0)
        counts[bisect_left(self._bounds, value)] += 1
        self._sums[values] += value

    def count(self, *values: str) -> int:
        """Return how many values were counted."""
        return sum(self._counts.get(values, ()))

    def lines(self) -> Iterator[str]:
        """Return the metric in Prometheus's text format.

        The client library takes a hundred milliseconds for the buckets of a few hundred teams and
        blocks the event loop meanwhile; this takes a tenth of that.
        """
        yield f"# HELP {self.name} {_escape(self.help_text)}"
        yield f"# TYPE {self.name} histogram"
        for values, counts in self._counts.items():
            pairs = [f'{k}="{_escape(v)}"' for k, v in zip(self._labels, values, strict=True)]
            labels = ",".join(pairs)
            head = f"{self.name}_bucket{{{labels}{',' if labels else ''}le=\""
            total = 0
            for bound, count in zip(self._bound_texts, counts, strict=True):
                total += count
                yield f'{head}{bound}"}} {total}'
            tail = f"{{{labels}}}" if labels else ""
            yield f"{self.name}_sum{tail} {self._sums[values]}"
            yield f"{self.name}_count{tail} {total}"


class Metrics:
    """All metrics of one process, and the page that exposes them."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._counters: list[tuple[str, str, Sequence[str], Counter]] = []
        self._gauges: list[tuple[str, str, Sequence[str], Reading]] = []
        self._export: MetricsExport | None = None
        self._histograms_by_name: dict[str, Histogram] = {}

    def counter(self, name: str, help_text: str, *, labels: Sequence[str] = ()) -> Counter:
        """Return a new counter; it is exported as `<name>_total`."""
        counter = Counter(labels=labels)
        self._counters.append((name, help_text, labels, counter))
        if self._export is not None:
            self._export.add_counter(name, help_text, labels, counter)
        return counter

    def gauge(
        self, name: str, help_text: str, reading: Reading, *, labels: Sequence[str] = ()
    ) -> None:
        """Export the value that `reading` returns at each scrape."""
        self._gauges.append((name, help_text, labels, reading))
        if self._export is not None:
            self._export.add_gauge(name, help_text, labels, reading)

    def histogram(
        self,
        name: str,
        help_text: str,
        *,
        labels: Sequence[str] = (),
        bounds: Sequence[float] = SECONDS_BUCKETS,
    ) -> Histogram:
        """Return a new histogram."""
        histogram = Histogram(name=name, help_text=help_text, labels=labels, bounds=bounds)
        if name in self._histograms_by_name:
            raise ValueError(f"histogram {name!r} already exists")
        self._histograms_by_name[name] = histogram
        return histogram

    async def page(self) -> bytes:
        """Return the page in Prometheus's text format; yields to other tasks between metrics."""
        parts: list[bytes] = []
        for family in self._exported().families():
            parts.append(family)
            await trio.lowlevel.checkpoint()
        for histogram in self._histograms_by_name.values():
            parts.append("".join(f"{line}\n" for line in histogram.lines()).encode())
            await trio.lowlevel.checkpoint()
        return b"".join(parts)

    def _exported(self) -> "MetricsExport":
        """Return the SDK export, imported at the first scrape.

        Importing it takes 108 of the 712 ms of a process's start and 5 MB of memory, and most
        processes are never scraped.
        """
        if self._export is None:
            from galenastall.transport.metrics_export import (  # noqa: PLC0415 - see above
                MetricsExport,
            )

            self._export = MetricsExport()
            for counter in self._counters:
                self._export.add_counter(*counter)
            for gauge in self._gauges:
                self._export.add_gauge(*gauge)
        return self._export


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")


def _bounded(values: Labels, labels: Labels, series: int) -> Labels:
    if len(values) != len(labels):
        raise ValueError(f"labels {labels}: expected {len(labels)} values, got {values!r}")
    return values if series < MAX_SERIES else ("other",) * len(labels)
