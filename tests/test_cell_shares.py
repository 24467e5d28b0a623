"""How workspaces that compete come before others by what they use of their shares."""

from collections.abc import Iterable
from dataclasses import replace

import pytest

from cell.mutations import replaced
from cell.rig import JOB, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.explain_logs import parse_lines
from galenastall.coordination.cell.explain_waiting import format_waits, waits_of
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.wait_queue import WaitingStep
from galenastall.coordination.cell.workspace_shares import (
    ABOVE_FROM,
    BACK_AT,
    SMOOTHING_S,
    WorkspaceShares,
)
from galenastall.coordination.cell.workspace_use import WorkspaceUse
from galenastall.state.cell.jobs import Queue, Step, TaskKey
from galenastall.state.cell.phases import RunEnd
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import Resources
from test_explain_waiting import line

CAPACITY = Resources(cores_milli=16_000, memory_mb=32_000)
FLOOD = "f" * 15
OTHER = "fedcba9876543210"
FIRST = "00000000000000aa"
HIGH, LOW = 100.0, 0.1
"""Weights with which all jobs here are within the rate, or only the first of each workspace."""
QUEUES = (
    Queue(name="q", service="s", stretch=2.0, target_s=60.0),
    Queue(name="urgent", service="s", priority=0, stretch=2.0, target_s=60.0),
)

RUNS_ARE_LEFT_ALONE = frozenset({Mechanism.MOVES, Mechanism.DOUBTS})
"""The runs here report no progress, for which they would be stopped."""


def make_workspaces(a: float = 100.0, b: float = 100.0) -> list[Workspace]:
    return [Workspace(name="a", weight=a), Workspace(name="b", weight=b)]


def updated(
    shares: WorkspaceShares, used: Resources, *, now: float = 0.0, live: Iterable[Workspace] = ()
) -> list[str]:
    workspaces = list(live) or make_workspaces()
    return shares.update(workspaces, used_by_name={"a": used}, capacity=CAPACITY, now=now)


class FloodHarness(Harness):
    """A cell of 16 cores that workspace `a` fills with tasks of one core, with more waiting."""

    def __init__(
        self, *, weight: float = HIGH, without: frozenset[Mechanism] = frozenset()
    ) -> None:
        super().__init__(*(make_info(f"e{number}") for number in range(4)))
        self.core._state.without = without | RUNS_ARE_LEFT_ALONE
        self.core.set_queues(QUEUES)
        self.core.set_workspaces(make_workspaces(weight, weight))
        self.running: list[StartOrder] = []
        for number in range(12):
            self.hand_in("a", make_step(2), job_id=f"{FLOOD}{number:x}")
        self.begin()
        self.wait(2 * SMOOTHING_S)

    def hand_in(
        self, workspace: str, *steps: Step, job_id: str = OTHER, queue: Queue = QUEUES[0]
    ) -> None:
        job = make_job(*steps, job_id=job_id, workspace=workspace, queue=queue)
        self.submit(replace(job, submitted_at=self.wall))

    def begin(self) -> list[StartOrder]:
        orders = self.step()
        self.confirm_starts(orders)
        self.running += orders
        return orders

    def hand_in_beyond_rate(self, workspace: str) -> None:
        """Hand in a job within the rate, and one of long tasks beyond it."""
        self.hand_in(workspace, make_step(2), job_id=FIRST)
        self.hand_in(workspace, make_step(2, estimate_s=5.0))

    def wait(self, seconds: float) -> None:
        """Let the running tasks run on for a time, with decisions twice a second."""
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for executor_id, executor in self.core.executors_by_id.items():
                runs = executor.runs_by_task.items()
                self.listing(executor_id, tuple(ListedRun(task=t, run=r) for t, r in runs))
            self.begin()

    def free(self, count: int) -> None:
        """End the runs that started first."""
        for _ in range(count):
            order = self.running.pop(0)
            executor = self.core.executors_by_id[order.executor_id]
            self.end(order, RunEnd.DONE, position=executor.applied_position + 1)

    def started(self) -> list[str]:
        return [order.task.job for order in self.begin()]

    def share_of(self, name: str) -> float:
        return self.core.share_by_workspace.get(name, 0.0)


class TestShares:
    @pytest.mark.parametrize(
        ("used", "weights", "ratio"),
        [
            (Resources(cores_milli=8_000), (1.0, 1.0), 1.0),
            (Resources(cores_milli=4_000), (1.0, 3.0), 1.0),
            (Resources(cores_milli=4_000, memory_mb=24_000), (1.0, 1.0), 1.5),
            (Resources(), (0.0, 1.0), 0.0),
            (Resources(cores_milli=1), (0.0, 1.0), float("inf")),
        ],
    )
    def test_the_dominant_share_counts_against_the_weight(
        self, used: Resources, weights: tuple[float, float], ratio: float
    ) -> None:
        shares = WorkspaceShares()
        updated(shares, used, live=make_workspaces(*weights))
        assert shares.of("a").ratio == pytest.approx(ratio)

    def test_weights_of_workspaces_without_live_work_do_not_count(self) -> None:
        shares = WorkspaceShares()
        updated(shares, CAPACITY, live=make_workspaces()[:1])
        assert shares.of("a").ratio == pytest.approx(1.0)
        assert not shares.of("a").is_above

    def test_a_share_does_not_flap_with_each_start(self) -> None:
        """Use swings around both bounds, twenty times a second."""
        shares, changes = WorkspaceShares(), 0
        for number in range(200):
            ratio = (ABOVE_FROM + BACK_AT) / 2 + (0.3 if number % 2 else -0.3)
            used = Resources(cores_milli=int(8_000 * ratio))
            changes += len(updated(shares, used, now=number * 0.05))
        assert changes <= 1

    def test_a_workspace_that_ends_its_flood_is_within_its_share_again(self) -> None:
        shares = WorkspaceShares()
        assert updated(shares, CAPACITY) == ["a"]
        assert updated(shares, Resources(), now=SMOOTHING_S) == ["a"]

    def test_a_workspace_without_live_work_is_forgotten(self) -> None:
        shares = WorkspaceShares()
        updated(shares, CAPACITY)
        assert updated(shares, CAPACITY, live=make_workspaces()[1:]) == ["a"]
        assert set(shares.by_name) == {"b"}


class TestOrder:
    @pytest.mark.parametrize(
        ("without", "started"), [((), OTHER), ((Mechanism.SHARES,), f"{FLOOD}8")]
    )
    def test_beyond_the_rate_a_flood_goes_after_a_workspace_below_its_share(
        self, without: tuple[Mechanism, ...], started: str
    ) -> None:
        """Without the rule the order is by objective."""
        harness = FloodHarness(weight=LOW, without=frozenset(without))
        harness.hand_in_beyond_rate("b")
        harness.free(4)
        assert harness.started() == [FIRST] * 2 + [started] * 2
        assert bool(harness.core.share_by_workspace) is not bool(without)

    def test_work_within_the_rate_keeps_its_order(self) -> None:
        harness = FloodHarness()
        harness.hand_in("b", make_step(2, estimate_s=5.0))
        harness.free(2)
        assert harness.started() == [f"{FLOOD}8"] * 2

    def test_urgent_work_of_a_workspace_above_its_share_still_goes_first(self) -> None:
        harness = FloodHarness()
        harness.hand_in("b", make_step(2))
        harness.hand_in("a", make_step(2), job_id=JOB, queue=QUEUES[1])
        harness.free(2)
        assert harness.started() == [JOB] * 2

    def test_late_work_does_not_go_before_work_in_time_for_its_share(self) -> None:
        harness = FloodHarness()
        harness.hand_in("b", make_step(2, estimate_s=0.1))
        harness.wait(61.0)
        harness.hand_in("a", make_step(2, estimate_s=9.0), job_id=JOB)
        harness.free(2)
        assert harness.started() == [JOB] * 2

    def test_a_wide_gang_of_a_small_workspace_starts_in_its_turn(self) -> None:
        """The gang takes ten times what its workspace is entitled to."""
        harness = FloodHarness()
        harness.core.set_workspaces(make_workspaces(190.0, 10.0))
        gang = make_step(8, is_gang=True, estimate_s=0.1)
        harness.hand_in("b", gang)
        harness.free(16)
        started = harness.started()
        assert started.count(OTHER) == 8


class TestTakeover:
    @staticmethod
    def share_after_takeover(harness: FloodHarness) -> float:
        later = Harness(rows=harness.rows)
        later.core.set_workspaces(make_workspaces())
        later.update_fleet(*harness.infos)
        for info in harness.infos:
            runs = harness.core.executors_by_id[info.executor_id].runs_by_task.items()
            later.listing(info.executor_id, tuple(ListedRun(task=t, run=r) for t, r in runs))
        later.step()
        return later.core.share_by_workspace["a"]

    def test_a_run_counts_once_after_a_takeover(self) -> None:
        harness = FloodHarness()
        harness.wait(10 * SMOOTHING_S)
        assert self.share_after_takeover(harness) == pytest.approx(harness.share_of("a"), rel=0.01)

    def test_a_share_that_counts_a_run_twice_is_detected(self) -> None:
        harness = FloodHarness()
        harness.wait(10 * SMOOTHING_S)

        def add(self: WorkspaceUse, task: TaskKey, *, workspace: str, need: Resources) -> None:
            original(self, task, workspace=workspace, need=need)
            self._used_by_name[workspace] = self.used(workspace) + need

        with replaced(WorkspaceUse, "add", add) as original:
            assert self.share_after_takeover(harness) != pytest.approx(
                harness.share_of("a"), rel=0.01
            )


class TestChangedWorkspaces:
    def test_a_weight_cut_to_a_tenth_in_the_flood_holds_with_the_next_decision(self) -> None:
        harness = FloodHarness(weight=LOW)
        before = harness.share_of("a")
        harness.core.set_workspaces(make_workspaces(LOW / 10, LOW))
        harness.hand_in_beyond_rate("b")
        harness.free(4)
        assert harness.started() == [FIRST] * 2 + [OTHER] * 2
        assert harness.share_of("a") > 5 * before

    def test_a_removed_workspace_keeps_its_place_until_its_jobs_have_ended(self) -> None:
        harness = FloodHarness(weight=LOW)
        harness.core.set_workspaces(make_workspaces(LOW, LOW)[1:])
        harness.hand_in_beyond_rate("b")
        harness.free(4)
        assert harness.started() == [FIRST] * 2 + [OTHER] * 2
        while harness.running:
            harness.free(len(harness.running))
            harness.begin()
        harness.step()
        assert harness.core.share_by_workspace == {}


class TestNewJobs:
    """Admission compares a job that is not submitted yet with the steps that wait."""

    @pytest.mark.parametrize("workspace", ["a", "b", "unknown", ""])
    def test_a_job_gets_the_key_that_it_is_told_before(self, workspace: str) -> None:
        harness = FloodHarness()
        harness.step()
        job = make_job(make_step(2), job_id=OTHER, workspace=workspace, submitted_at=harness.wall)
        told = harness.core.order_key_of_new(job, wall=harness.wall)
        harness.submit(job)
        waiting = self.waiting_of(harness, OTHER)
        assert told == waiting.order_key()

    def test_asking_charges_no_rate(self) -> None:
        harness = FloodHarness()
        harness.core.set_workspaces(make_workspaces(100.0, 0.1))
        job = make_job(make_step(2), job_id=OTHER, workspace="b", queue=QUEUES[0])
        keys = {harness.core.order_key_of_new(job, wall=harness.wall) for _ in range(3)}
        assert len(keys) == 1
        harness.submit(job)
        assert harness.core.jobs_by_id[OTHER].is_within_rate

    @staticmethod
    def waiting_of(harness: Harness, job_id: str) -> WaitingStep:
        queue = harness.core._placer._queue
        steps = queue.in_order(now=harness.now, wall=harness.wall)
        return next(each for each in steps if each.job.job.job_id == job_id)


class TestReports:
    def test_a_workspace_above_its_share_has_a_line_and_one_when_it_is_back(self) -> None:
        harness = FloodHarness()
        harness.hand_in("b", make_step(1, cores=5_000))
        harness.step()
        for _ in range(2):
            harness.free(len(harness.running))
            harness.wait(SMOOTHING_S)
        events = [note.step for note in harness.core.take_notes() if "share" in note.step]
        assert events == ["workspace.above_share", "workspace.within_share"]

    def test_explain_tells_how_long_a_job_waited_for_its_share(self) -> None:
        lines = parse_lines(
            [
                line(1.0, "job.beyond_rate", "j", workspace="a"),
                line(1.0, "job.accepted", "j", queue="q", workspace="a"),
                line(1.0, "job.accepted", "k", queue="q", workspace="a"),
                line(2.0, "workspace.above_share", "a"),
                line(2.5, "workspace.above_share", "b"),
                line(4.0, "workspace.within_share", "a"),
                line(5.0, "run.assigned", "j", "0.0.0"),
                line(5.0, "run.assigned", "k", "0.0.0"),
            ]
        )
        wait, within_rate = waits_of(lines)
        assert within_rate.share_s == 0.0
        assert wait.share_s == pytest.approx(2.0)
        assert "(2.000 s with its workspace above its share)" in format_waits([wait], longest=1)[1]
