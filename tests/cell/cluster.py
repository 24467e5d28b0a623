"""Cell hosts in one process on a simulated platform, and callers that submit jobs."""

from dataclasses import dataclass, replace
from random import Random

import trio

from cell.simulation import HostView, MemoryLink, Simulation
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.cell_host import CellHost, CellHostSettings, CellPorts
from galenastall.protocol.cell.messages import SubmitVerdict
from galenastall.state.cell.jobs import CellJob, Step
from galenastall.state.cell.phases import ENDED_PHASES, JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.ids import HostId
from galenastall.state.resources import Resources
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder

TIMINGS = CellTimings()


@dataclass(kw_only=True)
class LiveHost:
    """A running host, and the scope that kills it."""

    host: CellHost
    scope: trio.CancelScope
    recorder: Recorder


class Cluster:
    """Hosts that tests can kill, isolate and restart."""

    def __init__(
        self, *, simulation: Simulation, rng: Random, nursery: trio.Nursery, hosts: int = 3
    ) -> None:
        self.simulation = simulation
        self.rng = rng
        self.nursery = nursery
        self.live: dict[str, LiveHost] = {}
        self.all_recorders: list[Recorder] = []
        """Recorders of all incarnations of all hosts, for inspection after a run."""
        self.names = [f"entry-{number}" for number in range(hosts)]
        self.weights: dict[str, float] = {}
        """Weights of hosts; the default is 1."""
        self.claim_delays_s: dict[str, float] = {}
        """Claim delays of hosts; by default they increase in the order of the names."""
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        """Jobs whose cancellation was acknowledged."""
        self.cancel_asked: set[str] = set()

    async def start_all(self) -> None:
        for name in self.names:
            await self.start(name)

    async def start(self, name: str) -> None:
        """Start a host's process."""
        view = HostView(simulation=self.simulation, host_id=name)
        clock = TrioClock(wall_at_start=1_000.0 + trio.current_time())
        recorder = Recorder(process=name, clock=clock, ring=TimelineRing(capacity=20_000))
        self.all_recorders.append(recorder)
        host = CellHost(
            settings=CellHostSettings(
                host_id=HostId(name),
                peer_address=name,
                weight=self.weights.get(name, 1.0),
                claim_delay_s=self.claim_delays_s.get(name, 0.06 * self.names.index(name)),
                may_start=True,
            ),
            ports=CellPorts(
                state=view,
                fleet=view,
                hosts=view,
                config=view,
                executors=view,
                advisor=None,
            ),
            link=MemoryLink(simulation=self.simulation, host_id=name),
            timings=TIMINGS,
            clock=clock,
            recorder=recorder,
        )
        scope = trio.CancelScope()
        self.live[name] = LiveHost(host=host, scope=scope, recorder=recorder)

        async def run(task_status: trio.TaskStatus[None]) -> None:
            with scope:
                await host.run(task_status=task_status)

        await self.nursery.start(run)

    def kill(self, name: str) -> None:
        """Kill a host's process."""
        live = self.live.pop(name, None)
        if live is not None:
            self.simulation.links.pop(name, None)
            live.scope.cancel()

    @property
    def leader(self) -> str | None:
        """The host whose term has the highest token."""
        terms = [
            (live.host.leadership.term.token, name)
            for name, live in self.live.items()
            if live.host.leadership.term is not None
        ]
        return max(terms)[1] if terms else None

    async def wait_for_other_leader(self, first: str) -> str:
        """Wait until a host other than `first` leads."""
        with trio.fail_after(10.0):
            while self.leader == first:  # noqa: ASYNC110 - hosts have no event for it
                await trio.sleep(0.02)
        return await self.wait_for_leader()

    async def wait_for_leader(self, timeout_s: float = 10.0) -> str:
        with trio.fail_after(timeout_s):
            while True:
                name = self.leader
                term = self.live[name].host.leadership.term if name else None
                if name is not None and term is not None and term.ready.is_set():
                    return name
                await trio.sleep(0.02)

    def any_host(self) -> CellHost | None:
        names = sorted(self.live)
        return self.live[self.rng.choice(names)].host if names else None

    async def submit(self, job: CellJob, tries: int = 3) -> bool:
        """Submit a job as a caller does, with retries at random hosts."""
        self.simulation.jobs[job.job_id] = job
        was_rejected = True
        for _ in range(tries):
            host = self.any_host()
            if host is None:
                await trio.sleep(0.5)
                continue
            if not self._is_admitted(host, job):
                await trio.sleep(0.5)
                continue
            submitted = await host.caller_handler.submit(
                job, patience_s=3.0, config_version=host.config.version
            )
            if submitted.verdict is SubmitVerdict.ACCEPTED:
                self.accepted.add(job.job_id)
                return True
            was_rejected = was_rejected and submitted.verdict is SubmitVerdict.NOT_RUN
            await trio.sleep(0.3)
        if was_rejected:
            self.refused.add(job.job_id)
        return False

    def _is_admitted(self, host: CellHost, job: CellJob) -> bool:
        """Whether the configuration in force at a host contains the workspace of a job."""
        config = host.config.current()
        names = [workspace.name for workspace in config.workspaces] if config else []
        return job.workspace in {NO_WORKSPACE, *names}

    def _owner_of(self, job_id: str) -> str:
        job = self.simulation.jobs.get(job_id)
        return NO_WORKSPACE if job is None else job.workspace

    async def cancel(self, job_id: str) -> bool:
        host = self.any_host()
        if host is None:
            return False
        self.cancel_asked.add(job_id)
        workspace = self._owner_of(job_id)
        answer = await host.caller_handler.cancel(job_id, patience_s=3.0, workspace=workspace)
        if answer.value_or(None) is JobPhase.CANCELLED:
            self.cancelled.add(job_id)
            return True
        return False

    async def phase(self, job_id: str) -> JobPhase | None:
        """Query random hosts until one answers, and return the job's phase."""
        while True:
            host = self.any_host()
            if host is not None:
                workspace = self._owner_of(job_id)
                answer = await host.caller_handler.phase(
                    job_id, patience_s=3.0, workspace=workspace
                )
                if answer.value_or("no answer") != "no answer":
                    return answer.unwrap()
            await trio.sleep(0.2)

    async def wait_ended(self, job_id: str, timeout_s: float = 60.0) -> JobPhase | None:
        with trio.move_on_after(timeout_s):
            while True:
                phase = await self.phase(job_id)
                if phase is None or phase in ENDED_PHASES:
                    return phase
                await trio.sleep(0.2)
        return JobPhase.RUNNING

    def check_refusals(self) -> None:
        """Record a violation for each job that ran although all its submissions were refused."""
        started = {
            task.job
            for executor in (
                *self.simulation.executors.values(),
                *self.simulation.earlier_incarnations,
            )
            for task in executor.finished_runs.keys() | executor.runs.keys()
        }
        for job_id in self.refused & started:
            self.simulation.violations.append(f"{job_id} was refused and ran")


def make_urgent_job(simulation: Simulation, rng: Random, number: int) -> CellJob:
    """Return a random job of one small step in the urgent queue."""
    job = make_job(simulation, rng, number)
    step = replace(job.steps[0], count=min(job.steps[0].count, 3), is_gang=False)
    return replace(job, queue=simulation.urgent_queue, steps=(step,))


def make_job(simulation: Simulation, rng: Random, number: int) -> CellJob:
    """Return a random job of one or two steps, some of them gangs."""
    steps = [_make_step(rng, ())]
    if rng.random() < 0.4:
        steps.append(_make_step(rng, (0,)))
    names = [workspace.name for workspace in simulation.config.workspaces]
    return CellJob(
        job_id=f"{number:016x}",
        workspace=rng.choice(names) if names else NO_WORKSPACE,
        queue=simulation.queue,
        payload=f"payload {number}",
        steps=tuple(steps),
        submitted_at=1_000.0 + trio.current_time(),
    )


def _make_step(rng: Random, after: tuple[int, ...]) -> Step:
    is_gang = rng.random() < 0.3
    return Step(
        count=rng.randint(2, 5) if is_gang else rng.randint(1, 6),
        need=Resources(cores_milli=rng.choice([500, 1000, 2000]), memory_mb=1000),
        estimate_s=1.0,
        after=after,
        is_gang=is_gang,
        most_per_executor=0 if is_gang else rng.choice([0, 0, 2]),
    )
