"""Idempotent lookups through one entry host: rate, added latency, CPU time and memory."""

from dataclasses import replace
from typing import Final

import trio

from galenastall.bench.experiment import (
    ExperimentSettings,
    add_load_figures,
    close_and_judge,
    run_clients,
    scenario,
)
from galenastall.bench.fleet import Fleet, running_fleet
from galenastall.bench.load import LoadPlan, LoadSummary, Target
from galenastall.bench.report import ScenarioResult
from galenastall.proof.history import HistoryRecorder
from galenastall.standin.control_messages import ALL_HOSTS
from galenastall.standin.faults import ExecutorFaults
from galenastall.standin.service_time import ServiceTime
from galenastall.state.hosts import HostKind

AIM_RATE: Final = 400.0
AIM_ADDED_MS: Final = 4.0
AIM_MEMORY_MB: Final = 256.0
RATES: Final = (300.0, 350.0, 400.0, 450.0, 500.0, 600.0)
HALF_LOAD_RATE: Final = 200.0
STEP_S: Final = 8.0
SUSTAINED_SHARE: Final = 0.99
SUSTAINED_P99_MS: Final = 1000.0
QUEUED_REQUESTS: Final = 1000
QUEUED_DEADLINE_MS: Final = 30_000


@scenario(
    "lookup-throughput",
    shows="lookups per second through one entry host, added latency, CPU per request, memory",
)
async def lookup_throughput(settings: ExperimentSettings, result: ScenarioResult) -> None:
    """Compare with direct calls at half load, step up the rate, then fill the request queue."""
    plan = settings.fleet_plan(
        entry_hosts_by_data_centre={"gangnam": 1},
        workers=0,
        executors=12,
        service_mean_ms=20.0,
        service_distribution="fixed",
    )
    recorder = HistoryRecorder()
    async with running_fleet(plan, settings.directory) as fleet:
        load = LoadPlan(
            name="direct",
            targets=await _executor_targets(fleet),
            mix="lookups",
            rate=HALF_LOAD_RATE,
            duration_s=STEP_S * settings.scale,
            seed=settings.seed,
            start_wall=0.0,
            checks_ready=False,
        )
        await _measure_half_load(fleet, recorder, settings, result, load)
        await _measure_rising_rates(fleet, recorder, settings, result, load)
        await _measure_full_queue(fleet, recorder, settings, result, load)
        names = ("answers-whole-and-own", "not-run-is-true", "every-request-answered")
        await close_and_judge(fleet, recorder, result, names=names, directory=settings.directory)


async def _executor_targets(fleet: Fleet) -> tuple[Target, ...]:
    hosts = await fleet.hosts_of(HostKind.UPSTREAM)
    return tuple(
        Target(host_id=host.host_id, address=host.address, path_prefix="/", is_executor=True)
        for host in hosts
    )


async def _measure_half_load(
    fleet: Fleet,
    recorder: HistoryRecorder,
    settings: ExperimentSettings,
    result: ScenarioResult,
    load: LoadPlan,
) -> None:
    direct = await run_clients(fleet, recorder, settings.directory, load)
    through_entry_host = await run_clients(
        fleet,
        recorder,
        settings.directory,
        replace(load, name="half", targets=fleet.targets()),
    )
    add_load_figures(result, "direct", direct)
    add_load_figures(result, "half load", through_entry_host)
    for percentile, limit_ms in ((50.0, AIM_ADDED_MS), (99.0, None)):
        added = _percentile_ms(through_entry_host, percentile) - _percentile_ms(direct, percentile)
        result.add(f"added latency p{percentile:g} at half load", added, "ms", at_most=limit_ms)


async def _measure_rising_rates(
    fleet: Fleet,
    recorder: HistoryRecorder,
    settings: ExperimentSettings,
    result: ScenarioResult,
    load: LoadPlan,
) -> None:
    (host_id,) = fleet.entry_hosts_by_id
    sustained = 0.0
    for rate in RATES:
        before = fleet.driver.usage(host_id).cpu_s
        plan = replace(load, name=f"rate-{rate:g}", targets=fleet.targets(), rate=rate)
        summary = await run_clients(fleet, recorder, settings.directory, plan, clients=3)
        used_cpu_s = fleet.driver.usage(host_id).cpu_s - before
        done = summary.counts_by_outcome.get("done", 0)
        share = done / max(1, summary.sent)
        result.add(f"done at {rate:g}/s", share, "of sent")
        result.add(f"p99 at {rate:g}/s", _percentile_ms(summary, 99.0), "ms")
        result.add(f"processor time a request at {rate:g}/s", used_cpu_s / max(1, done) * 1e3, "ms")
        result.add(f"client lag at {rate:g}/s", summary.worst_lag_ms, "ms")
        if share >= SUSTAINED_SHARE and _percentile_ms(summary, 99.0) <= SUSTAINED_P99_MS:
            sustained = max(sustained, done / plan.duration_s)
    result.add("sustained rate", sustained, "requests/s", at_least=AIM_RATE)


async def _measure_full_queue(
    fleet: Fleet,
    recorder: HistoryRecorder,
    settings: ExperimentSettings,
    result: ScenarioResult,
    load: LoadPlan,
) -> None:
    (host_id,) = fleet.entry_hosts_by_id
    fixed = ServiceTime(distribution="fixed", mean_s=0.02)
    paused = ExecutorFaults(paused=True, service=fixed)
    await fleet.control.set_executor_faults(ALL_HOSTS, paused)

    async def release() -> None:
        await trio.sleep(QUEUED_REQUESTS / AIM_RATE + 2.0)
        result.add("memory with 1,000 waiting", fleet.driver.usage(host_id).rss_mb, "MB")
        await fleet.control.set_executor_faults(ALL_HOSTS, ExecutorFaults(service=fixed))

    plan = replace(
        load,
        name="waiting",
        targets=fleet.targets(),
        rate=AIM_RATE,
        duration_s=QUEUED_REQUESTS / AIM_RATE,
        deadline_ms=QUEUED_DEADLINE_MS,
    )
    summary = await run_clients(
        fleet, recorder, settings.directory, plan, clients=3, during=release
    )
    add_load_figures(result, "waiting", summary)
    peak_mb = fleet.driver.usage(host_id).peak_rss_mb
    result.add("peak memory", peak_mb, "MB", at_most=AIM_MEMORY_MB)


def _percentile_ms(summary: LoadSummary, percentile: float) -> float:
    histogram = summary.histogram(contains="|done|")
    return float(histogram.get_value_at_percentile(percentile)) / 1000.0
