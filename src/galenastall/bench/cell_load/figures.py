"""Metrics over many simulation runs (worth, waits, idle cores, advice) and report comparison."""

from collections import defaultdict
from math import sqrt
from statistics import fmean, stdev
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from galenastall.bench.cell_load.simulation import JobOutcome, SimulationResult
from galenastall.bench.cell_load.workload import Workload
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE

MAX_RECORDED_MS: Final = 600_000
SIGNIFICANT_DIGITS: Final = 3
NORMAL_95: Final = 1.96
"""Half-width of a 95% interval in standard errors."""
WORST_WORKSPACES: Final = 2
"""Number of worst-served workspaces reported separately."""
TOP_DECILE: Final = 0.9
"""The largest tenth of a queue's jobs by work is reported separately."""


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Quantiles in seconds."""

    p50: float
    p95: float
    p99: float


class QueueFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes of a queue's entitled jobs (see `Arrival.is_entitled`), over all seeds."""

    jobs: int
    in_time: float
    """Share of the jobs done within their objective."""
    late: float
    """Share done after the objective, but within three times of it."""
    refused: float
    lost: float
    """Share accepted but never reported as ended."""
    largest_in_time: float
    first_start: Quantiles


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """A report; keeps figures per seed, so that two reports can be compared seed by seed."""

    workload: str
    without: list[str]
    worth_by_seed: dict[str, float]
    """Worth earned divided by the total worth of the entitled jobs."""
    idle_usable_by_seed: dict[str, float]
    """Mean share of the cores that were idle although a waiting step could have used them."""
    in_use_by_seed: dict[str, float]
    by_queue: dict[str, QueueFigures]
    refusal: Quantiles
    decision: Quantiles
    advice_calls_a_job: float
    starts_a_s: float
    violations: list[str]
    crashes: int = 0
    """Number of executors crashed by tasks."""
    failed_jobs: int = 0
    """Entitled jobs reported as failed; jobs whose task crashes executors are not among them."""
    worth_by_workspace: dict[str, float] = {}
    """The same ratio for each workspace, over all seeds."""
    worst_workspaces_by_seed: dict[str, float] = {}
    """The same ratio, averaged over the two workspaces with the lowest; without workspaces, 0."""


def summarize(
    results: list[SimulationResult], *, workload: Workload, without: list[str]
) -> Figures:
    """Return the report over the results of several seeds."""
    outcomes_by_queue: defaultdict[str, list[JobOutcome]] = defaultdict(list)
    for result in results:
        for outcome in result.outcomes:
            outcomes_by_queue[outcome.arrival.job.queue.name].append(outcome)
    jobs = sum(len(outcomes) for outcomes in outcomes_by_queue.values())
    refusals = [f.answered_s for p in results for f in p.outcomes if f.is_refused and f.answered_s]
    return Figures(
        workload=workload.name,
        without=without,
        worth_by_seed={str(result.seed): _worth_ratio_of_run(result) for result in results},
        idle_usable_by_seed={
            str(result.seed): fmean(s.idle_usable / max(s.capacity, 1) for s in result.samples)
            for result in results
        },
        in_use_by_seed={
            str(result.seed): fmean(s.in_use / max(s.capacity, 1) for s in result.samples)
            for result in results
        },
        by_queue={
            name: _summarize_queue([outcome for outcome in outcomes if outcome.arrival.is_entitled])
            for name, outcomes in sorted(outcomes_by_queue.items())
        },
        refusal=_quantiles(refusals),
        decision=_quantiles([s for result in results for s in result.decision_s]),
        advice_calls_a_job=sum(result.advice_calls for result in results) / max(jobs, 1),
        starts_a_s=fmean(result.starts / workload.length_s for result in results),
        violations=[text for result in results for text in result.violations],
        crashes=sum(result.crashes for result in results),
        failed_jobs=sum(
            1
            for p in results
            for f in p.outcomes
            if f.arrival.is_entitled and f.phase is JobPhase.FAILED
        ),
        worth_by_workspace=_worth_by_workspace(results),
        worst_workspaces_by_seed={
            str(result.seed): _worst_workspaces(_worth_by_workspace([result])) for result in results
        },
    )


def _worth_by_workspace(results: list[SimulationResult]) -> dict[str, float]:
    outcomes_by_workspace: defaultdict[str, list[JobOutcome]] = defaultdict(list)
    for result in results:
        for outcome in result.outcomes:
            if outcome.arrival.job.workspace != NO_WORKSPACE and outcome.arrival.is_entitled:
                outcomes_by_workspace[outcome.arrival.job.workspace].append(outcome)
    return {
        name: _worth_ratio(outcomes) for name, outcomes in sorted(outcomes_by_workspace.items())
    }


def _worst_workspaces(worth_by_workspace: dict[str, float]) -> float:
    worst = sorted(worth_by_workspace.values())[:WORST_WORKSPACES]
    return fmean(worst) if worst else 0.0


def _worth_ratio_of_run(result: SimulationResult) -> float:
    return _worth_ratio([outcome for outcome in result.outcomes if outcome.arrival.is_entitled])


def _worth_ratio(outcomes: list[JobOutcome]) -> float:
    """Return the worth earned divided by the total worth of the given jobs."""
    total = sum(outcome.arrival.worth for outcome in outcomes)
    return sum(outcome.arrival.worth * outcome.earned_share for outcome in outcomes) / total


def _summarize_queue(outcomes: list[JobOutcome]) -> QueueFigures:
    count = len(outcomes)
    by_size = sorted(outcomes, key=lambda outcome: outcome.arrival.worth)
    largest = by_size[int(count * TOP_DECILE) :]
    return QueueFigures(
        jobs=count,
        in_time=sum(1 for f in outcomes if f.earned_share == 1.0) / count,
        late=sum(1 for f in outcomes if 0.0 < f.earned_share < 1.0) / count,
        refused=sum(1 for f in outcomes if f.is_refused) / count,
        lost=sum(1 for f in outcomes if f.is_accepted and f.phase is None) / count,
        largest_in_time=sum(1 for f in largest if f.earned_share == 1.0) / max(len(largest), 1),
        first_start=_quantiles([f.started_s for f in outcomes if f.started_s is not None]),
    )


def _quantiles(seconds: list[float]) -> Quantiles:
    histogram = HdrHistogram(1, MAX_RECORDED_MS * 1000, SIGNIFICANT_DIGITS)
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
    """Return the paired differences of the second report from the first."""
    return [
        _difference(name, old, new)
        for name, old, new in (
            ("worth", before.worth_by_seed, after.worth_by_seed),
            ("worst workspaces", before.worst_workspaces_by_seed, after.worst_workspaces_by_seed),
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
    """Format a report as text."""
    worth = list(figures.worth_by_seed.values())
    off = f" without {', '.join(figures.without)}" if figures.without else ""
    lines = [
        f"{figures.workload}{off}, {len(worth)} seeds",
        f"worth {fmean(worth):.3f} ({min(worth):.3f} to {max(worth):.3f}); cores in use"
        f" {fmean(figures.in_use_by_seed.values()):.3f}, idle though usable"
        f" {fmean(figures.idle_usable_by_seed.values()):.3f}; {figures.starts_a_s:.0f} starts/s,"
        f" {figures.advice_calls_a_job:.2f} advice calls per job",
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
        worst = fmean(figures.worst_workspaces_by_seed.values())
        lines.append(f"  worst {WORST_WORKSPACES} workspaces of a seed: {worst:.3f}")
    return "\n".join([*lines, *figures.violations[:5]])
