"""The platform's question whether this host should get new connections."""

from collections.abc import Callable

from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route


class ReadinessRoutes:
    """Answers by what the host can serve now."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        """Answer by `is_ready`."""
        self._is_ready = is_ready

    @route("GET", "/readiness")
    async def show(self, _: HttpRequest) -> HttpResponse:
        """Return 200 if ready, else 503."""
        return HttpResponse(status=200 if self._is_ready() else 503)
