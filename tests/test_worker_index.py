"""Index search agrees with a scan of all workers; policies choose as documented."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.coordination.placement.feasibility import find_obstacle_on_hosts
from galenastall.coordination.placement.placement_settings import (
    PlacementSettings,
    default_policies,
)
from galenastall.coordination.placement.placement_state import Worker
from galenastall.coordination.placement.policies import PLACEMENT_POLICIES
from galenastall.coordination.placement.worker_index import WorkerIndex, bucket_of
from galenastall.state.ids import Epoch
from galenastall.state.resources import Resources
from galenastall.state.work import Workload
from placement_builders import make_core, make_task, make_worker, run

shapes = st.builds(
    Resources,
    cores_milli=st.integers(0, 2000),
    memory_mb=st.integers(0, 2000),
    accelerators=st.integers(0, 2),
)


def index_of(capacities: list[Resources]) -> tuple[WorkerIndex, list[Worker]]:
    index = WorkerIndex(rng=Random(1))
    workers = [
        Worker(host=make_worker(f"w{i}", capacity=capacity), epoch=Epoch(1), slot=i)
        for i, capacity in enumerate(capacities)
    ]
    for worker in workers:
        index.put(worker)
    return index, workers


class TestWorkerIndex:
    @given(st.lists(shapes, max_size=60), shapes, st.data())
    def test_search_agrees_with_a_full_scan(
        self, capacities: list[Resources], need: Resources, data: st.DataObject
    ) -> None:
        index, workers = index_of(capacities)
        for worker in workers:
            change = data.draw(st.sampled_from(["keep", "promise", "drop"]))
            if change == "drop":
                index.drop(worker)
            elif change == "promise":
                worker.promised = Resources(cores_milli=data.draw(st.integers(0, 2000)))
                worker.update_available()
                index.put(worker)
        fitting = {w.slot for w in workers if index.get(w.worker_id) and w.can_fit(need)}
        found = index.candidates(need, 5)
        assert len(found) <= 16
        assert {worker.slot for worker in found} <= fitting
        assert bool(found) is bool(fitting)

    def test_many_workers_that_only_just_lack_cores_hide_none_that_fits(self) -> None:
        capacities = [Resources(cores_milli=1030, memory_mb=500 + i) for i in range(100)]
        index, workers = index_of([*capacities, Resources(cores_milli=1100, memory_mb=2000)])
        need = Resources(cores_milli=1090, memory_mb=100)
        assert bucket_of(1030) == bucket_of(1090)
        assert index.candidates(need, 5) == [workers[-1]]

    @given(st.integers(0, 10**6), st.integers(0, 10**6))
    def test_buckets_are_monotone(self, one: int, other: int) -> None:
        assert (bucket_of(min(one, other)) <= bucket_of(max(one, other))) is True


class TestPolicies:
    @pytest.mark.parametrize("policy", PLACEMENT_POLICIES.names())
    def test_every_policy_finds_the_only_worker_that_fits(self, policy: str) -> None:
        settings = PlacementSettings(policies_by_class=dict.fromkeys(default_policies(), policy))
        small = [make_worker(f"w{i:02}", capacity=Resources(cores_milli=10)) for i in range(40)]
        core = make_core(*small, make_worker("w99"), settings=settings)
        assert run(core, make_task("x/0")) == {"x/0": "w99"}

    def test_accelerators_stay_free_for_those_who_need_them(self) -> None:
        with_accelerators = Resources(cores_milli=2000, memory_mb=4096, accelerators=1)
        core = make_core(make_worker("a", capacity=with_accelerators), make_worker("b"))
        plain = run(core, make_task("x/0"), make_task("x/1"), make_task("x/2"))
        assert set(plain.values()) == {"b"}
        assert run(core, make_task("y/0", accelerators=1)) == {"y/0": "a"}

    def test_the_tightest_fit_keeps_large_workers_free(self) -> None:
        core = make_core(make_worker("a"), make_worker("b"))
        first = run(core, make_task("x/0", cores=3000, memory=3000))
        assert run(core, make_task("x/1")) == {"x/1": first["x/0"]}
        assert len(run(core, make_task("large/0", cores=4000, memory=4096))) == 1

    def test_replicas_go_to_different_racks_then_different_workers(self) -> None:
        hosts = [make_worker(f"w{i}", rack=f"r{i // 4}") for i in range(12)]
        core = make_core(*hosts)
        replicas = [make_task(f"s/{i}", workload=Workload.SERVICE, cores=100) for i in range(6)]
        used = list(run(core, *replicas).values())
        racks = sorted(int(worker[1:]) // 4 for worker in used)
        assert racks == [0, 0, 1, 1, 2, 2]
        assert len(set(used)) == 6


class TestFeasibility:
    def test_submission_is_checked_against_the_platform_list(self) -> None:
        hosts = [make_worker("a"), make_worker("b", capacity=Resources(cores_milli=64_000))]
        assert find_obstacle_on_hosts(Resources(cores_milli=64_000), hosts) is None
        obstacle = find_obstacle_on_hosts(Resources(cores_milli=64_001), hosts)
        assert obstacle == "needs 64.001 cores and 0 MB; the largest worker has 64 cores and 0 MB"
        assert find_obstacle_on_hosts(Resources(cores_milli=1), []) is None
