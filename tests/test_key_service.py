"""Keys across entry hosts: one run despite races, dead owners, lost responses and log outages."""

from functools import partial

import pytest
import trio
from trio.testing import MockClock

from galenastall.coordination.requests.keys import KeyHomes, shard_of
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_types import RequestAnswer
from galenastall.protocol.key_messages import KeyReserved
from galenastall.standin.faults import ExecutorFaults
from galenastall.standin.service_time import ServiceTime
from galenastall.state.ids import DataCentre, HostId, OwnableKind, make_ownable_id
from galenastall.state.outcomes import Outcome
from request_rig import WALL, Harness, gather, open_harness

KEY = f"{WALL:.0f}-pack"
SHARD = make_ownable_id(OwnableKind.KEYS, shard_of(KEY))


async def serve_keys(harness: Harness, name: str) -> None:
    await harness.assign(SHARD, name)
    owner = harness.hosts[HostId(name)].keys.owner
    for _ in range(600):
        if shard_of(KEY) in owner.serving:
            return
        await trio.sleep(0.1)
    raise AssertionError(f"{name} does not serve the shard after 60 s")


async def submit(
    harness: Harness, name: str, request: str = "r", **options: object
) -> RequestAnswer:
    return await harness.submit(name, harness.call(request, key=KEY, **options))  # type: ignore[arg-type]


def verdict(answer: RequestAnswer) -> str:
    return f"{answer.outcome} {answer.reason}".strip()


class TestOneDataCentre:
    async def test_keys_racing_at_two_entry_hosts_run_once(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=3) as harness:
            await serve_keys(harness, "e1")
            harness.set_faults(ExecutorFaults(service=ServiceTime(mean_s=1.0)))
            asks = [partial(submit, harness, f"e{n % 3 + 1}", f"r{n}") for n in range(6)]
            answers = await gather(*asks)
            assert harness.runs == 1
            assert sorted(map(verdict, answers)) == ["done", *["unknown in_progress"] * 5]

    async def test_a_repeat_gets_the_first_answer_wherever_it_comes(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(hosts=3) as harness:
            await serve_keys(harness, "e1")
            first = await submit(harness, "e2")
            await trio.sleep(1.0)
            for name in ("e1", "e2", "e3"):
                repeat = await submit(harness, name)
                assert (verdict(repeat), repeat.body) == ("done repeat", first.body)
            assert harness.runs == 1

    async def test_another_body_under_the_key_is_an_error(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            await serve_keys(harness, "e1")
            await submit(harness, "e1")
            answer = await submit(harness, "e2", body=b"other")
            assert verdict(answer) == "not_run key_mismatch"

    @pytest.mark.parametrize("key", ["pack", f"{WALL - 1e6:.0f}-old", f"{WALL + 1e6:.0f}-new"])
    async def test_a_key_without_a_usable_time_is_refused(
        self, autojump_clock: MockClock, key: str
    ) -> None:
        async with open_harness() as harness:
            answer = await harness.submit("e1", harness.call(key=key))
            assert verdict(answer) == "not_run key_refused"

    async def test_a_lost_answer_stays_unknown_for_repeats(self, autojump_clock: MockClock) -> None:
        async with open_harness() as harness:
            await serve_keys(harness, "e1")
            harness.set_faults(ExecutorFaults(drop_after=1.0))
            assert verdict(await submit(harness, "e1")) == "unknown no_answer"
            harness.set_faults(ExecutorFaults())
            await trio.sleep(1.0)
            assert (await submit(harness, "e2")).outcome is Outcome.UNKNOWN
            assert harness.runs == 1

    async def test_a_request_proved_not_run_may_be_sent_again(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            await serve_keys(harness, "e1")
            harness.set_faults(ExecutorFaults(unreachable=True))
            assert verdict(await submit(harness, "e2")) == "not_run unreachable"
            harness.set_faults(ExecutorFaults())
            await trio.sleep(1.0)
            assert verdict(await submit(harness, "e1")) == "done"

    async def test_a_lost_verdict_runs_nothing_and_frees_the_key(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            await serve_keys(harness, "e1")
            harness.network.lose_answer = lambda answer: isinstance(answer, KeyReserved)
            assert verdict(await submit(harness, "e2", timeout_s=20.0)) == "not_run key_not_durable"
            assert harness.runs == 0
            harness.network.lose_answer = lambda _: False
            await trio.sleep(2.0)
            assert verdict(await submit(harness, "e2")) == "done"
            assert harness.runs == 1

    async def test_a_key_served_elsewhere_names_its_data_centre(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            homes = KeyHomes(since=0.0, data_centres=(DataCentre("mapo"),))
            harness.settings = RequestSettings(key_homes=(homes,))
            answer = await submit(harness, "e1")
            assert (verdict(answer), answer.home) == ("not_run key_home_elsewhere", "mapo")


class TestOwnerChange:
    async def test_owner_killed_between_intent_and_end(self, autojump_clock: MockClock) -> None:
        """The owner also ran the request itself, so its outcome stays unknown."""
        async with open_harness(hosts=3, executors=3) as harness:
            await serve_keys(harness, "e1")
            harness.set_faults(ExecutorFaults(service=ServiceTime(mean_s=3.0)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, harness, "e1")
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            harness.kill("e1")
            await serve_keys(harness, "e2")
            assert verdict(await submit(harness, "e3")) == "unknown in_progress"
            await trio.sleep(15.0)
            assert (await submit(harness, "e2")).outcome is Outcome.UNKNOWN
            assert harness.runs == 1

    async def test_owner_killed_while_another_host_runs_it(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=3, executors=3) as harness:
            await serve_keys(harness, "e1")
            harness.set_faults(ExecutorFaults(service=ServiceTime(mean_s=3.0)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, harness, "e2")
                await trio.sleep(1.0)
                harness.kill("e1")
                await serve_keys(harness, "e3")
            await trio.sleep(3.0)
            assert verdict(await submit(harness, "e3")) == "done repeat"
            assert harness.runs == 1


class TestLogOutage:
    async def test_the_intent_is_held_and_a_later_owner_reads_it_back(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(hosts=3, executors=3) as harness:
            await serve_keys(harness, "e1")
            harness.log.is_down = True
            await trio.sleep(5.0)
            assert verdict(await submit(harness, "e1")) == "done"
            assert len(harness.hosts[HostId("e2")].keys.held) == 1
            await trio.sleep(1.0)
            harness.kill("e1")
            harness.log.is_down = False
            await trio.sleep(5.0)
            await serve_keys(harness, "e2")
            assert verdict(await submit(harness, "e3")) == "done answer_not_kept"
            assert harness.runs == 1

    async def test_restarted_holders_hold_again_before_the_next_outage(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(hosts=3, executors=1) as harness:
            await serve_keys(harness, "e1")
            for name in ("e2", "e3"):
                harness.kill(name)
                await harness.add_host(name)
            await trio.sleep(15.0)
            harness.log.is_down = True
            await trio.sleep(5.0)
            assert verdict(await submit(harness, "e2")) == "done"

    async def test_without_a_majority_nothing_is_sent(self, autojump_clock: MockClock) -> None:
        async with open_harness(hosts=3, executors=3) as harness:
            await serve_keys(harness, "e1")
            harness.log.is_down = True
            await trio.sleep(5.0)
            harness.network.cut_off = {HostId("e2"), HostId("e3")}
            assert verdict(await submit(harness, "e1")) == "not_run key_not_durable"
            assert harness.runs == 0

    async def test_intents_lost_with_their_holders_make_old_keys_unknown(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(hosts=3, executors=3) as harness:
            await serve_keys(harness, "e1")
            harness.log.is_down = True
            await trio.sleep(5.0)
            assert verdict(await submit(harness, "e1")) == "done"
            harness.kill("e1")
            harness.kill("e2")
            harness.log.is_down = False
            await harness.add_host("e4")
            await trio.sleep(5.0)
            await serve_keys(harness, "e4")
            assert (await submit(harness, "e4")).outcome is Outcome.UNKNOWN
            assert harness.runs == 1

    async def test_held_intents_reach_the_log_when_it_is_back(
        self, autojump_clock: MockClock
    ) -> None:
        async with open_harness(hosts=3, executors=3) as harness:
            await serve_keys(harness, "e1")
            harness.log.is_down = True
            await trio.sleep(5.0)
            await submit(harness, "e2")
            harness.log.is_down = False
            await trio.sleep(40.0)
            entry = harness.hosts[HostId("e3")].keys.fold.entry(shard=shard_of(KEY), key=KEY)
            assert entry is not None
            assert entry.outcome is Outcome.DONE
            assert len(harness.hosts[HostId("e2")].keys.held) == 0
