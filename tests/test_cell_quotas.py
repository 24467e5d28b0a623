"""Limits of workspaces: how they delay starts, how they change, and whether they hold."""

from random import Random

import pytest
import trio

from cell.cluster import Cluster
from cell.mutations import replaced
from cell.rig import JOB, TIMINGS, Harness, make_info, make_job, make_step
from cell.scenarios import changing_quotas_with_faults, run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.coordination.cell.workspace_use import WorkspaceUse
from galenastall.state.cell.jobs import Step
from galenastall.state.cell.phases import JobPhase, RunEnd
from galenastall.state.cell.rows import decode_rows
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import Resources

OTHER = "fedcba9876543210"
THIRD = "00000000000000aa"


def make_workspace(name: str = "a", *, cores: int = 0, memory_mb: int = 0) -> Workspace:
    return Workspace(name=name, limit=Resources(cores_milli=cores, memory_mb=memory_mb))


class QuotaHarness(Harness):
    """A core with one workspace that has this limit, and capacity for much more."""

    def __init__(self, *, cores: int, rows: dict[str, bytes] | None = None) -> None:
        super().__init__(*(make_info(f"e{number}") for number in range(4)), rows=rows)
        self.limit(cores)

    def limit(self, cores: int) -> None:
        self.core.set_workspaces([make_workspace(cores=cores)])

    def hand_in(self, *steps: Step, job_id: str = JOB) -> None:
        self.submit(make_job(*steps, job_id=job_id, workspace="a"))

    @property
    def used(self) -> int:
        used = self.core.used_by_workspace.get("a")
        return 0 if used is None else used.cores_milli

    def reasons(self) -> dict[WaitReason, int]:
        self.now += 1.1
        self.core.decide(now=self.now, wall=self.wall)
        return self.core.waiting_by_reason


class TestWorkspace:
    @pytest.mark.parametrize(
        ("workspace", "used", "count"),
        [
            (make_workspace(), 0, 9),
            (make_workspace(cores=3000), 0, 3),
            (make_workspace(cores=3500), 1000, 2),
            (make_workspace(cores=3000), 3000, 0),
            (make_workspace(cores=1000), 3000, 0),
            (make_workspace(cores=9000, memory_mb=250), 0, 2),
        ],
    )
    def test_startable_tasks_are_what_each_limit_leaves(
        self, workspace: Workspace, used: int, count: int
    ) -> None:
        need = Resources(cores_milli=1000, memory_mb=100)
        there = Resources(cores_milli=used)
        assert workspace.max_additional(need, used=there, most=9) == count

    def test_no_limit_allows_all(self) -> None:
        assert make_workspace().allows(Resources(cores_milli=10**9))
        assert not make_workspace(cores=1000).allows(Resources(cores_milli=1001))


class TestStarts:
    def test_no_more_starts_than_the_limit_allows(self) -> None:
        harness = QuotaHarness(cores=3000)
        harness.hand_in(make_step(8))
        assert len(harness.step()) == 3
        assert harness.used == 3000
        assert harness.step() == []
        assert harness.reasons() == {WaitReason.QUOTA_USED: 1}

    def test_an_ended_run_frees_its_share_of_the_limit(self) -> None:
        harness = QuotaHarness(cores=3000)
        harness.hand_in(make_step(8))
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.end(orders[0], RunEnd.DONE)
        assert len(harness.step()) == 1
        assert harness.used == 3000

    def test_other_workspaces_are_not_delayed(self) -> None:
        harness = QuotaHarness(cores=1000)
        harness.hand_in(make_step(8))
        harness.submit(make_job(make_step(2), job_id=OTHER))
        assert {order.task.job for order in harness.step()} == {JOB, OTHER}

    def test_an_unknown_workspace_has_no_limit(self) -> None:
        harness = QuotaHarness(cores=1000)
        harness.submit(make_job(make_step(8), workspace="b"))
        assert len(harness.step()) == 8

    def test_nothing_of_a_workspace_starts_before_its_limit_is_known(self) -> None:
        """A host that has just started may lead before it has read the configuration."""
        harness = Harness(make_info("e0"))
        harness.submit(make_job(make_step(2), workspace="a"))
        harness.submit(make_job(make_step(1), job_id=OTHER))
        assert [order.task.job for order in harness.step()] == [OTHER]
        harness.core.set_workspaces([])
        assert len(harness.step()) == 2

    def test_a_removed_workspace_keeps_its_last_limit(self) -> None:
        harness = QuotaHarness(cores=2000)
        harness.hand_in(make_step(8))
        harness.core.set_workspaces([])
        assert len(harness.step()) == 2


class TestGangs:
    def test_a_gang_starts_within_the_limit_completely_or_not_at_all(self) -> None:
        harness = QuotaHarness(cores=5000)
        harness.hand_in(make_step(2))
        first = harness.step()
        harness.confirm_starts(first)
        harness.hand_in(make_step(4, is_gang=True), job_id=OTHER)
        assert harness.step() == []
        assert harness.reasons() == {WaitReason.QUOTA_USED: 1}
        harness.end(first[0], RunEnd.DONE)
        assert len(harness.step()) == 4

    def test_small_tasks_behind_a_gang_do_not_take_its_share(self) -> None:
        harness = QuotaHarness(cores=4000)
        harness.hand_in(make_step(4))
        first = harness.step()
        harness.confirm_starts(first)
        harness.hand_in(make_step(4, is_gang=True, estimate_s=0.5), job_id=OTHER)
        harness.hand_in(make_step(9, estimate_s=3.0), job_id=THIRD)
        harness.end(first[0], RunEnd.DONE)
        assert harness.step() == []
        for order in first[1:]:
            harness.end(order, RunEnd.DONE, position=2)
        assert {order.task.job for order in harness.step()} == {OTHER}

    def test_a_gang_over_its_quota_is_reported_and_blocks_nothing(self) -> None:
        harness = QuotaHarness(cores=3000)
        harness.hand_in(make_step(4, is_gang=True, estimate_s=0.5))
        harness.hand_in(make_step(3, estimate_s=3.0), job_id=OTHER)
        assert len(harness.step()) == 3
        assert harness.reasons() == {WaitReason.OVER_QUOTA: 1}
        harness.limit(9000)
        assert len(harness.step()) == 4


class TestLoweredLimits:
    def test_nothing_more_starts_and_what_runs_goes_on(self) -> None:
        harness = QuotaHarness(cores=4000)
        harness.hand_in(make_step(8))
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.limit(1000)
        assert harness.stops() == []
        harness.end(orders[0], RunEnd.DONE)
        assert harness.step() == []

    def test_starts_that_are_being_made_durable_are_withheld(self) -> None:
        harness = QuotaHarness(cores=4000)
        harness.hand_in(make_step(8))
        harness.core.decide(now=harness.now, wall=harness.wall)
        harness.limit(1000)
        assert len(harness.commit()) == 1
        assert harness.used == 1000

    def test_a_start_without_an_answer_is_not_sent_again(self) -> None:
        harness = QuotaHarness(cores=4000)
        harness.hand_in(make_step(8))
        orders = harness.step()
        unsure = orders[0]
        assert self.leave_open(harness, unsure)
        harness.limit(1000)
        assert [stop.task for stop in harness.stops()] == [unsure.task]
        assert not self.leave_open(harness, orders[1])

    def leave_open(self, harness: Harness, order: StartOrder) -> bool:
        return harness.core.on_start(
            order, StartOutcome.UNKNOWN, now=harness.now, wall=harness.wall
        )


class TestTakeovers:
    def test_runs_are_counted_once_by_the_next_leader(self) -> None:
        harness = QuotaHarness(cores=3000)
        harness.hand_in(make_step(8))
        harness.confirm_starts(harness.step())
        later = CellScheduler(timings=TIMINGS, fenced_at=harness.now)
        later.restore(decode_rows(harness.rows), wall=harness.wall)
        assert later.used_by_workspace["a"].cores_milli == 3000

    def test_an_ended_job_keeps_its_owner(self) -> None:
        harness = QuotaHarness(cores=0)
        harness.hand_in(make_step(1))
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.end(orders[0], RunEnd.DONE)
        harness.step()
        assert harness.shown() is JobPhase.COMPLETED
        later = QuotaHarness(cores=0, rows=harness.rows)
        assert later.core.jobs_by_id[JOB].job.workspace == "a"
        assert later.used == 0


SEEDS_OF_RESTARTS = (0, 2, 11, 31, 36, 41, 42)
SEEDS = (*range(8), 11, 40, 41, 42)


class TestRandomFaults:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_limits_hold_through_random_faults(
        self, autojump_clock: object, seed: int
    ) -> None:
        await run_scenario(changing_quotas_with_faults, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS_OF_RESTARTS)
    async def test_limits_hold_where_executors_restart_under_their_ids(
        self, autojump_clock: object, seed: int
    ) -> None:
        await run_scenario(changing_quotas_with_faults, seed=seed, keeps_ids=True)

    async def test_a_leader_that_counts_no_runs_is_detected(self, autojump_clock: object) -> None:
        with replaced(WorkspaceUse, "add", lambda self, task, **_: None):
            await run_scenario(busy_workspace, seed=0)


async def busy_workspace(cluster: Cluster, world: Simulation, rng: Random) -> None:
    """Submit more than a workspace may run at once, to a leader that breaks its limit."""
    await cluster.wait_for_leader()
    world.set_workspaces(make_workspace("small", cores=2000))
    await trio.sleep(4.0)
    await submit_jobs(cluster, world, rng, 20, 0.05)
    await trio.sleep(5.0)
    assert any("workspace small has" in violation for violation in world.violations)
    world.violations.clear()
