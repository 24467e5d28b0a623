"""Six failures during job placement: no overcommitment, double run or lost job; recovery time."""

import random
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from statistics import median
from typing import Final

import msgspec
import trio

from galenastall.bench.experiment import ExperimentSettings, close_and_judge, scenario
from galenastall.bench.fleet import Fleet, running_fleet
from galenastall.bench.job_load import JobLoad
from galenastall.bench.mixes import MIXES, draw_jobs
from galenastall.bench.placement_figures import add_starts, count_appends
from galenastall.bench.report import ScenarioResult
from galenastall.bench.schedule import FaultContext, FaultSchedule, ScheduledFault
from galenastall.proof.history import Fault, History, HistoryRecorder, TaskStarted
from galenastall.standin.control_messages import ALL_HOSTS
from galenastall.state.ids import HostId

FAULT_AT_S: Final = 10.0
"""Time from the start of the load to the fault."""
APPEND_BUDGET_PER_S: Final = 150.0
RATE: Final = 3.0
LOAD_AFTER_FAULT_S: Final = 30.0
"""How long the load continues after the end of the fault."""
SETTLE_S: Final = 90.0
DATA_CENTRE: Final = "gangnam"
DATA_CENTRES: Final = {DATA_CENTRE: 3, "mapo": 3}
NAMES: Final = ("capacity-reserved", "task-in-one-place", "task-at-most-once", "no-job-lost")

FaultBuilder = Callable[[list[str]], tuple[ScheduledFault, ...]]
"""Builds the faults from the ids of the entry hosts in the affected data centre."""


def _kill_owner(hosts: list[str]) -> tuple[ScheduledFault, ...]:
    return (ScheduledFault(after_s=FAULT_AT_S, kind="kill", target=hosts[0]),)


def _pause_owner(hosts: list[str]) -> tuple[ScheduledFault, ...]:
    return (ScheduledFault(after_s=FAULT_AT_S, kind="pause", target=hosts[0], lasts_s=30.0),)


def _kill_owner_in_log_outage(hosts: list[str]) -> tuple[ScheduledFault, ...]:
    return (
        ScheduledFault(after_s=FAULT_AT_S, kind="log-outage", target="log", lasts_s=120.0),
        ScheduledFault(after_s=FAULT_AT_S + 20.0, kind="kill", target=hosts[0]),
    )


def _isolate_data_centre(hosts: list[str]) -> tuple[ScheduledFault, ...]:
    return (ScheduledFault(after_s=FAULT_AT_S, kind="cut", target=",".join(hosts), lasts_s=40.0),)


def _lose_start_responses(hosts: list[str]) -> tuple[ScheduledFault, ...]:
    fault = ScheduledFault(
        after_s=FAULT_AT_S, kind="lost-start-answers", target=ALL_HOSTS, lasts_s=20.0
    )
    return (fault,)


def _restart_all(hosts: list[str]) -> tuple[ScheduledFault, ...]:
    return tuple(
        ScheduledFault(after_s=FAULT_AT_S, kind="kill", target=host, lasts_s=2.0) for host in hosts
    )


FAILURES: Final[dict[str, tuple[FaultBuilder, float]]] = {
    "owner-killed": (_kill_owner, 0.0),
    "owner-paused": (_pause_owner, 30.0),
    "owner-dies-in-log-outage": (_kill_owner_in_log_outage, 120.0),
    "data-centre-cut": (_isolate_data_centre, 40.0),
    "start-answers-lost": (_lose_start_responses, 20.0),
    "entry-hosts-replaced": (_restart_all, 0.0),
}
"""Fault builder and fault duration in seconds, by failure name."""


def _register(name: str, faults: FaultBuilder, lasts_s: float) -> None:
    @scenario(f"failure-{name}", shows=f"{name}: nothing overcommitted, doubled or lost")
    async def run(settings: ExperimentSettings, result: ScenarioResult) -> None:
        await _run_failure(settings, result, faults, lasts_s)


for _name, (_faults, _lasts_s) in FAILURES.items():
    _register(_name, _faults, _lasts_s)


async def _run_failure(
    settings: ExperimentSettings, result: ScenarioResult, faults: FaultBuilder, lasts_s: float
) -> None:
    plan = settings.fleet_plan(
        entry_hosts_by_data_centre=DATA_CENTRES, workers=16, executors=0, worker_cores=16
    )
    recorder = HistoryRecorder()
    rng = random.Random(settings.seed)
    async with running_fleet(plan, settings.directory) as fleet:
        arrivals = draw_jobs(
            MIXES.get("citeliq"),
            rng=rng,
            rate=RATE,
            duration_s=FAULT_AT_S + lasts_s + LOAD_AFTER_FAULT_S,
            prefix=f"failure-{settings.seed}",
            now_wall=fleet.clock.wall(),
        )
        load = JobLoad(fleet=fleet, recorder=recorder, arrivals=arrivals, rng=rng)
        hosts = [
            str(host.host_id)
            for host in fleet.entry_hosts_by_id.values()
            if host.data_centre == DATA_CENTRE
        ]
        schedule = FaultSchedule(
            faults=faults(hosts),
            context=FaultContext(
                driver=fleet.driver, standin=fleet.control, restart=fleet.start_entry_host
            ),
            recorder=recorder,
            clock=fleet.clock,
        )
        appends_before = await count_appends(fleet)
        began = fleet.clock.wall()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(schedule.run)
            tally = await load.run(settle_s=SETTLE_S)
        elapsed_s = fleet.clock.wall() - began
        appends = (await count_appends(fleet) - appends_before) / elapsed_s
        result.add("appends a second", appends, "appends/s", at_most=APPEND_BUDGET_PER_S)
        result.add("jobs accepted", len(tally.accepted_at_by_id), "jobs")
        result.add("submissions without an answer", tally.unknown, "jobs")
        result.add("accepted jobs not ended in time", len(tally.open_jobs()), "jobs", at_most=0)
        await close_and_judge(fleet, recorder, result, names=NAMES, directory=settings.directory)
        owners = await _load_owners(fleet, settings.directory, began + FAULT_AT_S)
        until = began + FAULT_AT_S + lasts_s + LOAD_AFTER_FAULT_S
        add_starts(result, recorder.history(), began=began, until=until)
        add_recovery(result, recorder.history(), owners)


def read_owners(lines: Iterable[bytes], before: float) -> dict[HostId, str]:
    """Return which process was the last to adopt each worker before a wall-clock time.

    `lines` are JSON lines of the entry hosts' logs, with `at` in milliseconds.
    """
    adopted: list[tuple[float, HostId, str]] = []
    for line in lines:
        if b'"worker.adopted"' not in line:
            continue
        row = msgspec.json.decode(line)
        at = float(row["at"].partition(".")[0]) / 1000
        if at < before:
            adopted.append((at, HostId(row["peer"]), row["process"]))
    return {worker: process for _, worker, process in sorted(adopted)}


async def _load_owners(fleet: Fleet, directory: Path, before: float) -> dict[HostId, str]:
    lines: list[bytes] = []
    for host_id in fleet.entry_hosts_by_id:
        text = await (trio.Path(directory) / f"{host_id}.log").read_bytes()
        lines.extend(text.splitlines())
    return read_owners(lines, before)


def affected_workers(history: History, owners: Mapping[HostId, str]) -> tuple[float, list[HostId]]:
    """Return the time of the last fault and the workers whose owners it affected.

    A fault of the host `all` or `log` affects every worker; a kill, those of all killed hosts.
    """
    fault = max(history.of(Fault), key=lambda each: each.at)
    affected_hosts = set(fault.host.split(","))
    affects_all = not affected_hosts.isdisjoint({ALL_HOSTS, "log"})
    if fault.kind == "kill":
        affected_hosts = {each.host for each in history.of(Fault) if each.kind == "kill"}
    return fault.at, [
        worker for worker, owner in owners.items() if affects_all or owner in affected_hosts
    ]


def add_recovery(result: ScenarioResult, history: History, owners: Mapping[HostId, str]) -> None:
    """Add each affected worker's time from fault to first start, and the longest gap in starts."""
    fault_at, workers = affected_workers(history, owners)
    starts_by_worker = history.grouped(TaskStarted, lambda start: start.worker)
    firsts: list[float] = []
    gaps: list[float] = []
    for worker in workers:
        times = [start.at for start in starts_by_worker.get(worker, []) if start.at > fault_at]
        if not times:
            result.notes.append(f"no task started on {worker} after the fault")
            continue
        firsts.append(times[0] - fault_at)
        gaps.append(max(b - a for a, b in zip([fault_at, *times], times, strict=False)))
    result.add("affected workers", len(workers), "workers")
    if not firsts:
        return
    result.add("first start on an affected worker after the fault, soonest", min(firsts), "s")
    result.add("first start on an affected worker after the fault, median", median(firsts), "s")
    result.add("first start on an affected worker after the fault, latest", max(firsts), "s")
    result.add("longest time without a start on an affected worker", max(gaps), "s")
