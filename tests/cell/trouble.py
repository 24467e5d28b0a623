"""Random trouble for a cluster, drawn from a seed."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from cell.cluster import Cluster
from cell.world import World
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import Resources

Trouble = Callable[[Cluster, World, Random], Awaitable[bool]]
"""Begins some trouble; returns whether it has ended already."""

TROUBLES: list[Trouble] = []


def kind(begin: Trouble) -> Trouble:
    """File a kind of trouble; the order of the file is the order of the draws."""
    TROUBLES.append(begin)
    return begin


async def _restart(cluster: Cluster, name: str, rng: Random) -> bool:
    cluster.kill(name)
    await trio.sleep(rng.uniform(0.2, 2.0))
    await cluster.start(name)
    return True


@kind
async def kill_a_host(cluster: Cluster, world: World, rng: Random) -> bool:
    names = sorted(cluster.live)
    return await _restart(cluster, rng.choice(names), rng) if names else False


@kind
async def kill_the_leader(cluster: Cluster, world: World, rng: Random) -> bool:
    name = cluster.leader
    return await _restart(cluster, name, rng) if name else False


@kind
async def store_refuses_a_host(cluster: Cluster, world: World, rng: Random) -> bool:
    leader = cluster.leader
    world.faults.store_refuses.add(leader if leader and rng.random() < 0.7 else cluster.names[0])
    return False


@kind
async def cut_a_host_off(cluster: Cluster, world: World, rng: Random) -> bool:
    name = rng.choice(cluster.names)
    for other in (*cluster.names, "store"):
        world.faults.cut |= {(name, other), (other, name)} - {(name, name)}
    return False


@kind
async def cut_an_executor_off(cluster: Cluster, world: World, rng: Random) -> bool:
    name = rng.choice(sorted(world.executors))
    for host in cluster.names:
        if rng.random() < 0.8:
            world.faults.cut.add((host, name))
    return False


@kind
async def lose_answers(cluster: Cluster, world: World, rng: Random) -> bool:
    world.faults.lost = rng.choice([0.02, 0.2])
    return False


@kind
async def carry_out_late(cluster: Cluster, world: World, rng: Random) -> bool:
    world.faults.late = rng.choice([0.02, 0.1])
    return False


@kind
async def store_is_down(cluster: Cluster, world: World, rng: Random) -> bool:
    for host in cluster.names:
        world.faults.cut.add((host, "store"))
    return False


@kind
async def store_is_slow(cluster: Cluster, world: World, rng: Random) -> bool:
    world.faults.slow_s = 0.25
    return False


async def trouble(cluster: Cluster, world: World, rng: Random, until: float) -> None:
    """Bring about random trouble until then; some of it overlaps."""
    while trio.current_time() < until:
        begin = TROUBLES[rng.randrange(len(TROUBLES))]
        lasts_s = rng.uniform(0.5, 6.0)
        if await begin(cluster, world, rng):
            continue
        await trio.sleep(lasts_s)
        if rng.random() < 0.8:
            world.faults.clear()
        await trio.sleep(rng.uniform(0.0, 3.0))


async def restarts(
    cluster: Cluster, world: World, rng: Random, until: float, *, is_late: bool
) -> None:
    """Restart executors over and over, some of them where not all calls or answers pass.

    `is_late`: some calls are carried out late, also by a later incarnation.
    """
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(0.5, 3.0))
        up = [e for e in world.executors.values() if e.is_up]
        victims = rng.sample(up, min(len(up), rng.randint(1, 3)))
        for victim in victims:
            name = executor_name(victim.info.executor_id)
            _harm_path(cluster, world, rng, name, is_late=is_late)
        await trio.sleep(rng.uniform(0.0, 1.0))
        for victim in victims:
            world.crash(victim)
        await trio.sleep(rng.uniform(0.1, 2.0))
        for victim in victims:
            world.start_executor(victim.info.host)
        if rng.random() < 0.5:
            await trio.sleep(rng.uniform(0.0, 8.0))
        world.faults.clear()


def _harm_path(cluster: Cluster, world: World, rng: Random, name: str, *, is_late: bool) -> None:
    pairs = {(host, name) for host in cluster.names}
    match rng.randrange(4):
        case 0:
            world.faults.cut |= pairs
        case 1:
            world.faults.answers_cut |= pairs
        case 2 if is_late:
            world.faults.late, world.faults.late_s = 0.3, (0.5, 12.0)


async def crashes(world: World, rng: Random, until: float) -> None:
    """Crash executors now and then; each is born again at its host."""
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(4.0, 12.0))
        up = [e for e in world.executors.values() if e.is_up]
        if len(up) < 3:
            continue
        victim = rng.choice(up)
        world.crash(victim)
        await trio.sleep(rng.uniform(0.5, 3.0))
        world.start_executor(victim.info.host)
        await trio.sleep(rng.uniform(0.0, 3.0))
        world.delist(victim)


WORKSPACES = ("large", "small", "tiny")
CORES_AT_WORST = 12_000
"""What the widest step needs."""


def draw_workspaces(rng: Random) -> list[Workspace]:
    """Return workspaces of which some have limits below what their widest gangs need."""
    cores = [rng.choice([0, 2_000, CORES_AT_WORST, 20_000]) for _ in WORKSPACES]
    return [
        Workspace(name=name, limit=Resources(cores_milli=limit))
        for name, limit in zip(WORKSPACES, cores, strict=True)
    ]


async def quota_changes(world: World, rng: Random, until: float) -> None:
    """Change the limits of workspaces now and then, at times far below what they use."""
    while trio.current_time() < until:
        world.set_workspaces(*draw_workspaces(rng))
        await trio.sleep(rng.uniform(2.0, 8.0))
    world.set_workspaces(*(Workspace(name=name) for name in WORKSPACES))
