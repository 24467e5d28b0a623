"""JSON request and response bodies, and typed errors as responses."""

import re
from typing import Any, Final, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from galenastall.state.decoding import DECODE_ERRORS, shorten
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_messages import HttpRequest, HttpResponse

T = TypeVar("T")

JSON_LIMIT_BYTES: Final = 4 * 1024 * 1024
"""Largest JSON body that is accepted."""
DECODED_FACTOR: Final = 4
"""How many times its length a decoded body takes, for the limit on what clients hold."""
_VALUE_LIMIT_CHARS: Final = 80

STATUS_BY_REASON: Final[dict[Reason, int]] = {
    Reason.REFUSED: 403,
    Reason.UNREACHABLE: 503,
    Reason.TIMEOUT: 504,
    Reason.CUT: 502,
    Reason.INVALID: 400,
    Reason.CONFLICT: 409,
    Reason.OVERLOADED: 429,
    Reason.NOT_OWNER: 421,
    Reason.NOT_FOUND: 404,
    Reason.TRIMMED: 410,
    Reason.UNAVAILABLE: 503,
}

_JSON_HEADERS: Final = {"content-type": "application/json"}
_PATH_STEP: Final = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
_PATH: Final = re.compile(r"at `\$(?P<path>[^`]*)`")


def json_response(
    status: int, value: object, *, headers: dict[str, str] | None = None
) -> HttpResponse:
    """Return a JSON response."""
    merged = _JSON_HEADERS if headers is None else {**_JSON_HEADERS, **headers}
    return HttpResponse(status=status, headers=merged, body=msgspec.json.encode(value))


def error_response(error: StepError, *, status: int | None = None) -> HttpResponse:
    """Return the error as JSON, by default with its reason's status, and Retry-After if known."""
    headers: dict[str, str] = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    code = STATUS_BY_REASON[error.reason] if status is None else status
    return json_response(code, error, headers=headers)


async def parse_json(
    request: HttpRequest, value_type: type[T], *, limit_bytes: int = JSON_LIMIT_BYTES
) -> Result[T, StepError]:
    """Return the typed body, or INVALID naming the field and its value."""
    body = await request.read_body(limit_bytes)
    if isinstance(body, Failure):
        return body
    prepared = await request.prepare(DECODED_FACTOR * len(body.unwrap()))
    if isinstance(prepared, Failure):
        return prepared
    return decode_json(body.unwrap(), value_type, step="http.parse_json", peer=request.client)


def decode_json(text: bytes, value_type: type[T], *, step: str, peer: str) -> Result[T, StepError]:
    """Return the typed value, or INVALID naming the field and its value."""
    try:
        return Success(msgspec.json.decode(text, type=value_type))
    except DECODE_ERRORS as error:
        detail = f"{shorten(str(error))}{_offending_value(text, str(error))}"
        return Failure(StepError(step=step, peer=peer, reason=Reason.INVALID, detail=detail))


def _offending_value(text: bytes, message: str) -> str:
    """Return the value that a decoder's message is about; empty if it can't be shown."""
    found = _PATH.search(message)
    path = found["path"] if found else ""
    try:
        value: Any = msgspec.json.decode(text)
        for key, index in _PATH_STEP.findall(path):
            value = value[key] if key else value[int(index)]
        shown = msgspec.json.encode(value).decode()
    except (*DECODE_ERRORS, LookupError, TypeError, OverflowError):
        return ""
    return f" (value {shown[:_VALUE_LIMIT_CHARS]})"
