"""Adapts route handlers of the transport layer to the lean server."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qsl

from galenastall.standin.lean_http import LeanRequest, LeanResponse
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_json import error_response
from galenastall.transport.http_messages import BodyStream, HttpRequest, HttpResponse
from galenastall.transport.http_routes import RouteTable

_PHRASES_BY_STATUS: Final = {status.value: status.phrase for status in HTTPStatus}


class LostResponseError(Exception):
    """A response to drop; the connection is closed instead."""


class RoutedRequestHandler:
    """Dispatches requests to the routes of its handlers, which must return complete bodies."""

    def __init__(self, *, handlers: Iterable[object]) -> None:
        """Collect the handlers' routes."""
        self._routes = RouteTable(handlers=handlers)

    async def __call__(self, request: LeanRequest) -> LeanResponse | None:
        """Return the handler's response as bytes; None for a response to drop."""
        method = request.method.decode("latin-1")
        path, _, query = request.target.decode("latin-1").partition("?")
        found = self._routes.find(method, path)
        if found is None:
            detail = f"no route {method} {path}"
            error = StepError(
                step="http.route", peer=request.client, reason=Reason.NOT_FOUND, detail=detail
            )
            return LeanResponse(data=_encode(error_response(error)))
        route, params = found
        headers = request.headers
        http_request = HttpRequest(
            method=method,
            path=path,
            path_params=params,
            query=dict(parse_qsl(query, keep_blank_values=True)) if query else {},
            headers={name.decode("latin-1"): headers[name].decode("latin-1") for name in headers},
            client=request.client,
            stream=BodyStream.of(request.body),
        )
        try:
            response = await route.handler(http_request)
        except LostResponseError:
            return None
        return LeanResponse(data=_encode(response))


def _encode(response: HttpResponse) -> bytes:
    assert isinstance(response.body, bytes), "the stand-ins don't stream response bodies"
    status = response.status
    headers = "".join(f"{name}: {value}\r\n" for name, value in response.headers.items())
    head = (
        f"HTTP/1.1 {status} {_PHRASES_BY_STATUS[status]}\r\n{headers}"
        f"content-length: {len(response.body)}\r\n\r\n"
    )
    return head.encode("latin-1") + response.body
