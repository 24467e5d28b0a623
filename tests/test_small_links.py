"""Transfers that grow with the fleet or with the jobs, over the link of a small host."""

from dataclasses import replace
from math import inf
from random import Random
from types import SimpleNamespace
from typing import Any

import trio
from returns.result import Failure, Result, Success

from cell.cluster import Cluster
from cell.scenarios import run_scenario
from cell.simulation import Simulation
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.listings import Listing
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.commit_loop import CommitLoop
from galenastall.node.cell.executor_sessions import ExecutorSessions
from galenastall.node.cell.leader_handler import LeaderHandler
from galenastall.node.cell.state_loader import StateLoader
from galenastall.node.cell.term_context import TermContext
from galenastall.platform.fleet import TOPIC as FLEET_TOPIC
from galenastall.platform.fleet import PlatformFleet
from galenastall.platform.store import STATE_TOPIC, PlatformStore
from galenastall.protocol.cell.executor_port import ListingAnswer, OrderAnswer, StartVerdict
from galenastall.protocol.cell.messages import GetJob, JobAnswer
from galenastall.state.cell.jobs import TaskKey
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.errors import Reason, StepError
from galenastall.state.resources import Resources
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.logs import Recorder
from test_large_configurations import StoreBehindLink
from test_platform_adapter import make_calls, make_recorder, serve_address

LINK_BYTES_PER_S = 312_500
"""Half of a link of 5 Mbit/s; answers to callers take the other half."""
LARGE_LINK_BYTES_PER_S = 12_500_000
"""A link of 100 Mbit/s, in full."""
CHUNK_BYTES = 2_500
STORE_S = 0.01
GIVE_UP_AFTER_S = 60.0
STATE_BYTES = 3_000_000
"""The rows of the jobs of 30 s, and those of the jobs that ended within 150 s."""

EXECUTORS = 350
LISTING_BYTES = 1_200
"""Twenty rows: what runs, and what has ended while nobody led."""
LARGEST_PAYLOAD_BYTES = 250_000
"""About what the body of a submission may hold."""
LEASE_S = 6.0
"""How long the leases last that the previous leader granted, at most."""

ROUNDS_WITHOUT_LIST = 5
"""How often each executor writes its entry meanwhile: every 1.5 s."""
GIVE_UP_READING_S = 20.0


class Link:
    """A link whose bandwidth concurrent transfers share."""

    def __init__(
        self, *, bytes_per_s: float = LINK_BYTES_PER_S, chunk_bytes: int = CHUNK_BYTES
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self._chunk_bytes = chunk_bytes
        self.sent_bytes = 0
        self._lock = trio.StrictFIFOLock()

    async def send(self, size: int) -> None:
        for begin in range(0, size, self._chunk_bytes):
            chunk = min(self._chunk_bytes, size - begin)
            async with self._lock:
                await trio.sleep(chunk / self.bytes_per_s)
            self.sent_bytes += chunk


class StateBehindLink:
    """The state in a store that is reached over a link."""

    append_bytes = 1_572_864
    record_bytes = append_bytes

    def __init__(self, *, link: Link) -> None:
        self.link = link
        self.begun_at: list[float] = []
        self.lost_answers = 0
        """How many of the next answers are lost."""
        self.values_by_key: dict[str, bytes] = {}

    async def append(
        self, *, token: int, sequence: int, values_by_key: dict[str, bytes], timeout_s: float
    ) -> Result[None, StepError]:
        self.begun_at.append(trio.current_time())
        with trio.move_on_after(timeout_s):
            await self.link.send(sum(map(len, values_by_key.values())))
            await trio.sleep(STORE_S)
            self.values_by_key.update(values_by_key)
            if self.lost_answers:
                self.lost_answers -= 1
                await trio.sleep_forever()
            return Success(None)
        return Failure(StepError(step="store.append", peer="store", reason=Reason.TIMEOUT))


class Term:
    """A term whose next batch is given, with the longest time that a confirmation took."""

    def __init__(self, values_by_key: dict[str, bytes], *, link_bytes_per_s: float) -> None:
        self.token = 1
        self.link_bytes_per_s = link_bytes_per_s
        self.longest_confirm_s = 0.0
        batch = SimpleNamespace(values_by_key=values_by_key, starts=[])
        self.core = SimpleNamespace(take_batch=lambda: batch, commit=lambda _batch, wall: [])
        self._confirmed_at = trio.current_time()

    @property
    def confirmed_at(self) -> float:
        return self._confirmed_at

    @confirmed_at.setter
    def confirmed_at(self, sent_at: float) -> None:
        age_s = trio.current_time() - self._confirmed_at
        self.longest_confirm_s = max(self.longest_confirm_s, age_s)
        self._confirmed_at = sent_at

    def wall(self) -> float:
        return 0.0

    def wake(self) -> None:
        """Ignore it: there is nothing to decide."""

    def notify_committed(self) -> None:
        """Ignore it: nobody waits."""

    def notify_confirmed(self) -> None:
        """Ignore it: nobody waits."""

    def note(self, *_: Any, **__: Any) -> None:
        """Ignore it."""


async def commit(
    state: StateBehindLink,
    values_by_key: dict[str, bytes],
    *,
    link_bytes_per_s: float = 2 * LINK_BYTES_PER_S,
) -> Term:
    """Append a batch; fails if that takes longer than any caller waits."""
    term = Term(values_by_key, link_bytes_per_s=link_bytes_per_s)

    async def refresh() -> None:
        """Read nothing."""

    commits = CommitLoop(
        context=term,  # type: ignore[arg-type]
        state=state,  # type: ignore[arg-type]
        timings=CellTimings(),
        refresh_inputs=refresh,
    )
    with trio.fail_after(GIVE_UP_AFTER_S):
        await commits.commit()
    return term


def make_rows(count: int, size: int) -> dict[str, bytes]:
    return {f"run/{number:04}": b"x" * size for number in range(count)}


class TestAppendsOverASmallLink:
    """A try beside an unanswered one takes bandwidth from it, so that both come too late."""

    async def test_an_append_is_sent_once_while_its_transfer_lasts(
        self, autojump_clock: object
    ) -> None:
        state = StateBehindLink(link=Link())
        rows = make_rows(90, 2_000)
        await commit(state, rows)
        assert state.link.sent_bytes == sum(map(len, rows.values()))

    async def test_the_largest_row_is_sent_once(self, autojump_clock: object) -> None:
        state = StateBehindLink(link=Link())
        await commit(state, make_rows(1, 262_144))
        assert state.link.sent_bytes == 262_144

    async def test_all_changes_of_an_outage_are_written_and_the_leader_counts_as_alive(
        self, autojump_clock: object
    ) -> None:
        state = StateBehindLink(link=Link())
        rows = make_rows(750, 2_000)
        term = await commit(state, rows)
        assert state.values_by_key == rows
        assert term.longest_confirm_s < CellTimings().stale_confirm_s

    async def test_an_append_ends_though_the_link_is_slower_than_expected(
        self, autojump_clock: object
    ) -> None:
        state = StateBehindLink(link=Link(bytes_per_s=LINK_BYTES_PER_S / 4))
        rows = make_rows(90, 2_000)
        await commit(state, rows)
        assert state.values_by_key == rows

    async def test_a_lost_answer_to_a_small_append_delays_it_only_briefly(
        self, autojump_clock: object
    ) -> None:
        state = StateBehindLink(link=Link())
        state.lost_answers = 1
        await commit(state, make_rows(1, 1_000))
        first, second = state.begun_at
        assert second - first < 0.3


class TestAppendsOverALargeLink:
    """Limits that suit a small link cost a larger one calls and time, and keep nothing from it."""

    async def test_a_large_batch_is_one_append(self, autojump_clock: object) -> None:
        state = StateBehindLink(link=Link(bytes_per_s=LARGE_LINK_BYTES_PER_S / 2))
        rows = make_rows(500, 2_000)
        await commit(state, rows, link_bytes_per_s=LARGE_LINK_BYTES_PER_S)
        assert state.values_by_key == rows
        assert len(state.begun_at) == 1

    async def test_a_lost_answer_to_the_largest_row_delays_it_only_briefly(
        self, autojump_clock: object
    ) -> None:
        state = StateBehindLink(link=Link(bytes_per_s=LARGE_LINK_BYTES_PER_S / 2))
        state.lost_answers = 1
        await commit(state, make_rows(1, 262_144), link_bytes_per_s=LARGE_LINK_BYTES_PER_S)
        first, second = state.begun_at
        assert second - first < 0.5

    async def test_an_unknown_link_limits_neither_appends_nor_their_tries(
        self, autojump_clock: object
    ) -> None:
        state = StateBehindLink(link=Link(bytes_per_s=inf))
        state.lost_answers = 4
        rows = make_rows(750, 2_000)
        await commit(state, rows, link_bytes_per_s=inf)
        assert state.values_by_key == rows
        first, *_, fourth = state.begun_at[:4]
        assert fourth - first < 0.9


class TestConfirmationsByParts:
    """Each part of a batch confirms the leader, but only the whole batch makes changes durable."""

    async def test_a_query_for_an_unknown_job_does_not_wait_for_the_last_part(
        self, autojump_clock: object
    ) -> None:
        context = make_context(
            ExecutorsBehindLink(link=Link()), link_bytes_per_s=2 * LINK_BYTES_PER_S
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(commit_rows, context)
            await trio.sleep(1.0)
            with trio.fail_after(1.0):
                answer = await make_handler(context).query(GetJob(job_id="0" * 16, patience_s=10.0))
            assert answer == JobAnswer(phase=None)
            nursery.cancel_scope.cancel()

    async def test_a_job_in_the_batch_is_not_called_unknown_before_the_last_part(
        self, autojump_clock: object
    ) -> None:
        context = make_context(
            ExecutorsBehindLink(link=Link()), link_bytes_per_s=2 * LINK_BYTES_PER_S
        )
        job = SimpleNamespace(workspace=NO_WORKSPACE)
        run: Any = SimpleNamespace(job=job, is_durable=False, shown_phase=JobPhase.QUEUED)
        context.core.jobs_by_id["0" * 16] = run
        async with trio.open_nursery() as nursery:
            nursery.start_soon(commit_rows, context)
            await trio.sleep(1.0)
            with trio.move_on_after(2.0) as wait:
                await make_handler(context).query(GetJob(job_id="0" * 16, patience_s=10.0))
            assert wait.cancelled_caught
            nursery.cancel_scope.cancel()

    async def test_nothing_counts_as_durable_before_the_last_part(
        self, autojump_clock: object
    ) -> None:
        context = make_context(
            ExecutorsBehindLink(link=Link()), link_bytes_per_s=2 * LINK_BYTES_PER_S
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(commit_rows, context)
            with trio.move_on_after(4.0) as wait:
                await context.committed.wait()
            assert wait.cancelled_caught
            with trio.fail_after(2.0):
                await context.committed.wait()


def make_handler(context: TermContext) -> LeaderHandler:
    ready = trio.Event()
    ready.set()
    term = SimpleNamespace(
        context=context, core=context.core, ready=ready, loss="", request_commit=lambda: None
    )
    return LeaderHandler(
        term=term,  # type: ignore[arg-type]
        host_id="entry-1",
        has_followers=lambda: True,
    )


async def commit_rows(context: TermContext) -> None:
    """Append a batch of 1.5 MB, which takes 4.8 s over a small link."""
    batch: Any = SimpleNamespace(values_by_key=make_rows(750, 2_000), starts=[])
    core: Any = context.core
    core.take_batch = lambda: batch
    core.commit = lambda _batch, wall: []

    async def refresh() -> None:
        """Read nothing."""

    await CommitLoop(
        context=context,
        state=StateBehindLink(link=Link()),  # type: ignore[arg-type]
        timings=CellTimings(),
        refresh_inputs=refresh,
    ).commit()


class TestLoadsOverASmallLink:
    """A load that is cut before its end is begun anew by the next host, and cut there as well."""

    async def test_a_leader_that_receives_page_after_page_is_not_replaced(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            first = await cluster.wait_for_leader()
            rows = {f"history/{number}": b"x" * 100_000 for number in range(STATE_BYTES // 100_000)}
            simulation.store.values.update(rows)
            await trio.sleep(2.0)
            for name in cluster.names:
                simulation.faults.load_bytes_per_s[name] = LINK_BYTES_PER_S
            before = len(simulation.store.claims)
            cluster.kill(first)
            await cluster.wait_for_leader(timeout_s=STATE_BYTES / LINK_BYTES_PER_S + 3.0)
            assert len(simulation.store.claims) == before + 1

        await run_scenario(scenario, seed=61, hosts=6)

    async def test_a_full_page_that_takes_longer_than_its_time_out_is_read(self) -> None:
        store = StoreBehindLink()
        for number in range(400):
            store.put(STATE_TOPIC, f"run/{number:04}", "x" * 2_000)
        async with trio.open_nursery() as nursery:
            state = PlatformStore(calls=make_calls(), address=await serve_address(nursery, store))
            loader = StateLoader(state=state, page_timeout_s=GIVE_UP_READING_S)
            assert len((await loader.load()).value_or({})) == 400
            nursery.cancel_scope.cancel()


class TestListsOverASmallLink:
    """New records gather while the list can't be read, until a read of them never ends in time."""

    async def test_the_list_is_read_again_after_an_outage_of_seconds(self) -> None:
        store = StoreBehindLink()
        put_executors(store, state="ready")
        async with trio.open_nursery() as nursery:
            fleet = PlatformFleet(
                calls=make_calls(),
                address=await serve_address(nursery, store),
                recorder=make_recorder(),
            )
            assert len((await fleet.read()).unwrap()) == EXECUTORS
            for _ in range(ROUNDS_WITHOUT_LIST):
                put_executors(store, state="ready")
            put_executors(store, state="draining")
            infos: tuple[ExecutorInfo, ...] = ()
            with trio.move_on_after(GIVE_UP_READING_S):
                while not infos:
                    infos = (await fleet.read()).value_or(())
            assert [info.is_draining for info in infos] == [True] * EXECUTORS
            nursery.cancel_scope.cancel()


def put_executors(store: StoreBehindLink, *, state: str) -> None:
    for number in range(EXECUTORS):
        entry = {
            "service": "pack-assembly",
            "address": f"10.0.{number // 200}.{number % 200}:8080",
            "state": state,
            "zone": "seoul-gangnam",
            "capacity": {"cpu": 16_000, "memoryRequestMb": 32_000, "gpus": 0},
            "labels": ["kind-a", f"rack-{number // 12}"],
            "machine": f"machine-{number:04}",
            "born": 1_700_000_000_000,
        }
        store.put(FLEET_TOPIC, f"executor-{number:04}", entry)


class ExecutorsBehindLink:
    """Executors whose listings arrive over the leader's link."""

    def __init__(self, *, link: Link, listing_bytes: int = LISTING_BYTES) -> None:
        self.link = link
        self.listed: set[str] = set()
        self._listing_bytes = listing_bytes

    async def renew(
        self, *, executor_id: str, wait_s: float, timeout_s: float, **_: Any
    ) -> Result[ListingAnswer, StepError]:
        with trio.move_on_after(timeout_s):
            await trio.sleep(wait_s)
            await self.link.send(self._listing_bytes)
            self.listed.add(executor_id)
            listing = Listing(clock_ms=int(trio.current_time() * 1000), running=(), ended=())
            return Success(
                ListingAnswer(
                    verdict=StartVerdict.STARTED, executor_id=executor_id, listing=listing
                )
            )
        return Failure(StepError(step="executor.renew", peer=executor_id, reason=Reason.TIMEOUT))

    async def start(
        self, *, order: StartOrder, timeout_s: float, **_: Any
    ) -> Result[OrderAnswer, StepError]:
        with trio.move_on_after(timeout_s):
            await self.link.send(len(order.payload))
            return Success(OrderAnswer(verdict=StartVerdict.STARTED, clock_ms=None))
        peer = order.executor_id
        return Failure(StepError(step="executor.start", peer=peer, reason=Reason.TIMEOUT))


def make_context(executors: ExecutorsBehindLink, *, link_bytes_per_s: float = inf) -> TermContext:
    core = CellScheduler(timings=CellTimings(), fenced_at=trio.current_time())
    core.on_fleet([make_info(number) for number in range(EXECUTORS)], now=trio.current_time())
    ring = TimelineRing(capacity=1_000)
    return TermContext(
        core=core,
        token=1,
        confirmed_at=trio.current_time(),
        executors=executors,  # type: ignore[arg-type]
        clock=TrioClock(),
        recorder=Recorder(process="entry-1", clock=TrioClock(), ring=ring),
        on_lost=lambda _cause: None,
        link_bytes_per_s=link_bytes_per_s,
    )


class TestListingsOverASmallLink:
    """Listings that share the link all miss a fixed time-out, and are requested again at once."""

    async def test_a_new_leader_receives_the_listings_of_all_executors(
        self, autojump_clock: object
    ) -> None:
        executors = ExecutorsBehindLink(link=Link(chunk_bytes=LISTING_BYTES // 10))
        context = make_context(executors, link_bytes_per_s=2 * LINK_BYTES_PER_S)
        async with trio.open_nursery() as nursery:
            ExecutorSessions(context=context, nursery=nursery).open()
            await trio.sleep(LEASE_S)
            nursery.cancel_scope.cancel()
        assert len(executors.listed) == EXECUTORS


def make_info(number: int) -> ExecutorInfo:
    return ExecutorInfo(
        executor_id=f"executor-{number}",
        host=f"host-{number}",
        address=f"executor-{number}",
        data_centre="dc",
        service="service",
        capacity=Resources(cores_milli=16_000, memory_mb=32_000),
    )


class TestStartsOverASmallLink:
    """Starts that are all sent at once go unanswered, and are sent again in full."""

    async def test_starts_after_an_outage_are_answered_at_the_first_try(
        self, autojump_clock: object
    ) -> None:
        executors = ExecutorsBehindLink(link=Link(), listing_bytes=0)
        context = make_context(executors, link_bytes_per_s=2 * LINK_BYTES_PER_S)
        outcomes: list[StartOutcome] = []
        async with trio.open_nursery() as nursery:
            sessions = ExecutorSessions(context=context, nursery=nursery)
            sessions.open()
            await trio.sleep(0.1)
            core = context.core
            core.is_needed = bool  # type: ignore[method-assign,assignment]
            core.on_start = lambda _, outcome, **__: outcomes.append(  # type: ignore[method-assign,assignment]
                outcome
            )
            sessions.start(make_order(number) for number in range(EXECUTORS))
            await trio.sleep(GIVE_UP_AFTER_S)
            nursery.cancel_scope.cancel()
        assert outcomes == [StartOutcome.STARTED] * EXECUTORS


def make_order(number: int) -> StartOrder:
    return StartOrder(
        task=TaskKey("0" * 16, 0, 0, number),
        run=1,
        executor_id=f"executor-{number}",
        payload="x" * 4_000,
    )


class TestLargeStartsOverASmallLink:
    """A start that can't be sent within the time-out of an order is cut there at each try."""

    async def test_the_largest_start_is_answered(self, autojump_clock: object) -> None:
        executors = ExecutorsBehindLink(link=Link(), listing_bytes=0)
        context = make_context(executors, link_bytes_per_s=2 * LINK_BYTES_PER_S)
        outcomes: list[StartOutcome] = []
        order = replace(make_order(0), payload="x" * LARGEST_PAYLOAD_BYTES)
        async with trio.open_nursery() as nursery:
            sessions = ExecutorSessions(context=context, nursery=nursery)
            sessions.open()
            await trio.sleep(0.1)
            core = context.core
            core.is_needed = bool  # type: ignore[method-assign,assignment]
            core.on_start = lambda _, outcome, **__: outcomes.append(  # type: ignore[method-assign,assignment]
                outcome
            )
            sessions.start([order])
            await trio.sleep(GIVE_UP_AFTER_S)
            nursery.cancel_scope.cancel()
        assert outcomes == [StartOutcome.STARTED]


class TestDarkExecutors:
    """Executors that do not answer hold their share of the link until their call times out."""

    async def test_those_that_answer_are_listed_meanwhile(self, autojump_clock: object) -> None:
        executors = HalfDarkExecutors(link=Link(chunk_bytes=LISTING_BYTES // 10))
        context = make_context(executors, link_bytes_per_s=2 * LINK_BYTES_PER_S)
        async with trio.open_nursery() as nursery:
            ExecutorSessions(context=context, nursery=nursery).open()
            await trio.sleep(LEASE_S)
            nursery.cancel_scope.cancel()
        assert len(executors.listed) == EXECUTORS // 2


class HalfDarkExecutors(ExecutorsBehindLink):
    """Executors of which each second one does not answer."""

    async def renew(self, *, executor_id: str, wait_s: float, timeout_s: float, **rest: Any) -> Any:
        if int(executor_id.rpartition("-")[2]) % 2:
            await trio.sleep(timeout_s)
            return Failure(
                StepError(step="executor.renew", peer=executor_id, reason=Reason.TIMEOUT)
            )
        return await super().renew(
            executor_id=executor_id, wait_s=wait_s, timeout_s=timeout_s, **rest
        )
