"""Run a stand-in as a process: `run_standin` for the command line, `serve_standin` inside trio."""

import gc
import signal
from collections.abc import Callable
from functools import partial
from typing import Final

import trio

from galenastall.protocol.addresses import split_address
from galenastall.protocol.clock import Clock
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.standin.server import ErrorSink, StandinAddresses, StandinServer
from galenastall.standin.settings import StandinSettings
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.transport.clock import TrioClock

GC_THRESHOLDS: Final = (20_000, 50, 1_000_000)
"""New objects, young and middle collections that trigger the next larger garbage collection."""

ReadySink = Callable[[StandinAddresses], None]


def build_server(
    *, settings: StandinSettings, clock: Clock, on_error: ErrorSink | None = None
) -> StandinServer:
    """Build a server with these settings, without starting it."""
    model = MemoryPlatform(clock=clock, seed=settings.seed)
    model.log.set_faults(settings.log.faults())
    model.host_list.set_faults(settings.host_list_faults())
    for host in settings.listed_entry_hosts():
        model.add_host(host)
    bind_host, port = split_address(settings.bind)
    return StandinServer(
        model=model,
        clock=clock,
        shape=settings.shape(),
        bind_host=bind_host,
        port=port,
        control_bind=settings.control_bind,
        on_error=on_error,
        on_host_started=partial(_set_initial_faults, model=model, settings=settings),
    )


def run_standin(
    *, settings: StandinSettings, on_ready: ReadySink, on_error: ErrorSink | None = None
) -> None:
    """Serve until SIGTERM or SIGINT; `on_ready` gets the addresses once all services are up.

    Changes the garbage collector of the process: full collections, which pause it for 0.25 s once
    it holds the records of many runs, are effectively disabled. The records form no cycles.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    trio.run(partial(serve_standin, settings=settings, on_ready=on_ready, on_error=on_error))


async def serve_standin(
    *, settings: StandinSettings, on_ready: ReadySink, on_error: ErrorSink | None = None
) -> None:
    """Serve until SIGTERM, SIGINT or cancellation."""
    server = build_server(settings=settings, clock=TrioClock(), on_error=on_error)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            on_ready(await nursery.start(server.run))
            async for _ in signals:
                nursery.cancel_scope.cancel()
                return


def _set_initial_faults(
    host: ListedHost, *, model: MemoryPlatform, settings: StandinSettings
) -> None:
    if host.kind is HostKind.WORKER:
        model.workers.set_faults(host.address, settings.workers.faults())
    elif host.kind is HostKind.UPSTREAM:
        model.executors.set_faults(host.address, settings.executors.faults())
