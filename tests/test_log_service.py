"""Followers and group commit against a log that fails at chosen moments."""

import itertools
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from fake_log import FakeLog
from galenastall.coordination.log.append_window import AppendWindow, WindowLimits
from galenastall.node.log.log_service import LogClient, LogStreamFollower
from galenastall.node.log.stream_follower import MIN_READ_INTERVAL_S
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Offset, RecordId, StreamName
from galenastall.state.records import RECORDS, LoggedRecord
from galenastall.transport.clock import TrioClock

STREAM = StreamName("test")
SETTLE_S = 30.0


@RECORDS.register("test_note")
@dataclass(frozen=True, kw_only=True, slots=True)
class Note:
    text: str


class Collector:
    def __init__(self) -> None:
        self.notes: list[tuple[int, str]] = []

    def apply(self, logged: LoggedRecord) -> None:
        if isinstance(logged.record, Note):
            self.notes.append((logged.offset, logged.record.text))


@dataclass
class Harness:
    log: FakeLog
    log_client: LogClient
    follower: LogStreamFollower
    fold: Collector
    nursery: trio.Nursery

    async def append(self, text: str, record_id: str | None = None) -> Result[Offset, StepError]:
        chosen = None if record_id is None else RecordId(record_id)
        return await self.log_client.appender.append(
            stream=STREAM, record=Note(text=text), record_id=chosen
        )


@asynccontextmanager
async def running(log: FakeLog, *, live_hosts: int = 8) -> AsyncIterator[Harness]:
    log_client = LogClient(
        log=log,
        clock=TrioClock(wall_at_start=1000.0),
        rng=random.Random(1),
        writer="w",
        streams=[STREAM],
        live_hosts=lambda: live_hosts,
        settle_s=SETTLE_S,
    )
    follower = log_client.followers_by_stream[STREAM]
    fold = Collector()
    follower.subscribe(fold)
    async with trio.open_nursery() as nursery:
        await nursery.start(log_client.run)
        await trio.sleep(0.01)
        yield Harness(log=log, log_client=log_client, follower=follower, fold=fold, nursery=nursery)
        nursery.cancel_scope.cancel()


def reason_of(result: Result[Offset, StepError]) -> Reason:
    return result.failure().reason


class TestAppendWindow:
    @given(
        hosts=st.integers(1, 120),
        budget=st.floats(1, 500),
        wishes=st.lists(st.floats(0, 0.5), min_size=1, max_size=200),
    )
    def test_fleet_stays_within_the_append_budget(
        self, hosts: int, budget: float, wishes: list[float]
    ) -> None:
        window = AppendWindow()
        limits = WindowLimits(budget_per_s=budget)
        now, sent = 0.0, []
        for wish in wishes:
            now += wish
            sent.append(window.reserve(now=now, limits=limits, live_hosts=hosts))
            now = max(now, sent[-1])
        for first, start in enumerate(sent):
            span = sent[-1] - start
            appends = len(sent) - first
            assert hosts * appends <= budget * span * (1 + 1e-9) + hosts

    def test_idle_host_waits_only_for_the_gather_time(self) -> None:
        window = AppendWindow()
        limits = WindowLimits(budget_per_s=100.0, gather_s=0.005)
        assert window.reserve(now=0.0, limits=limits, live_hosts=50) == 0.005
        assert window.reserve(now=0.01, limits=limits, live_hosts=50) == 0.505
        assert window.reserve(now=9.0, limits=limits, live_hosts=50) == 9.005


class TestGroupCommit:
    async def test_one_append_carries_many_records(self, autojump_clock: trio.abc.Clock) -> None:
        async with running(FakeLog()) as harness:
            offsets = []

            async def one(index: int) -> None:
                offsets.append((await harness.append(str(index))).unwrap())

            async with trio.open_nursery() as nursery:
                for index in range(500):
                    nursery.start_soon(one, index)
            assert sorted(offsets) == list(range(500))
            assert len(harness.log.append_times) == 1
            assert len(harness.fold.notes) == 500

    async def test_appends_are_spaced_under_load(self, autojump_clock: trio.abc.Clock) -> None:
        async with running(FakeLog(), live_hosts=30) as harness:
            for index in range(20):
                assert isinstance(await harness.append(str(index)), Success)
            times = harness.log.append_times
            gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
            assert min(gaps) >= 30 / 150 - 1e-9

    async def test_lost_answer_is_read_back(self, autojump_clock: trio.abc.Clock) -> None:
        async with running(FakeLog()) as harness:
            harness.log.lose_answers = 1
            assert await harness.append("a") == Success(Offset(0))
            assert len(harness.log.texts(STREAM)) == 1

    async def test_lost_request_is_unknown_then_not_appended(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running(FakeLog()) as harness:
            harness.log.lose_requests = 1
            assert reason_of(await harness.append("a", "id-a")) is Reason.TIMEOUT
            assert list(harness.log_client.appender.unresolved) == ["id-a"]
            assert reason_of(await harness.append("a", "id-a")) is Reason.TIMEOUT
            await trio.sleep(SETTLE_S)
            assert not harness.log_client.appender.unresolved
            assert await harness.append("a", "id-a") == Success(Offset(0))
            assert len(harness.log.texts(STREAM)) == 1

    async def test_late_append_is_found_not_repeated(self, autojump_clock: trio.abc.Clock) -> None:
        async with running(FakeLog()) as harness:
            harness.log.land_after_s = 15.0
            assert reason_of(await harness.append("a", "id-a")) is Reason.TIMEOUT
            harness.log.land_after_s = None
            assert await harness.append("a", "id-a") == Success(Offset(0))
            await trio.sleep(SETTLE_S)
            assert harness.fold.notes == [(0, "a")]

    async def test_outage_refuses_at_once(self, autojump_clock: trio.abc.Clock) -> None:
        async with running(FakeLog()) as harness:
            harness.log.is_down = True
            await trio.sleep(5.0)
            before = trio.current_time()
            failed = await harness.append("a")
            assert trio.current_time() == before
            assert reason_of(failed) is Reason.UNAVAILABLE
            assert (failed.failure().retry_after_s or 0) > 0
            assert not harness.log_client.appender.is_log_up
            harness.log.is_down = False
            await trio.sleep(5.0)
            assert isinstance(await harness.append("b"), Success)
            assert harness.fold.notes == [(0, "b")]

    async def test_failed_append_fails_all_queued_records(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running(FakeLog()) as harness:
            harness.log.appends_fail = True
            failed = []

            async def one() -> None:
                failed.append(reason_of(await harness.append("x")))

            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(one)
            assert failed == [Reason.UNAVAILABLE] * 5
            harness.log.appends_fail = False
            await trio.sleep(1.0)
            assert await harness.append("y") == Success(Offset(0))

    async def test_unknown_stays_unknown_when_the_log_trims_past_it(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running(FakeLog()) as harness:
            harness.log.lose_requests = 1
            assert reason_of(await harness.append("a", "id-a")) is Reason.TIMEOUT
            harness.log.is_down = True
            await trio.sleep(2.0)
            for _ in range(3):
                harness.log._land(STREAM, ["{}"])
            harness.log.trim(STREAM, 2)
            harness.log.is_down = False
            await trio.sleep(2 * SETTLE_S)
            assert reason_of(await harness.append("a", "id-a")) is Reason.TIMEOUT
            assert len(harness.log.append_times) == 1


class TestFollower:
    async def test_log_end_is_timestamped_when_the_read_was_sent(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running(FakeLog()) as harness:
            await trio.sleep(10.0)
            read_at = harness.follower.log_end_read_at
            assert read_at is not None
            assert 0 < trio.current_time() - read_at <= 2.1
            harness.log.is_down = True
            await trio.sleep(60.0)
            assert harness.follower.log_end_read_at is not None
            assert trio.current_time() - harness.follower.log_end_read_at > 58

    async def test_appends_of_other_writers_are_read_in_batches(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running(FakeLog()) as harness:
            other = harness.log.view()
            before = harness.log.reads
            for number in range(200):
                await other.append(stream=STREAM, texts=["not a record"])
                await trio.sleep(0.02)
                assert harness.follower.next_offset >= number + 1 - MIN_READ_INTERVAL_S / 0.02
            assert 0 < harness.log.reads - before <= 4.0 / MIN_READ_INTERVAL_S + 1

    async def test_own_append_does_not_wait_for_the_next_read(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running(FakeLog()) as harness:
            other = harness.log.view()
            for _ in range(10):
                await other.append(stream=STREAM, texts=["not a record"])
                await trio.sleep(0.001)
                began = trio.current_time()
                await harness.follower.wait_for(Offset(len(harness.log.texts(STREAM)) - 1))
                assert trio.current_time() - began < MIN_READ_INTERVAL_S / 10

    async def test_start_after_a_trim_reports_the_gap(self, autojump_clock: trio.abc.Clock) -> None:
        log = FakeLog()
        for _ in range(10):
            log._land(STREAM, ["not a record"])
        log.trim(STREAM, 7)
        gaps: list[int] = []
        clock = TrioClock(wall_at_start=0.0)
        follower = LogStreamFollower(log=log, stream=STREAM, clock=clock, rng=random.Random(1))
        follower.on_gap(gaps.append)
        async with trio.open_nursery() as nursery:
            await nursery.start(follower.run)
            await follower.wait_for(Offset(9))
            nursery.cancel_scope.cancel()
        assert gaps == [7]
        assert follower.next_offset == 10

    async def test_truncated_stream_is_not_followed(self, autojump_clock: trio.abc.Clock) -> None:
        async with running(FakeLog()) as harness:
            await harness.append("a")
            harness.log._of(STREAM).texts.clear()
            await trio.sleep(30.0)
            assert not harness.log_client.health.is_up
            assert isinstance(await harness.append("b"), Failure)
