"""Order of waiting tasks: deadlines, dominant shares, quotas and the starvation bound."""

from collections import Counter

import pytest

from galenastall.coordination.placement.placement_commands import (
    CancelVerdict,
    RefusalReason,
    TeamShare,
)
from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.state.errors import UnknownNameError
from galenastall.state.ids import TaskId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, Urgency
from placement_builders import (
    W1,
    make_core,
    make_task,
    make_worker,
    places,
    quotas,
    run,
    started,
)

BIG = Resources(cores_milli=100_000, memory_mb=100_000)


class TestOrder:
    def test_urgent_go_by_deadline_then_normal_then_backfill(self) -> None:
        core = make_core(make_worker(capacity=BIG))
        core.enqueue(
            [
                make_task("backfill/0", urgency=Urgency.BACKFILL),
                make_task("normal/0"),
                make_task("late/0", urgency=Urgency.URGENT, deadline=900.0),
                make_task("never/0", urgency=Urgency.URGENT),
                make_task("soon/0", urgency=Urgency.URGENT, deadline=100.0),
            ],
            0.0,
        )
        expected = ["soon/0", "late/0", "never/0", "normal/0", "backfill/0"]
        assert started(core.decide(0.0, 10)) == expected

    def test_dominant_shares_are_equalised(self) -> None:
        """The example of the paper on dominant resource fairness: 3 tasks to 2."""
        core = make_core(make_worker(capacity=Resources(cores_milli=9000, memory_mb=18_000)))
        for index in range(10):
            a = make_task(f"a{index}/0", cores=1000, memory=4000, team="a")
            b = make_task(f"b{index}/0", cores=3000, memory=1000, team="b")
            core.enqueue([a, b], 0.0)
        assert Counter(name[0] for name in started(core.decide(0.0, 20))) == {"a": 3, "b": 2}

    def test_weights_scale_shares(self) -> None:
        shares = {TeamPath("a"): TeamShare(weight=3.0), TeamPath("b"): TeamShare(weight=1.0)}
        settings = PlacementSettings(teams_by_path=shares)
        worker = make_worker(capacity=Resources(cores_milli=40_000, memory_mb=40_000))
        core = make_core(worker, settings=settings)
        for team in "ab":
            core.enqueue([make_task(f"{team}/{i}", team=team) for i in range(60)], 0.0)
        assert Counter(name[0] for name in started(core.decide(0.0, 40))) == {"a": 30, "b": 10}

    def test_quota_holds_and_frees_with_ends_and_counts_other_owners(self) -> None:
        core = make_core(make_worker(capacity=BIG), settings=quotas(a=3000))
        first = run(core, *[make_task(f"a/{i}", team="a") for i in range(5)])
        assert len(first) == 3
        assert "quota" in core.explain(TaskId("a/4"))[0]
        done = FinishedTask(task_id=TaskId("a/0"), attempt=0, ok=True)
        core.on_finished(W1, [done], 1.0)
        core.set_reserved_elsewhere({TeamPath("a"): Resources(cores_milli=1000)})
        assert started(core.decide(1.0, 10)) == []
        core.set_reserved_elsewhere({})
        assert started(core.decide(1.0, 10)) == ["a/3"]

    def test_a_quota_bounds_all_teams_below(self) -> None:
        core = make_core(make_worker(capacity=BIG), settings=quotas(a=3000))
        tasks = [make_task(f"{name}/{i}", team=f"a/{name}") for name in "xy" for i in range(3)]
        placed = run(core, *tasks)
        assert len(placed) == 3
        assert core.reserved_by_team().keys() == {"a/x", "a/y"}
        one = next(iter(placed))
        core.on_finished(W1, [FinishedTask(task_id=TaskId(one), attempt=0, ok=True)], 1.0)
        assert len(started(core.decide(1.0, 10))) == 1
        core.set_reserved_elsewhere({TeamPath("a/z"): Resources(cores_milli=500)})
        waiting = [task.task_id for task in tasks if core.placed(task.task_id) is None]
        assert "The quota of a is 3 cores" in " ".join(core.explain(waiting[-1]))

    def test_backfill_starves_after_a_time_of_its_own(self) -> None:
        settings = PlacementSettings(starvation_s=60.0, backfill_starvation_s=3600.0)
        core = make_core(settings=settings)
        run(core, make_task("running/0", cores=4000))
        core.enqueue([make_task("b/0", cores=4000, urgency=Urgency.BACKFILL)], 0.0)
        core.decide(3599.0, 10)
        assert "kept for it" not in " ".join(core.explain(TaskId("b/0")))
        core.decide(3600.0, 10)
        assert "kept for it" in " ".join(core.explain(TaskId("b/0")))

    def test_urgent_tasks_at_their_quota_hold_up_no_other_team(self) -> None:
        core = make_core(make_worker(capacity=BIG), settings=quotas(a=1000))
        mine = [make_task(f"a/{i}", team="a", urgency=Urgency.URGENT) for i in range(100)]
        other = make_task("b/0", team="b", urgency=Urgency.URGENT)
        core.enqueue([*mine, other], 0.0)
        assert started(core.decide(0.0, 10)) == ["a/0", "b/0"]
        core.on_finished(W1, [FinishedTask(task_id=TaskId("a/0"), attempt=0, ok=True)], 1.0)
        assert started(core.decide(1.0, 10)) == ["a/1"]
        assert core.summary().waiting_by_class["urgent"] == 98
        assert set(core.cancel([task.task_id for task in mine[2:]], 1.0).values()) == {
            CancelVerdict.NEVER_STARTED
        }
        assert core.summary().waiting_by_class["urgent"] == 0

    def test_starving_tasks_at_their_quota_hold_up_no_other_team(self) -> None:
        core = make_core(make_worker(capacity=BIG), settings=quotas(a=1000))
        run(core, make_task("first/0", team="a"))
        core.enqueue([make_task(f"a{i}/0", team="a") for i in range(10)], 0.0)
        core.enqueue([make_task("b/0", team="b", cores=99_500)], 0.0)
        core.decide(700.0, 10)
        assert "kept for it" in " ".join(core.explain(TaskId("b/0")))

    def test_more_than_the_quota_is_impossible(self) -> None:
        core = make_core(make_worker(capacity=BIG), settings=quotas(a=3000))
        core.enqueue([make_task("a/0", team="a", cores=3001)], 0.0)
        [refusal] = core.decide(0.0, 10).refusals
        assert refusal.reason is RefusalReason.IMPOSSIBLE
        assert "quota of a is 3 cores" in refusal.detail

    def test_unknown_policy_is_refused_by_name(self) -> None:
        with pytest.raises(UnknownNameError, match="best_of_all"):
            make_core(settings=PlacementSettings(policies_by_class={"urgent": "best_of_all"}))


class TestStarvation:
    SETTINGS = PlacementSettings(starvation_s=60.0, overdue_every=4)

    def test_a_starving_task_is_among_the_next_few_whatever_is_urgent(self) -> None:
        core = make_core(make_worker(capacity=BIG), settings=self.SETTINGS)
        core.enqueue([make_task("old/0", urgency=Urgency.BACKFILL)], 0.0)
        core.enqueue([make_task(f"u/{i}", urgency=Urgency.URGENT) for i in range(50)], 0.0)
        order: list[str] = []
        for _ in range(4):
            order += started(core.decide(60.0, 1))
        assert "old/0" in order

    def test_a_large_task_starts_though_small_ones_never_stop_coming(self) -> None:
        """Bound: the starvation time plus the longest run on the worker promised to it."""
        run_s = 10.0
        core = make_core(settings=self.SETTINGS)
        run(core, *[make_task(f"s0/{i}", run_s=run_s) for i in range(4)])
        core.enqueue([make_task("large/0", cores=4000, team="other")], 0.0)
        ends = {f"s0/{i}": 1.0 + i * run_s / 4 for i in range(4)}
        now, count, at = 0.0, 0, None
        while at is None and now < 200.0:
            now += 0.5
            count += 1
            core.enqueue([make_task(f"s{count}/0", run_s=run_s)], now)
            for name in [name for name, end in ends.items() if end <= now]:
                del ends[name]
                done = FinishedTask(task_id=TaskId(name), attempt=0, ok=True)
                core.on_finished(W1, [done], now)
            for name in places(core.decide(now, 10)):
                ends[name] = now + run_s
                at = now if name == "large/0" else at
        assert at is not None
        assert 60.0 <= at <= 60.0 + run_s + 1.0

    def test_short_batch_tasks_backfill_promised_capacity_and_long_ones_do_not(self) -> None:
        core = make_core(settings=self.SETTINGS)
        run(core, make_task("running/0", cores=2000, run_s=100.0))
        core.enqueue([make_task("large/0", cores=4000)], 0.0)
        core.decide(61.0, 10)
        core.enqueue(
            [make_task("short/0", run_s=10.0), make_task("long/0", run_s=60.0)],
            61.0,
        )
        assert started(core.decide(61.0, 10)) == ["short/0"]
