"""Contract tests that the stand-ins must pass both in memory and over HTTP."""

from dataclasses import replace
from functools import partial

import pytest
import trio
from returns.result import Failure, Result, Success
from trio.testing import MockClock

from galenastall.protocol.listing_changes import apply_changes
from galenastall.protocol.platform import UpstreamCutError, WorkerListing
from galenastall.standin.echo import EchoVerdict, check_echo
from galenastall.standin.faults import (
    BeyondSlots,
    ExecutorFaults,
    HostListFaults,
    LogFaults,
    WorkerFaults,
)
from galenastall.standin.service_time import ServiceTime
from galenastall.standin.violations import ViolationKind
from galenastall.state.errors import Reason, StepError
from galenastall.state.hosts import HostKind, HostListing, HostState, ListedHost
from galenastall.state.ids import DataCentre, Epoch, HostId, Offset, StreamName, TaskId
from galenastall.state.outcomes import Outcome
from galenastall.state.resources import Resources
from galenastall.state.work import TaskEnd
from standin_cases import (
    FAR,
    Harness,
    OpenHarness,
    make_batch,
    make_call,
    make_task,
    one_chunk,
    open_http_harness,
    open_memory_harness,
)

STREAM = StreamName("data-centre.mapo")
SLOW = 0.05
TIMEOUT = 0.2

pytestmark = pytest.mark.parametrize(
    "open_harness",
    [pytest.param(open_memory_harness, id="memory"), pytest.param(open_http_harness, id="http")],
)


@pytest.fixture
def jumping_clock() -> MockClock:
    """Skip idle time, but leave loopback sockets a short real time to deliver."""
    return MockClock(autojump_threshold=0.005)


def reason_of(result: Result[object, StepError]) -> Reason:
    assert isinstance(result, Failure), result
    error: StepError = result.failure()
    return error.reason


class TestLog:
    async def test_batch_gets_consecutive_offsets_in_its_stream(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            log = harness.services.log
            assert await log.append(stream=STREAM, texts=["a", "b"]) == Success(0)
            assert await log.append(stream=STREAM, texts=["ç"]) == Success(2)
            assert await log.append(stream=StreamName("settings"), texts=["x"]) == Success(0)
            page = (await log.read(stream=STREAM, start=Offset(1))).unwrap()
            assert [(entry.offset, entry.text) for entry in page.entries] == [(1, "b"), (2, "ç")]
            assert (page.start, page.end) == (0, 3)
            assert harness.model.log.counters.appends == 3

    async def test_limit_bounds_a_page(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            await harness.services.log.append(stream=STREAM, texts=list("abcdef"))
            page = (
                await harness.services.log.read(stream=STREAM, start=Offset(1), limit=2)
            ).unwrap()
            assert [entry.text for entry in page.entries] == ["b", "c"]

    async def test_waiting_read_wakes_on_append(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness, trio.open_nursery() as nursery:
            pages = []

            async def follow() -> None:
                pages.append(
                    await harness.services.log.read(stream=STREAM, start=Offset(0), wait_s=5)
                )

            nursery.start_soon(follow)
            await trio.sleep(SLOW)
            await harness.services.log.append(stream=STREAM, texts=["a"])
            await trio.sleep(SLOW)
            assert [entry.text for entry in pages[0].unwrap().entries] == ["a"]

    async def test_waiting_read_ends_empty(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            page = (
                await harness.services.log.read(stream=STREAM, start=Offset(0), wait_s=SLOW)
            ).unwrap()
            assert (page.entries, page.end) == ((), 0)

    async def test_trimmed_start_is_named(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.log.set_faults(LogFaults(keep_records=2))
            await harness.services.log.append(stream=STREAM, texts=list("abcde"))
            result = await harness.services.log.read(stream=STREAM, start=Offset(1))
            assert reason_of(result) is Reason.TRIMMED
            assert result.failure().detail == "3"
            page = (await harness.services.log.read(stream=STREAM, start=Offset(3))).unwrap()
            assert [entry.text for entry in page.entries] == ["d", "e"]

    async def test_outage_appends_nothing(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.log.set_faults(LogFaults(outage=True))
            appended = await harness.services.log.append(stream=STREAM, texts=["a"])
            assert reason_of(appended) is Reason.UNAVAILABLE
            read = await harness.services.log.read(stream=STREAM, start=Offset(0))
            assert reason_of(read) is Reason.UNAVAILABLE
            harness.model.log.set_faults(LogFaults())
            assert harness.model.log.snapshot(STREAM) == ()

    async def test_outage_ends_waiting_reads(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness, trio.open_nursery() as nursery:
            ended: list[Reason] = []

            async def follow() -> None:
                read = await harness.services.log.read(stream=STREAM, start=Offset(0), wait_s=60)
                ended.append(reason_of(read))

            nursery.start_soon(follow)
            await trio.sleep(SLOW)
            harness.model.log.set_faults(LogFaults(outage=True))
            await trio.sleep(SLOW)
            assert ended == [Reason.UNAVAILABLE]

    @pytest.mark.parametrize(
        ("faults", "kept"),
        [
            (LogFaults(drop_after=1.0, call_timeout_s=TIMEOUT), ("a",)),
            (LogFaults(drop_before=1.0, call_timeout_s=TIMEOUT), ()),
        ],
        ids=["after", "before"],
    )
    async def test_lost_append_may_have_taken_effect(
        self,
        open_harness: OpenHarness,
        jumping_clock: MockClock,
        faults: LogFaults,
        kept: tuple[str, ...],
    ) -> None:
        async with open_harness() as harness:
            harness.model.log.set_faults(faults)
            appended = await harness.services.log.append(stream=STREAM, texts=["a"])
            assert appended.failure().may_have_taken_effect
            assert harness.model.log.snapshot(STREAM) == kept

    async def test_late_append_lands_after_its_caller_gave_up(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.log.set_faults(LogFaults(delay_s=3 * TIMEOUT, call_timeout_s=TIMEOUT))
            with trio.move_on_after(TIMEOUT) as scope:
                assert reason_of(
                    await harness.services.log.append(stream=STREAM, texts=["late"])
                ) in (
                    Reason.TIMEOUT,
                    Reason.CUT,
                )
            del scope
            harness.model.log.set_faults(LogFaults())
            assert harness.model.log.snapshot(STREAM) == ()
            await trio.sleep(4 * TIMEOUT)
            assert harness.model.log.snapshot(STREAM) == ("late",)

    async def test_appends_beyond_the_rate_are_refused_whole(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.log.set_faults(LogFaults(appends_per_s=1.0))
            results = [await harness.services.log.append(stream=STREAM, texts=["a"]) for _ in "ab"]
            assert isinstance(results[0], Success)
            refusal = results[1].failure()
            assert refusal.reason is Reason.OVERLOADED
            assert refusal.retry_after_s is not None
            assert 0 < refusal.retry_after_s <= 1.0
            assert harness.model.log.snapshot(STREAM) == ("a",)


class TestHostList:
    async def test_shows_changes_after_the_lag(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            host = harness.hosts[0]
            harness.model.host_list.set_faults(HostListFaults(lag_s=2 * TIMEOUT))
            await trio.sleep(3 * TIMEOUT)
            harness.model.host_list.set_state(host.host_id, HostState.LEAVING)
            before = (await harness.services.host_list.fetch()).unwrap()
            assert before.by_id[host.host_id] == host
            await trio.sleep(3 * TIMEOUT)
            after = (await harness.services.host_list.fetch()).unwrap()
            assert after.by_id[host.host_id] == replace(host, state=HostState.LEAVING)
            assert after.as_of - before.as_of >= 3 * TIMEOUT

    async def test_outage(self, open_harness: OpenHarness, jumping_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.model.host_list.set_faults(HostListFaults(outage=True))
            assert reason_of(await harness.services.host_list.fetch()) is Reason.UNAVAILABLE
            again = await harness.services.host_list.fetch(known_version="v")
            assert reason_of(again) is Reason.UNAVAILABLE

    async def test_filters_by_data_centre_and_kind(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.host_list.set_faults(HostListFaults(lag_s=0.0))
            entry = ListedHost(
                host_id=HostId("far"), kind=HostKind.ENTRY, data_centre=DataCentre("bochum east")
            )
            harness.model.host_list.put(entry)
            fetch = harness.services.host_list.fetch
            here = (await fetch(data_centre=harness.hosts[0].data_centre)).unwrap()
            assert here.by_id == {host.host_id: host for host in harness.hosts}
            assert (await fetch(kind=HostKind.ENTRY)).unwrap().by_id == {entry.host_id: entry}
            there = await fetch(data_centre=entry.data_centre, kind=HostKind.ENTRY)
            assert there.unwrap().by_id == {entry.host_id: entry}
            none = await fetch(data_centre=entry.data_centre, kind=HostKind.WORKER)
            assert none.unwrap().by_id == {}

    async def test_answers_unchanged_until_a_selected_row_changes(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.host_list.set_faults(HostListFaults(lag_s=0.0))
            host = harness.hosts[0]
            fetch = harness.services.host_list.fetch
            first = (await fetch(data_centre=host.data_centre)).unwrap()
            assert first.version
            assert not first.is_unchanged

            async def ask() -> HostListing:
                fetched = await fetch(data_centre=host.data_centre, known_version=first.version)
                return fetched.unwrap()

            elsewhere = replace(host, host_id=HostId("far"), data_centre=DataCentre("far"))
            harness.model.host_list.put(elsewhere)
            await trio.sleep(1)
            same = await ask()
            assert (same.is_unchanged, same.by_id, same.version) == (True, {}, first.version)
            assert same.as_of - first.as_of >= 1
            harness.model.host_list.set_state(host.host_id, HostState.LEAVING)
            changed = await ask()
            assert not changed.is_unchanged
            assert changed.by_id[host.host_id].state is HostState.LEAVING
            assert changed.version != first.version
            harness.model.host_list.remove(host.host_id)
            assert host.host_id not in (await ask()).by_id


class TestListingSinceACursor:
    async def test_changes_add_up_to_the_full_listing(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        """Follow each cursor through starts, renewals, usage, ends and acknowledgements."""
        async with open_harness() as harness:
            workers, address = harness.services.workers, harness.worker
            known = (await workers.listing(address=address)).unwrap()
            assert (known.base, known.running, bool(known.cursor)) == ("", (), True)
            lasting, short = make_task(1, run_s=500.0), make_task(2, run_s=5.0)

            async def follow() -> WorkerListing:
                nonlocal known
                answer = (await workers.listing(address=address, since=known.cursor)).unwrap()
                assert answer.base == known.cursor
                merged = apply_changes(known, answer)
                full = (await workers.listing(address=address)).unwrap()
                assert merged is not None
                assert sorted(merged.running, key=lambda row: row.task.task_id) == sorted(
                    full.running, key=lambda row: row.task.task_id
                )
                assert replace(merged, running=()) == replace(full, running=())
                known = full
                return answer

            batch = make_batch(lasting, short, lease_until=harness.lease(60))
            await workers.start(address=address, batch=batch)
            assert {row.task for row in (await follow()).running} == {lasting, short}
            await workers.renew(
                address=address, tasks=[lasting.task_id], lease_until=harness.lease(400)
            )
            renewed = await follow()
            assert renewed.running == ()
            assert [task for task, _, _ in renewed.changed][:1] == [lasting.task_id]
            await trio.sleep(30)
            ended = await follow()
            assert ended.gone == (short.task_id,)
            assert [row.task_id for row in ended.finished] == [short.task_id]
            await workers.acknowledge(address=address, tasks=[short.task_id])
            assert (await follow()).finished == ()
            cursor = known.cursor
            quiet = await follow()
            assert (quiet.running, quiet.changed, quiet.gone) == ((), (), ())
            assert quiet.cursor == cursor

    async def test_duplicate_run_and_unknown_cursor_get_the_full_listing(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            workers, address = harness.services.workers, harness.worker
            harness.model.workers.set_faults(harness.worker, WorkerFaults(compares_epochs=False))
            batch = make_batch(make_task(1, run_s=500.0), lease_until=harness.lease(400))
            await workers.start(address=address, batch=batch)
            one = (await workers.listing(address=address)).unwrap()
            await workers.start(address=address, batch=batch)
            two = (await workers.listing(address=address, since=one.cursor)).unwrap()
            assert (two.base, len(two.running)) == ("", 2)
            assert apply_changes(one, two) == two
            stray = (await workers.listing(address=address, since="never & given")).unwrap()
            assert (stray.base, len(stray.running)) == ("", 2)

    async def test_lost_worker_knows_no_cursor(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            workers, address = harness.services.workers, harness.worker
            batch = make_batch(make_task(1, run_s=500.0), lease_until=harness.lease(400))
            await workers.start(address=address, batch=batch)
            known = (await workers.listing(address=address)).unwrap()
            harness.model.workers.set_faults(address, WorkerFaults(down=True))
            harness.model.workers.set_faults(address, WorkerFaults())
            after = (await workers.listing(address=address, since=known.cursor)).unwrap()
            assert (after.base, after.running) == ("", ())
            assert after.cursor != known.cursor


class TestWorkers:
    async def test_task_runs_to_its_real_end(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            workers, model = harness.services.workers, harness.model.workers
            model.set_faults(harness.worker, WorkerFaults(usage_lag_s=0.0))
            payload = '{"run_s": 0.4, "peak_mb": 1700}'
            task = make_task(payload=payload, run_s=60.0)
            batch = make_batch(task, lease_until=harness.lease(30))
            (answer,) = (await workers.start(address=harness.worker, batch=batch)).unwrap()
            assert answer.ok
            listing = (await workers.listing(address=harness.worker)).unwrap()
            assert [row.task for row in listing.running] == [task]
            assert listing.running[0].epoch == 1
            assert listing.used.memory_mb == 1700
            await trio.sleep(0.6)
            listing = (await workers.listing(address=harness.worker)).unwrap()
            assert listing.running == ()
            assert [(row.task_id, row.ok) for row in listing.finished] == [(task.task_id, True)]
            await workers.acknowledge(address=harness.worker, tasks=[task.task_id])
            assert (await workers.listing(address=harness.worker)).unwrap().finished == ()

    async def test_lease_lapses_unless_renewed(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            workers = harness.services.workers
            kept, lost = make_task(0, run_s=60), make_task(1, run_s=60)
            batch = make_batch(kept, lost, lease_until=harness.lease(0.4))
            await workers.start(address=harness.worker, batch=batch)
            renewed = await workers.renew(
                address=harness.worker,
                tasks=[kept.task_id, TaskId("gone/0")],
                lease_until=harness.lease(30),
            )
            assert [answer.ok for answer in renewed.unwrap()] == [True, False]
            await trio.sleep(0.6)
            listing = (await workers.listing(address=harness.worker)).unwrap()
            assert [row.task for row in listing.running] == [kept]
            assert [row.detail for row in listing.finished] == [TaskEnd.LEASE_LAPSED]

    async def test_starts_what_does_not_fit_and_reports_it(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            size = Resources(cores_milli=40_000)
            tasks = [replace(make_task(index, run_s=60), resources=size) for index in range(2)]
            batch = make_batch(*tasks, lease_until=harness.lease(30))
            answers = (
                await harness.services.workers.start(address=harness.worker, batch=batch)
            ).unwrap()
            assert all(answer.ok for answer in answers)
            violations = harness.model.workers.violations
            assert violations.counts_by_kind == {ViolationKind.OVERCOMMIT: 1}

    @pytest.mark.parametrize("place", [0, 1], ids=["same worker", "other worker"])
    async def test_second_start_runs_twice_and_is_reported(
        self, open_harness: OpenHarness, jumping_clock: MockClock, place: int
    ) -> None:
        async with open_harness() as harness:
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            await harness.services.workers.start(address=harness.worker, batch=batch)
            again = await harness.services.workers.start(
                address=harness.hosts[place].address, batch=batch
            )
            assert again.unwrap()[0].ok
            assert harness.model.workers.ledger.running() == 2
            assert harness.model.workers.violations.counts_by_kind == {ViolationKind.DOUBLE_RUN: 1}

    async def test_epochs_are_compared_if_enabled(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            workers = harness.services.workers
            harness.model.workers.set_faults(harness.worker, WorkerFaults(compares_epochs=True))

            async def start(
                index: int, *, epoch: int, not_after: float = FAR
            ) -> Result[object, StepError]:
                batch = make_batch(
                    make_task(index, run_s=60),
                    lease_until=harness.lease(30),
                    epoch=epoch,
                    not_after=not_after,
                )
                return await workers.start(address=harness.worker, batch=batch)

            assert isinstance(await start(0, epoch=5), Success)
            assert reason_of(await start(1, epoch=4)) is Reason.CONFLICT
            late = await start(1, epoch=5, not_after=harness.lease(-1))
            assert reason_of(late) is Reason.REFUSED
            stopped = await workers.stop(
                address=harness.worker, tasks=[make_task(0).task_id], epoch=Epoch(4)
            )
            assert reason_of(stopped) is Reason.CONFLICT
            listing = (await workers.listing(address=harness.worker)).unwrap()
            assert (len(listing.running), listing.highest_epoch) == (1, 5)

    async def test_lost_answer_to_a_start_that_runs(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            faults = WorkerFaults(drop_after=1.0, call_timeout_s=TIMEOUT)
            harness.model.workers.set_faults(harness.worker, faults)
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            started = await harness.services.workers.start(address=harness.worker, batch=batch)
            assert started.failure().may_have_taken_effect
            harness.model.workers.set_faults(harness.worker, WorkerFaults())
            listing = (await harness.services.workers.listing(address=harness.worker)).unwrap()
            assert len(listing.running) == 1

    async def test_delayed_start_arrives_after_its_caller_gave_up(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            faults = WorkerFaults(delay_s=3 * TIMEOUT, call_timeout_s=TIMEOUT)
            harness.model.workers.set_faults(harness.worker, faults)
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            with trio.move_on_after(TIMEOUT):
                started = await harness.services.workers.start(address=harness.worker, batch=batch)
                assert started.failure().may_have_taken_effect
            assert harness.model.workers.ledger.running() == 0
            await trio.sleep(4 * TIMEOUT)
            harness.model.workers.settle()
            assert harness.model.workers.ledger.running() == 1

    async def test_paused_worker_takes_the_call_on_resume(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.workers.set_faults(
                harness.worker, WorkerFaults(paused=True, call_timeout_s=TIMEOUT)
            )
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            with trio.move_on_after(2 * TIMEOUT):
                started = await harness.services.workers.start(address=harness.worker, batch=batch)
                assert started.failure().may_have_taken_effect
            assert harness.model.workers.ledger.running() == 0
            harness.model.workers.set_faults(harness.worker, WorkerFaults())
            assert harness.model.workers.ledger.running() == 1

    async def test_down_worker_loses_its_tasks(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            await harness.services.workers.start(address=harness.worker, batch=batch)
            harness.model.workers.set_faults(harness.worker, WorkerFaults(down=True))
            assert harness.model.workers.ledger.running() == 0
            listing = await harness.services.workers.listing(address=harness.worker)
            assert reason_of(listing) is Reason.UNREACHABLE

    async def test_checkpointed_task_goes_on_elsewhere(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            workers = harness.services.workers
            batch = make_batch(make_task(run_s=1.0), lease_until=harness.lease(30))
            await workers.start(address=harness.worker, batch=batch)
            await trio.sleep(0.6)
            task = batch.starts[0].task.task_id
            saved = await workers.checkpoint(address=harness.worker, tasks=[task], epoch=Epoch(1))
            assert saved.unwrap()[0].ok
            other = harness.hosts[1].address
            await workers.start(address=other, batch=batch)
            await trio.sleep(0.6)
            listing = (await workers.listing(address=other)).unwrap()
            assert [(row.task_id, row.ok) for row in listing.finished] == [(task, True)]
            assert not harness.model.workers.violations.kept

    async def test_throttled_task_uses_less_and_takes_longer(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            workers = harness.services.workers
            harness.model.workers.set_faults(harness.worker, WorkerFaults(usage_lag_s=0.0))
            batch = make_batch(make_task(run_s=0.4), lease_until=harness.lease(30))
            await workers.start(address=harness.worker, batch=batch)
            task = batch.starts[0].task.task_id
            await workers.throttle(address=harness.worker, tasks=[task], epoch=Epoch(1), share=0.25)
            await trio.sleep(0.6)
            listing = (await workers.listing(address=harness.worker)).unwrap()
            assert [row.used.cores_milli for row in listing.running] == [250]

    @pytest.mark.parametrize(
        ("faults", "ok"),
        [(WorkerFaults(fail_starts=True), False), (WorkerFaults(fail_runs_after_s=0.1), True)],
        ids=["at the start", "in the run"],
    )
    async def test_worker_that_fails_everything(
        self, open_harness: OpenHarness, jumping_clock: MockClock, faults: WorkerFaults, ok: bool
    ) -> None:
        async with open_harness() as harness:
            harness.model.workers.set_faults(harness.worker, faults)
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            started = await harness.services.workers.start(address=harness.worker, batch=batch)
            assert started.unwrap()[0].ok is ok
            await trio.sleep(0.3)
            listing = (await harness.services.workers.listing(address=harness.worker)).unwrap()
            assert listing.running == ()
            assert [row.ok for row in listing.finished] == [False] * ok

    async def test_usage_lags(self, open_harness: OpenHarness, jumping_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.model.workers.set_faults(harness.worker, WorkerFaults(usage_lag_s=0.4))
            batch = make_batch(make_task(run_s=60), lease_until=harness.lease(30))
            await harness.services.workers.start(address=harness.worker, batch=batch)
            listing = (await harness.services.workers.listing(address=harness.worker)).unwrap()
            assert listing.used == Resources()
            await trio.sleep(0.6)
            listing = (await harness.services.workers.listing(address=harness.worker)).unwrap()
            assert listing.used.memory_mb == 1000

    async def test_unknown_address_is_unreachable(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.workers.remove(harness.worker)
            listing = await harness.services.workers.listing(address=harness.worker)
            assert reason_of(listing) in (Reason.UNREACHABLE, Reason.NOT_FOUND)


class TestExecutors:
    async def _call(
        self, harness: Harness, *, number: int = 1, request: bytes = b"minutes of the board"
    ) -> Result[tuple[Outcome, bool, EchoVerdict], StepError]:
        call = make_call(number)
        async with harness.services.upstreams.call(
            address=harness.executor, call=call, body=one_chunk(request)
        ) as result:
            if isinstance(result, Failure):
                return result
            answer = result.unwrap()
            assert answer.attempt_id == call.attempt_id
            body = b"".join([chunk async for chunk in answer.body])
            verdict = check_echo(body, request_id=call.request_id, request_body=request)
            return Success((answer.outcome, answer.leaving, verdict))

    async def _give_up_on(self, harness: Harness) -> None:
        with trio.move_on_after(TIMEOUT):
            await self._call(harness)

    async def test_complete_answer_matches_its_request(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            faults = ExecutorFaults(answer_bytes=200_000, leaving=True)
            harness.model.executors.set_faults(harness.executor, faults)
            answered = await self._call(harness, request=b"x" * 200_000)
            assert answered == Success((Outcome.DONE, True, EchoVerdict.OWN))
            (execution,) = harness.model.executors.log.records
            assert (execution.request_id, execution.epoch) == ("request-1", 7)

    async def test_failed_run(self, open_harness: OpenHarness, jumping_clock: MockClock) -> None:
        async with open_harness() as harness:
            harness.model.executors.set_faults(harness.executor, ExecutorFaults(fail=1.0))
            answered = await self._call(harness)
            assert answered.unwrap()[0] is Outcome.FAILED

    @pytest.mark.parametrize("size", [256, 300_000])
    async def test_truncated_answer_is_never_complete(
        self, open_harness: OpenHarness, jumping_clock: MockClock, size: int
    ) -> None:
        async with open_harness() as harness:
            faults = ExecutorFaults(cut=1.0, answer_bytes=size)
            harness.model.executors.set_faults(harness.executor, faults)
            with pytest.raises(UpstreamCutError):
                await self._call(harness)

    async def test_late_answer_still_matches_its_request(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.executors.set_faults(
                harness.executor, ExecutorFaults(late=1.0, late_s=30.0)
            )
            started = trio.current_time()
            answered = await self._call(harness)
            assert answered.unwrap()[2] is EchoVerdict.OWN
            assert trio.current_time() - started >= 30.0

    async def test_lost_answer_ran(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            faults = ExecutorFaults(drop_after=1.0, call_timeout_s=TIMEOUT)
            harness.model.executors.set_faults(harness.executor, faults)
            assert (await self._call(harness)).failure().may_have_taken_effect
            assert harness.model.executors.log.runs_of("request-1") == 1

    async def test_beyond_its_slots_it_refuses_and_does_not_run(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness, trio.open_nursery() as nursery:
            service = ServiceTime(mean_s=10.0)
            faults = ExecutorFaults(service=service, beyond_slots=BeyondSlots.REFUSE)
            harness.model.executors.set_faults(harness.executor, faults)
            for number in range(8):
                nursery.start_soon(partial(self._call, harness, number=number))
            await trio.sleep(SLOW)
            assert harness.model.executors.by_address[harness.executor].busy() == 8
            refused = (await self._call(harness, number=9)).failure()
            assert refused.reason is Reason.OVERLOADED
            assert refused.retry_after_s == 1.0
            assert harness.model.executors.log.runs_of("request-9") == 0
            nursery.cancel_scope.cancel()

    async def test_beyond_its_slots_it_queues(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness, trio.open_nursery() as nursery:
            service = ServiceTime(mean_s=0.1)
            harness.model.executors.set_faults(harness.executor, ExecutorFaults(service=service))
            for number in range(17):
                nursery.start_soon(partial(self._call, harness, number=number))
            await trio.sleep(0.05)
            executor = harness.model.executors.by_address[harness.executor]
            assert executor.counters.peak_busy == 8
            started = trio.current_time()
            await self._call(harness, number=17)
            assert trio.current_time() - started >= 0.2

    async def test_past_not_after_is_refused_if_enabled(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            executor = harness.model.executors.by_address[harness.executor]
            for refuses, counted in ((False, (1, 0, 1)), (True, (2, 1, 1))):
                faults = ExecutorFaults(delay_s=2 * TIMEOUT, refuse_past_not_after=refuses)
                harness.model.executors.set_faults(harness.executor, faults)
                async with harness.services.upstreams.call(
                    address=harness.executor,
                    call=make_call(not_after=harness.lease(TIMEOUT)),
                    body=one_chunk(b"x"),
                ) as result:
                    assert reason_of(result) is Reason.TIMEOUT
                await trio.sleep(2 * TIMEOUT)
                counters = executor.counters
                assert (
                    counters.past_not_after,
                    counters.refused_past_not_after,
                    counters.runs,
                ) == counted

    async def test_past_not_after_is_not_sent(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            async with harness.services.upstreams.call(
                address=harness.executor,
                call=make_call(not_after=harness.lease(-1)),
                body=one_chunk(b"x"),
            ) as result:
                assert reason_of(result) is Reason.UNREACHABLE
            assert harness.model.executors.by_address[harness.executor].counters.calls == 0

    async def test_paused_executor_runs_on_resume_what_was_given_up(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness, trio.open_nursery() as nursery:
            harness.model.executors.set_faults(harness.executor, ExecutorFaults(paused=True))
            nursery.start_soon(self._give_up_on, harness)
            await trio.sleep(2 * TIMEOUT)
            assert harness.model.executors.log.runs_of("request-1") == 0
            harness.model.executors.set_faults(harness.executor, ExecutorFaults())
            await trio.sleep(TIMEOUT)
            assert harness.model.executors.log.runs_of("request-1") == 1

    async def test_unreachable_ran_nothing(
        self, open_harness: OpenHarness, jumping_clock: MockClock
    ) -> None:
        async with open_harness() as harness:
            harness.model.executors.set_faults(harness.executor, ExecutorFaults(unreachable=True))
            await trio.sleep(SLOW)
            assert reason_of(await self._call(harness)) is Reason.UNREACHABLE
            assert harness.model.executors.log.runs_of("request-1") == 0
