"""Draw the arrivals of both users' mixes: jobs with true and declared sizes, over virtual time."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import cos, pi
from random import Random
from typing import Final

from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, HostId, JobId, TaskId, TeamPath
from galenastall.state.registry import Registry
from galenastall.state.resources import Resources
from galenastall.state.work import TaskSpec, Urgency, Workload

MOST_OFF: Final = 4.0
"""Declared sizes lie between a quarter and four times the true ones."""
EXACT_SHARE: Final = 0.5
"""Jobs that declare what they use."""
TOO_LARGE_SHARE: Final = 0.07
"""Jobs that declare more than any worker has."""
FAILING_SHARE: Final = 0.03
"""Jobs whose every task fails; with the too large ones a tenth that can never run."""
TEAMS: Final = 40
WORKERS: Final = 24
RACK_SIZE: Final = 8
REPLICAS: Final = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """One kind of job in a mix."""

    name: str
    workload: Workload = Workload.BATCH
    urgency: Urgency = Urgency.NORMAL
    weight: float
    """Share of the offered core-seconds."""
    tasks: tuple[int, int]
    cores_milli: int
    memory_mb: int
    run_s: tuple[float, float]
    checkpointable: bool = False
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """A user's fleet and what it runs."""

    name: str
    worker: Resources
    kinds: tuple[Kind, ...]
    services: int
    """Services that run all the time, each with `REPLICAS` replicas."""
    service_size: Resources
    load: float
    """Offered share of all cores on average; the peak is half as much again, so that with sizes
    declared too large the fleet is overloaded for part of the run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TrueTask:
    """What a task really does."""

    spec: TaskSpec
    peak: Resources
    run_s: float
    fails: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A job at its time of submission."""

    at: float
    tasks: tuple[TrueTask, ...]
    is_too_large: bool


MIXES: Final[Registry[Mix]] = Registry(kind="mix")

MIXES.register("dongmun")(
    Mix(
        name="dongmun",
        worker=Resources(cores_milli=64_000, memory_mb=131_072),
        services=6,
        load=0.7,
        service_size=Resources(cores_milli=4000, memory_mb=8192),
        kinds=(
            Kind(
                name="pack",
                urgency=Urgency.URGENT,
                weight=0.20,
                tasks=(4, 16),
                cores_milli=8000,
                memory_mb=12_288,
                run_s=(60.0, 300.0),
            ),
            Kind(
                name="preview",
                urgency=Urgency.URGENT,
                weight=0.05,
                tasks=(1, 3),
                cores_milli=1000,
                memory_mb=1024,
                run_s=(2.0, 12.0),
            ),
            Kind(
                name="redaction",
                weight=0.35,
                tasks=(5, 40),
                cores_milli=2000,
                memory_mb=6144,
                run_s=(60.0, 600.0),
                checkpointable=True,
            ),
            Kind(
                name="layout",
                workload=Workload.GANG,
                weight=0.10,
                tasks=(4, 8),
                cores_milli=16_000,
                memory_mb=16_384,
                run_s=(60.0, 180.0),
            ),
            Kind(
                name="archive",
                urgency=Urgency.BACKFILL,
                weight=0.30,
                tasks=(5, 30),
                cores_milli=12_000,
                memory_mb=8192,
                run_s=(300.0, 900.0),
                checkpointable=True,
            ),
        ),
    )
)

MIXES.register("citeliq")(
    Mix(
        name="citeliq",
        worker=Resources(cores_milli=16_000, memory_mb=65_536),
        services=9,
        load=0.55,
        service_size=Resources(cores_milli=1000, memory_mb=3072),
        kinds=(
            Kind(
                name="thesis",
                urgency=Urgency.URGENT,
                weight=0.20,
                tasks=(1, 6),
                cores_milli=3000,
                memory_mb=8192,
                run_s=(30.0, 180.0),
            ),
            Kind(
                name="conversion",
                weight=0.40,
                tasks=(5, 30),
                cores_milli=1000,
                memory_mb=6144,
                run_s=(60.0, 400.0),
                idempotent=False,
                checkpointable=True,
            ),
            Kind(
                name="merge",
                workload=Workload.GANG,
                weight=0.05,
                tasks=(3, 6),
                cores_milli=6000,
                memory_mb=12_288,
                run_s=(60.0, 180.0),
            ),
            Kind(
                name="coursework",
                urgency=Urgency.BACKFILL,
                weight=0.35,
                tasks=(5, 30),
                cores_milli=5000,
                memory_mb=10_240,
                run_s=(120.0, 600.0),
                checkpointable=True,
            ),
        ),
    )
)


def workers_of(mix: Mix) -> list[ListedHost]:
    """Return the mix's workers, eight to a rack."""
    return [
        ListedHost(
            host_id=HostId(f"w{index:02}"),
            kind=HostKind.WORKER,
            data_centre=DataCentre(mix.name),
            rack=f"rack{index // RACK_SIZE}",
            capacity=mix.worker,
        )
        for index in range(WORKERS)
    ]


def services_of(mix: Mix) -> tuple[TrueTask, ...]:
    """Return the replicas that run all the time."""
    return tuple(
        TrueTask(
            spec=TaskSpec(
                task_id=TaskId(f"service{index // REPLICAS}/{index % REPLICAS}"),
                job_id=JobId(f"service{index // REPLICAS}"),
                team=TeamPath("team0"),
                workload=Workload.SERVICE,
                urgency=Urgency.NORMAL,
                resources=mix.service_size,
                kind="service",
            ),
            peak=mix.service_size,
            run_s=float("inf"),
            fails=False,
        )
        for index in range(mix.services * REPLICAS)
    )


def draw_arrivals(mix: Mix, *, seed: int, span_s: float, load: float) -> Iterator[Arrival]:
    """Return jobs over `span_s` seconds; load swings by half around its mean, as a day does."""
    rng = Random(seed)
    core_s_per_s = WORKERS * mix.worker.cores_milli / 1000 * load
    for number, kind in enumerate(mix.kinds):
        mean_tasks = sum(kind.tasks) / 2
        per_job = mean_tasks * kind.cores_milli / 1000 * sum(kind.run_s) / 2
        rate = core_s_per_s * kind.weight / per_job
        at = 0.0
        count = 0
        while True:
            swing = 1.0 - 0.5 * cos(2 * pi * at / span_s)
            at += rng.expovariate(rate * swing)
            if at >= span_s:
                break
            yield _draw_job(mix, kind, JobId(f"{kind.name}-{number}-{count}"), at, rng)
            count += 1


def _draw_job(mix: Mix, kind: Kind, job_id: JobId, at: float, rng: Random) -> Arrival:
    team = TeamPath(f"team{int(rng.triangular(0, TEAMS, 0))}")
    fate = rng.random()
    is_too_large = fate < TOO_LARGE_SHARE
    fails = TOO_LARGE_SHARE <= fate < TOO_LARGE_SHARE + FAILING_SHARE
    exact = rng.random() < EXACT_SHARE
    cores_off = 1.0 if exact else MOST_OFF ** rng.uniform(-1.0, 1.0)
    memory_off = 1.0 if exact else MOST_OFF ** rng.uniform(-1.0, 1.0)
    run_off = 1.0 if exact else MOST_OFF ** rng.uniform(-1.0, 1.0)
    size = rng.uniform(0.7, 1.3)
    peak = Resources(
        cores_milli=round(kind.cores_milli * size), memory_mb=round(kind.memory_mb * size)
    )
    declared = Resources(
        cores_milli=min(round(peak.cores_milli * cores_off), mix.worker.cores_milli),
        memory_mb=min(round(peak.memory_mb * memory_off), mix.worker.memory_mb),
    )
    if is_too_large:
        declared = Resources(cores_milli=mix.worker.cores_milli * 2, memory_mb=declared.memory_mb)
    runs = [rng.uniform(*kind.run_s) for _ in range(rng.randint(*kind.tasks))]
    tasks = tuple(
        TrueTask(
            spec=TaskSpec(
                task_id=TaskId(f"{job_id}/{index}"),
                job_id=job_id,
                team=team,
                workload=kind.workload,
                urgency=kind.urgency,
                resources=declared,
                run_s=run_s * run_off,
                deadline=at + 900.0 if kind.urgency is Urgency.URGENT else None,
                checkpointable=kind.checkpointable,
                idempotent=kind.idempotent,
                kind=kind.name,
            ),
            peak=peak,
            run_s=run_s,
            fails=fails,
        )
        for index, run_s in enumerate(runs)
    )
    return Arrival(at=at, tasks=tasks, is_too_large=is_too_large)
