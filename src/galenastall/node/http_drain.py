"""Route with which an operator makes this entry host drain and stop."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import trio

from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

OUTAGE_WARNING: Final = (
    "the log is down: nothing owned by this entry host starts new work until the log is back"
)


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainAnswer:
    """Response to a drain request."""

    draining: bool
    warning: str
    """Empty, or why the handover can't be quick."""


class HttpDrain:
    """Handler of the drain route."""

    def __init__(self, *, is_log_up: Callable[[], bool]) -> None:
        """Warn of an outage if `is_log_up` returns False."""
        self._is_log_up = is_log_up
        self.requested = trio.Event()
        """Set once a drain was requested."""

    @route("POST", "/v1/drain")
    async def drain(self, request: HttpRequest) -> HttpResponse:
        """Begin to drain, as on SIGTERM; respond at once."""
        self.requested.set()
        warning = "" if self._is_log_up() else OUTAGE_WARNING
        return json_response(202, DrainAnswer(draining=True, warning=warning))
