"""Results of experiments: figures with their aims, as JSON, a table and a plot."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from galenastall.bench.noise import NoiseSample
from galenastall.proof.checker import Verdict

PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)
MAX_VIOLATIONS_SHOWN: Final = 20
_PLOT_POINTS: Final = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100)


@dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One measured number and what was aimed at."""

    name: str
    value: float
    unit: str
    at_least: float | None = None
    at_most: float | None = None

    @property
    def holds(self) -> bool | None:
        """Whether the aim is met; None if there is none."""
        if self.at_least is None and self.at_most is None:
            return None
        over = self.at_least is None or self.value >= self.at_least
        under = self.at_most is None or self.value <= self.at_most
        return over and under

    @property
    def aim(self) -> str:
        """The aim as text; empty if there is none."""
        parts = []
        if self.at_least is not None:
            parts.append(f">= {self.at_least:g}")
        if self.at_most is not None:
            parts.append(f"<= {self.at_most:g}")
        return " and ".join(parts)


@dataclass(frozen=True, kw_only=True, slots=True)
class Curve:
    """A line of a plot."""

    label: str
    points: tuple[tuple[float, float], ...]


@dataclass(kw_only=True, slots=True)
class ScenarioResult:
    """What one run of a scenario gave."""

    scenario: str
    seed: int
    command: str
    revision: str = ""
    parameters: dict[str, str] = field(default_factory=dict)
    figures: list[Figure] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    violation_count: int = 0
    checked: tuple[str, ...] = ()
    event_counts: dict[str, int] = field(default_factory=dict)
    curves: list[Curve] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    noise_before: NoiseSample | None = None
    noise_after: NoiseSample | None = None

    @property
    def holds(self) -> bool:
        """Whether all aims are met and no invariant is broken."""
        return self.violation_count == 0 and all(each.holds is not False for each in self.figures)

    def add(
        self,
        name: str,
        value: float,
        unit: str,
        *,
        at_least: float | None = None,
        at_most: float | None = None,
    ) -> None:
        """Add a figure."""
        self.figures.append(
            Figure(name=name, value=value, unit=unit, at_least=at_least, at_most=at_most)
        )

    def add_latencies(self, name: str, histogram: HdrHistogram) -> None:
        """Add percentiles and a curve of a histogram of microseconds."""
        if not histogram.get_total_count():
            return
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile) / 1000.0
            self.add(f"{name} p{percentile:g}", value, "ms")
        points = tuple(
            (float(each), histogram.get_value_at_percentile(each) / 1000.0) for each in _PLOT_POINTS
        )
        self.curves.append(Curve(label=name, points=points))

    def take_verdict(self, verdict: Verdict) -> None:
        """Take in what the checker found."""
        self.checked = verdict.checked
        self.event_counts = verdict.counts_by_kind
        self.violation_count = len(verdict.violations)
        self.violations = [
            f"{each.invariant}: {each.detail}" for each in verdict.violations[:MAX_VIOLATIONS_SHOWN]
        ]


def to_json(result: ScenarioResult) -> str:
    """Return the result as indented JSON, with whether it holds."""
    plain = msgspec.to_builtins(result)
    plain["holds"] = result.holds
    for figure, entry in zip(result.figures, plain["figures"], strict=True):
        entry["holds"] = figure.holds
    return msgspec.json.format(msgspec.json.encode(plain), indent=2).decode()


def to_table(result: ScenarioResult) -> str:
    """Return the result as a table for people."""
    rows: list[tuple[str, ...]] = [("figure", "value", "unit", "aim", "met")]
    rows += [
        (each.name, f"{each.value:.4g}", each.unit, each.aim, _word(each.holds))
        for each in result.figures
    ]
    lines = [f"{result.scenario} (seed {result.seed}, revision {result.revision})"]
    lines += _aligned(rows)
    lines.append(f"invariants checked: {len(result.checked)}; violations: {result.violation_count}")
    lines += [f"  {each}" for each in result.violations]
    lines += [f"note: {each}" for each in result.notes]
    if result.noise_before is not None and result.noise_after is not None:
        before, after = result.noise_before, result.noise_after
        lines.append(
            f"machine noise (median over best of a fixed loop): before {before.spread:.1%},"
            f" after {after.spread:.1%}; best {before.best_ms:.2f} and {after.best_ms:.2f} ms"
        )
    return "\n".join(lines)


def write_plot(result: ScenarioResult, path: Path) -> None:
    """Write the latency curves as SVG or PNG, by the path's suffix.

    Raises ImportError where the `plots` extra is not installed.
    """
    from matplotlib.figure import Figure as Canvas  # noqa: PLC0415 - optional dependency

    canvas = Canvas(figsize=(8, 5))
    axes = canvas.subplots()
    for curve in result.curves:
        axes.plot(range(len(curve.points)), [y for _, y in curve.points], label=curve.label)
    axes.set_xticks(range(len(_PLOT_POINTS)), [f"{each:g}" for each in _PLOT_POINTS])
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("milliseconds")
    axes.set_title(f"{result.scenario}, seed {result.seed}")
    if result.curves:
        axes.legend()
    axes.grid(visible=True, alpha=0.3)
    canvas.savefig(path)


def _word(holds: bool | None) -> str:
    return {True: "yes", False: "NO", None: ""}[holds]


def _aligned(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
