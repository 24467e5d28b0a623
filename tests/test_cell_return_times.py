"""When refused callers return, and what becomes of a try with little time left.

During outages of 4 to 6 s, callers with four retries were told to return after 1 s each time, so
that none was left when the store came back. And a caller's last try, which arrives with some 0.1 s
left, was answered as unknown without asking the leader, which takes 10 ms. And a leader whose store
was silent sent no try to it for 0.7 s at a time, while callers were refused.
"""

from collections import Counter
from dataclasses import dataclass, replace
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
import trio
from returns.result import Failure, Result, Success

from cell.cluster import Cluster, make_job
from cell.scenarios import run_scenario
from cell.simulation import Simulation
from galenastall.coordination.cell.append_timing import NEXT_TRY_AFTER_S
from galenastall.coordination.cell.objectives import longest_chain_s, objective_at
from galenastall.coordination.cell.return_times import (
    LONGEST_RETURN_S,
    RETRIES,
    SHORTEST_RETURN_S,
    TAKEOVER_S,
    return_after_s,
)
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.commit_loop import CommitLoop
from galenastall.protocol.cell.messages import SubmitVerdict
from galenastall.state.cell.jobs import CellJob, Queue, Recurrence, Step
from galenastall.state.errors import Reason, StepError
from galenastall.state.resources import Resources

JOBS = 400
JITTER_S = 0.1
NEED = Resources(cores_milli=1000, memory_mb=100)
URGENT = Queue(name="urgent", service="s", priority=0, stretch=1.0, target_s=0.3)
GANG = Queue(name="gang", service="s", stretch=2.5, target_s=1.0)
BATCH = Queue(name="batch", service="s", stretch=4.0, target_s=3.0)
PLAIN = Queue(name="plain", service="s")
RUN_S = {"urgent": 1.0, "gang": 4.0, "batch": 5.0, "plain": 4.0}


def make_one(queue: Queue, number: int = 0, *, submitted_at: float = 0.0) -> CellJob:
    """Return a job of one step of the queue's usual duration."""
    return CellJob(
        job_id=f"{number:016x}",
        queue=queue,
        payload="",
        steps=(Step(count=2, need=NEED, estimate_s=RUN_S[queue.name]),),
        submitted_at=submitted_at,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What became of one job."""

    is_accepted: bool
    is_in_time: bool


def replay(queue: Queue, number: int, *, outage_s: float, follows_advice: bool) -> Outcome:
    """Play a caller that is first refused in an outage, and retries four times as it is told."""
    rng = Random(number)
    sent_at = now = rng.uniform(0.0, outage_s)
    job = make_one(queue, number)
    for _ in range(1 + RETRIES):
        if now >= outage_s:
            done_at = now + longest_chain_s(job.steps, queue)
            objective = objective_at(steps=job.steps, queue=queue, begins_at=sent_at)
            return Outcome(is_accepted=True, is_in_time=done_at <= objective)
        told_s = return_after_s(replace(job, submitted_at=now)) if follows_advice else 1.0
        now += told_s + rng.uniform(0.0, JITTER_S)
    return Outcome(is_accepted=False, is_in_time=False)


def shares(queue: Queue, *, outage_s: float, follows_advice: bool) -> tuple[float, float]:
    """Return the shares of jobs that are accepted, and that are in time."""
    outcomes = [
        replay(queue, number, outage_s=outage_s, follows_advice=follows_advice)
        for number in range(JOBS)
    ]
    accepted = sum(outcome.is_accepted for outcome in outcomes)
    return accepted / JOBS, sum(outcome.is_in_time for outcome in outcomes) / JOBS


class TestOutages:
    @pytest.mark.parametrize("queue", [GANG, BATCH], ids=lambda queue: queue.name)
    @pytest.mark.parametrize("outage_s", [2.0, 4.0, 6.0, 8.0])
    def test_tries_of_jobs_with_time_outlast_the_outage(
        self, queue: Queue, outage_s: float
    ) -> None:
        accepted, in_time = shares(queue, outage_s=outage_s, follows_advice=True)
        spare_s = queue.target_s + (queue.stretch - 1.0) * RUN_S[queue.name]
        covered = min((spare_s - TAKEOVER_S) / outage_s, 1.0)
        assert accepted >= 0.9 * covered
        assert in_time >= 0.9 * covered

    @pytest.mark.parametrize("queue", [GANG, BATCH, URGENT, PLAIN], ids=lambda queue: queue.name)
    @pytest.mark.parametrize("outage_s", [2.0, 4.0, 6.0, 8.0])
    def test_no_queue_loses_by_it(self, queue: Queue, outage_s: float) -> None:
        before = shares(queue, outage_s=outage_s, follows_advice=False)
        after = shares(queue, outage_s=outage_s, follows_advice=True)
        assert after[0] >= before[0]
        assert after[1] >= before[1]

    def test_a_long_outage_loses_fewer_jobs_with_time(self) -> None:
        before = shares(BATCH, outage_s=8.0, follows_advice=False)
        after = shares(BATCH, outage_s=8.0, follows_advice=True)
        assert after[1] > before[1] + 0.3


class TestReturnTimes:
    @pytest.mark.parametrize("queue", [URGENT, PLAIN], ids=lambda queue: queue.name)
    def test_a_job_without_time_to_spare_returns_as_soon_as_can_be(self, queue: Queue) -> None:
        assert return_after_s(make_one(queue)) == SHORTEST_RETURN_S

    @pytest.mark.parametrize("queue", [URGENT, GANG, BATCH, PLAIN], ids=lambda queue: queue.name)
    def test_no_return_leads_beyond_the_objective(self, queue: Queue) -> None:
        for number in range(JOBS):
            job = make_one(queue, number)
            told_s = return_after_s(job)
            spare_s = objective_at(steps=job.steps, queue=queue, begins_at=0.0) - RUN_S[queue.name]
            assert told_s <= max(spare_s, SHORTEST_RETURN_S)
            assert told_s == int(told_s) >= SHORTEST_RETURN_S

    def test_jobs_refused_together_do_not_all_return_together(self) -> None:
        told = Counter(return_after_s(make_one(BATCH, number)) for number in range(JOBS))
        assert len(told) == 2
        assert min(told.values()) > JOBS / 10

    def test_one_job_is_not_rounded_up_each_time(self) -> None:
        told = {return_after_s(make_one(BATCH, submitted_at=1.0 * at)) for at in range(20)}
        assert len(told) > 1

    @pytest.mark.parametrize("waits_s", [0.1, 1.0, 3.0, 3.06, 3.5, 3.9, 4.5, 5.9, 6.0])
    def test_a_caller_is_not_told_to_return_after_it_has_stopped_waiting(
        self, waits_s: float
    ) -> None:
        for number in range(JOBS):
            told_s = return_after_s(make_one(BATCH, number), caller_waits_s=waits_s)
            assert told_s <= max(SHORTEST_RETURN_S, waits_s / 3)

    def test_a_caller_with_hours_to_spare_returns_soon_after_an_outage(self) -> None:
        job = make_one(replace(BATCH, target_s=7200.0))
        assert return_after_s(job) <= LONGEST_RETURN_S

    def test_work_without_an_end_and_timed_work_return_at_once(self) -> None:
        job = make_one(BATCH)
        endless = replace(job, steps=(replace(job.steps[0], is_long_running=True),))
        timed = replace(job, recurrence=Recurrence(first_due=5.0, interval_s=1.0, times=2))
        assert return_after_s(endless) == return_after_s(timed) == SHORTEST_RETURN_S


class TestLittleTimeLeft:
    @pytest.mark.parametrize("patience_s", [0.08, 0.15, 0.3])
    async def test_a_last_try_still_reaches_the_leader(
        self, autojump_clock: object, patience_s: float
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            first = await cluster.wait_for_leader()
            await trio.sleep(1.0)
            for number, name in enumerate(cluster.names):
                job = make_job(simulation, rng, number + 1)
                simulation.jobs[job.job_id] = job
                submitted = await cluster.live[name].host.caller_handler.submit(
                    job, patience_s=patience_s
                )
                assert submitted.verdict is SubmitVerdict.ACCEPTED, (name, first, submitted)

        await run_scenario(scenario, seed=41)

    async def test_a_last_try_in_an_outage_is_told_that_its_job_is_not_stored(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            await trio.sleep(1.0)
            simulation.faults.store_refuses.update(cluster.names)
            await trio.sleep(1.0)
            for number, name in enumerate(cluster.names):
                job = make_job(simulation, rng, number + 1)
                submitted = await cluster.live[name].host.caller_handler.submit(job, patience_s=0.1)
                assert submitted.verdict is SubmitVerdict.NOT_RUN

        await run_scenario(scenario, seed=42)

    @pytest.mark.parametrize("patience_s", [0.2, 0.29, 0.31, 0.35, 0.39, 0.5])
    async def test_a_try_whose_append_hangs_is_refused_before_its_host_stops_listening(
        self, autojump_clock: object, patience_s: float
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            first = await cluster.wait_for_leader()
            await trio.sleep(1.0)
            for name in cluster.names:
                simulation.faults.cut.add((name, "store"))
            await trio.sleep(0.1)
            other = next(name for name in cluster.names if name != first)
            job = make_job(simulation, rng, 1)
            submitted = await cluster.live[other].host.caller_handler.submit(
                job, patience_s=patience_s
            )
            assert submitted.verdict is SubmitVerdict.NOT_RUN, submitted

        await run_scenario(scenario, seed=44)

    async def test_a_last_try_without_a_leader_is_answered_in_time(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            first = await cluster.wait_for_leader()
            other = next(name for name in cluster.names if name != first)
            for each in (*cluster.names, "store"):
                simulation.faults.cut |= {(other, each), (each, other)} - {(other, other)}
            await trio.sleep(2.0)
            begun_at = trio.current_time()
            job = make_job(simulation, rng, 1)
            submitted = await cluster.live[other].host.caller_handler.submit(job, patience_s=0.2)
            assert submitted.verdict is SubmitVerdict.UNKNOWN
            assert trio.current_time() - begun_at < 0.2

        await run_scenario(scenario, seed=43)


@dataclass(kw_only=True)
class SilentStore:
    """A store that answers no call sent before `answers_from`."""

    answers_from: float
    append_bytes: int = 1_000_000
    record_bytes: int = 262_144

    async def append(self, *, timeout_s: float, **_: Any) -> Result[None, StepError]:
        """Answer in 5 ms, or not at all."""
        if trio.current_time() >= self.answers_from:
            await trio.sleep(0.005)
            return Success(None)
        await trio.sleep(timeout_s)
        return Failure(StepError(step="store.append", peer="store", reason=Reason.TIMEOUT))


def make_commit_loop(store: SilentStore) -> CommitLoop:
    """Return a commit loop without changes: it confirms its term."""
    batch = SimpleNamespace(values_by_key={}, starts=[])
    core = SimpleNamespace(take_batch=lambda: batch, commit=lambda *_, **__: [])
    context: Any = SimpleNamespace(
        core=core,
        token=1,
        confirmed_at=0.0,
        link_bytes_per_s=float("inf"),
        wall=trio.current_time,
        note=lambda *_, **__: None,
        wake=lambda: None,
        notify_committed=lambda: None,
        notify_confirmed=lambda: None,
    )
    state: Any = store

    async def refresh() -> None:
        return None

    return CommitLoop(context=context, state=state, timings=CellTimings(), refresh_inputs=refresh)


class TestSilentStore:
    async def test_its_return_is_noticed_within_one_interval_of_tries(
        self, autojump_clock: object
    ) -> None:
        for step in range(60):
            begun_at = trio.current_time()
            store = SilentStore(answers_from=begun_at + 2.0 + 0.05 * step)
            await make_commit_loop(store).commit()
            assert trio.current_time() - store.answers_from <= NEXT_TRY_AFTER_S + 0.01, step
