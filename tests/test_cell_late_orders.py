"""Orders that are carried out late, by a later incarnation of their executor, without tickets."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random

import pytest
import trio

from cell.advised import AdvisedHarness
from cell.cluster import Cluster, make_job
from cell.rig import TIMINGS, Harness, make_info, make_step
from cell.rig import make_job as make_rig_job
from cell.scenarios import check_all_end, run_scenario
from cell.simulation import Simulation
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.late_orders import LateOrders
from galenastall.coordination.cell.lease_clock import longest_lease_s
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.coordination.cell.wait_reasons import WaitReason
from galenastall.state.cell.executor_ids import make_executor_id
from galenastall.state.cell.jobs import CellJob, Step, TaskKey
from galenastall.state.cell.phases import JobPhase, RunEnd
from galenastall.state.resources import Resources

NAME = "executor-1"
DOWNTIME_S = 0.2


def make_single(world: Simulation, rng: Random, number: int) -> CellJob:
    """Return a job of one task."""
    step = Step(count=1, need=Resources(cores_milli=1000, memory_mb=1000))
    return replace(make_job(world, rng, number), steps=(step,))


class LateOrderRig:
    """A cluster whose first executor restarts at set times, while chosen calls come late."""

    def __init__(self, *, cluster: Cluster, world: Simulation, rng: Random) -> None:
        self.cluster = cluster
        self.world = world
        self.rng = rng
        self.began_at = 0.0
        self._jobs = 0

    async def begin(self, *, lasts_s: float = 0.2) -> None:
        """Wait for a leader that may start work."""
        self.world.fail_share = 0.0
        self.world.run_lasts_s = (lasts_s, lasts_s)
        await self.cluster.wait_for_leader()
        await trio.sleep(1.0)
        self.began_at = trio.current_time()

    async def submit(self) -> CellJob:
        """Submit a job of one task."""
        self._jobs += 1
        job = make_single(self.world, self.rng, self._jobs)
        assert await self.cluster.submit(job)
        return job

    async def at(self, after_s: float) -> None:
        """Wait until `after_s` seconds after the beginning."""
        await trio.sleep_until(self.began_at + after_s)

    @contextmanager
    def cut(self) -> Iterator[None]:
        """Cut the executor off from all hosts."""
        pairs = {(host, NAME) for host in self.cluster.names}
        self.world.faults.cut |= pairs
        yield
        self.world.faults.cut -= pairs

    async def restart(self) -> None:
        """Restart the executor under its id."""
        self.world.crash(self.world.executors[NAME])
        await trio.sleep(DOWNTIME_S)
        self.world.start_executor("host-0")

    async def restart_behind_cut(self, *, until_s: float) -> None:
        """Restart the executor while no host reaches it, until `until_s` after the beginning."""
        with self.cut():
            await self.restart()
            await self.at(until_s)

    def starts_of(self, job: CellJob) -> int:
        """Return how many times a job's task has started."""
        return len(self.world.starts_of[TaskKey(job.job_id, 0, 0, 0)])

    async def check_ran_once(self, job: CellJob) -> None:
        """Check that a job ends, and that its task has started once."""
        await check_all_end(self.cluster)
        assert await self.cluster.phase(job.job_id) is JobPhase.COMPLETED
        await trio.sleep(20.0)
        assert self.starts_of(job) == 1


class TestLateStarts:
    """Without these rules a task starts after its end was noted, or runs twice."""

    async def test_an_earlier_copy_of_a_start_is_carried_out_after_the_run_was_done(
        self, autojump_clock: object
    ) -> None:
        # The second copy ran and its end was noted; the first came 3 s late, after a restart.
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            rig = LateOrderRig(cluster=cluster, world=world, rng=rng)
            await rig.begin()
            world.faults.late_starts_s = [3.0]
            job = await rig.submit()
            await rig.at(2.5)
            await rig.restart_behind_cut(until_s=3.8)
            await rig.check_ran_once(job)

        await run_scenario(scenario, seed=1, executors=1, keeps_ids=True)

    async def test_a_run_lost_in_a_restart_runs_elsewhere_as_its_start_is_carried_out(
        self, autojump_clock: object
    ) -> None:
        # The start came after a second restart, while the task ran again on the other executor.
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            rig = LateOrderRig(cluster=cluster, world=world, rng=rng)
            await rig.begin(lasts_s=8.0)
            world.faults.late_starts_s = [6.0]
            capacity = world.executors[NAME].info.capacity
            world.resize(world.executors["executor-2"], Resources())
            await trio.sleep(1.0)
            await rig.submit()
            world.resize(world.executors["executor-2"], capacity)
            await rig.at(1.3)
            await rig.restart()
            world.resize(world.executors[NAME], Resources())
            await rig.at(6.2)
            world.resize(world.executors[NAME], capacity)
            await rig.restart_behind_cut(until_s=8.0)
            await check_all_end(cluster)

        await run_scenario(scenario, seed=1, executors=2, keeps_ids=True)

    async def test_a_run_counted_as_lost_is_carried_out_late_and_its_end_is_dropped(
        self, autojump_clock: object
    ) -> None:
        # The end of the only run was acknowledged and ignored, and the task started again.
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            rig = LateOrderRig(cluster=cluster, world=world, rng=rng)
            await rig.begin()
            world.faults.late_starts_s = [6.0]
            job = await rig.submit()
            await rig.at(0.2)
            await rig.restart()
            await rig.at(5.5)
            await rig.restart_behind_cut(until_s=6.8)
            await rig.check_ran_once(job)

        await run_scenario(scenario, seed=1, executors=1, keeps_ids=True)


class TestLateAcknowledgements:
    """Without these rules an incarnation forgets ends that nobody has read."""

    async def test_an_acknowledgement_sent_before_a_start_is_carried_out_after_the_run(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            rig = LateOrderRig(cluster=cluster, world=world, rng=rng)
            await rig.begin()
            world.faults.late_acks_s = [4.0]
            await rig.submit()
            await rig.at(0.6)
            assert not world.faults.late_acks_s
            world.faults.late_starts_s = [3.0]
            job = await rig.submit()
            await rig.at(2.7)
            assert not world.faults.late_starts_s
            await rig.restart_behind_cut(until_s=5.0)
            await rig.check_ran_once(job)

        await run_scenario(scenario, seed=1, executors=1, keeps_ids=True)

    async def test_an_acknowledgement_sent_after_a_start_is_carried_out_after_the_run(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, world: Simulation, rng: Random) -> None:
            rig = LateOrderRig(cluster=cluster, world=world, rng=rng)
            await rig.begin()
            world.run_lasts_s = (0.8, 0.8)
            await rig.submit()
            await rig.at(0.2)
            world.run_lasts_s = (0.2, 0.2)
            world.faults.late_starts_s = [3.0]
            world.faults.late_acks_s = [3.0]
            job = await rig.submit()
            await rig.at(2.7)
            assert not world.faults.late_starts_s
            await rig.restart_behind_cut(until_s=5.0)
            world.faults.late_acks_s.clear()
            await rig.check_ran_once(job)

        await run_scenario(scenario, seed=1, executors=1, keeps_ids=True)


EARLIER = make_executor_id("e", 1_000)
LATER = make_executor_id("e", 2_000)
OTHER = make_executor_id("f", 1_000)
LATE_S = TIMINGS.late_order_s


class UnansweredRig(Harness):
    """A core whose only executor has left a start without an answer."""

    def __init__(self) -> None:
        super().__init__(make_info(EARLIER, host="h"))
        self.submit(make_rig_job(make_step(1)))
        (self.order,) = self.step()
        self.sent_at = self.now
        self.core.late_orders.on_sent(self.order)
        self.core.late_orders.on_unanswered(self.order, sent_at=self.sent_at)
        self.core.on_start(self.order, StartOutcome.UNKNOWN, now=self.now, wall=self.wall)
        self.commit()

    @property
    def listed_run(self) -> ListedRun:
        return ListedRun(task=self.order.task, run=self.order.run)


def starts_at(rig: Harness, executor_id: str, now: float) -> list[StartOrder]:
    """Let an executor list nothing at `now`, and return the starts that are sent then."""
    rig.now = now
    rig.listing(executor_id)
    return rig.step()


class TestTasksWithAnUnansweredStart:
    def test_a_run_lost_in_a_restart_waits_until_its_start_can_not_come(self) -> None:
        rig = UnansweredRig()
        rig.update_fleet(make_info(LATER, host="h"))
        assert starts_at(rig, LATER, rig.now) == []
        reasons = rig.core._placer.observations
        assert reasons.reason_of(rig.order.task.step_key) is WaitReason.START_UNANSWERED
        assert starts_at(rig, LATER, rig.sent_at + LATE_S - 0.1) == []
        (order,) = starts_at(rig, LATER, rig.sent_at + LATE_S)
        assert order.run == rig.order.run + 1

    def test_a_new_leader_waits_for_starts_of_runs_that_no_executor_lists(self) -> None:
        rig = UnansweredRig()
        following = Harness(rows=rig.rows)
        began_at = following.now
        following.update_fleet(make_info(EARLIER, host="h"))
        assert starts_at(following, EARLIER, began_at + LATE_S - 0.1) == []
        assert len(starts_at(following, EARLIER, began_at + LATE_S)) == 1

    def test_a_new_leader_knows_of_the_unanswered_start_of_a_run_that_was_lost(self) -> None:
        rig = UnansweredRig()
        rig.update_fleet(make_info(LATER, host="h"))
        assert starts_at(rig, LATER, rig.now) == []
        following = Harness(rows=rig.rows)
        began_at = following.now
        following.update_fleet(make_info(LATER, host="h"))
        assert starts_at(following, LATER, began_at + LATE_S - 0.1) == []
        assert len(starts_at(following, LATER, began_at + LATE_S)) == 1

    def test_a_new_leader_knows_of_a_start_that_was_under_way_as_its_run_was_lost(self) -> None:
        rig = Harness(make_info(EARLIER, host="h"))
        rig.submit(make_rig_job(make_step(1)))
        (order,) = rig.step()
        rig.core.late_orders.on_sent(order)
        rig.update_fleet(make_info(LATER, host="h"))
        assert starts_at(rig, LATER, rig.now) == []
        following = Harness(rows=rig.rows)
        following.update_fleet(make_info(LATER, host="h"))
        assert starts_at(following, LATER, following.now) == []

    def test_a_new_leader_does_not_wait_where_starts_had_tickets(self) -> None:
        rig = AdvisedHarness(executors=0, hosts=4)
        rig.update_fleet(make_info(EARLIER, host="h"))
        rig.listing(EARLIER)
        rig.hand_in(make_step(1))
        (request,) = rig.asks()
        rig.answer(request)
        assert [order.executor_id for order in rig.step()] == [EARLIER]
        following = Harness(rows=rig.rows)
        assert following.runs_on(EARLIER)
        assert not following.core.late_orders.may_come_to("e", now=following.now)

    def test_a_new_leader_does_not_wait_where_the_run_is_listed(self) -> None:
        rig = UnansweredRig()
        following = Harness(rows=rig.rows)
        following.update_fleet(make_info(EARLIER, host="h"))
        following.listing(EARLIER, (rig.listed_run,))
        assert not following.core.late_orders.may_come_to("e", now=following.now)

    def test_a_start_may_run_for_a_lease_on_an_executor_that_is_not_reached(self) -> None:
        rig = UnansweredRig()
        rig.update_fleet(make_info(EARLIER, host="h"), make_info(OTHER, host="g"))
        until = rig.sent_at + LATE_S + longest_lease_s(TIMINGS)
        assert starts_at(rig, OTHER, rig.sent_at + LATE_S) == []
        assert starts_at(rig, OTHER, until - 0.1) == []
        assert [order.executor_id for order in starts_at(rig, OTHER, until)] == [OTHER]

    def test_an_executor_under_another_name_on_its_host_ends_the_wait(self) -> None:
        rig = UnansweredRig()
        rig.update_fleet(make_info(OTHER, host="h"))
        assert len(starts_at(rig, OTHER, rig.now)) == 1

    def test_a_run_that_was_lost_and_is_listed_counts_again(self) -> None:
        rig = UnansweredRig()
        rig.update_fleet(make_info(LATER, host="h"))
        rig.listing(LATER)
        rig.listing(LATER, (rig.listed_run,))
        assert rig.stops() == []
        assert rig.runs_on(LATER) == {rig.order.task}
        rig.end(replace(rig.order, executor_id=LATER), RunEnd.DONE)
        rig.commit()
        assert rig.shown() is JobPhase.COMPLETED

    def test_a_late_member_is_stopped_before_its_gang_starts_again(self) -> None:
        # The gang's next run began while the member was still in progress.
        rig = Harness(make_info(EARLIER, host="h"))
        rig.submit(make_rig_job(make_step(2, is_gang=True)))
        late, answered = rig.step()
        rig.core.late_orders.on_sent(late)
        rig.core.late_orders.on_unanswered(late, sent_at=rig.now)
        rig.core.on_start(late, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        rig.confirm_starts([answered])
        rig.update_fleet(make_info(LATER, host="h"), make_info(OTHER, host="g"))
        rig.listing(OTHER)
        assert starts_at(rig, LATER, rig.now) == []
        rig.listing(LATER, (ListedRun(task=late.task, run=late.run),))
        assert [stop.task for stop in rig.stops()] == [late.task]
        assert rig.commit() == []
        rig.end(replace(late, executor_id=LATER), RunEnd.STOPPED)
        assert {order.run for order in rig.step()} == {late.run + 1}

    def test_a_failure_that_is_read_after_the_run_was_lost_is_an_attempt(self) -> None:
        rig = UnansweredRig()
        rig.update_fleet(make_info(LATER, host="h"))
        rig.listing(LATER)
        rig.end(replace(rig.order, executor_id=LATER), RunEnd.FAILED)
        task = rig.core.jobs_by_id[rig.order.task.job].find_task(rig.order.task)
        assert task is not None
        assert task.failures == 1


TASK = TaskKey("0" * 16, 0, 0, 0)
ORDER = StartOrder(task=TASK, run=3, executor_id=EARLIER, payload="")


class TestStartsThatALaterIncarnationAnswers:
    """Such a start ran while its task was started elsewhere, beside runs that filled its place."""

    def test_the_task_waits_for_the_listing_that_shows_the_run(self) -> None:
        earlier, later = make_info(EARLIER, host="h"), make_info(LATER, host="h")
        rig = Harness(earlier)
        rig.submit(make_rig_job(make_step(1, cores=3000)))
        (order,) = rig.step()
        rig.core.late_orders.on_sent(order)
        rig.update_fleet(earlier, later, make_info("e2"))
        rig.listing(LATER)
        rig.listing("e2")
        assert not rig.core.is_assigned(order)
        rig.core.on_started_later(order, sent_at=rig.now, now=rig.now)
        rig.submit(make_rig_job(make_step(2, cores=3000), job_id="f" * 16))
        assert {each.executor_id for each in rig.step()} == {"e2"}
        assert rig.core.executors_by_id[LATER].needs_listing
        rig.now += 0.1
        rig.listing(LATER, (ListedRun(task=order.task, run=order.run),))
        assert rig.runs_on(LATER) == {order.task}
        assert rig.step() == []


class TestLateOrders:
    def make(self, order: StartOrder = ORDER) -> LateOrders:
        """Return records of one start, sent at 100 s without an answer."""
        late_orders = LateOrders(late_s=10.0, lease_s=5.0)
        late_orders.on_sent(order)
        late_orders.on_unanswered(order, sent_at=100.0)
        return late_orders

    @pytest.mark.parametrize(
        ("listed_at", "now", "sent_to"),
        [
            (100.0, 100.0, EARLIER),
            (109.9, 110.0, EARLIER),
            (110.0, 110.0, ""),
            (109.9, 114.9, EARLIER),
            (109.9, 115.0, ""),
        ],
    )
    def test_an_unanswered_start_may_take_effect_until_a_later_listing_or_its_lease_s_end(
        self, listed_at: float, now: float, sent_to: str
    ) -> None:
        late_orders = self.make()
        late_orders.on_listing("e", now=listed_at)
        assert late_orders.may_come_to("e", now=now) is bool(sent_to)
        assert late_orders.sent_to(TASK, now=now) == sent_to

    @pytest.mark.parametrize(
        "order", [replace(ORDER, ticket="t"), replace(ORDER, executor_id="no-birth")]
    )
    def test_a_start_that_no_later_incarnation_accepts_is_not_waited_for(
        self, order: StartOrder
    ) -> None:
        assert self.make(order).sent_to(TASK, now=100.0) == ""

    def test_a_start_may_come_until_it_is_answered(self) -> None:
        late_orders = LateOrders(late_s=10.0, lease_s=5.0)
        late_orders.on_sent(ORDER)
        assert late_orders.may_come_to("e", now=1_000.0)
        late_orders.on_answered(ORDER)
        assert not late_orders.may_come_to("e", now=0.0)

    def test_a_listed_run_ends_the_wait_and_names_the_incarnation_it_was_meant_for(self) -> None:
        late_orders = self.make()
        assert late_orders.on_listed(TASK, 2) == ""
        assert late_orders.on_listed(TASK, 3) == EARLIER
        assert late_orders.on_listed(TASK, 3) == ""
        assert not late_orders.may_come_to("e", now=100.0)

    def test_a_run_that_is_listed_before_its_answer_is_not_late(self) -> None:
        late_orders = LateOrders(late_s=10.0, lease_s=5.0)
        late_orders.on_sent(ORDER)
        assert late_orders.on_listed(TASK, 3) == ""
        late_orders.on_unanswered(ORDER, sent_at=100.0)
        assert late_orders.sent_to(TASK, now=100.0) == ""

    def test_a_name_that_is_not_used_again_is_dropped(self) -> None:
        late_orders = self.make()
        late_orders.drop_name("e")
        assert late_orders.sent_to(TASK, now=100.0) == ""
