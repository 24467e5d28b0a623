"""Hosts that hear nothing rebuild their sockets; hosts in a cut or an outage keep them."""

from collections.abc import Callable
from random import Random

import pytest
import trio

from cell.cluster import Cluster
from cell.scenarios import run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.deafness import (
    PROBE_PAUSE_S,
    PROBE_TIMEOUT_S,
    PROBES,
    SILENT_CONFIRMS,
)
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.link_repair import REBIND_EVERY_S

FIRST, OTHER = "entry-0", "entry-1"
REPAIRED_S = (
    SILENT_CONFIRMS * CellTimings().confirm_every_s
    + PROBES * PROBE_TIMEOUT_S
    + 2 * CellTimings().heartbeat_timeout_s
)
"""Within this time a deaf host hears its leader again."""


def _events(cluster: Cluster, name: str, step: str) -> list[dict[str, str]]:
    events = cluster.live[name].recorder.ring
    return [dict(event.fields) for event in events if event.step == step]


async def _settle(cluster: Cluster) -> None:
    assert await cluster.wait_for_leader() == FIRST
    await trio.sleep(1.5)


class TestDeafHost:
    async def test_it_hears_its_leader_again(self, autojump_clock: object) -> None:
        """It answered 503 to each request until somebody restarted it."""

        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await _settle(cluster)
            simulation.faults.deaf.add(OTHER)
            await trio.sleep(1.5)
            assert not cluster.live[OTHER].host.is_ready
            await trio.sleep(REPAIRED_S - 1.5)
            assert cluster.live[OTHER].host.is_ready
            assert simulation.rebuilt == [OTHER]
            assert len(simulation.store.claims) == 1
            (known,) = _events(cluster, OTHER, "host.deaf")
            assert known["token"] == str(cluster.live[FIRST].host.leadership.token)
            assert 3.0 < float(known["heartbeat_age_s"]) < REPAIRED_S
            assert int(known["log_end_moved_by"]) > SILENT_CONFIRMS
            await trio.sleep(40.0)
            assert simulation.rebuilt == [OTHER]

        await run_scenario(scenario, seed=1)

    async def test_an_address_that_cannot_be_bound_is_tried_again(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await _settle(cluster)
            simulation.faults.deaf.add(OTHER)
            simulation.faults.failed_rebuilds = 3
            await trio.sleep(REPAIRED_S + 3 * REBIND_EVERY_S)
            assert cluster.live[OTHER].host.is_ready
            assert len(_events(cluster, OTHER, "host.not_rebound")) == 3
            assert len(_events(cluster, OTHER, "host.deaf")) == 1

        await run_scenario(scenario, seed=2)


def _cut_from_leader(simulation: Simulation) -> None:
    simulation.faults.cut |= {(FIRST, OTHER), (OTHER, FIRST)}


def _cut_one_way(simulation: Simulation) -> None:
    simulation.faults.cut.add((FIRST, OTHER))


def _cut_from_all_hosts(simulation: Simulation) -> None:
    for each in simulation.links.keys() - {OTHER}:
        simulation.faults.cut |= {(each, OTHER), (OTHER, each)}


def _cut_from_all(simulation: Simulation) -> None:
    _cut_from_all_hosts(simulation)
    simulation.faults.cut.add((OTHER, "store"))


def _lose_store(simulation: Simulation) -> None:
    simulation.faults.store_refuses |= simulation.links.keys()


def _slow_store(simulation: Simulation) -> None:
    simulation.faults.slow_s = 0.4


def _deaf_in_an_outage(simulation: Simulation) -> None:
    _lose_store(simulation)
    simulation.faults.deaf.add(OTHER)


class TestHealthySockets:
    @pytest.mark.parametrize(
        ("begin", "probed"),
        [
            (_cut_from_leader, {OTHER}),
            (_cut_one_way, {OTHER}),
            (_cut_from_all_hosts, {OTHER}),
            (_cut_from_all, set()),
            (_lose_store, set()),
            (_slow_store, set()),
            (_deaf_in_an_outage, set()),
        ],
    )
    async def test_they_are_kept_in_cuts_and_outages(
        self, autojump_clock: object, begin: Callable[[Simulation], None], probed: set[str]
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await _settle(cluster)
            begin(simulation)
            await trio.sleep(20.0)
            assert simulation.rebuilt == []
            assert set(simulation.probed) == probed
            assert len(simulation.probed) <= 20.0 / PROBE_PAUSE_S
            simulation.faults.clear()
            await trio.sleep(3.0)
            assert all(live.host.is_ready for live in cluster.live.values())

        await run_scenario(scenario, seed=3)

    async def test_they_are_kept_through_changes_of_the_leader(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await _settle(cluster)
            for number in range(4):
                await submit_jobs(cluster, simulation, rng, 5, 0.05, first=5 * number)
                killed = await cluster.wait_for_leader()
                cluster.kill(killed)
                await cluster.wait_for_other_leader(killed)
                await cluster.start(killed)
                await trio.sleep(1.5)
            assert simulation.rebuilt == []

        await run_scenario(scenario, seed=4)
