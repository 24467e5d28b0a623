"""Metrics: cheap counters, gauges and histograms, read by OpenTelemetry when a page is asked for.

Recording through the SDK costs about ten microseconds a value, which a proxied request pays several
times. So values are added up here in plain numbers, and the SDK observes the sums at each scrape.
Nothing runs in the background.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

import trio
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric

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
"""Upper bounds in seconds, for waiting and answer times."""
MAX_SERIES: Final = 1_000
"""Label sets of one metric; further ones are counted together as `other`."""

Labels = tuple[str, ...]
Reading = Callable[[], float | dict[Labels, float]]
"""Returns a gauge's value, or its values by label values."""


class Counter:
    """A sum that only grows, by label values."""

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

    def _observe(self, _: CallbackOptions) -> Iterator[Observation]:
        for values, total in self._sums.items():
            yield Observation(total, dict(zip(self._labels, values, strict=True)))


class Histogram:
    """Counts of values below fixed bounds, by label values."""

    __slots__ = ("_bound_texts", "_bounds", "_counts", "_labels", "_sums", "help_text", "name")

    def __init__(
        self, *, name: str, help_text: str, labels: Sequence[str], bounds: Sequence[float]
    ) -> None:
        """Count below each of the ascending `bounds`."""
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

        The client library takes a hundred milliseconds for the buckets of a few hundred teams, on
        the loop that serves requests; this takes a tenth of it.
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
    """All metrics of one process, and the page that shows them."""

    def __init__(self) -> None:
        """Create the meters with a registry of their own, so that processes can share tests."""
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        self._meter = self._provider.get_meter("galenastall")
        self._histograms_by_name: dict[str, Histogram] = {}

    def counter(self, name: str, help_text: str, *, labels: Sequence[str] = ()) -> Counter:
        """Return a new counter; it is shown as `<name>_total`."""
        counter = Counter(labels=labels)
        self._meter.create_observable_counter(
            name, callbacks=[counter._observe], description=help_text
        )
        return counter

    def gauge(
        self, name: str, help_text: str, reading: Reading, *, labels: Sequence[str] = ()
    ) -> None:
        """Show what `reading` returns at each scrape."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            value = reading()
            if not isinstance(value, dict):
                return [Observation(value)]
            return [
                Observation(one, dict(zip(labels, values, strict=True)))
                for values, one in value.items()
            ]

        self._meter.create_observable_gauge(name, callbacks=[observe], description=help_text)

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
            raise ValueError(f"histogram {name!r} is there already")
        self._histograms_by_name[name] = histogram
        return histogram

    async def page(self) -> bytes:
        """Return the page in Prometheus's text format; lets others run between the metrics."""
        parts: list[bytes] = []
        for family in self._registry.collect():
            parts.append(generate_latest(_OneFamily(family)))
            await trio.lowlevel.checkpoint()
        for histogram in self._histograms_by_name.values():
            parts.append("".join(f"{line}\n" for line in histogram.lines()).encode())
            await trio.lowlevel.checkpoint()
        return b"".join(parts)


class _OneFamily(CollectorRegistry):
    def __init__(self, family: Metric) -> None:
        super().__init__()
        self._family = family

    def collect(self) -> Iterator[Metric]:
        """Return the one family."""
        yield self._family


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")


def _bounded(values: Labels, labels: Labels, series: int) -> Labels:
    if len(values) != len(labels):
        raise ValueError(f"labels {labels}: expected {len(labels)} values, got {values!r}")
    return values if series < MAX_SERIES else ("other",) * len(labels)
