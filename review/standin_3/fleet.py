"""A small deployment: the platform's stand-ins, and entry hosts as processes of their own."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from standin_3.cloud import Cloud
from standin_3.executors import Executors, Machine
from standin_3.http import Server, call
from standin_3.store import Store
from standin_3.store_process import StoreProcess

ROOT = Path(__file__).resolve().parents[2]
ENVIRONMENT = ("PATH", "HOME", "JAVA_HOME", "LANG")
HOST = "standin.example"
CAPACITY = {"cpu": 64_000, "memoryRequestMb": 131_072, "gpus": 0}
READY_WITHIN_S = 20.0
CLIENT_WAITS_S = 3.0
OK = 200


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path | None) -> None:
        """Write to `path`, or nowhere if it is None."""
        self.began = time.monotonic()
        self._file = path.open("w") if path else None

    def __call__(self, what: str, subject: str = "", **fields: object) -> None:
        """Write one line."""
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{time.monotonic() - self.began:8.3f} {what} {subject} {shown}".rstrip()
        if self._file is not None:
            print(line, file=self._file, flush=True)


class EntryHost:
    """One entry host: its addresses, settings and process."""

    def __init__(self, name: str, zone: str, ip: str) -> None:
        """Take free ports of `ip`."""
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.readiness, self.control, self.peers = free_ports(ip, 4)
        self.process: subprocess.Popen | None = None
        self.store: Server | None = None
        self.advisor: Server | None = None
        self.starts = 0

    @property
    def address(self) -> str:
        """Where clients connect."""
        return f"{self.ip}:{self.front}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Fleet:
    """Everything of one run."""

    def __init__(
        self,
        *,
        record: Record,
        zones: dict[str, int],
        machines: int = 8,
        capacity: dict[str, int] | None = None,
        labels: object = None,
        standby: int = 0,
        has_store_process: bool = False,
        seed: int = 0,
    ) -> None:
        """`zones` gives the number of entry hosts of each; `labels` those of machine number i.

        `standby` machines more are switched off, in a pool of their own. The store serves in this
        process, or in one of its own.
        """
        self._standby = standby
        self._has_store_process = has_store_process
        self._store_process: StoreProcess | None = None
        self.note = record
        self.random = random.Random(seed)
        self.jobs: dict[str, dict] = {}
        self.store = Store()
        self.executors = Executors(store=self.store, note=record, jobs=self.jobs)
        self.cloud = Cloud(executors=self.executors, note=record)
        self._machines = machines
        self._capacity = capacity or CAPACITY
        self._labels = labels or (lambda number: ["a", f"r{number // 8}"])
        self.folder = Path(tempfile.mkdtemp(prefix="galenastall-"))
        network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.hosts: list[EntryHost] = []
        for zone, count in zones.items():
            for index in range(count):
                ip = f"{network}.{len(self.hosts) + 1}"
                self.hosts.append(EntryHost(f"front-{zone}-{index + 1}", zone, ip))
        self.zones = list(zones)
        self.routes: list[dict] = []
        self.version = 0
        self.accepted: dict[str, float] = {}
        self._tasks: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["entry-host"]["run"])

    async def start(self) -> None:
        """Start the stand-ins, then all entry hosts, and wait until these are ready."""
        await self.cloud.server.start()
        for host in self.hosts:
            host.store = self.store.server_for(host.name)
            host.advisor = self.executors.advisor_for(host.name)
            await host.store.start()
            await host.advisor.start()
        if self._has_store_process:
            self._store_process = StoreProcess([host.name for host in self.hosts])
            self.executors.store = self.store = self._store_process
        for number in range(self._machines):
            zone = self.zones[number % len(self.zones)]
            labels = self._labels(number)
            machine = Machine(f"m{number:02d}", zone, "service", labels, dict(self._capacity))
            await self.executors.add(machine)
        for number in range(self._machines, self._machines + self._standby):
            zone, name = self.zones[number % len(self.zones)], f"m{number:02d}"
            capacity = dict(self._capacity)
            machine = Machine(name, zone, "standby", self._labels(number), capacity)
            self.executors.machines[name] = machine
        self.spawn(self.executors.run())
        self.configure()
        for host in self.hosts:
            self.start_host(host)
        until = time.monotonic() + READY_WITHIN_S
        for host in self.hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        self.note("ready")

    def spawn(self, work: object) -> asyncio.Task:
        """Run something beside the rest until the end."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    def route(self, name: str, **fields: object) -> None:
        """Add a queue to the configuration."""
        route = {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "service": "service",
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 3.0,
            "targetLatencyMs": 1000,
        }
        self.routes.append({**route, **fields})

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        services: list[dict] = [{"name": "service", "enforcesCapacity": False}]
        if self._standby:
            services.append({"name": "standby", "standby": True})
        value = {"version": self.version, "routes": self.routes, "services": services}
        self.store.put("keyed.op", "config", value)
        self.note("config", version=self.version)

    def settings(self, host: EntryHost) -> str:
        """Return a host's settings file, with the bounds of a small site."""
        seeds = json.dumps([f"{each.ip}:{each.control}" for each in self.hosts[:3]])
        zones = "\n".join(f'{zone} = "region"' for zone in self.zones)
        return f"""
nodeName = "{host.name}"
role = "entry-host"
machineClass = "front"
serves = ["front", "control"]
ipAddress = "{host.ip}"
zone = "{host.zone}"
region = "region"
internalPortRange = [{host.peers}, {host.peers + 15}]
seedNodes = {seeds}
bootstrap = {"true" if host.starts == 0 else "false"}
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
orders = "duty_call"
placementAdvisor = "{host.advisor.address}"
[zones]
{zones}
[listenAddresses]
front = "{host.address}"
readiness = "{host.ip}:{host.readiness}"
control = "{host.ip}:{host.control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = {self.executors.max_hold_ms}
stopTimeoutMs = 400
gangTimeoutMs = 3000
maintenanceS = 2
migrationS = 1.5
noticeMs = 4500
leaseMs = 3000
enforcesFencing = true
[platform]
address = "{self._store_address(host)}"
form = "log"
writesPerS = 800
readsPerS = 2000
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
[cloudApi]
address = "{self.cloud.server.address}"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"""

    def _store_address(self, host: EntryHost) -> str:
        if self._store_process is not None:
            return self._store_process.addresses[host.name]
        return host.store.address

    def start_host(self, host: EntryHost) -> None:
        """Start a host's process with the command of the deploy file."""
        path = self.folder / f"{host.name}.toml"
        path.write_text(self.settings(host))
        host.starts += 1
        environment = {name: os.environ[name] for name in ENVIRONMENT if name in os.environ}
        environment["GALENASTALL_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = "target/deps"
        with (self.folder / f"{host.name}.log").open("ab") as log:
            host.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note("host.start", host.name, address=host.address)

    def signal(self, host: EntryHost, number: int) -> None:
        """Send a signal to a host's process."""
        self.note("host.signal", host.name, signal=signal.Signals(number).name)
        host.process.send_signal(number)

    def kill(self, host: EntryHost) -> None:
        """Kill a host's process, and wait for its end."""
        self.signal(host, signal.SIGKILL)
        host.process.wait()

    @property
    def leader(self) -> EntryHost | None:
        """The host that claimed last."""
        claim = self.store.value("keyed.galenastall-cell", "~leader")
        name = claim["host_id"] if claim else ""
        return next((host for host in self.hosts if host.name == name), None)

    async def is_ready(self, host: EntryHost) -> bool:
        """Whether a host reports itself ready."""
        address = f"{host.ip}:{host.readiness}"
        return (await call(address, "GET", "/readiness", timeout_s=1.0))[0] == OK

    def log_of(self, host: EntryHost) -> str:
        """Return what a host's processes have written."""
        return (self.folder / f"{host.name}.log").read_text(errors="replace")

    async def request(
        self, host: EntryHost, method: str, path: str, value: object = None
    ) -> tuple[int, dict]:
        """Send a client's request, and note it with its answer."""
        body = b"" if value is None else json.dumps(value).encode()
        headers = {
            "host": HOST,
            "content-type": "application/json",
            "deadline-remaining": str(int(CLIENT_WAITS_S * 1000)),
        }
        status, answer = await call(
            host.address, method, path, headers=headers, body=body, timeout_s=CLIENT_WAITS_S
        )
        with suppress(ValueError):
            decoded = json.loads(answer) if answer else {}
            shown = answer.decode()[:120] if status != OK or method == "GET" else ""
            self.note(f"client.{method}", path, at=host.name, status=status, answer=shown)
            return status, decoded
        return status, {}

    async def submit(
        self,
        route: str,
        steps: list[dict],
        *,
        profile: dict | None = None,
        tries: int = 6,
        host: EntryHost | None = None,
        more: dict | None = None,
    ) -> str:
        """Submit a job as a client does, with retries at any host; return its id if accepted."""
        job_id = f"{self.random.getrandbits(64):016x}"
        body = {"specification": f"spec-{job_id}", "steps": steps, **(more or {})}
        self.jobs[job_id] = {
            "route": route,
            "body": body,
            "steps": steps,
            "profile": profile or {},
        }
        if any(r["name"] == route and r.get("placementAdvisor") for r in self.routes):
            self.executors.advised_routes.add(job_id)
        for _ in range(tries):
            chosen = host or self.random.choice(self.hosts)
            status, _ = await self.request(chosen, "POST", f"/{route}/{job_id}", body)
            if status == OK:
                self.accepted[job_id] = time.monotonic()
                return job_id
            await asyncio.sleep(0.3)
        return ""

    async def state(self, route: str, job_id: str, host: EntryHost | None = None) -> str:
        """Return a job's state, or the status as text."""
        chosen = host or self.random.choice(self.hosts)
        status, body = await self.request(chosen, "GET", f"/{route}/{job_id}")
        return body["state"] if status == OK else str(status)

    def end(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for task in self._tasks:
            task.cancel()
        for executor in self.executors.up():
            executor.server.stop()
        if self._store_process is not None:
            self._store_process.stop()
        self.cloud.server.stop()
        for host in self.hosts:
            for server in (host.store, host.advisor):
                if server is not None:
                    server.stop()
