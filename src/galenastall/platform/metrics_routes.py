"""HTTP route of the metrics page."""

from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.metrics import CONTENT_TYPE, Metrics


class MetricsRoutes:
    """Serves the metrics as text."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Serve `metrics`."""
        self._metrics = metrics

    @route("GET", "/metrics")
    async def show(self, _: HttpRequest) -> HttpResponse:
        """Return the page."""
        body = await self._metrics.page()
        return HttpResponse(headers={"content-type": CONTENT_TYPE}, body=body)
