"""Limits of workspaces: what waits for them, what changes them, and what keeps to them."""

from random import Random

import pytest
import trio

from cell.cluster import Cluster
from cell.mutations import replaced
from cell.play import changed_quotas_in_trouble, hand_in, play
from cell.rig import JOB, TIMINGS, Rig, make_info, make_job, make_step
from cell.world import World
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


class QuotaRig(Rig):
    """A core with one workspace of this limit, and room for much more."""

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
    def test_room_is_what_each_limit_leaves(
        self, workspace: Workspace, used: int, count: int
    ) -> None:
        need = Resources(cores_milli=1000, memory_mb=100)
        there = Resources(cores_milli=used)
        assert workspace.room_for(need, used=there, most=9) == count

    def test_no_limit_allows_all(self) -> None:
        assert make_workspace().allows(Resources(cores_milli=10**9))
        assert not make_workspace(cores=1000).allows(Resources(cores_milli=1001))


class TestStarts:
    def test_no_more_starts_than_the_limit_allows(self) -> None:
        rig = QuotaRig(cores=3000)
        rig.hand_in(make_step(8))
        assert len(rig.step()) == 3
        assert rig.used == 3000
        assert rig.step() == []
        assert rig.reasons() == {WaitReason.QUOTA_USED: 1}

    def test_an_end_makes_room(self) -> None:
        rig = QuotaRig(cores=3000)
        rig.hand_in(make_step(8))
        orders = rig.step()
        rig.run_all(orders)
        rig.end(orders[0], RunEnd.DONE)
        assert len(rig.step()) == 1
        assert rig.used == 3000

    def test_others_are_not_held_up(self) -> None:
        rig = QuotaRig(cores=1000)
        rig.hand_in(make_step(8))
        rig.submit(make_job(make_step(2), job_id=OTHER))
        assert {order.task.job for order in rig.step()} == {JOB, OTHER}

    def test_an_unknown_workspace_has_no_limit(self) -> None:
        rig = QuotaRig(cores=1000)
        rig.submit(make_job(make_step(8), workspace="b"))
        assert len(rig.step()) == 8

    def test_nothing_of_a_workspace_starts_before_its_limit_is_known(self) -> None:
        """A host that has just started may lead before it has read the configuration."""
        rig = Rig(make_info("e0"))
        rig.submit(make_job(make_step(2), workspace="a"))
        rig.submit(make_job(make_step(1), job_id=OTHER))
        assert [order.task.job for order in rig.step()] == [OTHER]
        rig.core.set_workspaces([])
        assert len(rig.step()) == 2

    def test_a_removed_workspace_keeps_its_last_limit(self) -> None:
        rig = QuotaRig(cores=2000)
        rig.hand_in(make_step(8))
        rig.core.set_workspaces([])
        assert len(rig.step()) == 2


class TestGangs:
    def test_a_gang_goes_in_whole_or_not_at_all(self) -> None:
        rig = QuotaRig(cores=5000)
        rig.hand_in(make_step(2))
        first = rig.step()
        rig.run_all(first)
        rig.hand_in(make_step(4, is_gang=True), job_id=OTHER)
        assert rig.step() == []
        assert rig.reasons() == {WaitReason.QUOTA_USED: 1}
        rig.end(first[0], RunEnd.DONE)
        assert len(rig.step()) == 4

    def test_small_tasks_behind_it_do_not_take_its_room(self) -> None:
        rig = QuotaRig(cores=4000)
        rig.hand_in(make_step(4))
        first = rig.step()
        rig.run_all(first)
        rig.hand_in(make_step(4, is_gang=True, estimate_s=0.5), job_id=OTHER)
        rig.hand_in(make_step(9, estimate_s=3.0), job_id=THIRD)
        rig.end(first[0], RunEnd.DONE)
        assert rig.step() == []
        for order in first[1:]:
            rig.end(order, RunEnd.DONE, position=2)
        assert {order.task.job for order in rig.step()} == {OTHER}

    def test_one_that_never_fits_is_told_apart_and_holds_nothing_up(self) -> None:
        rig = QuotaRig(cores=3000)
        rig.hand_in(make_step(4, is_gang=True, estimate_s=0.5))
        rig.hand_in(make_step(3, estimate_s=3.0), job_id=OTHER)
        assert len(rig.step()) == 3
        assert rig.reasons() == {WaitReason.OVER_QUOTA: 1}
        rig.limit(9000)
        assert len(rig.step()) == 4


class TestLimitsThatFall:
    def test_nothing_more_starts_and_what_runs_goes_on(self) -> None:
        rig = QuotaRig(cores=4000)
        rig.hand_in(make_step(8))
        orders = rig.step()
        rig.run_all(orders)
        rig.limit(1000)
        assert rig.stops() == []
        rig.end(orders[0], RunEnd.DONE)
        assert rig.step() == []

    def test_starts_that_are_being_made_durable_are_withheld(self) -> None:
        rig = QuotaRig(cores=4000)
        rig.hand_in(make_step(8))
        rig.core.decide(now=rig.now, wall=rig.wall)
        rig.limit(1000)
        assert len(rig.commit()) == 1
        assert rig.used == 1000

    def test_a_start_without_an_answer_is_not_sent_again(self) -> None:
        rig = QuotaRig(cores=4000)
        rig.hand_in(make_step(8))
        orders = rig.step()
        unsure = orders[0]
        assert self.leave_open(rig, unsure)
        rig.limit(1000)
        assert [stop.task for stop in rig.stops()] == [unsure.task]
        assert not self.leave_open(rig, orders[1])

    def leave_open(self, rig: Rig, order: StartOrder) -> bool:
        return rig.core.on_start(order, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)


class TestTakeovers:
    def test_runs_are_counted_once_by_the_next_leader(self) -> None:
        rig = QuotaRig(cores=3000)
        rig.hand_in(make_step(8))
        rig.run_all(rig.step())
        later = CellScheduler(timings=TIMINGS, fenced_at=rig.now)
        later.restore(decode_rows(rig.rows), wall=rig.wall)
        assert later.used_by_workspace["a"].cores_milli == 3000

    def test_an_ended_job_keeps_its_owner(self) -> None:
        rig = QuotaRig(cores=0)
        rig.hand_in(make_step(1))
        orders = rig.step()
        rig.run_all(orders)
        rig.end(orders[0], RunEnd.DONE)
        rig.step()
        assert rig.shown() is JobPhase.COMPLETED
        later = QuotaRig(cores=0, rows=rig.rows)
        assert later.core.jobs_by_id[JOB].job.workspace == "a"
        assert later.used == 0


SEEDS_OF_RESTARTS = (0, 2, 11, 31, 36, 41, 42)
SEEDS = (*range(8), 11, 40, 41, 42)


class TestRandomTrouble:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_limits_hold_through_all_of_it(self, autojump_clock: object, seed: int) -> None:
        await play(changed_quotas_in_trouble, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS_OF_RESTARTS)
    async def test_limits_hold_where_executors_restart_under_their_ids(
        self, autojump_clock: object, seed: int
    ) -> None:
        await play(changed_quotas_in_trouble, seed=seed, keeps_ids=True)

    async def test_a_leader_that_counts_no_runs_is_noticed(self, autojump_clock: object) -> None:
        with replaced(WorkspaceUse, "add", lambda self, task, **_: None):
            await play(busy_workspace, seed=0)


async def busy_workspace(cluster: Cluster, world: World, rng: Random) -> None:
    """Hand in more than a workspace may run at once, to a leader that breaks its limit."""
    await cluster.wait_for_leader()
    world.set_workspaces(make_workspace("small", cores=2000))
    await trio.sleep(4.0)
    await hand_in(cluster, world, rng, 20, 0.05)
    await trio.sleep(5.0)
    assert any("workspace small has" in violation for violation in world.violations)
    world.violations.clear()
