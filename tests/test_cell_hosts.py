"""Waves of maintenance and moves of hosts: rules on the core, and a cluster under trouble."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import pytest
import trio

from cell.cluster import Cluster
from cell.fault_injection import crashes, inject_faults
from cell.rig import Rig, make_info, make_job, make_step
from cell.scenarios import check_all_end, run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.availability import SETTLED_S
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.host_orders import HostOrder, HostOutcome
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.maintenance import GONE_AFTER_S, SEEN_UP_S
from galenastall.coordination.cell.pools import GROW_AFTER_S, SHRINK_AFTER_S
from galenastall.coordination.cell.timings import CellTimings
from galenastall.state.cell.hosts import HostState, MaintenanceWave, PoolHost
from galenastall.state.cell.phases import RunEnd
from galenastall.state.resources import Resources

TIMINGS = CellTimings()
CAPACITY = Resources(cores_milli=4000, memory_mb=8000)
DOWN_S = TIMINGS.maintenance_s + SEEN_UP_S


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


class HostRig(Rig):
    """A core whose executors each live on a host of the same name."""

    names = ("e1", "e2", "e3")

    def __init__(self, rows: dict[str, bytes] | None = None) -> None:
        super().__init__(*(make_info(name) for name in self.names), rows=rows)

    def begin(self, wave: MaintenanceWave) -> None:
        self.core.hosts.set_waves([wave], wall=self.wall)
        self.core.hosts.set_hosts(make_hosts(self.names), wall=self.wall)

    def orders(self) -> list[HostOrder]:
        """Decide, make it durable, and return the orders to hosts that leave."""
        self.step()
        return self.core.hosts.take_ready()

    def answer(self, order: HostOrder, outcome: HostOutcome) -> bool:
        return self.core.hosts.on_order(order, outcome, wall=self.wall)

    def keep_listing(self, orders: Iterable[StartOrder], percent: int = 100) -> None:
        """List these runs where they are, at work."""
        by_executor: dict[str, list[ListedRun]] = {name: [] for name in self.names}
        for order in orders:
            run = ListedRun(task=order.task, run=order.run, percent=percent)
            by_executor[order.executor_id].append(run)
        for name, runs in by_executor.items():
            self.listing(name, tuple(runs))


class TestWaves:
    def test_no_more_hosts_go_down_at_once_than_the_wave_allows(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1", "e2", "e3", most_down=2))
        orders = rig.orders()
        assert [order.host for order in orders] == ["e1", "e2"]
        assert rig.orders() == []
        assert not rig.answer(orders[0], HostOutcome.DONE)
        assert rig.orders() == []
        rig.now += DOWN_S
        assert [order.host for order in rig.orders()] == ["e3"]

    def test_an_order_leaves_only_once_it_is_durable(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1"))
        rig.core.decide(now=rig.now, wall=rig.wall)
        assert rig.core.hosts.take_ready() == []
        rig.commit()
        assert [order.host for order in rig.core.hosts.take_ready()] == ["e1"]

    def test_an_order_of_unknown_fate_counts_as_down_and_is_sent_again(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1", "e2"))
        (order,) = rig.orders()
        assert rig.answer(order, HostOutcome.UNKNOWN)
        rig.now += 60.0
        assert rig.orders() == []

    def test_the_next_leader_repeats_what_may_have_been_ordered(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1", "e2"))
        rig.orders()
        following = HostRig(rows=rig.rows)
        following.begin(make_wave("e1", "e2"))
        assert [order.host for order in following.orders()] == ["e1"]

    def test_a_host_that_is_still_listed_down_counts(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1", "e2"))
        (order,) = rig.orders()
        rig.answer(order, HostOutcome.DONE)
        rig.now += 60.0
        rig.core.hosts.set_hosts(make_hosts(rig.names, e1=HostState.MAINTENANCE), wall=rig.wall)
        assert rig.orders() == []
        rig.core.hosts.set_hosts(make_hosts(rig.names), wall=rig.wall)
        assert [order.host for order in rig.orders()] == ["e2"]

    def test_a_host_is_emptied_first_and_gets_nothing_new(self) -> None:
        rig = HostRig()
        rig.submit(make_job(make_step(3, cores=4000)))
        started = rig.step()
        rig.run_all(started)
        rig.keep_listing(started, percent=10)
        rig.begin(make_wave("e1"))
        assert rig.orders() == []
        ended = next(order for order in started if order.executor_id == "e1")
        rig.submit(make_job(make_step(1, cores=4000), job_id="b" * 16))
        rig.end(ended, RunEnd.DONE)
        assert [order.host for order in rig.orders()] == ["e1"]
        assert not any(task.job == "b" * 16 for task in rig.runs_on("e1"))

    def test_what_does_not_end_by_itself_is_stopped_in_time(self) -> None:
        rig = HostRig()
        rig.submit(make_job(make_step(1, cores=4000)))
        (order,) = rig.step()
        rig.run_all([order])
        rig.begin(make_wave(order.executor_id, duration_s=10.0))
        assert rig.stops() == []
        rig.now += 9.0
        rig.keep_listing([order], percent=10)
        assert [stop.task for stop in rig.stops()] == [order.task]

    def test_a_wave_is_completed_once_all_hosts_that_stay_have_begun(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1", "gone"))
        assert rig.core.hosts.to_tell() == {7: False}
        rig.core.hosts.on_told(7, is_completed=False)
        (order,) = rig.orders()
        rig.answer(order, HostOutcome.DONE)
        rig.orders()
        assert rig.core.hosts.to_tell() == {}
        rig.now += GONE_AFTER_S
        rig.core.hosts.set_hosts(make_hosts(rig.names), wall=rig.wall)
        rig.orders()
        assert rig.core.hosts.to_tell() == {7: True}
        rig.core.hosts.on_told(7, is_completed=True)
        assert rig.core.hosts.to_tell() == {}
        assert not rig.core.hosts.wants_list

    def test_a_host_that_one_list_lacks_is_not_gone(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1", "e2", most_down=2))
        for order in rig.orders()[:1]:
            rig.answer(order, HostOutcome.DONE)
        rig.core.hosts.set_hosts(make_hosts(["e1", "e3"]), wall=rig.wall)
        rig.orders()
        assert rig.core.hosts.to_tell() == {7: False}

    def test_a_host_that_is_none_of_the_wave_is_left_out(self) -> None:
        rig = HostRig()
        rig.begin(make_wave("e1"))
        (order,) = rig.orders()
        assert not rig.answer(order, HostOutcome.NOT_POSSIBLE)
        rig.submit(make_job(make_step(3, cores=4000)))
        assert len(rig.step()) == 3


class TestAvailability:
    """A service's tasks go off a host one after the other, as far as its step declares."""

    def serve(self, most_unavailable: int) -> tuple[HostRig, list[StartOrder]]:
        """Run two tasks of a service on each host, all at work for long."""
        rig = HostRig()
        step = make_step(
            6,
            cores=1000,
            is_long_running=True,
            most_per_executor=2,
            most_unavailable=most_unavailable,
        )
        rig.submit(make_job(step))
        orders = rig.step()
        rig.run_all(orders)
        rig.keep_listing(orders, percent=50)
        rig.keep_listing(orders)
        rig.now += SETTLED_S
        rig.keep_listing(orders)
        return rig, orders

    @pytest.mark.parametrize(("most_unavailable", "stopped"), [(1, 1), (2, 2), (0, 2)])
    def test_no_more_are_taken_away_than_declared(
        self, most_unavailable: int, stopped: int
    ) -> None:
        rig, _ = self.serve(most_unavailable)
        rig.begin(make_wave("e1"))
        assert len(rig.stops()) == stopped

    def test_the_next_one_waits_until_the_one_before_is_at_work_again(self) -> None:
        rig, orders = self.serve(1)
        rig.begin(make_wave("e1", duration_s=100.0))
        (stop,) = rig.stops()
        stopped = next(order for order in orders if order.task == stop.task)
        rig.end(stopped, RunEnd.STOPPED)
        rig.see(*(make_info(name, cores=8000) for name in rig.names))
        rig.keep_listing([order for order in orders if order is not stopped])
        assert rig.stops() == []
        # Two a host are allowed and there are three hosts: there is no other place for it.
        others = [order for order in orders if order is not stopped]
        assert rig.step() == []
        rig.now += 2 * SETTLED_S
        rig.keep_listing(others)
        assert rig.stops() == []


class TestPools:
    def rig(self) -> HostRig:
        rig = HostRig()
        rig.core.hosts.set_standby(frozenset({"off"}))
        self.show(rig)
        return rig

    def show(self, rig: HostRig, spare_pool: str = "off") -> None:
        spare = PoolHost(host="spare", pool=spare_pool, state=HostState.UP, capacity=CAPACITY)
        rig.core.hosts.set_hosts((*make_hosts(rig.names), spare), wall=rig.wall)

    def wait_for_room(self, rig: HostRig) -> list[HostOrder]:
        rig.submit(make_job(make_step(4, cores=4000)))
        started = rig.step()
        rig.run_all(started)
        rig.now += GROW_AFTER_S
        rig.keep_listing(started, percent=10)
        return rig.orders()

    def test_a_service_without_room_gets_a_host(self) -> None:
        rig = self.rig()
        assert self.wait_for_room(rig) == [HostOrder(host="spare", pool="s")]

    def test_a_short_wait_moves_none(self) -> None:
        rig = self.rig()
        rig.submit(make_job(make_step(4, cores=4000)))
        rig.step()
        assert rig.orders() == []

    def test_a_host_that_is_too_small_stays(self) -> None:
        rig = self.rig()
        rig.see(*(make_info(name, cores=8000) for name in rig.names))
        rig.submit(make_job(make_step(4, cores=8000)))
        started = rig.step()
        rig.now += GROW_AFTER_S
        rig.keep_listing(started, percent=10)
        assert rig.orders() == []

    def test_it_goes_back_once_it_has_not_been_needed_for_long(self) -> None:
        rig = self.rig()
        (order,) = self.wait_for_room(rig)
        assert not rig.answer(order, HostOutcome.DONE)
        self.show(rig, spare_pool="s")
        rig.core.cancel("0123456789abcdef", wall=rig.wall)
        infos = [make_info(name) for name in (*rig.names, "spare")]
        rig.see(*infos)
        for _ in range(2):
            rig.now += SHRINK_AFTER_S
            for info in infos:
                rig.listing(info.executor_id)
            rig.step()
        assert rig.core.hosts.take_ready() == [HostOrder(host="spare", pool="off")]

    @pytest.mark.parametrize("steps", [1, 3])
    def test_a_host_that_a_wave_takes_down_gets_nothing_however_short_of_room(
        self, steps: int
    ) -> None:
        rig = self.rig()
        (move,) = self.wait_for_room(rig)
        assert not rig.answer(move, HostOutcome.DONE)
        self.show(rig, spare_pool="s")
        rig.core.hosts.set_waves([make_wave("spare")], wall=rig.wall)
        rig.see(*(make_info(name) for name in (*rig.names, "spare")))
        for name, executor in rig.core.executors_by_id.items():
            runs = executor.runs_by_task.items()
            rig.listing(name, tuple(ListedRun(task=t, run=r, percent=20) for t, r in runs))
        orders = [order for _ in range(steps) for order in rig.orders()]
        assert orders == [HostOrder(host="spare", wave=7)]
        assert rig.runs_on("spare") == set()

    def test_the_next_leader_repeats_a_move_that_was_left_open(self) -> None:
        rig = self.rig()
        self.wait_for_room(rig)
        following = HostRig(rows=rig.rows)
        assert following.core.hosts.take_ready() == [HostOrder(host="spare", pool="s")]


async def random_waves(cluster: Cluster, world: Simulation, rng: Random) -> None:
    """Take all hosts down in turn, by two waves, through trouble."""
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
        while world.hosts.reported != {1: True, 2: True}:  # noqa: ASYNC110 - nobody tells the test
            await trio.sleep(0.2)


class TestLostList:
    async def test_a_list_that_can_not_be_read_is_told_once(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            leader = await cluster.wait_for_leader()
            world.faults.cut.add((leader, "hosts"))
            world.hosts.waves.append(make_wave("h0"))
            await trio.sleep(8.0)
            events = list(cluster.live[leader].recorder.ring)
            told = [event for event in events if event.step == "hosts.lost"]
            assert len(told) == 1
            assert told[0].cause

        await run_scenario(scenario, seed=31)


class TestWavesUnderTrouble:
    async def test_a_standby_host_comes_when_there_is_no_room(self, autojump_clock: object) -> None:
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
