"""Load at twice the executors' capacity: goodput, early refusals and urgent deadlines."""

from typing import Final

from galenastall.bench.experiment import (
    ExperimentSettings,
    add_load_figures,
    close_and_judge,
    run_clients,
    scenario,
)
from galenastall.bench.fleet import running_fleet
from galenastall.bench.load import LoadPlan, LoadSummary, new_histogram
from galenastall.bench.report import ScenarioResult
from galenastall.proof.history import HistoryRecorder

EXECUTORS: Final = 3
SLOTS: Final = 4
SERVICE_MS: Final = 60.0
CAPACITY_PER_S: Final = EXECUTORS * SLOTS * 1000.0 / SERVICE_MS
"""200 requests per second; the entry hosts forward more, so the executors are the bottleneck."""
ENTRY_HOSTS: Final = 3
STEP_S: Final = 20.0
REASONS_AFTER_WAIT: Final = ("|deadline_passed", "|overtaken")
"""Reasons given to requests that were queued first; all others were refused on arrival."""
AIM_GOODPUT: Final = 0.9
AIM_REFUSAL_MS: Final = 20.0
AIM_URGENT: Final = 0.99


@scenario("overload", shows="goodput, refusals and urgent work at twice the capacity")
async def overload(settings: ExperimentSettings, result: ScenarioResult) -> None:
    """Measure goodput at 0.8, 1 and 2 times the capacity; check the aims at twice the capacity."""
    plan = settings.fleet_plan(
        entry_hosts_by_data_centre={"gangnam": ENTRY_HOSTS},
        workers=0,
        executors=EXECUTORS,
        slots=SLOTS,
        service_mean_ms=SERVICE_MS,
        service_distribution="fixed",
    )
    recorder = HistoryRecorder()
    async with running_fleet(plan, settings.directory) as fleet:
        goodputs = {}
        for factor in (0.8, 1.0, 2.0):
            load = LoadPlan(
                name=f"load-{factor:g}",
                targets=fleet.targets(),
                mix="three-classes",
                rate=CAPACITY_PER_S * factor,
                duration_s=STEP_S * settings.scale,
                seed=settings.seed,
                start_wall=0.0,
            )
            summary = await run_clients(fleet, recorder, settings.directory, load, clients=2)
            goodputs[factor] = _goodput(summary, load.duration_s)
            result.add(f"goodput at {factor:g}x", goodputs[factor], "requests/s")
        add_load_figures(result, "2x", summary)
        share = goodputs[2.0] / max(goodputs.values())
        result.add("goodput at 2x over peak", share, "of peak", at_least=AIM_GOODPUT)
        _add_class_figures(result, summary)
        names = ("answers-whole-and-own", "not-run-is-true", "every-request-answered")
        await close_and_judge(fleet, recorder, result, names=names, directory=settings.directory)


def _goodput(summary: LoadSummary, duration_s: float) -> float:
    """Return the requests per second that were done by their deadline."""
    return sum(summary.in_time_by_class.values()) / duration_s


def _add_class_figures(result: ScenarioResult, summary: LoadSummary) -> None:
    refusals, after_wait = new_histogram(), new_histogram()
    for label in summary.histograms_by_label:
        if "|not_run|" in label:
            waited = label.endswith(REASONS_AFTER_WAIT)
            (after_wait if waited else refusals).add(summary.histogram(contains=label))
    result.add("given up while they waited", after_wait.get_total_count(), "requests")
    if after_wait.get_total_count():
        p50_ms = after_wait.get_value_at_percentile(50) / 1000.0
        result.add("given up after p50", p50_ms, "ms")
    deadline_rejections = summary.histogram(contains="|deadline_passed").get_total_count()
    result.add("told not run only at their deadline", deadline_rejections, "requests")
    result.add("early refusals", refusals.get_total_count(), "requests")
    if refusals.get_total_count():
        p99_ms = refusals.get_value_at_percentile(99.0) / 1000.0
        result.add("early refusals p99", p99_ms, "ms", at_most=AIM_REFUSAL_MS)
    urgent = summary.histogram(contains="|urgent|").get_total_count()
    in_time = summary.in_time_by_class.get("urgent", 0)
    share = in_time / max(1, urgent)
    result.add("urgent done by their deadline", share, "of urgent", at_least=AIM_URGENT)
