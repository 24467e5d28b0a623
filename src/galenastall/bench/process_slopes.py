"""Slopes of whole processes: what idle entry hosts spend, by roster and by owned workers."""

import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Final

import trio

from galenastall.bench.fleet import Fleet, FleetPlan, running_fleet
from galenastall.bench.slopes import slope

SETTLE_S: Final = 12.0
"""Joins, claims and activations are over by then."""
MEASURE_S: Final = 10.0
DATA_CENTRE: Final = "north-1"

hosts_slope: Final = partial(slope, x_name="entry hosts", sizes=(1, 3, 6))

Reading = Callable[[Fleet, dict[str, float]], float]
"""Takes the fleet and the processor time that each host used while it was measured."""


@hosts_slope(
    "idle-host-cpu",
    what="an idle entry host without workers, the mean over its data centre",
    y_unit="% of a core",
)
def idle_host_cpu(hosts: int) -> float:
    """Measure beats, polls of the log and of the list, and timers."""
    return trio.run(partial(_measure, hosts=hosts, workers=0, read=_mean_percent))


@hosts_slope(
    "idle-host-memory",
    what="resident memory of an idle entry host, the largest of its data centre",
    y_unit="MB",
)
def idle_host_memory(hosts: int) -> float:
    """Measure the process with all its libraries."""
    return trio.run(partial(_measure, hosts=hosts, workers=0, read=_most_memory))


@slope(
    "idle-worker-cpu",
    what="an entry host that owns idle workers",
    x_name="workers",
    y_unit="% of a core",
    sizes=(0, 12, 36),
)
def idle_worker_cpu(workers: int) -> float:
    """Measure what watching workers costs."""
    return trio.run(partial(_measure, hosts=1, workers=workers, read=_mean_percent))


@hosts_slope(
    "idle-log-reads",
    what="reads of the log by all entry hosts of a data centre",
    y_unit="reads/s",
)
def idle_log_reads(hosts: int) -> float:
    """Measure the load of quiet followers on the platform."""
    return trio.run(_log_reads, hosts)


async def _measure(*, hosts: int, workers: int, read: Reading) -> float:
    async with _settled_fleet(hosts=hosts, workers=workers) as fleet:
        before = fleet.usage()
        await trio.sleep(MEASURE_S)
        after = fleet.usage()
        used = {host: after[host].cpu_s - before[host].cpu_s for host in before}
        return read(fleet, used)


async def _log_reads(hosts: int) -> float:
    async with _settled_fleet(hosts=hosts, workers=0) as fleet:
        before = (await fleet.control.counters()).unwrap().log.reads
        await trio.sleep(MEASURE_S)
        after = (await fleet.control.counters()).unwrap().log.reads
        return (after - before) / MEASURE_S


@asynccontextmanager
async def _settled_fleet(*, hosts: int, workers: int) -> AsyncIterator[Fleet]:
    plan = FleetPlan(entry_hosts_by_data_centre={DATA_CENTRE: hosts}, workers=workers, executors=0)
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(plan, Path(directory)) as fleet:
            await trio.sleep(SETTLE_S)
            yield fleet


def _mean_percent(fleet: Fleet, used: dict[str, float]) -> float:
    return sum(used.values()) / len(used) / MEASURE_S * 100.0


def _most_memory(fleet: Fleet, used: dict[str, float]) -> float:
    return max(usage.rss_mb for usage in fleet.usage().values())
