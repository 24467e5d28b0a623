"""A small fleet of real processes on loopback: one stand-in platform and some entry hosts.

The driver writes each process's settings file, starts it, and lists entry hosts with the stand-in
as the platform would. Ports are chosen by the system.
"""

import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec
import trio
import yaml
from returns.result import Failure

from galenastall.bench.load import Target
from galenastall.bench.processes import Driver, Usage, reserve_ports, running_driver
from galenastall.standin.control_client import StandinControl
from galenastall.state.errors import GalenastallError
from galenastall.state.hosts import HostKind, HostState, ListedHost
from galenastall.state.ids import DataCentre, HostId
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import BufferedResponse, HttpClient

STANDIN: Final = "standin"
READY_TIMEOUT_S: Final = 60.0
CALL_TIMEOUT_S: Final = 15.0
OK_CLASS: Final = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetPlan:
    """What to start."""

    entry_hosts_by_data_centre: dict[str, int]
    workers: int = 24
    executors: int = 24
    worker_cores: int = 64
    worker_memory_gb: int = 128
    service_mean_ms: float = 20.0
    service_distribution: str = "lognormal"
    slots: int = 8
    log_keep_s: float | None = None
    appends_per_s: float = 300.0
    host_list_lag_s: float = 1.0
    seed: int = 1
    shared: dict[str, Any] = field(default_factory=dict)
    """Parts of the shared tree to put in place before the load, by path."""
    source: Path | None = None
    """Checkout whose `src` the entry hosts run; this one's if None."""


class CallError(GalenastallError):
    """A call that an experiment can't do without failed."""


@dataclass(kw_only=True, slots=True)
class EntryHost:
    """One entry host of the fleet."""

    host_id: HostId
    data_centre: DataCentre
    http_address: str
    peer_address: str
    settings_path: Path

    @property
    def target(self) -> Target:
        """Where load goes."""
        return Target(host_id=self.host_id, address=self.http_address)


class Fleet:
    """The running processes; use `running_fleet`."""

    def __init__(self, *, plan: FleetPlan, driver: Driver, directory: Path) -> None:
        """Prepare files under `directory`; nothing runs before `start`."""
        self.plan = plan
        self.driver = driver
        self.clock = TrioClock()
        self.client = HttpClient(clock=self.clock, max_connections=256)
        self.entry_hosts_by_id: dict[HostId, EntryHost] = {}
        platform_port, control_port = reserve_ports(2)
        self.platform_address = f"127.0.0.1:{platform_port}"
        self._control_address = f"127.0.0.1:{control_port}"
        self.control = StandinControl(client=self.client, address=self._control_address)
        self._directory = directory

    async def start(self) -> None:
        """Start the stand-in, list and start all entry hosts, put the shared tree in place."""
        await self._start_standin()
        for data_centre, count in self.plan.entry_hosts_by_data_centre.items():
            for number in range(count):
                self._add_entry_host(f"{data_centre}-entry-{number + 1}", data_centre)
        for host in self.entry_hosts_by_id.values():
            await self.list_entry_host(host)
        async with trio.open_nursery() as nursery:
            for host_id in self.entry_hosts_by_id:
                nursery.start_soon(self.start_entry_host, host_id)
        for path, subtree in self.plan.shared.items():
            await self.put_settings(path, subtree)

    async def start_entry_host(self, host_id: str) -> None:
        """Start an entry host's process, also again, and wait until it is ready."""
        host = self.entry_hosts_by_id[HostId(host_id)]
        settings = str(host.settings_path)
        command = (sys.executable, "-m", "galenastall", "node", "--settings", settings)
        await self.driver.start(name=host_id, command=command, extra_env=self._environment())
        url = f"http://{host.http_address}/readyz"
        await self.driver.wait_ready(name=host_id, url=url, timeout_s=READY_TIMEOUT_S)

    async def list_entry_host(self, host: EntryHost, state: HostState = HostState.LIVE) -> None:
        """Show an entry host in the platform's list."""
        row = ListedHost(
            host_id=host.host_id,
            kind=HostKind.ENTRY,
            data_centre=host.data_centre,
            state=state,
            address=host.http_address,
            peer_address=host.peer_address,
        )
        listed = await self.control.add_host(row)
        if isinstance(listed, Failure):
            raise CallError(f"listing {host.host_id}: {listed.failure()}")

    async def hosts_of(self, kind: HostKind) -> list[ListedHost]:
        """Return the hosts of a kind as the stand-in knows them now."""
        hosts = await self.control.hosts()
        if isinstance(hosts, Failure):
            raise CallError(f"hosts: {hosts.failure()}")
        return [host for host in hosts.unwrap() if host.kind is kind]

    def targets(self) -> tuple[Target, ...]:
        """Return all entry hosts as targets of load."""
        return tuple(host.target for host in self.entry_hosts_by_id.values())

    def usage(self) -> dict[str, Usage]:
        """Return what each running entry host has used so far."""
        return {
            host_id: self.driver.usage(host_id)
            for host_id in self.entry_hosts_by_id
            if self.driver.is_running(host_id)
        }

    async def put_settings(self, path: str, subtree: object) -> BufferedResponse:
        """Change a subtree of the shared tree; raises CallError if it is refused."""
        host = next(iter(self.entry_hosts_by_id.values()))
        route = f"/v1/settings/tree/{path}"
        shown = await self.call("GET", host, route)
        if shown.status // 100 != OK_CLASS:
            raise CallError(f"settings {path}: {shown.status} {shown.body[:300]!r}")
        message = {
            "change_id": f"bench-{path}-{self.clock.wall():.6f}",
            "base_revision": msgspec.json.decode(shown.body)["revision"],
            "author": "bench",
            "subtree": subtree,
        }
        answer = await self.call("PUT", host, route, message)
        if answer.status // 100 != OK_CLASS:
            raise CallError(f"settings {path}: {answer.status} {answer.body[:300]!r}")
        return answer

    async def call(
        self, method: str, host: EntryHost, path: str, message: object = None
    ) -> BufferedResponse:
        """Call an entry host's HTTP side; raises CallError if there is no whole answer."""
        answer = await self.client.request(
            method=method,
            address=host.http_address,
            path=path,
            timeout_s=CALL_TIMEOUT_S,
            headers={"content-type": "application/json"},
            body=b"" if message is None else msgspec.json.encode(message),
            step="bench.call",
        )
        if isinstance(answer, Failure):
            raise CallError(f"{method} {path} at {host.host_id}: {answer.failure()}")
        return answer.unwrap()

    async def _start_standin(self) -> None:
        plan = self.plan
        settings = {
            "bind": self.platform_address,
            "control_bind": self._control_address,
            "seed": plan.seed,
            "data_centres": list(plan.entry_hosts_by_data_centre),
            "host_list_lag_seconds": plan.host_list_lag_s,
            "workers": {
                "count": plan.workers,
                "cores": plan.worker_cores,
                "memory_gb": plan.worker_memory_gb,
            },
            "executors": {
                "count": plan.executors,
                "slots": plan.slots,
                "service_time": {
                    "distribution": plan.service_distribution,
                    "mean_ms": plan.service_mean_ms,
                },
            },
            "log": {"appends_per_second": plan.appends_per_s, "keep_seconds": plan.log_keep_s},
        }
        path = self._write("standin.yaml", settings)
        command = (sys.executable, "-m", "galenastall", "standin", "--settings", str(path))
        await self.driver.start(name=STANDIN, command=command, extra_env=self._environment())
        url = f"http://{self._control_address}/control/hosts"
        await self.driver.wait_ready(name=STANDIN, url=url, timeout_s=READY_TIMEOUT_S)

    def _add_entry_host(self, host_id: str, data_centre: str) -> None:
        http_port, peer_port = reserve_ports(2)
        settings = {
            "host_id": host_id,
            "data_centre": data_centre,
            "http_bind": f"127.0.0.1:{http_port}",
            "peer_bind": f"127.0.0.1:{peer_port}",
            "platform": {"adapter": "http", "address": self.platform_address},
        }
        self.entry_hosts_by_id[HostId(host_id)] = EntryHost(
            host_id=HostId(host_id),
            data_centre=DataCentre(data_centre),
            http_address=f"127.0.0.1:{http_port}",
            peer_address=f"127.0.0.1:{peer_port}",
            settings_path=self._write(f"{host_id}.yaml", settings),
        )

    def _write(self, name: str, settings: dict[str, Any]) -> Path:
        path = self._directory / name
        path.write_text(yaml.safe_dump(settings))
        return path

    def _environment(self) -> dict[str, str]:
        source = self.plan.source
        return {} if source is None else {"PYTHONPATH": os.fspath(source / "src")}


@asynccontextmanager
async def running_fleet(plan: FleetPlan, directory: Path) -> AsyncIterator[Fleet]:
    """Provide a started fleet whose processes all end with the block."""
    async with running_driver(directory) as driver:
        fleet = Fleet(plan=plan, driver=driver, directory=directory)
        await fleet.start()
        yield fleet
