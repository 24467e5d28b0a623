"""Queries and cancellations are answered while some host could answer them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random
from typing import Any

import pytest
import trio
from returns.result import Failure, Result, Success

from cell.cluster import Cluster, LiveHost, make_job
from cell.fault_injection import inject_faults
from cell.scenarios import run_scenario, submit_jobs
from cell.simulation import Simulation
from galenastall.coordination.cell.query_attempts import (
    HEDGE_AFTER_S,
    MAX_ATTEMPTS,
    TAKEOVER_S,
    QueryAttempts,
    QueryDeadlines,
)
from galenastall.node.cell.caller_handler import RETRY_AFTER_S, CallerHandler
from galenastall.node.cell.query_caller import LOOK_EVERY_S, QueryCaller
from galenastall.state.cell.phases import JobPhase
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

HOST = HostId("entry-1")
WAITS_S = 3.0
"""How long a caller waits for an answer, over all its tries."""
TRIES = 5
EARLY_S = WAITS_S / 2
"""Time within which a host that can't answer refuses, so that as much is left for another one."""
SETTLED_S = 1.5
"""Time after which all hosts follow a new leader."""

Ask = Callable[[CallerHandler, str], Awaitable[Result[Any, StepError]]]


async def _show(handler: CallerHandler, job_id: str) -> Result[Any, StepError]:
    return await handler.phase(job_id, patience_s=WAITS_S)


async def _cancel(handler: CallerHandler, job_id: str) -> Result[Any, StepError]:
    return await handler.cancel(job_id, patience_s=WAITS_S)


async def _count(handler: CallerHandler, job_id: str) -> Result[Any, StepError]:
    return await handler.pending("queue", patience_s=WAITS_S)


KINDS = [
    pytest.param(_show, id="show"),
    pytest.param(_cancel, id="cancel"),
    pytest.param(_count, id="count"),
]


async def _accept_job(cluster: Cluster, simulation: Simulation, rng: Random) -> str:
    """Return an accepted job that runs on for longer than a test."""
    simulation.run_lasts_s = (30.0, 40.0)
    job = make_job(simulation, rng, 1)
    assert await cluster.submit(job)
    return job.job_id


async def _begin(cluster: Cluster, simulation: Simulation, rng: Random) -> tuple[str, str, str]:
    """Return the leader, another host and an accepted job."""
    leader = await cluster.wait_for_leader()
    await trio.sleep(SETTLED_S)
    other = next(name for name in cluster.names if name != leader)
    return leader, other, await _accept_job(cluster, simulation, rng)


def _handler(cluster: Cluster, name: str) -> CallerHandler:
    return cluster.live[name].host.caller_handler


def _isolate(cluster: Cluster, simulation: Simulation, name: str) -> None:
    for other in (*cluster.names, "store"):
        if other != name:
            simulation.faults.cut |= {(name, other), (other, name)}


class TestLostMessages:
    @pytest.mark.parametrize("ask", KINDS)
    @pytest.mark.parametrize("kind", ["lost_calls", "lost_answers"])
    async def test_a_lost_message_does_not_take_all_of_the_callers_time(
        self, autojump_clock: object, ask: Ask, kind: str
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader, other, job_id = await _begin(cluster, simulation, rng)
            getattr(simulation.faults, kind)[(other, leader)] = 1
            with trio.fail_after(EARLY_S):
                answer = await ask(_handler(cluster, other), job_id)
            assert isinstance(answer, Success), answer

        await run_scenario(scenario, seed=61)


class TestIsolatedHost:
    @pytest.mark.parametrize("ask", KINDS)
    async def test_a_host_without_a_leader_leaves_time_to_ask_another(
        self, autojump_clock: object, ask: Ask
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader, other, job_id = await _begin(cluster, simulation, rng)
            _isolate(cluster, simulation, other)
            await trio.sleep(SETTLED_S)
            with trio.fail_after(EARLY_S):
                refused = await ask(_handler(cluster, other), job_id)
            assert isinstance(refused, Failure), refused
            assert "no leader is known" in str(refused.failure())
            third = next(name for name in cluster.names if name not in {leader, other})
            assert isinstance(await ask(_handler(cluster, third), job_id), Success)

        await run_scenario(scenario, seed=62)

    @pytest.mark.parametrize("ask", KINDS)
    async def test_a_host_that_only_hears_the_leader_leaves_time_to_ask_another(
        self, autojump_clock: object, ask: Ask
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader, other, job_id = await _begin(cluster, simulation, rng)
            simulation.faults.lost_calls[(other, leader)] = 1_000
            with trio.fail_after(EARLY_S + 0.1):
                refused = await ask(_handler(cluster, other), job_id)
            assert isinstance(refused, Failure), refused

        await run_scenario(scenario, seed=63)

    async def test_a_takeover_is_waited_for(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader, other, job_id = await _begin(cluster, simulation, rng)
            cluster.kill(leader)
            answer = await _show(_handler(cluster, other), job_id)
            assert isinstance(answer, Success), answer

        await run_scenario(scenario, seed=64)


class TestLeaderThatCanNotAnswer:
    @pytest.mark.parametrize("ask", KINDS)
    async def test_a_leader_that_loads_its_state_does_not_hold_the_caller(
        self, autojump_clock: object, ask: Ask
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader, _, job_id = await _begin(cluster, simulation, rng)
            slow = simulation.store.size / 5.0
            simulation.faults.load_bytes_per_s.update(dict.fromkeys(cluster.names, slow))
            cluster.kill(leader)
            with trio.fail_after(5.0):
                while cluster.leader is None:  # noqa: ASYNC110 - hosts have no event for it
                    await trio.sleep(0.02)
            await trio.sleep(0.3)
            for name in sorted(cluster.live):
                began_at = trio.current_time()
                refused = await ask(_handler(cluster, name), job_id)
                assert isinstance(refused, Failure), refused
                assert trio.current_time() - began_at <= EARLY_S + 0.01, name
                assert "not leading yet" in str(refused.failure()), name

        await run_scenario(scenario, seed=65)

    @pytest.mark.parametrize("ask", [_show, _cancel])
    async def test_a_leader_that_the_store_does_not_confirm_does_not_hold_the_caller(
        self, autojump_clock: object, ask: Ask
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await _begin(cluster, simulation, rng)
            for name in cluster.names:
                simulation.faults.cut.add((name, "store"))
            await trio.sleep(0.1)
            for name in cluster.names:
                began_at = trio.current_time()
                refused = await ask(_handler(cluster, name), f"{99:016x}")
                assert isinstance(refused, Failure), refused
                assert trio.current_time() - began_at <= EARLY_S + 0.01, name
                assert "the store does not confirm" in str(refused.failure()), name

        await run_scenario(scenario, seed=66)


class TestCancellations:
    async def test_a_cancellation_that_is_not_durable_is_neither_held_nor_denied(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            _, other, job_id = await _begin(cluster, simulation, rng)
            for name in cluster.names:
                simulation.faults.cut.add((name, "store"))
            with trio.fail_after(EARLY_S + 0.1):
                answer = await _cancel(_handler(cluster, other), job_id)
            assert answer.failure().may_have_taken_effect, answer
            assert "not yet durable" in str(answer.failure())
            simulation.faults.clear()
            await trio.sleep(SETTLED_S)
            assert await cluster.phase(job_id) is JobPhase.CANCELLED

        await run_scenario(scenario, seed=67)

    async def test_an_unanswered_cancellation_is_not_said_to_have_had_no_effect(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader, other, job_id = await _begin(cluster, simulation, rng)
            simulation.faults.lost_answers[(other, leader)] = 1
            answers: list[Result[Any, StepError]] = []
            async with trio.open_nursery() as nursery:

                async def cancel() -> None:
                    answers.append(await _cancel(_handler(cluster, other), job_id))

                nursery.start_soon(cancel)
                await trio.sleep(0.1)
                _isolate(cluster, simulation, other)
            assert answers[0].failure().may_have_taken_effect, answers
            assert answers[0].failure().reason is not Reason.UNREACHABLE

        await run_scenario(scenario, seed=68)


@dataclass
class FixedLeader:
    """A leader that stays."""

    leader: HostId | None = HostId("entry-0")
    token: int = 1


@dataclass
class Leader:
    """Answers each message after the same time, and counts them."""

    after_s: float
    answer: Result[str, StepError] = field(default_factory=lambda: Success("answer"))
    messages: int = 0

    async def call(self, message: object, timeout_s: float) -> Result[Any, StepError]:
        self.messages += 1
        await trio.sleep(self.after_s)
        return self.answer


def _error(reason: Reason) -> Result[str, StepError]:
    return Failure(StepError(step="peer.call", peer="entry-0", reason=reason))


async def _ask_fixed(
    leader: Leader, *, known: FixedLeader | None = None
) -> tuple[Result[Any, StepError], float]:
    """Return the result of a query, and how long it took."""
    caller = QueryCaller(host_id=HOST, leadership=known or FixedLeader(), call=leader.call)
    began_at = trio.current_time()
    answer = await caller.ask(lambda _: "message", WAITS_S)
    return answer, trio.current_time() - began_at


class TestLoadOnTheLeader:
    async def test_a_prompt_leader_gets_a_query_once(self, autojump_clock: object) -> None:
        leader = Leader(after_s=0.2)
        assert isinstance((await _ask_fixed(leader))[0], Success)
        assert leader.messages == 1

    async def test_a_leader_that_answers_after_a_second_is_not_asked_without_limit(
        self, autojump_clock: object
    ) -> None:
        leader = Leader(after_s=1.0)
        queries = 50
        async with trio.open_nursery() as nursery:

            async def ask() -> None:
                answer, took_s = await _ask_fixed(leader)
                assert isinstance(answer, Success)
                assert took_s == pytest.approx(1.0)

            for _ in range(queries):
                nursery.start_soon(ask)
        assert leader.messages <= queries * MAX_ATTEMPTS

    async def test_a_leader_that_never_answers_is_not_asked_without_limit(
        self, autojump_clock: object
    ) -> None:
        leader = Leader(after_s=100.0)
        answer, took_s = await _ask_fixed(leader)
        assert answer.failure().may_have_taken_effect
        assert took_s <= EARLY_S + 0.01
        assert leader.messages == MAX_ATTEMPTS

    @pytest.mark.parametrize("after_s", [0.0, 0.01, 0.4, 1.0])
    async def test_a_leader_that_refuses_is_not_asked_without_pause(
        self, autojump_clock: object, after_s: float
    ) -> None:
        leader = Leader(after_s=after_s, answer=_error(Reason.NOT_OWNER))
        answer, took_s = await _ask_fixed(leader)
        assert isinstance(answer, Failure)
        assert took_s <= EARLY_S + 0.01
        assert leader.messages <= EARLY_S / HEDGE_AFTER_S

    async def test_without_a_leader_nothing_is_sent(self, autojump_clock: object) -> None:
        leader = Leader(after_s=0.0)
        answer, took_s = await _ask_fixed(leader, known=FixedLeader(leader=None))
        assert answer.failure().reason is Reason.UNREACHABLE
        assert "no leader is known" in str(answer.failure())
        assert took_s <= TAKEOVER_S + 0.01
        assert leader.messages == 0


class TestOutcomes:
    @pytest.mark.parametrize("reason", [Reason.CONFLICT, Reason.INVALID])
    async def test_an_outdated_configuration_or_program_is_told_at_once(
        self, autojump_clock: object, reason: Reason
    ) -> None:
        leader = Leader(after_s=0.01, answer=_error(reason))
        answer, took_s = await _ask_fixed(leader)
        assert answer.failure().reason is reason
        assert took_s == pytest.approx(0.01)
        assert leader.messages == 1

    async def test_an_attempt_that_may_have_taken_effect_is_not_forgotten(
        self, autojump_clock: object
    ) -> None:
        answers = [_error(Reason.CUT), *[_error(Reason.UNREACHABLE)] * 100]

        async def call(message: object, timeout_s: float) -> Result[Any, StepError]:
            await trio.sleep(0.01)
            return answers.pop(0)

        caller = QueryCaller(host_id=HOST, leadership=FixedLeader(), call=call)
        answer = await caller.ask(lambda _: "message", WAITS_S)
        assert answer.failure().may_have_taken_effect

    async def test_a_new_leader_is_asked_at_once(self, autojump_clock: object) -> None:
        known, asked_at = FixedLeader(), []

        async def call(message: object, timeout_s: float) -> Result[Any, StepError]:
            asked_at.append(round(trio.current_time() - began_at, 2))
            if known.token == 1:
                await trio.sleep(100.0)
            return Success("answer")

        async def change_leader() -> None:
            await trio.sleep(1.0)
            known.token = 2

        caller, began_at = (
            QueryCaller(host_id=HOST, leadership=known, call=call),
            trio.current_time(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change_leader)
            assert isinstance(await caller.ask(lambda _: "message", WAITS_S), Success)
        assert len(asked_at) == MAX_ATTEMPTS + 1
        assert asked_at[-1] <= 1.0 + LOOK_EVERY_S


class TestDeadlines:
    @pytest.mark.parametrize("patience_s", [0.1, 0.5, 1.0, 3.0, 10.0])
    def test_a_refusal_leaves_time_for_another_host(self, patience_s: float) -> None:
        deadlines = QueryDeadlines.of(patience_s, now=100.0)
        for has_leader in (False, True):
            assert deadlines.end(has_leader=has_leader) - 100.0 <= patience_s / 2
        assert deadlines.until == 100.0 + patience_s

    def test_a_takeover_is_waited_for_if_the_time_allows(self) -> None:
        assert QueryDeadlines.of(3.0, now=0.0).end(has_leader=False) >= TAKEOVER_S - 1e-9

    @pytest.mark.parametrize("patience_s", [0.5, 3.0])
    def test_all_attempts_start_while_there_is_time_for_an_answer(self, patience_s: float) -> None:
        attempts = QueryAttempts(patience_s=patience_s, now=0.0)
        starts = []
        while (now := attempts.next_at) != float("inf"):
            starts.append(now)
            attempts.begin(now)
        assert len(starts) == MAX_ATTEMPTS
        assert starts[-1] <= QueryDeadlines.of(patience_s, now=0.0).no_answer_until / 2 + 1e-9
        pauses = [later - earlier for earlier, later in pairwise(starts)]
        assert pauses == sorted(pauses)


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Which hosts could reach a ready leader at one moment."""

    at: float
    term: tuple[str, int] | None
    """The leader and its token, if it is ready."""
    reaching: frozenset[tuple[str, int]]
    """Hosts that reach it, each with the identity of its process."""


@dataclass(frozen=True, kw_only=True)
class Unanswered:
    """A caller none of whose tries was answered."""

    job_id: str
    began_at: float
    tried: tuple[tuple[str, float, str], ...]
    """Host, seconds since the first try, and error of each try."""


@dataclass(kw_only=True)
class Callers:
    """Callers that ask for all accepted jobs while faults go on."""

    cluster: Cluster
    simulation: Simulation
    rng: Random
    samples: list[Sample] = field(default_factory=list)
    unanswered: list[Unanswered] = field(default_factory=list)
    asked: set[str] = field(default_factory=set)
    denied: list[str] = field(default_factory=list)
    """Accepted jobs that a host called unknown."""

    async def sample_forever(self) -> None:
        while True:
            self.samples.append(self._sample())
            await trio.sleep(0.02)

    def _sample(self) -> Sample:
        cluster, cut = self.cluster, self.simulation.faults.cut
        leader = cluster.leader
        term = cluster.live[leader].host.leadership.term if leader else None
        if leader is None or term is None or not term.ready.is_set():
            return Sample(at=trio.current_time(), term=None, reaching=frozenset())
        reaching = {
            (name, id(live))
            for name, live in cluster.live.items()
            if (name, leader) not in cut and (leader, name) not in cut
        }
        return Sample(
            at=trio.current_time(), term=(leader, term.token), reaching=frozenset(reaching)
        )

    async def ask_until(self, until: float) -> None:
        """Ask for all accepted jobs in turn, each with a caller of its own."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                for job_id in sorted(self.cluster.accepted):
                    self.asked.add(job_id)
                    nursery.start_soon(self._ask, job_id)
                    await trio.sleep(0.05)
                await trio.sleep(0.05)

    async def _ask(self, job_id: str) -> None:
        began_at = trio.current_time()
        untried: list[str] = []
        tried = []
        for _ in range(TRIES):
            left_s = began_at + WAITS_S - trio.current_time()
            untried = [name for name in untried if name in self.cluster.live]
            untried = untried or self.rng.sample(sorted(self.cluster.live), len(self.cluster.live))
            if left_s <= 0 or not untried:
                break
            name, tried_at = untried.pop(), trio.current_time() - began_at
            answer = await self._try(self.cluster.live[name], job_id, left_s)
            if isinstance(answer, Success):
                if answer.unwrap() is None:
                    self.denied.append(f"{job_id} at {name}")
                return
            tried.append((name, round(tried_at, 2), str(answer.failure())))
            if trio.current_time() + RETRY_AFTER_S < began_at + WAITS_S:
                await trio.sleep(RETRY_AFTER_S)
        self.unanswered.append(Unanswered(job_id=job_id, began_at=began_at, tried=tuple(tried)))

    async def _try(
        self, live: LiveHost, job_id: str, left_s: float
    ) -> Result[JobPhase | None, StepError]:
        """Ask one host; the connection ends with the host's process."""
        workspace = self.simulation.jobs[job_id].workspace
        answer: Result[JobPhase | None, StepError] = Failure(
            StepError(step="caller.ask", peer="", reason=Reason.TIMEOUT)
        )
        async with trio.open_nursery() as nursery:

            async def end_with_process() -> None:
                while not live.scope.cancel_called:  # noqa: ASYNC110 - a scope has no event
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

            nursery.start_soon(end_with_process)
            with trio.move_on_after(left_s):
                answer = await live.host.caller_handler.phase(
                    job_id, patience_s=left_s, workspace=workspace
                )
            nursery.cancel_scope.cancel()
        return answer

    def could_be_answered(self, call: Unanswered) -> bool:
        """Whether half of the hosts reached one ready leader as long as the caller waited."""
        within = [s for s in self.samples if call.began_at <= s.at <= call.began_at + WAITS_S]
        if len({sample.term for sample in within}) != 1 or within[0].term is None:
            return False
        reaching = frozenset.intersection(*(sample.reaching for sample in within))
        return 2 * len(reaching) >= len(self.cluster.names)


async def _lose_messages(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
    """Lose single messages between hosts and the leader, now and then."""
    while True:
        await trio.sleep(rng.uniform(0.1, 1.0))
        pair = rng.choice(cluster.names), cluster.leader or cluster.names[0]
        lost = rng.choice([simulation.faults.lost_calls, simulation.faults.lost_answers])
        lost[pair] = 1


class TestWhileFaultsGoOn:
    @pytest.mark.parametrize("seed", range(10))
    async def test_accepted_jobs_are_not_left_without_an_answer_that_a_host_could_give(
        self, autojump_clock: object, seed: int
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            callers = Callers(cluster=cluster, simulation=simulation, rng=Random(seed))
            await cluster.wait_for_leader()
            until = trio.current_time() + 40.0
            cluster.nursery.start_soon(submit_jobs, cluster, simulation, rng, 40, 0.6)
            cluster.nursery.start_soon(callers.sample_forever)
            cluster.nursery.start_soon(_lose_messages, cluster, simulation, Random(seed))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.ask_until, until)
                await inject_faults(cluster, simulation, rng, until)
            await trio.sleep(WAITS_S)
            left = [call for call in callers.unanswered if callers.could_be_answered(call)]
            assert not left, f"{len(left)} of {len(callers.unanswered)}: {left[:3]}"
            assert not callers.denied
            assert len(callers.asked) > 10

        await run_scenario(scenario, seed=seed, hosts=5)
