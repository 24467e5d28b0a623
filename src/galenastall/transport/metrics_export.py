"""Export of the metrics through OpenTelemetry: observes sums and readings at each scrape."""

from collections.abc import Iterable, Iterator, Sequence

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric

from galenastall.transport.metrics import Counter, Labels, Reading


class MetricsExport:
    """Meters with a private registry, so that several processes can run in one test."""

    def __init__(self) -> None:
        """Create meters without instruments."""
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        self._meter = self._provider.get_meter("galenastall")

    def add_counter(
        self, name: str, help_text: str, labels: Sequence[str], counter: Counter
    ) -> None:
        """Export a counter as `<name>_total`."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return _observations(counter.read(), labels)

        self._meter.create_observable_counter(name, callbacks=[observe], description=help_text)

    def add_gauge(self, name: str, help_text: str, labels: Sequence[str], reading: Reading) -> None:
        """Export the value that `reading` returns at each scrape."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            value = reading()
            if not isinstance(value, dict):
                return [Observation(value)]
            return _observations(value, labels)

        self._meter.create_observable_gauge(name, callbacks=[observe], description=help_text)

    def families(self) -> Iterator[bytes]:
        """Yield the parts of the page, one for each metric."""
        for family in self._registry.collect():
            yield generate_latest(_SingleFamilyRegistry(family))


def _observations(
    values_by_labels: dict[Labels, float], labels: Sequence[str]
) -> list[Observation]:
    return [
        Observation(value, dict(zip(labels, values, strict=True)))
        for values, value in values_by_labels.items()
    ]


class _SingleFamilyRegistry(CollectorRegistry):
    def __init__(self, family: Metric) -> None:
        super().__init__()
        self._family = family

    def collect(self) -> Iterator[Metric]:
        """Return the one family."""
        yield self._family
