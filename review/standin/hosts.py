"""Entry hosts as separate processes with the command of the deploy file, and their callers."""

import asyncio
import os
import signal
import socket
import subprocess
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from store import Store
from web import OK, call

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "target/app/entry_host.py"]
"""`run` of deploy/system.toml."""
PATIENCE_S = 3.0
"""Deadline of the site's requests."""
RETRIES = 4
HOST_HEADER = "packs.example"
FINAL = {OK, 400, 404, 409, 410}
"""After any other answer the request is sent again."""

SETTINGS = """
nodeName = "{name}"
role = "entry-host"
machineClass = "front"
serves = ["front","control"]
ipAddress = "{ip}"
zone = "{zone}"
region = "seoul"
internalPortRange = [{peer}, {peer_last}]
seedNodes = {seeds}
bootstrap = true
countsTowardTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
orders = "duty_call"
placementAdvisor = ""
[zones]
seoul-gangnam = "seoul"
seoul-mapo = "seoul"
seoul-seongsu = "seoul"
[listenAddresses]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 10000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
enforcesFencing = true
leaseMs = 3000
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 32
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"""


@dataclass
class Host:
    """Addresses of an entry host."""

    name: str
    zone: str
    ip: str
    front: int
    readiness: int
    control: int
    peer: int
    process: subprocess.Popen[bytes] | None = None

    @property
    def front_address(self) -> str:
        """Address that clients connect to."""
        return f"{self.ip}:{self.front}"


def make_hosts(zones: list[str], per_zone: int) -> list[Host]:
    """Return hosts with free ports, each on a loopback address of its own."""
    high, low = divmod(os.getpid() % 62_500, 250)
    hosts = []
    for zone in zones:
        for number in range(per_zone):
            ip = f"127.{high + 1}.{low + 1}.{len(hosts) + 1}"
            ports = _free_ports(ip, 4)
            hosts.append(Host(f"front-{zone}-{number + 1}", zone, ip, *ports))
    return hosts


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Hosts:
    """The fleet's processes, each restarted a second after it has ended."""

    def __init__(self, hosts: list[Host], *, store: str, cloud: str, folder: Path) -> None:
        self.hosts = hosts
        self._store = store
        self._cloud = cloud
        self._folder = folder
        self._logs: dict[str, IO[bytes]] = {}
        self.own_ends: list[tuple[str, int]] = []
        """Processes that ended by themselves, with their exit codes."""
        self._signalled: set[int] = set()

    def start(self, host: Host) -> None:
        """Write a host's settings and start its process."""
        path = self._folder / f"{host.name}.toml"
        seeds = [f"{h.ip}:{h.control}" for h in self.hosts[:3]]
        path.write_text(
            SETTINGS.format(
                name=host.name,
                zone=host.zone,
                ip=host.ip,
                front=host.front,
                readiness=host.readiness,
                control=host.control,
                peer=host.peer,
                peer_last=host.peer + 15,
                seeds=str(seeds).replace("'", '"'),
                store=self._store,
                cloud=self._cloud,
            )
        )
        if host.name not in self._logs:
            self._logs[host.name] = (self._folder / f"{host.name}.log").open("ab")
        log = self._logs[host.name]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "GALENASTALL_SETTINGS": str(path),
            "PYTHONPATH": "target/deps",
        }
        host.process = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def signal(self, host: Host, number: int) -> None:
        """Send a signal to a host's process."""
        assert host.process is not None
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._signalled.add(host.process.pid)
        host.process.send_signal(number)

    async def watch(self) -> None:
        """Take note of processes that end by themselves, and start ended ones again."""
        while True:
            for host in self.hosts:
                if host.process is not None and host.process.poll() is not None:
                    if host.process.pid not in self._signalled:
                        self.own_ends.append((host.name, host.process.returncode))
                    host.process = None
                    asyncio.get_running_loop().call_later(1.0, self.start, host)
            await asyncio.sleep(0.05)

    def end_all(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()

    async def wait_ready(self) -> None:
        """Wait until all hosts report that they are ready."""
        for host in self.hosts:
            address = f"{host.ip}:{host.readiness}"
            status = 0
            while status != OK:
                await asyncio.sleep(0.1)
                status, _ = await call(address, "GET", "/readiness", timeout_s=1.0)

    def leader(self, store: Store) -> Host | None:
        """Return the host that claimed last, as the store has it."""
        claim = store.value("keyed.galenastall-cell", "~leader")
        found = [h for h in self.hosts if claim is not None and h.name == claim["host_id"]]
        return found[0] if found else None


class Client:
    """A client with the site's deadline and retries; retries reach other hosts."""

    def __init__(self, hosts: list[Host], route: str) -> None:
        self._hosts = hosts
        self._route = route
        self.answers: list[tuple[str, str, int]] = []

    async def once(self, host: Host, method: str, job: str, message: Any = None) -> tuple[int, Any]:
        """Send a request to one host."""
        headers = {"host": HOST_HEADER, "Deadline-Remaining": str(int(PATIENCE_S * 1000))}
        path = f"/{self._route}/{job}"
        status, body = await call(
            host.front_address,
            method,
            path,
            message=message,
            headers=headers,
            timeout_s=PATIENCE_S,
        )
        self.answers.append((method, job, status))
        return status, body

    async def request(
        self, method: str, job: str, message: Any = None, *, first: int = 0
    ) -> tuple[int, Any]:
        """Send a request, again at other hosts while there is no final answer."""
        status, body = 0, None
        for number in range(1 + RETRIES):
            host = self._hosts[(first + number) % len(self._hosts)]
            status, body = await self.once(host, method, job, message)
            if status in FINAL:
                break
            await asyncio.sleep(0.3)
        return status, body
