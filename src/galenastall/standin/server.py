"""HTTP server of the stand-in platform; every service has its own loopback port."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from galenastall.protocol.clock import Clock
from galenastall.standin.control_routes import ControlRoutes
from galenastall.standin.executor_http import ExecutorServer
from galenastall.standin.fleet import FleetShape, make_hosts
from galenastall.standin.lean_http import LeanServer
from galenastall.standin.lean_routes import RoutedRequestHandler
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.standin.platform_routes import PlatformRoutes
from galenastall.standin.worker_routes import WorkerRoutes
from galenastall.state.errors import StepError
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import HostId
from galenastall.transport.http_server import HttpServer

ErrorSink = Callable[[StepError, BaseException], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class StandinAddresses:
    """Addresses of a running stand-in."""

    platform: str
    """`IP:port` of the log and the host list."""
    control: str
    """`IP:port` of the control API: fault settings, counters and records."""
    workers: str
    hosts: tuple[ListedHost, ...]


class StandinServer:
    """Serves a MemoryPlatform over HTTP until cancelled."""

    def __init__(
        self,
        *,
        model: MemoryPlatform,
        clock: Clock,
        shape: FleetShape,
        bind_host: str = "127.0.0.1",
        port: int = 0,
        control_bind: str = "127.0.0.1:0",
        on_error: ErrorSink | None = None,
        on_host_started: Callable[[ListedHost], None] | None = None,
    ) -> None:
        """Serve `model` and start the hosts of `shape`; port 0 lets the system choose.

        `port` is that of the log and the host list; workers and executors use ports chosen by the
        system. `on_host_started` is called for each host that is started, before it gets calls.
        """
        self.model = model
        self._shape = shape
        self._bind_host = bind_host
        self._on_host_started = on_host_started or (lambda host: None)
        self._nursery: trio.Nursery | None = None
        self._control = HttpServer(
            handlers=[ControlRoutes(model=model, host_manager=self)],
            clock=clock,
            bind=control_bind,
            log_error=on_error,
        )
        self._platform = LeanServer(
            answer=RoutedRequestHandler(handlers=[PlatformRoutes(model=model)]),
            bind_host=bind_host,
            port=port,
        )
        workers = WorkerRoutes(model=model, address_of=self._worker_address)
        self._workers = LeanServer(
            answer=RoutedRequestHandler(handlers=[workers]), bind_host=bind_host
        )

    @property
    def addresses(self) -> StandinAddresses:
        """Addresses of all services, once `run` has started."""
        return StandinAddresses(
            platform=self._platform.address,
            control=self._control.address,
            workers=self._workers.address,
            hosts=tuple(self.model.host_list.current().values()),
        )

    async def run(
        self, *, task_status: trio.TaskStatus[StandinAddresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve; reports the addresses once every service is reachable."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            # The other ports are already bound, so connections queue until they are served.
            await nursery.start(self._control.run)
            nursery.start_soon(self._platform.run)
            nursery.start_soon(self._workers.run)
            for host in make_hosts(self._shape):
                self.start_host(replace(host, address=""))
            self.model.host_list.catch_up()
            task_status.started(self.addresses)

    def start_host(self, host: ListedHost) -> ListedHost:
        """Start a host without an address and list it; one with an address is only listed."""
        if host.address or host.kind is HostKind.ENTRY:
            self.model.host_list.put(host)
            return host
        if host.kind is HostKind.WORKER:
            started = replace(host, address=self._worker_address(host.host_id))
            self.model.add_host(started)
            self._on_host_started(started)
            return started
        return self._start_executor(host)

    def remove_host(self, host_id: HostId) -> None:
        """Stop a host and remove it from the list; raises KeyError for an unknown host."""
        self.model.remove_host(host_id)

    def _start_executor(self, host: ListedHost) -> ListedHost:
        assert self._nursery is not None, "executors can only be started while the server runs"
        server = ExecutorServer(model=self.model, bind_host=self._bind_host)
        started = replace(host, address=server.address)
        self.model.add_host(started)
        self._on_host_started(started)
        self._nursery.start_soon(server.run)
        return started

    def _worker_address(self, host_id: str) -> str:
        return f"{self._workers.address}/workers/{host_id}"
