"""HTTP routes of the request path: parse headers, respond with one of four outcomes."""

import math
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from galenastall.node.requests.keyed_requests import KeyedRequests
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_service import RequestService
from galenastall.node.requests.request_types import Body, RequestAnswer, RequestCall, RequestReason
from galenastall.node.requests.team_gate import TeamGate
from galenastall.protocol.clock import Clock
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import RequestId, TeamPath
from galenastall.state.outcomes import Outcome
from galenastall.state.work import Urgency
from galenastall.transport.http_json import error_response, json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

TEAM: Final = "galenastall-team"
CLASS: Final = "galenastall-class"
DEADLINE_MS: Final = "galenastall-deadline-ms"
IDEMPOTENT: Final = "galenastall-idempotent"
KEY: Final = "galenastall-idempotency-key"
REQUEST_ID: Final = "galenastall-request-id"

OUTCOME: Final = "galenastall-outcome"
REASON: Final = "galenastall-reason"
RETRY_AFTER_MS: Final = "galenastall-retry-after-ms"
HOME: Final = "galenastall-home"
ATTEMPTS: Final = "galenastall-attempts"
UPSTREAM: Final = "galenastall-upstream"

MAX_ID_LENGTH: Final = 128

_URGENCIES_BY_NAME: Final = {urgency.name.lower(): urgency for urgency in Urgency}
_BOOLEANS_BY_NAME: Final = {"true": True, "false": False}

STATUS_BY_OUTCOME: Final = {
    Outcome.DONE: 200,
    Outcome.NOT_RUN: 429,
    Outcome.FAILED: 502,
    Outcome.UNKNOWN: 504,
}
STATUS_BY_REASON: Final = {
    RequestReason.DRAINING: 503,
    RequestReason.NO_UPSTREAM: 503,
    RequestReason.OVERLOADED: 503,
    RequestReason.KEY_NOT_DURABLE: 503,
    RequestReason.IN_PROGRESS: 409,
    RequestReason.ANSWER_NOT_KEPT: 410,
    RequestReason.BODY_TOO_LARGE: 413,
    RequestReason.KEY_HOME_ELSEWHERE: 421,
    RequestReason.KEY_MISMATCH: 422,
    RequestReason.KEY_REFUSED: 400,
    RequestReason.INVALID: 400,
    RequestReason.UNKNOWN_TEAM: 403,
}
"""Statuses of reasons that override the status of the outcome."""
NOT_RUN_STATUS_BY_REASON: Final = {
    RequestReason.UNREACHABLE: 503,
    RequestReason.REFUSED_BY_UPSTREAM: 503,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class _Headers:
    team: TeamPath
    urgency: Urgency
    deadline_s: float
    idempotent: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalBody:
    """Response body if there is no response of an upstream."""

    outcome: Outcome
    reason: RequestReason
    detail: str


class RequestRoutes:
    """Routes for callers."""

    def __init__(
        self,
        *,
        clock: Clock,
        requests: RequestService,
        keyed: KeyedRequests,
        settings: Callable[[], RequestSettings],
    ) -> None:
        """`keyed` also accepts requests without a key."""
        self._gate = TeamGate(clock=clock, settings=settings)
        self._clock = clock
        self._requests = requests
        self._keyed = keyed
        self._settings = settings

    @route("POST", "/v1/requests/{operation*}")
    async def submit(self, request: HttpRequest) -> HttpResponse:
        """Run a request on an upstream and stream its response."""
        arrived_at = self._clock.now()
        settings = self._settings()
        parsed = _parse(request.headers, settings)
        if isinstance(parsed, Failure):
            return self._refuse(parsed.failure(), request)
        headers = parsed.unwrap()
        refusal = self._gate.check(team=headers.team, request_id=_request_id(request.headers))
        if refusal is not None:
            return respond(self._requests.record_refusal(refusal))
        key = request.headers.get(KEY, "")
        body = await self._body(request, settings, keyed=bool(key))
        if isinstance(body, Failure):
            is_overload = body.failure().reason is Reason.OVERLOADED
            reason = RequestReason.OVERLOADED if is_overload else RequestReason.BODY_TOO_LARGE
            return self._refuse(body.failure(), request, reason)
        length = request.headers.get("content-length", "")
        call = RequestCall(
            request_id=_request_id(request.headers) or self._requests.next_ticket(),
            team=headers.team,
            urgency=headers.urgency,
            operation=request.path_params["operation"],
            deadline=arrived_at + headers.deadline_s,
            idempotent=headers.idempotent,
            key=key,
            content_type=request.headers.get("content-type", "application/octet-stream"),
            content_length=int(length) if length.isdigit() else None,
            body=body.unwrap(),
            caller_gone=request.wait_disconnected if request.stream.is_complete else None,
        )
        return respond(await self._keyed.submit(call))

    @route("GET", "/v1/requests/{id}")
    async def status(self, request: HttpRequest) -> HttpResponse:
        """Return the status of a request of this entry host."""
        wanted = RequestId(request.path_params["id"])
        status = self._requests.request_table.get(wanted)
        if status is None:
            detail = f"request {wanted!r} is not known to this entry host"
            return error_response(_error(Reason.NOT_FOUND, detail))
        return json_response(200, status)

    async def _body(
        self, request: HttpRequest, settings: RequestSettings, *, keyed: bool
    ) -> Result[Body, StepError]:
        """Return the body: as bytes if it is small or has a key, else as a stream."""
        if keyed:
            return await request.read_body(settings.keyed_body_bytes)
        first: list[bytes] = []
        size = 0
        while chunk := await request.stream.next_chunk():
            first.append(chunk)
            size += len(chunk)
            if size > settings.replay_bytes:
                return Success(_chained(first, request.body()))
        return Success(first[0] if len(first) == 1 else b"".join(first))

    def _refuse(
        self,
        error: StepError,
        request: HttpRequest,
        reason: RequestReason = RequestReason.INVALID,
    ) -> HttpResponse:
        """Refuse a malformed or too large request before it is submitted."""
        headers = {OUTCOME: Outcome.NOT_RUN.value, REASON: reason.value}
        if request_id := _request_id(request.headers):
            headers[REQUEST_ID] = request_id
        return json_response(STATUS_BY_REASON[reason], error, headers=headers)


def respond(answer: RequestAnswer) -> HttpResponse:
    """Return the response for a final answer."""
    headers = {OUTCOME: answer.outcome.value, REQUEST_ID: answer.request_id}
    if answer.reason:
        headers[REASON] = answer.reason.value
    if answer.attempts:
        headers[ATTEMPTS] = str(answer.attempts)
    if answer.upstream:
        headers[UPSTREAM] = answer.upstream
    if answer.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(answer.retry_after_s)))
        headers[RETRY_AFTER_MS] = str(math.ceil(answer.retry_after_s * 1000))
    if answer.home:
        headers[HOME] = answer.home
    if not answer.body and answer.detail:
        why = RefusalBody(outcome=answer.outcome, reason=answer.reason, detail=answer.detail)
        return json_response(_status(answer), why, headers=headers)
    if answer.content_type:
        headers["content-type"] = answer.content_type
    return HttpResponse(status=_status(answer), headers=headers, body=answer.body)


def _status(answer: RequestAnswer) -> int:
    status = STATUS_BY_REASON.get(answer.reason)
    if status is not None:
        return status
    if answer.outcome is Outcome.NOT_RUN:
        return NOT_RUN_STATUS_BY_REASON.get(answer.reason, STATUS_BY_OUTCOME[Outcome.NOT_RUN])
    return STATUS_BY_OUTCOME[answer.outcome]


def _parse(headers: Mapping[str, str], settings: RequestSettings) -> Result[_Headers, StepError]:
    team = headers.get(TEAM, "")
    if not team:
        return Failure(_invalid_header(TEAM, team, "the path of a team"))
    urgency = _URGENCIES_BY_NAME.get(headers.get(CLASS, "normal"))
    if urgency is None:
        return Failure(_invalid_header(CLASS, headers[CLASS], ", ".join(_URGENCIES_BY_NAME)))
    deadline_s = _deadline_s(headers.get(DEADLINE_MS), settings)
    if deadline_s is None:
        longest_ms = round(settings.longest_deadline_s * 1000)
        return Failure(_invalid_header(DEADLINE_MS, headers[DEADLINE_MS], f"1 to {longest_ms}"))
    idempotent = _BOOLEANS_BY_NAME.get(headers.get(IDEMPOTENT, "false"))
    if idempotent is None:
        return Failure(_invalid_header(IDEMPOTENT, headers[IDEMPOTENT], "true or false"))
    if REQUEST_ID in headers and not _request_id(headers):
        allowed = f"1 to {MAX_ID_LENGTH} printable ASCII characters without '#'"
        return Failure(_invalid_header(REQUEST_ID, headers[REQUEST_ID], allowed))
    return Success(
        _Headers(team=TeamPath(team), urgency=urgency, deadline_s=deadline_s, idempotent=idempotent)
    )


def _deadline_s(text: str | None, settings: RequestSettings) -> float | None:
    if text is None:
        return settings.default_deadline_s
    if not text.isascii() or not text.isdigit():
        return None
    seconds = int(text) / 1000
    return seconds if 0 < seconds <= settings.longest_deadline_s else None


def _request_id(headers: Mapping[str, str]) -> RequestId:
    text = headers.get(REQUEST_ID, "")
    is_valid = (
        len(text) <= MAX_ID_LENGTH and text.isascii() and text.isprintable() and "#" not in text
    )
    return RequestId(text) if is_valid else RequestId("")


async def _chained(first: list[bytes], rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    for chunk in first:
        yield chunk
    async for chunk in rest:
        yield chunk


def _invalid_header(header: str, value: str, allowed: str) -> StepError:
    return _error(Reason.INVALID, f"header {header}: {value!r}; allowed: {allowed}")


def _error(reason: Reason, detail: str) -> StepError:
    return StepError(step="http.requests", peer="", reason=reason, detail=detail)
