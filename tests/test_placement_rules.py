"""Preemption, overruns, quarantine, estimates, impossible tasks, drains and reconciliation."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.coordination.placement.estimates import DecayedHistogram
from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import (
    CommandAnswer,
    CommandKind,
    Decision,
    EndAdvice,
    RefusalReason,
    StartAnswer,
    WorkerState,
)
from galenastall.state.ids import HostId, TaskId
from galenastall.state.resources import Resources
from galenastall.state.work import TaskPhase, TaskSpec, Urgency, Workload
from placement_builders import (
    DEFAULT_CAPACITY,
    W1,
    W2,
    FakeListing,
    commanded,
    ended,
    interrupted,
    listed,
    make_core,
    make_task,
    make_worker,
    places,
    run,
    started,
)

urgencies = st.sampled_from(list(Urgency))


def urgent(name: str = "u/0", *, cores: int = 4000) -> TaskSpec:
    return make_task(name, cores=cores, urgency=Urgency.URGENT)


class TestPreemption:
    @pytest.mark.parametrize(
        ("victim", "kind"),
        [
            (make_task("v/0", checkpointable=True), CommandKind.CHECKPOINT),
            (make_task("v/0"), CommandKind.STOP),
            (make_task("v/0", idempotent=False), None),
            (make_task("v/0", idempotent=False, checkpointable=True), CommandKind.CHECKPOINT),
            (make_task("v/0", urgency=Urgency.URGENT, checkpointable=True), None),
            (make_task("v/0", workload=Workload.GANG, checkpointable=True), None),
        ],
    )
    def test_preemption_victims_and_commands(
        self, victim: TaskSpec, kind: CommandKind | None
    ) -> None:
        core = make_core()
        run(core, victim)
        core.enqueue([urgent()], 1.0)
        decision = core.decide(1.0, 10)
        expected = [] if kind is None else ["v/0"]
        for command in (CommandKind.CHECKPOINT, CommandKind.STOP):
            assert commanded(decision, command) == (expected if command is kind else [])

    @given(st.lists(st.tuples(urgencies, st.booleans()), min_size=1, max_size=4), urgencies)
    def test_only_lower_classes_ever(
        self, running: list[tuple[Urgency, bool]], newcomer: Urgency
    ) -> None:
        core = make_core()
        classes = {}
        for index, (urgency, checkpointable) in enumerate(running):
            task = make_task(f"r{index}/0", urgency=urgency, checkpointable=checkpointable)
            run(core, task)
            classes[task.task_id] = urgency
        core.enqueue([make_task("new/0", cores=4000, urgency=newcomer)], 700.0)
        for now in (700.0, 1400.0):
            decision = core.decide(now, 10)
            for command in (CommandKind.CHECKPOINT, CommandKind.STOP):
                names = commanded(decision, command)
                assert all(classes[TaskId(name)] > newcomer for name in names)

    def test_freed_capacity_is_kept_for_the_urgent_task_and_the_victim_is_requeued(self) -> None:
        core = make_core()
        run(core, make_task("v/0", cores=4000, checkpointable=True))
        core.enqueue([urgent()], 1.0)
        core.decide(1.0, 10)
        core.enqueue([make_task("small/0", cores=1)], 1.5)
        answer = (TaskId("v/0"), W1, CommandKind.CHECKPOINT, CommandAnswer.DONE, 2.0)
        assert core.on_command_answer(*answer) is TaskPhase.WAITING
        assert started(core.decide(2.0, 10)) == ["u/0"]
        core.on_finished(W1, [ended("u/0")], 3.0)
        decision = core.decide(3.0, 10)
        assert started(decision) == ["v/0"]
        assert [s.task.attempt for b in decision.by_worker for s in b.starts] == [1]

    def test_no_more_victims_than_needed_and_the_cheapest(self) -> None:
        core = make_core()
        run(core, make_task("old/0", cores=2000), now=0.0)
        run(core, make_task("new/0", cores=1000), make_task("new/1", cores=1000), now=90.0)
        core.enqueue([urgent(cores=1500)], 100.0)
        assert sorted(commanded(core.decide(100.0, 10), CommandKind.STOP)) == ["new/0", "new/1"]

    def test_a_stop_without_answer_is_repeated_until_the_listing_shows_it_gone(self) -> None:
        core = make_core()
        task = make_task("v/0")
        run(core, task)
        core.enqueue([urgent()], 1.0)
        core.decide(1.0, 10)
        core.on_command_answer(task.task_id, W1, CommandKind.STOP, CommandAnswer.UNKNOWN, 1.0)
        core.on_listing(W1, FakeListing(running=(listed(task),)), 7.0)
        assert commanded(core.decide(7.0, 10), CommandKind.STOP) == ["v/0"]
        assert core.on_listing(W1, FakeListing(), 8.0).requeued == ("v/0",)


class TestOverrun:
    @pytest.mark.parametrize(
        ("share", "kind"),
        [(0.5, None), (0.86, CommandKind.THROTTLE), (0.93, CommandKind.CHECKPOINT)],
    )
    def test_commands_escalate_with_memory_pressure(
        self, share: float, kind: CommandKind | None
    ) -> None:
        core = make_core()
        run(core, make_task("a/0", memory=2048, checkpointable=True), make_task("b/0", memory=1024))
        used = Resources(memory_mb=int(4096 * share))
        by_task = {TaskId("a/0"): Resources(memory_mb=used.memory_mb - 1024)}
        core.on_usage(W1, used, by_task, 1.0)
        core.on_usage(W1, used, by_task, 2.0)
        decision = core.decide(2.0, 10)
        for command in CommandKind:
            # Overrunning tasks are throttled in addition to any stronger command.
            hit = kind is not None and command in (kind, CommandKind.THROTTLE)
            assert bool(commanded(decision, command)) is hit

    def test_the_lowest_class_is_stopped_and_nothing_new_started(self) -> None:
        core = make_core()
        run(
            core,
            make_task("normal/0", memory=1024),
            make_task("backfill/0", memory=1024, urgency=Urgency.BACKFILL),
        )
        used = Resources(memory_mb=4050)
        half = Resources(memory_mb=2025)
        by_task = {TaskId("normal/0"): half, TaskId("backfill/0"): half}
        core.on_usage(W1, used, by_task, 1.0)
        core.enqueue([make_task("next/0", cores=1, memory=1)], 1.0)
        decision = core.decide(1.0, 10)
        assert commanded(decision, CommandKind.STOP) == ["backfill/0"]
        assert started(decision) == []
        core.on_usage(W1, Resources(memory_mb=1000), {}, 2.0)
        assert started(core.decide(2.0, 10)) == ["next/0"]

    def test_reservations_grow_to_measured_usage(self) -> None:
        core = make_core()
        run(core, make_task("a/0", memory=1000))
        core.on_usage(W1, Resources(memory_mb=3000), {TaskId("a/0"): Resources(memory_mb=3000)}, 1)
        core.enqueue([make_task("b/0", memory=2000)], 1.0)
        assert started(core.decide(1.0, 10)) == []


class TestOverrunOfTasksThatMustNotRunTwice:
    def press(self, core: PlacementCore, used_mb: int = 4050, now: float = 1.0) -> Decision:
        used = Resources(memory_mb=used_mb)
        core.on_usage(W1, used, {TaskId("once/0"): used}, now)
        return core.decide(now, 10)

    def test_it_is_stopped_last_of_all_and_ends_as_failed_with_the_reason(self) -> None:
        core = make_core()
        once = make_task("once/0", memory=1024, idempotent=False)
        run(core, once)
        assert commanded(self.press(core), CommandKind.STOP) == ["once/0"]
        answer = CommandAnswer.DONE
        phase = core.on_command_answer(once.task_id, W1, CommandKind.STOP, answer, 2.0)
        assert phase is TaskPhase.RUNNING
        report = core.on_listing(W1, FakeListing(finished=(interrupted("once/0", "stopped"),)), 3.0)
        [end] = report.ended
        assert end.advice is EndAdvice.RETRY
        assert end.detail == "stopped: w1 is expected to use 4050 of 4096 MB"
        assert started(core.decide(4.0, 10)) == []
        assert core.quarantined() == ()

    def test_it_is_never_stopped_while_it_keeps_to_its_reservation(self) -> None:
        core = make_core()
        run(core, make_task("once/0", memory=3600, idempotent=False), make_task("b/0", memory=100))
        by_task = {
            TaskId("once/0"): Resources(memory_mb=3600),
            TaskId("b/0"): Resources(memory_mb=496),
        }
        core.on_usage(W1, Resources(memory_mb=4096), by_task, 1.0)
        assert commanded(core.decide(1.0, 10), CommandKind.STOP) == ["b/0"]

    @pytest.mark.parametrize(
        ("detail", "is_again"), [("checkpointed", True), ("failed", False), ("stopped", False)]
    )
    def test_only_a_checkpoint_that_was_made_lets_it_start_again(
        self, detail: str, is_again: bool
    ) -> None:
        core = make_core()
        run(core, make_task("once/0", memory=1024, idempotent=False, checkpointable=True))
        assert commanded(self.press(core), CommandKind.CHECKPOINT) == ["once/0"]
        core.on_finished(W1, [interrupted("once/0", detail)], 2.0)
        core.on_usage(W1, Resources(), {}, 3.0)
        assert started(core.decide(3.0, 10)) == (["once/0"] if is_again else [])

    def test_an_unseen_end_after_a_checkpoint_was_asked_for_is_not_run_again(self) -> None:
        core = make_core()
        run(core, make_task("once/0", memory=1024, idempotent=False, checkpointable=True))
        self.press(core)
        report = core.on_listing(W1, FakeListing(), 3.0)
        assert [task.task_id for task in report.lapsed] == ["once/0"]
        assert started(core.decide(4.0, 10)) == []


class TestFloorOfOverruns:
    def overrun(self, core: PlacementCore, task: TaskSpec, used_mb: int, now: float) -> None:
        used = Resources(memory_mb=used_mb)
        core.on_usage(W1, used, {task.task_id: used}, now)
        assert commanded(core.decide(now, 10), CommandKind.STOP) == [task.task_id]
        core.on_command_answer(task.task_id, W1, CommandKind.STOP, CommandAnswer.DONE, now)
        core.on_usage(W1, Resources(), {}, now + 1)

    def test_the_next_attempt_reserves_at_least_what_was_measured(self) -> None:
        core = make_core()
        task = make_task("a/0", memory=512)
        run(core, task)
        self.overrun(core, task, 4000, 1.0)
        [batch] = core.decide(3.0, 10).by_worker
        [start] = batch.starts
        assert (start.task.attempt, start.reserved.memory_mb) == (1, 4096)

    def test_a_task_that_used_more_than_any_worker_has_is_refused_with_the_reason(self) -> None:
        core = make_core()
        task = make_task("a/0", memory=512)
        run(core, task)
        self.overrun(core, task, 5000, 1.0)
        decision = core.decide(3.0, 10)
        [refusal] = decision.refusals
        assert started(decision) == []
        assert refusal.reason is RefusalReason.IMPOSSIBLE
        assert "needs 1 cores and 5000 MB; the largest worker has" in refusal.detail
        assert refusal.need.memory_mb == 5000

    def test_what_a_running_task_overuses_is_reserved_for_the_next_of_its_job(self) -> None:
        core = make_core()
        run(core, make_task("j/0", memory=512, kind="k"))
        used = Resources(memory_mb=1000)
        core.on_usage(W1, used, {TaskId("j/0"): used}, 1.0)
        core.enqueue([make_task("j/1", memory=512, kind="k")], 1.0)
        [batch] = core.decide(1.0, 10).by_worker
        assert [start.reserved.memory_mb for start in batch.starts] == [1050]

    def test_learned_sizes_beyond_every_worker_or_quota_are_not_waited_for(self) -> None:
        wide = make_worker("w1", capacity=Resources(cores_milli=8000, memory_mb=1024))
        tall = make_worker("w2", capacity=Resources(cores_milli=1000, memory_mb=8192))
        core = make_core(wide, tall)
        for index in range(2):
            run(core, make_task(f"j/{index}", cores=500, kind="k"))
            peak = Resources(cores_milli=6000, memory_mb=6000)
            where = core.placed(TaskId(f"j/{index}"))
            assert where is not None
            core.on_finished(where.worker_id, [ended(f"j/{index}", peak=peak)], 1.0)
        assert run(core, make_task("j/2", cores=500, kind="k"), now=2.0)


class TestQuarantine:
    def fail(self, core: PlacementCore, name: str, where: str, now: float) -> EndAdvice:
        [end] = core.on_finished(HostId(where), [ended(name, ok=False)], now)
        return end.advice

    def test_failures_of_different_jobs_quarantine_the_worker(self) -> None:
        core = make_core()
        for index in range(3):
            run(core, make_task(f"job{index}/0"))
            assert self.fail(core, f"job{index}/0", "w1", 1.0) is EndAdvice.RETRY
        assert core.quarantined() == (W1,)
        core.enqueue([make_task("next/0"), make_task("next/1")], 2.0)
        assert started(core.decide(2.0, 10)) == []
        assert started(core.decide(31.0, 10)) == ["next/0"]
        [end] = core.on_finished(W1, [ended("next/0")], 32.0)
        assert "out of quarantine" in end.worker_change
        assert started(core.decide(32.0, 10)) == ["next/1"]

    @pytest.mark.parametrize("detail", ["lease_lapsed", "stopped", "checkpointed"])
    def test_interrupted_runs_count_against_nobody(self, detail: str) -> None:
        core = make_core()
        for index in range(4):
            run(core, make_task(f"job{index}/0"))
            [end] = core.on_finished(W1, [interrupted(f"job{index}/0", detail)], 1.0)
            assert end.advice is EndAdvice.RETRY
        assert core.quarantined() == ()

    def test_a_failed_probe_doubles_the_wait(self) -> None:
        core = make_core()
        for index in range(3):
            run(core, make_task(f"job{index}/0"))
            self.fail(core, f"job{index}/0", "w1", 1.0)
        run(core, make_task("p/0"), now=31.0)
        self.fail(core, "p/0", "w1", 32.0)
        core.enqueue([make_task("p/1")], 33.0)
        assert started(core.decide(80.0, 10)) == []
        assert started(core.decide(92.0, 10)) == ["p/1"]

    def test_one_job_failing_on_different_workers_is_given_up_with_its_history(self) -> None:
        core = make_core(*[make_worker(f"w{index}") for index in range(4)])
        for index in range(4):
            run(core, make_task(f"fine{index}/0", cores=3500))
        used: set[str] = set()
        advice = EndAdvice.RETRY
        for attempt in range(3):
            [where] = run(core, make_task(f"bad/{attempt}", cores=500)).values()
            assert where not in used
            used.add(where)
            advice = self.fail(core, f"bad/{attempt}", where, 1.0)
        assert advice is EndAdvice.GIVE_UP
        assert core.quarantined() == ()
        core.enqueue([make_task("bad/9", cores=500)], 2.0)
        [refusal] = core.decide(2.0, 10).refusals
        assert refusal.reason is RefusalReason.BAD_JOB
        assert all(f"{worker}: exit status 1" in refusal.detail for worker in used)

    def test_a_bad_worker_does_not_make_jobs_bad(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2"))
        core.set_worker_state(W2, WorkerState.LEAVING)
        for index in range(3):
            run(core, make_task(f"job{index}/0"))
            self.fail(core, f"job{index}/0", "w1", 1.0)
        core.set_worker_state(W2, WorkerState.LIVE)
        again = {f"job{index}/1": "w2" for index in range(3)}
        assert run(core, *[make_task(name) for name in again], now=2.0) == again


class TestEstimates:
    def learn(self, core: PlacementCore, peak: Resources, run_s: float = 10.0) -> None:
        for index in range(16):
            name = f"t{index}/0"
            run(core, make_task(name, kind="pack"))
            core.on_finished(W1, [ended(name, peak=peak, run_s=run_s)], 1.0)

    def reserved(self, core: PlacementCore, task: TaskSpec) -> Resources:
        run(core, task)
        placed = core.placed(task.task_id)
        assert placed is not None
        return placed.reserved

    def test_the_larger_of_declared_and_learned_is_reserved(self) -> None:
        core = make_core()
        self.learn(core, Resources(cores_milli=500, memory_mb=2000))
        got = self.reserved(core, make_task("x/0", kind="pack", cores=1000, memory=512))
        assert got.cores_milli == 1000
        assert 2000 <= got.memory_mb <= 2200

    def test_learning_never_makes_a_task_larger_than_the_largest_worker(self) -> None:
        core = make_core()
        self.learn(core, Resources(cores_milli=9000, memory_mb=9000))
        assert self.reserved(core, make_task("x/0", kind="pack")) == DEFAULT_CAPACITY

    def test_what_the_job_itself_used_counts_before_its_kind(self) -> None:
        core = make_core()
        self.learn(core, Resources(cores_milli=500, memory_mb=2000))
        for index in range(2):
            run(core, make_task(f"x/{index}", kind="pack"))
            peak = Resources(cores_milli=100, memory_mb=800)
            core.on_finished(W1, [ended(f"x/{index}", peak=peak)], 1.0)
        assert self.reserved(core, make_task("x/2", kind="pack")).memory_mb == 840

    def test_kinds_and_teams_are_learned_separately(self) -> None:
        core = make_core()
        self.learn(core, Resources(cores_milli=500, memory_mb=2000))
        for task in (make_task("x/0", kind="other"), make_task("y/0", kind="pack", team="else")):
            assert self.reserved(core, task) == task.resources

    @given(st.lists(st.floats(1.0, 1e6), min_size=1, max_size=200))
    def test_quantiles_are_upper_bounds_within_a_tenth(self, values: list[float]) -> None:
        histogram = DecayedHistogram()
        for value in values:
            histogram.record(value)
        ranked = sorted(values)
        exact = ranked[-(-len(ranked) * 9 // 10) - 1]
        assert exact * 0.999 <= histogram.quantile(0.9) <= exact * 1.1


class TestImpossible:
    def test_larger_than_the_largest_worker(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2", capacity=Resources(cores_milli=9000)))
        core.enqueue([make_task("x/0", cores=9000, memory=1)], 0.0)
        [refusal] = core.decide(0.0, 10).refusals
        assert refusal.reason is RefusalReason.IMPOSSIBLE
        assert "needs 9 cores and 1 MB; the largest worker has 9 cores and 0 MB" in refusal.detail

    def test_waits_while_no_worker_is_known(self) -> None:
        core = PlacementCore()
        core.enqueue([make_task("x/0", cores=9000)], 0.0)
        assert core.decide(0.0, 10).refusals == ()
        assert "no workers yet" in core.explain(TaskId("x/0"))[-1]


class TestDrain:
    def test_checkpointable_tasks_of_a_drained_worker_move(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2"))
        [where] = run(core, make_task("x/0", checkpointable=True)).values()
        run(core, make_task("y/0"))
        core.drain_worker(HostId(where))
        assert commanded(core.decide(1.0, 10), CommandKind.CHECKPOINT) == ["x/0"]
        answer = (CommandKind.CHECKPOINT, CommandAnswer.DONE, 2.0)
        core.on_command_answer(TaskId("x/0"), HostId(where), *answer)
        [again] = places(core.decide(2.0, 10)).values()
        assert again != where


class TestReconciliation:
    def test_a_listed_end_keeps_a_waiting_task_from_running_again(self) -> None:
        core = make_core()
        core.enqueue([make_task("x/0")], 0.0)
        report = core.on_listing(W1, FakeListing(finished=(ended("x/0"),)), 1.0)
        assert [end.advice for end in report.ended] == [EndAdvice.DONE]
        assert started(core.decide(1.0, 10)) == []

    def test_a_duplicate_run_takes_capacity_and_is_stopped(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2"))
        task = make_task("x/0", cores=4000)
        [first] = run(core, task).values()
        other = W2 if first == "w1" else W1
        report = core.on_listing(other, FakeListing(running=(listed(task),)), 1.0)
        assert report.duplicates == ("x/0",)
        core.enqueue([make_task("y/0")], 1.0)
        decision = core.decide(1.0, 10)
        assert places(decision) == {}
        assert commanded(decision, CommandKind.STOP) == ["x/0"]
        core.on_listing(other, FakeListing(), 2.0)
        assert places(core.decide(2.0, 10)) == {"y/0": other}

    @pytest.mark.parametrize(
        ("idempotent", "expected"),
        [(True, (("x/0",), ())), (False, ((), ("x/0",)))],
    )
    def test_a_start_that_may_have_run_is_repeated_only_if_idempotent(
        self, idempotent: bool, expected: tuple[tuple[str, ...], tuple[str, ...]]
    ) -> None:
        core = make_core()
        core.enqueue([make_task("x/0", idempotent=idempotent)], 0.0)
        core.decide(0.0, 10)
        core.on_start_answer(TaskId("x/0"), W1, StartAnswer.UNKNOWN, 0.0)
        report = core.on_listing(W1, FakeListing(), 20.0)
        assert (report.requeued, tuple(task.task_id for task in report.lapsed)) == expected

    def test_a_listing_asked_for_before_a_start_proves_nothing(self) -> None:
        core = make_core()
        run(core, make_task("x/0"), now=5.0)
        assert core.on_listing(W1, FakeListing(), 6.0, asked_at=4.0).lapsed == ()
        assert [t.task_id for t in core.on_listing(W1, FakeListing(), 7.0).lapsed] == ["x/0"]

    def test_a_cancelled_start_that_was_refused_is_final(self) -> None:
        core = make_core()
        core.enqueue([make_task("x/0")], 0.0)
        core.decide(0.0, 10)
        core.cancel([TaskId("x/0")], 0.0)
        answer = StartAnswer.REFUSED
        assert core.on_start_answer(TaskId("x/0"), W1, answer, 0.0) is TaskPhase.CANCELLED
        assert started(core.decide(5.0, 10)) == []
