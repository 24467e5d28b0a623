"""What the scripts of the review share: the deployment, its record, and its end."""

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from hosts import HOST_HEADER, Client, Hosts, make_hosts
from machines import Fleet
from store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = ["seoul-gangnam", "seoul-mapo", "seoul-seongsu"]
READY_WITHIN_S = 20.0
LONGEST_S = 110.0


class Deployment:
    """A store, machines, entry hosts and a client, and the record of what they saw."""

    def __init__(self, folder: Path, record_path: Path) -> None:
        self._began_at = time.monotonic()
        self._record = record_path.open("w")
        self._folder = folder
        self.store = Store()
        self.fleet = Fleet(store=self.store, record=self.record)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.hosts: Hosts
        self.client: Client

    def record(self, line: str) -> None:
        """Write a line with the time since the start."""
        self._record.write(f"{time.monotonic() - self._began_at:8.3f} {line}\n")
        self._record.flush()

    async def start(self, *, machines_a_zone: int, hosts_a_zone: int, route: str) -> None:
        """Start everything and wait until all entry hosts are ready."""
        cloud = await self.fleet.start(machines_a_zone, ZONES)
        store = await self.store.start()
        self.configure(route)
        hosts = make_hosts(ZONES, hosts_a_zone)
        self.hosts = Hosts(hosts, store=store, cloud=cloud, folder=self._folder)
        self.client = Client(hosts, route)
        for host in hosts:
            self.hosts.start(host)
        self._watch = asyncio.create_task(self.hosts.watch())
        async with asyncio.timeout(READY_WITHIN_S):
            await self.hosts.wait_ready()
        await asyncio.sleep(2.0)
        self.record("all entry hosts are ready")

    def configure(self, route: str) -> None:
        """Write the first configuration as the operator does."""
        found = {
            "name": f"r-{route}",
            "host": HOST_HEADER,
            "pathPrefix": f"/{route}/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "service": self.fleet.service,
            "maxAttempts": 2,
            "stretch": 2.2,
        }
        service = {
            "name": self.fleet.service,
            "healthPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "enforcesCapacity": False,
            "standby": False,
        }
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        value = {"version": 7, "routes": [found], "services": [service], "limits": limits}
        self.store.put("keyed.op", "config", value)

    def end(self) -> None:
        """End all processes and close the record."""
        if hasattr(self, "_watch"):
            self._watch.cancel()
        if hasattr(self, "hosts"):
            self.hosts.end_all()
        self._record.close()


async def until(condition: Callable[[], bool], within_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end_at = time.monotonic() + within_s
    while not condition():
        if time.monotonic() >= end_at:
            return False
        await asyncio.sleep(0.02)
    return True


def run(scenario: Callable[[Deployment], Awaitable[int]], record_path: Path) -> None:
    """Run a scenario, and exit with what it found."""

    async def run_in(folder: Path) -> int:
        deployment = Deployment(folder, record_path)
        try:
            async with asyncio.timeout(LONGEST_S):
                return await scenario(deployment)
        except Exception:
            traceback.print_exc()
            deployment.record("could not run: " + traceback.format_exc().splitlines()[-1])
            return COULD_NOT_RUN
        finally:
            deployment.end()

    keep: Any = os.environ.get("KEEP_LOGS")
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
        sys.exit(asyncio.run(run_in(Path(keep))))
    with tempfile.TemporaryDirectory() as name:
        code = asyncio.run(run_in(Path(name)))
    sys.exit(code)
