"""The request path: each fault leads to its exact outcome, and slots are never exceeded."""

from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import replace
from functools import partial

import pytest
import trio
from trio.testing import MockClock

from galenastall.coordination.requests.admission import AdmissionLimits
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_types import RequestAnswer, RequestReason
from galenastall.protocol.platform import UpstreamCutError
from galenastall.standin.echo import decode_echo
from galenastall.standin.faults import BeyondSlots, ExecutorFaults
from galenastall.standin.service_time import ServiceTime
from galenastall.state.hosts import HostState
from galenastall.state.ids import HostId, OwnableKind, RequestId, make_ownable_id
from galenastall.state.outcomes import Outcome
from galenastall.state.work import Urgency
from galenastall.transport.http_messages import RequestCutError
from request_rig import gather, open_harness, outcomes

SLOW = ExecutorFaults(service=ServiceTime(mean_s=0.5))


class TestOutcomes:
    async def test_done_on_every_entry_host(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=3, executors=3) as harness:
            calls = [
                partial(harness.submit, f"e{n % 3 + 1}", harness.call(f"r{n}")) for n in range(30)
            ]
            answers = await gather(*calls)
            assert set(outcomes(answers)) == {Outcome.DONE}
            echoes = [decode_echo(answer.body) for answer in answers]
            assert [echo and echo.request_id for echo in echoes] == [f"r{n}" for n in range(30)]
            assert harness.runs == 30

    @pytest.mark.parametrize(
        ("faults", "idempotent", "expected"),
        [
            (ExecutorFaults(unreachable=True), False, "not_run unreachable 0"),
            (ExecutorFaults(fail=1.0), True, "failed failed_by_upstream 1"),
            (ExecutorFaults(cut=1.0), False, "unknown answer_cut 1"),
            (ExecutorFaults(cut=1.0), True, "unknown answer_cut 3"),
            (ExecutorFaults(drop_after=1.0), False, "unknown no_answer 1"),
            (ExecutorFaults(drop_before=1.0), False, "unknown no_answer 0"),
            (ExecutorFaults(late=1.0, late_s=60.0), False, "unknown no_answer 1"),
            (
                ExecutorFaults(refuse_past_not_after=True, delay_s=9.0),
                False,
                "unknown no_answer 0",
            ),
        ],
    )
    async def test_each_fault_has_its_outcome(
        self, autojump_clock: MockClock, faults: ExecutorFaults, idempotent: bool, expected: str
    ) -> None:
        async with open_harness() as harness:
            harness.set_faults(faults)
            answer = await harness.submit("e1", harness.call(idempotent=idempotent))
            assert f"{answer.outcome} {answer.reason} {harness.runs}" == expected

    async def test_a_lost_answer_of_an_idempotent_request_is_retried_elsewhere(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.set_faults(ExecutorFaults(drop_after=1.0, call_timeout_s=0.5), HostId("x0"))
            answer = await harness.submit("e1", harness.call(idempotent=True))
            assert (answer.outcome, answer.attempts, answer.upstream) == (Outcome.DONE, 2, "x1")

    async def test_what_may_have_run_is_never_reported_not_run(
        self, autojump_clock: MockClock
    ) -> None:
        """The first attempt loses its response; the second is refused by every upstream."""
        async with open_harness() as harness:
            harness.set_faults(ExecutorFaults(drop_after=1.0, call_timeout_s=0.5), HostId("x0"))
            harness.set_faults(ExecutorFaults(unreachable=True), HostId("x1"))
            answer = await harness.submit("e1", harness.call(idempotent=True))
            assert answer.outcome is Outcome.UNKNOWN

    async def test_the_deadline_ends_a_wait_as_not_run(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=1, executors=1, slots=1) as harness:
            harness.set_faults(ExecutorFaults(service=ServiceTime(mean_s=3.0)))

            async def short() -> RequestAnswer:
                await trio.sleep(0.1)
                return await harness.submit("e1", harness.call("short", timeout_s=1.0))

            answers = await gather(partial(harness.submit, "e1", harness.call("long")), short)
            assert outcomes(answers) == [Outcome.DONE, Outcome.NOT_RUN]
            assert answers[1].reason is RequestReason.DEADLINE_PASSED
            assert answers[1].retry_after_s is not None
            assert harness.runs == 1


class TestStreams:
    async def test_a_request_whose_caller_goes_away_leaves_the_queue(
        self, autojump_clock: MockClock
    ) -> None:
        """The first two requests hold both slots; one of the two waiting ones is withdrawn."""
        async with open_harness(hosts=1, executors=1, slots=2) as harness:
            harness.set_faults(SLOW)
            gone = trio.Event()
            ended: dict[str, tuple[RequestAnswer, float]] = {}

            async def submit(name: str, *, leaves: bool = False) -> None:
                call = replace(harness.call(name), caller_gone=gone.wait if leaves else None)
                answer = await harness.submit("e1", call)
                ended[name] = (answer, trio.current_time())

            async with trio.open_nursery() as nursery:
                for name in ("r0", "r1", "r2"):
                    nursery.start_soon(submit, name)
                await trio.sleep(0.1)
                nursery.start_soon(partial(submit, "leaver", leaves=True))
                await trio.sleep(0.1)
                left_at = trio.current_time()
                gone.set()
            answer, at = ended["leaver"]
            assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, RequestReason.ABANDONED)
            assert at == left_at
            assert {ended[name][0].outcome for name in ("r0", "r1", "r2")} == {Outcome.DONE}
            assert harness.runs == 3

    async def test_a_large_answer_is_streamed_whole(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.set_faults(ExecutorFaults(answer_bytes=300_000))
            answer = await harness.submit("e1", harness.call())
            assert not isinstance(answer.body, bytes)
            assert sum([len(chunk) async for chunk in answer.body]) == 300_000
            assert harness.hosts[HostId("e1")].permits.held == 0

    async def test_a_large_answer_that_breaks_raises(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.set_faults(ExecutorFaults(answer_bytes=3_000_000, cut=1.0))
            answer = await harness.submit("e1", harness.call(idempotent=True))
            assert not isinstance(answer.body, bytes)
            with pytest.raises(UpstreamCutError):
                async for _ in answer.body:
                    pass
            assert harness.hosts[HostId("e1")].permits.held == 0

    async def test_an_unread_stream_releases_its_permit(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.set_faults(ExecutorFaults(answer_bytes=300_000))
            answer = await harness.submit("e1", harness.call())
            await answer.body.aclose()  # type: ignore[union-attr]  # streamed because of its size
            assert harness.hosts[HostId("e1")].permits.held == 0


class TestIds:
    async def test_no_two_entry_hosts_make_the_same_id(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=3) as harness:
            ids = [host.requests.next_ticket() for host in harness.hosts.values() for _ in range(3)]
            assert len(set(ids)) == 9


class TestCallerGone:
    async def test_a_body_that_breaks_off_is_recorded_and_frees_the_permit(
        self, autojump_clock: MockClock
    ) -> None:
        async def broken() -> AsyncIterator[bytes]:
            yield b"half"
            raise RequestCutError("gone")

        async with open_harness(hosts=1) as harness:
            host = harness.hosts[HostId("e1")]
            with pytest.raises(RequestCutError):
                await harness.submit("e1", harness.call(body=broken()))
            status = host.requests.request_table.get(RequestId("r"))
            assert status is not None
            assert (status.outcome, status.reason) == (Outcome.UNKNOWN, RequestReason.ABANDONED)
            assert (host.permits.held, host.requests.in_progress) == (0, 0)


class TestSlots:
    async def test_no_executor_gets_more_than_its_slots(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=3, executors=2, slots=4) as harness:
            harness.set_faults(
                ExecutorFaults(
                    service=ServiceTime(distribution="exponential", mean_s=0.1),
                    beyond_slots=BeyondSlots.REFUSE,
                )
            )
            calls = [
                partial(harness.submit, f"e{n % 3 + 1}", harness.call(f"r{n}", timeout_s=30.0))
                for n in range(300)
            ]
            answers = await gather(*calls)
            assert set(outcomes(answers)) == {Outcome.DONE}
            refused = [
                e.counters.refused_full for e in harness.platform.executors.by_address.values()
            ]
            assert refused == [0, 0]

    async def test_slots_hold_over_a_takeover_with_the_old_owner_dead(
        self, autojump_clock: MockClock
    ) -> None:
        """The dead owner's own requests still run; its successor must wait for them."""
        async with open_harness(hosts=3, executors=1, slots=2) as harness:
            harness.set_faults(
                ExecutorFaults(service=ServiceTime(mean_s=20.0), beyond_slots=BeyondSlots.REFUSE)
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.submit, "e1", harness.call("dead", timeout_s=25.0))
                nursery.start_soon(harness.submit, "e2", harness.call("alive", timeout_s=25.0))
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            harness.kill("e1")
            await harness.assign(make_ownable_id(OwnableKind.UPSTREAM, "x0"), "e2")
            answer = await harness.submit("e2", harness.call("next", timeout_s=60.0))
            executor = harness.platform.executors.by_address["x0"]
            assert executor.counters.refused_full == 0
            assert answer.outcome is Outcome.DONE

    async def test_a_planned_change_of_owner_costs_no_wait(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=2, executors=1, slots=2) as harness:
            await trio.sleep(1.0)
            await harness.assign(make_ownable_id(OwnableKind.UPSTREAM, "x0"), "e2")
            started = harness.clock.now()
            answer = await harness.submit("e1", harness.call("next"))
            assert answer.outcome is Outcome.DONE
            assert harness.clock.now() - started < 0.5

    async def test_an_owner_that_may_not_act_grants_nothing(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(hosts=2, executors=1) as harness:
            ownable = make_ownable_id(OwnableKind.UPSTREAM, "x0")
            harness.hosts[HostId("e1")].ownership.may_not_act.add(ownable)
            answer = await harness.submit("e2", harness.call(timeout_s=1.0))
            assert (answer.outcome, harness.runs) == (Outcome.NOT_RUN, 0)


class TestLeaving:
    @pytest.mark.parametrize("how", ["list", "settings", "word"])
    async def test_a_leaving_upstream_gets_nothing_new(
        self, autojump_clock: MockClock, how: str
    ) -> None:
        async with open_harness(hosts=2, executors=2) as harness:
            if how == "list":
                harness.list_state(HostId("x0"), HostState.LEAVING)
            if how == "settings":
                harness.settings = RequestSettings(leaving=frozenset({HostId("x0")}))
            if how == "word":
                harness.set_faults(ExecutorFaults(leaving=True), HostId("x0"))
                await harness.submit("e1", harness.call("hears of it"))
                await trio.sleep(0.1)
            calls = [
                partial(harness.submit, f"e{n % 2 + 1}", harness.call(f"r{n}")) for n in range(20)
            ]
            answers = await gather(*calls)
            assert {(answer.upstream, answer.reason) for answer in answers} == {("x1", "")}

    async def test_without_any_upstream_the_refusal_comes_at_once(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(executors=1) as harness:
            harness.list_state(HostId("x0"), HostState.LEAVING)
            started = harness.clock.now()
            answer = await harness.submit("e1", harness.call())
            assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, RequestReason.NO_UPSTREAM)
            assert harness.clock.now() == started


class TestDrain:
    async def test_what_is_in_progress_ends_and_new_work_is_refused(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(hosts=1, executors=1, slots=1) as harness:
            harness.set_faults(SLOW)
            host = harness.hosts[HostId("e1")]
            answers = {}

            async def submit(name: str) -> None:
                answers[name] = await harness.submit("e1", harness.call(name))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, "running")
                nursery.start_soon(submit, "queued")
                await trio.sleep(0.1)
                nursery.start_soon(host.requests.drain)
                await trio.sleep(0.1)
                await submit("new")
            by_name = {name: answer.outcome for name, answer in answers.items()}
            assert by_name == {
                "running": Outcome.DONE,
                "queued": Outcome.DONE,
                "new": Outcome.NOT_RUN,
            }
            assert answers["new"].reason is RequestReason.DRAINING
            assert host.permits.held == 0


class TestOverload:
    async def test_goodput_holds_at_twice_the_capacity(self, autojump_clock: MockClock) -> None:
        """Capacity is 40/s; 80/s arrive for 20 s with a deadline of 2 s, a fifth of them urgent."""
        async with open_harness(hosts=2, executors=2, slots=2) as harness:
            harness.set_faults(ExecutorFaults(service=ServiceTime(mean_s=0.1)))
            counts: Counter[tuple[Urgency, Outcome]] = Counter()
            slowest_refusal = 0.0

            async def submit(number: int) -> None:
                nonlocal slowest_refusal
                urgency = Urgency.URGENT if number % 5 == 0 else Urgency.NORMAL
                call = harness.call(f"r{number}", timeout_s=2.0, urgency=urgency)
                started = harness.clock.now()
                answer = await harness.submit(f"e{number % 2 + 1}", call)
                counts[urgency, answer.outcome] += 1
                if answer.reason is RequestReason.WOULD_MISS_DEADLINE:
                    slowest_refusal = max(slowest_refusal, harness.clock.now() - started)

            async with trio.open_nursery() as nursery:
                for number in range(1_600):
                    nursery.start_soon(submit, number)
                    await trio.sleep(1 / 80)
            done = counts[Urgency.URGENT, Outcome.DONE] + counts[Urgency.NORMAL, Outcome.DONE]
            assert done >= 0.9 * 40 * 20
            assert counts[Urgency.URGENT, Outcome.DONE] >= 0.99 * 320
            assert {outcome for _, outcome in counts} <= {Outcome.DONE, Outcome.NOT_RUN}
            assert slowest_refusal < 0.02

    async def test_a_full_queue_refuses_with_a_hint(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=1, executors=1, slots=1) as harness:
            harness.set_faults(SLOW)
            harness.settings = RequestSettings(admission=AdmissionLimits(waiting=3))
            await trio.sleep(0.1)
            calls = [partial(harness.submit, "e1", harness.call(f"r{n}")) for n in range(6)]
            answers = await gather(*calls)
            assert Counter(outcomes(answers)) == {Outcome.DONE: 4, Outcome.NOT_RUN: 2}
            hints = [a.retry_after_s for a in answers if a.outcome is Outcome.NOT_RUN]
            assert all(hint is not None and hint > 0 for hint in hints)
