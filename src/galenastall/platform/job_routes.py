"""HTTP routes for callers' requests about jobs, in the platform's API."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Final, Protocol

from returns.result import Failure, Result

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION
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

DEADLINE_HEADER: Final = "deadline-remaining"
"""Milliseconds for which the caller still waits for a response."""
DEFAULT_TIMEOUT_S: Final = 2.5
"""For callers that send no deadline."""
BODY_LIMIT_BYTES: Final = 262_144
UNAUTHORIZED: Final = 401
MAX_ADMISSION_ATTEMPTS: Final = 3
"""Attempts to admit one request, each by a newer configuration."""
_MAX_SUBJECT_LENGTH: Final = 40
_JOB_ID: Final = re.compile(r"[0-9a-fA-F]{16}")


class ConfigSource(Protocol):
    """Source of this host's current configuration."""

    def current(self) -> CellConfig | None:
        """Return the configuration; None before the first was read."""

    async def look(self) -> None:
        """Read a newer configuration if there is one."""


class JobRoutes:
    """Serves job submissions, states, cancellations and queue counts on any path."""

    def __init__(
        self,
        *,
        handler: CallerHandler,
        config: ConfigSource,
        clock: Clock,
        recorder: Recorder,
        submit_seconds: Histogram,
        query_seconds: Histogram,
    ) -> None:
        """Pass operations to `handler`, admitted by the routes and keys of `config`."""
        self._submit_seconds = submit_seconds
        self._query_seconds = query_seconds
        self._handler = handler
        self._config = config
        self._keys = KeyCheck()
        self._clock = clock
        self._recorder = recorder

    @route("POST", "/{path*}")
    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Submit a job."""
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
        submitted = await self._submit(request, admission, job.unwrap())
        if isinstance(submitted, HttpResponse):
            return submitted
        self._submit_seconds.record(self._clock.now() - began_at, submitted.verdict.value)
        return self._submit_response(request, job_id, submitted)

    async def _submit(
        self, request: HttpRequest, admission: Admission, job: CellJob
    ) -> SubmitOutcome | HttpResponse:
        """Submit a job; if the leader's configuration is newer, admit the caller again."""
        may_be_stored = False
        submitted = SubmitOutcome(verdict=SubmitVerdict.UNKNOWN)
        for _ in range(MAX_ADMISSION_ATTEMPTS):
            submitted = await self._handler.submit(
                job,
                patience_s=_remaining_time_s(request),
                config_version=admission.config_version,
                may_be_stored=may_be_stored,
            )
            if not submitted.is_outdated:
                return submitted
            may_be_stored = submitted.may_be_stored
            admitted = await self._refresh_and_admit(request)
            if isinstance(admitted, HttpResponse):
                return admitted
            admission = admitted
            job = replace(job, queue=admission.route.queue, workspace=admission.workspace)
        return submitted

    def _submit_response(
        self, request: HttpRequest, job_id: str, submitted: SubmitOutcome
    ) -> HttpResponse:
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
                detail=f"unknown whether the job was stored: {submitted.cause}",
                retry_after_s=submitted.retry_after_s,
            )
        )

    @route("GET", "/{path*}")
    async def show(self, request: HttpRequest) -> HttpResponse:
        """Return a job's state, or the number of a queue's jobs that wait for their first start."""
        return await self._serve(request, self._show)

    async def _show(self, request: HttpRequest, admission: Admission) -> Result[Any, StepError]:
        job_id = _job_id(request, admission)
        if job_id:
            return await self._handler.phase(
                job_id,
                patience_s=_remaining_time_s(request),
                workspace=admission.workspace,
                config_version=admission.config_version,
            )
        return await self._handler.pending(
            admission.route.queue.name,
            patience_s=_remaining_time_s(request),
            config_version=admission.config_version,
        )

    @route("DELETE", "/{path*}")
    async def cancel(self, request: HttpRequest) -> HttpResponse:
        """Cancel a job."""
        return await self._serve(request, self._cancel)

    async def _cancel(self, request: HttpRequest, admission: Admission) -> Result[Any, StepError]:
        return await self._handler.cancel(
            _job_id(request, admission),
            patience_s=_remaining_time_s(request),
            workspace=admission.workspace,
            config_version=admission.config_version,
        )

    async def _serve(
        self,
        request: HttpRequest,
        query: Callable[[HttpRequest, Admission], Awaitable[Result[Any, StepError]]],
    ) -> HttpResponse:
        """Run a query, and log it if it has no result or took longer than the caller waits."""
        began_at = self._clock.now()
        response, cause = await self._query(request, query)
        took_s = self._clock.now() - began_at
        self._query_seconds.record(took_s, str(response.status))
        if took_s > _remaining_time_s(request):
            cause = cause or "the response is later than the caller waits"
        if cause:
            self._recorder.record(
                "job.unanswered",
                subjects=(request.path.rpartition("/")[2][:_MAX_SUBJECT_LENGTH] or request.path,),
                cause=cause,
                fields={
                    "method": request.method,
                    "status": str(response.status),
                    "took_ms": f"{took_s * 1000:.0f}",
                    "caller_waits_ms": f"{_remaining_time_s(request) * 1000:.0f}",
                    "version": str(self._version()),
                },
            )
        return response

    def _version(self) -> int:
        config = self._config.current()
        return UNKNOWN_VERSION if config is None else config.version

    async def _query(
        self,
        request: HttpRequest,
        query: Callable[[HttpRequest, Admission], Awaitable[Result[Any, StepError]]],
    ) -> tuple[HttpResponse, str]:
        """Return the response to a query, and why it has no result (empty if it has one).

        If the leader's configuration is newer, the caller is admitted again.
        """
        admission = await self._admit(request)
        cause = ""
        for _ in range(MAX_ADMISSION_ATTEMPTS):
            if isinstance(admission, HttpResponse):
                return admission, cause or f"not admitted: status {admission.status}"
            answer = await query(request, admission)
            if not isinstance(answer, Failure):
                return _status_response(_job_id(request, admission), answer.unwrap()), ""
            cause = str(answer.failure())
            if answer.failure().reason is not Reason.CONFLICT:
                break
            admission = await self._refresh_and_admit(request)
        return _unavailable(cause, RETRY_AFTER_S), cause

    async def _refresh_and_admit(self, request: HttpRequest) -> Admission | HttpResponse:
        """Read a newer configuration if there is one, and admit or refuse a caller by it."""
        await self._config.look()
        return self._admit_with_current_config(request)

    async def _admit(self, request: HttpRequest) -> Admission | HttpResponse:
        """Admit a caller, or refuse it after a read for a newer configuration."""
        admission = self._admit_with_current_config(request)
        if isinstance(admission, Admission):
            return admission
        return await self._refresh_and_admit(request)

    def _admit_with_current_config(self, request: HttpRequest) -> Admission | HttpResponse:
        """Admit or refuse a caller by the current configuration, before its body is read."""
        config = self._config.current()
        if config is None:
            return _unavailable("no configuration has been read yet", RETRY_AFTER_S)
        found = config.find(host=request.headers.get("host", ""), path=request.path)
        if found is None:
            detail = f"no queue at {request.path[:80]} in configuration version {config.version}"
            return _refused(request, Reason.NOT_FOUND, detail)
        key = request.headers.get(KEY_HEADER, "")
        workspace = self._keys.workspace_of(config, found, key)
        if workspace is None:
            detail = f"{KEY_HEADER}: no workspace of version {config.version} has this key"
            return _refused(request, Reason.REFUSED, detail, status=UNAUTHORIZED)
        return Admission(route=found, workspace=workspace, config_version=config.version)


def _job_id(request: HttpRequest, admission: Admission) -> str:
    return request.path[len(admission.route.path_prefix) :]


def _status_response(job_id: str, found: JobPhase | int | None) -> HttpResponse:
    """Return the response with a job's state or a queue's count; 410 for an unknown job."""
    if found is None:
        return _job_not_found(job_id)
    if isinstance(found, JobPhase):
        return json_response(200, {"state": found.value})
    return json_response(200, {"pending": found})


def _refused(
    request: HttpRequest, reason: Reason, detail: str, *, status: int | None = None
) -> HttpResponse:
    error = StepError(step="job.route", peer=request.client, reason=reason, detail=detail)
    return error_response(error, status=status)


def _remaining_time_s(request: HttpRequest) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        left_s = float(text) / 1000.0
    except ValueError:
        return DEFAULT_TIMEOUT_S
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


def _job_not_found(job_id: str) -> HttpResponse:
    error = StepError(
        step="job.show", peer="", reason=Reason.NOT_FOUND, detail=f"no job {job_id[:40]!r}"
    )
    return error_response(error, status=410)
