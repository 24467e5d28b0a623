"""HTTP routes of the stand-in's log and host list."""

from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from galenastall.protocol.platform import Platform
from galenastall.protocol.upstream_headers import CALLER
from galenastall.standin.lean_routes import LostResponseError
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostKind
from galenastall.state.ids import DataCentre, HostId, Offset, StreamName
from galenastall.transport.http_json import error_response, json_response, parse_json
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.platform_http_log import AppendAnswer, AppendMessage

DEFAULT_LIMIT: Final = 1000
MAX_WAIT_S: Final = 300.0
"""Maximum wait of a read, in seconds."""
_HOST_KINDS: Final = frozenset(kind.value for kind in HostKind)


class PlatformRoutes:
    """Routes of the log and the host list."""

    def __init__(self, *, model: MemoryPlatform) -> None:
        self._model = model

    @route("POST", "/log/{stream}")
    async def append(self, request: HttpRequest) -> HttpResponse:
        """Append the texts in the body."""
        message = await parse_json(request, AppendMessage)
        if isinstance(message, Failure):
            return error_response(message.failure())
        stream = StreamName(request.path_params["stream"])
        log = services_for(self._model, request).log
        appended = await log.append(stream=stream, texts=message.unwrap().texts)
        return respond(appended.map(lambda offset: AppendAnswer(offset=offset)))

    @route("GET", "/log/{stream}")
    async def read(self, request: HttpRequest) -> HttpResponse:
        """Read from `start`, waiting up to `wait_s`."""
        parsed = _parse_read(request)
        if isinstance(parsed, Failure):
            return error_response(parsed.failure())
        read = parsed.unwrap()
        stream = StreamName(request.path_params["stream"])
        log = services_for(self._model, request).log
        return respond(
            await log.read(stream=stream, start=read.start, limit=read.limit, wait_s=read.wait_s)
        )

    @route("GET", "/hosts")
    async def hosts(self, request: HttpRequest) -> HttpResponse:
        """Return the lagging list, filtered by the query."""
        query = request.query
        kind = query.get("kind")
        if kind is not None and kind not in _HOST_KINDS:
            detail = f"unknown kind {kind!r}; allowed: {', '.join(sorted(_HOST_KINDS))}"
            return error_response(_invalid(request, detail, step="host_list.fetch"))
        data_centre = query.get("data_centre")
        fetched = await services_for(self._model, request).host_list.fetch(
            data_centre=None if data_centre is None else DataCentre(data_centre),
            kind=None if kind is None else HostKind(kind),
            known_version=query.get("known_version"),
        )
        return respond(fetched)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Read:
    """Query parameters of a read."""

    start: Offset
    limit: int
    wait_s: float


def _parse_read(request: HttpRequest) -> Result[_Read, StepError]:
    query = request.query
    try:
        read = _Read(
            start=Offset(int(query.get("start", "0"))),
            limit=int(query.get("limit", DEFAULT_LIMIT)),
            wait_s=float(query.get("wait_s", "0")),
        )
    except ValueError as error:
        return Failure(_invalid(request, str(error)))
    if read.limit < 1:
        return Failure(_invalid(request, f"limit must be at least 1, not {read.limit}"))
    if not 0 <= read.wait_s <= MAX_WAIT_S:
        detail = f"wait_s must be 0 to {MAX_WAIT_S:g} seconds, not {read.wait_s}"
        return Failure(_invalid(request, detail))
    return Success(read)


def _invalid(request: HttpRequest, detail: str, step: str = "log.read") -> StepError:
    return StepError(step=step, peer=request.client, reason=Reason.INVALID, detail=detail)


def services_for(model: MemoryPlatform, request: HttpRequest) -> Platform:
    """Return the model's services with the network cuts of the request's caller."""
    caller = request.headers.get(CALLER)
    return model.services(caller=None if caller is None else HostId(caller))


def respond(result: Result[Any, StepError]) -> HttpResponse:
    """Return the model's result; raises LostResponseError if the response is to be lost."""
    if not isinstance(result, Failure):
        return json_response(200, result.unwrap())
    error: StepError = result.failure()
    if error.may_have_taken_effect:
        raise LostResponseError
    return error_response(error)
