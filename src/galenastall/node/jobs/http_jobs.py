"""HTTP routes of jobs and workers: submit, show, cancel."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from galenastall.node.jobs.job_intake import JobIntake
from galenastall.node.jobs.job_requests import MAX_TASKS, JobRequest, check_request
from galenastall.node.placement.worker_service import WorkerService
from galenastall.protocol.clock import Clock
from galenastall.protocol.job_messages import JobView, TaskView
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId, JobId, OwnableKind, TeamPath, make_ownable_id
from galenastall.state.job_fold import JobFold, JobState
from galenastall.state.resources import Resources
from galenastall.transport.http_json import error_response, json_response, parse_json
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

DEFAULT_COUNT: Final = 100
MAX_LISTED: Final = 1000
ACCEPTED: Final = 201
KNOWN: Final = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class JobAnswer:
    """Status of a job."""

    job_id: JobId
    team: TeamPath
    workload: str
    urgency: str
    state: str
    """`live`, or how it ended."""
    cancelled: bool
    tasks: int
    tasks_by_phase: dict[str, int]
    reason: str
    submitted_at: float
    ended_at: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class TasksAnswer:
    """A range of a job's tasks."""

    job_id: JobId
    first: int
    tasks: tuple[TaskView, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobsAnswer:
    """Jobs that the data centre's log holds, newest first."""

    jobs: tuple[JobAnswer, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerAnswer:
    """A worker of this data centre; only its owner reports the running tasks."""

    host_id: HostId
    state: str
    rack: str
    owner: HostId | None
    capacity: Resources
    is_adopted: bool | None
    """None unless this entry host owns it."""
    running: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkersAnswer:
    """All workers of this data centre."""

    workers: tuple[WorkerAnswer, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ExplainAnswer:
    """Sentences on a job or a task."""

    subject: str
    sentences: tuple[str, ...]


class HttpJobs:
    """Routes of jobs and workers."""

    def __init__(
        self,
        *,
        intake: JobIntake,
        fold: JobFold,
        workers: WorkerService,
        ownership: OwnershipView,
        clock: Clock,
    ) -> None:
        """Serve the routes from these services."""
        self._intake = intake
        self._fold = fold
        self._workers = workers
        self._ownership = ownership
        self._clock = clock

    @route("POST", "/v1/jobs")
    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Accept a job: 201 new, 200 known, 400 bad input, 403 can never run, 503 not accepted."""
        body = await parse_json(request, JobRequest)
        if isinstance(body, Failure):
            return error_response(body.failure())
        submission = body.unwrap()
        checked = check_request(
            submission,
            job_id=self._intake.make_job_id(),
            now=self._clock.wall(),
            peer=request.client,
        )
        if isinstance(checked, Failure):
            return error_response(checked.failure())
        result = await self._intake.submit(checked.unwrap(), durability=submission.durability)
        match result:
            case Success(accepted):
                return json_response(KNOWN if accepted.was_known else ACCEPTED, accepted)
            case Failure(error):
                return error_response(error)
        raise AssertionError("a Result is a Success or a Failure")

    @route("GET", "/v1/jobs")
    async def list_jobs(self, request: HttpRequest) -> HttpResponse:
        """List jobs, of one team and all below it if `team` is given."""
        limit = _number(request.query, "limit", DEFAULT_COUNT)
        if isinstance(limit, Failure):
            return error_response(limit.failure())
        team = request.query.get("team", "")
        jobs = [
            job
            for job in (*self._fold.live_by_id.values(), *self._fold.ended_by_id.values())
            if not team or job.spec.team == team or job.spec.team.startswith(f"{team}/")
        ]
        jobs.sort(key=lambda job: (-job.spec.submitted_at, job.spec.job_id))
        shown = tuple(_job_answer(job, None) for job in jobs[: limit.unwrap()])
        return json_response(200, JobsAnswer(jobs=shown))

    @route("GET", "/v1/jobs/{job_id}")
    async def show(self, request: HttpRequest) -> HttpResponse:
        """Show the status of a job."""
        job_id = JobId(request.path_params["job_id"])
        found = await self._intake.find_confirmed(job_id)
        if isinstance(found, Failure):
            return error_response(found.failure())
        view = await self._intake.view(job_id)
        return json_response(200, _job_answer(found.unwrap(), view))

    @route("GET", "/v1/jobs/{job_id}/tasks")
    async def show_tasks(self, request: HttpRequest) -> HttpResponse:
        """Show the status of `count` tasks from `first` on."""
        job_id = JobId(request.path_params["job_id"])
        first = _number(request.query, "first", 0, maximum=MAX_TASKS)
        count = _number(request.query, "count", DEFAULT_COUNT)
        for each in (first, count):
            if isinstance(each, Failure):
                return error_response(each.failure())
        found = await self._intake.find_confirmed(job_id)
        if isinstance(found, Failure):
            return error_response(found.failure())
        view = await self._intake.view(job_id, first=first.unwrap(), count=count.unwrap())
        if view is None:
            return error_response(_not_found("job.tasks", job_id))
        answer = TasksAnswer(job_id=job_id, first=first.unwrap(), tasks=view.tasks)
        return json_response(200, answer)

    @route("POST", "/v1/jobs/{job_id}/cancel")
    async def cancel(self, request: HttpRequest) -> HttpResponse:
        """Cancel a job; report how many tasks never started, are being stopped, or were done."""
        job_id = JobId(request.path_params["job_id"])
        match await self._intake.cancel(job_id, cause=request.query.get("cause", "")):
            case Success(cancelled):
                return json_response(200, cancelled)
            case Failure(error):
                return error_response(error)
        raise AssertionError("a Result is a Success or a Failure")

    @route("GET", "/v1/jobs/{job_id}/explain")
    async def explain_job(self, request: HttpRequest) -> HttpResponse:
        """Explain the status of a job in sentences."""
        return await self._explain(request.path_params["job_id"])

    @route("GET", "/v1/jobs/{job_id}/tasks/{index}/explain")
    async def explain_task(self, request: HttpRequest) -> HttpResponse:
        """Explain in sentences where a task runs or why it waits."""
        params = request.path_params
        return await self._explain(f"{params['job_id']}/{params['index']}")

    @route("GET", "/v1/workers")
    async def list_workers(self, _request: HttpRequest) -> HttpResponse:
        """List this data centre's workers, their owners, and what runs on those owned here."""
        answers = []
        for worker, host in sorted(self._workers.listed_workers().items()):
            watch = self._workers.watches_by_id.get(worker)
            placed = self._workers.core.on_worker(worker)
            answers.append(
                WorkerAnswer(
                    host_id=worker,
                    state=host.state.value,
                    rack=host.rack,
                    owner=self._ownership.owner_of(make_ownable_id(OwnableKind.WORKER, worker)),
                    capacity=host.capacity,
                    is_adopted=watch.is_adopted if watch else None,
                    running=tuple(each.task.task_id for each in placed),
                )
            )
        return json_response(200, WorkersAnswer(workers=tuple(answers)))

    async def _explain(self, subject: str) -> HttpResponse:
        sentences = await self._intake.explain(subject)
        return json_response(200, ExplainAnswer(subject=subject, sentences=sentences))


def _job_answer(state: JobState, view: JobView | None) -> JobAnswer:
    spec = state.spec
    counts: dict[str, int] = view.counts if view else {}
    return JobAnswer(
        job_id=spec.job_id,
        team=spec.team,
        workload=spec.workload.value,
        urgency=spec.urgency.name.lower(),
        state=state.end.verdict.value if state.end else "live",
        cancelled=state.cancelled,
        tasks=spec.tasks,
        tasks_by_phase=counts,
        reason=state.end.detail if state.end else (view.reason if view else ""),
        submitted_at=spec.submitted_at,
        ended_at=state.end.at if state.end else None,
    )


def _number(
    query: Mapping[str, str], name: str, default: int, *, maximum: int = MAX_LISTED
) -> Result[int, StepError]:
    text = query.get(name, str(default))
    if text.isdecimal() and int(text) <= maximum:
        return Success(int(text))
    detail = f"{name}: {text!r}; allowed: a whole number from 0 to {maximum}"
    return Failure(StepError(step="http.query", peer="", reason=Reason.INVALID, detail=detail))


def _not_found(step: str, job_id: JobId) -> StepError:
    detail = f"job {job_id!r} is not known in this data centre"
    return StepError(step=step, peer="", reason=Reason.NOT_FOUND, detail=detail)
