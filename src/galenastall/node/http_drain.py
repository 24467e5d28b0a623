"""Route by which an operator asks this entry host to drain and stop."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

OUTAGE_WARNING: Final = (
    "the log is down: what this entry host owns starts nothing new until the log is back"
)


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainAnswer:
    """What an operator is told of a drain that begins."""

    draining: bool
    warning: str
    """Empty, or why the hand-over can't be quick."""


class HttpDrain:
    """Handler of the drain route."""

    def __init__(self, *, is_log_up: Callable[[], bool]) -> None:
        """`is_log_up` decides about the warning."""
        self._is_log_up = is_log_up
        self.requested = trio.Event()
        """Set once a drain was asked for."""

    @route("POST", "/v1/drain")
    async def drain(self, request: HttpRequest) -> HttpResponse:
        """Begin to drain, as SIGTERM does; the answer comes at once."""
        self.requested.set()
        warning = "" if self._is_log_up() else OUTAGE_WARNING
        return json_response(202, DrainAnswer(draining=True, warning=warning))
