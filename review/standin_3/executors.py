"""Executors by the platform's pages: leases, fencing tokens, runs, gangs, tasks that last."""

import asyncio
import random
import time
from dataclasses import dataclass

from standin_3.http import Request, Response, Server

CLOCK_START_MS = 500_000
STARTUP_S = 0.5
HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
SWEEP_S = 0.02
MOST_ENDS = 500
FULL_PERCENT = 100
ORDERED = frozenset({"upkeep", "moving"})
"""Causes by which an executor ends on an order of the system's."""


@dataclass
class Run:
    """A run on an executor."""

    task: str
    run: int
    started_at: float
    lasts_s: float
    how: str = "done"
    is_lasting: bool = False
    gang: str = ""
    waits_until: float | None = None
    works_since: float | None = None
    stops_at: float | None = None
    fails_at: float | None = None
    """When a task that lasts fails by itself."""
    saved: str = ""
    percentage: int = 100

    def is_over(self, now: float) -> bool:
        """Whether its work is done."""
        if self.is_lasting or self.works_since is None:
            return False
        return now >= self.works_since + self.lasts_s

    def percent(self, now: float) -> int:
        """Return its progress."""
        if self.works_since is None:
            return 0
        share = (now - self.works_since) / max(self.lasts_s, 0.001)
        return max(0, min(100, int(100 * share)))


class Executor:
    """One life of a machine."""

    def __init__(self, platform: "Executors", machine: "Machine", name: str) -> None:
        """Create the executor; `start` lets it serve."""
        self.platform = platform
        self.machine = machine
        self.name = name
        self.born = time.monotonic()
        self.is_up = False
        self.state = "ready"
        self.leaves_at = 0.0
        self.sequence = 0
        self.fence = 0
        self.deadline_ms = 0.0
        self.runs: dict[str, Run] = {}
        self.finished: list[list] = []
        self.position = 0
        self.highest: dict[str, int] = {}
        self.lapsed_at = 0.0
        """When its lease was last found to have lapsed."""
        self.ended_at: dict[int, float] = {}
        """When each end was listed."""
        self.server = Server(self._handle)
        self.ended = asyncio.Event()
        self.answers_late_s = 0.0
        self.sheds = False
        """Whether it refuses all starts with 503, and has then done nothing."""
        self.is_silent = False
        """Whether it is cut off from its callers: it works on, and answers nothing."""

    def clock_ms(self) -> float:
        """Return its own clock."""
        return (time.monotonic() - self.born) * 1000.0 + CLOCK_START_MS

    async def start(self) -> None:
        """Serve and register."""
        await self.server.start()
        self.is_up = True
        self.platform.note("executor.up", self.name, machine=self.machine.name)
        self.register()

    def register(self) -> None:
        """Write its entry."""
        self.sequence += 1
        entry = {
            "service": self.machine.pool,
            "address": self.server.address,
            "zone": self.machine.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "machine": self.machine.name,
            "capacity": self.machine.capacity,
            "labels": self.machine.labels,
        }
        if self.state == "draining":
            entry["drainRemainingMs"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        self.platform.store.put("keyed.servers", self.name, entry)

    def crash(self, cause: str = "crash") -> None:
        """End at once with all that runs; the entry expires by itself."""
        if not self.is_up:
            return
        self.is_up = False
        self.server.stop()
        for run in list(self.runs.values()):
            self.platform.note("run.killed", run.task, run=run.run, on=self.name, cause=cause)
            if cause in ORDERED:
                self.platform.on_ordered_end(self, run, cause)
        gangs = {run.gang for run in self.runs.values() if run.gang}
        self.runs.clear()
        for gang in gangs:
            self.platform.break_gang(gang)
        self.platform.note("executor.down", self.name, cause=cause)

    def leave(self) -> None:
        """Leave after a drain: everything ends, and the entry goes."""
        self.crash("left")
        self.platform.store.put("keyed.servers", self.name, None)

    def drain(self, stays_s: float) -> None:
        """Report that it drains."""
        self.state = "draining"
        self.leaves_at = time.monotonic() + stays_s
        self.platform.note("executor.draining", self.name)
        self.register()

    def sweep(self) -> None:
        """Bring its runs up to date."""
        now = time.monotonic()
        if not self.is_up:
            return
        lapsed = self.clock_ms() >= self.deadline_ms
        if lapsed:
            self.lapsed_at = now
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if lapsed:
                self.end(run, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")
            elif run.waits_until is not None and now >= run.waits_until:
                self.end(run, "alone")
            elif run.fails_at is not None and now >= run.fails_at:
                self.end(run, "failed")
            elif run.is_over(now):
                self.end(run, run.how)

    def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        del self.runs[run.task]
        self.position += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ended_at[self.position] = time.monotonic()
        self.finished.append([self.position, run.task, run.run, how, run.saved])
        self.platform.note("run.end", run.task, run=run.run, on=self.name, how=how)
        if how == "stopped":
            self.platform.on_ordered_end(self, run, how)
        if how == "done" and not run.is_lasting:
            self.platform.done.add(run.task)
        event, self.ended = self.ended, asyncio.Event()
        event.set()
        if run.gang:
            self.platform.on_gang_end(run, how)

    async def _handle(self, request: Request) -> Response | None:
        if self.is_silent:
            await asyncio.sleep(3600)
        if request.headers.get("expected-instance") != self.name:
            return Response(421)
        self.platform.sweep()
        if request.path != "/health" and random.random() < self.platform.late_share:
            await asyncio.sleep(random.uniform(2.0, 12.0))
            if self.is_up:
                self.platform.sweep()
                self.platform.note("executor.late", self.name, path=request.path)
                await self._answer(request)
            return None
        answer = await self._answer(request)
        if random.random() < self.platform.lost_share:
            await asyncio.sleep(5.0)
            return None
        if self.answers_late_s:
            await asyncio.sleep(self.answers_late_s)
        if self.is_silent:
            await asyncio.sleep(3600)
        return answer if self.is_up else None

    async def _answer(self, request: Request) -> Response | None:
        if request.path == "/health":
            return Response(200)
        message = request.json()
        if message.get("fencingToken", 0) < self.fence:
            return self._refuse("fence")
        self.fence = message.get("fencingToken", 0)
        match request.path:
            case "/hold":
                return await self._hold(message)
            case "/run-start":
                return self._start(message)
            case "/run-stop":
                return self._stop(message)
            case "/pace":
                run = self.runs.get(message["task"])
                if run is not None and run.run == message["run"]:
                    run.percentage = message["percentage"]
                return self._ok()
        return Response(400)

    def _ok(self) -> Response:
        return Response.of(200, {"clockMs": int(self.clock_ms())})

    def _refuse(self, reason: str) -> Response:
        return Response.of(409, {"clockMs": int(self.clock_ms()), "reason": reason})

    def _extend(self, message: dict) -> None:
        wanted = message.get("deadlineMs", 0)
        most = self.clock_ms() + self.platform.max_hold_ms
        self.deadline_ms = max(self.deadline_ms, min(wanted, most))

    async def _hold(self, message: dict) -> Response:
        self._extend(message)
        noted = message.get("ackPosition", 0)
        for row in self.finished:
            if row[0] <= noted and self.lapsed_at < self.ended_at[row[0]]:
                self.platform.on_noted(row)
        self.finished = [row for row in self.finished if row[0] > noted]
        until = time.monotonic() + message.get("waitMs", 0) / 1000.0
        while not self.finished and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.ended.wait(), left)
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [run.task, run.run, run.saved, run.percent(now), 0] for run in self.runs.values()
        ]
        listing = {"clockMs": int(self.clock_ms()), "running": running}
        return Response.of(200, {**listing, "finished": self.finished[:MOST_ENDS]})

    def _start(self, message: dict) -> Response:
        task, number = message["task"], message["run"]
        if self.sheds:
            self.platform.note("run.shed", task, run=number, on=self.name)
            return Response(503)
        self._extend(message)
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return self._ok()
        if present is not None or number <= self.highest.get(task, 0):
            return self._refuse("old")
        if message["deadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        if not self.platform.has_ticket(task, self.name, message.get("ticket", "")):
            return self._refuse("ticket")
        run = self.platform.make_run(task, number, message["specification"])
        self.runs[task] = run
        self.platform.on_start(self, run, message)
        return self._ok()

    def _stop(self, message: dict) -> Response:
        task, number = message["task"], message["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run <= number and run.stops_at is None:
            self.platform.note("run.stop", task, run=run.run, on=self.name)
            run.stops_at = time.monotonic() + self.platform.stop_s
        return self._ok()


@dataclass
class Machine:
    """A machine, on which one executor lives at a time."""

    name: str
    zone: str
    pool: str
    labels: list[str]
    capacity: dict[str, int]
    state: str = "up"
    executor: Executor | None = None


class Executors:
    """All machines with their executors, the advisor, and what was seen of each run."""

    def __init__(self, *, store: object, note: object, jobs: dict[str, dict]) -> None:
        """`jobs` are the bodies of all submissions by id; `note` records what is seen."""
        self.store = store
        self.note = note
        self.jobs = jobs
        self.machines: dict[str, Machine] = {}
        self.gangs: dict[str, dict[str, Run]] = {}
        self.done: set[str] = set()
        self.noted_done: dict[str, float] = {}
        self.broken_rules: list[str] = []
        self.max_hold_ms = 10_000
        self.stop_s = 0.2
        self.gang_s = 3.0
        self.names = 0
        self.on_started = None
        """Called with the executor and the run after each start."""
        self.tickets: dict[tuple[str, str], tuple[str, float]] = {}
        self.advised_routes: set[str] = set()
        """Ids of jobs whose starts need a ticket."""
        self.decision_s, self.period_s, self.validity_s = 0.05, 0.0, 1.5
        self._turns: dict[str, asyncio.Lock] = {}
        self.at_work_at: dict[str, float] = {}
        """When each task that lasts was last at work."""
        self.ordered_away: set[str] = set()
        """Tasks that an order has ended and that are not at work again."""
        self.cancelled: set[str] = set()
        self.notice_s = 4.5
        self.late_share = self.lost_share = 0.0
        """Shares of the calls to executors that are carried out late, or whose answer is lost."""

    def advisor_for(self, host: str) -> Server:
        """Return the advisor's server for one entry host."""
        return Server(self._advise, caller=host)

    def step_of(self, task: str) -> dict:
        """Return the step that a task belongs to."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    async def add(self, machine: Machine) -> Executor:
        """Start a new life of a machine."""
        self.names += 1
        self.machines[machine.name] = machine
        executor = Executor(self, machine, f"x{self.names:04d}")
        machine.executor = executor
        machine.state = "up"
        await executor.start()
        return executor

    def up(self) -> list[Executor]:
        """Return the executors that are up."""
        return [m.executor for m in self.machines.values() if m.executor and m.executor.is_up]

    def sweep(self) -> None:
        """Bring all runs up to date."""
        now = time.monotonic()
        for executor in self.up():
            executor.sweep()
            for run in executor.runs.values():
                if run.is_lasting and run.percent(now) == FULL_PERCENT:
                    self.at_work_at[run.task] = now
                    self.ordered_away.discard(run.task)

    def on_ordered_end(self, executor: Executor, run: Run, how: str) -> None:
        """Check that few enough others of a step are away when an order ends one of its tasks."""
        allowed = self.step_of(run.task).get("allowMiss", 0)
        now = time.monotonic()
        is_at_work = run.is_lasting and run.percent(now) == FULL_PERCENT
        if not allowed or not is_at_work or executor.state == "draining":
            return
        step = run.task.rpartition(".")[0]
        others = [f"{step}.{number}" for number in range(self.step_of(run.task)["count"])]
        away = [
            other
            for other in others
            if other != run.task
            and (
                other in self.ordered_away or now - self.at_work_at.get(other, now) >= self.notice_s
            )
        ]
        self.ordered_away.add(run.task)
        if len(away) >= allowed and run.task.split(".")[0] not in self.cancelled:
            self.broken("AVAIL", f"{run.task} ended ({how}) while {away} are away")

    async def run(self) -> None:
        """Sweep, and let executors write their heartbeats, until cancelled."""
        expires_at: dict[str, float] = {}
        beat_at: dict[str, float] = {}
        while True:
            now = time.monotonic()
            self.sweep()
            for executor in self.up():
                if now >= beat_at.get(executor.name, executor.born + HEARTBEAT_S):
                    beat_at[executor.name] = now + HEARTBEAT_S
                    executor.register()
                expires_at[executor.name] = now + MISSED_HEARTBEATS * HEARTBEAT_S
            for name, at in list(expires_at.items()):
                if now > at:
                    del expires_at[name]
                    self.store.put("keyed.servers", name, None)
            await asyncio.sleep(SWEEP_S)

    def make_run(self, task: str, number: int, specification: str) -> Run:
        """Return a run of the task as its job describes it."""
        step = self.step_of(task)
        profile = self.jobs[task.split(".", maxsplit=1)[0]].get("profile", {})
        now = time.monotonic()
        is_lasting = bool(step.get("longRunning"))
        lasts_s = STARTUP_S if is_lasting else profile.get("lasts_s", 1.0)
        run = Run(task, number, now, lasts_s, is_lasting=is_lasting)
        if number <= profile.get("fails", 0):
            run.how = "failed"
            run.fails_at = now + profile["fails_after_s"] if is_lasting else None
        if step.get("gangScheduled"):
            run.gang = task.rpartition(".")[0] + f"#{number}"
            run.waits_until = now + self.gang_s
        else:
            run.works_since = now
        return run

    def on_start(self, executor: Executor, run: Run, message: dict) -> None:
        """Check a start against the rules, and note it."""
        task = run.task
        self.note(
            "run.start",
            task,
            run=run.run,
            on=executor.name,
            machine=executor.machine.name,
            token=message.get("fencingToken", 0),
        )
        self._check_task(executor, run, message["specification"])
        self._check_order(task)
        self._check_place(executor, task)
        if run.gang:
            members = self.gangs.setdefault(run.gang, {})
            members[task] = run
            if len(members) == self.step_of(task)["count"]:
                for member in members.values():
                    member.waits_until = None
                    member.works_since = time.monotonic()
        if self.on_started is not None:
            self.on_started(executor, run)

    def _check_task(self, executor: Executor, run: Run, specification: str) -> None:
        task = run.task
        job = self.jobs.get(task.split(".")[0])
        if job is None or job["body"]["specification"] != specification:
            self.broken("UNASKED", f"{task} was not sent by any client")
        for other in self.up():
            if other is not executor and task in other.runs:
                self.broken("TWICE", f"{task} also runs on {other.name}")
        if task in self.noted_done and not run.is_lasting:
            self.broken("TWICE", f"{task} starts after its end was noted")

    def _check_order(self, task: str) -> None:
        for earlier in self.step_of(task).get("after", []):
            occurrence = ".".join(task.split(".")[:2])
            before = self.jobs[task.split(".", maxsplit=1)[0]]["steps"][earlier]
            names = [f"{occurrence}.{earlier}.{i}" for i in range(before["count"])]
            is_gang = before.get("gangScheduled")
            if not (any if is_gang else all)(name in self.done for name in names):
                self.broken("ORDER", f"{task} starts before step {earlier} is done")

    def _check_place(self, executor: Executor, task: str) -> None:
        limit = self.step_of(task).get("antiAffinity", 0)
        step = task.rpartition(".")[0] + "."
        if limit and sum(1 for t in executor.runs if t.startswith(step)) > limit:
            self.broken("ROUTE", f"{task} is beyond antiAffinity on {executor.name}")
        wanted = self.step_of(task).get("requirements", "")
        if wanted and wanted not in executor.machine.labels:
            self.broken("ROUTE", f"{task} on {executor.name} without {wanted}")
        for field in ("cpu", "memoryRequestMb"):
            used = sum(self._amount_of(each, field) for each in executor.runs)
            if used > executor.machine.capacity[field]:
                self.broken("LIMIT", f"{executor.name} is over its {field} with {task}")

    def _amount_of(self, task: str, field: str) -> int:
        step = self.step_of(task)
        return 0 if field == "cpu" and step.get("fills") else step.get(field, 0)

    def broken(self, rule: str, detail: str) -> None:
        """Record a broken rule."""
        self.broken_rules.append(f"{rule}: {detail}")
        self.note("RULE", rule, detail=detail)

    def on_gang_end(self, run: Run, how: str) -> None:
        """End the other members of a gang's run."""
        if how == "done":
            self.break_gang(run.gang, how="done")
        else:
            self.break_gang(run.gang)

    def break_gang(self, gang: str, how: str = "broken") -> None:
        """End all members of a gang's run that are left."""
        members = self.gangs.pop(gang, {})
        for executor in self.up():
            for run in list(executor.runs.values()):
                if members.get(run.task) is run:
                    executor.end(run, how)

    def on_noted(self, row: list) -> None:
        """Note that an end is acknowledged."""
        _, task, _, how, _ = row
        if how == "done":
            self.noted_done.setdefault(task, time.monotonic())

    def has_ticket(self, task: str, name: str, ticket: str) -> bool:
        """Whether a start on a queue with an advisor carries a valid ticket."""
        if task.split(".", maxsplit=1)[0] not in self.advised_routes:
            return True
        known = self.tickets.get((task.rpartition(".")[0], name))
        return known is not None and known[0] == ticket and time.monotonic() < known[1]

    async def _advise(self, request: Request) -> Response:
        message = request.json()
        turn = self._turns.setdefault(request.peer, asyncio.Lock())
        async with turn:
            await asyncio.sleep(self.decision_s + self.period_s * len(message["workers"]))
        rows = []
        for worker in message["workers"]:
            ticket = f"t-{message['step']}-{worker}"
            until = time.monotonic() + self.validity_s
            self.tickets[message["step"], worker] = (ticket, until)
            rows.append([worker, ticket])
        return Response.of(200, {"approved": rows, "validityMs": int(self.validity_s * 1000)})
