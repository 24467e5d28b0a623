"""Sets up a small deployment for a case, and writes the case's record."""

import asyncio
import json
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standin_2.executors import Platform, Step, Worker
from standin_2.fleet import HOST_NAME, Client, Fleet, Host
from standin_2.http import OK, Answer, Request, Server, as_json
from standin_2.store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PREFIX = "/batch/"
SERVICE = "service-1"
ROUTE = "r-work"
LIMIT_S = 115.0
UPKEEP_S = 2.0


class Machines:
    """The platform's API for machines: their list, and upkeep."""

    def __init__(self, platform: Platform) -> None:
        """Serve the machines of the executors of `platform`."""
        self._platform = platform
        self._server = Server(self._handle)
        self._down: dict[str, Worker] = {}
        self._fences: dict[str, int] = {}
        self.maintained: set[str] = set()
        self.upkeeps: list[tuple[float, str, list[str]]] = []
        """Time, machine and the tasks that an upkeep ended."""

    async def start(self) -> str:
        """Serve, and return the address."""
        return await self._server.start()

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/machines":
            return as_json(200, {"machines": self._rows(), "nextPageToken": None})
        if request.path == "/machine-upkeep":
            return self._begin(request)
        return as_json(400, {})

    def _rows(self) -> list[dict[str, Any]]:
        rows = []
        for state, workers in (("up", self._platform.workers), ("upkeep", self._down)):
            for worker in workers.values():
                row = {
                    "machine": worker.machine,
                    "pool": self._platform.service,
                    "state": state,
                    "zone": worker.zone,
                    "labels": [worker.kind, "r1-1"],
                    "capacity": {"cpu": worker.cpu, "memoryRequestMb": 32768, "gpus": 0},
                }
                rows.append(row | ({"id": worker.id} if state == "up" else {}))
        return rows

    def _begin(self, request: Request) -> Answer:
        machine = str(request.json()["machine"])
        token = int(request.headers["fencing-token"])
        if token < self._fences.get(machine, 0):
            return as_json(409, {"reason": "fence"})
        self._fences[machine] = token
        if machine in self.maintained:
            return as_json(200, {})
        found = [w for w in self._platform.workers.values() if w.machine == machine]
        if not found:
            return as_json(400, {})
        self.maintained.add(machine)
        worker = found[0]
        self.upkeeps.append((time.monotonic(), machine, sorted(worker.runs)))
        worker.crash()
        self._platform.store.put("keyed.servers", worker.id, None)
        self._down[machine] = worker
        asyncio.get_running_loop().create_task(self._finish(worker))
        return as_json(200, {})

    async def _finish(self, worker: Worker) -> None:
        await asyncio.sleep(UPKEEP_S)
        del self._down[worker.machine]
        await Worker(
            self._platform,
            machine=worker.machine,
            zone=worker.zone,
            cpu=worker.cpu,
            kind=worker.kind,
        ).start()


class World:
    """A store, executors, machines, entry hosts and a client."""

    def __init__(self) -> None:
        """Prepare an empty deployment."""
        self.began = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.platform = Platform(self.store, SERVICE)
        self.machines = Machines(self.platform)
        self.fleet: Fleet | None = None
        self.lines: list[tuple[float, str]] = []

    async def start(
        self, *, zones: list[str], workers: int, special: int = 0, max_attempts: int = 2
    ) -> Client:
        """Start everything, and return a client once all hosts are ready.

        Of the workers the last `special` are of kind `b`, the others of kind `a`.
        """
        store = await self.store.start()
        machines = await self.machines.start()
        config = {
            "version": 7,
            "routes": [
                {
                    "name": ROUTE,
                    "host": HOST_NAME,
                    "pathPrefix": PREFIX,
                    "kind": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 1000,
                    "priority": 1,
                    "service": SERVICE,
                    "maxAttempts": max_attempts,
                    "stretch": 2.2,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/health",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforcesCapacity": False,
                    "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("keyed.op", "config", config)
        for number in range(workers):
            zone = zones[number % len(zones)]
            kind = "b" if number >= workers - special else "a"
            await Worker(self.platform, machine=f"m-{number + 1}", zone=zone, kind=kind).start()
        self.fleet = Fleet(store=store, machines=machines, zones=zones)
        self.fleet.start_all()
        client = Client(self.fleet, PREFIX)
        await client.wait_accepting()
        self.say("all hosts are ready")
        return client

    def job(self, job: str, steps: list[Step], **fields: Any) -> bytes:
        """Return a job's body; the executors learn how its tasks behave."""
        self.platform.steps[job] = steps
        rows = []
        for step in steps:
            row: dict[str, Any] = {"count": step.count, "cpu": step.cpu, "memoryRequestMb": 64}
            row["estimatedMs"] = int(step.work_s * 1000)
            if step.is_gang:
                row["gangScheduled"] = True
            if step.is_long:
                row |= {"longRunning": True}
            rows.append(row | fields.get("step", {}))
        return json.dumps({"specification": f"work of {job}", "steps": rows}).encode()

    async def accept(self, client: Client, job: str, body: bytes) -> None:
        """Hand a job in that has to be accepted for the case to run."""
        status = await client.submit(job, body)
        if status != OK:
            raise RuntimeError(f"job {job} was answered {status}")

    def say(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((time.monotonic(), text))

    @property
    def hosts(self) -> Fleet:
        """The entry hosts, once started."""
        if self.fleet is None:
            raise RuntimeError("no host is started yet")
        return self.fleet

    def leader(self) -> Host:
        """Return the host that claimed last, as the store shows it."""
        claim = self.store.value("keyed.galenastall-cell", "~leader")
        return next(host for host in self.hosts.hosts if host.name == claim["host_id"])

    async def restart(self, host: Host) -> None:
        """Kill a host's process, and start it again after a second."""
        self.say(f"{host.name}, which leads, is killed, and started again after a second")
        self.hosts.signal(host, signal.SIGKILL)
        await asyncio.sleep(1.0)
        self.hosts.start(host)

    def write_record(self, path: Path, client: Client | None) -> None:
        """Write what was sent, answered and run."""
        lines = list(self.lines)
        for event in self.platform.events:
            text = f"executor {event.worker}: {event.what} {event.task} run {event.run}"
            lines.append((event.at, text))
        for at, machine, tasks in self.machines.upkeeps:
            lines.append((at, f"machine {machine}: upkeep begins, ends {tasks}"))
        for sent in client.sent if client is not None else []:
            answer = sent.status or "no answer"
            text = f"client: {sent.method} {sent.job} at {sent.host} -> {answer}"
            lines.append((sent.at, f"{text} after {sent.took_s:.2f} s"))
        lines.sort(key=lambda line: line[0])
        path.write_text("".join(f"{at - self.began:8.3f} {text}\n" for at, text in lines))


Play = Callable[[World], Awaitable[tuple[bool, Client]]]
"""Plays a case; returns whether the rule held."""


def run_case(folder: Path, play: Play) -> int:
    """Play a case within its time, and return its exit code."""
    return asyncio.run(_run(folder, play))


async def _run(folder: Path, play: Play) -> int:
    world = World()
    client: Client | None = None
    code = COULD_NOT_RUN
    try:
        async with asyncio.timeout(LIMIT_S):
            held, client = await play(world)
        code = HELD if held else BROKEN
    except Exception:
        traceback.print_exc()
        world.say("the case could not run")
    finally:
        if world.fleet is not None:
            logs = os.environ.get("KEEP_LOGS")
            world.fleet.end(keep_logs_in=Path(logs) if logs else None)
        names = {HELD: "the rule held", BROKEN: "the rule was broken", 2: "could not run"}
        world.say(names[code])
        world.write_record(folder / "record.txt", client)
        sys.stderr.write(f"{names[code]}\n")
    return code
