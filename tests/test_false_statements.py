"""What one executor or entry says is well-formed and false: it costs no more than what said it."""

from dataclasses import replace
from random import Random
from typing import Any

import msgspec
import pytest
import trio

from cell.cluster import Cluster
from cell.rig import Harness, make_info, make_job, make_step
from cell.scenarios import check_all_end, run_scenario, submit_jobs
from cell.simulation import HostView, Simulation
from galenastall.coordination.cell.listings import ListedEnd, ListedRun
from galenastall.state.cell.phases import RunEnd
from galenastall.state.decoding import MAX_WHOLE
from test_odd_executors import OddAnswers, busiest

STRANGERS = 2_000


@pytest.fixture
def odd(monkeypatch: pytest.MonkeyPatch) -> OddAnswers:
    return OddAnswers(monkeypatch)


class TestOneExecutor:
    async def test_rows_of_strangers_bound_the_stops(
        self, autojump_clock: object, odd: OddAnswers, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        under_way, most, total = 0, 0, 0
        stop = HostView.stop

        async def slow_stop(view: HostView, **call: Any) -> Any:
            nonlocal under_way, most, total
            under_way += 1
            total += 1
            most = max(most, under_way)
            await trio.sleep(0.5)
            under_way -= 1
            return await stop(view, **call)

        monkeypatch.setattr(HostView, "stop", slow_stop)

        def strangers(listing: dict[str, Any]) -> bytes:
            listing["running"] += [
                [f"{n:016x}.0.0.0", 1, "", 5] for n in range(10**6, 10**6 + STRANGERS)
            ]
            return msgspec.json.encode(listing)

        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            simulation.fail_share, simulation.run_lasts_s = 0.0, (8.0, 14.0)
            await cluster.wait_for_leader()
            await submit_jobs(cluster, simulation, rng, 6, 0.1)
            odd.change_by_name[busiest(simulation)] = strangers
            await trio.sleep(2.0)
            odd.change_by_name.clear()
            assert most <= STRANGERS

        await run_scenario(scenario, seed=3)

    async def test_one_far_position_starts_nothing_twice(
        self, autojump_clock: object, odd: OddAnswers
    ) -> None:
        def far(listing: dict[str, Any]) -> bytes:
            listing["finished"].append([MAX_WHOLE, f"{10**6:016x}.0.0.0", 1, "done", ""])
            return msgspec.json.encode(listing)

        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            simulation.fail_share, simulation.run_lasts_s = 0.0, (2.0, 4.0)
            await cluster.wait_for_leader()
            await submit_jobs(cluster, simulation, rng, 6, 0.05)
            odd.change_by_name[busiest(simulation)] = far
            await trio.sleep(1.5)
            odd.change_by_name.clear()
            await check_all_end(cluster)
            starts = {len(times) for times in simulation.starts_of.values()}
            assert starts == {1}

        await run_scenario(scenario, seed=5)


class TestEntries:
    @pytest.mark.parametrize("field", ["", "host"])
    async def test_an_entry_that_names_the_machine_of_another_starts_nothing_twice(
        self, autojump_clock: object, field: str
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            simulation.fail_share, simulation.run_lasts_s = 0.0, (4.0, 8.0)
            await cluster.wait_for_leader()
            await submit_jobs(cluster, simulation, rng, 12, 0.05)
            await trio.sleep(1.0)
            first, second = sorted(simulation.listed)[:2]
            if field:
                changes: Any = {field: getattr(simulation.listed[first], field)}
                simulation.listed[second] = replace(simulation.listed[second], **changes)
            await trio.sleep(5.0)
            await check_all_end(cluster)
            assert simulation.violations == []

        await run_scenario(scenario, seed=5)

    def test_an_entry_with_the_address_of_another_starts_nothing_within_the_lease(self) -> None:
        """The executor at that address answers 421; the one meant runs on under its lease."""
        infos = {name: make_info(name) for name in ("e1", "e2")}
        harness = Harness(*infos.values())
        harness.submit(make_job(make_step(1)))
        (order,) = harness.step()
        harness.confirm_starts([order])
        there, other = order.executor_id, ({"e1", "e2"} - {order.executor_id}).pop()
        harness.listing(there, (ListedRun(task=order.task, run=order.run, percent=5),))
        infos[there] = replace(infos[there], address=infos[other].address)
        harness.update_fleet(*infos.values())
        executor = harness.core.executors_by_id[there]
        assert executor.info.address == infos[other].address, "calls go to the other one"
        assert not executor.clock.has_lapsed(harness.now)
        harness.core.on_address_reused(there, wall=harness.wall)
        harness.now += 0.5
        harness.listing(other)
        assert harness.step() == []

    def test_large_checkpoints_of_one_executor_fit_into_one_append(self) -> None:
        harness = Harness(make_info("e1", cores=100_000))
        harness.submit(make_job(make_step(60, is_checkpointing=True)))
        orders = harness.step()
        assert len(orders) == 60
        harness.confirm_starts(orders)
        harness.listing(
            "e1",
            tuple(
                ListedRun(task=o.task, run=o.run, percent=5, saved="\U00010000" * 65_536)
                for o in orders
            ),
        )
        harness.commit()
        running = tuple(ListedRun(task=o.task, run=o.run) for o in orders[1:])
        end = ListedEnd(position=1, task=orders[0].task, run=1, end=RunEnd.DONE)
        harness.listing("e1", running, end)
        batch = harness.core.take_batch()
        size = sum(len(value) for value in batch.values_by_key.values())
        assert size <= 2_097_152
