"""Slopes of the pure cores: folds, ledgers and decisions, without sockets."""

import random
from functools import partial
from typing import Final

from galenastall.bench.slopes import cpu_us, held_bytes, least_cpu_us, slope
from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import StartAnswer
from galenastall.protocol.codec import decode_record, encode_record
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import (
    DataCentre,
    Epoch,
    HostId,
    JobId,
    Offset,
    RecordId,
    TeamPath,
    data_centre_stream,
    make_task_id,
)
from galenastall.state.job_fold import JobFold
from galenastall.state.job_records import JobAccepted
from galenastall.state.resources import Resources
from galenastall.state.work import JobSpec, TaskSpec, Urgency, Workload

DATA_CENTRE: Final = DataCentre("north-1")
STREAM: Final = data_centre_stream(DATA_CENTRE)
CAPACITY: Final = Resources(cores_milli=64_000, memory_mb=131_072)
TEAMS: Final = 260
RUNNING_PER_WORKER: Final = 7
"""20,000 tasks on 2,800 workers."""
DECISIONS: Final = 500
DECISION_REPEATS: Final = 3
WALL: Final = 1_800_000_000.0


def make_job(index: int) -> JobSpec:
    """Return a job as callers submit it."""
    return JobSpec(
        job_id=JobId(f"job-{index:08d}"),
        team=TeamPath(f"region/team-{index % TEAMS}"),
        workload=Workload.BATCH,
        tasks=8,
        resources=Resources(cores_milli=1000, memory_mb=2048),
        run_s=60.0,
        kind="convert",
        home=DATA_CENTRE,
        payload="x" * 64,
        submitted_at=WALL,
    )


def make_task(index: int, rng: random.Random) -> TaskSpec:
    """Return a task of a size drawn like the users' ones."""
    job = JobId(f"job-{index // 8:08d}")
    return TaskSpec(
        task_id=make_task_id(job, index % 8),
        job_id=job,
        team=TeamPath(f"region/team-{index % TEAMS}"),
        workload=Workload.BATCH,
        urgency=rng.choice((Urgency.URGENT, Urgency.NORMAL, Urgency.BACKFILL)),
        resources=Resources(
            cores_milli=rng.choice((500, 1000, 2000, 4000)),
            memory_mb=rng.choice((1024, 2048, 4096, 8192)),
        ),
        run_s=60.0,
        kind="convert",
    )


def make_core(workers: int) -> PlacementCore:
    """Return a core that owns idle workers."""
    core = PlacementCore()
    for index in range(workers):
        host = ListedHost(
            host_id=HostId(f"worker-{index:05d}"),
            kind=HostKind.WORKER,
            data_centre=DATA_CENTRE,
            address=f"10.0.{index // 250}.{index % 250}:80",
            rack=f"rack-{index // 8}",
            capacity=CAPACITY,
        )
        core.add_worker(host, Epoch(1), (), WALL)
    return core


def fill_core(core: PlacementCore, tasks: int, *, first: int = 0, at: float = WALL) -> None:
    """Place tasks and take in that they started."""
    rng = random.Random(first)
    core.enqueue([make_task(first + index, rng) for index in range(tasks)], at)
    decision = core.decide(at, tasks)
    for commands in decision.by_worker:
        for start in commands.starts:
            core.on_start_answer(start.task.task_id, start.worker_id, StartAnswer.STARTED, at)


def accepted_records(jobs: int) -> list[str]:
    """Return the log's texts of accepted jobs."""
    return [
        encode_record(JobAccepted(spec=make_job(index)), record_id=RecordId(f"r-{index}"))
        for index in range(jobs)
    ]


def fold_texts(texts: list[str]) -> JobFold:
    """Decode and fold records as a log follower does."""
    fold = JobFold()
    for offset, text in enumerate(texts):
        decoded = decode_record(text, stream=STREAM, offset=Offset(offset)).unwrap()
        fold.apply(decoded)
    return fold


@slope(
    "job-record-fold",
    what="decode and fold accepted-job records of the log",
    x_name="records",
    y_unit="us of processor time",
    sizes=(1000, 4000, 16000),
)
def job_record_fold(records: int) -> float:
    """Measure following the log."""
    texts = accepted_records(records)
    return least_cpu_us(lambda: fold_texts(texts))


@slope(
    "job-record-bytes",
    what="size of accepted-job records in the log",
    x_name="records",
    y_unit="bytes",
    sizes=(100, 1000, 10000),
)
def job_record_bytes(records: int) -> float:
    """Measure what a follower reads for each accepted job."""
    return float(sum(len(text) for text in accepted_records(records)))


@slope(
    "job-memory",
    what="memory of live jobs of 8 tasks in the fold",
    x_name="live jobs",
    y_unit="bytes",
    sizes=(1000, 4000, 12000),
)
def job_memory(jobs: int) -> float:
    """Measure the fold's state."""
    texts = accepted_records(jobs)

    def build() -> JobFold:
        return fold_texts(texts)

    return held_bytes(build)


@slope(
    "worker-memory",
    what="memory of idle owned workers in the placement core",
    x_name="workers",
    y_unit="bytes",
    sizes=(24, 255, 1000, 2800),
)
def worker_memory(workers: int) -> float:
    """Measure an owner's state without tasks."""
    return held_bytes(lambda: make_core(workers))


@slope(
    "placed-task-memory",
    what="memory of running tasks in the placement core of 255 workers",
    x_name="tasks",
    y_unit="bytes",
    sizes=(500, 1000, 1800),
)
def placed_task_memory(tasks: int) -> float:
    """Measure an owner's state with tasks, the workers included."""

    def build() -> PlacementCore:
        core = make_core(255)
        fill_core(core, tasks)
        return core

    return held_bytes(build)


@slope(
    "placement-decision",
    what=f"queue, decide and confirm {DECISIONS} starts at 7 running tasks a worker",
    x_name="workers",
    y_unit="us of processor time a start",
    sizes=(24, 255, 1000, 2800),
)
def placement_decision(workers: int) -> float:
    """Measure decisions as an owner of so many workers makes them."""
    starts = min(DECISIONS, workers * 4)
    costs = []
    for _ in range(DECISION_REPEATS):
        core = make_core(workers)
        fill_core(core, workers * RUNNING_PER_WORKER)
        costs.append(cpu_us(partial(fill_core, core, starts, first=10**6, at=WALL + 1)))
    return min(costs) / starts
