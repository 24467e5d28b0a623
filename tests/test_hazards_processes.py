"""The hazards of ownership with real processes, judged by the stand-in platform's own records.

One small fleet goes through all of them, under a load that keeps its workers nearly full, since
overcommitment shows only where there is little room. Nothing is timed: each step waits until its
hazard has come about, within generous bounds.
"""

import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final, TypeVar

import msgspec
import trio
from returns.result import Failure, Result

import galenastall
from galenastall.bench.fleet import CallError, Fleet, FleetPlan, running_fleet
from galenastall.bench.job_load import JobLoad
from galenastall.bench.load import LoadClient, LoadPlan
from galenastall.bench.mixes import JobArrival
from galenastall.bench.report import ScenarioResult
from galenastall.bench.truth import record_truth
from galenastall.proof.history import HistoryRecorder, TaskStarted
from galenastall.proof.invariants import check
from galenastall.standin.cuts import Cut, Service
from galenastall.state.errors import StepError
from galenastall.state.ids import HostId, JobId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import JobSpec, Workload

T = TypeVar("T")

PLAN: Final = FleetPlan(
    entry_hosts_by_data_centre={"gangnam": 3},
    workers=6,
    executors=2,
    worker_cores=4,
    worker_memory_gb=16,
    seed=7,
    shared={"placement": {"start_settle_s": 10.0}},
    source=Path(galenastall.__file__).parents[2],
)
JOBS: Final = 12
"""Jobs that come while a hazard is brought about."""
JOB_EVERY_S: Final = 0.4
TASKS: Final = 4
TASK: Final = Resources(cores_milli=2000, memory_mb=1024)
RUN_S: Final = 1.0
LONG_RUN_S: Final = 4.0
"""So long that the new owner's tasks still run when late starts arrive."""
LATE_S: Final = 9.0
"""Longer than a takeover and shorter than `placement.start_settle_s`."""
WITHIN_S: Final = 60.0
NAMES: Final = (
    "capacity-reserved",
    "task-in-one-place",
    "task-at-most-once",
    "no-job-lost",
    "answers-whole-and-own",
    "done-did-run",
    "not-run-is-true",
    "at-most-once",
)


def jobs(name: str, *, run_s: float) -> Iterator[JobArrival]:
    for number in range(JOBS):
        spec = JobSpec(
            job_id=JobId(f"{name}-{number}"),
            team=TeamPath("packs"),
            workload=Workload.BATCH,
            tasks=TASKS,
            resources=TASK,
            run_s=run_s,
            idempotent=number % 2 == 0,
        )
        yield JobArrival(
            after_s=number * JOB_EVERY_S,
            spec=spec,
            real=TASK,
            real_run_s=run_s,
            impossible=False,
        )


class HazardRun:
    """A fleet under load and the ways to harm it."""

    def __init__(self, *, fleet: Fleet, recorder: HistoryRecorder, directory: Path) -> None:
        self.fleet = fleet
        self.directory = directory
        self.recorder = recorder

    async def run_jobs(self, name: str, run_s: float = RUN_S) -> None:
        """Submit the jobs of one hazard; all of them must come to an end."""
        load = JobLoad(
            fleet=self.fleet,
            recorder=self.recorder,
            arrivals=jobs(name, run_s=run_s),
            rng=random.Random(PLAN.seed),
        )
        tally = await load.run(settle_s=WITHIN_S)
        assert tally.open_jobs() == []

    async def send_requests(self) -> None:
        plan = LoadPlan(
            name="hazards",
            targets=self.fleet.targets(),
            mix="dongmun",
            rate=10.0,
            duration_s=3 * JOBS * JOB_EVERY_S,
            seed=PLAN.seed,
            start_wall=self.fleet.clock.wall(),
        )
        await LoadClient(plan=plan, clock=self.fleet.clock, recorder=self.recorder).run()

    async def owners(self, *, but: HostId | None = None) -> dict[HostId, HostId | None]:
        """Return each worker's owner as a host other than `but` sees it."""
        host = next(h for name, h in self.fleet.entry_hosts_by_id.items() if name != but)
        answer = await self.fleet.call("GET", host, "/v1/workers")
        rows = msgspec.json.decode(answer.body)["workers"]
        return {HostId(row["host_id"]): row["owner"] for row in rows}

    async def busiest(self) -> HostId:
        """Return the entry host that owns most workers, once every worker has an owner."""

        async def all_owned() -> bool:
            found = await self.owners()
            return len(found) == PLAN.workers and None not in found.values()

        await eventually(all_owned)
        counts = Counter((await self.owners()).values())
        owner = counts.most_common(1)[0][0]
        assert owner is not None
        return owner

    async def until_replaced(self, lost: HostId) -> None:
        """Wait until all workers of a host have other owners."""

        async def replaced() -> bool:
            found = await self.owners(but=lost)
            return not {lost, None} & set(found.values())

        await eventually(replaced)

    async def until_runs(self, more: int = 10) -> None:
        """Wait until so many further tasks were started, so that a step meets a busy fleet."""
        before = await self.runs()

        async def went_on() -> bool:
            return await self.runs() >= before + more

        await eventually(went_on)

    async def runs(self) -> int:
        counters = taken(await self.fleet.control.counters())
        return counters.runs

    @asynccontextmanager
    async def worker_delay(self, workers: Iterable[HostId]) -> AsyncIterator[None]:
        """Let calls to these workers take effect later than a takeover takes."""
        for worker in workers:
            taken(await self.fleet.control.change_faults(f"workers/{worker}", {"delay_s": LATE_S}))
        yield
        taken(await self.fleet.control.change_faults("workers/all", {"delay_s": 0.0}))

    async def pause_with_late_starts(self, nursery: trio.Nursery) -> None:
        """Hazards 1 and 4: an owner is paused, and starts of its arrive after the takeover.

        The load begins while its workers are slow to hear, so that it finds room there.
        """
        owner = await self.busiest()
        workers = {worker for worker, by in (await self.owners()).items() if by == owner}
        first_late = self.fleet.clock.wall() + LATE_S
        async with self.worker_delay(workers):
            nursery.start_soon(self.run_jobs, "late", LONG_RUN_S)
            await eventually(lambda: self.has_sent_a_start(owner, workers))
            self.fleet.driver.pause(owner)
        last_late = self.fleet.clock.wall() + LATE_S
        await self.until_replaced(owner)
        self.fleet.driver.resume(owner)
        await trio.sleep(max(0.0, last_late - self.fleet.clock.wall()))
        assert await self.was_started(workers, after=first_late, before=last_late)

    async def has_sent_a_start(self, owner: HostId, workers: set[HostId]) -> bool:
        """Return whether an owner's log tells of a start sent to one of its workers.

        A paused owner that has sent none has nothing that could arrive late.
        """
        log = (self.directory / f"{owner}.log").read_text()
        lines = [line for line in log.splitlines() if '"worker.start"' in line]
        return any(f'"peer":"{worker}"' in line for line in lines for worker in workers)

    async def was_started(self, workers: set[HostId], *, after: float, before: float) -> bool:
        """Return whether any task was started on one of the workers in a span of wall time."""
        recorder = HistoryRecorder()
        truth = ScenarioResult(scenario="hazards", seed=PLAN.seed, command="")
        await record_truth(self.fleet, recorder, truth)
        return any(
            each.worker in workers and after <= each.at <= before
            for each in recorder.history().of(TaskStarted)
        )

    async def cut_off_and_lose_answers(self, nursery: trio.Nursery) -> None:
        """Hazards 2 and 5: an owner reaches its workers and not the log, while peers claim.

        A third of the workers' answers are lost after their effect besides.
        """
        owner = await self.busiest()
        taken(await self.fleet.control.change_faults("workers/all", {"drop_after": 0.3}))
        nursery.start_soon(self.run_jobs, "cut")
        cut = Cut(caller=owner, services=frozenset({Service.LOG}))
        taken(await self.fleet.control.set_cuts(cut))
        await self.until_runs()
        self.fleet.driver.pause(owner)
        await self.until_replaced(owner)
        self.fleet.driver.resume(owner)
        taken(await self.fleet.control.change_faults("workers/all", {"drop_after": 0.0}))
        # Of the first jobs fewer runs may be left than are waited for.
        nursery.start_soon(self.run_jobs, "regained")
        await self.until_runs()
        taken(await self.fleet.control.set_cuts())

    async def die_in_an_outage(self, nursery: trio.Nursery) -> None:
        """Hazard 3: an owner dies while the log is down, and comes back as a new process."""
        owner = await self.busiest()
        nursery.start_soon(self.run_jobs, "outage")
        await self.until_runs()
        taken(await self.fleet.control.change_faults("log", {"outage": True}))
        await trio.sleep(2 * JOB_EVERY_S)
        self.fleet.driver.kill(owner)
        await self.fleet.driver.wait_ended(name=owner, timeout_s=WITHIN_S)
        await trio.sleep(2 * JOB_EVERY_S)
        taken(await self.fleet.control.change_faults("log", {"outage": False}))
        await self.until_replaced(owner)
        await self.fleet.start_entry_host(owner)


def taken(result: Result[T, StepError]) -> T:
    if isinstance(result, Failure):
        raise CallError(str(result.failure()))
    return result.unwrap()


async def eventually(holds: Callable[[], Awaitable[bool]]) -> None:
    with trio.fail_after(WITHIN_S):
        # Asked again and again: what other processes did has no event here.
        while not await holds():  # noqa: ASYNC110
            await trio.sleep(0.2)


class TestHazardsWithProcesses:
    async def test_no_overcommitment_and_no_second_run(self, tmp_path: Path) -> None:
        recorder = HistoryRecorder()
        async with running_fleet(PLAN, tmp_path) as fleet:
            run = HazardRun(fleet=fleet, recorder=recorder, directory=tmp_path)
            async with trio.open_nursery() as requests:
                requests.start_soon(run.send_requests)
                for bring_about in (
                    run.pause_with_late_starts,
                    run.cut_off_and_lose_answers,
                    run.die_in_an_outage,
                ):
                    async with trio.open_nursery() as nursery:
                        await bring_about(nursery)
            truth = ScenarioResult(scenario="hazards", seed=PLAN.seed, command="")
            await record_truth(fleet, recorder, truth)
        verdict = check(recorder.history(), names=NAMES)
        assert truth.holds, truth.figures
        assert verdict.holds, [(each.invariant, each.detail) for each in verdict.violations]
