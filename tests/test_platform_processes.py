"""Entry hosts as real processes on the platform's stand-in: kills, pauses and outages overlap.

Checks what the executors observed and which responses callers got. Nothing is timed: each step
waits for its effect, within generous bounds.
"""

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Final

import pytest
import trio

from galenastall.platform.standin.callers import StandinCaller
from galenastall.platform.standin.executor_routes import ExecutorRoutes
from galenastall.platform.standin.hosts import StandinHost, make_hosts
from galenastall.platform.standin.processes import SOURCE, start_process
from galenastall.platform.standin.server import PlatformStandin, StandinPlan
from galenastall.platform.store import CLAIM_KEY, STATE_TOPIC
from galenastall.standin.cell.executors import Executor
from galenastall.standin.cell.live_simulation import JobPayload, StepPayload
from galenastall.state.resources import Resources
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_json import json_response
from galenastall.transport.http_messages import HttpResponse

TIMEOUT_S: Final = 60.0
JOBS: Final = 24
SUBMIT_INTERVAL_S: Final = 0.15
CALLS_PER_S: Final = 200
CALLERS: Final = 100
"""Calls to a frozen host hang, ten of them at most on the connections of one caller."""
FREEZE_S: Final = 3.0
ENDED: Final = frozenset({"completed", "failed"})
ROUTE: Final = "q"


def make_payload(rng: Random) -> JobPayload:
    """Return a job that often fills a good part of the executors."""
    first = StepPayload(
        count=rng.randint(2, 4),
        cores_milli=rng.choice([1000, 2000]),
        memory_mb=256,
        is_gang=rng.random() < 0.4,
        run_s=rng.uniform(0.2, 1.5),
    )
    second = StepPayload(count=1, cores_milli=500, memory_mb=128, after=(0,), run_s=0.2)
    return JobPayload(steps=(first, second), attempts=2)


class Fleet:
    """Processes of entry hosts around a stand-in."""

    def __init__(self, *, standin: PlatformStandin, folder: Path) -> None:
        self.standin = standin
        self.folder = folder
        self.caller = StandinCaller()
        self.hosts = make_hosts({"one": ("one-1", "one-2"), "two": ("two-1",)})
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.accepted: dict[str, StandinHost] = {}
        self.refused: set[str] = set()
        self.rng = Random(7)

    def start(self, host: StandinHost) -> None:
        """Start a host's process; its log lines go to a file of its own."""
        with open(self.folder / f"{host.name}.log", "ab") as log:
            self.processes[host.name] = start_process(
                host, standin=self.standin, folder=self.folder, log=log, errors=log
            )

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def end_all(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()

    @property
    def leader(self) -> str:
        """The host that claimed last."""
        claim = self.standin.store.value(STATE_TOPIC, CLAIM_KEY)
        return str(claim["host_id"]) if claim else ""

    def host(self, name: str) -> StandinHost:
        return next(host for host in self.hosts if host.name == name)

    def others(self, name: str) -> list[StandinHost]:
        return [host for host in self.hosts if host.name != name]

    async def submit(self, number: int) -> None:
        """Submit a job as a caller does: with retries, at any host."""
        job_id = f"{number:016x}"
        payload = make_payload(Random(number))
        was_rejected = True
        for _ in range(40):
            host = self.rng.choice(self.hosts)
            status, _ = await self.caller.submit(host, ROUTE, job_id, payload)
            if status == 200:
                self.accepted[job_id] = host
                return
            was_rejected = was_rejected and status in (429, 503)
            await trio.sleep(0.25)
        if was_rejected:
            self.refused.add(job_id)

    async def submit_some(self, first: int, *, jobs: int = JOBS) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(first, first + jobs):
                nursery.start_soon(self.submit, number)
                await trio.sleep(SUBMIT_INTERVAL_S)

    async def states(self) -> set[str]:
        """Return the states of the accepted jobs, each queried at any host."""
        states = set()
        for job_id in self.accepted:
            states.add(await self.caller.state(self.rng.choice(self.hosts), ROUTE, job_id))
        return states

    async def wait_all_ended(self) -> None:
        async def ended() -> bool:
            states = await self.states()
            assert "410" not in states, "an accepted job is unknown"
            return states <= ENDED

        await eventually(ended)

    async def wait_for_other_leader(self, name: str) -> None:
        async def replaced() -> bool:
            return self.leader != name

        await eventually(replaced)


async def eventually(condition: Callable[[], Awaitable[bool]]) -> None:
    with trio.fail_after(TIMEOUT_S):
        while not await condition():  # noqa: ASYNC110 - other processes set no event
            await trio.sleep(0.1)


@asynccontextmanager
async def running_fleet(folder: Path) -> AsyncIterator[Fleet]:
    clock = TrioClock()
    plan = StandinPlan(
        executors_by_data_centre={"one": 2, "two": 2},
        capacity=Resources(cores_milli=8000, memory_mb=8192),
    )
    standin = PlatformStandin(plan=plan, clock=clock)
    async with trio.open_nursery() as nursery:
        await nursery.start(standin.run)
        standin.configure(standin.make_route(ROUTE))
        fleet = Fleet(standin=standin, folder=folder)
        try:
            for host in fleet.hosts:
                fleet.start(host)
            with trio.fail_after(TIMEOUT_S):
                for host in fleet.hosts:
                    await fleet.caller.wait_ready(host)
            yield fleet
        finally:
            fleet.end_all()
        nursery.cancel_scope.cancel()


async def kill_the_leader(fleet: Fleet) -> None:
    leader = fleet.leader
    fleet.signal(leader, signal.SIGKILL)
    await fleet.wait_for_other_leader(leader)
    fleet.start(fleet.host(leader))


async def pause_the_leader(fleet: Fleet) -> None:
    """Pause the leader, and resume it after another host has taken over."""
    leader = fleet.leader
    fleet.signal(leader, signal.SIGSTOP)
    await fleet.wait_for_other_leader(leader)
    await trio.sleep(1.0)
    fleet.signal(leader, signal.SIGCONT)


async def stop_store_and_kill_leader(fleet: Fleet) -> None:
    """Kill the leader while the store refuses all requests."""
    fleet.standin.store.is_unavailable = True
    await trio.sleep(1.0)
    leader = fleet.leader
    fleet.signal(leader, signal.SIGKILL)
    await trio.sleep(1.0)
    fleet.standin.store.is_unavailable = False
    await fleet.wait_for_other_leader(leader)
    fleet.start(fleet.host(leader))


async def compact_topics_during_handover(fleet: Fleet) -> None:
    """Drop all but each key's newest record while a leader hands over."""
    leader = fleet.leader
    fleet.signal(leader, signal.SIGTERM)
    for topic in fleet.standin.store.topics.values():
        topic.compact()
    await fleet.wait_for_other_leader(leader)
    fleet.processes[leader].wait()
    fleet.start(fleet.host(leader))


async def restart_executors(fleet: Fleet) -> None:
    """Restart executors under their names, one after the other, and one of them twice."""
    for name in sorted(fleet.standin.simulation.executors):
        fleet.standin.restart(name)
        await trio.sleep(0.4)
    fleet.standin.restart(name)


async def kill_all(fleet: Fleet) -> None:
    for host in fleet.hosts:
        fleet.signal(host.name, signal.SIGKILL)
        fleet.processes[host.name].wait()
    for host in fleet.hosts:
        fleet.start(host)


class TestHazardsWithProcesses:
    async def test_nothing_runs_twice_and_nothing_accepted_is_lost(self, tmp_path: Path) -> None:
        async with running_fleet(tmp_path) as fleet:
            hazards = (
                kill_the_leader,
                pause_the_leader,
                stop_store_and_kill_leader,
                compact_topics_during_handover,
                restart_executors,
                kill_all,
            )
            for number, inject in enumerate(hazards):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fleet.submit_some, number * JOBS)
                    await trio.sleep(8 * SUBMIT_INTERVAL_S)
                    await inject(fleet)
            await fleet.wait_all_ended()
            simulation = fleet.standin.simulation
            started = {task.job for task in simulation.starts_of}
            assert simulation.violations == []
            assert not fleet.refused & started
            assert len(fleet.accepted) > 4 * JOBS


async def keep_calling(fleet: Fleet, rng: Random) -> None:
    """Ask for the states of jobs at random hosts; answers are late or missing while one freezes."""
    callers = [StandinCaller() for _ in range(CALLERS)]
    async with trio.open_nursery() as nursery:
        while True:
            job_id = f"{rng.randrange(JOBS):016x}"
            caller, host = rng.choice(callers), rng.choice(fleet.hosts)
            nursery.start_soon(caller.state, host, ROUTE, job_id)
            await trio.sleep(1.0 / CALLS_PER_S)


async def freeze_leaders_in_turn(folder: Path, *, seed: int, freezes: int) -> list[float]:
    """Freeze each leader beside calls; return how long each took to be ready after it woke."""
    took_s: list[float] = []
    probe = StandinCaller()
    async with running_fleet(folder) as fleet, trio.open_nursery() as nursery:
        nursery.start_soon(keep_calling, fleet, Random(seed))
        await fleet.submit_some(0)
        for _ in range(freezes):
            leader = fleet.leader
            fleet.signal(leader, signal.SIGSTOP)
            await trio.sleep(FREEZE_S)
            fleet.signal(leader, signal.SIGCONT)
            woke_at = trio.current_time()
            with trio.fail_after(TIMEOUT_S):
                await probe.wait_ready(fleet.host(leader))
            took_s.append(trio.current_time() - woke_at)
        nursery.cancel_scope.cancel()
    return took_s


class TestFreezesBesideCalls:
    async def test_a_leader_that_wakes_hears_the_next_one(self, tmp_path: Path) -> None:
        """It answers calls from before its freeze, whose callers have connected anew."""
        took_s = await freeze_leaders_in_turn(tmp_path, seed=1, freezes=2)
        assert len(took_s) == 2


class TestOddAnswers:
    async def test_an_executor_whose_rows_are_too_short_ends_no_host(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        odd = {"executor-1"}
        listing = ExecutorRoutes._listing

        def answer(routes: ExecutorRoutes, executor: Executor) -> HttpResponse:
            if routes.executor_id not in odd:
                return listing(routes, executor)
            return json_response(200, {"clockMs": 5, "running": [["a.0.0.0", 1]]})

        monkeypatch.setattr(ExecutorRoutes, "_listing", answer)
        async with running_fleet(tmp_path) as fleet:
            await fleet.submit_some(0, jobs=8)
            await fleet.wait_all_ended()
            assert len(fleet.accepted) == 8
            simulation = fleet.standin.simulation
            assert not simulation.executors["executor-1"].finished_runs
            odd.clear()

            async def has_work() -> bool:
                await fleet.submit_some(fleet.rng.randrange(10**6, 10**9), jobs=8)
                executor = simulation.executors["executor-1"]
                return bool(executor.runs or executor.finished_runs)

            await eventually(has_work)
            await fleet.wait_all_ended()
            assert all(process.poll() is None for process in fleet.processes.values())
            assert simulation.violations == []


class TestStart:
    def test_an_entry_host_starts_without_the_metrics_library(self) -> None:
        """Importing it takes about 0.2 s, during which nothing is served."""
        script = (
            "import sys; import galenastall.platform.process; "
            "print([name for name in sys.modules if name.startswith('opentelemetry')])"
        )
        environment = {**os.environ, "PYTHONPATH": str(SOURCE)}
        printed = subprocess.run(
            [sys.executable, "-c", script], env=environment, capture_output=True, check=True
        )
        assert printed.stdout.decode().strip() == "[]"
