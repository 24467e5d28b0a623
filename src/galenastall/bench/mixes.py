"""The users' two mixes of requests and jobs, drawn from a seed.

A mix names what arrives and how often relative to the rest. Real sizes and run times differ from
declared ones by up to four times in either direction, as the users' callers' do.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from typing import Final

from galenastall.state.ids import JobId, TeamPath
from galenastall.state.registry import Registry
from galenastall.state.resources import Resources
from galenastall.state.work import JobSpec, Urgency, Workload

SIZE_ERROR: Final = 4.0
"""Real amounts lie between declared / SIZE_ERROR and declared * SIZE_ERROR."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """One kind of request to upstreams."""

    operation: str
    weight: float
    urgency: str = "normal"
    """Value of the Galenastall-Class header."""
    deadline_ms: int
    idempotent: bool = True
    body_bytes: int
    teams: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobKind:
    """One kind of job; `run_s` is declared."""

    kind: str
    weight: float
    workload: Workload = Workload.BATCH
    urgency: Urgency = Urgency.NORMAL
    tasks: tuple[int, int]
    """Least and most tasks."""
    resources: Resources
    run_s: float | None
    deadline_s: float | None = None
    checkpointable: bool = False
    idempotent: bool = True
    impossible: bool = False
    teams: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Mix:
    """What a deployment's callers ask for."""

    requests: tuple[RequestKind, ...]
    jobs: tuple[JobKind, ...]
    teams: tuple[str, ...]
    worker_capacity: Resources


MIXES: Final[Registry[Mix]] = Registry(kind="mix")


@dataclass(frozen=True, kw_only=True, slots=True)
class JobArrival:
    """A job to submit, what it takes in truth, and when."""

    after_s: float
    spec: JobSpec
    real: Resources
    real_run_s: float | None
    impossible: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrival:
    """A request to send, and when."""

    after_s: float
    kind: RequestKind
    team: str


def draw_requests(
    mix: Mix, *, rng: random.Random, rate: float, duration_s: float
) -> Iterator[RequestArrival]:
    """Yield open-loop Poisson arrivals of requests at `rate` a second."""
    weights = [kind.weight for kind in mix.requests]
    for after_s in poisson_times(rng=rng, rate=rate, duration_s=duration_s):
        kind = rng.choices(mix.requests, weights)[0]
        yield RequestArrival(after_s=after_s, kind=kind, team=rng.choice(kind.teams))


def draw_jobs(
    mix: Mix, *, rng: random.Random, rate: float, duration_s: float, prefix: str, now_wall: float
) -> Iterator[JobArrival]:
    """Yield open-loop Poisson arrivals of jobs at `rate` a second."""
    weights = [kind.weight for kind in mix.jobs]
    for index, after_s in enumerate(poisson_times(rng=rng, rate=rate, duration_s=duration_s)):
        kind = rng.choices(mix.jobs, weights)[0]
        job_id = JobId(f"{prefix}-{index}")
        yield _draw_job(mix, kind, rng=rng, job_id=job_id, after_s=after_s, now_wall=now_wall)


def poisson_times(*, rng: random.Random, rate: float, duration_s: float) -> Iterator[float]:
    """Yield arrival times in seconds from 0 until `duration_s`."""
    after_s = rng.expovariate(rate)
    while after_s < duration_s:
        yield after_s
        after_s += rng.expovariate(rate)


def cancellation_wave(
    arrivals: list[JobArrival], *, rng: random.Random, share: float
) -> list[JobId]:
    """Return the jobs of one wave: `share` of those that have arrived, in random order."""
    return [each.spec.job_id for each in rng.sample(arrivals, round(len(arrivals) * share))]


def sized(cores: float, memory_gb: float) -> Resources:
    """Return an amount of whole or parts of cores and GB."""
    return Resources(cores_milli=round(cores * 1000), memory_mb=round(memory_gb * 1024))


def size_error(rng: random.Random) -> float:
    """Draw real over declared, log-uniform between 1 / SIZE_ERROR and SIZE_ERROR."""
    return math.exp(rng.uniform(-math.log(SIZE_ERROR), math.log(SIZE_ERROR)))


def _draw_job(
    mix: Mix,
    kind: JobKind,
    *,
    rng: random.Random,
    job_id: JobId,
    after_s: float,
    now_wall: float,
) -> JobArrival:
    spec = JobSpec(
        job_id=job_id,
        team=TeamPath(rng.choice(kind.teams or mix.teams)),
        workload=kind.workload,
        urgency=kind.urgency,
        tasks=rng.randint(*kind.tasks),
        resources=_impossible(mix) if kind.impossible else kind.resources,
        run_s=kind.run_s,
        deadline=None if kind.deadline_s is None else now_wall + after_s + kind.deadline_s,
        checkpointable=kind.checkpointable,
        idempotent=kind.idempotent,
        kind=kind.kind,
    )
    real_run_s = None if kind.run_s is None else kind.run_s * size_error(rng)
    real = _scaled(spec.resources, size_error(rng), most=mix.worker_capacity)
    return JobArrival(
        after_s=after_s, spec=spec, real=real, real_run_s=real_run_s, impossible=kind.impossible
    )


def _impossible(mix: Mix) -> Resources:
    return Resources(cores_milli=1000, memory_mb=mix.worker_capacity.memory_mb * 2)


def _scaled(declared: Resources, factor: float, *, most: Resources) -> Resources:
    return Resources(
        cores_milli=min(most.cores_milli, max(1, round(declared.cores_milli * factor))),
        memory_mb=min(most.memory_mb, max(1, round(declared.memory_mb * factor))),
        accelerators=declared.accelerators,
    )


_DONGMUN_TEAMS: Final = ("board/packs", "board/redaction", "board/previews")
_CITELIQ_TEAMS: Final = ("cite/students", "cite/supervisors", "cite/libraries")

_lookup: Final = partial(RequestKind, operation="lookup", urgency="urgent", body_bytes=512)

_due: Final = partial(JobKind, urgency=Urgency.URGENT, idempotent=False)
"""Urgent jobs, whose tasks may be executed once only."""
_backfill: Final = partial(JobKind, urgency=Urgency.BACKFILL, checkpointable=True)
_gang: Final = partial(JobKind, workload=Workload.GANG)
_IMPOSSIBLE: Final = JobKind(
    kind="impossible", weight=10, tasks=(1, 1), resources=Resources(), run_s=5.0, impossible=True
)
"""A tenth of all jobs asks for more than any worker has."""

_citeliq_mix: Final = partial(Mix, worker_capacity=sized(16, 64), teams=_CITELIQ_TEAMS)

MIXES.register("dongmun")(
    Mix(
        worker_capacity=sized(64, 128),
        teams=_DONGMUN_TEAMS,
        requests=(
            RequestKind(
                operation="preview",
                weight=70,
                urgency="urgent",
                deadline_ms=4000,
                body_bytes=2048,
                teams=("board/previews",),
            ),
            RequestKind(
                operation="redact",
                weight=20,
                deadline_ms=15000,
                body_bytes=16384,
                teams=("board/redaction",),
            ),
            RequestKind(
                operation="deliver",
                weight=10,
                deadline_ms=15000,
                idempotent=False,
                body_bytes=16384,
                teams=("board/packs",),
            ),
        ),
        jobs=(
            _due(
                kind="full-pack",
                weight=20,
                tasks=(1, 4),
                resources=sized(8, 12),
                run_s=6.0,
                deadline_s=60.0,
            ),
            JobKind(
                kind="redaction",
                weight=35,
                tasks=(1, 12),
                resources=sized(4, 6),
                run_s=4.0,
                checkpointable=True,
            ),
            _backfill(kind="index", weight=25, tasks=(4, 24), resources=sized(2, 4), run_s=8.0),
            _gang(kind="render-all", weight=10, tasks=(2, 6), resources=sized(16, 24), run_s=5.0),
            _IMPOSSIBLE,
        ),
    )
)

MIXES.register("citeliq")(
    _citeliq_mix(
        requests=(
            _lookup(weight=85, deadline_ms=2000, teams=("cite/students", "cite/supervisors")),
            RequestKind(
                operation="bibliography",
                weight=10,
                deadline_ms=10000,
                body_bytes=8192,
                teams=_CITELIQ_TEAMS,
            ),
            RequestKind(
                operation="convert",
                weight=5,
                deadline_ms=20000,
                idempotent=False,
                body_bytes=16384,
                teams=("cite/supervisors", "cite/libraries"),
            ),
        ),
        jobs=(
            _due(
                kind="thesis",
                weight=15,
                tasks=(1, 2),
                resources=sized(2, 4),
                run_s=3.0,
                deadline_s=30.0,
            ),
            JobKind(
                kind="conversion",
                weight=45,
                tasks=(2, 16),
                resources=sized(1, 3),
                run_s=4.0,
                idempotent=False,
            ),
            _backfill(kind="reindex", weight=25, tasks=(4, 20), resources=sized(0.5, 2), run_s=6.0),
            _gang(kind="merge", weight=5, tasks=(2, 4), resources=sized(4, 8), run_s=4.0),
            _IMPOSSIBLE,
        ),
    )
)

MIXES.register("lookups")(
    _citeliq_mix(requests=(_lookup(weight=1, deadline_ms=4000, teams=_CITELIQ_TEAMS),), jobs=())
)

MIXES.register("three-classes")(
    _citeliq_mix(
        requests=tuple(
            RequestKind(
                operation=operation,
                weight=weight,
                urgency=urgency,
                deadline_ms=deadline_ms,
                body_bytes=1024,
                teams=_CITELIQ_TEAMS,
            )
            for operation, weight, urgency, deadline_ms in (
                ("lookup", 20, "urgent", 1000),
                ("bibliography", 50, "normal", 3000),
                ("reindex", 30, "backfill", 3000),
            )
        ),
        jobs=(),
    )
)
