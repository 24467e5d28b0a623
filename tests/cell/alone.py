"""Plays of the cluster in one order of trio's tasks, so that a seed gives the same each time."""

import trio
import trio.testing

from cell.cluster import Cluster
from cell.scenarios import Scenario, run_scenario
from galenastall.bench.cell_load.play import fix_order_of_tasks


def play_alone(
    scenario: Scenario,
    *,
    seed: int,
    hosts: int = 3,
    executors: int = 4,
    keeps_ids: bool = False,
) -> Cluster:
    """Play a scenario in a trio run of its own."""

    async def run() -> Cluster:
        return await run_scenario(
            scenario, seed=seed, hosts=hosts, executors=executors, keeps_ids=keeps_ids
        )

    fix_order_of_tasks()
    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
