"""Advice requested by earlier leaders that a new leader takes over.

Guards against losing all tickets and approvals at a change of leader, of which a day had three to
four: 2 s after a claim up to 19 steps of the two queues with advice waited with `no_host`, since
every host that could call the advisor was busy with calls whose answers were no longer needed.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing
from returns.result import Result, Success

from cell.advised import ADVISED, FULL, TIMING, AdvisedHarness
from cell.rig import JOB, make_job, make_step
from galenastall.bench.cell_load.play import Play, play
from galenastall.bench.cell_load.workload import Workload, load_workload
from galenastall.coordination.cell.advice import Approval
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.node.cell.advice_proxy import CACHED_ANSWERS, AdviceProxy
from galenastall.protocol.cell.messages import (
    AdviceAnswer,
    AwaitAdvice,
    GetAdvice,
    RecoverAdvice,
    RecoveredAdvice,
)
from galenastall.state.cell.jobs import StepKey
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

STEP, OTHER = StepKey(JOB, 0, 0), StepKey(JOB, 0, 1)
CALL_S = 1.0
E1 = (Approval(executor_id="e1", ticket="t1"),)
LEADER = HostId("leader")


class Link:
    """A link that only records its handlers."""

    host_id = HostId("entry-1")

    def __init__(self) -> None:
        self.handlers: dict[type[Any], Callable[..., Any]] = {}

    def handle(self, message_type: type[Any], handler: Callable[..., Any]) -> None:
        self.handlers[message_type] = handler

    async def ask(self, message: object) -> Any:
        return await self.handlers[type(message)](LEADER, message)


class Advisor:
    """Approves e1 after CALL_S."""

    async def advise(
        self, *, step: StepKey, executor_ids: tuple[str, ...], timeout_s: float
    ) -> Result[AdviceAnswer, StepError]:
        await trio.sleep(CALL_S)
        return Success(AdviceAnswer(approved=E1, validity_s=2.5))


def make_host() -> Link:
    link = Link()
    AdviceProxy(link=link, advisor=Advisor())  # type: ignore[arg-type]
    return link


def get(step: StepKey = STEP) -> GetAdvice:
    return GetAdvice(step=step, executor_ids=("e1", "e2"), timeout_s=2.0)


class TestHostThatCalled:
    async def test_an_answer_is_kept_with_the_time_that_its_tickets_have_left(
        self, autojump_clock: object
    ) -> None:
        host = make_host()
        await host.ask(get())
        await trio.sleep(2.0)
        found: RecoveredAdvice = await host.ask(RecoverAdvice(steps=(STEP,)))
        (kept,) = found.answers
        assert (kept.step, kept.executor_ids, kept.approved) == (STEP, ("e1", "e2"), E1)
        assert kept.good_for_s == pytest.approx(0.5)
        await trio.sleep(2.0)
        found = await host.ask(RecoverAdvice(steps=(STEP,)))
        assert found.answers[0].good_for_s < 0.0

    async def test_only_steps_that_the_leader_names_are_returned(
        self, autojump_clock: object
    ) -> None:
        host = make_host()
        await host.ask(get())
        assert await host.ask(RecoverAdvice(steps=(OTHER,))) == RecoveredAdvice()

    async def test_a_pending_call_is_reported_and_can_be_awaited(
        self, autojump_clock: object
    ) -> None:
        host = make_host()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(host.ask, get())
            await trio.sleep(0.25 * CALL_S)
            found: RecoveredAdvice = await host.ask(RecoverAdvice(steps=()))
            assert found.under_way is not None
            assert (found.under_way.step, found.under_way.executor_ids) == (STEP, ("e1", "e2"))
            begun_at = trio.current_time()
            answer = await host.ask(AwaitAdvice(step=STEP))
            assert answer.approved == E1
            assert trio.current_time() - begun_at == pytest.approx(0.75 * CALL_S)

    async def test_a_call_that_ended_meanwhile_is_answered_from_what_is_kept(
        self, autojump_clock: object
    ) -> None:
        host = make_host()
        await host.ask(get())
        await trio.sleep(1.0)
        answer = await host.ask(AwaitAdvice(step=STEP))
        assert (answer.approved, answer.validity_s) == (E1, pytest.approx(1.5))
        unknown = await host.ask(AwaitAdvice(step=OTHER))
        assert unknown.reason is Reason.UNAVAILABLE

    async def test_what_is_kept_is_bounded(self, autojump_clock: object) -> None:
        host = make_host()
        steps = tuple(StepKey(JOB, 0, number) for number in range(CACHED_ANSWERS + 5))
        for step in steps:
            await host.ask(get(step))
        found: RecoveredAdvice = await host.ask(RecoverAdvice(steps=steps))
        assert [kept.step for kept in found.answers] == list(steps[5:])


class TestNewLeader:
    def make(self) -> AdvisedHarness:
        """Return a new leader with a gang of two that waits for advice."""
        harness = AdvisedHarness(executors=4, hosts=1)
        harness.hand_in(make_step(2, cores=FULL, is_gang=True))
        return harness

    def adopt(self, harness: AdvisedHarness, approved: set[str], *, good_for_s: float) -> bool:
        return harness.core.inherited_advice.adopt(
            STEP,
            ("e000", "e001", "e002", "e003"),
            tuple(Approval(executor_id=e, ticket=f"t-{e}") for e in sorted(approved)),
            good_until=harness.now + good_for_s,
        )

    def test_valid_tickets_start_a_gang_without_a_call(self) -> None:
        harness = self.make()
        assert harness.core.inherited_advice.wanted_steps() == (STEP,)
        assert self.adopt(harness, {"e001", "e002"}, good_for_s=1.0)
        assert {(o.executor_id, o.ticket) for o in harness.step()} == {
            ("e001", "t-e001"),
            ("e002", "t-e002"),
        }
        assert harness.core.take_advice_requests() == []

    def test_expired_tickets_start_nothing_and_only_approved_executors_are_named(self) -> None:
        harness = self.make()
        assert self.adopt(harness, {"e001", "e002"}, good_for_s=-0.1)
        assert harness.step() == []
        (ask,) = harness.core.take_advice_requests()
        assert set(ask.executor_ids) == {"e001", "e002"}

    def test_an_older_answer_does_not_replace_a_newer_ticket(self) -> None:
        harness = self.make()
        assert self.adopt(harness, {"e001", "e002"}, good_for_s=1.0)
        assert self.adopt(harness, {"e001", "e002", "e003"}, good_for_s=-1.0)
        assert {order.executor_id for order in harness.step()} == {"e001", "e002"}

    def test_a_call_under_way_is_not_made_again(self) -> None:
        harness = self.make()
        ids = ("e000", "e001", "e002", "e003")
        ask = harness.core.inherited_advice.begin(STEP, ids, now=harness.now)
        assert ask is not None
        assert (ask.queue_name, ask.timing) == (ADVISED.name, TIMING)
        assert harness.asks() == []
        harness.answer(ask, {"e001", "e003"})
        assert {order.executor_id for order in harness.step()} == {"e001", "e003"}

    def test_answers_about_steps_that_do_not_wait_are_left(self) -> None:
        harness = self.make()
        harness.submit(make_job(make_step(1), job_id="f" * 16))
        for step in (StepKey("e" * 16, 0, 0), StepKey("f" * 16, 0, 0), StepKey(JOB, 0, 9)):
            assert not harness.core.inherited_advice.adopt(
                step, ("e1",), E1, good_until=harness.now + 1.0
            )
            assert harness.core.inherited_advice.begin(step, ("e1",), now=harness.now) is None


GANGS = """
name: gangs
shows: gangs whose advice takes a second, and two changes of leader
executors: 40
entry_hosts: 12
length_s: 12
settle_s: 15
queues:
  gangs:
    jobs_per_s: 1.5
    priority: 1
    stretch: 2.2
    target_s: 1.0
    worth: 10
    gang_share: 1.0
    steps: {mean: 1.0}
    width: {mean: 6, spread: 0.4, most: 12}
    cores_milli: {mean: 18000}
    memory_mb: {mean: 1000}
    run_s: {mean: 2.0, spread: 0.3, most: 5}
    advice: {base_s: 0.9, per_executor_s: 0.008, validity_s: 2.5, approved_share: 0.4}
leader_changes: [{at_s: 4, for_s: 0.8}, {at_s: 8, for_s: 0.8}]
"""


class TestGangsAfterAChangeOfLeader:
    def make(self, tmp_path: Path) -> Workload:
        path = tmp_path / "load.yaml"
        path.write_text(GANGS)
        return load_workload(path)

    def starts_s(self, played: Play) -> float:
        return sum(fate.started_s or 60.0 for fate in played.fates)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_inherited_advice_gives_earlier_starts_and_fewer_calls(
        self, tmp_path: Path, seed: int
    ) -> None:
        workload = self.make(tmp_path)
        kept = play(workload, seed=seed)
        lost = play(workload, seed=seed, without=[Mechanism.KEPT_ADVICE])
        assert kept.violations == []
        assert self.starts_s(kept) < self.starts_s(lost)
        assert kept.advice_calls < lost.advice_calls
