"""Gangs are held completely or not at all, and two gangs over two owners never deadlock."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import HoldId, WorkerState
from galenastall.state.errors import Reason
from galenastall.state.resources import Resources
from galenastall.state.work import TaskPhase, TaskSpec, Urgency, Workload
from placement_builders import W1, W2, ended, make_core, make_task, make_worker, run

HOLD_S = 5.0


def gang_of(name: str, size: int, cores: int = 3000) -> list[TaskSpec]:
    return [
        make_task(f"{name}/{index}", cores=cores, workload=Workload.GANG) for index in range(size)
    ]


class Starter:
    """Starts one gang over owners in host id order, as the job's shard does."""

    def __init__(self, name: str, parts: list[tuple[PlacementCore, list[TaskSpec]]]) -> None:
        self.name = name
        self.parts = parts
        self.held: list[tuple[PlacementCore, HoldId]] = []
        self.is_started = False

    def step(self, now: float) -> None:
        """Hold the next part; start all parts once held, or release all if one can't be held."""
        if self.is_started:
            return
        core, tasks = self.parts[len(self.held)]
        hold = core.hold(self.name, tasks, now, now + HOLD_S)
        if isinstance(hold, Failure):
            self.release()
            return
        self.held.append((core, hold.unwrap().hold_id))
        if len(self.held) < len(self.parts):
            return
        if not all(owner.extend_hold(hold_id, now, now + HOLD_S) for owner, hold_id in self.held):
            self.release()
            return
        begun = [owner.start_hold(hold_id, now) for owner, hold_id in self.held]
        assert all(isinstance(one, Success) for one in begun)
        self.is_started = True

    def release(self) -> None:
        for core, hold_id in self.held:
            core.release_hold(hold_id)
        self.held.clear()


class TestGangs:
    def test_a_gang_that_fails_leaves_nothing_held(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2"))
        assert isinstance(core.hold("g", gang_of("g", 3), 0.0, HOLD_S), Failure)
        assert core.on_worker(W1) == core.on_worker(W2) == ()

    def test_capacity_stays_promised_to_the_first_waiting_gang(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2"))
        run(core, make_task("small/0", cores=2000, run_s=60.0))
        gang = gang_of("g", 2)
        assert isinstance(core.hold("g", gang, 0.0, HOLD_S), Failure)
        assert run(core, make_task("next/0", cores=2000), now=1.0) == {}
        done = core.on_worker(W1) + core.on_worker(W2)
        assert [placed.task.task_id for placed in done] == ["small/0"]
        core.on_finished(done[0].worker_id, [ended("small/0")], 1.0)
        assert isinstance(core.hold("g", gang, 2.0, 2.0 + HOLD_S), Success)

    def test_a_gang_that_can_never_fit_blocks_nobody(self) -> None:
        core = make_core()
        run(core, make_task("service/0", workload=Workload.SERVICE))
        hold = core.hold("g", gang_of("g", 1, cores=4000), 0.0, HOLD_S)
        assert isinstance(hold, Failure)
        assert list(run(core, make_task("next/0", cores=3000))) == ["next/0"]

    def test_impossible_gangs_are_refused_with_the_reason(self) -> None:
        error = make_core().hold("g", gang_of("g", 1, cores=9000), 0.0, HOLD_S).failure()
        assert error.reason is Reason.REFUSED
        assert "largest worker has 4 cores" in error.detail

    def test_a_hold_whose_worker_was_lost_does_not_start_in_part(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2"))
        held = core.hold("g", gang_of("g", 2), 0.0, HOLD_S).unwrap()
        core.set_worker_state(W2, WorkerState.LEAVING)
        assert core.start_hold(held.hold_id, 1.0).failure().reason is Reason.CONFLICT
        assert core.on_worker(W1) == core.on_worker(W2) == ()

    def test_urgent_gangs_preempt_lower_classes(self) -> None:
        core = make_core()
        run(core, make_task("low/0", cores=4000, checkpointable=True))
        gang = [make_task("g/0", cores=3000, workload=Workload.GANG, urgency=Urgency.URGENT)]
        assert isinstance(core.hold("g", gang, 0.0, HOLD_S), Failure)
        [batch] = core.decide(0.0, 10).by_worker
        assert [command.task_id for command in batch.checkpoints] == ["low/0"]

    @given(st.lists(st.sampled_from("ab"), min_size=1, max_size=40))
    def test_two_gangs_over_two_owners_both_start_eventually(self, order: list[str]) -> None:
        """Each gang needs all capacity of both owners; none runs in part and none deadlocks."""
        capacity = Resources(cores_milli=4000, memory_mb=4096)
        owners = [make_core(make_worker("w1", capacity=capacity)), make_core(make_worker("w2"))]
        gangs = {
            name: Starter(name, [(core, gang_of(f"{name}{i}", 1)) for i, core in enumerate(owners)])
            for name in "ab"
        }
        now = 0.0
        for name in [*order, *"abababab"]:
            now += 1.0
            for core in owners:
                core.decide(now, 10)
            gangs[name].step(now)
            running = [
                {
                    p.task.task_id[0]
                    for w in (W1, W2)
                    for p in core.on_worker(w)
                    if is_begun(p.phase)
                }
                for core in owners
            ]
            assert running[0] == running[1]
        [first] = [gang for gang in gangs.values() if gang.is_started]
        for core in owners:
            for worker in (W1, W2):
                begun = [p.task.task_id for p in core.on_worker(worker) if is_begun(p.phase)]
                core.on_finished(worker, [ended(task_id) for task_id in begun], now)
        [second] = [gang for gang in gangs.values() if gang is not first]
        for _ in range(8):
            now += 1.0
            second.step(now)
        assert second.is_started


def is_begun(phase: TaskPhase) -> bool:
    return phase is not TaskPhase.HELD


class TestLearnedSizes:
    def test_a_gang_is_held_by_its_need_where_what_is_learned_finds_no_room(self) -> None:
        core = make_core()
        for index in range(2):
            run(core, make_task(f"g/{index}", kind="k"))
            peak = Resources(cores_milli=4000, memory_mb=512)
            core.on_finished(W1, [ended(f"g/{index}", peak=peak)], 1.0)
        gang = [make_task(f"g/{index}", workload=Workload.GANG, kind="k") for index in (2, 3)]
        assert isinstance(core.hold("g", gang, 2.0, 2.0 + HOLD_S), Success)
