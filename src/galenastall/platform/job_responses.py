"""Responses to callers' requests about jobs, in the platform's API."""

from typing import Final

from galenastall.platform.access import KEY_HEADER
from galenastall.protocol.cell.messages import CallAdmission, CallRefusal
from galenastall.state.cell.phases import JobPhase
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_json import error_response, json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse

UNAUTHORIZED: Final = 401


def status_response(job_id: str, found: JobPhase | int | None) -> HttpResponse:
    """Return the response with a job's state or a queue's count; 410 for an unknown job."""
    if found is None:
        return _job_not_found(job_id)
    if isinstance(found, JobPhase):
        return json_response(200, {"state": found.value})
    return json_response(200, {"pending": found})


def refusal_response(request: HttpRequest, admission: CallAdmission) -> HttpResponse:
    """Return the response to a call that a version of the configuration does not admit."""
    detail = refusal_detail(request, admission)
    if admission.refusal is CallRefusal.UNAUTHORIZED:
        return refused(request, Reason.REFUSED, detail, status=UNAUTHORIZED)
    return refused(request, Reason.NOT_FOUND, detail)


def refusal_detail(request: HttpRequest, admission: CallAdmission) -> str:
    """Return why a version of the configuration does not admit a call."""
    if admission.refusal is CallRefusal.UNAUTHORIZED:
        return f"{KEY_HEADER}: no workspace of version {admission.version} has this key"
    return f"no queue at {request.path[:80]} in configuration version {admission.version}"


def refused(
    request: HttpRequest, reason: Reason, detail: str, *, status: int | None = None
) -> HttpResponse:
    """Return the response to a call that is refused, by default with its reason's status."""
    error = StepError(step="job.route", peer=request.client, reason=reason, detail=detail)
    return error_response(error, status=status)


def invalid(request: HttpRequest, detail: str) -> HttpResponse:
    """Return the response to a submission that is malformed."""
    return error_response(
        StepError(step="job.submit", peer=request.client, reason=Reason.INVALID, detail=detail)
    )


def unavailable(detail: str, retry_after_s: float) -> HttpResponse:
    """Return the response to a call that can't be served now."""
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
