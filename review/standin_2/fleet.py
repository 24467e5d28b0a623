"""Entry hosts as processes of their own, started with the command of the deploy file."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standin_2.http import OK, call

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "cases.example"
RETRIES = 4
"""A client's retries, from the sheet of the small deployments."""
RETRIED = {0, 429, 502, 503, 504}
"""Statuses after which it tries again; 0 for no answer."""
DEADLINE_MS = 3000


@dataclass
class Host:
    """One entry host."""

    name: str
    zone: str
    ip: str
    front: str
    readiness: str
    control: str
    peer_port: int
    process: subprocess.Popen[bytes] | None = None

    def is_up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """All entry hosts of a case."""

    def __init__(self, *, store: str, machines: str, zones: list[str]) -> None:
        """Prepare one host a zone named; `start` starts them."""
        self._store = store
        self._machines = machines
        self._folder = Path(tempfile.mkdtemp(prefix="galenastall-review-"))
        self._bootstrap = True
        network = f"127.{1 + os.getpid() // 200 % 200}.{1 + os.getpid() % 200}"
        self.hosts = [
            self._make(f"front-{number}", zone, f"{network}.{number}")
            for number, zone in enumerate(zones, 1)
        ]

    @staticmethod
    def _make(name: str, zone: str, ip: str) -> Host:
        sockets = [socket.socket() for _ in range(4)]
        for each in sockets:
            each.bind((ip, 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        addresses = [f"{ip}:{port}" for port in ports[:3]]
        return Host(name, zone, ip, *addresses, ports[3])

    def start(self, host: Host) -> None:
        """Start a host's process with the command of the deploy file."""
        path = self._folder / f"{host.name}.toml"
        path.write_text(self._settings(host))
        environment = {
            name: value for name, value in os.environ.items() if name in {"PATH", "HOME", "LANG"}
        }
        environment["GALENASTALL_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = "target/deps"
        with open(self._folder / f"{host.name}.log", "ab") as log:
            host.process = subprocess.Popen(
                ["python3", "target/app/entry_host.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Start all hosts for the first time."""
        for host in self.hosts:
            self.start(host)
        self._bootstrap = False

    def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to a host's process."""
        if host.process is not None and host.is_up():
            host.process.send_signal(number)

    def end(self, *, keep_logs_in: Path | None = None) -> None:
        """End all processes that this fleet started, and remove its folder."""
        for host in self.hosts:
            if host.process is not None and host.is_up():
                host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if keep_logs_in is not None:
            shutil.copytree(self._folder, keep_logs_in, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _settings(self, host: Host) -> str:
        seeds = ", ".join(f'"{each.control}"' for each in self.hosts[:3])
        zones = "\n".join(f'{zone} = "region-1"' for zone in {each.zone for each in self.hosts})
        return f"""
nodeName = "{host.name}"
role = "entry-host"
machineClass = "front"
serves = ["front", "control"]
ipAddress = "{host.ip}"
zone = "{host.zone}"
region = "region-1"
internalPortRange = [{host.peer_port}, {host.peer_port + 1}]
seedNodes = [{seeds}]
bootstrap = {str(self._bootstrap).lower()}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
orders = "duty_call"
[zones]
{zones}
[listenAddresses]
front = "{host.front}"
readiness = "{host.readiness}"
control = "{host.control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
graceS = 6
maxHoldMs = 10000
stopTimeoutMs = 400
gangTimeoutMs = 3000
maintenanceS = 2
enforcesFencing = true
leaseMs = 3000
[platform]
address = "{self._store}"
form = "log"
writesPerS = 800
readsPerS = 2000
recordBytes = 262144
requestBytes = 2097152
[cloudApi]
address = "{self._machines}"
ratePerS = 60.0
dutyPerS = 60.0
"""


@dataclass
class Sent:
    """One attempt of a client."""

    at: float
    method: str
    job: str
    host: str
    status: int
    took_s: float


class Client:
    """Callers of the entry hosts, which retry as PROTOCOL.md says."""

    def __init__(self, fleet: Fleet, prefix: str) -> None:
        """Call the hosts of `fleet` on the queue at `prefix`."""
        self._fleet = fleet
        self._prefix = prefix
        self._turn = 0
        self.sent: list[Sent] = []

    def _next_host(self) -> Host:
        """Return the next host whose process runs; the platform sends no connection elsewhere."""
        up = [host for host in self._fleet.hosts if host.is_up()] or self._fleet.hosts
        self._turn += 1
        return up[self._turn % len(up)]

    async def once(self, method: str, job: str, body: bytes = b"") -> tuple[int, Any]:
        """Send one request for a job to the next host."""
        host, at = self._next_host(), time.monotonic()
        status, answer = await call(
            host.front,
            method,
            f"{self._prefix}{job}",
            body=body,
            headers={"host": HOST_NAME, "deadline-remaining": str(DEADLINE_MS)},
            timeout_s=DEADLINE_MS / 1000,
        )
        took_s = time.monotonic() - at
        self.sent.append(Sent(at, method, job, host.name, status, took_s))
        return status, answer

    async def submit(self, job: str, body: bytes) -> int:
        """Hand a job in, with the retries of the sheet; return the last status."""
        status = 0
        for attempt in range(1 + RETRIES):
            if attempt:
                await asyncio.sleep(0.3)
            status, _ = await self.once("POST", job, body)
            if status not in RETRIED:
                return status
        return status

    async def state(self, job: str) -> str:
        """Return a job's state, or the status as text if it isn't 200."""
        status, answer = await self.once("GET", job)
        return str(answer["state"]) if status == OK else str(status)

    async def wait_accepting(self) -> None:
        """Wait until all hosts report that they are ready."""
        for host in self._fleet.hosts:
            await wait_ready(host)


async def wait_ready(host: Host) -> None:
    """Wait until a host reports that it is ready."""
    headers = {"host": host.readiness}
    while True:
        status, _ = await call(host.readiness, "GET", "/readiness", headers=headers, timeout_s=1.0)
        if status == OK:
            return
        await asyncio.sleep(0.1)
