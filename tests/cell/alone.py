"""Plays of the cluster in one order of trio's tasks, so that a seed gives the same each time."""

from typing import Any

import trio
import trio.testing

from cell.cluster import Cluster
from cell.play import Scenario, play


def fix_order_of_tasks() -> None:
    """Have trio take its tasks in the same order in each run from here on."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)


def play_alone(scenario: Scenario, *, seed: int, hosts: int = 3, executors: int = 4) -> Cluster:
    """Play a scenario in a trio run of its own."""

    async def run() -> Cluster:
        return await play(scenario, seed=seed, hosts=hosts, executors=executors)

    fix_order_of_tasks()
    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
