"""When tasks restart whose executors are lost for good, several at a time, and then the leader.

Jobs had nothing running for 18 s with most of the capacity free. The next leader reached none of
the lost executors, waited for 10.5 s after its own fence until their leases had certainly expired,
and then started their tasks one by one on an eighth of the executors, as suspects of a crash:

    leader.loaded     jobs=120
    executor.lapsed   runs=10  cause=its leases expired before it answered again
    run.ended         cause=lapsed  start=inherited  at_work_s=0.00  blame=15 of 60
"""

from random import Random

import pytest
import trio
from returns.result import Result

from cell.cluster import TIMINGS, Cluster
from cell.rig import JOB, WALL, Harness, make_info, make_job, make_step
from cell.scenarios import check_all_end, run_scenario, submit_jobs
from cell.simulation import HostView, Simulation
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.crashes import AT_WORK_WEIGHT, START_DELAY_S, STARTUP_S
from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.coordination.cell.job_runs import MAX_DATED_TASKS, JobRun
from galenastall.coordination.cell.lease_clock import LeaseClock, longest_lease_s
from galenastall.coordination.cell.listings import ListedEnd, ListedRun
from galenastall.standin.cell.executors import Run
from galenastall.state.cell.executor_ids import make_executor_id
from galenastall.state.cell.job_limits import MAX_TASKS
from galenastall.state.cell.jobs import CellJob, Step, TaskKey
from galenastall.state.cell.leases import CLOCK_KEY, UNRESPONSIVE_KEY, decode_unresponsive
from galenastall.state.cell.rows import decode_rows, encode_progress
from galenastall.state.errors import StepError
from galenastall.state.resources import Resources

EXECUTORS = 24
RECORD_BYTES = 262_144
"""The platform's limit on a record."""
MAX_IDLE_S = 14.0
"""The platform's bound, `finish_s`, on the time from the end of the traffic to the last start."""
LONGEST_CUT_S = 6.4
"""The longest cut of a data centre so far, which a renewed lease has to outlast."""
MAX_AWAY_S = 9.0
"""The platform's bound on how long a task that lasts is away in a calm cell."""
RENEWED_LEASE_S = TIMINGS.renewal_s / (1 - TIMINGS.clock_rate_slack) + TIMINGS.lease_slack_s
"""When a lease has certainly expired after the poll that renewed it."""


def make_long_job(world: Simulation, number: int, *, is_long_running: bool = False) -> CellJob:
    need = Resources(cores_milli=500, memory_mb=500)
    step = Step(count=1, need=need, estimate_s=30.0, is_long_running=is_long_running)
    return CellJob(
        job_id=f"{number:016x}",
        queue=world.queue,
        payload="payload",
        steps=(step,),
        submitted_at=1_000.0 + trio.current_time(),
    )


def running_jobs(world: Simulation) -> set[str]:
    up = [executor for executor in world.executors.values() if executor.is_up]
    return {task.job for executor in up for task in executor.runs}


def all_runs(world: Simulation) -> dict[TaskKey, Run]:
    world.sweep()
    return {task: run for e in world.executors.values() for task, run in e.runs.items()}


def lose_busiest(world: Simulation, count: int) -> None:
    """Have the executors with the most runs stop for good; their entries stay for some seconds."""
    up = [executor for executor in world.executors.values() if executor.is_up]
    for executor in sorted(up, key=lambda each: len(each.runs), reverse=True)[:count]:
        world.crash(executor)
        world.nursery.start_soon(world._delist, executor)


async def wait_until_running(world: Simulation, jobs: set[str], timeout_s: float) -> float:
    """Return the seconds until all jobs have a run."""
    began_at = trio.current_time()
    with trio.move_on_after(timeout_s):
        while not running_jobs(world) >= jobs:
            await trio.sleep(0.05)
            world.sweep()
    return trio.current_time() - began_at


async def begin_jobs(cluster: Cluster, world: Simulation, jobs: int, every_s: float) -> set[str]:
    """Submit jobs of one long task each, and return them once all have a run."""
    world.fail_share = 0.0
    world.run_lasts_s = (60.0, 60.0)
    world.shows_progress = True
    await cluster.wait_for_leader()
    for number in range(jobs):
        cluster.nursery.start_soon(cluster.submit, make_long_job(world, number))
        await trio.sleep(every_s)
    expected = {f"{number:016x}" for number in range(jobs)}
    assert await wait_until_running(world, expected, 10.0) < 10.0
    return expected


class TestLostWithTheLeader:
    """Tasks of six lost executors start elsewhere in time, however often the leader changes."""

    @pytest.mark.parametrize("kills", [0, 1, 3])
    @pytest.mark.parametrize(
        "first_kill_s", [pytest.param(0.3, id="at once"), pytest.param(8.0, id="before the lapse")]
    )
    async def test_jobs_are_not_left_idle(
        self, kills: int, first_kill_s: float, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            jobs = await begin_jobs(cluster, world, 120, 0.03)
            await trio.sleep(1.0)
            lose_busiest(world, 3)
            await trio.sleep(0.9)
            lose_busiest(world, 3)
            lost_at = trio.current_time()
            await trio.sleep(first_kill_s)
            for _ in range(kills):
                killed = await cluster.wait_for_leader()
                cluster.kill(killed)
                await trio.sleep(1.0)
                await cluster.start(killed)
            await wait_until_running(world, jobs, 60.0)
            assert trio.current_time() - lost_at <= MAX_IDLE_S

        await run_scenario(scenario, seed=51, executors=EXECUTORS)

    async def test_tasks_that_had_just_begun_are_not_left_idle_either(
        self, autojump_clock: object
    ) -> None:
        # All of them are suspects: any of them may have crashed its executor at its start.
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            jobs = await begin_jobs(cluster, world, 120, 0.002)
            lose_busiest(world, 6)
            lost_at = trio.current_time()
            await wait_until_running(world, jobs, 60.0)
            assert trio.current_time() - lost_at <= MAX_IDLE_S

        await run_scenario(scenario, seed=52, executors=EXECUTORS)


async def cut_off_executors_and_kill_leaders(
    cluster: Cluster, world: Simulation, rng: Random
) -> None:
    """Cut executors off, or lose them, and change the leader meanwhile, for 60 s."""
    world.run_lasts_s = (1.0, 9.0)
    await cluster.wait_for_leader()
    until = trio.current_time() + 60.0
    cluster.nursery.start_soon(submit_jobs, cluster, world, rng, 80, 0.6)
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(0.2, 3.0))
        _disturb_some(cluster, world, rng)
        for _ in range(rng.randrange(4)):
            await trio.sleep(rng.uniform(0.3, 4.0))
            await _restart_leader(cluster, rng)
        await trio.sleep(rng.uniform(0.0, 9.0))
        world.faults.clear()
    await trio.sleep(20.0)
    await check_all_end(cluster)


def _disturb_some(cluster: Cluster, world: Simulation, rng: Random) -> None:
    names = sorted(name for name, executor in world.executors.items() if executor.is_up)
    for name in rng.sample(names, min(len(names), rng.randint(1, 3))):
        hosts = rng.sample(cluster.names, rng.randint(1, len(cluster.names)))
        pairs = {(host, name) for host in hosts}
        match rng.randrange(4):
            case 0 | 1:
                world.faults.cut |= pairs
            case 2:
                world.faults.answers_cut |= pairs
            case _:
                world.crash(world.executors[name])
                world.on_crashed_by_task(world.executors[name])
    if rng.random() < 0.2:
        world.faults.cut |= {(host, "store") for host in cluster.names}
    if rng.random() < 0.2:
        world.faults.slow_s = 0.25


async def _restart_leader(cluster: Cluster, rng: Random) -> None:
    leader = cluster.leader
    if leader is None:
        return
    cluster.kill(leader)
    await trio.sleep(rng.uniform(0.1, 1.5))
    await cluster.start(leader)


async def answer_while_the_store_is_down(cluster: Cluster, world: Simulation, rng: Random) -> None:
    """Let an executor answer after it was stored as silent, and cut it off from the next leader."""
    jobs = await begin_jobs(cluster, world, 12, 0.05)
    # After this, no lease granted by an earlier leader can still be valid.
    await trio.sleep(TIMINGS.lease_s + 1.0)
    leader = await cluster.wait_for_leader()
    name = max(world.executors, key=lambda each: len(world.executors[each].runs))
    world.faults.cut.add((leader, name))
    await trio.sleep(2.1)
    world.faults.cut = {(host, "store") for host in cluster.names}
    await trio.sleep(1.0)
    cluster.kill(leader)
    world.faults.cut = {(host, name) for host in cluster.names}
    await trio.sleep(10.0)
    assert running_jobs(world) >= jobs


class TestCutOffAndBack:
    """An executor that was stored as silent has its lease extended as soon as it answers."""

    @pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8])
    async def test_runs_outlast_the_cut_of_a_data_centre(
        self, phase_s: float, autojump_clock: object
    ) -> None:
        """Its next long poll went out before the row was durable, and extended nothing for 1 s."""

        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            jobs = await begin_jobs(cluster, world, 12, 0.05)
            await trio.sleep(TIMINGS.lease_s + 1.0 + phase_s)
            before = {(task, run.run) for task, run in all_runs(world).items()}
            world.faults.cut = {(host, "executor-1") for host in cluster.names}
            await trio.sleep(LONGEST_CUT_S)
            world.faults.clear()
            world.faults.slow_s = 0.1
            await trio.sleep(3.0)
            assert {(task, run.run) for task, run in all_runs(world).items()} == before
            assert running_jobs(world) >= jobs

        await run_scenario(scenario, seed=55, executors=4)


class TestCutOffWhileTheLeaderChanges:
    """A stored lease never lets a task run twice, also where its executor was only cut off."""

    @pytest.mark.parametrize("seed", [*range(6), 17])
    async def test_random_cuts_and_leaders(self, seed: int, autojump_clock: object) -> None:
        await run_scenario(cut_off_executors_and_kill_leaders, seed=seed, executors=6)

    async def test_an_executor_that_answers_while_the_store_is_down(
        self, autojump_clock: object
    ) -> None:
        await run_scenario(answer_while_the_store_is_down, seed=54, executors=4)

    async def test_without_holding_its_lease_its_tasks_run_twice(
        self, autojump_clock: object, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(LeaseClock, "hold", lambda self: None)
        with pytest.raises(AssertionError, match="runs twice"):
            await run_scenario(answer_while_the_store_is_down, seed=54, executors=4)


class LeaseHarness(Harness):
    """A core whose executors e1 and e2 run one task each, unless a later leader takes over."""

    def __init__(self, *infos: ExecutorInfo, rows: dict[str, bytes] | None = None) -> None:
        super().__init__(*(infos or (make_info("e1"), make_info("e2"))), rows=rows)

    @classmethod
    def with_runs(cls) -> "LeaseHarness":
        harness = cls()
        # After this, no lease granted by an earlier leader can still be valid.
        harness.pass_time(longest_lease_s(TIMINGS) + 0.2, "e1", "e2")
        harness.submit(make_job(make_step(2, cores=4000)))
        harness.confirm_starts(harness.step())
        return harness

    @classmethod
    def with_silent(cls, for_s: float) -> "LeaseHarness":
        """Return a core whose executor e1 has not answered for some seconds."""
        harness = cls.with_runs()
        harness.lose("e1")
        harness.pass_time(for_s, "e2")
        return harness

    def successor(self, *infos: ExecutorInfo) -> "LeaseHarness":
        """Return the core of the next leader, which reaches the executors given only."""
        return LeaseHarness(*(infos or (make_info("e2"),)), rows=self.rows)

    def pass_time(self, for_s: float, *answering: str) -> list[StartOrder]:
        """Decide and write each 0.1 s, while these executors answer; return the starts sent."""
        sent: list[StartOrder] = []
        for _ in range(round(for_s / 0.1)):
            self.now += 0.1
            for executor_id in answering:
                self.answer(executor_id)
            sent += self.step()
        return sent

    def listing(
        self, executor_id: str, running: tuple[ListedRun, ...] = (), *ended: ListedEnd
    ) -> None:
        """Apply a listing; without `running` it shows all runs of the ledger in progress."""
        there = self.core.executors_by_id[executor_id].runs_by_task
        all_runs = tuple(ListedRun(task=task, run=run) for task, run in there.items())
        super().listing(executor_id, running or all_runs, *ended)

    def answer(self, executor_id: str) -> None:
        """Have an executor list all its runs as in progress."""
        self.core.executors_by_id[executor_id].lost_at = None
        self.listing(executor_id)

    def lose(self, executor_id: str) -> None:
        """Note that a poll of an executor failed."""
        self.core.executors_by_id[executor_id].lost_at = self.now

    def check_lapses_in(self, for_s: float) -> None:
        """Check that the runs on e1 are kept until then, and not for much longer."""
        self.pass_time(for_s - 0.3, "e2")
        assert self.runs_on("e1")
        self.pass_time(0.6, "e2")
        assert not self.runs_on("e1")

    def stored_ids(self) -> list[str]:
        """Return the executors that the stored row names."""
        value = self.rows.get(UNRESPONSIVE_KEY)
        return [row.executor_id for row in decode_unresponsive(value)] if value else []


class TestStoredLeases:
    """The next leader knows when the leases of executors end that did not answer the last one."""

    def test_the_next_leader_does_not_begin_the_wait_anew(self) -> None:
        first = LeaseHarness.with_silent(4.0)
        second = first.successor()
        notes = [note for note in second.core.take_notes() if note.step == "executor.known_silent"]
        assert [note.subjects for note in notes] == [("e1",)]
        second.answer("e2")
        second.check_lapses_in(RENEWED_LEASE_S - 4.0)

    def test_neither_do_further_leaders(self) -> None:
        leader = LeaseHarness.with_silent(0.5)
        waited_s = 0.5
        while waited_s < RENEWED_LEASE_S - 1.0:
            leader = leader.successor()
            leader.answer("e2")
            leader.pass_time(1.0, "e2")
            waited_s += 1.0
            assert leader.runs_on("e1")
        leader.check_lapses_in(RENEWED_LEASE_S - waited_s)

    def test_a_leader_that_never_reached_it_passes_on_when_its_own_wait_ends(self) -> None:
        # The first leader is lost before it notices that the executor does not answer.
        first = LeaseHarness.with_runs()
        first.pass_time(1.0, "e1", "e2")
        second = first.successor()
        second.pass_time(5.0, "e2")
        third = second.successor()
        third.check_lapses_in(longest_lease_s(TIMINGS) - 5.0)

    def test_an_executor_that_was_only_cut_off_keeps_its_runs(self) -> None:
        """The second leader extends its lease; the third must not rely on the first one's row."""
        first = LeaseHarness.with_silent(4.0)
        second = first.successor(make_info("e1"), make_info("e2"))
        second.pass_time(6.0, "e1", "e2")
        assert second.stored_ids() == []
        third = second.successor()
        third.pass_time(longest_lease_s(TIMINGS) - 0.3, "e2")
        assert third.runs_on("e1")

    def test_no_lease_is_extended_before_the_row_is_durable_without_it(self) -> None:
        harness = LeaseHarness.with_silent(0.5)
        assert harness.stored_ids() == ["e1"]
        clock = harness.core.executors_by_id["e1"].clock
        last_ms = clock.promised_ms
        harness.now += 1.0
        harness.answer("e1")
        assert harness.core.has_changes
        assert clock.deadline_ms(confirmed_at=harness.now, now=harness.now) == last_ms
        batch = harness.core.take_batch()
        assert clock.deadline_ms(confirmed_at=harness.now, now=harness.now) == last_ms
        harness.core.commit(batch, wall=harness.wall)
        extended_ms = clock.deadline_ms(confirmed_at=harness.now, now=harness.now)
        assert extended_ms is not None
        assert extended_ms > last_ms

    def test_one_that_falls_silent_again_meanwhile_stays_held(self) -> None:
        harness = LeaseHarness.with_silent(0.5)
        harness.answer("e1")
        taken_out = harness.core.take_batch()
        harness.lose("e1")
        harness.now += 0.3
        harness.core.decide(now=harness.now, wall=harness.wall)
        named_again = harness.core.take_batch()
        harness.core.commit(taken_out, wall=harness.wall)
        assert UNRESPONSIVE_KEY in named_again.values_by_key
        clock = harness.core.executors_by_id["e1"].clock
        last_ms = clock.promised_ms
        assert clock.deadline_ms(confirmed_at=harness.now, now=harness.now) == last_ms

    def test_an_answer_extends_leases_again_without_a_decision_in_between(self) -> None:
        harness = LeaseHarness.with_silent(0.5)
        harness.answer("e1")
        harness.commit()
        assert harness.stored_ids() == []
        assert not harness.core.has_changes

    def test_an_executor_whose_runs_have_ended_is_not_named(self) -> None:
        harness = LeaseHarness.with_runs()
        harness.lose("e1")
        harness.pass_time(RENEWED_LEASE_S + 0.5, "e2")
        assert harness.stored_ids() == []

    def test_a_late_start_that_a_later_incarnation_may_carry_out_keeps_it_out(self) -> None:
        # That incarnation holds a lease by its own clock, which the row would not cover.
        executor_id = make_executor_id("e1", 5)
        harness = LeaseHarness(make_info(executor_id))
        harness.submit(make_job(make_step(1, cores=4000)))
        (order,) = harness.step()
        harness.core.late_orders.on_sent(order)
        harness.core.late_orders.on_unanswered(order, sent_at=harness.now)
        harness.lose(executor_id)
        harness.pass_time(1.0)
        assert harness.stored_ids() == []

    def test_nothing_is_written_before_the_state_is_loaded(self) -> None:
        """A new leader appends while it loads, and would replace the last reading of the clock."""
        harness = LeaseHarness.with_runs()
        stored = harness.rows[CLOCK_KEY]
        loading = LeaseHarness.__new__(LeaseHarness)
        Harness.__init__(loading, rows={})
        loading.core = type(loading.core)(timings=TIMINGS, fenced_at=100.0)
        loading.rows = dict(harness.rows)
        loading.commit()
        assert loading.rows[CLOCK_KEY] == stored

    def test_the_clock_is_written_at_most_five_times_a_second(self) -> None:
        harness = LeaseHarness.with_runs()
        written = 0
        for _ in range(100):
            harness.now += 0.025
            harness.core.decide(now=harness.now, wall=harness.wall)
            written += CLOCK_KEY in harness.core.take_batch().values_by_key
        assert 11 <= written <= 13

    @pytest.mark.parametrize("key", [CLOCK_KEY, UNRESPONSIVE_KEY])
    def test_unreadable_rows_leave_the_longest_wait(self, key: str) -> None:
        first = LeaseHarness.with_silent(4.0)
        first.rows[key] = b"\xc1"
        assert decode_rows(first.rows).unreadable == (key,)
        second = first.successor()
        second.pass_time(longest_lease_s(TIMINGS) - 0.3, "e2")
        assert second.runs_on("e1")


class TestFence:
    async def test_earlier_leaders_leases_count_from_the_confirmed_fence(
        self, autojump_clock: object, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """They counted from the claim, after which an earlier leader may still extend leases."""
        fenced_at: list[float] = []

        async def fence_late(self: HostView, *, token: int) -> Result[None, StepError]:
            await trio.sleep(0.8)
            fenced_at.append(trio.current_time())
            return await original(self, token=token)

        original = HostView.fence
        monkeypatch.setattr(HostView, "fence", fence_late)

        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            leader = await cluster.wait_for_leader()
            term = cluster.live[leader].host.leadership.term
            assert term is not None
            assert term.core.fenced_at >= fenced_at[-1]

        await run_scenario(scenario, seed=53)


class TestStartsAndLeases:
    """A start that a lost executor leaves unanswered kept all its runs away for 10.6 s."""

    def make(self) -> LeaseClock:
        clock = LeaseClock(timings=TIMINGS, unknown_until=0.0)
        clock.observe(clock_ms=70_000, received_at=100.0)
        return clock

    def test_a_start_does_not_extend_a_lease_that_a_poll_has_just_renewed(self) -> None:
        clock = self.make()
        polled_ms = clock.deadline_ms(confirmed_at=100.0, now=100.0)
        assert clock.start_deadline_ms(confirmed_at=101.0, now=101.0) == polled_ms
        assert clock.promised_ms == polled_ms

    def test_it_extends_one_that_is_short(self) -> None:
        clock = self.make()
        polled_ms = clock.deadline_ms(confirmed_at=100.0, now=100.0)
        assert polled_ms is not None
        now = 100.0 + TIMINGS.reach_s + 0.1
        start_ms = clock.start_deadline_ms(confirmed_at=now, now=now)
        assert start_ms is not None
        assert start_ms > polled_ms

    def test_a_lease_just_renewed_ends_in_time_for_a_task_that_lasts(self) -> None:
        """It has to start elsewhere, which takes a decision and an append."""
        assert RENEWED_LEASE_S + 0.2 <= MAX_AWAY_S

    @pytest.mark.parametrize("seed", range(4))
    async def test_a_task_that_lasts_is_back_in_time(
        self, seed: int, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            world.fail_share = 0.0
            world.run_lasts_s = (60.0, 60.0)
            await cluster.wait_for_leader()
            await trio.sleep(TIMINGS.lease_s + 1.0)
            lasting = make_long_job(world, 1, is_long_running=True)
            assert await cluster.submit(lasting)
            await trio.sleep(rng.uniform(1.0, 3.0))
            lose_busiest(world, 1)
            lost_at = trio.current_time()
            # Starts leave for the lost executor before the cell notices.
            for number in range(2, 30):
                cluster.nursery.start_soon(cluster.submit, make_long_job(world, number))
                await trio.sleep(0.05)
            await wait_until_running(world, {lasting.job_id}, 30.0)
            assert trio.current_time() - lost_at <= MAX_AWAY_S

        await run_scenario(scenario, seed=seed, executors=4)


class TestSuspicionUnderTheNextLeader:
    """Only tasks that may have been starting when their executor was lost become suspects."""

    def lose_with_leader(self, at_work_s: float) -> LeaseHarness:
        """Return the leader after one that lost e1 `at_work_s` after its run had started."""
        first = LeaseHarness.with_runs()
        first.pass_time(at_work_s, "e1", "e2")
        first.lose("e1")
        first.pass_time(2.0, "e2")
        second = first.successor()
        second.pass_time(RENEWED_LEASE_S, "e2")
        assert not second.core.executors_by_id["e1"].runs_by_task
        return second

    def task_of(self, harness: LeaseHarness) -> tuple[int, bool]:
        """Return the weight attributed to the task that was on e1, and whether it is suspect."""
        found = harness.core._state.find(TaskKey(JOB, 0, 0, 0))
        assert found is not None
        return found[2].blame, found[2].is_suspect

    def test_a_run_that_was_at_work_is_no_suspect(self) -> None:
        harness = self.lose_with_leader(START_DELAY_S + STARTUP_S + 0.2)
        assert self.task_of(harness) == (AT_WORK_WEIGHT, False)

    def test_one_that_was_at_work_for_long_is_not_blamed(self) -> None:
        assert self.task_of(self.lose_with_leader(12.0)) == (0, False)

    @pytest.mark.parametrize("at_work_s", [0.0, 0.3])
    def test_one_that_had_just_started_is_suspect(self, at_work_s: float) -> None:
        blame, is_suspect = self.task_of(self.lose_with_leader(at_work_s))
        assert blame > 0
        assert is_suspect

    def test_an_executor_lost_unnoticed_counts_as_lost_before_the_leader_would_notice(self) -> None:
        first = LeaseHarness.with_runs()
        first.pass_time(TIMINGS.reach_s + START_DELAY_S, "e1", "e2")
        second = first.successor()
        second.pass_time(longest_lease_s(TIMINGS) + 0.2, "e2")
        assert self.task_of(second)[1]

    def test_a_run_of_an_earlier_leader_is_not_starting_at_its_first_listing(self) -> None:
        # An executor that crashed right after a change of leader made suspects of all its tasks.
        first = LeaseHarness.with_runs()
        first.pass_time(3.0, "e1", "e2")
        second = first.successor(make_info("e1", host="h"), make_info("e2"))
        second.answer("e1")
        second.core.on_address_reused("e1", wall=second.wall)
        assert self.task_of(second) == (AT_WORK_WEIGHT, False)

    def test_a_run_without_a_time_of_assignment_is_suspect(self) -> None:
        """Rows written before the time was stored do not tell how long it was at work."""
        first = LeaseHarness.with_runs()
        first.pass_time(4.0, "e1", "e2")
        for run in first.core.jobs_by_id[JOB].assigned():
            run.assigned_ms = 0
        first.core._state.dirty_jobs.add(JOB)
        first.commit()
        second = first.successor()
        second.pass_time(longest_lease_s(TIMINGS) + 0.2, "e2")
        assert self.task_of(second)[1]

    @pytest.mark.parametrize("tasks", [MAX_DATED_TASKS, MAX_TASKS])
    def test_a_row_of_many_tasks_fits_into_a_record(self, tasks: int) -> None:
        """The store refuses one that does not, on each retry, and with it all other writes."""
        run = JobRun(job=make_job(make_step(tasks)))
        run.open_due(WALL)
        for task in run.tasks():
            task.assign(run=200, executor_id="i-" + "0" * 10, now=0.0)
            task.assigned_ms = 40_000_000_000
            task.checkpoint = "0" * 16
            task.unanswered_by = task.executor_id
        assert len(encode_progress(run.row())) < RECORD_BYTES

    def test_a_task_that_was_cleared_is_not_suspect_again(self) -> None:
        harness = self.lose_with_leader(START_DELAY_S + STARTUP_S + 0.2)
        assert self.task_of(harness)[0] > 0
        harness.commit()
        assert not self.task_of(harness.successor())[1]
