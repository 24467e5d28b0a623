"""The entry host as a process: settings in, signals, a drain, and the count of what was cut off."""

import random
import signal
import uuid
from collections.abc import AsyncIterator
from functools import partial

import trio

from galenastall.node.entry_host import EntryHost
from galenastall.protocol.platform import PLATFORM_ADAPTERS, Platform
from galenastall.protocol.process_settings import ProcessSettings
from galenastall.state.ids import HostId, Incarnation
from galenastall.transport import platform_http
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.logs import Level, configure_logging, default_stream

ADAPTER_MODULES = (platform_http,)
"""Imported so that the registry of adapters is full."""


def run_entry_host(*, settings: ProcessSettings) -> int:
    """Run until SIGTERM or SIGINT, drain, and return how many requests were cut off."""
    configure_logging(stream=default_stream(), level=Level[settings.log_level.upper()])
    return trio.run(partial(serve_entry_host, settings=settings))


async def serve_entry_host(*, settings: ProcessSettings) -> int:
    """Serve until a signal to stop; a second signal ends the drain at once."""
    clock = TrioClock()
    client = HttpClient(clock=clock)
    rng = random.Random(uuid.uuid4().int)
    host = EntryHost(
        settings=settings,
        platform=connect_platform(settings=settings, client=client, clock=clock),
        clock=clock,
        rng=rng,
        incarnation=Incarnation(uuid.uuid4().hex[:12]),
        log_stream=default_stream(),
    )
    cut_off, is_drained = 0, False
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await nursery.start(host.run)
            await _wait_for_stop(signals, host.drain_route.asked)
            nursery.start_soon(_cancel_on_signal, signals, nursery.cancel_scope)
            cut_off = await host.drain()
            is_drained = True
            nursery.cancel_scope.cancel()
    return cut_off if is_drained else host.server.open_requests


def connect_platform(
    *, settings: ProcessSettings, client: HttpClient, clock: TrioClock
) -> Platform:
    """Return the platform through the adapter that the settings name."""
    access = settings.platform
    build = PLATFORM_ADAPTERS.get(access.adapter)
    platform: Platform = build(
        address=access.address,
        client=client,
        clock=clock,
        timeout_s=access.timeout_seconds,
        caller=HostId(settings.host_id),
    )
    return platform


async def _wait_for_stop(signals: AsyncIterator[int], asked: trio.Event) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, signals, nursery.cancel_scope)
        await asked.wait()
        nursery.cancel_scope.cancel()


async def _cancel_on_signal(signals: AsyncIterator[int], scope: trio.CancelScope) -> None:
    await anext(signals)
    scope.cancel()
