"""HTTP routes of the shared settings, for operators."""

from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure

from galenastall.node.settings.settings_mapping import NO_EFFECT
from galenastall.node.settings.settings_service import ChangePhase, SettingsService
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import ChangeId, Offset
from galenastall.state.settings_records import SettingsChange, Verdict, VerdictKind
from galenastall.state.shared_settings import SCHEMA_VERSION
from galenastall.transport.http_json import error_response, json_response, parse_json
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route

STATUS_BY_VERDICT: Final[dict[VerdictKind, int]] = {
    VerdictKind.ACCEPTED: 200,
    VerdictKind.STALE: 409,
    VerdictKind.INVALID: 422,
    VerdictKind.FORBIDDEN: 403,
}
MAX_ID_CHARS: Final = 200
NO_EFFECT_HEADER: Final = "galenastall-no-effect"
"""Lists the settings that this version stores without acting on them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsView:
    """A subtree as set and in force, and the revision that a change to it must be based on."""

    path: str
    revision: Offset
    subtree: Any
    """What was set; null if nothing was, so that defaults apply."""
    next_offset: Offset
    digest: str
    blocked_paths: tuple[str, ...]
    """Paths with a change of a newer schema version, which was not applied."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeBody:
    """Body of a PUT."""

    change_id: ChangeId
    base_revision: Offset
    author: str
    subtree: Any = None


@dataclass(frozen=True, kw_only=True, slots=True)
class History:
    """The retained verdicts, oldest first."""

    verdicts: tuple[Verdict, ...]


class HttpSettings:
    """Routes below /v1/settings; the body of a change rejected by the fold is its verdict."""

    def __init__(self, *, service: SettingsService) -> None:
        self._service = service

    @route("GET", "/v1/settings")
    async def show_root(self, request: HttpRequest) -> HttpResponse:
        """Return the whole tree."""
        return self._show("")

    @route("GET", "/v1/settings/in-force")
    async def show_in_force(self, request: HttpRequest) -> HttpResponse:
        """Return the whole tree with all defaults filled in; a header names what has no effect."""
        tree = self._service.current.model_dump(mode="json")
        headers = {NO_EFFECT_HEADER: ", ".join(NO_EFFECT)}
        return json_response(200, tree, headers=headers)

    @route("GET", "/v1/settings/history")
    async def show_history(self, request: HttpRequest) -> HttpResponse:
        """Return the retained verdicts."""
        return json_response(200, History(verdicts=self._service.fold.verdicts()))

    @route("GET", "/v1/settings/changes/{change_id}")
    async def show_change(self, request: HttpRequest) -> HttpResponse:
        """Return the status of a change; 404 if it was not seen."""
        status = self._service.status(ChangeId(request.path_params["change_id"]))
        code = 404 if status.phase is ChangePhase.NOT_SEEN else 200
        return json_response(code, status)

    @route("GET", "/v1/settings/tree/{path*}")
    async def show_path(self, request: HttpRequest) -> HttpResponse:
        """Return one subtree."""
        return self._show(request.path_params["path"])

    @route("PUT", "/v1/settings")
    async def change_root(self, request: HttpRequest) -> HttpResponse:
        """Replace the whole tree."""
        return await self._change("", request)

    @route("PUT", "/v1/settings/tree/{path*}")
    async def change_path(self, request: HttpRequest) -> HttpResponse:
        """Replace one subtree."""
        return await self._change(request.path_params["path"], request)

    def _show(self, path: str) -> HttpResponse:
        reasons = self._service.not_ready_reasons()
        if reasons:
            return error_response(_error(Reason.UNAVAILABLE, "; ".join(reasons), retry_after_s=1.0))
        fold = self._service.fold
        try:
            view = SettingsView(
                path=path,
                revision=fold.revision(path),
                subtree=fold.subtree(path),
                next_offset=fold.next_offset,
                digest=fold.digest,
                blocked_paths=fold.blocked_paths,
            )
        except ValueError as error:
            return error_response(_error(Reason.INVALID, str(error)))
        return json_response(200, view)

    async def _change(self, path: str, request: HttpRequest) -> HttpResponse:
        parsed = await parse_json(request, ChangeBody)
        if isinstance(parsed, Failure):
            return error_response(parsed.failure())
        body = parsed.unwrap()
        for name, value in (("change_id", body.change_id), ("author", body.author)):
            if not 0 < len(value) <= MAX_ID_CHARS:
                detail = (
                    f"{name} {value[:MAX_ID_CHARS]!r}: must have 1 to {MAX_ID_CHARS} characters"
                )
                return error_response(_error(Reason.INVALID, detail))
        decided = await self._service.change(
            SettingsChange(
                change_id=body.change_id,
                path=path,
                base_revision=body.base_revision,
                subtree=body.subtree,
                author=body.author,
                schema_version=SCHEMA_VERSION,
            )
        )
        if isinstance(decided, Failure):
            return error_response(decided.failure())
        verdict = decided.unwrap()
        return json_response(STATUS_BY_VERDICT[verdict.kind], verdict)


def _error(reason: Reason, detail: str, *, retry_after_s: float | None = None) -> StepError:
    return StepError(
        step="http.settings", peer="", reason=reason, detail=detail, retry_after_s=retry_after_s
    )
