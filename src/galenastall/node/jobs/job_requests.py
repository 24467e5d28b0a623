"""Body of a job submission, and its validation."""

import re
from typing import Final, Literal

import msgspec
from returns.result import Failure, Result, Success

from galenastall.node.jobs.job_intake import Durability
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import DataCentre, JobId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import JobSpec, Urgency, Workload

MAX_TASKS: Final = 100_000
MAX_PAYLOAD_CHARS: Final = 65_536
_JOB_ID: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_TEAM: Final = re.compile(r"[^/\s]+(/[^/\s]+)*")


class ResourcesRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Resources that each task needs."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class JobRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of `POST /v1/jobs`; fields as in JobSpec."""

    team: str
    workload: Workload
    resources: ResourcesRequest
    job_id: str = ""
    urgency: Literal["urgent", "normal", "backfill"] = "normal"
    tasks: int = 1
    run_s: float | None = None
    deadline: float | None = None
    checkpointable: bool = False
    idempotent: bool = True
    kind: str = ""
    home: str = ""
    payload: str = ""
    durability: Durability = Durability.LOG


def check_request(
    request: JobRequest, *, job_id: JobId, now: float, peer: str
) -> Result[JobSpec, StepError]:
    """Return the submitted job, or INVALID naming the field, its value and what is allowed.

    `job_id` is used if the caller gave none; `now` is wall time in seconds.
    """
    problem = _find_problem(request, now)
    if problem is not None:
        error = StepError(step="job.submit", peer=peer, reason=Reason.INVALID, detail=problem)
        return Failure(error)
    return Success(
        JobSpec(
            job_id=JobId(request.job_id) if request.job_id else job_id,
            team=TeamPath(request.team),
            workload=request.workload,
            urgency=Urgency[request.urgency.upper()],
            tasks=request.tasks,
            resources=Resources(
                cores_milli=request.resources.cores_milli,
                memory_mb=request.resources.memory_mb,
                accelerators=request.resources.accelerators,
            ),
            run_s=request.run_s,
            deadline=request.deadline,
            checkpointable=request.checkpointable,
            idempotent=request.idempotent,
            kind=request.kind,
            home=DataCentre(request.home),
            payload=request.payload,
        )
    )


def _find_problem(request: JobRequest, now: float) -> str | None:
    if request.job_id and not _JOB_ID.fullmatch(request.job_id):
        return f"job_id: {request.job_id!r}; allowed: 1 to 100 letters, digits, '.', '_', '-'"
    if not _TEAM.fullmatch(request.team):
        return f"team: {request.team!r}; allowed: names joined by '/', without blanks"
    if not 1 <= request.tasks <= MAX_TASKS:
        return f"tasks: {request.tasks}; allowed: 1 to {MAX_TASKS}"
    if request.run_s is not None and not request.run_s > 0:
        return f"run_s: {request.run_s}; allowed: more than 0"
    if request.deadline is not None and not request.deadline > now:
        return f"deadline: {request.deadline}; allowed: seconds since 1970, after {now:.0f}"
    if len(request.payload) > MAX_PAYLOAD_CHARS:
        return f"payload: {len(request.payload)} characters; allowed: {MAX_PAYLOAD_CHARS}"
    return _find_resource_problem(request.resources)


def _find_resource_problem(resources: ResourcesRequest) -> str | None:
    for name in ResourcesRequest.__struct_fields__:
        amount = getattr(resources, name)
        if amount < 0:
            return f"resources.{name}: {amount}; allowed: 0 or more"
    if resources.cores_milli == resources.memory_mb == resources.accelerators == 0:
        return "resources: all are 0; allowed: at least one above 0"
    return None
