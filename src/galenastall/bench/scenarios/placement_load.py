"""Jobs of either mix through eight entry hosts: starts, waits, packing, log appends, CPU time."""

import random
from typing import Final

from galenastall.bench.experiment import ExperimentSettings, close_and_judge, scenario
from galenastall.bench.fleet import Fleet, running_fleet
from galenastall.bench.job_load import Cancellation, JobLoad, JobTally
from galenastall.bench.mixes import MIXES, JobArrival, cancellation_wave, draw_jobs
from galenastall.bench.placement_figures import (
    add_packing,
    add_starts,
    add_waits,
    count_appends,
)
from galenastall.bench.report import ScenarioResult
from galenastall.proof.history import HistoryRecorder
from galenastall.standin.faults import WorkerFaults
from galenastall.state.hosts import HostKind

APPEND_BUDGET_PER_S: Final = 150.0
DURATION_S: Final = 40.0
SETTLE_S: Final = 90.0
CANCELLATION_AT_SHARE: Final = 0.6
"""Share of the load's duration after which a batch of jobs is cancelled."""
CANCELLED_SHARE: Final = 0.3
DATA_CENTRES: Final = {"gangnam": 3, "mapo": 3, "seongsu": 2}
JOB_RATES: Final = {"dongmun": 6.0, "citeliq": 4.0}
CORES_AND_GB: Final = {"dongmun": (64, 128), "citeliq": (16, 64)}
NAMES: Final = ("capacity-reserved", "task-in-one-place", "task-at-most-once", "no-job-lost")


@scenario("placement-dongmun", shows="starts, waits, packing and control cost, Dongmun's jobs")
async def placement_dongmun(settings: ExperimentSettings, result: ScenarioResult) -> None:
    """Run the `dongmun` job mix."""
    await _run_mix(settings, result, "dongmun")


@scenario("placement-citeliq", shows="starts, waits, packing and control cost, Citeliq's jobs")
async def placement_citeliq(settings: ExperimentSettings, result: ScenarioResult) -> None:
    """Run the `citeliq` job mix."""
    await _run_mix(settings, result, "citeliq")


async def _run_mix(settings: ExperimentSettings, result: ScenarioResult, mix: str) -> None:
    cores, memory_gb = CORES_AND_GB[mix]
    plan = settings.fleet_plan(
        entry_hosts_by_data_centre=DATA_CENTRES,
        workers=24,
        executors=0,
        worker_cores=cores,
        worker_memory_gb=memory_gb,
    )
    recorder = HistoryRecorder()
    rng = random.Random(settings.seed)
    duration_s = DURATION_S * settings.scale
    async with running_fleet(plan, settings.directory) as fleet:
        await _make_one_worker_faulty(fleet)
        arrivals = list(
            draw_jobs(
                MIXES.get(mix),
                rng=rng,
                rate=JOB_RATES[mix],
                duration_s=duration_s,
                prefix=f"{mix}-{settings.seed}",
                now_wall=fleet.clock.wall(),
            )
        )
        load = JobLoad(
            fleet=fleet,
            recorder=recorder,
            arrivals=arrivals,
            cancellations=_draw_cancellations(arrivals, rng, duration_s),
            rng=rng,
        )
        before = await count_appends(fleet)
        cpu_before = sum(each.cpu_s for each in fleet.usage().values())
        began = fleet.clock.wall()
        tally = await load.run(settle_s=SETTLE_S)
        elapsed_s = fleet.clock.wall() - began
        appends = (await count_appends(fleet) - before) / elapsed_s
        cpu = sum(each.cpu_s for each in fleet.usage().values()) - cpu_before
        result.add("appends a second", appends, "appends/s", at_most=APPEND_BUDGET_PER_S)
        result.add("processor time of all entry hosts", cpu / elapsed_s * 100, "% of a core")
        _add_job_counts(result, tally, arrivals)
        await close_and_judge(fleet, recorder, result, names=NAMES, directory=settings.directory)
        history = recorder.history()
        until = began + duration_s
        add_starts(result, history, began=began, until=until)
        add_waits(result, history, arrivals, tally)
        add_packing(result, history, began=began, until=until)


def _draw_cancellations(
    arrivals: list[JobArrival], rng: random.Random, duration_s: float
) -> list[Cancellation]:
    at = duration_s * CANCELLATION_AT_SHARE
    arrived = [each for each in arrivals if each.after_s < at]
    wave = cancellation_wave(arrived, rng=rng, share=CANCELLED_SHARE)
    return [Cancellation(job_id=job_id, after_s=at) for job_id in wave]


def _add_job_counts(result: ScenarioResult, tally: JobTally, arrivals: list[JobArrival]) -> None:
    impossible = sum(each.impossible for each in arrivals)
    result.add("jobs submitted", len(arrivals), "jobs")
    result.add("jobs accepted", len(tally.accepted_at_by_id), "jobs")
    result.add("jobs that can never run", impossible, "jobs")
    refused = tally.refusals["can never run"]
    result.add("impossible jobs refused at once", refused, "jobs", at_least=impossible)
    result.add("submissions without an answer", tally.unknown, "jobs")
    result.add("accepted jobs not ended in time", len(tally.open_jobs()), "jobs", at_most=0)
    for state in sorted(set(tally.ended.values())):
        count = sum(each == state for each in tally.ended.values())
        result.add(f"jobs that ended {state}", count, "jobs")


async def _make_one_worker_faulty(fleet: Fleet) -> None:
    worker = (await fleet.hosts_of(HostKind.WORKER))[0].host_id
    await fleet.control.set_worker_faults(worker, WorkerFaults(fail_runs_after_s=0.2))
