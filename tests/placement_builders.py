"""Builders of workers, tasks and cores for the placement tests."""

from dataclasses import dataclass, field

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import (
    CommandKind,
    Decision,
    StartAnswer,
    TeamShare,
)
from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, Epoch, HostId, JobId, TaskId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, RunningTask, TaskSpec, Urgency, Workload

DEFAULT_CAPACITY = Resources(cores_milli=4000, memory_mb=4096)
W1 = HostId("w1")
W2 = HostId("w2")
W3 = HostId("w3")


def make_worker(
    name: str = "w1", *, capacity: Resources = DEFAULT_CAPACITY, rack: str = "r1"
) -> ListedHost:
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


def listed(
    task: TaskSpec, *, reserved: Resources | None = None, used: Resources | None = None
) -> RunningTask:
    return RunningTask(
        task=task,
        reserved=reserved or task.resources,
        epoch=1,
        lease_until=60.0,
        used=used or Resources(),
    )


def ended(
    name: str, *, ok: bool = True, peak: Resources | None = None, run_s: float = 10.0
) -> FinishedTask:
    return FinishedTask(
        task_id=TaskId(name),
        attempt=0,
        ok=ok,
        detail="" if ok else "exit status 1",
        peak=peak or Resources(),
        run_s=run_s,
    )


def interrupted(name: str, detail: str) -> FinishedTask:
    return FinishedTask(task_id=TaskId(name), attempt=0, ok=False, detail=detail)


def started(decision: Decision) -> list[str]:
    return [start.task.task_id for batch in decision.by_worker for start in batch.starts]


def places(decision: Decision) -> dict[str, str]:
    return {
        start.task.task_id: batch.worker_id
        for batch in decision.by_worker
        for start in batch.starts
    }


def commanded(decision: Decision, kind: CommandKind) -> list[str]:
    names = {
        CommandKind.CHECKPOINT: "checkpoints",
        CommandKind.THROTTLE: "throttles",
        CommandKind.STOP: "stops",
    }
    return [
        command.task_id for batch in decision.by_worker for command in getattr(batch, names[kind])
    ]


def make_core(*workers: ListedHost, settings: PlacementSettings | None = None) -> PlacementCore:
    core = PlacementCore(settings=settings)
    for worker in workers or (make_worker(),):
        core.add_worker(worker, Epoch(1), (), 0.0)
    return core


def run(core: PlacementCore, *tasks: TaskSpec, now: float = 0.0) -> dict[str, str]:
    """Enqueue tasks, decide, and report all starts as succeeded; return the worker by task."""
    core.enqueue(tasks, now)
    decision = core.decide(now, 1000)
    where = places(decision)
    for name, worker in where.items():
        core.on_start_answer(TaskId(name), HostId(worker), StartAnswer.STARTED, now)
    return where


def quotas(**cores_by_team: int) -> PlacementSettings:
    return PlacementSettings(
        teams_by_path={
            TeamPath(team): TeamShare(quota=Resources(cores_milli=cores, memory_mb=10**9))
            for team, cores in cores_by_team.items()
        }
    )
