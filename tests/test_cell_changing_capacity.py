"""Executors whose capacity shrinks and grows again while starts are in flight.

An executor that does not enforce its capacity starts everything it is ordered to. Starts were sent
after the capacity they were decided on was gone: they wait until they are durable, are retried when
unanswered, and are sent with the first append after an outage, before the list of executors has
been read again. In a minute of random faults with changing capacities the stand-in reported

    executor-1 at 32.14 is over its capacity: Resources(cores_milli=3000, memory_mb=2000, ...)

whose capacity had shrunk to 2000 thousandths at 27.49 s; the store was down from then to 32.14 s.
"""

from dataclasses import replace
from random import Random

import pytest
import trio

from cell.cluster import Cluster
from cell.rig import JOB, Harness, make_info, make_job, make_step
from cell.scenarios import random_faults, run_scenario, submit_jobs
from cell.simulation import Simulation
from cell.simulation_hosts import CAPACITY
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.coordination.cell.stop_rules import StopRule
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import RunEnd
from galenastall.state.resources import Resources

OTHER = "fedcba9876543210"
MAX_CRASHES_BY_ONE = 5
"""A task may be started twice more after three crashes."""


def resized(info: ExecutorInfo, cores: int) -> ExecutorInfo:
    return replace(info, capacity=replace(info.capacity, cores_milli=cores))


class TestStartsInFlight:
    def test_a_start_that_waits_for_the_store_does_not_leave(self) -> None:
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(4)))
        rig.core.decide(now=rig.now, wall=rig.wall)
        rig.update_fleet(resized(info, 2000))
        assert len(rig.commit()) == 2
        withheld = [note for note in rig.core.take_notes() if note.step == "run.withheld"]
        assert [note.cause for note in withheld] == ["no capacity left"] * 2
        assert len(rig.runs_on("e0")) == 2
        assert not rig.core.executors_by_id["e0"].free.is_negative()

    def test_all_members_of_a_gang_wait_or_none(self) -> None:
        infos = [make_info("e0"), make_info("e1")]
        rig = Harness(*infos)
        rig.submit(make_job(make_step(6, is_gang=True)))
        rig.core.decide(now=rig.now, wall=rig.wall)
        rig.update_fleet(resized(infos[0], 2000), infos[1])
        assert rig.commit() == []

    def test_a_start_without_an_answer_is_not_sent_again(self) -> None:
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(4)))
        orders = rig.step()
        rig.confirm_starts(orders[1:])
        rig.update_fleet(resized(info, 3000))
        late = orders[0]
        again = rig.core.on_start(late, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        assert not (again and rig.core.is_needed(late))
        assert [stop.task for stop in rig.stops()] == [late.task]

    def test_a_retried_order_is_dropped_once_the_capacity_is_gone(self) -> None:
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(4)))
        orders = rig.step()
        rig.confirm_starts(orders[1:])
        assert rig.core.on_start(orders[0], StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        rig.update_fleet(resized(info, 3000))
        assert not rig.core.is_needed(orders[0])
        assert [stop.task for stop in rig.stops()] == [orders[0].task]
        assert rig.core.stopped_by_rule == {StopRule.CAPACITY_SHRANK: 1}


class TestCapacityBelowUsage:
    @pytest.mark.parametrize("cores", [0, 1000])
    def test_nothing_starts_where_any_amount_is_over(self, cores: int) -> None:
        """A filler task reserves no cores; an overcommitted executor still accepts none."""
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(4)))
        rig.confirm_starts(rig.step())
        rig.update_fleet(resized(info, 3000))
        rig.submit(make_job(make_step(1, cores=cores, is_filler=True), job_id=OTHER))
        assert rig.step() == []

    def test_runs_go_on(self) -> None:
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(4)))
        rig.confirm_starts(rig.step())
        rig.update_fleet(resized(info, 1000))
        assert rig.stops() == []
        assert len(rig.runs_on("e0")) == 4

    def test_restored_capacity_is_used_at_once(self) -> None:
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(6)))
        rig.confirm_starts(rig.step())
        rig.update_fleet(resized(info, 1000))
        assert rig.step() == []
        rig.update_fleet(resized(info, 6000))
        assert len(rig.step()) == 2

    def test_what_is_being_stopped_still_counts(self) -> None:
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(4)))
        orders = rig.step()
        rig.confirm_starts(orders)
        rig.core.cancel(JOB, wall=rig.wall)
        rig.step()
        assert len(rig.stops()) == 4
        rig.update_fleet(resized(info, 2000))
        rig.submit(make_job(make_step(1), job_id=OTHER))
        assert rig.step() == []
        for position, order in enumerate(orders[:3], start=1):
            rig.end(order, RunEnd.STOPPED, position)
        assert len(rig.step()) == 1

    def test_a_new_leader_counts_what_runs_against_the_capacity_of_now(self) -> None:
        info = make_info("e0")
        rig = Harness(info)
        rig.submit(make_job(make_step(4)))
        rig.confirm_starts(rig.step())
        successor = Harness(rows=rig.rows)
        successor.update_fleet(resized(info, 3000))
        successor.listing("e0", tuple(ListedRun(task=task, run=1) for task in rig.runs_on("e0")))
        assert successor.core.executors_by_id["e0"].free.cores_milli == -1000
        successor.submit(make_job(make_step(1), job_id=OTHER))
        assert successor.step() == []


class TestTrouble:
    @pytest.mark.parametrize("seed", range(720, 726))
    async def test_capacities_that_change_in_a_minute_of_trouble(
        self, seed: int, autojump_clock: object
    ) -> None:
        """No start takes an executor above the capacity that it has had for 3 s."""

        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            cluster.nursery.start_soon(change_capacities, world, Random(seed))
            await random_faults(cluster, world, rng)

        await run_scenario(scenario, seed=seed, executors=6)

    async def test_a_slow_store(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            world.faults.slow_s = 0.9
            cluster.nursery.start_soon(change_capacities, world, Random(1))
            await submit_jobs(cluster, world, rng, 60, 0.2)
            await trio.sleep(30.0)

        await run_scenario(scenario, seed=726, executors=4)

    async def test_capacities_that_shrink_while_the_store_is_away(
        self, autojump_clock: object
    ) -> None:
        """Work waits for capacity; after the outage an append succeeds before the list is read."""

        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.run_lasts_s = (4.0, 6.0)
            world.fail_share = 0.0
            await cluster.wait_for_leader()
            await submit_jobs(cluster, world, rng, 30, 0.05)
            world.faults.cut |= {(host, "store") for host in cluster.names}
            for executor in world.executors.values():
                world.resize(executor, Resources(cores_milli=2000, memory_mb=8000))
            await trio.sleep(8.0)
            world.faults.clear()
            await trio.sleep(10.0)
            assert world.starts > 30

        await run_scenario(scenario, seed=727, executors=4)

    @pytest.mark.parametrize("seed", [3004, 3005, 3006, 3007])
    async def test_crashing_tasks_with_changing_capacities(
        self, seed: int, autojump_clock: object
    ) -> None:
        """With seed 3004 a task crashed five executors, the maximum allowed.

        One of them was cut off from its callers while the list could not be read and still
        contained it, so its crash was not counted.
        """

        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            for number in range(0, 80, 10):
                world.crashing_tasks.add(TaskKey(f"{number:016x}", 0, 0, 0))
            cluster.nursery.start_soon(change_capacities, world, Random(seed))
            await random_faults(cluster, world, rng)
            assert max(map(len, world.crashes_of.values())) <= MAX_CRASHES_BY_ONE

        await run_scenario(scenario, seed=seed, executors=6)


async def change_capacities(world: Simulation, rng: Random) -> None:
    """Shrink and restore random executors for a minute, then restore all."""
    until = trio.current_time() + 60.0
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(0.1, 0.6))
        up = [executor for executor in world.executors.values() if executor.is_up]
        if not up:
            continue
        share = rng.choice([0.25, 0.5, 1.0])
        cores, memory = int(CAPACITY.cores_milli * share), int(CAPACITY.memory_mb * share)
        world.resize(rng.choice(up), Resources(cores_milli=cores, memory_mb=memory))
    for executor in list(world.executors.values()):
        if executor.is_up:
            world.resize(executor, CAPACITY)
