"""The placement core as its driver uses it."""

from dataclasses import dataclass, field

from returns.result import Success

from galenastall.coordination.placement import PlacementCore
from galenastall.coordination.placement_commands import CancelVerdict, Decision, StartAnswer
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, Epoch, HostId, JobId, TaskId, TeamPath
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskPhase, TaskSpec, Urgency, Workload

ROOM = Resources(cores_milli=4000, memory_mb=4096)


def make_worker(name: str = "w1", *, capacity: Resources = ROOM, rack: str = "r1") -> ListedHost:
    return ListedHost(
        host_id=HostId(name),
        kind=HostKind.WORKER,
        data_centre=DataCentre("mapo"),
        rack=rack,
        capacity=capacity,
    )


def make_task(
    name: str = "j/0",
    *,
    cores: int = 1000,
    memory: int = 512,
    accelerators: int = 0,
    team: str = "board",
    urgency: Urgency = Urgency.NORMAL,
    workload: Workload = Workload.BATCH,
    deadline: float | None = None,
    checkpointable: bool = False,
    idempotent: bool = True,
    run_s: float | None = None,
    kind: str = "",
    attempt: int = 0,
) -> TaskSpec:
    return TaskSpec(
        task_id=TaskId(name),
        job_id=JobId(name.rpartition("/")[0]),
        team=TeamPath(team),
        workload=workload,
        urgency=urgency,
        resources=Resources(cores_milli=cores, memory_mb=memory, accelerators=accelerators),
        deadline=deadline,
        checkpointable=checkpointable,
        idempotent=idempotent,
        run_s=run_s,
        kind=kind,
        attempt=attempt,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class FakeListing:
    running: tuple[RunningTask, ...] = ()
    finished: tuple[FinishedTask, ...] = ()
    used: Resources = field(default_factory=Resources)


def listed(task: TaskSpec, *, reserved: Resources | None = None) -> RunningTask:
    return RunningTask(task=task, reserved=reserved or task.resources, epoch=1, lease_until=60.0)


def started(decision: Decision) -> list[str]:
    return [start.task.task_id for batch in decision.by_worker for start in batch.starts]


def make_core(*workers: ListedHost) -> PlacementCore:
    core = PlacementCore()
    for worker in workers or (make_worker(),):
        core.add_worker(worker, Epoch(1), (), 0.0)
    return core


class TestStarts:
    def test_unanswered_start_keeps_its_room_until_a_listing_after_the_settle_time(self) -> None:
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
