"""HTTP route of the readiness probe: whether this host should get new connections."""

from collections.abc import Callable

from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route


class ReadinessRoutes:
    """Serves the readiness probe of the platform's load balancer."""

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        """Report what `is_ready` returns."""
        self._is_ready = is_ready

    @route("GET", "/readiness")
    async def show(self, _: HttpRequest) -> HttpResponse:
        """Return 200 if ready, else 503."""
        return HttpResponse(status=200 if self._is_ready() else 503)
