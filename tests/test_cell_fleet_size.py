"""Cost to the leader of a fleet of thousands of executors of which few run anything."""

import sys
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random
from types import FrameType
from typing import Any

import pytest
import trio

from cell.cluster import Cluster
from cell.rig import Harness, make_info, make_job, make_step
from cell.scenarios import check_all_end, run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.executor_table import ExecutorTable
from galenastall.coordination.cell.executors import Executor, ExecutorInfo
from galenastall.coordination.cell.lease_clock import LeaseClock
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.coordination.cell.poll_limiter import BURST, IDLE_POLLS_PER_S, IdlePollLimiter
from galenastall.coordination.cell.timings import CellTimings
from galenastall.state.cell.phases import JobPhase

LARGE_FLEET = 3_000
SMALL_FLEET = 30
ROUNDING_S = 1e-6


def lines_of(act: Callable[[], object]) -> int:
    """Return the number of lines traced in a call, a cost independent of the machine's load."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        count += 1
        return trace

    sys.settrace(trace)
    try:
        act()
    finally:
        sys.settrace(None)
    return count


def harness_of(executors: int) -> Harness:
    return Harness(*(make_info(f"e{number}") for number in range(executors)))


class TestCostOfAListing:
    """Each listing scanned the whole table for incarnations on its host: 1.2 ms with 3,000."""

    def test_it_does_not_grow_with_the_fleet(self) -> None:
        small, large = harness_of(SMALL_FLEET), harness_of(LARGE_FLEET)
        assert lines_of(partial(small.listing, "e7")) == lines_of(partial(large.listing, "e7"))


class TestStartsWithoutAnAnswer:
    """Each start lost to a network cut scanned the fleet, hundreds of them at the same moment."""

    STARTS = 60

    def test_those_that_fail_together_scan_the_fleet_once(self) -> None:
        rig = harness_of(LARGE_FLEET)
        rig.submit(make_job(make_step(self.STARTS, cores=3000)))
        orders = rig.step()
        assert len(orders) == self.STARTS
        first = lines_of(partial(self._fail, rig, orders[:1]))
        others = lines_of(partial(self._fail, rig, orders[1:]))
        assert first > LARGE_FLEET
        assert others < first

    def _fail(self, rig: Harness, orders: list[StartOrder]) -> None:
        for order in orders:
            rig.core.on_start(order, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)


class TestExecutorTable:
    def setup_method(self) -> None:
        self.table = ExecutorTable()

    def add(self, info: ExecutorInfo) -> Executor:
        clock = LeaseClock(timings=CellTimings(), unknown_until=0.0)
        executor = Executor(info=info, clock=clock, now=0.0)
        self.table.add(executor)
        return executor

    def names_sharing(self, executor: Executor) -> list[str]:
        return [other.executor_id for other in self.table.sharing_name_or_host(executor)]

    def test_it_finds_incarnations_by_host_and_by_name(self) -> None:
        first = self.add(make_info("a@1", host="h1"))
        self.add(make_info("a@2", host="h2"))
        self.add(make_info("b", host="h1"))
        self.add(make_info("c", host="h3"))
        assert self.names_sharing(first) == ["a@2", "b"]

    def test_an_executor_that_is_listed_after_its_runs_were_restored_is_found_on_its_host(
        self,
    ) -> None:
        adopted = self.add(replace(make_info("a"), host=""))
        other = self.add(make_info("b", host="h1"))
        assert self.names_sharing(other) == []
        self.table.set_info(adopted, make_info("a", host="h1"))
        assert self.names_sharing(other) == ["a"]

    def test_executors_without_a_host_are_not_together(self) -> None:
        one = self.add(replace(make_info("a"), host=""))
        self.add(replace(make_info("b"), host=""))
        assert self.names_sharing(one) == []

    def test_one_that_is_removed_is_found_no_more(self) -> None:
        one = self.add(make_info("a", host="h1"))
        self.add(make_info("b", host="h1"))
        self.table.remove("b")
        assert self.names_sharing(one) == []
        assert list(self.table.on_host("h1")) == [one]


class TestIdlePollLimiter:
    def test_a_fleet_that_fits_into_the_rate_never_waits(self) -> None:
        limiter = IdlePollLimiter(polls_per_s=300.0, burst=400)
        turns = [limiter.next_slot(10.0) for _ in range(400)]
        assert max(turns) <= 10.0 + ROUNDING_S
        later = [
            limiter.next_slot(10.0 + number / 250.0) - number / 250.0 for number in range(1_000)
        ]
        assert max(later) <= 10.0 + 1.0

    def test_a_larger_one_takes_turns_in_the_order_of_asking(self) -> None:
        limiter = IdlePollLimiter(polls_per_s=300.0, burst=400)
        turns = [limiter.next_slot(10.0) for _ in range(LARGE_FLEET)]
        assert turns == sorted(turns)
        assert turns[-1] == pytest.approx(10.0 + (LARGE_FLEET - 400) / 300.0)

    def test_a_pause_gives_no_more_than_a_burst(self) -> None:
        limiter = IdlePollLimiter(polls_per_s=300.0, burst=400)
        limiter.next_slot(0.0)
        turns = [limiter.next_slot(1_000.0) for _ in range(401)]
        assert sum(1 for turn in turns if turn <= 1_000.0 + ROUNDING_S) == 400


class TestLargeFleet:
    """With 3,000 executors a leader did nothing but poll, and was considered dead."""

    EXECUTORS = 1_000

    async def test_idle_executors_take_turns(self, autojump_clock: object) -> None:
        cluster = await run_scenario(self._count_polls, seed=1, executors=self.EXECUTORS)
        assert cluster.leader is not None

    async def _count_polls(self, cluster: Cluster, world: Simulation, rng: Random) -> None:
        await cluster.wait_for_leader()
        begun_at = trio.current_time()
        await trio.sleep(6.0)
        lasted_s = trio.current_time() - begun_at
        assert world.renewals <= BURST + IDLE_POLLS_PER_S * (lasted_s + 1.0)
        heard = [e for e in world.executors.values() if e.fence > 0]
        assert len(heard) == self.EXECUTORS

    async def test_jobs_start_at_once_beside_the_polls(self, autojump_clock: object) -> None:
        await run_scenario(self._hand_in, seed=2, executors=self.EXECUTORS)

    async def _hand_in(self, cluster: Cluster, world: Simulation, rng: Random) -> None:
        await cluster.wait_for_leader()
        await submit_jobs(cluster, world, rng, 40, 0.1)
        await check_all_end(cluster, timeout_s=15.0)
        assert world.starts >= 40

    async def test_leases_of_runs_are_renewed_beside_the_polls(
        self, autojump_clock: object
    ) -> None:
        cluster = await run_scenario(self._run_long, seed=3, executors=self.EXECUTORS)
        assert cluster.leader is not None

    async def _run_long(self, cluster: Cluster, world: Simulation, rng: Random) -> None:
        world.shows_progress = True
        world.run_lasts_s = (14.0, 15.0)
        world.fail_share = 0.0
        await cluster.wait_for_leader()
        await submit_jobs(cluster, world, rng, 3, 0.1)
        await trio.sleep(30.0)
        for job_id in cluster.accepted:
            assert await cluster.wait_ended(job_id, 20.0) is JobPhase.COMPLETED
        lapsed = [e for r in cluster.all_recorders for e in r.ring if "lapsed" in e.step]
        assert not lapsed
