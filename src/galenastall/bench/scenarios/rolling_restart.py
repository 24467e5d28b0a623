"""Rolling restart of all entry hosts under load, without an interrupted request."""

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
from galenastall.bench.report import ScenarioResult
from galenastall.proof.history import HistoryRecorder, PlannedStop

RATE: Final = 150.0
RESTART_INTERVAL_S: Final = 3.0
DURATION_S: Final = 90.0
STOP_TIMEOUT_S: Final = 45.0
SERVICE_MS: Final = 200.0
"""Long enough that requests are in progress at each stop."""


@scenario("rolling-restart", shows="no request is interrupted while all entry hosts are restarted")
async def rolling_restart(settings: ExperimentSettings, result: ScenarioResult) -> None:
    """Stop and start the entry hosts one after another while requests are sent."""
    plan = settings.fleet_plan(
        entry_hosts_by_data_centre={"gangnam": 2, "mapo": 2, "seongsu": 2},
        workers=0,
        executors=24,
        service_mean_ms=SERVICE_MS,
    )
    recorder = HistoryRecorder()
    async with running_fleet(plan, settings.directory) as fleet:
        load = LoadPlan(
            name="load",
            targets=fleet.targets(),
            mix="citeliq",
            rate=RATE,
            duration_s=DURATION_S * settings.scale,
            seed=settings.seed,
            start_wall=0.0,
        )

        async def during() -> None:
            await _restart_all(fleet, recorder, result, settings.scale)

        summary = await run_clients(
            fleet, recorder, settings.directory, load, clients=2, during=during
        )
        add_load_figures(result, "load", summary)
        incomplete = sum(summary.counts_by_trouble.values())
        result.add("requests without a whole answer", incomplete, "requests", at_most=0)
        await close_and_judge(
            fleet,
            recorder,
            result,
            names=(
                "planned-stop-cuts-nothing",
                "answers-whole-and-own",
                "not-run-is-true",
                "at-most-once",
                "every-request-answered",
            ),
            directory=settings.directory,
        )


async def _restart_all(
    fleet: Fleet, recorder: HistoryRecorder, result: ScenarioResult, scale: float
) -> None:
    slowest_s = 0.0
    for host_id in fleet.entry_hosts_by_id:
        began = fleet.clock.wall()
        fleet.driver.terminate(host_id)
        code = await fleet.driver.wait_ended(name=host_id, timeout_s=STOP_TIMEOUT_S)
        ended = fleet.clock.wall()
        slowest_s = max(slowest_s, ended - began)
        recorder.record(PlannedStop(at=began, entry_host=host_id, until=ended))
        if code:
            result.notes.append(f"{host_id} exited with code {code}")
        await fleet.start_entry_host(host_id)
        await trio.sleep(RESTART_INTERVAL_S * scale)
    result.add("slowest stop", slowest_s, "s", at_most=STOP_TIMEOUT_S)
    result.add("entry hosts restarted", len(fleet.entry_hosts_by_id), "hosts")
