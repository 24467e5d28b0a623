"""The operator's configuration in typed form."""

from dataclasses import dataclass, field

from galenastall.state.cell.jobs import Queue
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.decoding import Quantity, Whole


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueRoute:
    """Maps requests of callers to a queue."""

    host: str
    """Value of the request's Host header, without a port."""
    path_prefix: str
    queue: Queue
    is_public: bool = False
    """Whether callers may submit without a key."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Credential:
    """A key that lets callers act for a workspace; only its digest is stored."""

    digest: str
    """SHA-256 of the key in hexadecimal digits."""
    workspace: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerAllowance:
    """What the operator allows callers; 0 where the configuration does not say."""

    head_bytes: Whole = 0
    body_bytes: Whole = 0
    head_s: Quantity = 0.0
    """Time for the head of a request."""
    idle_s: Quantity = 0.0
    """Time without any byte on an open connection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CellConfig:
    """One complete version of the configuration."""

    version: Whole
    routes: tuple[QueueRoute, ...] = ()
    services: frozenset[str] = field(default_factory=frozenset)
    """Explicitly listed services; `named_services` also includes those of the routes."""
    standby_services: frozenset[str] = field(default_factory=frozenset)
    """Services whose hosts are switched off until they are moved to another service."""
    workspaces: tuple[Workspace, ...] = ()
    credentials: tuple[Credential, ...] = ()
    requires_keys: bool = False
    """Whether callers need a key for queues that are not public."""
    callers: CallerAllowance = field(default_factory=CallerAllowance)

    @property
    def named_services(self) -> frozenset[str]:
        """Services whose executors may be used."""
        return self.services | {route.queue.service for route in self.routes}

    def find(self, *, host: str, path: str) -> QueueRoute | None:
        """Return the route with the longest matching prefix, or None."""
        name = host.partition(":")[0].lower()
        best: QueueRoute | None = None
        for route in self.routes:
            if route.host.lower() != name or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def queues(self) -> tuple[Queue, ...]:
        """Return the queues of all routes."""
        return tuple(route.queue for route in self.routes)
