"""The operator's configuration as the product sees it."""

from dataclasses import dataclass, field

from galenastall.state.cell.jobs import Queue
from galenastall.state.cell.workspaces import Workspace


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueRoute:
    """Which requests of callers belong to a queue."""

    host: str
    """Value of the request's Host header, without a port."""
    path_prefix: str
    queue: Queue
    is_public: bool = False
    """Whether callers need no key."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Credential:
    """A key by which callers act for a workspace; the key itself is never kept."""

    digest: str
    """SHA-256 of the key in hexadecimal digits."""
    workspace: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CellConfig:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[QueueRoute, ...] = ()
    services: frozenset[str] = field(default_factory=frozenset)
    """Services that it lists; `named_services` has those of the routes too."""
    standby_services: frozenset[str] = field(default_factory=frozenset)
    """Services whose hosts are off until they are moved."""
    workspaces: tuple[Workspace, ...] = ()
    credentials: tuple[Credential, ...] = ()
    requires_keys: bool = False
    """Whether callers of queues that are not public need a key."""

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
