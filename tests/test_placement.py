"""Starts, cancellations and gangs through the placement core's public methods."""

from returns.result import Success

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import CancelVerdict, StartAnswer
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.resources import NOTHING
from galenastall.state.work import FinishedTask, TaskPhase, Workload
from placement_builders import (
    FakeListing,
    listed,
    make_core,
    make_task,
    make_worker,
    started,
)


class TestStarts:
    def test_unanswered_start_stays_reserved_until_a_listing_after_the_settle_time(self) -> None:
        core = make_core()
        core.enqueue([make_task("a/0", cores=4000)], 0.0)
        assert started(core.decide(0.0, 10)) == ["a/0"]
        core.on_start_answer(TaskId("a/0"), HostId("w1"), StartAnswer.UNKNOWN, 1.0)
        core.enqueue([make_task("b/0", cores=4000)], 1.0)
        core.on_listing(HostId("w1"), FakeListing(), 5.0)
        assert started(core.decide(5.0, 10)) == []
        report = core.on_listing(HostId("w1"), FakeListing(), 20.0)
        assert report.requeued == ("a/0",)

    def test_unknown_start_that_is_listed_is_confirmed(self) -> None:
        core = make_core()
        task = make_task("a/0")
        core.enqueue([task], 0.0)
        core.decide(0.0, 10)
        core.on_start_answer(task.task_id, HostId("w1"), StartAnswer.UNKNOWN, 1.0)
        report = core.on_listing(HostId("w1"), FakeListing(running=(listed(task),)), 5.0)
        assert report.confirmed == ("a/0",)
        placed = core.placed(task.task_id)
        assert placed is not None
        assert placed.phase is TaskPhase.RUNNING

    def test_overcommitted_adoption_admits_nothing(self) -> None:
        core = PlacementCore()
        running = [listed(make_task(f"a/{i}", cores=3000)) for i in range(2)]
        core.add_worker(make_worker(), Epoch(1), running, 0.0)
        core.enqueue([make_task("b/0", cores=1, memory=1)], 0.0)
        assert started(core.decide(0.0, 10)) == []


class TestCancel:
    def test_verdicts(self) -> None:
        core = make_core()
        core.enqueue([make_task("a/0"), make_task("a/1"), make_task("a/2", cores=4000)], 0.0)
        core.decide(0.0, 2)
        done = FinishedTask(task_id=TaskId("a/0"), attempt=0, ok=True, peak=NOTHING)
        core.on_finished(HostId("w1"), [done], 1.0)
        ids = [TaskId(f"a/{i}") for i in range(4)]
        assert list(core.cancel(ids, 1.0).values()) == [
            CancelVerdict.ALREADY_DONE,
            CancelVerdict.STOPPING,
            CancelVerdict.NEVER_STARTED,
            CancelVerdict.NOT_HERE,
        ]
        [batch] = core.decide(1.0, 10).by_worker
        assert [stop.task_id for stop in batch.stops] == ["a/1"]


class TestGangs:
    def test_all_or_none(self) -> None:
        core = make_core(make_worker("w1"), make_worker("w2"))
        gang = [make_task(f"g/{i}", cores=3000, workload=Workload.GANG) for i in range(3)]
        assert not isinstance(core.hold("g", gang, 0.0, 10.0), Success)
        held = core.hold("g", gang[:2], 0.0, 10.0).unwrap()
        assert set(held.worker_by_task.values()) == {"w1", "w2"}
        assert sorted(started(core.start_hold(held.hold_id, 1.0).unwrap())) == ["g/0", "g/1"]

    def test_hold_expires(self) -> None:
        core = make_core()
        gang = [make_task("g/0", cores=4000, workload=Workload.GANG)]
        held = core.hold("g", gang, 0.0, 10.0).unwrap()
        assert core.decide(10.0, 1).expired_holds == (held.hold_id,)
        assert core.hold("g", gang, 10.0, 20.0).unwrap().hold_id != held.hold_id
