"""Callers' requests about jobs, in the platform's dialect."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Final, Protocol

from returns.result import Failure, Result

from galenastall.node.cell.caller_handler import RETRY_AFTER_S, CallerHandler, SubmitOutcome
from galenastall.platform.access import KEY_HEADER, Admission, KeyCheck
from galenastall.platform.submissions import decode_job
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import SubmitVerdict
from galenastall.protocol.clock import Clock
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.phases import JobPhase
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_json import error_response, json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.logs import Recorder
from galenastall.transport.metrics import Histogram

PATIENCE_HEADER: Final = "deadline-remaining"
"""Milliseconds for which the caller waits for an answer."""
DEFAULT_PATIENCE_S: Final = 2.5
"""For callers that do not say how long they wait."""
BODY_LIMIT_BYTES: Final = 262_144
UNAUTHORIZED: Final = 401
ADMISSIONS: Final = 3
"""Times that a caller is let in by a newer configuration within one request."""
_JOB_ID: Final = re.compile(r"[0-9a-fA-F]{16}")


class ConfigSource(Protocol):
    """The configuration in force at this host."""

    def current(self) -> CellConfig | None:
        """Return it; None before the first."""

    async def look(self) -> None:
        """Look for a newer one."""


class JobsFace:
    """Serves submissions, states, cancels and counts on any path."""

    def __init__(
        self,
        *,
        desk: CallerHandler,
        config: ConfigSource,
        clock: Clock,
        recorder: Recorder,
        submit_seconds: Histogram,
    ) -> None:
        """Pass operations to `desk`, by the routes and keys of `config`."""
        self._submit_seconds = submit_seconds
        self._desk = desk
        self._config = config
        self._keys = KeyCheck()
        self._clock = clock
        self._recorder = recorder

    @route("POST", "/{path*}")
    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Take a job in."""
        admission = await self._admit(request)
        if isinstance(admission, HttpResponse):
            return admission
        job_id = _job_id(request, admission)
        if not _JOB_ID.fullmatch(job_id):
            return _invalid(request, f"id: expected 16 hexadecimal digits, got {job_id[:40]!r}")
        body = await request.read_body(BODY_LIMIT_BYTES)
        if isinstance(body, Failure):
            return error_response(body.failure())
        job = decode_job(
            body.unwrap(),
            job_id=job_id,
            queue=admission.route.queue,
            workspace=admission.workspace,
            wall=self._clock.wall(),
            peer=request.client,
        )
        if isinstance(job, Failure):
            return error_response(job.failure())
        began_at = self._clock.now()
        submitted = await self._hand_in(request, admission, job.unwrap())
        if isinstance(submitted, HttpResponse):
            return submitted
        self._submit_seconds.record(self._clock.now() - began_at, submitted.verdict.value)
        return self._answer(request, job_id, submitted)

    async def _hand_in(
        self, request: HttpRequest, admission: Admission, job: CellJob
    ) -> SubmitOutcome | HttpResponse:
        """Hand a job in; where the leader's configuration is newer, the caller is let in anew."""
        may_be_stored = False
        submitted = SubmitOutcome(verdict=SubmitVerdict.UNKNOWN)
        for _ in range(ADMISSIONS):
            submitted = await self._desk.submit(
                job,
                patience_s=_patience_s(request),
                config_version=admission.config_version,
                may_be_stored=may_be_stored,
            )
            if not submitted.is_outdated:
                return submitted
            may_be_stored = submitted.may_be_stored
            admitted = await self._admit_anew(request)
            if isinstance(admitted, HttpResponse):
                return admitted
            admission = admitted
            job = replace(job, queue=admission.route.queue, workspace=admission.workspace)
        return submitted

    def _answer(self, request: HttpRequest, job_id: str, submitted: SubmitOutcome) -> HttpResponse:
        if submitted.verdict is SubmitVerdict.ACCEPTED:
            return json_response(200, {})
        self._recorder.record(
            "job.refused",
            subjects=(job_id,),
            cause=submitted.cause,
            fields={"verdict": submitted.verdict.value},
        )
        if submitted.verdict is SubmitVerdict.NOT_RUN:
            return _unavailable(submitted.cause, submitted.retry_after_s)
        if submitted.verdict is SubmitVerdict.TAKEN:
            return _refused(request, Reason.CONFLICT, submitted.cause)
        return error_response(
            StepError(
                step="job.submit",
                peer=request.client,
                reason=Reason.TIMEOUT,
                detail=f"it is not known whether the job is stored: {submitted.cause}",
                retry_after_s=submitted.retry_after_s,
            )
        )

    @route("GET", "/{path*}")
    async def show(self, request: HttpRequest) -> HttpResponse:
        """Return a job's state, or a queue's count of jobs that wait for their first start."""
        return await self._serve(request, self._show)

    async def _show(self, request: HttpRequest, admission: Admission) -> Result[Any, StepError]:
        job_id = _job_id(request, admission)
        if job_id:
            return await self._desk.phase(
                job_id,
                patience_s=_patience_s(request),
                workspace=admission.workspace,
                config_version=admission.config_version,
            )
        return await self._desk.pending(
            admission.route.queue.name,
            patience_s=_patience_s(request),
            config_version=admission.config_version,
        )

    @route("DELETE", "/{path*}")
    async def cancel(self, request: HttpRequest) -> HttpResponse:
        """Cancel a job."""
        return await self._serve(request, self._cancel)

    async def _cancel(self, request: HttpRequest, admission: Admission) -> Result[Any, StepError]:
        return await self._desk.cancel(
            _job_id(request, admission),
            patience_s=_patience_s(request),
            workspace=admission.workspace,
            config_version=admission.config_version,
        )

    async def _serve(
        self,
        request: HttpRequest,
        ask: Callable[[HttpRequest, Admission], Awaitable[Result[Any, StepError]]],
    ) -> HttpResponse:
        """Answer a question; a caller is let in anew where the leader's configuration is newer."""
        admission = await self._admit(request)
        cause = ""
        for _ in range(ADMISSIONS):
            if isinstance(admission, HttpResponse):
                return admission
            answer = await ask(request, admission)
            if not isinstance(answer, Failure):
                return _shown(_job_id(request, admission), answer.unwrap())
            cause = str(answer.failure())
            if answer.failure().reason is not Reason.CONFLICT:
                break
            admission = await self._admit_anew(request)
        return _unavailable(cause, RETRY_AFTER_S)

    async def _admit_anew(self, request: HttpRequest) -> Admission | HttpResponse:
        """Look for a newer configuration, and let a caller in by it."""
        await self._config.look()
        return self._admit_now(request)

    async def _admit(self, request: HttpRequest) -> Admission | HttpResponse:
        """Let a caller in; look for a newer configuration before it is refused."""
        admission = self._admit_now(request)
        if isinstance(admission, Admission):
            return admission
        return await self._admit_anew(request)

    def _admit_now(self, request: HttpRequest) -> Admission | HttpResponse:
        """Let a caller in, or refuse it, before anything of its body is read."""
        config = self._config.current()
        if config is None:
            return _unavailable("no configuration has been read yet", RETRY_AFTER_S)
        found = config.find(host=request.headers.get("host", ""), path=request.path)
        if found is None:
            detail = f"no queue at {request.path[:80]} of version {config.version}"
            return _refused(request, Reason.NOT_FOUND, detail)
        key = request.headers.get(KEY_HEADER, "")
        workspace = self._keys.workspace_of(config, found, key)
        if workspace is None:
            detail = f"{KEY_HEADER}: no workspace of version {config.version} has this key"
            return _refused(request, Reason.REFUSED, detail, status=UNAUTHORIZED)
        return Admission(route=found, workspace=workspace, config_version=config.version)


def _job_id(request: HttpRequest, admission: Admission) -> str:
    return request.path[len(admission.route.path_prefix) :]


def _shown(job_id: str, found: JobPhase | int | None) -> HttpResponse:
    """Return what is said of a job, or of a queue's count."""
    if found is None:
        return _gone(job_id)
    if isinstance(found, JobPhase):
        return json_response(200, {"state": found.value})
    return json_response(200, {"pending": found})


def _refused(
    request: HttpRequest, reason: Reason, detail: str, *, status: int | None = None
) -> HttpResponse:
    error = StepError(step="job.route", peer=request.client, reason=reason, detail=detail)
    return error_response(error, status=status)


def _patience_s(request: HttpRequest) -> float:
    text = request.headers.get(PATIENCE_HEADER, "")
    try:
        left_s = float(text) / 1000.0
    except ValueError:
        return DEFAULT_PATIENCE_S
    return max(left_s, 0.0)


def _invalid(request: HttpRequest, detail: str) -> HttpResponse:
    return error_response(
        StepError(step="job.submit", peer=request.client, reason=Reason.INVALID, detail=detail)
    )


def _unavailable(detail: str, retry_after_s: float) -> HttpResponse:
    return error_response(
        StepError(
            step="job.serve",
            peer="",
            reason=Reason.UNAVAILABLE,
            detail=detail,
            retry_after_s=retry_after_s,
        )
    )


def _gone(job_id: str) -> HttpResponse:
    error = StepError(
        step="job.show", peer="", reason=Reason.NOT_FOUND, detail=f"no job {job_id[:40]!r}"
    )
    return error_response(error, status=410)
