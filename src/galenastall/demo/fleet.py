"""A stand-in platform and entry hosts on loopback, configured from the example settings."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

from galenastall.node.entry_host import EntryHost
from galenastall.node.process import connect_platform
from galenastall.protocol.process_settings import ProcessSettings, load_process_settings
from galenastall.standin.process import build_server
from galenastall.standin.server import StandinServer
from galenastall.standin.settings import load_standin_settings
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, HostId, Incarnation
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient

LOOPBACK = "127.0.0.1:0"
READY_TIMEOUT_S = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DemoFleet:
    """The running stand-in and entry hosts, and a client to call them."""

    standin: StandinServer
    hosts: tuple[EntryHost, ...]
    client: HttpClient


@asynccontextmanager
async def run_fleet(*, examples: Path, names: tuple[str, ...]) -> AsyncIterator[DemoFleet]:
    """Run the stand-in and the entry hosts of these example files until the context ends."""
    clock = TrioClock()
    client = HttpClient(clock=clock)
    standin_settings = load_standin_settings(examples / "standin-demo.yaml").unwrap()
    standin = build_server(settings=standin_settings, clock=clock)
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(standin.run)
        hosts = tuple(
            _build_host(examples / "dongmun" / f"{name}.yaml", addresses.platform, client, clock)
            for name in names
        )
        for host in hosts:
            await nursery.start(host.run)
            standin.model.add_host(_make_listed_host(host))
        with trio.fail_after(READY_TIMEOUT_S):
            for host in hosts:
                await _wait_ready(host)
        yield DemoFleet(standin=standin, hosts=hosts, client=client)
        for host in hosts:
            await host.drain()
        nursery.cancel_scope.cancel()


def _build_host(path: Path, platform: str, client: HttpClient, clock: TrioClock) -> EntryHost:
    settings = _on_loopback(load_process_settings(path).unwrap(), platform)
    return EntryHost(
        settings=settings,
        platform=connect_platform(settings=settings, client=client, clock=clock),
        clock=clock,
        rng=random.Random(settings.host_id),
        incarnation=Incarnation("demo"),
    )


def _on_loopback(settings: ProcessSettings, platform: str) -> ProcessSettings:
    access = settings.platform.model_copy(update={"adapter": "http", "address": platform})
    return settings.model_copy(
        update={"http_bind": LOOPBACK, "peer_bind": LOOPBACK, "platform": access, "seeds": {}}
    )


def _make_listed_host(host: EntryHost) -> ListedHost:
    return ListedHost(
        host_id=HostId(host.settings.host_id),
        kind=HostKind.ENTRY,
        data_centre=DataCentre(host.settings.data_centre),
        address=host.server.address,
        peer_address=host.link.address,
    )


async def _wait_ready(host: EntryHost) -> None:
    # Polls like a load balancer: readiness depends on many conditions and has no single event.
    while host.not_ready_reasons():  # noqa: ASYNC110
        await trio.sleep(0.05)
