"""Route by which operators see how an entry host stands, in one answer."""

from collections.abc import Callable
from dataclasses import dataclass

from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route


@dataclass(frozen=True, kw_only=True, slots=True)
class LogStatus:
    """The platform's log as this entry host sees it."""

    is_up: bool
    """Whether the last call succeeded."""
    is_fresh: bool
    """Whether the tip was read recently enough to act on it."""
    next_offset_by_stream: dict[str, int]
    """What is below was read and folded."""
    queued: int
    """Records that wait for an append."""
    unresolved: int
    """Records sent of which nobody knows yet whether they were appended."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkStatus:
    """What waits and runs here."""

    requests_waiting: int
    requests_in_progress: int
    permits_held: int
    tasks_waiting_by_class: dict[str, int]
    tasks_placed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HostStatus:
    """How an entry host stands."""

    host_id: str
    data_centre: str
    incarnation: str
    version: str
    http_address: str
    peer_address: str
    uptime_s: float
    ready: bool
    reasons: tuple[str, ...]
    """Why it is not ready."""
    draining: bool
    roster: tuple[str, ...]
    """Live members of its data centre, itself included."""
    owned_by_kind: dict[str, int]
    host_list_age_s: float | None
    """Seconds since the platform's list was read; null if never."""
    settings_digest: str
    log: LogStatus
    work: WorkStatus
    resident_mb: float


class HttpStatus:
    """Handler of the status route."""

    def __init__(self, *, describe: Callable[[], HostStatus]) -> None:
        """`describe` is asked for each answer."""
        self._describe = describe

    @route("GET", "/v1/status")
    async def status(self, request: HttpRequest) -> HttpResponse:
        """Answer 200, ready or not."""
        return json_response(200, self._describe())
