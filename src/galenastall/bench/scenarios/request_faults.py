"""Requests with lost responses, a killed and a paused entry host, and a leaving executor."""

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
from galenastall.bench.load import LoadPlan
from galenastall.bench.processes import Usage
from galenastall.bench.report import ScenarioResult
from galenastall.bench.schedule import FaultContext, FaultSchedule, ScheduledFault
from galenastall.proof.history import HistoryRecorder, UpstreamLeaving
from galenastall.standin.control_messages import ALL_HOSTS
from galenastall.standin.faults import ExecutorFaults
from galenastall.standin.service_time import ServiceTime
from galenastall.state.hosts import HostKind, HostState

RATE: Final = 320.0
DURATION_S: Final = 66.0
MIN_REQUESTS: Final = 20_000
DROPPED_RESPONSE_SHARE: Final = 0.01
SERVICE: Final = ServiceTime(distribution="lognormal", mean_s=0.02, sigma=1.0)


@scenario(
    "request-faults",
    shows="no double run, wrong answer or false `not run` with lost answers, kill, pause, leaving",
)
async def request_faults(settings: ExperimentSettings, result: ScenarioResult) -> None:
    """Send over 20,000 requests through six entry hosts while faults are injected."""
    plan = settings.fleet_plan(
        entry_hosts_by_data_centre={"gangnam": 2, "mapo": 2, "seongsu": 2},
        workers=0,
        executors=24,
    )
    recorder = HistoryRecorder()
    async with running_fleet(plan, settings.directory) as fleet:
        response_loss = ExecutorFaults(drop_after=DROPPED_RESPONSE_SHARE, service=SERVICE)
        await fleet.control.set_executor_faults(ALL_HOSTS, response_loss)
        load = LoadPlan(
            name="load",
            targets=fleet.targets(),
            mix="dongmun",
            rate=RATE,
            duration_s=DURATION_S * settings.scale,
            seed=settings.seed,
            start_wall=0.0,
        )

        async def during() -> None:
            await _inject_faults(fleet, recorder, settings.scale)

        before, began = fleet.usage(), fleet.clock.wall()
        summary = await run_clients(
            fleet, recorder, settings.directory, load, clients=3, during=during
        )
        _add_busiest_host(fleet, result, before, fleet.clock.wall() - began)
        add_load_figures(result, "load", summary)
        min_requests = MIN_REQUESTS if settings.scale >= 1 else None
        result.add("requests", summary.sent, "requests", at_least=min_requests)
        result.add("unknown", summary.counts_by_outcome.get("unknown", 0), "requests")
        await close_and_judge(
            fleet,
            recorder,
            result,
            names=(
                "answers-whole-and-own",
                "done-did-run",
                "not-run-is-true",
                "at-most-once",
                "leaving-gets-nothing-new",
                "every-request-answered",
            ),
            directory=settings.directory,
        )


def _add_busiest_host(
    fleet: Fleet, result: ScenarioResult, before: dict[str, Usage], elapsed_s: float
) -> None:
    """Add the CPU use of the busiest entry host; the CPU time of a killed one restarted at zero."""
    used = [usage.cpu_s - before[host].cpu_s for host, usage in fleet.usage().items()]
    result.add("busiest entry host", max(used) / elapsed_s * 100.0, "% of a core")


async def _inject_faults(fleet: Fleet, recorder: HistoryRecorder, scale: float) -> None:
    killed, paused = list(fleet.entry_hosts_by_id)[:3:2]
    schedule = FaultSchedule(
        faults=(
            ScheduledFault(after_s=8 * scale, kind="kill", target=killed, lasts_s=6 * scale),
            ScheduledFault(after_s=22 * scale, kind="pause", target=paused, lasts_s=20 * scale),
        ),
        context=FaultContext(
            driver=fleet.driver, standin=fleet.control, restart=fleet.start_entry_host
        ),
        recorder=recorder,
        clock=fleet.clock,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(schedule.run)
        nursery.start_soon(_mark_executor_leaving, fleet, recorder, 46 * scale)


async def _mark_executor_leaving(fleet: Fleet, recorder: HistoryRecorder, after_s: float) -> None:
    await trio.sleep(after_s)
    executor = (await fleet.hosts_of(HostKind.UPSTREAM))[0].host_id
    recorder.record(UpstreamLeaving(at=fleet.clock.wall(), executor=executor))
    await fleet.control.set_host_state(executor, HostState.LEAVING)
