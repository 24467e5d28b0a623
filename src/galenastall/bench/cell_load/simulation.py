"""Simulates one seed of a workload: leader terms, callers, injected faults and sampling."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import ceil
from random import Random
from typing import Any, Final

import trio
import trio.testing

from galenastall.bench.cell_load.arrivals import Arrival, draw_arrivals, queue_of
from galenastall.bench.cell_load.emulation import AdvisorLink, EmulatedFleet, EmulatedPorts
from galenastall.bench.cell_load.idle import usable_idle_cores
from galenastall.bench.cell_load.workload import CapacityChange, Span, Workload
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.leader_handler import LeaderHandler
from galenastall.node.cell.leader_term import LeaderTerm, TermParts
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.messages import SubmitAnswer, SubmitJob, SubmitVerdict
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.phases import JobPhase
from galenastall.state.ids import HostId
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder

SUBMIT_TIMEOUT_S: Final = 3.0
"""Time-out of a submission over all of its attempts."""
SUBMIT_ATTEMPTS: Final = 4
RETRY_S: Final = 0.3
"""Pause between two tries of a caller that returns at its own pace."""
TOLD_BY_DEFAULT_S: Final = 1.0
"""Time to return where an answer names none, as hosts tell it."""
_REFUSED: Final = frozenset({SubmitVerdict.NOT_RUN, SubmitVerdict.OVERLOADED})
SAMPLE_INTERVAL_S: Final = 0.1
LATE_FACTOR: Final = 3.0
LATE_SHARE: Final = 0.2
"""A job that completes late, within three times its objective, earns a fifth of its worth."""
WALL_AT_START: Final = 1_000.0
RING_EVENTS: Final = 100


@dataclass(kw_only=True)
class JobOutcome:
    """The outcome of one job."""

    arrival: Arrival
    is_refused: bool = False
    refusals: int = 0
    """How often it was refused."""
    first_refusal_s: float | None = None
    """How long the answer to its first try took, if that was a refusal."""
    answered_s: float | None = None
    """Time from submission to the end of the last attempt to submit it."""
    is_accepted: bool = False
    started_s: float | None = None
    """Time from submission to the first sample that shows an assignment."""
    done_s: float | None = None
    phase: JobPhase | None = None

    @property
    def earned_share(self) -> float:
        """Return 1 if done in time, a fifth if late, 0 otherwise."""
        if self.done_s is None or self.phase is not JobPhase.COMPLETED:
            return 0.0
        if self.done_s <= self.arrival.objective_s:
            return 1.0
        is_late = self.done_s <= LATE_FACTOR * self.arrival.objective_s
        return LATE_SHARE if is_late else 0.0


@dataclass(kw_only=True)
class Sample:
    """State of the fleet at one time; core counts in milli-cores."""

    at_s: float
    in_use: int
    idle_usable: int
    """Free cores that a waiting step could use."""
    capacity: int
    waiting_jobs: int


@dataclass(kw_only=True)
class SimulationResult:
    """Results of simulating one seed."""

    seed: int
    outcomes: list[JobOutcome]
    samples: list[Sample] = field(default_factory=list)
    decision_s: list[float] = field(default_factory=list)
    """CPU time of each scheduling decision."""
    violations: list[str] = field(default_factory=list)
    advice_calls: int = 0
    starts: int = 0
    crashes: int = 0
    """Number of executors crashed by tasks."""


def simulate(
    workload: Workload, *, seed: int, without: Iterable[Mechanism] = ()
) -> SimulationResult:
    """Simulate a seed in virtual time; a seed always gives the same arrivals and run times."""
    make_trio_deterministic()
    simulation = _Simulation(workload=workload, seed=seed, without=frozenset(without))
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(simulation.run, clock=clock)


def make_trio_deterministic() -> None:
    """Make trio schedule its tasks in the same order in each run from now on."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)


async def _skip_config_refresh() -> None:
    """Do nothing: the configuration does not change during a simulation."""


class _Simulation:
    def __init__(self, *, workload: Workload, seed: int, without: frozenset[Mechanism]) -> None:
        self._workload = workload
        self._without = without
        self._rng = Random(seed)
        arrivals = draw_arrivals(workload, seed=seed)
        self._outcomes_by_id = {a.job.job_id: JobOutcome(arrival=a) for a in arrivals}
        self._result = SimulationResult(seed=seed, outcomes=list(self._outcomes_by_id.values()))
        self._seed = seed
        self._term: LeaderTerm | None = None
        self._leader_handler: LeaderHandler | None = None

    async def run(self) -> SimulationResult:
        self._fleet = EmulatedFleet(
            workload=self._workload,
            arrivals=[outcome.arrival for outcome in self._result.outcomes],
            seed=self._seed,
        )
        self._ports = EmulatedPorts(fleet=self._fleet)
        self._clock = TrioClock(wall_at_start=WALL_AT_START)
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lead, nursery)
            nursery.start_soon(self._sample)
            for outcome in self._result.outcomes:
                nursery.start_soon(self._submit, outcome)
            for span in self._workload.store_outages:
                nursery.start_soon(self._interrupt_store, span)
            for span in self._workload.crashes:
                nursery.start_soon(self._crash, span)
            for change in self._workload.capacity_changes:
                nursery.start_soon(self._resize, change)
            nursery.start_soon(self._fleet.restart_crashed_executors)
            await trio.sleep(self._workload.length_s + self._workload.settle_s)
            nursery.cancel_scope.cancel()
        self._record_progress()
        self._fleet.check_history()
        self._result.violations = self._fleet.violations
        self._result.advice_calls = self._ports.advice_calls
        self._result.starts = self._fleet.starts
        self._result.crashes = self._fleet.task_crashes
        return self._result

    async def _lead(self, nursery: trio.Nursery) -> None:
        """Run leader terms: a new one after each loss of all entry hosts or of the leader alone."""
        begin_s = 0.0
        link = AdvisorLink(ports=self._ports, nursery=nursery)
        losses = set(self._workload.leader_losses)
        spans = sorted(losses | set(self._workload.leader_changes), key=lambda span: span.at_s)
        for token, span in enumerate((*spans, None), start=1):
            await trio.sleep_until(self._started_at + begin_s)
            term = LeaderTerm(parts=self._parts(link), token=token, claimed_at=trio.current_time())
            self._time_decisions(term)
            self._term = term
            self._leader_handler = LeaderHandler(
                term=term, host_id="entry-0", has_followers=lambda: True
            )
            with trio.CancelScope() as scope:
                if span is not None:
                    scope.deadline = self._started_at + span.at_s
                    begin_s = span.at_s + span.for_s
                await term.run()
            self._leader_handler = None
            if span in losses:
                link = AdvisorLink(ports=self._ports, nursery=nursery)

    def _parts(self, link: AdvisorLink) -> TermParts:
        ports: Any = self._ports
        recorder = Recorder(
            process="lab", clock=self._clock, ring=TimelineRing(capacity=RING_EVENTS)
        )
        available_hosts = tuple(HostId(f"entry-{n}") for n in range(self._workload.entry_hosts))
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
            refresh_config=_skip_config_refresh,
            available_hosts=lambda: available_hosts,
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
            self._result.decision_s.append(time.process_time() - begun)

        term.core.decide = timed  # type: ignore[method-assign]

    async def _submit(self, outcome: JobOutcome) -> None:
        """Submit a job as a caller does, retrying up to the attempt limit and the time-out."""
        await trio.sleep_until(self._started_at + outcome.arrival.at_s)
        until = trio.current_time() + SUBMIT_TIMEOUT_S
        job = replace(outcome.arrival.job, submitted_at=self._clock.wall())
        verdict: SubmitVerdict | None = None
        for _ in range(SUBMIT_ATTEMPTS):
            if self._workload.returns_as_told:
                until = trio.current_time() + SUBMIT_TIMEOUT_S
                job = replace(job, submitted_at=self._clock.wall())
            left_s = until - trio.current_time()
            if left_s <= 0:
                break
            answer = await self._try_to_submit(outcome, job, left_s)
            verdict = answer.verdict if answer is not None else verdict
            if verdict is SubmitVerdict.ACCEPTED:
                outcome.is_accepted = True
                break
            await trio.sleep(self._pause_s(answer))
        outcome.is_refused = verdict in _REFUSED
        outcome.answered_s = trio.current_time() - self._started_at - outcome.arrival.at_s

    async def _try_to_submit(
        self, outcome: JobOutcome, job: CellJob, patience_s: float
    ) -> SubmitAnswer | None:
        if self._leader_handler is None:
            return None
        began_at = trio.current_time()
        answer = await self._leader_handler.submit(SubmitJob(job=job, patience_s=patience_s))
        if not isinstance(answer, SubmitAnswer):
            return None
        if answer.verdict in _REFUSED:
            outcome.refusals += 1
            if outcome.refusals == 1:
                outcome.first_refusal_s = trio.current_time() - began_at
        return answer

    def _pause_s(self, answer: SubmitAnswer | None) -> float:
        """Return how long a caller waits before its next try."""
        if not self._workload.returns_as_told:
            return RETRY_S
        told_s = answer.retry_after_s if answer is not None else 0.0
        return float(ceil(told_s or TOLD_BY_DEFAULT_S))

    async def _interrupt_store(self, span: Span) -> None:
        await trio.sleep_until(self._started_at + span.at_s)
        self._ports.is_store_unavailable = True
        await trio.sleep(span.for_s)
        self._ports.is_store_unavailable = False

    async def _crash(self, span: Span) -> None:
        await trio.sleep_until(self._started_at + span.at_s)
        for number in range(self._workload.executors):
            if self._rng.random() >= span.share:
                continue
            host = f"host-{number}"
            for executor in self._fleet.executors.values():
                if executor.info.host == host and executor.is_up:
                    self._fleet.crash(executor)
        await trio.sleep(span.for_s)
        alive = {e.info.host for e in self._fleet.executors.values() if e.is_up}
        for number in range(self._workload.executors):
            if f"host-{number}" not in alive:
                self._fleet.start_executor(number)

    async def _resize(self, change: CapacityChange) -> None:
        await trio.sleep_until(self._started_at + change.at_s)
        numbers = range(self._workload.executors)
        affected = {number for number in numbers if self._rng.random() < change.share}
        self._fleet.resize(affected, change.factor)
        await trio.sleep(change.for_s)
        self._fleet.resize(affected, 1.0)

    async def _sample(self) -> None:
        while True:
            await trio.sleep(SAMPLE_INTERVAL_S)
            term = self._term
            if term is None or not term.ready.is_set():
                continue
            self._record_progress()
            self._result.samples.append(self._sample_now(term))

    def _sample_now(self, term: LeaderTerm) -> Sample:
        up = [executor for executor in self._fleet.executors.values() if executor.is_up]
        runs = [run for executor in up for run in executor.runs.values()]
        jobs = term.core.jobs_by_id.values()
        return Sample(
            at_s=trio.current_time() - self._started_at,
            in_use=sum(run.need.cores_milli for run in runs),
            idle_usable=usable_idle_cores(term.core, self._fleet),
            capacity=sum(executor.info.capacity.cores_milli for executor in up),
            waiting_jobs=sum(1 for job in jobs if not job.has_ended and not job.has_started),
        )

    def _record_progress(self) -> None:
        if self._term is None:
            return
        now_s = trio.current_time() - self._started_at
        for job_id, run in self._term.core.jobs_by_id.items():
            outcome = self._outcomes_by_id[job_id]
            if run.has_started and outcome.started_s is None:
                outcome.started_s = now_s - outcome.arrival.at_s
            if run.has_ended and outcome.done_s is None:
                outcome.phase = run.phase
                outcome.done_s = run.ended_at - WALL_AT_START - outcome.arrival.at_s
