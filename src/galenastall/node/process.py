"""Runs the entry host as a process: settings, signals, drain, and the count of requests cut off."""

import gc
import os
import random
import signal
import uuid
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

import trio

from galenastall.node.entry_host import EntryHost
from galenastall.protocol.platform import PLATFORM_ADAPTERS, Platform
from galenastall.protocol.process_settings import ProcessSettings
from galenastall.state.errors import GalenastallError, UnknownNameError
from galenastall.state.ids import HostId, Incarnation
from galenastall.transport import platform_http
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.logs import Level, configure_logging, default_stream

ADAPTER_MODULES = (platform_http,)
"""Imported to register the adapters."""
GC_THRESHOLDS: Final = (2_000, 50, 1_000)
"""Numbers of new objects, young and middle collections that trigger the next larger collection."""
FORCED_EXIT_CODE: Final = 1
"""Exit code after a second signal."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundAddresses:
    """Addresses of an entry host, known once it is bound."""

    host_id: str
    http: str
    peer: str
    event: str = "node.bound"


BoundSink = Callable[[BoundAddresses], None]


class StartError(GalenastallError):
    """The settings are well-formed, but the process can't run with them."""


def run_entry_host(*, settings: ProcessSettings, on_bound: BoundSink) -> int:
    """Run until SIGTERM or SIGINT, then drain; return the number of requests cut off.

    `on_bound` gets the addresses. A second signal ends the process at once with FORCED_EXIT_CODE.
    Raises StartError with the problem.
    """
    configure_logging(stream=default_stream(), level=Level[settings.log_level.upper()])
    _limit_gc_pauses()
    try:
        return trio.run(partial(serve_entry_host, settings=settings, on_bound=on_bound))
    except BaseExceptionGroup as group:
        found = group.subgroup(StartError)
        if found is None:
            raise
        raise _first_leaf(found) from None


async def serve_entry_host(*, settings: ProcessSettings, on_bound: BoundSink) -> int:
    """Serve until told to stop, then drain; return the number of requests cut off.

    A second signal ends the process at once.
    """
    host = build_entry_host(settings=settings)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await _start(host, nursery)
            on_bound(
                BoundAddresses(
                    host_id=settings.host_id, http=host.server.address, peer=host.link.address
                )
            )
            await _wait_for_stop(signals, host.drain_route.requested)
            nursery.start_soon(_abort_on_signal, signals, host)
            cut_off = await host.drain()
            nursery.cancel_scope.cancel()
    return cut_off


def build_entry_host(*, settings: ProcessSettings) -> EntryHost:
    """Return an entry host that is not yet running; raises StartError for unusable settings."""
    clock = TrioClock()
    client = HttpClient(clock=clock)
    try:
        return EntryHost(
            settings=settings,
            platform=connect_platform(settings=settings, client=client, clock=clock),
            clock=clock,
            rng=random.Random(uuid.uuid4().int),
            incarnation=Incarnation(uuid.uuid4().hex[:12]),
            log_stream=default_stream(),
        )
    except UnknownNameError as error:
        raise StartError(f"platform.adapter: {error}") from error
    except (OSError, ValueError) as error:
        raise StartError(str(error)) from error


async def _start(host: EntryHost, nursery: trio.Nursery) -> None:
    try:
        await nursery.start(host.run)
    except BaseExceptionGroup as group:
        found = group.subgroup((OSError, ValueError))
        if found is None:
            raise
        raise StartError(str(_first_leaf(found))) from group


def _first_leaf(group: BaseExceptionGroup[BaseException]) -> BaseException:
    found = group.exceptions[0]
    return _first_leaf(found) if isinstance(found, BaseExceptionGroup) else found


def _limit_gc_pauses() -> None:
    """Exclude the libraries' objects from garbage collection, and run full collections rarely.

    A full collection stops the event loop for 150 ms or more once 20,000 tasks are held; see
    docs/measurements/process.md.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


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


async def _wait_for_stop(signals: AsyncIterator[int], drain_requested: trio.Event) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, signals, nursery.cancel_scope)
        await drain_requested.wait()
        nursery.cancel_scope.cancel()


async def _abort_on_signal(signals: AsyncIterator[int], host: EntryHost) -> None:
    """Exit at once; cancellation would wait for writes that the HTTP library shields."""
    await anext(signals)
    host.recorder.record(
        "node.broken_off",
        subjects=(host.host_id,),
        cause="a second signal was received",
        fields={"cut_off": str(host.server.open_requests)},
        level=Level.WARNING,
    )
    os._exit(FORCED_EXIT_CODE)


async def _cancel_on_signal(signals: AsyncIterator[int], scope: trio.CancelScope) -> None:
    await anext(signals)
    scope.cancel()
