"""Simulation runs with a fixed order of trio's tasks, so that a seed reproduces the same run."""

import trio
import trio.testing

from cell.cluster import Cluster
from cell.scenarios import Scenario, run_scenario
from galenastall.bench.cell_load.play import fix_order_of_tasks


def simulate_isolated(
    scenario: Scenario,
    *,
    seed: int,
    hosts: int = 3,
    executors: int = 4,
    keeps_ids: bool = False,
) -> Cluster:
    """Run a scenario in its own trio event loop."""

    async def run() -> Cluster:
        return await run_scenario(
            scenario, seed=seed, hosts=hosts, executors=executors, keeps_ids=keeps_ids
        )

    fix_order_of_tasks()
    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
