"""Figures of many plays: worth, waits, idle cores, advice, and differences between two reports."""

from collections import defaultdict
from math import sqrt
from statistics import fmean, stdev
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from galenastall.bench.cell_load.play import JobFate, Play
from galenastall.bench.cell_load.workload import Workload
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE

LONGEST_MS: Final = 600_000
DIGITS: Final = 3
NORMAL_95: Final = 1.96
"""Half-width of a 95% interval in standard errors."""
LARGE_TENTH: Final = 0.9
"""The largest tenth of a queue's jobs by work is reported by itself."""


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """In seconds."""

    p50: float
    p95: float
    p99: float


class QueueFigures(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a queue's jobs that can be done, over all seeds."""

    jobs: int
    in_time: float
    """Share of the jobs done within their objective."""
    late: float
    """Share done within three times of it."""
    refused: float
    lost: float
    """Share that were accepted and never shown as ended."""
    largest_in_time: float
    first_start: Quantiles


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """A report: figures of each seed, so that two reports compare in pairs."""

    workload: str
    without: list[str]
    worth_by_seed: dict[str, float]
    """Worth earned over worth owed."""
    idle_usable_by_seed: dict[str, float]
    """Mean share of the cores that lay idle though a waiting step could use them."""
    in_use_by_seed: dict[str, float]
    by_queue: dict[str, QueueFigures]
    refusal: Quantiles
    decision: Quantiles
    advice_calls_a_job: float
    starts_a_s: float
    violations: list[str]
    crashes: int = 0
    """Executors that tasks have crashed."""
    failed_jobs: int = 0
    """Jobs shown as failed without a task that crashes executors."""
    worth_by_workspace: dict[str, float] = {}
    """Worth earned over worth owed, over all seeds."""


def summarize(plays: list[Play], *, workload: Workload, without: list[str]) -> Figures:
    """Return the report of some seeds."""
    fates_by_queue: defaultdict[str, list[JobFate]] = defaultdict(list)
    for play in plays:
        for fate in play.fates:
            fates_by_queue[fate.arrival.job.queue.name].append(fate)
    jobs = sum(len(fates) for fates in fates_by_queue.values())
    refusals = [f.answered_s for p in plays for f in p.fates if f.is_refused and f.answered_s]
    return Figures(
        workload=workload.name,
        without=without,
        worth_by_seed={str(play.seed): _worth(play) for play in plays},
        idle_usable_by_seed={
            str(play.seed): fmean(s.idle_usable / max(s.capacity, 1) for s in play.samples)
            for play in plays
        },
        in_use_by_seed={
            str(play.seed): fmean(s.in_use / max(s.capacity, 1) for s in play.samples)
            for play in plays
        },
        by_queue={
            name: _of_queue([fate for fate in fates if fate.arrival.is_owed])
            for name, fates in sorted(fates_by_queue.items())
        },
        refusal=_quantiles(refusals),
        decision=_quantiles([s for play in plays for s in play.decision_s]),
        advice_calls_a_job=sum(play.advice_calls for play in plays) / max(jobs, 1),
        starts_a_s=fmean(play.starts / workload.length_s for play in plays),
        violations=[text for play in plays for text in play.violations],
        crashes=sum(play.crashes for play in plays),
        failed_jobs=sum(
            1 for p in plays for f in p.fates if f.arrival.is_owed and f.phase is JobPhase.FAILED
        ),
        worth_by_workspace=_worth_by_workspace(plays),
    )


def _worth_by_workspace(plays: list[Play]) -> dict[str, float]:
    fates_by_workspace: defaultdict[str, list[JobFate]] = defaultdict(list)
    for play in plays:
        for fate in play.fates:
            if fate.arrival.job.workspace != NO_WORKSPACE and fate.arrival.is_owed:
                fates_by_workspace[fate.arrival.job.workspace].append(fate)
    return {name: _worth_of(fates) for name, fates in sorted(fates_by_workspace.items())}


def _worth(play: Play) -> float:
    return _worth_of([fate for fate in play.fates if fate.arrival.is_owed])


def _worth_of(fates: list[JobFate]) -> float:
    """Return the worth earned over the worth owed of some jobs."""
    owed = sum(fate.arrival.worth for fate in fates)
    return sum(fate.arrival.worth * fate.earned_share for fate in fates) / owed


def _of_queue(fates: list[JobFate]) -> QueueFigures:
    count = len(fates)
    by_size = sorted(fates, key=lambda fate: fate.arrival.worth)
    largest = by_size[int(count * LARGE_TENTH) :]
    return QueueFigures(
        jobs=count,
        in_time=sum(1 for f in fates if f.earned_share == 1.0) / count,
        late=sum(1 for f in fates if 0.0 < f.earned_share < 1.0) / count,
        refused=sum(1 for f in fates if f.is_refused) / count,
        lost=sum(1 for f in fates if f.is_accepted and f.phase is None) / count,
        largest_in_time=sum(1 for f in largest if f.earned_share == 1.0) / max(len(largest), 1),
        first_start=_quantiles([f.started_s for f in fates if f.started_s is not None]),
    )


def _quantiles(seconds: list[float]) -> Quantiles:
    histogram = HdrHistogram(1, LONGEST_MS * 1000, DIGITS)
    for each in seconds:
        histogram.record_value(max(1, int(each * 1e6)))
    p50, p95, p99 = (histogram.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99))
    return Quantiles(p50=p50, p95=p95, p99=p99)


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """Mean difference over the seeds that two reports share, with a 95% interval."""

    figure: str
    mean: float
    half_width: float
    seeds: int

    def __str__(self) -> str:
        return f"{self.figure}: {self.mean:+.4f} +- {self.half_width:.4f} over {self.seeds} seeds"


def differences(before: Figures, after: Figures) -> list[Difference]:
    """Return how the second report differs from the first, seed by seed."""
    return [
        _difference(name, old, new)
        for name, old, new in (
            ("worth", before.worth_by_seed, after.worth_by_seed),
            ("idle though usable", before.idle_usable_by_seed, after.idle_usable_by_seed),
            ("in use", before.in_use_by_seed, after.in_use_by_seed),
        )
    ]


def _difference(name: str, old: dict[str, float], new: dict[str, float]) -> Difference:
    steps = [new[seed] - old[seed] for seed in old if seed in new]
    spread = stdev(steps) / sqrt(len(steps)) if len(steps) > 1 else 0.0
    return Difference(
        figure=name,
        mean=fmean(steps) if steps else 0.0,
        half_width=NORMAL_95 * spread,
        seeds=len(steps),
    )


def to_table(figures: Figures) -> str:
    """Return a report as lines of text."""
    worth = list(figures.worth_by_seed.values())
    off = f" without {', '.join(figures.without)}" if figures.without else ""
    lines = [
        f"{figures.workload}{off}, {len(worth)} seeds",
        f"worth {fmean(worth):.3f} ({min(worth):.3f} to {max(worth):.3f}); cores in use"
        f" {fmean(figures.in_use_by_seed.values()):.3f}, idle though usable"
        f" {fmean(figures.idle_usable_by_seed.values()):.3f}; {figures.starts_a_s:.0f} starts/s,"
        f" {figures.advice_calls_a_job:.2f} calls for advice a job",
        f"decision p50 {figures.decision.p50 * 1000:.1f} ms, p99 {figures.decision.p99 * 1000:.1f}"
        f" ms; refusal p99 {figures.refusal.p99 * 1000:.0f} ms;"
        f" {len(figures.violations)} violations",
    ]
    if figures.crashes:
        lines.append(
            f"{figures.crashes} executors crashed by tasks, {figures.failed_jobs} other jobs failed"
        )
    for name, each in figures.by_queue.items():
        start = each.first_start
        lines.append(
            f"  {name}: {each.jobs} jobs, in time {each.in_time:.3f}, late {each.late:.3f},"
            f" refused {each.refused:.3f}, lost {each.lost:.3f}, largest tenth in time"
            f" {each.largest_in_time:.3f}; first start p50 {start.p50:.2f} s,"
            f" p95 {start.p95:.2f} s, p99 {start.p99:.2f} s"
        )
    if figures.worth_by_workspace:
        shares = (f"{name} {share:.3f}" for name, share in figures.worth_by_workspace.items())
        lines.append(f"  worth by workspace: {', '.join(shares)}")
    return "\n".join([*lines, *figures.violations[:5]])
