"""Executors, their machines and the cloud interface after PROTOCOL.md."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from store import Store
from web import OK, Request, Response, Server

HEARTBEAT_S = 1.5
LOST_BEATS = 3
"""The store drops the entry of an executor that is silent for so many intervals."""
SWEEP_S = 0.02
STARTUP_S = 0.3
"""A task that lasts is at work this long after its start."""
STOP_S = 0.1
MAX_HOLD_MS = 10_000
MAINTENANCE_S = 2.0
CLOUD_ANSWER_S = 0.001
"""No page gives one; the store's is 4 ms."""
LISTED_ENDS = 500
AT_WORK = 100
"""Percent of a task that lasts and is at work, and of a task that is done."""

Record = Callable[[str], None]


@dataclass
class Run:
    """A run on an executor."""

    task: str
    run: int
    lasts_s: float | None
    """None for a task that lasts until it is stopped."""
    began_at: float
    stops_at: float | None = None

    def percent(self, now: float) -> int:
        """Return its progress; a task that lasts is at work at 100."""
        whole_s = STARTUP_S if self.lasts_s is None else self.lasts_s
        return min(AT_WORK, int(AT_WORK * (now - self.began_at) / whole_s))


class Executor:
    """One life of a machine."""

    def __init__(self, machine: "Machine", executor_id: str) -> None:
        self.machine = machine
        self.executor_id = executor_id
        self.runs: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self.position = 0
        self.acknowledged = 0
        self.fence = 0
        self.deadline_ms = 0
        self.highest_ended: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.is_dark = False
        self._born = time.monotonic()
        self._sequence = 0
        self._server = Server(self._serve)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def address(self) -> str:
        """Where it takes orders."""
        return self._server.address

    async def start(self) -> None:
        """Serve, register in the store and keep the entry there."""
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._heartbeat()),
            asyncio.create_task(self._sweep_forever()),
        ]

    def leave(self) -> None:
        """End at once, with all that runs here, and drop the entry."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        self.runs.clear()
        self.machine.fleet.store.put("keyed.servers", self.executor_id, None)

    async def go_dark(self) -> None:
        """Be lost for good: answer nothing more; the store drops the entry after a while."""
        self.is_dark = True
        for task in self._tasks:
            task.cancel()
        self.runs.clear()
        await asyncio.sleep(LOST_BEATS * HEARTBEAT_S)
        self.machine.state = "down"
        self.machine.fleet.store.put("keyed.servers", self.executor_id, None)

    def clock_ms(self) -> int:
        """Return this life's steady clock."""
        return int((time.monotonic() - self._born) * 1000) + 500_000

    async def _heartbeat(self) -> None:
        while True:
            self._sequence += 1
            machine = self.machine
            entry = {
                "service": machine.pool,
                "address": self._server.address,
                "zone": machine.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "machine": machine.name,
                "capacity": machine.capacity,
                "labels": machine.labels,
                "clockMs": self.clock_ms(),
                "sequence": self._sequence,
            }
            machine.fleet.store.put("keyed.servers", self.executor_id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _sweep_forever(self) -> None:
        while True:
            self.sweep()
            await asyncio.sleep(SWEEP_S)

    def sweep(self) -> None:
        """End runs that are over, were stopped, or whose lease has expired."""
        now = time.monotonic()
        has_lapsed = self.clock_ms() >= self.deadline_ms
        for run in list(self.runs.values()):
            if has_lapsed:
                self._end(run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self._end(run, "stopped")
            elif run.lasts_s is not None and now - run.began_at >= run.lasts_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.position += 1
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.run)
        self.ends.append([self.position, run.task, run.run, how, ""])
        self.machine.fleet.record(f"ended {run.task} run {run.run} on {self.executor_id}: {how}")
        self.machine.fleet.on_end(run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, request: Request) -> Response | None:
        if self.is_dark:
            return None
        if request.path == "/health":
            return Response(OK)
        if request.headers.get("expected-instance", self.executor_id) != self.executor_id:
            return Response(421)
        message = request.json()
        token = message.get("fencingToken", 0)
        if token < self.fence:
            return self._refuse("fence")
        self.fence = token
        if request.path == "/run-start":
            return self._start(message)
        if request.path == "/run-stop":
            return self._stop(message)
        if request.path == "/hold":
            response = await self._hold(message)
            return None if self.is_dark else response
        if request.path == "/pace":
            return self._answer()
        return Response(404)

    def _answer(self) -> Response:
        return Response(OK, {"clockMs": self.clock_ms()})

    def _refuse(self, reason: str) -> Response:
        return Response(409, {"clockMs": self.clock_ms(), "reason": reason})

    def _extend(self, message: dict[str, Any]) -> None:
        if "deadlineMs" in message:
            until = min(message["deadlineMs"], self.clock_ms() + MAX_HOLD_MS)
            self.deadline_ms = max(self.deadline_ms, until)

    def _start(self, message: dict[str, Any]) -> Response:
        self.sweep()
        task, number = message["task"], message["run"]
        if message["deadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(message)
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return self._answer()
        if present is not None or number <= self.highest_ended.get(task, 0):
            return self._refuse("old")
        lasts_s = self.machine.fleet.lasts_s(message["specification"])
        self.runs[task] = Run(task, number, lasts_s, time.monotonic())
        self.machine.fleet.record(f"started {task} run {number} on {self.executor_id}")
        self.machine.fleet.on_start(self, self.runs[task])
        return self._answer()

    def _stop(self, message: dict[str, Any]) -> Response:
        task, number = message["task"], message["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run <= number and run.stops_at is None:
            self.machine.fleet.record(f"stop of {task} run {run.run} on {self.executor_id}")
            self.machine.fleet.on_order_ends(self, run)
            run.stops_at = time.monotonic() + STOP_S
        return self._answer()

    async def _hold(self, message: dict[str, Any]) -> Response:
        self.sweep()
        self._extend(message)
        noted = message.get("ackPosition", 0)
        for end in self.ends:
            if end[0] <= noted:
                self.machine.fleet.on_noted(end)
        self.ends = [end for end in self.ends if end[0] > noted]
        try:
            async with asyncio.timeout(min(message.get("waitMs", 0), 2000) / 1000.0):
                while not self.ends:
                    await self.changed.wait()
        except TimeoutError:
            pass
        now = time.monotonic()
        running = [[r.task, r.run, "", r.percent(now), 0] for r in self.runs.values()]
        listing = {"running": running, "finished": self.ends[:LISTED_ENDS]}
        return Response(OK, {"clockMs": self.clock_ms(), **listing})


class Machine:
    """A machine of a pool; its executors come one after the other."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, rack: str) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.pool = fleet.service
        self.state = "up"
        self.labels = ["a", rack]
        self.capacity = {"cpu": 64_000, "memoryRequestMb": 131_072, "gpus": 0}
        self.fence = 0
        self.executor: Executor | None = None
        self.lives = 0
        self.upkeeps: set[int] = set()

    async def start_executor(self) -> None:
        """Begin a new life under a new id and at a new address."""
        self.lives += 1
        self.executor = Executor(self, f"i-{self.name[2:]}{self.lives:04x}")
        await self.executor.start()
        self.state = "up"

    async def upkeep(self) -> None:
        """Be down for an upkeep, then join the pool again."""
        executor, self.executor = self.executor, None
        if executor is not None:
            for run in executor.runs.values():
                self.fleet.on_order_ends(executor, run)
            executor.leave()
        await asyncio.sleep(MAINTENANCE_S)
        await self.start_executor()


@dataclass
class Wave:
    """A wave as the operator has written it."""

    number: int
    machines: list[str]
    upper_limit: int


@dataclass
class Fleet:
    """All machines, and the cloud interface to them."""

    store: Store
    record: Record
    service: str = "pack-assembly"
    machines: dict[str, Machine] = field(default_factory=dict)
    waves: dict[int, Wave] = field(default_factory=dict)
    starts: list[tuple[float, str, int, str]] = field(default_factory=list)
    ends: list[tuple[float, str, int, str]] = field(default_factory=list)
    noted: set[tuple[str, int]] = field(default_factory=set)
    ended_by_order: list[tuple[float, str, str]] = field(default_factory=list)
    cloud_answer_s: float = CLOUD_ANSWER_S
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, per_zone: int, zones: list[str]) -> str:
        """Start all machines; return the address of the cloud interface."""
        for index, zone in enumerate(zones):
            for number in range(per_zone):
                name = f"m-{index}{number:03x}"
                machine = Machine(self, name, zone, f"r{index}")
                self.machines[name] = machine
                await machine.start_executor()
        self._server = Server(self._serve)
        return await self._server.start()

    def executors(self) -> list[Executor]:
        """Return the executors that are up."""
        return [m.executor for m in self.machines.values() if m.executor is not None]

    @staticmethod
    def lasts_s(specification: str) -> float | None:
        """Return how long a task runs, as its specification says; None if it lasts."""
        return json.loads(specification)["lasts_s"]

    def on_start(self, executor: Executor, run: Run) -> None:
        """Take note of a start."""
        self.starts.append((time.monotonic(), run.task, run.run, executor.executor_id))

    def on_end(self, run: Run, how: str) -> None:
        """Take note of an end."""
        self.ends.append((time.monotonic(), run.task, run.run, how))

    def on_noted(self, end: list[Any]) -> None:
        """Take note that an end was acknowledged."""
        self.noted.add((end[1], end[2]))

    def on_order_ends(self, executor: Executor, run: Run) -> None:
        """Take note of a run that an order ends while it is at work."""
        if run.percent(time.monotonic()) == AT_WORK and run.stops_at is None:
            self.ended_by_order.append((time.monotonic(), run.task, executor.executor_id))

    def write_wave(self, wave: Wave, duration_s: float) -> None:
        """Request a wave of upkeep as the operator does."""
        self.waves[wave.number] = wave
        value = {"wave": wave.number, "machines": wave.machines}
        value |= {"durationS": duration_s, "upperLimit": wave.upper_limit}
        self.store.put("keyed.op", f"wave/{wave.number}", value)

    async def _serve(self, request: Request) -> Response:
        await asyncio.sleep(self.cloud_answer_s)
        if request.method == "GET" and request.path == "/machines":
            return Response(OK, self._list())
        if request.path != "/machine-upkeep":
            return Response(404)
        message = request.json()
        machine = self.machines.get(message["machine"])
        wave = self.waves.get(message["wave"])
        if machine is None:
            return Response(400)
        token = int(request.headers["fencing-token"])
        if token < machine.fence:
            return Response(409, {"reason": "fence"})
        machine.fence = token
        if wave is None or machine.name not in wave.machines:
            return Response(409, {"reason": "wave"})
        if wave.number in machine.upkeeps:
            return Response(OK)
        if machine.state != "up":
            return Response(409, {"reason": "busy"})
        holder = request.headers.get("lease-holder", "")
        self.record(f"upkeep of {machine.name} ordered by {holder} under token {token}")
        machine.upkeeps.add(wave.number)
        machine.state = "upkeep"
        self.tasks.add(asyncio.create_task(machine.upkeep()))
        await asyncio.sleep(0)
        return Response(OK)

    def _list(self) -> dict[str, Any]:
        listed = [
            {
                "machine": m.name,
                "pool": m.pool,
                "state": m.state,
                "zone": m.zone,
                "labels": m.labels,
                "capacity": m.capacity,
                "id": m.executor.executor_id if m.executor is not None else None,
            }
            for m in self.machines.values()
        ]
        return {"machines": listed, "nextPageToken": None}
