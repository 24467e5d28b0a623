"""Route for the status of an entry host."""

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
    """Whether the log's end was read recently enough to act on it."""
    next_offset_by_stream: dict[str, int]
    """Records below this offset were read and folded."""
    queued: int
    """Records that wait for an append."""
    unresolved: int
    """Records sent whose outcome is not known yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkStatus:
    """Waiting and running work of an entry host."""

    requests_waiting: int
    requests_in_progress: int
    permits_held: int
    tasks_waiting_by_class: dict[str, int]
    tasks_placed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HostStatus:
    """Status of an entry host."""

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
        """`describe` is called for each request."""
        self._describe = describe

    @route("GET", "/v1/status")
    async def status(self, request: HttpRequest) -> HttpResponse:
        """Answer 200, ready or not."""
        return json_response(200, self._describe())
