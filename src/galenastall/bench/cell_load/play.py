"""Plays one seed of a workload: terms of a leader, callers, troubles and samples."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Final

import trio
import trio.testing

from galenastall.bench.cell_load.arrivals import Arrival, draw_arrivals, queue_of
from galenastall.bench.cell_load.idle import usable_idle_cores
from galenastall.bench.cell_load.surroundings import AdvisorLink, LabPorts, LabWorld
from galenastall.bench.cell_load.workload import CapacityChange, Span, Workload
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.leader_handler import LeaderHandler
from galenastall.node.cell.leader_term import LeaderTerm, TermParts
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.messages import SubmitAnswer, SubmitJob, SubmitVerdict
from galenastall.state.cell.phases import JobPhase
from galenastall.state.ids import HostId
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder

PATIENCE_S: Final = 3.0
"""How long a caller waits for an answer, in all of its tries."""
TRIES: Final = 4
SAMPLE_S: Final = 0.1
LATE_FACTOR: Final = 3.0
LATE_SHARE: Final = 0.2
"""A job that is done within three times its objective earns a fifth."""
WALL_AT_START: Final = 1_000.0
RING_EVENTS: Final = 100


@dataclass(kw_only=True)
class JobFate:
    """What became of one job."""

    arrival: Arrival
    is_refused: bool = False
    answered_s: float | None = None
    """Until the last answer of its submission."""
    is_accepted: bool = False
    started_s: float | None = None
    """From its coming to its first assignment."""
    done_s: float | None = None
    phase: JobPhase | None = None

    @property
    def earned_share(self) -> float:
        """Return 1 in time, a fifth when late, nothing otherwise."""
        if self.done_s is None or self.phase is not JobPhase.COMPLETED:
            return 0.0
        if self.done_s <= self.arrival.objective_s:
            return 1.0
        is_late = self.done_s <= LATE_FACTOR * self.arrival.objective_s
        return LATE_SHARE if is_late else 0.0


@dataclass(kw_only=True)
class Sample:
    """The fleet at one moment; cores in thousandths."""

    at_s: float
    in_use: int
    idle_usable: int
    """Free cores that a waiting step could use."""
    capacity: int
    waiting_jobs: int


@dataclass(kw_only=True)
class Play:
    """Outcome of one seed."""

    seed: int
    fates: list[JobFate]
    samples: list[Sample] = field(default_factory=list)
    decision_s: list[float] = field(default_factory=list)
    """Processor time of each decision."""
    violations: list[str] = field(default_factory=list)
    advice_calls: int = 0
    starts: int = 0
    crashes: int = 0
    """Executors that tasks have crashed."""


def play(workload: Workload, *, seed: int, without: Iterable[Mechanism] = ()) -> Play:
    """Play a seed in virtual time; the same arrivals and run times for the same seed."""
    fix_order_of_tasks()
    lab = _Lab(workload=workload, seed=seed, without=frozenset(without))
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(lab.run, clock=clock)


def fix_order_of_tasks() -> None:
    """Have trio take its tasks in the same order in each run from here on."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)


async def _look_nowhere() -> None:
    """Find no newer configuration: it stays the same in a play."""


class _Lab:
    def __init__(self, *, workload: Workload, seed: int, without: frozenset[Mechanism]) -> None:
        self._workload = workload
        self._without = without
        self._rng = Random(seed)
        arrivals = draw_arrivals(workload, seed=seed)
        self._fates_by_id = {a.job.job_id: JobFate(arrival=a) for a in arrivals}
        self._play = Play(seed=seed, fates=list(self._fates_by_id.values()))
        self._seed = seed
        self._term: LeaderTerm | None = None
        self._desk: LeaderHandler | None = None

    async def run(self) -> Play:
        self._world = LabWorld(
            workload=self._workload,
            arrivals=[fate.arrival for fate in self._play.fates],
            seed=self._seed,
        )
        self._ports = LabPorts(world=self._world)
        self._clock = TrioClock(wall_at_start=WALL_AT_START)
        self._begun_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lead, nursery)
            nursery.start_soon(self._sample)
            for fate in self._play.fates:
                nursery.start_soon(self._submit, fate)
            for span in self._workload.store_outages:
                nursery.start_soon(self._lose_store, span)
            for span in self._workload.crashes:
                nursery.start_soon(self._crash, span)
            for change in self._workload.capacity_changes:
                nursery.start_soon(self._resize, change)
            nursery.start_soon(self._world.bring_back)
            await trio.sleep(self._workload.length_s + self._workload.settle_s)
            nursery.cancel_scope.cancel()
        self._note_ends()
        self._world.check_history()
        self._play.violations = self._world.violations
        self._play.advice_calls = self._ports.advice_calls
        self._play.starts = self._world.starts
        self._play.crashes = self._world.crashed_by_tasks
        return self._play

    async def _lead(self, nursery: trio.Nursery) -> None:
        """Lead, with a new term after each loss of all entry hosts, or of the leader alone."""
        begin_s = 0.0
        link = AdvisorLink(ports=self._ports, nursery=nursery)
        losses = set(self._workload.leader_losses)
        spans = sorted(losses | set(self._workload.leader_changes), key=lambda span: span.at_s)
        for token, span in enumerate((*spans, None), start=1):
            await trio.sleep_until(self._begun_at + begin_s)
            term = LeaderTerm(parts=self._parts(link), token=token, claimed_at=trio.current_time())
            self._time_decisions(term)
            self._term = term
            self._desk = LeaderHandler(term=term, host_id="entry-0", has_followers=lambda: True)
            with trio.CancelScope() as scope:
                if span is not None:
                    scope.deadline = self._begun_at + span.at_s
                    begin_s = span.at_s + span.for_s
                await term.run()
            self._desk = None
            if span in losses:
                link = AdvisorLink(ports=self._ports, nursery=nursery)

    def _parts(self, link: AdvisorLink) -> TermParts:
        ports: Any = self._ports
        recorder = Recorder(
            process="lab", clock=self._clock, ring=TimelineRing(capacity=RING_EVENTS)
        )
        helpers = tuple(HostId(f"entry-{n}") for n in range(self._workload.entry_hosts))
        config = CellConfig(
            version=1, routes=self._routes(), workspaces=self._workload.list_workspaces()
        )
        return TermParts(
            state=ports,
            fleet=ports,
            hosts=ports,
            host_id=HostId("entry-0"),
            executors=ports,
            link=link,
            clock=self._clock,
            recorder=recorder,
            timings=CellTimings(),
            config=lambda: config,
            refresh_config=_look_nowhere,
            available_hosts=lambda: helpers,
            lag_s=lambda: 0.0,
            without=self._without,
        )

    def _routes(self) -> tuple[QueueRoute, ...]:
        return tuple(
            QueueRoute(host="lab", path_prefix=f"/{name}/", queue=queue_of(name, load))
            for name, load in self._workload.queues.items()
        )

    def _time_decisions(self, term: LeaderTerm) -> None:
        decide = term.core.decide

        def timed(*, now: float, wall: float, may_place: bool = True) -> None:
            begun = time.process_time()
            decide(now=now, wall=wall, may_place=may_place)
            self._play.decision_s.append(time.process_time() - begun)

        term.core.decide = timed  # type: ignore[method-assign]

    async def _submit(self, fate: JobFate) -> None:
        """Hand a job in as a caller does, with some tries within its patience."""
        await trio.sleep_until(self._begun_at + fate.arrival.at_s)
        until = trio.current_time() + PATIENCE_S
        job = replace(fate.arrival.job, submitted_at=self._clock.wall())
        was_refused = False
        for _ in range(TRIES):
            left_s = until - trio.current_time()
            if left_s <= 0:
                break
            pause_s = 0.3
            if self._desk is not None:
                answer = await self._desk.submit(SubmitJob(job=job, patience_s=left_s))
                if isinstance(answer, SubmitAnswer):
                    was_refused = answer.verdict is SubmitVerdict.NOT_RUN
                    if answer.verdict is SubmitVerdict.ACCEPTED:
                        fate.is_accepted = True
                        break
            await trio.sleep(pause_s)
        fate.is_refused = was_refused and not fate.is_accepted
        fate.answered_s = trio.current_time() - self._begun_at - fate.arrival.at_s

    async def _lose_store(self, span: Span) -> None:
        await trio.sleep_until(self._begun_at + span.at_s)
        self._ports.is_store_away = True
        await trio.sleep(span.for_s)
        self._ports.is_store_away = False

    async def _crash(self, span: Span) -> None:
        await trio.sleep_until(self._begun_at + span.at_s)
        for number in range(self._workload.executors):
            if self._rng.random() >= span.share:
                continue
            host = f"host-{number}"
            for executor in self._world.executors.values():
                if executor.info.host == host and executor.is_up:
                    self._world.crash(executor)
        await trio.sleep(span.for_s)
        alive = {e.info.host for e in self._world.executors.values() if e.is_up}
        for number in range(self._workload.executors):
            if f"host-{number}" not in alive:
                self._world.start_executor(number)

    async def _resize(self, change: CapacityChange) -> None:
        await trio.sleep_until(self._begun_at + change.at_s)
        numbers = range(self._workload.executors)
        hit = {number for number in numbers if self._rng.random() < change.share}
        self._world.resize(hit, change.factor)
        await trio.sleep(change.for_s)
        self._world.resize(hit, 1.0)

    async def _sample(self) -> None:
        while True:
            await trio.sleep(SAMPLE_S)
            term = self._term
            if term is None or not term.ready.is_set():
                continue
            self._note_ends()
            self._play.samples.append(self._sample_now(term))

    def _sample_now(self, term: LeaderTerm) -> Sample:
        up = [executor for executor in self._world.executors.values() if executor.is_up]
        runs = [run for executor in up for run in executor.runs.values()]
        jobs = term.core.jobs_by_id.values()
        return Sample(
            at_s=trio.current_time() - self._begun_at,
            in_use=sum(run.need.cores_milli for run in runs),
            idle_usable=usable_idle_cores(term.core, self._world),
            capacity=sum(executor.info.capacity.cores_milli for executor in up),
            waiting_jobs=sum(1 for job in jobs if not job.has_ended and not job.has_started),
        )

    def _note_ends(self) -> None:
        if self._term is None:
            return
        now_s = trio.current_time() - self._begun_at
        for job_id, run in self._term.core.jobs_by_id.items():
            fate = self._fates_by_id[job_id]
            if run.has_started and fate.started_s is None:
                fate.started_s = now_s - fate.arrival.at_s
            if run.has_ended and fate.done_s is None:
                fate.phase = run.phase
                fate.done_s = run.ended_at - WALL_AT_START - fate.arrival.at_s
