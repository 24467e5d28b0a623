"""The load client against the stand-in's executors, over real sockets of this process."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from galenastall.bench.load import LoadClient, LoadPlan, LoadSummary, Target
from galenastall.proof.history import HistoryRecorder, RequestAnswered, RequestCut, RunBegan
from galenastall.proof.invariants import check
from galenastall.standin.faults import ExecutorFaults
from galenastall.standin.fleet import FleetShape
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.standin.server import StandinServer
from galenastall.state.hosts import HostKind
from galenastall.state.ids import HostId
from galenastall.state.outcomes import Outcome
from galenastall.transport.clock import TrioClock

REQUEST_CHECKS = ("answers-whole-and-own", "done-did-run", "at-most-once", "every-request-answered")


@asynccontextmanager
async def executors(faults: ExecutorFaults) -> AsyncIterator[tuple[MemoryPlatform, LoadPlan]]:
    """Provide a stand-in with two executors and a plan of some 60 requests to them."""
    clock = TrioClock()
    model = MemoryPlatform(clock=clock, seed=1)
    server = StandinServer(model=model, clock=clock, shape=FleetShape(workers=0, executors=2))
    async with trio.open_nursery() as nursery:
        addresses = await nursery.start(server.run)
        for host in addresses.hosts:
            model.executors.set_faults(host.address, faults)
        targets = tuple(
            Target(host_id=host.host_id, address=host.address, path_prefix="/", is_executor=True)
            for host in addresses.hosts
            if host.kind is HostKind.UPSTREAM
        )
        plan = LoadPlan(
            name="load",
            targets=targets,
            mix="citeliq",
            rate=200.0,
            duration_s=0.3,
            seed=3,
            start_wall=clock.wall(),
            checks_ready=False,
        )
        yield model, plan
        nursery.cancel_scope.cancel()


async def send(plan: LoadPlan, model: MemoryPlatform) -> tuple[LoadSummary, HistoryRecorder]:
    recorder = HistoryRecorder()
    summary = await LoadClient(plan=plan, clock=TrioClock(), recorder=recorder).run()
    for execution in model.executors.log.records:
        recorder.record(
            RunBegan(
                at=execution.started_at,
                executor=execution.host,
                request_id=execution.request_id,
                attempt=execution.attempt_id,
            )
        )
    return summary, recorder


class TestLoadClient:
    async def test_sound_answers_pass_the_checks(self) -> None:
        async with executors(ExecutorFaults()) as (model, plan):
            summary, recorder = await send(plan, model)
        assert summary.sent > 30
        assert summary.counts_by_outcome == {Outcome.DONE: summary.sent}
        assert summary.histogram().get_total_count() == summary.sent
        assert check(recorder.history(), names=REQUEST_CHECKS).violations == ()

    async def test_cut_answers_are_seen_as_cut_never_as_done(self) -> None:
        async with executors(ExecutorFaults(cut=1.0)) as (model, plan):
            summary, recorder = await send(plan, model)
        assert summary.counts_by_outcome == {}
        assert len(list(recorder.history().of(RequestCut))) == summary.sent

    async def test_an_answer_of_another_request_is_noticed(self) -> None:
        async with executors(ExecutorFaults()) as (model, plan):
            _, recorder = await send(plan, model)
        events = list(recorder.history().events)
        answers = [event for event in events if isinstance(event, RequestAnswered)]
        swapped = [replace(answers[0], digest=answers[1].digest), *events]
        swapped.remove(answers[0])
        spoilt = HistoryRecorder()
        spoilt.extend(swapped)
        verdict = check(spoilt.history(), names=REQUEST_CHECKS)
        assert [each.invariant for each in verdict.violations] == ["answers-whole-and-own"]

    async def test_hosts_that_cannot_be_reached_are_passed_over(self) -> None:
        async with executors(ExecutorFaults()) as (model, plan):
            dead = Target(host_id=HostId("dead"), address="127.0.0.1:9", is_executor=True)
            mixed = replace(plan, targets=(dead, *plan.targets))
            summary, _ = await send(mixed, model)
            alone, _ = await send(replace(plan, targets=(dead,), duration_s=0.05), model)
        assert summary.counts_by_outcome == {Outcome.DONE: summary.sent}
        assert alone.counts_by_trouble == {"unreachable": alone.sent}

    async def test_summaries_merge(self) -> None:
        async with executors(ExecutorFaults()) as (model, plan):
            first, _ = await send(plan, model)
            second, _ = await send(replace(plan, seed=4, name="other"), model)
        total = LoadSummary()
        total.merge(first)
        total.merge(second)
        assert total.sent == first.sent + second.sent
        assert total.histogram().get_total_count() == total.sent
