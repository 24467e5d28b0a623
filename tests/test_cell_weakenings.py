"""Each rule of the leader is needed: without it the checks under random faults fail."""

from random import Random

import pytest
import trio

from cell.alone import simulate_isolated
from cell.cluster import Cluster
from cell.mutations import (
    MUTATIONS,
    leases_reach_beyond_the_confirmation,
    standbys_claim_without_reading,
)
from cell.scenarios import check_all_end, random_faults, submit_jobs
from cell.simulation import Simulation

SEEDS = range(300, 305)


def innermost(error: BaseException) -> BaseException:
    """Return the first exception inside nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def fails(seed: int) -> bool:
    """Whether a check under random faults fails."""
    try:
        simulate_isolated(random_faults, seed=seed)
    except Exception as error:
        if isinstance(innermost(error), AssertionError):
            return True
        raise
    return False


class TestRuleMutations:
    @pytest.mark.parametrize("name", sorted(MUTATIONS))
    def test_a_rule_taken_out_is_noticed(self, name: str) -> None:
        with MUTATIONS[name]():
            assert any(fails(seed) for seed in SEEDS)

    def test_with_all_rules_the_same_seeds_pass(self) -> None:
        assert not any(fails(seed) for seed in SEEDS)

    def test_claims_without_reading_first_cost_terms_and_break_nothing(self) -> None:
        with standbys_claim_without_reading():
            assert not any(fails(seed) for seed in SEEDS[:3])


async def leader_cut_off_with_an_executor(cluster: Cluster, world: Simulation, rng: Random) -> None:
    """Cut a leader off with one executor, which the leaders that follow can't reach."""
    world.run_lasts_s = (18.0, 20.0)
    world.shows_progress = True
    world.fail_share = 0.0
    first = await cluster.wait_for_leader()
    await submit_jobs(cluster, world, rng, 8, 0.02)
    await trio.sleep(1.0)
    others = [name for name in cluster.names if name != first]
    for name in others:
        world.faults.cut |= {(first, name), (name, first), (name, "executor-1")}
    world.faults.cut |= {(first, each) for each in ("store", *world.executors)}
    world.faults.cut.remove((first, "executor-1"))
    await trio.sleep(16.0)
    world.faults.clear()
    await check_all_end(cluster, timeout_s=200.0)


class TestConfirmedLeases:
    def test_a_leader_that_the_store_does_not_confirm_lets_its_leases_end(self) -> None:
        simulate_isolated(leader_cut_off_with_an_executor, seed=40)

    def test_without_that_rule_work_runs_twice(self) -> None:
        with (
            leases_reach_beyond_the_confirmation(),
            pytest.raises(AssertionError, match="runs twice"),
        ):
            simulate_isolated(leader_cut_off_with_an_executor, seed=40)
