"""Draw the arrivals of both users' mixes: jobs with true and declared sizes, over virtual time."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from math import cos, pi
from random import Random
from typing import Final

from galenastall.bench.mixes import sized
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
    size: Resources
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

_urgent: Final = partial(Kind, urgency=Urgency.URGENT)
_gang: Final = partial(Kind, workload=Workload.GANG)
_backfill: Final = partial(Kind, urgency=Urgency.BACKFILL, checkpointable=True)

MIXES.register("dongmun")(
    Mix(
        name="dongmun",
        worker=sized(64, 128),
        services=6,
        load=0.7,
        service_size=sized(4, 8),
        kinds=(
            _urgent(
                name="pack", weight=0.20, tasks=(4, 16), size=sized(8, 12), run_s=(60.0, 300.0)
            ),
            _urgent(name="preview", weight=0.05, tasks=(1, 3), size=sized(1, 1), run_s=(2.0, 12.0)),
            Kind(
                name="redaction",
                weight=0.35,
                tasks=(5, 40),
                size=sized(2, 6),
                run_s=(60.0, 600.0),
                checkpointable=True,
            ),
            _gang(
                name="layout", weight=0.10, tasks=(4, 8), size=sized(16, 16), run_s=(60.0, 180.0)
            ),
            _backfill(
                name="archive", weight=0.30, tasks=(5, 30), size=sized(12, 8), run_s=(300.0, 900.0)
            ),
        ),
    )
)

MIXES.register("citeliq")(
    Mix(
        name="citeliq",
        worker=sized(16, 64),
        services=9,
        load=0.55,
        service_size=sized(1, 3),
        kinds=(
            _urgent(
                name="thesis", weight=0.20, tasks=(1, 6), size=sized(3, 8), run_s=(30.0, 180.0)
            ),
            Kind(
                name="conversion",
                weight=0.40,
                tasks=(5, 30),
                size=sized(1, 6),
                run_s=(60.0, 400.0),
                idempotent=False,
                checkpointable=True,
            ),
            _gang(name="merge", weight=0.05, tasks=(3, 6), size=sized(6, 12), run_s=(60.0, 180.0)),
            _backfill(
                name="coursework",
                weight=0.35,
                tasks=(5, 30),
                size=sized(5, 10),
                run_s=(120.0, 600.0),
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
        per_job = mean_tasks * kind.size.cores_milli / 1000 * sum(kind.run_s) / 2
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
    is_exact = rng.random() < EXACT_SHARE
    cores_off = _draw_off(rng, is_exact=is_exact)
    memory_off = _draw_off(rng, is_exact=is_exact)
    run_off = _draw_off(rng, is_exact=is_exact)
    spread = rng.uniform(0.7, 1.3)
    peak = Resources(
        cores_milli=round(kind.size.cores_milli * spread),
        memory_mb=round(kind.size.memory_mb * spread),
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


def _draw_off(rng: Random, *, is_exact: bool) -> float:
    """Draw declared over true, log-uniform between 1 / MOST_OFF and MOST_OFF."""
    return 1.0 if is_exact else MOST_OFF ** rng.uniform(-1.0, 1.0)
