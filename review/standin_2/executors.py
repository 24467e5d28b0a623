"""Executors as PROTOCOL.md describes them: leases, fences, numbered ends and gangs."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standin_2.http import Answer, Request, Server, as_json
from standin_2.store import Store

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.05
GANG_WAIT_S = 3.0
STARTUP_S = 0.3
TICK_S = 0.01
CHECKPOINT_S = 0.5


@dataclass(frozen=True)
class Step:
    """What the stand-in has to know of a step to run its tasks."""

    count: int
    work_s: float
    cpu: int = 500
    is_gang: bool = False
    is_long: bool = False


@dataclass
class Run:
    """One run of a task."""

    task: str
    run: int
    step: Step
    began: float
    works_since: float | None = None
    stops_at: float | None = None

    @property
    def gang(self) -> tuple[str, int]:
        """Return what the members of one gang's run share."""
        return self.task.rpartition(".")[0], self.run


@dataclass
class Event:
    """What an executor saw, for the record and the checks."""

    at: float
    what: str
    worker: str
    task: str
    run: int


@dataclass
class Platform:
    """What all executors share."""

    store: Store
    service: str
    events: list[Event] = field(default_factory=list)
    steps: dict[str, list[Step]] = field(default_factory=dict)
    """Steps of each job, by its id."""
    workers: dict[str, "Worker"] = field(default_factory=dict)
    """Executors that are up, by id."""
    on_start: Callable[["Worker", Run], None] = lambda worker, run: None
    counter: int = 0

    def new_id(self) -> str:
        """Return an id that was not used before."""
        self.counter += 1
        return f"i-{self.counter:08x}"

    def members(self, run: Run) -> list[tuple["Worker", Run]]:
        """Return all present members of a gang's run."""
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.runs.values()
            if other.gang == run.gang
        ]

    def note(self, what: str, worker: "Worker", task: str, run: int) -> None:
        """Record what an executor saw."""
        self.events.append(Event(time.monotonic(), what, worker.id, task, run))


class Worker:
    """One life of a machine."""

    def __init__(
        self, platform: Platform, *, machine: str, zone: str, cpu: int = 8000, kind: str = "a"
    ) -> None:
        """Prepare an executor; `start` registers it."""
        self.kind = kind
        self.platform = platform
        self.id = platform.new_id()
        self.machine = machine
        self.zone = zone
        self.cpu = cpu
        self.address = ""
        self.runs: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self.state = "ready"
        self.fails_all = False
        """Whether it fails all that it starts."""
        self.has_started = asyncio.Event()
        """Set once it has started a task."""
        self.healed = asyncio.Event()
        """Cleared while it is cut off from the system's machines."""
        self.healed.set()
        self._sequence = 0
        self._last_end = 0
        self._highest: dict[str, int] = {}
        self._fence = 0
        self._born = time.monotonic() - 1000.0
        self._deadline_ms = 0.0
        self._ended = asyncio.Event()
        self._server = Server(self._handle)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> "Worker":
        """Serve, and register in the store."""
        self.address = await self._server.start()
        self.platform.workers[self.id] = self
        self._tasks = [
            asyncio.create_task(self._heartbeat()),
            asyncio.create_task(self._work()),
        ]
        return self

    def crash(self) -> None:
        """End this life: everything that runs is gone, and nothing is sent any more."""
        self.platform.workers.pop(self.id, None)
        for task in self._tasks:
            task.cancel()
        self._server.stop()
        for run in list(self.runs.values()):
            self.platform.note("crashed", self, run.task, run.run)
            self._break_others(run)
        self.runs.clear()

    def vanish(self) -> None:
        """End this life without a sign: it sends nothing more, and calls to it hang."""
        self.platform.workers.pop(self.id, None)
        self.cut_off()
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.platform.note("crashed", self, run.task, run.run)
            self._break_others(run)
        self.runs.clear()
        self._tasks.append(asyncio.create_task(self.expire_entry()))

    async def expire_entry(self) -> None:
        """Let the store's entry expire after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.platform.store.put("keyed.servers", self.id, None)

    def cut_off(self) -> None:
        """Cut it off from the system's machines; it runs on and still reaches the store."""
        self.healed.clear()

    def heal(self) -> None:
        """End the cut; what was on its way is lost."""
        self.healed.set()

    def announce(self, state: str) -> None:
        """Report a state to the store now."""
        self.state = state
        self._register()

    @property
    def clock_ms(self) -> int:
        """Its steady clock."""
        return int((time.monotonic() - self._born) * 1000)

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.platform.service,
            "address": self.address,
            "zone": self.zone,
            "machine": self.machine,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memoryRequestMb": 32768, "gpus": 0},
            "labels": [self.kind, "r1-1"],
            "clockMs": self.clock_ms,
            "sequence": self._sequence,
        }
        if self.state == "draining":
            entry["drainRemainingMs"] = 2000
        self.platform.store.put("keyed.servers", self.id, entry)

    async def _heartbeat(self) -> None:
        while True:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if self.runs and self.clock_ms >= self._deadline_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is run:
                    self._advance(run, now)

    def _advance(self, run: Run, now: float) -> None:
        if run.stops_at is not None and now >= run.stops_at:
            self.end(run, "stopped")
        elif run.works_since is None:
            if now - run.began > GANG_WAIT_S:
                self.end(run, "alone")
        elif not run.step.is_long and now - run.works_since >= run.step.work_s:
            if run.step.is_gang:
                for worker, member in self.platform.members(run):
                    worker.end(member, "done")
            else:
                self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run; any end but `done` breaks the others of its gang."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._last_end += 1
        self.ends.append([self._last_end, run.task, run.run, how, self._saved(run)])
        self.platform.note(how, self, run.task, run.run)
        event, self._ended = self._ended, asyncio.Event()
        event.set()
        if how != "done":
            self._break_others(run)

    def _break_others(self, run: Run) -> None:
        if run.step.is_gang:
            for worker, member in self.platform.members(run):
                worker.end(member, "broken")

    def _saved(self, run: Run) -> str:
        return ""

    def _percent(self, run: Run) -> int:
        if run.works_since is None:
            return 0
        worked = time.monotonic() - run.works_since
        if run.step.is_long:
            return 100 if worked >= STARTUP_S else int(100 * worked / STARTUP_S)
        return min(99, int(100 * worked / run.step.work_s))

    async def _handle(self, request: Request) -> Answer:
        if not self.healed.is_set():
            await self.healed.wait()
            return None
        answer = await self._answer(request)
        if not self.healed.is_set():
            await self.healed.wait()
            return None
        return answer

    async def _answer(self, request: Request) -> Answer:
        if request.headers.get("expected-instance", self.id) != self.id:
            return as_json(421, {"clockMs": self.clock_ms})
        if request.path == "/health":
            return as_json(200, {})
        body = request.json()
        token = int(body.get("fencingToken", 0))
        if token < self._fence:
            return self._refuse("fence")
        self._fence = token
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/pace":
            return as_json(200, {"clockMs": self.clock_ms})
        if request.path == "/hold":
            return await self._hold(body)
        return as_json(400, {"clockMs": self.clock_ms})

    def _refuse(self, reason: str) -> Answer:
        return as_json(409, {"clockMs": self.clock_ms, "reason": reason})

    def _extend(self, deadline_ms: float) -> None:
        most = self.clock_ms + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, most))

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = str(body["task"]), int(body["run"])
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return as_json(200, {"clockMs": self.clock_ms})
        if present is not None or number <= self._highest.get(task, 0):
            self._extend(body["deadlineMs"])
            return self._refuse("old")
        if body["deadlineMs"] <= self.clock_ms:
            return self._refuse("late")
        self._extend(body["deadlineMs"])
        job, _, step_number, _ = task.split(".")
        step = self.platform.steps[job][int(step_number)]
        run = Run(task, number, step, time.monotonic())
        self.runs[task] = run
        self.platform.note("start", self, task, number)
        self.has_started.set()
        self._begin(run)
        self.platform.on_start(self, run)
        return as_json(200, {"clockMs": self.clock_ms})

    def _begin(self, run: Run) -> None:
        members = self.platform.members(run) if run.step.is_gang else [(self, run)]
        if len(members) == (run.step.count if run.step.is_gang else 1):
            for _, member in members:
                member.works_since = time.monotonic()
        if self.fails_all:
            self.end(run, "failed")

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = str(body["task"]), int(body["run"])
        self._highest[task] = max(self._highest.get(task, 0), number)
        present = self.runs.get(task)
        if present is not None and present.run <= number and present.stops_at is None:
            present.stops_at = time.monotonic() + STOP_S
        return as_json(200, {"clockMs": self.clock_ms})

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        noted = int(body.get("ackPosition", 0))
        for end in self.ends:
            if end[0] <= noted:
                self.platform.note("noted", self, end[1], end[2])
        self.ends = [end for end in self.ends if end[0] > noted]
        if not self.ends:
            try:
                async with asyncio.timeout(int(body.get("waitMs", 0)) / 1000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.run, self._saved(run), self._percent(run), run.step.cpu]
            for run in self.runs.values()
        ]
        answer = {"clockMs": self.clock_ms, "running": running, "finished": self.ends[:500]}
        return as_json(200, answer)
