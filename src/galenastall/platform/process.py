"""The process of an entry host on the operations platform."""

import gc
import random
import signal
import sys
import uuid
from collections.abc import AsyncIterator
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Final

import trio

from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.cell_host import CellHost, CellHostSettings, CellPorts
from galenastall.node.cell.cell_metrics import CellMetrics
from galenastall.node.early_signals import HANDLED, release_signals
from galenastall.platform.advisor import PlatformAdvisor
from galenastall.platform.calls import PlatformCalls
from galenastall.platform.config import PlatformConfig
from galenastall.platform.executors import PlatformExecutors
from galenastall.platform.fleet import PlatformFleet
from galenastall.platform.hosts import PlatformHosts
from galenastall.platform.job_routes import JobRoutes
from galenastall.platform.live_settings import LiveSettings
from galenastall.platform.metrics_routes import MetricsRoutes
from galenastall.platform.readiness import ReadinessRoutes
from galenastall.platform.settings import (
    PlatformSettings,
    SettingsError,
    load_settings,
    settings_path,
)
from galenastall.platform.store import PlatformStore
from galenastall.protocol.cell.config import CellConfig
from galenastall.state.ids import HostId, Incarnation
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.client_limits import ClientLimits
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.http_server import HttpServer
from galenastall.transport.limited_clients import make_budget
from galenastall.transport.log_budget import BudgetedRecorder, LineBudget
from galenastall.transport.log_stream import BoundedLogStream
from galenastall.transport.logs import Level
from galenastall.transport.metrics import Metrics
from galenastall.transport.peer_link import ZmqPeerLink
from galenastall.transport.unexpected import counted_error_log, unexpected_recorded

EXIT_SETTINGS: Final = 2
"""Exit code when the settings can't be used."""
LINGER_S: Final = 2.8
"""How long a stopping host accepts connections: the load balancer notices within two probes."""
STOP_MARGIN_S: Final = 0.7
"""Part of the grace time left unused, so that the process exits before it is killed."""
HANDOVER_MARGIN_S: Final = 2.5
"""Part of the grace time kept for the handover and the drain after a wait for a slow store."""
CONNECT_TIMEOUT_S: Final = 0.5
"""Connecting takes some milliseconds; a lost SYN is sent again after a second."""
STORE_CONNECTIONS: Final = 10
"""To the store: five appends while it is silent, a claim read, a list, a configuration, a report of
a wave and a long poll at once."""
EXECUTOR_CONNECTIONS: Final = 3
"""To an executor: the long poll and two for orders, which take 3 ms each; each one has a cost."""
SEND_BUFFER_BYTES: Final = 64 * 1024
"""What the kernel keeps of one connection's responses, which are small."""
LOG_FLUSH_INTERVAL_S: Final = 1.0
GC_THRESHOLDS: Final = (5_000, 50, 1_000)
RING_EVENTS: Final = 2_000
"""Events kept in memory for the time line; about 2 MB."""


def main() -> int:
    """Run until stopped; return the exit code."""
    try:
        path = settings_path()
        settings = load_settings(path)
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)  # noqa: T201
        return EXIT_SETTINGS
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    trio.run(partial(serve, settings, path))
    return 0


async def serve(settings: PlatformSettings, path: Path) -> None:
    """Serve until SIGTERM, then hand over and drain."""
    process = EntryProcess(settings=settings, path=path)
    with (
        trio.open_signal_receiver(*HANDLED) as signals,
        unexpected_recorded(process.recorder, "host.failed"),
    ):
        release_signals()
        async with trio.open_nursery() as nursery:
            await process.start(nursery)
            await _wait_for_stop(signals, process)
            await process.stop()
            nursery.cancel_scope.cancel()


async def _wait_for_stop(signals: AsyncIterator[int], process: "EntryProcess") -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            process.live.reload(is_requested=True)
            continue
        process.recorder.record("host.stopping", cause=signal.Signals(number).name)
        return


class EntryProcess:
    """A cell host with its HTTP servers."""

    def __init__(
        self, *, settings: PlatformSettings, path: Path, log_descriptor: int | None = None
    ) -> None:
        """Build all parts; the file at `path` is checked for changed settings.

        Log lines go to `log_descriptor`, or to standard output if it is None.
        """
        self._settings = settings
        self._clock = TrioClock()
        self._metrics = Metrics()
        log_to = sys.stdout.fileno() if log_descriptor is None else log_descriptor
        self._log = BoundedLogStream(descriptor=log_to)
        incarnation = Incarnation(uuid.uuid4().hex[:12])
        self.recorder = BudgetedRecorder(
            budget=LineBudget(clock=self._clock),
            metrics=self._metrics,
            process=f"{settings.host_id}/{incarnation}",
            clock=self._clock,
            ring=TimelineRing(capacity=RING_EVENTS),
            stream=self._log,
        )
        self.live = LiveSettings(path=path, settings=settings, recorder=self.recorder)
        self.host = self._make_host(incarnation)
        self._is_stopping = False
        cell_metrics = CellMetrics(metrics=self._metrics)
        cell_metrics.watch(self.host)
        self._metrics.gauge(
            "galenastall_log_dropped",
            "Log writes that no reader took in time.",
            lambda: float(self._log.dropped),
        )
        self._client_limits = settings.client_limits
        self._limits_by_config: CellConfig | None = None
        self._clients = make_budget(
            limits=self._limits, recorder=self.recorder, metrics=self._metrics
        )
        jobs = JobRoutes(
            handler=self.host.caller_handler,
            config=self.host.config,
            clock=self._clock,
            recorder=self.recorder,
            submit_seconds=cell_metrics.submit_seconds,
            query_seconds=cell_metrics.query_seconds,
        )
        self._callers = self._server(settings.callers_bind, jobs, linger_s=LINGER_S)
        readiness = ReadinessRoutes(is_ready=self._is_ready)
        self._readiness = self._server(settings.readiness_bind, readiness)
        self._metrics_server = self._server(
            settings.metrics_bind, MetricsRoutes(metrics=self._metrics)
        )

    def _make_host(self, incarnation: Incarnation) -> CellHost:
        settings = self._settings
        return CellHost(
            settings=CellHostSettings(
                host_id=HostId(settings.host_id),
                peer_address=settings.peer_bind,
                weight=settings.leadership_weight,
                claim_delay_s=settings.claim_delay_s(random.random()),
                may_start=settings.may_start,
                link_bytes_per_s=settings.link_bytes_per_s,
            ),
            ports=self._ports(),
            link=ZmqPeerLink(
                host_id=HostId(settings.host_id),
                incarnation=incarnation,
                clock=self._clock,
                bind=settings.peer_bind,
                log_error=counted_error_log(self.recorder),
                on_rejected_peer=self._on_rejected_peer,
            ),
            timings=replace(
                CellTimings(),
                lease_s=settings.longest_lease_s,
                maintenance_s=settings.maintenance_s,
            ),
            clock=self._clock,
            recorder=self.recorder,
        )

    def _on_rejected_peer(self, peer: str, why: str) -> None:
        self.recorder.record("peer.kept_out", peer=peer, cause=why, level=Level.WARNING)

    def _calls(self, max_connections: int) -> PlatformCalls:
        client = HttpClient(
            clock=self._clock,
            max_connections=max_connections,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        return PlatformCalls(client=client)

    def _ports(self) -> CellPorts:
        calls = self._calls(STORE_CONNECTIONS)
        store = self.live.store_address
        config = PlatformConfig(calls=calls, address=store, recorder=self.recorder)
        return CellPorts(
            state=PlatformStore(
                calls=calls,
                address=store,
                request_bytes=self._settings.store.request_bytes,
                record_bytes=self._settings.store.record_bytes,
            ),
            fleet=PlatformFleet(calls=calls, address=store, recorder=self.recorder),
            hosts=PlatformHosts(
                calls=calls,
                address=self.live.hosts_address,
                store=store,
                operator_values=config.operator_values,
                recorder=self.recorder,
            ),
            config=config,
            executors=PlatformExecutors(calls=self._calls(EXECUTOR_CONNECTIONS)),
            advisor=PlatformAdvisor(calls=calls, address=self.live.advisor_address),
        )

    def _server(self, bind: str, routes: object, *, linger_s: float = 0.0) -> HttpServer:
        return HttpServer(
            handlers=[routes],
            clock=self._clock,
            bind=bind,
            linger_s=linger_s,
            log_error=counted_error_log(self.recorder),
            budget=self._clients,
            send_buffer_bytes=SEND_BUFFER_BYTES,
        )

    def _limits(self) -> ClientLimits:
        """Return the limits on clients: never tighter than what the operator allows them."""
        config = self.host.config.current()
        if config is not None and config is not self._limits_by_config:
            self._limits_by_config = config
            self._client_limits = self._settings.client_limits.widened(
                head_bytes=config.callers.head_bytes,
                head_s=config.callers.head_s,
                idle_s=config.callers.idle_s,
            )
        return self._client_limits

    def _is_ready(self) -> bool:
        return self.host.is_ready and not self._is_stopping

    async def start(self, nursery: trio.Nursery) -> None:
        """Start serving."""
        await nursery.start(self._clients.run)
        await nursery.start(self._callers.run)
        await nursery.start(self._readiness.run)
        await nursery.start(self._metrics_server.run)
        await nursery.start(self.host.run)
        nursery.start_soon(self.live.run)
        nursery.start_soon(self._flush_log)

    async def _flush_log(self) -> None:
        """Write lines that a slow reader left pending; report dropped ones, once a second."""
        reported = 0
        while True:
            await trio.sleep(LOG_FLUSH_INTERVAL_S)
            self._log.flush()
            dropped, reported = self._log.dropped - reported, self._log.dropped
            self.recorder.report_suppressed(dropped)

    async def stop(self) -> None:
        """Hand over leadership, finish callers' open requests, and stop."""
        self._is_stopping = True
        deadline = trio.current_time() + self._settings.stop_grace_s - STOP_MARGIN_S
        await self.host.leave(max(self._settings.stop_grace_s - HANDOVER_MARGIN_S, 0.0))
        cut_off = await self._callers.drain(max(deadline - trio.current_time(), 0.0))
        self.recorder.record("host.stopped", fields={"cut_off": str(cut_off)})
