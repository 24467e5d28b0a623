"""Maintenance waves and moves of hosts: rules of the core, and a simulated cluster under faults."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import pytest
import trio

from cell.cluster import Cluster
from cell.fault_injection import crashes, inject_faults
from cell.rig import Harness, make_info, make_job, make_step
from cell.scenarios import check_all_end, run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.availability import AVAILABLE_AFTER_S
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.coordination.cell.lease_clock import longest_lease_s
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.maintenance import GONE_AFTER_S, STALE_LIST_MARGIN_S
from galenastall.coordination.cell.pools import GROW_AFTER_S, SHRINK_AFTER_S
from galenastall.coordination.cell.timings import CellTimings
from galenastall.state.cell.hosts import HostState, MaintenanceWave, PoolHost
from galenastall.state.cell.phases import RunEnd
from galenastall.state.resources import Resources

TIMINGS = CellTimings()
CAPACITY = Resources(cores_milli=4000, memory_mb=8000)
DOWN_S = TIMINGS.maintenance_s + STALE_LIST_MARGIN_S


def make_wave(*hosts: str, most_down: int = 1, duration_s: float = 30.0) -> MaintenanceWave:
    return MaintenanceWave(number=7, hosts=hosts, duration_s=duration_s, most_down=most_down)


def make_hosts(names: Iterable[str], **states: HostState) -> tuple[PoolHost, ...]:
    return tuple(
        PoolHost(
            host=name,
            pool="s",
            state=states.get(name, HostState.UP),
            capacity=CAPACITY,
            executor_id=name,
        )
        for name in names
    )


class HostHarness(Harness):
    """A scheduler core whose executors each run on a host of the same name."""

    names = ("e1", "e2", "e3")

    def __init__(self, rows: dict[str, bytes] | None = None) -> None:
        super().__init__(*(make_info(name) for name in self.names), rows=rows)

    def begin(self, wave: MaintenanceWave) -> None:
        self.core.hosts.set_waves([wave], wall=self.wall)
        self.core.hosts.set_hosts(make_hosts(self.names), wall=self.wall)

    def orders(self) -> list[HostOrder]:
        """Make a decision, commit it, and return the orders to send to hosts."""
        self.step()
        return self.core.hosts.take_ready()

    def answer(self, order: HostOrder, outcome: HostOutcome) -> bool:
        return self.core.hosts.on_order(order, outcome, wall=self.wall)

    def keep_listing(self, orders: Iterable[StartOrder], percent: int = 100) -> None:
        """Deliver listings with these runs at the given progress."""
        by_executor: dict[str, list[ListedRun]] = {name: [] for name in self.names}
        for order in orders:
            run = ListedRun(task=order.task, run=order.run, percent=percent)
            by_executor[order.executor_id].append(run)
        for name, runs in by_executor.items():
            self.listing(name, tuple(runs))


class TestWaves:
    def test_no_more_hosts_go_down_at_once_than_the_wave_allows(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1", "e2", "e3", most_down=2))
        orders = harness.orders()
        assert [order.host for order in orders] == ["e1", "e2"]
        assert harness.orders() == []
        assert not harness.answer(orders[0], HostOutcome.DONE)
        assert harness.orders() == []
        harness.now += DOWN_S
        assert [order.host for order in harness.orders()] == ["e3"]

    def test_an_order_leaves_only_once_it_is_durable(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1"))
        harness.core.decide(now=harness.now, wall=harness.wall)
        assert harness.core.hosts.take_ready() == []
        harness.commit()
        assert [order.host for order in harness.core.hosts.take_ready()] == ["e1"]

    def test_an_order_with_unknown_outcome_counts_as_down_and_is_sent_again(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1", "e2"))
        (order,) = harness.orders()
        assert harness.answer(order, HostOutcome.UNKNOWN)
        harness.now += 60.0
        assert harness.orders() == []

    def test_the_next_leader_repeats_what_may_have_been_ordered(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1", "e2"))
        harness.orders()
        following = HostHarness(rows=harness.rows)
        following.begin(make_wave("e1", "e2"))
        assert [order.host for order in following.orders()] == ["e1"]

    def test_a_wave_rewritten_without_hosts_does_not_end_the_leader(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1"))
        (order,) = harness.orders()
        harness.begin(make_wave())
        assert harness.orders() == []
        following = HostHarness(rows=harness.rows)
        following.begin(make_wave())
        assert following.orders() == [order]
        assert not following.answer(order, HostOutcome.DONE)
        following.orders()
        assert following.core.hosts.unreported_waves() == {7: True}

    def test_a_host_that_is_still_listed_down_counts(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1", "e2"))
        (order,) = harness.orders()
        harness.answer(order, HostOutcome.DONE)
        harness.now += 60.0
        harness.core.hosts.set_hosts(
            make_hosts(harness.names, e1=HostState.MAINTENANCE), wall=harness.wall
        )
        assert harness.orders() == []
        harness.core.hosts.set_hosts(make_hosts(harness.names), wall=harness.wall)
        assert [order.host for order in harness.orders()] == ["e2"]

    def test_a_host_is_emptied_first_and_gets_nothing_new(self) -> None:
        harness = HostHarness()
        harness.submit(make_job(make_step(3, cores=4000)))
        started = harness.step()
        harness.confirm_starts(started)
        harness.keep_listing(started, percent=10)
        harness.begin(make_wave("e1"))
        assert harness.orders() == []
        ended = next(order for order in started if order.executor_id == "e1")
        harness.submit(make_job(make_step(1, cores=4000), job_id="b" * 16))
        harness.end(ended, RunEnd.DONE)
        assert [order.host for order in harness.orders()] == ["e1"]
        assert not any(task.job == "b" * 16 for task in harness.runs_on("e1"))

    def test_runs_that_do_not_end_on_their_own_are_stopped_in_time(self) -> None:
        harness = HostHarness()
        harness.submit(make_job(make_step(1, cores=4000)))
        (order,) = harness.step()
        harness.confirm_starts([order])
        harness.begin(make_wave(order.executor_id, duration_s=10.0))
        assert harness.stops() == []
        harness.now += 9.0
        harness.keep_listing([order], percent=10)
        assert [stop.task for stop in harness.stops()] == [order.task]

    def test_a_wave_is_completed_once_all_hosts_that_stay_have_begun(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1", "gone"))
        assert harness.core.hosts.unreported_waves() == {7: False}
        harness.core.hosts.on_wave_reported(7, is_completed=False)
        (order,) = harness.orders()
        harness.answer(order, HostOutcome.DONE)
        harness.orders()
        assert harness.core.hosts.unreported_waves() == {}
        harness.now += GONE_AFTER_S
        harness.core.hosts.set_hosts(make_hosts(harness.names), wall=harness.wall)
        harness.orders()
        assert harness.core.hosts.unreported_waves() == {7: True}
        harness.core.hosts.on_wave_reported(7, is_completed=True)
        assert harness.core.hosts.unreported_waves() == {}
        assert not harness.core.hosts.needs_host_list

    def test_a_host_that_one_list_lacks_is_not_gone(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1", "e2", most_down=2))
        for order in harness.orders()[:1]:
            harness.answer(order, HostOutcome.DONE)
        harness.core.hosts.set_hosts(make_hosts(["e1", "e3"]), wall=harness.wall)
        harness.orders()
        assert harness.core.hosts.unreported_waves() == {7: False}

    def test_a_host_that_cannot_be_maintained_accepts_work_again(self) -> None:
        harness = HostHarness()
        harness.begin(make_wave("e1"))
        (order,) = harness.orders()
        assert not harness.answer(order, HostOutcome.NOT_POSSIBLE)
        harness.submit(make_job(make_step(3, cores=4000)))
        assert len(harness.step()) == 3


class TestExecutorsThatNameNoHost:
    @pytest.mark.parametrize("host", ["e2", "10.0.0.2:80"])
    def test_a_machine_whose_executor_names_none_is_not_taken_down_at_work(self, host: str) -> None:
        # An entry without a machine counts as being on a host named like its address.
        harness = Harness(make_info("e2", host=host))
        harness.submit(make_job(make_step(1, is_long_running=True, most_unavailable=0)))
        (order,) = harness.step()
        harness.confirm_starts([order])
        row = ListedRun(task=order.task, run=order.run, percent=100)
        for _ in range(20):
            harness.now += 0.5
            harness.listing("e2", (row,))
        harness.core.hosts.set_waves([make_wave("e2")], wall=harness.wall)
        harness.core.hosts.set_hosts(make_hosts(("e2",)), wall=harness.wall)
        harness.step()
        assert harness.core.hosts.take_ready() == []


class TestAvailability:
    """Tasks of a service leave a host one by one, within the limit that its step declares."""

    def serve(self, most_unavailable: int) -> tuple[HostHarness, list[StartOrder]]:
        """Run two tasks of a service on each host, all available for long enough."""
        harness = HostHarness()
        step = make_step(
            6,
            cores=1000,
            is_long_running=True,
            most_per_executor=2,
            most_unavailable=most_unavailable,
        )
        harness.submit(make_job(step))
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.keep_listing(orders, percent=50)
        harness.keep_listing(orders)
        harness.now += AVAILABLE_AFTER_S
        harness.keep_listing(orders)
        return harness, orders

    @pytest.mark.parametrize(("most_unavailable", "stopped"), [(1, 1), (2, 2), (0, 2)])
    def test_no_more_are_stopped_than_declared(self, most_unavailable: int, stopped: int) -> None:
        harness, _ = self.serve(most_unavailable)
        harness.begin(make_wave("e1"))
        assert len(harness.stops()) == stopped

    def test_the_next_one_waits_until_the_one_before_is_at_work_again(self) -> None:
        harness, orders = self.serve(1)
        harness.begin(make_wave("e1", duration_s=100.0))
        (stop,) = harness.stops()
        stopped = next(order for order in orders if order.task == stop.task)
        harness.end(stopped, RunEnd.STOPPED)
        harness.update_fleet(*(make_info(name, cores=8000) for name in harness.names))
        harness.keep_listing([order for order in orders if order is not stopped])
        assert harness.stops() == []
        # Two per host are allowed, on three hosts: there is no other place for the task.
        others = [order for order in orders if order is not stopped]
        assert harness.step() == []
        harness.now += 2 * AVAILABLE_AFTER_S
        harness.keep_listing(others)
        assert harness.stops() == []


class TestWavesUnderTheNextLeader:
    """A leader that has just taken over takes down no host whose runs it has not placed yet."""

    def take_over(self) -> tuple[Harness, list[StartOrder]]:
        """Let one task last on each host, and return the next leader, which has read no list."""
        harness = HostHarness()
        step = make_step(3, is_long_running=True, most_per_executor=1, most_unavailable=1)
        harness.submit(make_job(step))
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.keep_listing(orders)
        following = Harness(rows=harness.rows, has_executor_list=False)
        wave = make_wave(*HostHarness.names, most_down=3)
        following.core.hosts.set_waves([wave], wall=following.wall)
        following.core.hosts.set_hosts(make_hosts(HostHarness.names), wall=following.wall)
        return following, orders

    def host_orders(self, harness: Harness) -> list[HostOrder]:
        harness.step()
        return harness.core.hosts.take_ready()

    def test_hosts_at_work_stay_up_until_the_executors_are_listed(self) -> None:
        harness, _ = self.take_over()
        assert self.host_orders(harness) == []
        harness.update_fleet(*(make_info(name) for name in HostHarness.names))
        assert self.host_orders(harness) == []

    def test_a_host_whose_executor_the_list_lacks_stays_up_until_leases_expire(self) -> None:
        harness, orders = self.take_over()
        run_of = {order.executor_id: ListedRun(task=order.task, run=order.run) for order in orders}
        harness.update_fleet(make_info("e1"), make_info("e2"))
        for _ in range(2):
            for name in ("e1", "e2"):
                harness.listing(name, (replace(run_of[name], percent=100),))
            assert self.host_orders(harness) == []
            harness.now += longest_lease_s(TIMINGS) / 2
        harness.now += AVAILABLE_AFTER_S
        for name in ("e1", "e2"):
            harness.listing(name, (replace(run_of[name], percent=100),))
        assert [order.host for order in self.host_orders(harness)] == ["e3"]


class TestPools:
    def harness(self) -> HostHarness:
        harness = HostHarness()
        harness.core.hosts.set_standby(frozenset({"off"}))
        self.show(harness)
        return harness

    def show(self, harness: HostHarness, spare_pool: str = "off") -> None:
        spare = PoolHost(host="spare", pool=spare_pool, state=HostState.UP, capacity=CAPACITY)
        harness.core.hosts.set_hosts((*make_hosts(harness.names), spare), wall=harness.wall)

    def wait_for_capacity(self, harness: HostHarness) -> list[HostOrder]:
        harness.submit(make_job(make_step(4, cores=4000)))
        started = harness.step()
        harness.confirm_starts(started)
        harness.now += GROW_AFTER_S
        harness.keep_listing(started, percent=10)
        return harness.orders()

    def test_a_service_without_capacity_gets_a_host(self) -> None:
        harness = self.harness()
        assert self.wait_for_capacity(harness) == [HostOrder(host="spare", pool="s")]

    def test_a_short_wait_moves_none(self) -> None:
        harness = self.harness()
        harness.submit(make_job(make_step(4, cores=4000)))
        harness.step()
        assert harness.orders() == []

    def test_a_host_that_is_too_small_stays(self) -> None:
        harness = self.harness()
        harness.update_fleet(*(make_info(name, cores=8000) for name in harness.names))
        harness.submit(make_job(make_step(4, cores=8000)))
        started = harness.step()
        harness.now += GROW_AFTER_S
        harness.keep_listing(started, percent=10)
        assert harness.orders() == []

    def test_it_goes_back_once_it_has_not_been_needed_for_long(self) -> None:
        harness = self.harness()
        (order,) = self.wait_for_capacity(harness)
        assert not harness.answer(order, HostOutcome.DONE)
        self.show(harness, spare_pool="s")
        harness.core.cancel("0123456789abcdef", wall=harness.wall)
        infos = [make_info(name) for name in (*harness.names, "spare")]
        harness.update_fleet(*infos)
        for _ in range(2):
            harness.now += SHRINK_AFTER_S
            for info in infos:
                harness.listing(info.executor_id)
            harness.step()
        assert harness.core.hosts.take_ready() == [HostOrder(host="spare", pool="off")]

    @pytest.mark.parametrize("steps", [1, 3])
    def test_a_host_in_a_wave_gets_no_work_despite_a_capacity_shortage(self, steps: int) -> None:
        harness = self.harness()
        (move,) = self.wait_for_capacity(harness)
        assert not harness.answer(move, HostOutcome.DONE)
        self.show(harness, spare_pool="s")
        harness.core.hosts.set_waves([make_wave("spare")], wall=harness.wall)
        harness.update_fleet(*(make_info(name) for name in (*harness.names, "spare")))
        for name, executor in harness.core.executors_by_id.items():
            runs = executor.runs_by_task.items()
            harness.listing(name, tuple(ListedRun(task=t, run=r, percent=20) for t, r in runs))
        orders = [order for _ in range(steps) for order in harness.orders()]
        assert orders == [HostOrder(host="spare", wave=7)]
        assert harness.runs_on("spare") == set()

    def test_the_next_leader_repeats_an_unresolved_move(self) -> None:
        harness = self.harness()
        self.wait_for_capacity(harness)
        following = HostHarness(rows=harness.rows)
        assert following.core.hosts.take_ready() == [HostOrder(host="spare", pool="s")]


async def random_waves(cluster: Cluster, world: Simulation, rng: Random) -> None:
    """Take down all hosts in turn, in two waves, under random faults."""
    await cluster.wait_for_leader()
    until = trio.current_time() + 30.0
    hosts = sorted({executor.info.host for executor in world.executors.values()})
    cluster.nursery.start_soon(crashes, world, rng, until)
    cluster.nursery.start_soon(submit_jobs, cluster, world, rng, 40, 0.5)
    for number in (1, 2):
        wave = replace(make_wave(*hosts, most_down=number), number=number)
        world.hosts.waves.append(wave)
        await inject_faults(cluster, world, rng, trio.current_time() + 15.0)
    world.faults.clear()
    for name in cluster.names:
        if name not in cluster.live:
            await cluster.start(name)
    await check_all_end(cluster)
    with trio.fail_after(60.0):
        while world.hosts.reported != {1: True, 2: True}:  # noqa: ASYNC110 - no event to wait for
            await trio.sleep(0.2)


class TestUnreadableHostList:
    async def test_an_unreadable_list_is_logged_once(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            leader = await cluster.wait_for_leader()
            world.faults.cut.add((leader, "hosts"))
            world.hosts.waves.append(make_wave("h0"))
            await trio.sleep(8.0)
            events = list(cluster.live[leader].recorder.ring)
            unreadable = [event for event in events if event.step == "hosts.lost"]
            assert len(unreadable) == 1
            assert unreadable[0].cause

        await run_scenario(scenario, seed=31)


class TestWavesUnderFaults:
    async def test_a_standby_host_is_added_when_capacity_runs_out(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.hosts.pools["spare"] = "off"
            world.config = replace(world.config, standby_services=frozenset({"off"}))
            await cluster.wait_for_leader()
            await submit_jobs(cluster, world, rng, 60, 0.01)
            await check_all_end(cluster)
            assert any(e.info.host == "spare" for e in world.executors.values())

        await run_scenario(scenario, seed=30)

    @pytest.mark.parametrize("seed", range(200, 206))
    async def test_limits_are_kept_and_waves_completed(
        self, autojump_clock: object, seed: int
    ) -> None:
        await run_scenario(random_waves, seed=seed, executors=5)
