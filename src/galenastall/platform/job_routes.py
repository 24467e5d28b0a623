"""HTTP routes for callers' requests about jobs, in the platform's API."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from math import isfinite
from typing import Any, Final

from returns.result import Failure, Result, Success

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION
from galenastall.coordination.cell.return_times import return_after_s
from galenastall.node.cell.call_admissions import CallAdmissions, ConfigSource
from galenastall.node.cell.caller_handler import (
    RETRY_AFTER_S,
    CallerHandler,
    SubmitOutcome,
)
from galenastall.platform.access import KEY_HEADER, digest_of
from galenastall.platform.job_responses import (
    invalid,
    refusal_detail,
    refusal_response,
    refused,
    status_response,
    unavailable,
)
from galenastall.platform.submissions import decode_job, decoded_bytes
from galenastall.protocol.cell.call_admission import CallAddress
from galenastall.protocol.cell.config import QueueRoute
from galenastall.protocol.cell.messages import CallAdmission, SubmitVerdict
from galenastall.protocol.clock import Clock
from galenastall.state.cell.jobs import CellJob
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
TOO_LARGE: Final = 413
LONGEST_WAIT_S: Final = 3_600.0
"""For callers that say they wait longer."""
MAX_ADMISSION_ATTEMPTS: Final = 3
"""Attempts to admit one request, each by a newer configuration."""
_MAX_SUBJECT_LENGTH: Final = 40
_JOB_ID: Final = re.compile(r"[0-9a-fA-F]{16}")


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A caller's request, with the end of the time that it waits."""

    request: HttpRequest
    address: CallAddress
    until: float
    """When the caller must have a response, in this host's time."""

    @property
    def subject(self) -> str:
        """What its log lines are about, before its route is known."""
        path = self.request.path
        return path.rpartition("/")[2][:_MAX_SUBJECT_LENGTH] or path


@dataclass(frozen=True, kw_only=True, slots=True)
class QueryOutcome:
    """The response to a query."""

    response: HttpResponse
    cause: str = ""
    """Why it has no result; empty if it has one."""
    refusal: str = ""
    """Why the configuration does not admit it, which is a result; empty if it does."""
    version: int = UNKNOWN_VERSION
    """Version of the configuration that decided on it."""


Query = Callable[[Call, CallAdmission, QueueRoute], Awaitable[Result[Any, StepError]]]


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
        self._clock = clock
        self._recorder = recorder
        self._admissions = CallAdmissions(
            leader=handler, config=config, clock=clock, recorder=recorder
        )

    @route("POST", "/{path*}")
    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Submit a job."""
        call = self._call_of(request)
        admitted = await self._admissions.admit(call.address, patience_s=self._left_s(call))
        if isinstance(admitted, Failure):
            return self._not_admitted(call, str(admitted.failure()))
        admission = admitted.unwrap()
        if admission.route is None:
            return refusal_response(request, admission)
        job_id = _job_id(request, admission.route)
        if not _JOB_ID.fullmatch(job_id):
            detail = f"id: expected 16 hexadecimal digits, got {job_id[:40]!r}"
            return self._invalid(request, job_id, detail)
        body = await self._read_body(request)
        if isinstance(body, Failure):
            return self._unread(job_id, body.failure())
        job = decode_job(
            body.unwrap(),
            job_id=job_id,
            queue=admission.route.queue,
            workspace=admission.workspace,
            wall=self._clock.wall(),
            peer=request.client,
        )
        if isinstance(job, Failure):
            return self._invalid(request, job_id, job.failure().detail)
        began_at = self._clock.now()
        submitted = await self._submit(call, admission, job.unwrap())
        if isinstance(submitted, HttpResponse):
            return submitted
        self._submit_seconds.record(self._clock.now() - began_at, submitted.verdict.value)
        if not submitted.retry_after_s:
            submitted = replace(
                submitted, retry_after_s=self._return_s(call, job.unwrap(), submitted)
            )
        return self._submit_response(request, job_id, submitted)

    async def _read_body(self, request: HttpRequest) -> Result[bytes, StepError]:
        """Return a submission's body once there is memory to decode it."""
        config = self._config.current()
        allowed = 0 if config is None else config.callers.body_bytes
        body = await request.read_body(max(BODY_LIMIT_BYTES, allowed))
        if isinstance(body, Failure):
            return body
        prepared = await request.prepare(decoded_bytes(body.unwrap()))
        return body if isinstance(prepared, Success) else Failure(prepared.failure())

    def _unread(self, job_id: str, error: StepError) -> HttpResponse:
        """Answer a submission whose body was not read, or not decoded."""
        if error.reason is Reason.OVERLOADED:
            fields = {
                "verdict": SubmitVerdict.NOT_RUN.value,
                "return_s": f"{error.retry_after_s or RETRY_AFTER_S:g}",
            }
            self._recorder.record(
                "job.refused", subjects=(job_id,), cause=error.detail, fields=fields
            )
        is_too_large = error.reason is Reason.INVALID
        return error_response(error, status=TOO_LARGE if is_too_large else None)

    def _return_s(self, call: Call, job: CellJob, submitted: SubmitOutcome) -> float:
        """Return when the caller of a job that is not accepted should return, in seconds.

        Where the outcome is unknown another host may know it, so the caller need not wait.
        """
        if submitted.verdict is SubmitVerdict.UNKNOWN:
            return RETRY_AFTER_S
        return return_after_s(job, caller_waits_s=self._said_left_s(call))

    async def _submit(
        self, call: Call, admission: CallAdmission, job: CellJob
    ) -> SubmitOutcome | HttpResponse:
        """Submit a job; if the leader's configuration is newer, have it admit the caller."""
        may_be_stored = False
        submitted = SubmitOutcome(verdict=SubmitVerdict.UNKNOWN)
        for _ in range(MAX_ADMISSION_ATTEMPTS):
            submitted = await self._handler.submit(
                job,
                patience_s=self._left_s(call),
                config_version=admission.version,
                may_be_stored=may_be_stored,
            )
            if not submitted.is_outdated:
                return submitted
            may_be_stored = submitted.may_be_stored
            admitted = await self._admissions.admit_by_leader(
                call.address, patience_s=self._left_s(call)
            )
            if isinstance(admitted, Failure):
                return _unknown(submitted, str(admitted.failure()))
            admission = admitted.unwrap()
            if admission.route is None and may_be_stored:
                return _unknown(submitted, refusal_detail(call.request, admission))
            if admission.route is None:
                return refusal_response(call.request, admission)
            job = replace(job, queue=admission.route.queue, workspace=admission.workspace)
        return submitted

    def _not_admitted(self, call: Call, cause: str) -> HttpResponse:
        """Answer a submission that no configuration could decide on.

        An earlier try may have been accepted elsewhere; only a host that has not read any
        configuration yet answers that it accepted nothing.
        """
        is_new = self._config.current() is None
        verdict = SubmitVerdict.NOT_RUN if is_new else SubmitVerdict.UNKNOWN
        outcome = SubmitOutcome(verdict=verdict, cause=cause, retry_after_s=RETRY_AFTER_S)
        return self._submit_response(call.request, call.subject, outcome)

    def _submit_response(
        self, request: HttpRequest, job_id: str, submitted: SubmitOutcome
    ) -> HttpResponse:
        if submitted.verdict is SubmitVerdict.ACCEPTED:
            return json_response(200, {})
        if submitted.problem:
            return self._invalid(request, job_id, submitted.problem)
        fields = {"verdict": submitted.verdict.value}
        if submitted.verdict is not SubmitVerdict.TAKEN:
            fields["return_s"] = f"{submitted.retry_after_s:g}"
        self._recorder.record(
            "job.refused", subjects=(job_id,), cause=submitted.cause, fields=fields
        )
        if submitted.verdict is SubmitVerdict.NOT_RUN:
            return unavailable(submitted.cause, submitted.retry_after_s)
        if submitted.verdict is SubmitVerdict.TAKEN:
            return refused(request, Reason.CONFLICT, submitted.cause)
        return error_response(
            StepError(
                step="job.submit",
                peer=request.client,
                reason=Reason.TIMEOUT,
                detail=f"unknown whether the job was stored: {submitted.cause}",
                retry_after_s=submitted.retry_after_s,
            )
        )

    def _invalid(self, request: HttpRequest, job_id: str, detail: str) -> HttpResponse:
        """Answer a submission that is malformed or out of bounds, and log why."""
        shown_id = job_id[:_MAX_SUBJECT_LENGTH]
        self._recorder.record("job.invalid", subjects=(shown_id,), cause=detail)
        return invalid(request, detail)

    @route("GET", "/{path*}")
    async def show(self, request: HttpRequest) -> HttpResponse:
        """Return a job's state, or the number of a queue's jobs that wait for their first start."""
        return await self._serve(request, self._show)

    async def _show(
        self, call: Call, admission: CallAdmission, found: QueueRoute
    ) -> Result[Any, StepError]:
        job_id = _job_id(call.request, found)
        if job_id:
            return await self._handler.phase(
                job_id,
                patience_s=self._left_s(call),
                workspace=admission.workspace,
                config_version=admission.version,
            )
        return await self._handler.pending(
            found.queue.name, patience_s=self._left_s(call), config_version=admission.version
        )

    @route("DELETE", "/{path*}")
    async def cancel(self, request: HttpRequest) -> HttpResponse:
        """Cancel a job."""
        return await self._serve(request, self._cancel)

    async def _cancel(
        self, call: Call, admission: CallAdmission, found: QueueRoute
    ) -> Result[Any, StepError]:
        return await self._handler.cancel(
            _job_id(call.request, found),
            patience_s=self._left_s(call),
            workspace=admission.workspace,
            config_version=admission.version,
        )

    async def _serve(self, request: HttpRequest, query: Query) -> HttpResponse:
        """Run a query, and log it if it has no result or took longer than the caller waits."""
        began_at = self._clock.now()
        call = self._call_of(request)
        outcome = await self._query(call, query)
        took_s = self._clock.now() - began_at
        status = str(outcome.response.status)
        self._query_seconds.record(took_s, status)
        cause = outcome.cause
        if took_s > _remaining_time_s(request):
            cause = cause or "the response is later than the caller waits"
        if outcome.refusal and not cause:
            self._recorder.record(
                "job.not_admitted",
                subjects=(call.subject,),
                cause=outcome.refusal,
                fields={"method": request.method, "status": status},
            )
        if cause:
            self._recorder.record(
                "job.unanswered",
                subjects=(call.subject,),
                cause=cause,
                fields={
                    "method": request.method,
                    "status": status,
                    "took_ms": f"{took_s * 1000:.0f}",
                    "caller_waits_ms": f"{_remaining_time_s(request) * 1000:.0f}",
                    "version": str(outcome.version),
                },
            )
        return outcome.response

    async def _query(self, call: Call, query: Query) -> QueryOutcome:
        """Run a query; if the leader's configuration is newer, have it admit the caller."""
        admitted = await self._admissions.admit(call.address, patience_s=self._left_s(call))
        version = UNKNOWN_VERSION
        causes: list[str] = []
        for _ in range(MAX_ADMISSION_ATTEMPTS):
            if isinstance(admitted, Failure):
                causes.append(str(admitted.failure()))
                break
            admission = admitted.unwrap()
            version = admission.version
            if admission.route is None:
                response = refusal_response(call.request, admission)
                refusal = refusal_detail(call.request, admission)
                cause = "; ".join([*causes, refusal]) if causes else ""
                return QueryOutcome(
                    response=response, cause=cause, refusal=refusal, version=version
                )
            answer = await query(call, admission, admission.route)
            if not isinstance(answer, Failure):
                job_id = _job_id(call.request, admission.route)
                response = status_response(job_id, answer.unwrap())
                return QueryOutcome(response=response, version=version)
            causes = [str(answer.failure())]
            if answer.failure().reason is not Reason.CONFLICT:
                break
            admitted = await self._admissions.admit_by_leader(
                call.address, patience_s=self._left_s(call)
            )
        cause = "; ".join(causes)
        return QueryOutcome(
            response=unavailable(cause, RETRY_AFTER_S), cause=cause, version=version
        )

    def _call_of(self, request: HttpRequest) -> Call:
        address = CallAddress(
            host=request.headers.get("host", ""),
            path=request.path,
            key_digest=digest_of(request.headers.get(KEY_HEADER, "")),
        )
        until = self._clock.now() + _remaining_time_s(request)
        return Call(request=request, address=address, until=until)

    def _left_s(self, call: Call) -> float:
        return max(call.until - self._clock.now(), 0.0)

    def _said_left_s(self, call: Call) -> float | None:
        """Return for how long the caller still waits; None if it has not said so."""
        return None if _said_time_s(call.request) is None else self._left_s(call)


def _unknown(submitted: SubmitOutcome, cause: str) -> SubmitOutcome:
    """Return the outcome of a submission that could not be admitted again."""
    return replace(submitted, cause=f"{submitted.cause}; {cause}")


def _job_id(request: HttpRequest, found: QueueRoute) -> str:
    return request.path[len(found.path_prefix) :]


def _remaining_time_s(request: HttpRequest) -> float:
    said_s = _said_time_s(request)
    return DEFAULT_TIMEOUT_S if said_s is None else said_s


def _said_time_s(request: HttpRequest) -> float | None:
    """Return for how long a caller says that it waits; None if it doesn't."""
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        left_s = float(text) / 1000.0
    except ValueError:
        return None
    return min(max(left_s, 0.0), LONGEST_WAIT_S) if isfinite(left_s) else None
