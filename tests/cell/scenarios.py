"""Runs of scenarios on a simulated cluster, with checks of the invariants after each."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from random import Random

import trio

from cell.cluster import Cluster, make_job, make_urgent_job
from cell.fault_injection import crashes, draw_workspaces, inject_faults, quota_changes, restarts
from cell.simulation import Simulation
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import Workspace

Scenario = Callable[[Cluster, Simulation, Random], Awaitable[None]]


async def run_scenario(
    scenario: Scenario,
    *,
    seed: int,
    hosts: int = 3,
    executors: int = 4,
    weights: Sequence[float] = (),
    claim_delays_s: Sequence[float] = (),
    keeps_ids: bool = False,
) -> Cluster:
    """Run a scenario on a cluster; fails if an invariant is violated.

    Weights and claim delays apply to the first hosts; `keeps_ids`: restarted executors keep their
    ids.
    """
    rng = Random(seed)
    async with trio.open_nursery() as nursery:
        simulation = Simulation(rng=rng, nursery=nursery, executors=executors, keeps_ids=keeps_ids)
        cluster = Cluster(simulation=simulation, rng=rng, nursery=nursery, hosts=hosts)
        cluster.weights.update(zip(cluster.names, weights, strict=False))
        cluster.claim_delays_s.update(zip(cluster.names, claim_delays_s, strict=False))
        await cluster.start_all()
        await scenario(cluster, simulation, rng)
        cluster.check_refusals()
        simulation.check_history()
        nursery.cancel_scope.cancel()
    assert not simulation.violations, simulation.violations[:3]
    return cluster


async def submit_jobs(
    cluster: Cluster,
    simulation: Simulation,
    rng: Random,
    jobs: int,
    every_s: float,
    *,
    first: int = 0,
) -> None:
    """Submit `jobs` jobs, numbered from `first`, at random intervals of `every_s` on average."""
    for number in range(first, first + jobs):
        cluster.nursery.start_soon(cluster.submit, make_job(simulation, rng, number))
        await trio.sleep(rng.uniform(0.0, 2 * every_s))


async def check_all_end(cluster: Cluster, timeout_s: float = 90.0) -> None:
    """Check that all accepted jobs end, including those accepted meanwhile."""
    ended: set[str] = set()
    while new := sorted(cluster.accepted - ended):
        for job_id in new:
            await check_ends(cluster, job_id, timeout_s)
        ended.update(new)


async def check_ends(cluster: Cluster, job_id: str, timeout_s: float) -> None:
    phase = await cluster.wait_ended(job_id, timeout_s)
    wanted = {JobPhase.COMPLETED, JobPhase.FAILED}
    if job_id in cluster.cancelled:
        wanted = {JobPhase.CANCELLED}
    elif job_id in cluster.cancel_asked:
        wanted = wanted | {JobPhase.CANCELLED}
    assert phase in wanted, f"{job_id} is {phase}"


async def random_faults(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
    """Submit jobs during 40 s of random faults, then check that all accepted ones end."""
    await cluster.wait_for_leader()
    until = trio.current_time() + 40.0
    cluster.nursery.start_soon(crashes, simulation, rng, until)
    cluster.nursery.start_soon(submit_jobs, cluster, simulation, rng, 80, 0.4)
    cluster.nursery.start_soon(cancels, cluster, rng, until)
    await inject_faults(cluster, simulation, rng, until)
    simulation.faults.clear()
    for name in cluster.names:
        if name not in cluster.live:
            await cluster.start(name)
    await trio.sleep(20.0)
    await check_all_end(cluster)
    assert simulation.starts > 50


async def changing_quotas_with_faults(
    cluster: Cluster, simulation: Simulation, rng: Random
) -> None:
    """Submit jobs of several workspaces under random faults while the workspaces' limits change."""
    simulation.set_workspaces(*draw_workspaces(rng))
    cluster.nursery.start_soon(quota_changes, simulation, rng, trio.current_time() + 40.0)
    await random_faults(cluster, simulation, rng)


async def competing_workspaces_with_faults(
    cluster: Cluster, simulation: Simulation, rng: Random
) -> None:
    """Flood executors of unlike speed for one workspace, with urgent jobs, under random faults."""
    flooding, others = Workspace(name="flooding", weight=1.0), Workspace(name="others", weight=2.0)
    simulation.add_urgent_queue()
    simulation.set_workspaces(flooding, others)
    hosts = sorted({executor.info.host for executor in simulation.executors.values()})
    simulation.speeds_by_host = {host: rng.choice([0.6, 1.0, 1.6]) for host in hosts}
    await cluster.wait_for_leader()
    until = trio.current_time() + 40.0
    cluster.nursery.start_soon(_submit_urgent_jobs, cluster, simulation, rng, until)
    cluster.nursery.start_soon(_flood, cluster, simulation, rng)
    cluster.nursery.start_soon(_change_weights, simulation, rng, (flooding, others), until)
    await random_faults(cluster, simulation, rng)


async def _flood(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
    """Submit 60 jobs of the flooding workspace within 6 s."""
    await trio.sleep(rng.uniform(2.0, 20.0))
    for number in range(1000, 1060):
        job = replace(make_job(simulation, rng, number), workspace="flooding")
        cluster.nursery.start_soon(cluster.submit, job)
        await trio.sleep(0.1)


async def _submit_urgent_jobs(
    cluster: Cluster, simulation: Simulation, rng: Random, until: float
) -> None:
    number = 2000
    while trio.current_time() < until:
        cluster.nursery.start_soon(cluster.submit, make_urgent_job(simulation, rng, number))
        number += 1
        await trio.sleep(rng.uniform(0.1, 0.6))


async def _change_weights(
    simulation: Simulation, rng: Random, workspaces: Sequence[Workspace], until: float
) -> None:
    """Change the weights of workspaces, and remove and restore one of them, during a flood."""
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(3.0, 8.0))
        changed = [replace(each, weight=rng.choice([0.1, 1.0, 3.0])) for each in workspaces]
        simulation.set_workspaces(*changed[rng.randrange(2) :])
    simulation.set_workspaces(*workspaces)


async def restarts_with_faults(
    cluster: Cluster,
    simulation: Simulation,
    rng: Random,
    *,
    requires_tickets: bool = False,
    is_late: bool = False,
) -> None:
    """Submit jobs while executors restart repeatedly, then check that all accepted ones end."""
    simulation.requires_tickets = requires_tickets
    simulation.run_lasts_s = (0.1, 2.0)
    await cluster.wait_for_leader()
    until = trio.current_time() + 40.0
    cluster.nursery.start_soon(submit_jobs, cluster, simulation, rng, 80, 0.4)
    await restarts(cluster, simulation, rng, until, is_late=is_late)
    await trio.sleep(30.0)
    await check_all_end(cluster)
    assert simulation.starts > 50


async def cancels(cluster: Cluster, rng: Random, until: float) -> None:
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(0.5, 4.0))
        if cluster.accepted:
            await cluster.cancel(rng.choice(sorted(cluster.accepted)))
