"""An entry host on the operations platform, as a process."""

import gc
import random
import signal
import sys
import uuid
from collections.abc import AsyncIterator
from dataclasses import replace
from functools import partial
from typing import Final

import trio

from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.cell_host import CellHost, CellHostSettings, CellPorts
from galenastall.platform.advisor import PlatformAdvisor
from galenastall.platform.calls import PlatformCalls
from galenastall.platform.config import PlatformConfig
from galenastall.platform.executors import PlatformExecutors
from galenastall.platform.fleet import PlatformFleet
from galenastall.platform.jobs_face import JobsFace
from galenastall.platform.readiness import ReadinessFace
from galenastall.platform.settings import (
    PlatformSettings,
    SettingsError,
    load_settings,
    settings_path,
)
from galenastall.platform.store import PlatformStore
from galenastall.state.ids import HostId, Incarnation
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.http_server import HttpServer
from galenastall.transport.logs import Recorder
from galenastall.transport.peer_link import ZmqPeerLink

EXIT_SETTINGS: Final = 2
"""Exit code when the settings can't be used."""
LINGER_S: Final = 2.8
"""How long a stopping host takes new connections: the balancer notices within two probes."""
STOP_MARGIN_S: Final = 0.7
"""Kept of the grace time, so that the process ends by itself."""
HANDOVER_MARGIN_S: Final = 2.5
"""Kept of the grace time for the handover and the drain after a slow store was waited for."""
CONNECT_TIMEOUT_S: Final = 0.5
"""Connecting takes some milliseconds; a lost opening packet is sent again after a second."""
CONNECTIONS_PER_ADDRESS: Final = 8
GC_THRESHOLDS: Final = (5_000, 50, 1_000)
RING_EVENTS: Final = 2_000
"""Events kept in memory for the time line; some 2 MB."""


def main() -> int:
    """Run until stopped; return the exit code."""
    try:
        settings = load_settings(settings_path())
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)  # noqa: T201
        return EXIT_SETTINGS
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    trio.run(partial(serve, settings))
    return 0


async def serve(settings: PlatformSettings) -> None:
    """Serve until SIGTERM, then hand over and drain."""
    process = EntryProcess(settings=settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            await process.start(nursery)
            await _wait_for_stop(signals, process)
            await process.stop()
            nursery.cancel_scope.cancel()


async def _wait_for_stop(signals: AsyncIterator[int], process: "EntryProcess") -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            process.reload()
            continue
        process.recorder.record("host.stopping", cause=signal.Signals(number).name)
        return


class EntryProcess:
    """Servers around a cell host."""

    def __init__(self, *, settings: PlatformSettings) -> None:
        """Build all parts."""
        self._settings = settings
        clock = TrioClock()
        incarnation = Incarnation(uuid.uuid4().hex[:12])
        self.recorder = Recorder(
            process=f"{settings.host_id}/{incarnation}",
            clock=clock,
            ring=TimelineRing(capacity=RING_EVENTS),
            stream=sys.stdout.buffer,
        )
        client = HttpClient(
            clock=clock,
            max_connections=CONNECTIONS_PER_ADDRESS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self.host = CellHost(
            settings=CellHostSettings(
                host_id=HostId(settings.host_id),
                peer_address=settings.peer_bind,
                weight=settings.cores,
                claim_delay_s=settings.claim_delay_s(random.random()),
                may_start=settings.may_start,
            ),
            ports=self._ports(PlatformCalls(client=client)),
            link=ZmqPeerLink(
                host_id=HostId(settings.host_id),
                incarnation=incarnation,
                clock=clock,
                bind=settings.peer_bind,
                log_error=self.recorder.record_error,
            ),
            timings=replace(CellTimings(), lease_s=settings.longest_lease_s),
            clock=clock,
            recorder=self.recorder,
        )
        self._is_stopping = False
        self._callers = HttpServer(
            handlers=[
                JobsFace(
                    desk=self.host.desk,
                    config=self.host.config.current,
                    clock=clock,
                    recorder=self.recorder,
                )
            ],
            clock=clock,
            bind=settings.callers_bind,
            linger_s=LINGER_S,
            log_error=self.recorder.record_error,
        )
        self._readiness = HttpServer(
            handlers=[ReadinessFace(is_ready=self._is_ready)],
            clock=clock,
            bind=settings.readiness_bind,
        )

    def _ports(self, calls: PlatformCalls) -> CellPorts:
        settings = self._settings
        store = settings.store.address
        advisor = None
        if settings.advisor_address:
            advisor = PlatformAdvisor(calls=calls, address=settings.advisor_address)
        return CellPorts(
            state=PlatformStore(calls=calls, address=store),
            fleet=PlatformFleet(calls=calls, address=store, recorder=self.recorder),
            config=PlatformConfig(calls=calls, address=store),
            executors=PlatformExecutors(calls=calls),
            advisor=advisor,
        )

    def _is_ready(self) -> bool:
        return self.host.is_ready and not self._is_stopping

    async def start(self, nursery: trio.Nursery) -> None:
        """Start serving."""
        await nursery.start(self._callers.run)
        await nursery.start(self._readiness.run)
        await nursery.start(self.host.run)

    def reload(self) -> None:
        """Read the settings file again; what changes while running is in the configuration."""
        try:
            settings = load_settings(settings_path())
        except SettingsError as error:
            self.recorder.record("host.reload_failed", cause=str(error))
            return
        is_same = settings == self._settings
        self.recorder.record("host.reloaded", fields={"is_same": str(is_same)})

    async def stop(self) -> None:
        """Hand over, finish what callers wait for, and end."""
        self._is_stopping = True
        until = trio.current_time() + self._settings.stop_grace_s - STOP_MARGIN_S
        await self.host.leave(max(self._settings.stop_grace_s - HANDOVER_MARGIN_S, 0.0))
        cut_off = await self._callers.drain(max(until - trio.current_time(), 0.0))
        self.recorder.record("host.stopped", fields={"cut_off": str(cut_off)})
