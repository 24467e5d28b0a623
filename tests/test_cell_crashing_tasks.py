"""Tasks that crash every executor that starts them, along with tasks that merely run there.

Other jobs lost their runs repeatedly: two tasks, placed again as soon as a later incarnation
answered on the host of the last one, crashed an executor every 3.3 s each, ending ten runs each
time. An executor's crash ended a run as `lost`, which was not counted, so such a task was never
given up. Some runs of other tasks moved along with it, as the leader's log showed:

    run.ended     0.0.0  cause=lost  run=5  executor=A
    run.assigned  0.0.0  run=6       executor=B
    run.ended     0.0.0  cause=lost  run=6  executor=B
    run.assigned  0.0.0  run=7       executor=C
"""

from dataclasses import replace
from random import Random

import pytest
import trio

from cell.cluster import Cluster
from cell.scenarios import random_faults, run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.state.cell.jobs import CellJob, Recurrence, Step, TaskKey
from galenastall.state.cell.phases import JobPhase
from galenastall.state.resources import Resources

BAD = "bad0bad0bad0bad0"
MAX_CRASHES = 3
"""A task may be given up after two; a third may be needed to tell it apart from runs that started
with it."""
MAX_STARTS = 5
"""Three crashes and two more starts are allowed."""


def bad_job(world: Simulation, *steps: Step, job_id: str = BAD, **fields: object) -> CellJob:
    """Return a job whose first task of its first step crashes each executor that starts it."""
    world.crashing_tasks.add(TaskKey(job_id, 0, 0, 0))
    job = CellJob(
        job_id=job_id,
        queue=world.queue,
        payload="payload",
        steps=steps or (make_step(),),
        submitted_at=1_000.0 + trio.current_time(),
    )
    return replace(job, **fields)  # type: ignore[arg-type]


def make_step(count: int = 1, **fields: object) -> Step:
    need = Resources(cores_milli=500, memory_mb=1000)
    return replace(Step(count=count, need=need, estimate_s=1.0), **fields)  # type: ignore[arg-type]


def crashes(world: Simulation) -> int:
    return max(map(len, world.crashes_of.values()), default=0)


async def phases_of_others(cluster: Cluster) -> set[JobPhase | None]:
    others = sorted(cluster.accepted - {job for job in cluster.accepted if job.startswith("bad")})
    return {await cluster.wait_ended(job) for job in others}


class TestGivenUp:
    @pytest.mark.parametrize(
        "step",
        [
            pytest.param(make_step(), id="single"),
            pytest.param(make_step(6), id="one of several"),
            pytest.param(make_step(4, is_gang=True), id="member of a gang"),
            pytest.param(make_step(is_long_running=True), id="lasting"),
        ],
    )
    async def test_a_task_that_crashes_its_executors(
        self, step: Step, autojump_clock: object
    ) -> None:
        """Its job fails soon, few executors crash, and other jobs complete."""

        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            await cluster.wait_for_leader()
            cluster.nursery.start_soon(submit_jobs, cluster, world, rng, 60, 0.3)
            await trio.sleep(3.0)
            assert await cluster.submit(bad_job(world, step))
            assert await cluster.wait_ended(BAD, 25.0) is JobPhase.FAILED
            await trio.sleep(20.0)
            assert crashes(world) <= MAX_CRASHES
            assert await phases_of_others(cluster) == {JobPhase.COMPLETED}

        await run_scenario(scenario, seed=11, executors=8)

    async def test_the_second_occurrence_of_a_timed_job(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            await cluster.wait_for_leader()
            due = 1_000.0 + trio.current_time() + 1.0
            recurrence = Recurrence(first_due=due, interval_s=2.0, times=4)
            job = bad_job(world, recurrence=recurrence)
            world.crashing_tasks = {TaskKey(BAD, 1, 0, 0)}
            assert await cluster.submit(job)
            assert await cluster.wait_ended(BAD, 40.0) is JobPhase.FAILED

        await run_scenario(scenario, seed=12, executors=8)

    async def test_several_at_once(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            await cluster.wait_for_leader()
            cluster.nursery.start_soon(submit_jobs, cluster, world, rng, 60, 0.3)
            await trio.sleep(2.0)
            ids = [f"bad{number:013x}" for number in range(5)]
            for job_id in ids:
                assert await cluster.submit(bad_job(world, job_id=job_id))
            for job_id in ids:
                assert await cluster.wait_ended(job_id, 40.0) is JobPhase.FAILED
            await trio.sleep(20.0)
            assert await phases_of_others(cluster) == {JobPhase.COMPLETED}

        await run_scenario(scenario, seed=13, executors=10)

    async def test_hosts_that_stay_away_for_longer_than_leases(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.crash_downtime_s = (14.0, 18.0)
            await cluster.wait_for_leader()
            assert await cluster.submit(bad_job(world))
            assert await cluster.wait_ended(BAD, 90.0) is JobPhase.FAILED
            assert crashes(world) <= MAX_STARTS

        await run_scenario(scenario, seed=14, executors=8)


class TestCountsOutliveLeaders:
    """Crashes counted for a task survive the leader that counted them."""

    @pytest.mark.parametrize("after_s", [0.1, 1.0, 2.5])
    async def test_leaders_that_are_killed_after_each_crash(
        self, after_s: float, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            await cluster.wait_for_leader()
            assert await cluster.submit(bad_job(world))
            cluster.nursery.start_soon(self._kill_after_crashes, cluster, world, after_s, False)
            assert await cluster.wait_ended(BAD, 120.0) is JobPhase.FAILED
            assert crashes(world) <= MAX_STARTS

        await run_scenario(scenario, seed=15, executors=8)

    async def test_all_hosts_are_lost_after_each_crash(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            await cluster.wait_for_leader()
            assert await cluster.submit(bad_job(world))
            cluster.nursery.start_soon(self._kill_after_crashes, cluster, world, 0.2, True)
            assert await cluster.wait_ended(BAD, 150.0) is JobPhase.FAILED
            assert crashes(world) <= MAX_STARTS

        await run_scenario(scenario, seed=16, executors=8)

    async def _kill_after_crashes(
        self, cluster: Cluster, world: Simulation, after_s: float, are_all: bool
    ) -> None:
        seen = 0
        while True:
            await trio.sleep(0.02)
            if crashes(world) <= seen:
                continue
            seen = crashes(world)
            await trio.sleep(after_s)
            leader = cluster.leader
            killed = sorted(cluster.live) if are_all else [leader] if leader else []
            for name in killed:
                cluster.kill(name)
            await trio.sleep(1.0)
            for name in killed:
                await cluster.start(name)


class TestBystanders:
    """Tasks that merely run on crashing executors complete."""

    @pytest.mark.parametrize("seed", range(17, 25))
    async def test_executors_that_crash_by_themselves(
        self, seed: int, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.run_lasts_s = (0.5, 6.0)
            await cluster.wait_for_leader()
            cluster.nursery.start_soon(self._crash_in_series, world, Random(seed))
            await submit_jobs(cluster, world, rng, 60, 0.5)
            assert await phases_of_others(cluster) == {JobPhase.COMPLETED}

        await run_scenario(scenario, seed=seed, executors=8)

    async def _crash_in_series(self, world: Simulation, rng: Random) -> None:
        """Crash an eighth of the executors every 3 s, as many as were seen to crash at a time."""
        while True:
            await trio.sleep(3.0)
            up = [executor for executor in world.executors.values() if executor.is_up]
            executor = rng.choice(up)
            world.crash(executor)
            world.on_crashed_by_task(executor)


class TestTrouble:
    @pytest.mark.parametrize("seed", [*range(700, 706), 2026])
    async def test_crashing_tasks_in_a_minute_of_trouble(
        self, seed: int, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            cluster.nursery.start_soon(self._mark_some, cluster, world)
            await random_faults(cluster, world, rng)

        await run_scenario(scenario, seed=seed, executors=6)

    async def _mark_some(self, cluster: Cluster, world: Simulation) -> None:
        """Make the first task of every tenth job crash its executors."""
        for number in range(0, 80, 10):
            world.crashing_tasks.add(TaskKey(f"{number:016x}", 0, 0, 0))
        await trio.sleep(0.0)
