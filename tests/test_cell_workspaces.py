"""Isolation between workspaces, and propagation of the configuration that defines them."""

from random import Random

import pytest
import trio

from cell.cluster import Cluster, make_job
from cell.scenarios import run_scenario
from cell.simulation import Simulation
from galenastall.coordination.cell.config_age import OUTDATED_AFTER_S, is_outdated
from galenastall.protocol.cell.messages import SubmitVerdict
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import Workspace, may_access
from galenastall.state.errors import Reason

A = Workspace(name="a")
B = Workspace(name="b")
PROPAGATION_S = 2.0


class TestVisibility:
    @pytest.mark.parametrize(
        ("owner", "workspace", "seen"),
        [("a", "a", True), ("a", "b", False), ("a", "", False), ("", "a", True), ("", "", True)],
    )
    def test_a_job_is_seen_by_its_owner(self, owner: str, workspace: str, seen: bool) -> None:
        assert may_access(owner=owner, workspace=workspace) is seen

    async def test_a_job_of_another_workspace_is_not_found(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            world.set_workspaces(A)
            job = make_job(world, rng, 1)
            world.set_workspaces(A, B)
            await trio.sleep(PROPAGATION_S)
            assert await cluster.submit(job)
            desk = cluster.live["entry-1"].host.caller_handler
            assert (await desk.phase(job.job_id, patience_s=3.0, workspace="b")).unwrap() is None
            assert (await desk.cancel(job.job_id, patience_s=3.0, workspace="b")).unwrap() is None
            other = make_job(world, rng, 1)
            while other.workspace != "b":
                other = make_job(world, rng, 1)
            taken = await desk.submit(other, patience_s=3.0)
            assert taken.verdict is SubmitVerdict.TAKEN
            assert await cluster.wait_ended(job.job_id) is JobPhase.COMPLETED

        await run_scenario(scenario, seed=3)


class TestOutdated:
    @pytest.mark.parametrize(
        ("version", "held_for_s", "outdated"),
        [
            (7, OUTDATED_AFTER_S, False),
            (6, OUTDATED_AFTER_S, True),
            (6, OUTDATED_AFTER_S / 2, False),
            (8, OUTDATED_AFTER_S, False),
            (0, OUTDATED_AFTER_S, False),
        ],
    )
    def test_an_older_version_is_outdated_after_a_while(
        self, version: int, held_for_s: float, outdated: bool
    ) -> None:
        assert is_outdated(version=version, own_version=7, held_for_s=held_for_s) is outdated

    async def test_a_call_admitted_by_an_outdated_version_is_admitted_again(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            old = world.config.version
            world.set_workspaces(A)
            await trio.sleep(PROPAGATION_S + OUTDATED_AFTER_S)
            job = make_job(world, rng, 1)
            world.jobs[job.job_id] = job
            desk = cluster.live["entry-1"].host.caller_handler
            submitted = await desk.submit(job, patience_s=3.0, config_version=old)
            assert submitted.is_outdated
            assert not submitted.may_be_stored
            asked = await desk.phase(job.job_id, patience_s=3.0, config_version=old)
            assert asked.failure().reason is Reason.CONFLICT
            version = cluster.live["entry-1"].host.config.version
            again = await desk.submit(job, patience_s=3.0, config_version=version)
            assert again.verdict is SubmitVerdict.ACCEPTED

        await run_scenario(scenario, seed=4)


class TestConfigPropagation:
    @pytest.mark.parametrize("refused", ["a follower", "the leader"])
    async def test_a_host_that_the_store_refuses_gets_versions_from_others(
        self, autojump_clock: object, refused: str
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            leader = await cluster.wait_for_leader()
            await trio.sleep(1.0)
            follower = next(name for name in cluster.names if name != leader)
            name = leader if refused == "the leader" else follower
            world.faults.store_refuses.add(name)
            world.set_workspaces(A)
            await trio.sleep(PROPAGATION_S)
            assert cluster.live[name].host.config.version == world.config.version

        await run_scenario(scenario, seed=5)

    async def test_a_refresh_fetches_a_version_not_read_yet(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            await trio.sleep(1.0)
            world.set_workspaces(A)
            config = cluster.live["entry-0"].host.config
            await config.look()
            assert config.version == world.config.version

        await run_scenario(scenario, seed=6)

    async def test_concurrent_refreshes_share_one_read(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            await trio.sleep(1.0)
            config = cluster.live["entry-0"].host.config
            reads = 0
            newest = config._port.newest

            async def count() -> object:
                nonlocal reads
                reads += 1
                return await newest()

            config._port.newest = count  # type: ignore[method-assign, assignment]
            async with trio.open_nursery() as nursery:
                for _ in range(50):
                    nursery.start_soon(config.look)
            await config.look()
            assert reads == 1

        await run_scenario(scenario, seed=7)
