"""Callers' requests about jobs, in the platform's dialect."""

import re
from collections.abc import Callable
from typing import Final

from returns.result import Failure

from galenastall.node.cell.caller_desk import RETRY_AFTER_S, CallerDesk
from galenastall.platform.submissions import decode_job
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.messages import SubmitVerdict
from galenastall.protocol.clock import Clock
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
_JOB_ID: Final = re.compile(r"[0-9a-fA-F]{16}")


class JobsFace:
    """Serves submissions, states, cancels and counts on any path."""

    def __init__(
        self,
        *,
        desk: CallerDesk,
        config: Callable[[], CellConfig | None],
        clock: Clock,
        recorder: Recorder,
        submit_seconds: Histogram,
    ) -> None:
        """Pass operations to `desk`, by the routes of `config`."""
        self._submit_seconds = submit_seconds
        self._desk = desk
        self._config = config
        self._clock = clock
        self._recorder = recorder

    @route("POST", "/{path*}")
    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Take a job in."""
        found = self._find(request)
        if isinstance(found, HttpResponse):
            return found
        job_id = request.path[len(found.path_prefix) :]
        if not _JOB_ID.fullmatch(job_id):
            return _invalid(request, f"id: expected 16 hexadecimal digits, got {job_id[:40]!r}")
        body = await request.read_body(BODY_LIMIT_BYTES)
        if isinstance(body, Failure):
            return error_response(body.failure())
        job = decode_job(
            body.unwrap(),
            job_id=job_id,
            queue=found.queue,
            wall=self._clock.wall(),
            peer=request.client,
        )
        if isinstance(job, Failure):
            return error_response(job.failure())
        began_at = self._clock.now()
        submitted = await self._desk.submit(job.unwrap(), patience_s=_patience_s(request))
        self._submit_seconds.record(self._clock.now() - began_at, submitted.verdict.value)
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
        found = self._find(request)
        if isinstance(found, HttpResponse):
            return found
        job_id = request.path[len(found.path_prefix) :]
        if not job_id:
            return await self._count(request, found)
        answer = await self._desk.phase(job_id, patience_s=_patience_s(request))
        if isinstance(answer, Failure):
            return _unavailable(str(answer.failure()), RETRY_AFTER_S)
        phase = answer.unwrap()
        if phase is None:
            return _gone(job_id)
        return json_response(200, {"state": phase.value})

    @route("DELETE", "/{path*}")
    async def cancel(self, request: HttpRequest) -> HttpResponse:
        """Cancel a job."""
        found = self._find(request)
        if isinstance(found, HttpResponse):
            return found
        job_id = request.path[len(found.path_prefix) :]
        answer = await self._desk.cancel(job_id, patience_s=_patience_s(request))
        if isinstance(answer, Failure):
            return _unavailable(str(answer.failure()), RETRY_AFTER_S)
        phase = answer.unwrap()
        return _gone(job_id) if phase is None else json_response(200, {"state": phase.value})

    async def _count(self, request: HttpRequest, found: QueueRoute) -> HttpResponse:
        answer = await self._desk.pending(found.queue.name, patience_s=_patience_s(request))
        if isinstance(answer, Failure):
            return _unavailable(str(answer.failure()), RETRY_AFTER_S)
        return json_response(200, {"pending": answer.unwrap()})

    def _find(self, request: HttpRequest) -> QueueRoute | HttpResponse:
        config = self._config()
        if config is None:
            return _unavailable("no configuration has been read yet", RETRY_AFTER_S)
        found = config.find(host=request.headers.get("host", ""), path=request.path)
        if found is None:
            detail = f"no queue at {request.path[:80]} of version {config.version}"
            error = StepError(
                step="job.route", peer=request.client, reason=Reason.NOT_FOUND, detail=detail
            )
            return error_response(error)
        return found


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
