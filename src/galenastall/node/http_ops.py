"""Routes for operators and monitoring: health, readiness, metrics, time line, explanation."""

from collections.abc import Awaitable, Callable, Sequence

from galenastall.coordination.timeline import (
    explain_jobs,
    explain_ownership,
    explain_requests,
    explain_settings,
)
from galenastall.coordination.timeline.explain import explain, explanation_text
from galenastall.coordination.timeline.timeline_merge import MergedTimeline, timeline_text
from galenastall.node.timeline.timeline_service import TimelineService
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_json import error_response, json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.metrics import CONTENT_TYPE, Metrics
from galenastall.transport.timeline_plot import PlotUnavailableError, plot_timeline

SENTENCE_MODULES = (explain_jobs, explain_ownership, explain_requests, explain_settings)
"""Modules that register their sentences on import."""

_TEXT = {"content-type": "text/plain; charset=utf-8"}
PresentSentences = Callable[[str], Awaitable[tuple[str, ...]]]
"""Returns sentences on the current state of an id; none if it is not known here."""

_IMAGE_TYPES = {"svg": "image/svg+xml", "png": "image/png"}


class HttpOps:
    """Handler of the operators' routes."""

    def __init__(
        self,
        *,
        metrics: Metrics,
        timeline: TimelineService,
        not_ready_reasons: Callable[[], Sequence[str]],
        present: PresentSentences | None = None,
    ) -> None:
        """Ready while `not_ready_reasons` returns nothing; `present` adds the current state."""
        self._present = present
        self._metrics = metrics
        self._timeline = timeline
        self._not_ready_reasons = not_ready_reasons

    @route("GET", "/healthz")
    async def health(self, request: HttpRequest) -> HttpResponse:
        """Answer 200 while the event loop runs."""
        return json_response(200, {"status": "ok"})

    @route("GET", "/readyz")
    async def ready(self, request: HttpRequest) -> HttpResponse:
        """Answer 200 if this host takes new work, else 503 with the reasons."""
        reasons = list(self._not_ready_reasons())
        return json_response(503 if reasons else 200, {"ready": not reasons, "reasons": reasons})

    @route("GET", "/metrics")
    async def metrics(self, request: HttpRequest) -> HttpResponse:
        """Answer in Prometheus's text format."""
        page = await self._metrics.page()
        return HttpResponse(headers={"content-type": CONTENT_TYPE}, body=page)

    @route("GET", "/v1/timeline")
    async def latest(self, request: HttpRequest) -> HttpResponse:
        """Answer with the latest events about anything."""
        return _render_timeline(request, await self._timeline.gather(""))

    @route("GET", "/v1/timeline/{subject*}")
    async def timeline(self, request: HttpRequest) -> HttpResponse:
        """Answer with the events about an id; `format` is json, text, svg or png."""
        subject = request.path_params["subject"]
        return _render_timeline(request, await self._timeline.gather(subject))

    @route("GET", "/v1/explain/{subject*}")
    async def explain(self, request: HttpRequest) -> HttpResponse:
        """Answer with sentences about an id; `format` is json or text."""
        subject = request.path_params["subject"]
        line = await self._timeline.gather(subject)
        present = () if self._present is None else await self._present(subject)
        explanation = explain(line, present=present)
        match request.query.get("format", "json"):
            case "json":
                return json_response(200, explanation)
            case "text":
                return HttpResponse(headers=_TEXT, body=explanation_text(explanation).encode())
            case other:
                return _unknown_format(request, other, "json, text")


def _render_timeline(request: HttpRequest, timeline: MergedTimeline) -> HttpResponse:
    match request.query.get("format", "json"):
        case "json":
            return json_response(200, timeline)
        case "text":
            return HttpResponse(headers=_TEXT, body=timeline_text(timeline).encode())
        case ("svg" | "png") as image:
            return _render_image(request, timeline, image)
        case other:
            return _unknown_format(request, other, "json, text, svg, png")


def _render_image(
    request: HttpRequest, timeline: MergedTimeline, image_format: str
) -> HttpResponse:
    try:
        body = plot_timeline(timeline, image_format="png" if image_format == "png" else "svg")
    except PlotUnavailableError as error:
        return error_response(_error(request, Reason.UNAVAILABLE, str(error)), status=501)
    return HttpResponse(headers={"content-type": _IMAGE_TYPES[image_format]}, body=body)


def _unknown_format(request: HttpRequest, value: str, allowed: str) -> HttpResponse:
    detail = f"format: {value!r} is unknown; allowed: {allowed}"
    return error_response(_error(request, Reason.INVALID, detail))


def _error(request: HttpRequest, reason: Reason, detail: str) -> StepError:
    return StepError(step="ops.timeline", peer=request.client, reason=reason, detail=detail)
