"""HTTP face of the stand-in's log and host list."""

from collections.abc import AsyncIterator
from typing import Any, Final

from returns.result import Failure, Result

from galenastall.protocol.platform import Platform
from galenastall.protocol.upstream_headers import CALLER
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId, Offset, StreamName
from galenastall.transport.http_json import error_response, json_response, parse_json
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.platform_http_log import AppendAnswer, AppendMessage

DEFAULT_LIMIT: Final = 1000


class LostAnswerError(Exception):
    """An answer that is to get lost: the connection breaks instead."""


class PlatformFace:
    """Routes of the log and the host list."""

    def __init__(self, *, model: MemoryPlatform) -> None:
        self._model = model

    @route("POST", "/log/{stream}")
    async def append(self, request: HttpRequest) -> HttpResponse:
        """Append the texts of the body."""
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
        try:
            start = Offset(int(request.query.get("start", "0")))
            limit = int(request.query.get("limit", DEFAULT_LIMIT))
            wait_s = float(request.query.get("wait_s", "0"))
        except ValueError as error:
            return error_response(
                StepError(
                    step="log.read", peer=request.client, reason=Reason.INVALID, detail=str(error)
                )
            )
        stream = StreamName(request.path_params["stream"])
        log = services_for(self._model, request).log
        return respond(await log.read(stream=stream, start=start, limit=limit, wait_s=wait_s))

    @route("GET", "/hosts")
    async def hosts(self, request: HttpRequest) -> HttpResponse:
        """Return the lagging list."""
        return respond(await services_for(self._model, request).host_list.fetch())


def services_for(model: MemoryPlatform, request: HttpRequest) -> Platform:
    """Return the model as the request's caller reaches it."""
    caller = request.headers.get(CALLER)
    return model.services(caller=None if caller is None else HostId(caller))


def respond(result: Result[Any, StepError]) -> HttpResponse:
    """Return the model's answer; one that the model lost breaks the connection."""
    if not isinstance(result, Failure):
        return json_response(200, result.unwrap())
    error: StepError = result.failure()
    if error.may_have_taken_effect:
        return HttpResponse(headers={"content-length": "1"}, body=_break_off())
    return error_response(error)


async def _break_off() -> AsyncIterator[bytes]:
    yield b""
    raise LostAnswerError
