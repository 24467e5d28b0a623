"""Random faults for a cluster, drawn from a seeded generator."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from cell.cluster import Cluster
from cell.simulation import Simulation
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import Resources

FaultInjector = Callable[[Cluster, Simulation, Random], Awaitable[bool]]
"""Injects a fault; returns whether the fault has already ended."""

FAULT_INJECTORS: list[FaultInjector] = []


def fault_injector(begin: FaultInjector) -> FaultInjector:
    """Register a fault injector; the order in this file determines which one a draw selects."""
    FAULT_INJECTORS.append(begin)
    return begin


async def _restart(cluster: Cluster, name: str, rng: Random) -> bool:
    cluster.kill(name)
    await trio.sleep(rng.uniform(0.2, 2.0))
    await cluster.start(name)
    return True


@fault_injector
async def kill_a_host(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    names = sorted(cluster.live)
    return await _restart(cluster, rng.choice(names), rng) if names else False


@fault_injector
async def kill_the_leader(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    name = cluster.leader
    return await _restart(cluster, name, rng) if name else False


@fault_injector
async def store_refuses_a_host(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    leader = cluster.leader
    simulation.faults.store_refuses.add(
        leader if leader and rng.random() < 0.7 else cluster.names[0]
    )
    return False


@fault_injector
async def cut_a_host_off(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    name = rng.choice(cluster.names)
    for other in (*cluster.names, "store"):
        simulation.faults.cut |= {(name, other), (other, name)} - {(name, name)}
    return False


@fault_injector
async def cut_an_executor_off(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    name = rng.choice(sorted(simulation.executors))
    for host in cluster.names:
        if rng.random() < 0.8:
            simulation.faults.cut.add((host, name))
    return False


@fault_injector
async def lose_answers(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    simulation.faults.lost = rng.choice([0.02, 0.2])
    return False


@fault_injector
async def carry_out_late(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    simulation.faults.late = rng.choice([0.02, 0.1])
    return False


@fault_injector
async def store_is_down(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    for host in cluster.names:
        simulation.faults.cut.add((host, "store"))
    return False


@fault_injector
async def store_is_slow(cluster: Cluster, simulation: Simulation, rng: Random) -> bool:
    simulation.faults.slow_s = 0.25
    return False


async def inject_faults(
    cluster: Cluster, simulation: Simulation, rng: Random, until: float
) -> None:
    """Inject random faults until `until`; some of them overlap."""
    while trio.current_time() < until:
        begin = FAULT_INJECTORS[rng.randrange(len(FAULT_INJECTORS))]
        lasts_s = rng.uniform(0.5, 6.0)
        if await begin(cluster, simulation, rng):
            continue
        await trio.sleep(lasts_s)
        if rng.random() < 0.8:
            simulation.faults.clear()
        await trio.sleep(rng.uniform(0.0, 3.0))


async def restarts(
    cluster: Cluster, simulation: Simulation, rng: Random, until: float, *, is_late: bool
) -> None:
    """Restart executors repeatedly, some of them while calls or answers are lost.

    `is_late`: some calls are carried out late, possibly by a later incarnation.
    """
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(0.5, 3.0))
        up = [e for e in simulation.executors.values() if e.is_up]
        victims = rng.sample(up, min(len(up), rng.randint(1, 3)))
        for victim in victims:
            name = executor_name(victim.info.executor_id)
            _disturb_path(cluster, simulation, rng, name, is_late=is_late)
        await trio.sleep(rng.uniform(0.0, 1.0))
        for victim in victims:
            simulation.crash(victim)
        await trio.sleep(rng.uniform(0.1, 2.0))
        for victim in victims:
            simulation.start_executor(victim.info.host)
        if rng.random() < 0.5:
            await trio.sleep(rng.uniform(0.0, 8.0))
        simulation.faults.clear()


def _disturb_path(
    cluster: Cluster, simulation: Simulation, rng: Random, name: str, *, is_late: bool
) -> None:
    pairs = {(host, name) for host in cluster.names}
    match rng.randrange(4):
        case 0:
            simulation.faults.cut |= pairs
        case 1:
            simulation.faults.answers_cut |= pairs
        case 2 if is_late:
            simulation.faults.late, simulation.faults.late_s = 0.3, (0.5, 12.0)


async def crashes(simulation: Simulation, rng: Random, until: float) -> None:
    """Crash executors at random intervals; each is restarted on its host."""
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(4.0, 12.0))
        up = [e for e in simulation.executors.values() if e.is_up]
        if len(up) < 3:
            continue
        victim = rng.choice(up)
        simulation.crash(victim)
        await trio.sleep(rng.uniform(0.5, 3.0))
        simulation.start_executor(victim.info.host)
        await trio.sleep(rng.uniform(0.0, 3.0))
        simulation.delist(victim)


WORKSPACES = ("large", "small", "tiny")
MAX_STEP_CORES_MILLI = 12_000
"""Cores that the widest step needs."""


def draw_workspaces(rng: Random) -> list[Workspace]:
    """Return workspaces, some of them with limits below what their widest gangs need."""
    cores = [rng.choice([0, 2_000, MAX_STEP_CORES_MILLI, 20_000]) for _ in WORKSPACES]
    return [
        Workspace(name=name, limit=Resources(cores_milli=limit))
        for name, limit in zip(WORKSPACES, cores, strict=True)
    ]


async def quota_changes(simulation: Simulation, rng: Random, until: float) -> None:
    """Change the limits of workspaces at random intervals, sometimes far below their usage."""
    while trio.current_time() < until:
        simulation.set_workspaces(*draw_workspaces(rng))
        await trio.sleep(rng.uniform(2.0, 8.0))
    simulation.set_workspaces(*(Workspace(name=name) for name in WORKSPACES))
