"""Scheduling rules of a cell's leader, without I/O; one topic per class."""

from dataclasses import replace

import pytest

from cell.rig import JOB, QUEUE, TIMINGS, WALL, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.advice import AdviceTable, Approval
from galenastall.coordination.cell.commands import AdviceRequest, StartOrder
from galenastall.coordination.cell.election import Election, ElectionAction, ReceivedHeartbeat
from galenastall.coordination.cell.lease_clock import LeaseClock
from galenastall.coordination.cell.listings import ListedEnd, ListedRun, Listing
from galenastall.coordination.cell.objectives import lateness_rank, longest_chain_s
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.state.cell.jobs import (
    AdvisorTiming,
    Queue,
    Recurrence,
    Step,
    TaskKey,
)
from galenastall.state.cell.leases import CLOCK_KEY
from galenastall.state.cell.phases import JobPhase, RunEnd


class TestElection:
    def make(self) -> Election:
        return Election(timings=TIMINGS, jitter_s=0.1, may_start=False, weight=1.0)

    def beat(self, election: Election, token: int, now: float, age: float = 0.0) -> bool:
        beat = ReceivedHeartbeat(
            token=token, leader=f"h{token}", received_at=now, confirm_age_s=age
        )
        return election.on_heartbeat(beat)

    def test_a_healthy_leader_is_not_replaced(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        assert election.next_action(10.2) is ElectionAction.WAIT

    def test_an_unresponsive_leader_whose_log_advances_is_not_replaced(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        for step in range(40):
            now = 11.0 + step * 0.21
            assert election.next_action(now) is ElectionAction.POLL_STORE
            election.on_store_view(token=3, log_end=step, now=now)

    def test_an_unresponsive_leader_whose_log_is_stalled_is_replaced(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        moves = []
        for step in range(7):
            now = 11.0 + step * 0.21
            moves.append(election.next_action(now))
            election.on_store_view(token=3, log_end=7, now=now)
        assert moves[0] is ElectionAction.POLL_STORE
        assert moves[-1] is ElectionAction.CLAIM

    def test_a_log_end_that_could_not_be_read_does_not_count_as_stalled(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        election.on_store_view(token=3, log_end=7, now=11.0)
        claimed_at = 0.0
        for step in range(20):
            now = 17.0 + step * 0.05
            move = election.next_action(now)
            if move is ElectionAction.POLL_STORE:
                election.on_store_view(token=3, log_end=7, now=now)
            if move is ElectionAction.CLAIM:
                claimed_at = now
                break
        assert claimed_at >= 17.0 + TIMINGS.log_end_stalled_s

    def test_a_leader_that_the_store_does_not_confirm_is_replaced(self) -> None:
        election = self.make()
        claimed_at = 0.0
        for step in range(30):
            now = 10.0 + step * 0.1
            self.beat(election, 3, now, age=step * 0.1)
            move = election.next_action(now)
            if move is ElectionAction.POLL_STORE:
                election.on_store_view(token=3, log_end=7, now=now)
            if move is ElectionAction.CLAIM:
                claimed_at = now
                break
        assert 11.2 < claimed_at < 12.6

    def test_a_claim_without_a_leader_does_not_hide_the_current_leader(self) -> None:
        election = self.make()
        self.beat(election, 4, 10.0)
        election.on_store_view(token=5, log_end=7, now=10.1)
        assert self.beat(election, 4, 10.2)
        assert election.leader == "h4"

    def test_heartbeats_of_an_older_leader_are_ignored_after_those_of_a_newer_one(self) -> None:
        election = self.make()
        self.beat(election, 5, 10.0)
        assert not self.beat(election, 4, 10.1)
        assert election.leader == "h5"

    def test_a_host_that_withdrew_waits(self) -> None:
        election = self.make()
        election.withdraw(100.0)
        for step in range(20):
            election.on_store_view(token=1, log_end=7, now=10.0 + step * 0.21)
            assert election.next_action(10.05 + step * 0.21) is not ElectionAction.CLAIM


class TestLeaseClock:
    def make(self) -> LeaseClock:
        return LeaseClock(timings=TIMINGS, unknown_until=50.0)

    def test_no_deadline_is_set_before_the_first_answer(self) -> None:
        assert self.make().deadline_ms(confirmed_at=1.0, now=1.0) is None

    def test_a_deadline_reaches_one_renewal_ahead(self) -> None:
        clock = self.make()
        clock.observe(clock_ms=70_000, received_at=100.0)
        assert clock.deadline_ms(confirmed_at=100.0, now=100.0) == 78_300
        assert clock.deadline_ms(confirmed_at=101.0, now=101.5) == 79_800

    def test_a_deadline_reaches_no_further_than_one_lease_beyond_the_confirmation(self) -> None:
        clock = self.make()
        clock.observe(clock_ms=70_000, received_at=100.0)
        assert clock.deadline_ms(confirmed_at=99.0, now=101.0) == 79_000
        assert clock.deadline_ms(confirmed_at=99.0, now=104.0) == 79_000

    def test_expiry_counts_from_the_latest_deadline_with_a_slow_clock(self) -> None:
        clock = self.make()
        clock.observe(clock_ms=70_000, received_at=100.0)
        clock.deadline_ms(confirmed_at=100.0, now=100.0)
        assert clock.promised_ms == 78_300
        assert not clock.has_lapsed(108.7)
        assert clock.has_lapsed(108.9)

    def test_an_executor_never_reached_expires_with_earlier_leaders_leases(self) -> None:
        clock = self.make()
        assert not clock.has_lapsed(49.9)
        assert clock.has_lapsed(50.0)


class TestPlacement:
    def test_starts_leave_only_once_they_are_durable(self) -> None:
        harness = Harness(make_info("e1"))
        harness.core.submit(make_job(make_step(2)), wall=harness.wall)
        harness.core.decide(now=harness.now, wall=harness.wall)
        batch = harness.core.take_batch()
        assert len(batch.starts) == 2
        assert set(batch.values_by_key) == {f"job/{JOB}", f"run/{JOB}", CLOCK_KEY}
        assert len(harness.core.commit(batch, wall=harness.wall)) == 2

    def test_no_more_is_placed_than_fits(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(20, cores=1500)))
        orders = harness.step()
        assert sorted(order.executor_id for order in orders) == ["e1", "e1", "e2", "e2"]

    def test_a_gang_starts_completely_or_not_at_all(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(5, is_gang=True)))
        assert harness.step() == []
        harness.update_fleet(make_info("e1"), make_info("e2"))
        harness.listing("e2")
        orders = harness.step()
        assert len(orders) == 5
        assert {order.run for order in orders} == {1}

    def test_most_per_executor_is_kept(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(6, cores=100, most_per_executor=2)))
        orders = harness.step()
        assert sorted(order.executor_id for order in orders) == ["e1", "e1", "e2", "e2"]

    def test_a_label_that_is_required_must_be_there(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1, label="b")))
        assert harness.step() == []

    def test_the_data_s_rack_is_preferred(self) -> None:
        near = replace(make_info("e2"), rack="r2")
        harness = Harness(make_info("e1"), near)
        harness.submit(make_job(make_step(1, data_rack="r2")))
        assert [order.executor_id for order in harness.step()] == ["e2"]

    def test_a_later_step_waits_for_all_tasks_before_it(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2), make_step(1, after=(0,))))
        orders = harness.step()
        harness.confirm_starts(orders)
        assert [order.task.step for order in orders] == [0, 0]
        harness.end(orders[0], RunEnd.DONE, 1)
        assert harness.step() == []
        harness.end(orders[1], RunEnd.DONE, 2)
        assert [order.task.step for order in harness.step()] == [1]

    def test_a_draining_executor_gets_nothing(self) -> None:
        harness = Harness(make_info("e1"))
        harness.update_fleet(replace(make_info("e1"), is_draining=True))
        harness.submit(make_job(make_step(1)))
        assert harness.step() == []

    def test_an_executor_that_has_not_answered_lately_gets_nothing(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        harness.now += 5.0
        assert harness.step() == []

    def test_nothing_is_placed_while_assignments_can_not_be_written(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        harness.core.decide(now=harness.now, wall=harness.wall, may_place=False)
        assert harness.commit() == []

    def test_the_job_with_the_earliest_objective_goes_first(self) -> None:
        harness = Harness(make_info("e1", cores=1000))
        harness.submit(make_job(make_step(1, estimate_s=9.0), job_id="a" * 16))
        harness.submit(make_job(make_step(1, estimate_s=1.0), job_id="b" * 16))
        assert [order.task.job for order in harness.step()] == ["b" * 16]

    def test_a_gang_that_wants_one_rack_gets_one_if_it_has_room(self) -> None:
        harness = Harness(
            make_info("e1"),
            replace(make_info("e2"), rack="r2"),
            replace(make_info("e3"), rack="r2"),
        )
        harness.submit(make_job(make_step(6, is_gang=True, wants_one_rack=True)))
        assert {order.executor_id for order in harness.step()} == {"e2", "e3"}

    def test_late_urgent_work_goes_before_work_with_time_to_spare(self) -> None:
        harness = Harness(make_info("e1", cores=1000))
        urgent = replace(QUEUE, name="urgent", priority=0)
        harness.core.set_queues([QUEUE, urgent])
        harness.submit(make_job(make_step(1, estimate_s=60.0), job_id="a" * 16))
        harness.submit(make_job(make_step(1, estimate_s=1.0), job_id="b" * 16, queue=urgent))
        harness.now += 4.0
        harness.listing("e1")
        assert [order.task.job for order in harness.step()] == ["b" * 16]

    def test_worthless_work_goes_last(self) -> None:
        harness = Harness(make_info("e1", cores=1000))
        urgent = replace(QUEUE, name="urgent", priority=0)
        harness.core.set_queues([QUEUE, urgent])
        harness.submit(make_job(make_step(1, estimate_s=60.0), job_id="a" * 16))
        harness.submit(make_job(make_step(1, estimate_s=1.0), job_id="b" * 16, queue=urgent))
        harness.now += 20.0
        harness.listing("e1")
        assert [order.task.job for order in harness.step()] == ["a" * 16]


class TestReservations:
    """Capacity that blocked steps wait for is reserved from lower-priority steps."""

    def fill(self, harness: Harness, cores: int) -> StartOrder:
        """Run a task with this many cores, in thousandths, on e1."""
        harness.submit(make_job(make_step(1, cores=cores), job_id="f" * 16))
        (order,) = harness.step()
        harness.confirm_starts([order])
        return order

    def wait(
        self, harness: Harness, name: str, *steps: Step, estimate_s: float, queue: Queue = QUEUE
    ) -> None:
        steps = tuple(replace(step, estimate_s=estimate_s) for step in steps)
        harness.submit(make_job(*steps, job_id=name * 16, queue=queue))

    def test_a_large_task_is_not_starved_by_small_ones(self) -> None:
        harness = Harness(make_info("e1"))
        before = self.fill(harness, 1000)
        self.wait(harness, "a", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(harness, "b", make_step(3, cores=1000), estimate_s=9.0)
        assert harness.step() == []
        harness.end(before, RunEnd.DONE)
        assert [order.task.job for order in harness.step()] == ["a" * 16]

    def test_capacity_beside_a_reservation_is_used(self) -> None:
        harness = Harness(make_info("e1", cores=6000))
        self.fill(harness, 3000)
        self.wait(harness, "a", make_step(1, cores=2000), estimate_s=20.0)
        assert len(harness.step()) == 1
        self.wait(harness, "c", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(harness, "b", make_step(1, cores=1000), estimate_s=9.0)
        assert harness.step() == []
        harness.update_fleet(make_info("e1", cores=6000), make_info("e2", cores=1000))
        harness.listing("e2")
        assert [order.executor_id for order in harness.step()] == ["e2"]

    def test_tasks_that_end_before_the_reservation_may_use_it(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1, cores=1000, estimate_s=8.0), job_id="f" * 16))
        harness.confirm_starts(harness.step())
        self.wait(harness, "a", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(harness, "b", make_step(1, cores=1000), estimate_s=7.0)
        self.wait(harness, "c", make_step(1, cores=1000), estimate_s=4.0)
        assert [order.task.job for order in harness.step()] == ["c" * 16]

    def test_capacity_that_will_be_free_beside_a_reservation_may_be_used(self) -> None:
        harness = Harness(make_info("e1", cores=6000))
        for name in ("f", "g"):
            harness.submit(make_job(make_step(1, cores=2500), job_id=name * 16))
            harness.confirm_starts(harness.step())
        self.wait(harness, "a", make_step(1, cores=5000), estimate_s=1.0)
        self.wait(harness, "b", make_step(2, cores=1000), estimate_s=9.0)
        assert [order.task.job for order in harness.step()] == ["b" * 16]

    def test_a_gang_that_can_not_reserve_all_its_capacity_blocks_nothing(self) -> None:
        harness = Harness(*(make_info(f"e{number}") for number in range(4)))
        for name in "0123":
            harness.submit(make_job(make_step(1, cores=3000, estimate_s=9.0), job_id=name * 16))
            harness.confirm_starts(harness.step())
        for name in "ab":
            gang = make_step(3, cores=4000, is_gang=True)
            self.wait(harness, name, gang, estimate_s=1.0)
        self.wait(harness, "c", make_step(4, cores=1000), estimate_s=20.0)
        # The first gang reserves three executors; the second reserves nothing on the fourth.
        assert [order.executor_id for order in harness.step()] == ["e3"]

    def test_urgent_work_may_use_reserved_capacity(self) -> None:
        harness = Harness(make_info("e1"))
        urgent = replace(QUEUE, name="urgent", priority=0)
        harness.core.set_queues([QUEUE, urgent])
        self.fill(harness, 1000)
        self.wait(harness, "a", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(harness, "b", make_step(1, cores=1000), estimate_s=9.0, queue=urgent)
        assert [order.task.job for order in harness.step()] == ["b" * 16]

    def test_a_gang_that_never_fits_reserves_nothing(self) -> None:
        harness = Harness(make_info("e1"))
        self.wait(harness, "a", make_step(5, cores=1000, is_gang=True), estimate_s=1.0)
        self.wait(harness, "b", make_step(1, cores=1000), estimate_s=9.0)
        assert [order.task.job for order in harness.step()] == ["b" * 16]

    def test_a_gang_reserves_capacity_for_all_its_tasks(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"), make_info("e3"), make_info("e4"))
        for number in "0123":
            harness.submit(make_job(make_step(1, cores=1000), job_id=number * 16))
            harness.confirm_starts(harness.step())
        self.wait(harness, "a", make_step(2, cores=4000, is_gang=True), estimate_s=1.0)
        # All four small tasks are on e1, so the gang finds capacity at once.
        assert len(harness.step()) == 2
        self.wait(harness, "c", make_step(2, cores=4000, is_gang=True), estimate_s=2.0)
        self.wait(harness, "d", make_step(1, cores=1000), estimate_s=9.0)
        assert harness.step() == []

    def test_capacity_is_reserved_on_a_share_of_the_executors_only(self) -> None:
        harness = Harness(*(make_info(f"e{number}") for number in range(5)))
        for number in range(5):
            self.wait(harness, str(number), make_step(1, cores=3000), estimate_s=1.0)
        harness.confirm_starts(harness.step())
        for name in "abcde":
            self.wait(harness, name, make_step(1, cores=4000), estimate_s=2.0)
        self.wait(harness, "f", make_step(5, cores=1000), estimate_s=9.0)
        assert len(harness.step()) == 3

    def test_worthless_work_reserves_nothing(self) -> None:
        harness = Harness(make_info("e1"))
        self.fill(harness, 1000)
        self.wait(harness, "a", make_step(1, cores=4000), estimate_s=1.0)
        harness.now += 60.0
        harness.listing("e1", (ListedRun(task=TaskKey("f" * 16, 0, 0, 0), run=1, percent=5),))
        self.wait(harness, "b", make_step(1, cores=1000), estimate_s=9.0)
        assert [order.task.job for order in harness.step()] == ["b" * 16]

    def test_the_ledger_is_unchanged_by_reservations_after_the_decision(self) -> None:
        harness = Harness(make_info("e1"))
        self.fill(harness, 1000)
        self.wait(harness, "a", make_step(1, cores=4000), estimate_s=1.0)
        harness.step()
        assert harness.core.executors_by_id["e1"].free.cores_milli == 3000


class TestEnds:
    def start(self, harness: Harness, *steps: Step) -> list[StartOrder]:
        harness.submit(make_job(*steps))
        orders = harness.step()
        harness.confirm_starts(orders)
        return orders

    def test_an_end_frees_its_room_and_completes_the_job_once_durable(self) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(1, cores=4000))
        harness.end(orders[0], RunEnd.DONE)
        assert harness.shown() is not JobPhase.COMPLETED
        harness.commit()
        assert harness.shown() is JobPhase.COMPLETED
        assert harness.core.executors_by_id["e1"].free.cores_milli == 4000

    def test_ends_are_acknowledged_only_once_durable(self) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(1))
        harness.end(orders[0], RunEnd.DONE, 7)
        executor = harness.core.executors_by_id["e1"]
        assert (executor.applied_position, executor.durable_position) == (7, 0)
        harness.commit()
        assert executor.durable_position == 7

    def test_a_failed_run_is_tried_again_up_to_the_limit(self) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(1))
        harness.end(orders[0], RunEnd.FAILED, 1)
        again = harness.step()
        assert [order.run for order in again] == [2]
        harness.confirm_starts(again)
        harness.end(again[0], RunEnd.FAILED, 2)
        assert harness.step() == []
        assert harness.core.jobs_by_id[JOB].shown_phase is JobPhase.FAILED

    @pytest.mark.parametrize(
        "how", [RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.BROKEN, RunEnd.ALONE, RunEnd.LOST]
    )
    def test_other_ends_do_not_count_as_attempts(self, how: RunEnd) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(1))
        for position in range(1, 6):
            harness.end(orders[0], how, position)
            orders = harness.step()
            harness.confirm_starts(orders)
        assert [order.run for order in orders] == [6]

    def test_a_checkpoint_goes_into_the_next_start(self) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(1, is_checkpointing=True))
        harness.end(orders[0], RunEnd.STOPPED, 1, saved="saved")
        assert [order.checkpoint for order in harness.step()] == ["saved"]

    def test_all_members_of_a_gang_start_with_its_newest_checkpoint(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(2, cores=4000, is_gang=True, is_checkpointing=True)))
        orders = harness.step()
        harness.confirm_starts(orders)
        for position, (order, saved) in enumerate(zip(orders, ("s1", "s2"), strict=True), start=1):
            harness.now += 0.5
            harness.end(order, RunEnd.STOPPED, position=position, saved=saved)
        again = harness.step()
        assert [(order.run, order.checkpoint) for order in again] == [(2, "s2"), (2, "s2")]

    def test_a_gang_without_checkpoints_starts_without(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2, cores=1000, is_gang=True)))
        assert [order.checkpoint for order in harness.step()] == ["", ""]

    def test_a_gang_s_run_that_fails_in_two_members_is_one_attempt(self) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(2, is_gang=True))
        harness.end(orders[0], RunEnd.FAILED, 1)
        harness.end(orders[1], RunEnd.FAILED, 2)
        assert [order.run for order in harness.step()] == [2, 2]

    def test_one_member_s_end_as_done_counts_for_the_gang(self) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(3, is_gang=True))
        harness.end(orders[0], RunEnd.DONE)
        harness.commit()
        assert harness.core.jobs_by_id[JOB].shown_phase is JobPhase.COMPLETED
        assert harness.stops() == []

    def test_a_gang_is_stopped_when_a_member_can_not_start(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2, is_gang=True)))
        orders = harness.step()
        harness.core.on_start(orders[0], StartOutcome.STARTED, now=harness.now, wall=harness.wall)
        harness.core.on_start(orders[1], StartOutcome.UNHEALTHY, now=harness.now, wall=harness.wall)
        assert [stop.task for stop in harness.stops()] == [orders[0].task]

    def test_a_long_running_task_is_restarted_however_it_ends(self) -> None:
        harness = Harness(make_info("e1"))
        orders = self.start(harness, make_step(1, is_long_running=True))
        for position, how in enumerate([RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED], 1):
            harness.end(orders[0], how, position)
            orders = harness.step()
            harness.confirm_starts(orders)
            assert len(orders) == 1

    def test_a_timed_job_runs_each_occurrence_when_due(self) -> None:
        harness = Harness(make_info("e1"))
        recurrence = Recurrence(first_due=WALL + 2.0, interval_s=3.0, times=2)
        harness.submit(make_job(make_step(1), recurrence=recurrence))
        assert harness.step() == []
        harness.now += 2.1
        harness.listing("e1")
        orders = harness.step()
        assert [order.task.occurrence for order in orders] == [0]
        harness.confirm_starts(orders)
        harness.end(orders[0], RunEnd.DONE, 1)
        harness.commit()
        assert harness.core.jobs_by_id[JOB].shown_phase is JobPhase.RUNNING
        harness.now += 3.0
        harness.listing("e1")
        orders = harness.step()
        assert [order.task.occurrence for order in orders] == [1]
        harness.confirm_starts(orders)
        harness.end(orders[0], RunEnd.DONE, 2)
        harness.commit()
        assert harness.core.jobs_by_id[JOB].shown_phase is JobPhase.COMPLETED


class TestUnansweredStarts:
    def start(self, harness: Harness) -> StartOrder:
        harness.submit(make_job(make_step(1, cores=4000)))
        return harness.step()[0]

    def answer(self, harness: Harness, order: StartOrder, outcome: StartOutcome) -> bool:
        return harness.core.on_start(order, outcome, now=harness.now, wall=harness.wall)

    def test_the_same_start_is_sent_again_and_its_room_stays_taken(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        order = self.start(harness)
        assert self.answer(harness, order, StartOutcome.UNKNOWN)
        harness.listing(order.executor_id)
        assert harness.step() == []

    def test_after_some_tries_it_is_stopped_and_then_started_elsewhere(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        order = self.start(harness)
        for _ in range(TIMINGS.start_tries):
            wants_more = self.answer(harness, order, StartOutcome.UNKNOWN)
        assert not wants_more
        stops = harness.stops()
        assert [stop.task for stop in stops] == [order.task]
        harness.listing(order.executor_id)
        assert harness.step() == []
        harness.core.on_stop(stops[0])
        harness.listing(order.executor_id)
        assert [again.run for again in harness.step()] == [2]

    def test_an_executor_that_left_a_start_unanswered_gets_nothing_until_it_answers(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2)))
        first = harness.step()[0]
        harness.core.on_start(first, StartOutcome.UNKNOWN, now=harness.now, wall=harness.wall)
        harness.submit(make_job(make_step(1), job_id="b" * 16))
        assert harness.step() == []
        assert harness.core.executors_by_id["e1"].needs_listing
        harness.now += 0.01
        harness.listing("e1")
        assert len(harness.step()) == 1

    def test_its_data_centre_gets_nothing_if_no_executor_there_answered_since(self) -> None:
        away = replace(make_info("e3"), data_centre="other")
        harness = Harness(make_info("e1"), make_info("e2"), away)
        harness.submit(make_job(make_step(1)))
        (first,) = harness.step()
        assert first.executor_id == "e1"
        harness.now += TIMINGS.order_timeout_s + 0.01
        harness.core.on_start(first, StartOutcome.UNKNOWN, now=harness.now, wall=harness.wall)
        harness.submit(make_job(make_step(3, cores=4000), job_id="b" * 16))
        assert [order.executor_id for order in harness.step()] == ["e3"]
        harness.now += 0.01
        harness.listing("e2")
        assert [order.executor_id for order in harness.step()] == ["e2"]

    def test_a_data_centre_whose_other_executors_answered_since_stays_open(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(1)))
        (first,) = harness.step()
        harness.now += TIMINGS.order_timeout_s + 0.01
        harness.listing("e2")
        harness.core.on_start(first, StartOutcome.UNKNOWN, now=harness.now, wall=harness.wall)
        harness.submit(make_job(make_step(1), job_id="b" * 16))
        assert [order.executor_id for order in harness.step()] == ["e2"]

    def test_a_listing_asked_for_before_the_answer_proves_nothing(self) -> None:
        harness = Harness(make_info("e1"))
        order = self.start(harness)
        asked_seq = harness.core.next_seq()
        self.answer(harness, order, StartOutcome.STARTED)
        listing = Listing(clock_ms=1, running=(), ended=())
        harness.core.on_listing(
            "e1", listing, asked_seq=asked_seq, now=harness.now, wall=harness.wall
        )
        assert harness.core.executors_by_id["e1"].runs_by_task == {order.task: 1}

    def test_a_refusal_after_an_unanswered_try_is_settled_by_a_stop(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        order = self.start(harness)
        self.answer(harness, order, StartOutcome.UNKNOWN)
        self.answer(harness, order, StartOutcome.UNHEALTHY)
        assert [stop.run for stop in harness.stops()] == [1]
        assert harness.step() == []

    def test_an_order_whose_run_was_given_up_is_not_sent(self) -> None:
        harness = Harness(make_info("e1"))
        order = self.start(harness)
        assert harness.core.is_needed(order)
        harness.now += 30.0
        harness.core.decide(now=harness.now, wall=harness.wall)
        assert not harness.core.is_needed(order)

    def test_a_start_refused_for_its_ticket_frees_the_room(self) -> None:
        harness = Harness(make_info("e1"))
        order = self.start(harness)
        self.answer(harness, order, StartOutcome.NO_TICKET)
        assert harness.core.executors_by_id["e1"].free.cores_milli == 4000


class TestIncarnations:
    def test_a_later_incarnation_that_answers_ends_the_runs_of_the_one_before(self) -> None:
        harness = Harness(make_info("e1", host="h"), make_info("x"))
        harness.submit(make_job(make_step(1, cores=4000)))
        order = harness.step()[0]
        harness.confirm_starts([order])
        harness.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"), make_info("x"))
        assert "e1" in harness.core.executors_by_id
        harness.listing("e2")
        assert "e1" not in harness.core.executors_by_id
        assert [again.run for again in harness.step()] == [2]

    def test_an_entry_that_comes_late_does_not_end_the_one_that_is_there(self) -> None:
        harness = Harness(make_info("e2", host="h"))
        harness.submit(make_job(make_step(1)))
        (order,) = harness.step()
        harness.confirm_starts([order])
        harness.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"))
        harness.listing("e2", (ListedRun(task=order.task, run=order.run),))
        assert harness.runs_on("e2") == {order.task}
        harness.core.on_address_reused("e1", wall=harness.wall)
        assert harness.step() == []

    def test_an_answer_to_a_call_sent_before_the_other_s_last_answer_ends_nothing(self) -> None:
        harness = Harness(make_info("e1", host="h"))
        harness.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"))
        asked_seq = harness.core.next_seq()
        harness.listing("e1")
        listing = Listing(clock_ms=1, running=(), ended=())
        harness.core.on_listing(
            "e2", listing, asked_seq=asked_seq, now=harness.now, wall=harness.wall
        )
        assert set(harness.core.executors_by_id) == {"e1", "e2"}

    def test_an_ended_incarnation_stays_ended_when_its_entry_is_listed_again(self) -> None:
        harness = Harness(make_info("e1", host="h"))
        harness.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"))
        harness.listing("e2")
        for infos in ((make_info("e2", host="h"),), (make_info("e1", host="h"),)):
            harness.update_fleet(*infos)
            assert "e1" not in harness.core.executors_by_id

    def test_an_entry_that_stays_listed_after_its_end_changes_nothing(self) -> None:
        harness = Harness(make_info("e1", host="h"))
        harness.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"))
        harness.listing("e2")
        for _ in range(3):
            harness.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"))
            assert set(harness.core.executors_by_id) == {"e2"}

    def test_runs_of_an_incarnation_that_never_answered_this_leader_end_with_a_later_one(
        self,
    ) -> None:
        harness = Harness(make_info("e1", host="h"))
        harness.submit(make_job(make_step(1, cores=4000)))
        harness.confirm_starts(harness.step())
        following = Harness(rows=harness.rows)
        following.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"))
        following.listing("e2")
        assert [again.run for again in following.step()] == [2]

    def test_two_incarnations_first_seen_together_are_both_kept(self) -> None:
        harness = Harness()
        harness.update_fleet(make_info("e1", host="h"), make_info("e2", host="h"))
        assert set(harness.core.executors_by_id) == {"e1", "e2"}

    def test_runs_of_an_unresponsive_executor_are_kept_until_its_leases_expire(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(1, cores=4000)))
        order = harness.step()[0]
        harness.confirm_starts([order])
        other = "e2" if order.executor_id == "e1" else "e1"
        harness.update_fleet(make_info(other))
        harness.now += 9.0
        harness.listing(other)
        assert harness.step() == []
        harness.now += 2.0
        harness.listing(other)
        assert [again.executor_id for again in harness.step()] == [other]

    def test_the_leases_of_an_executor_that_answers_never_expire(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        order = harness.step()[0]
        harness.confirm_starts([order])
        executor = harness.core.executors_by_id["e1"]
        harness.now += 20.0
        executor.answered_at = harness.now
        harness.core.decide(now=harness.now, wall=harness.wall)
        assert executor.runs_by_task == {order.task: 1}

    def test_an_unknown_run_is_stopped_before_anything_is_placed(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        stranger = TaskKey("f" * 16, 0, 0, 0)
        harness.listing("e1", (ListedRun(task=stranger, run=3),))
        assert harness.step() == []
        assert [(stop.task, stop.run) for stop in harness.stops()] == [(stranger, 3)]
        harness.listing("e1")
        assert len(harness.step()) == 1


class TestRecovery:
    def test_runs_are_adopted_by_the_next_leader_s_first_listing(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2)))
        first, second = harness.step()
        harness.confirm_starts([first, second])
        after = Harness(rows=harness.rows)
        after.update_fleet(make_info("e1"))
        assert after.step() == []
        after.listing("e1", (ListedRun(task=first.task, run=1),))
        assert [order.run for order in after.step()] == [2]

    def test_runs_on_an_unreachable_executor_are_kept(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        harness.confirm_starts(harness.step())
        after = Harness(make_info("e2"), rows=harness.rows)
        assert after.step() == []
        after.now += 10.0
        after.listing("e2")
        assert after.step() == []
        after.now += 1.0
        after.listing("e2")
        assert [order.run for order in after.step()] == [2]

    def test_done_tasks_and_failures_survive(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2), make_step(1, after=(0,))))
        first, second = harness.step()
        harness.confirm_starts([first, second])
        harness.end(first, RunEnd.DONE, 1)
        harness.end(second, RunEnd.FAILED, 2)
        harness.commit()
        after = Harness(make_info("e1"), rows=harness.rows)
        orders = after.step()
        assert [(order.task, order.run) for order in orders] == [(second.task, 2)]
        after.confirm_starts(orders)
        after.end(orders[0], RunEnd.FAILED, 3)
        after.commit()
        assert after.core.jobs_by_id[JOB].shown_phase is JobPhase.FAILED

    def test_an_ended_job_is_still_known(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        harness.core.cancel(JOB, wall=harness.wall)
        harness.commit()
        after = Harness(make_info("e1"), rows=harness.rows)
        assert after.core.jobs_by_id[JOB].shown_phase is JobPhase.CANCELLED
        assert after.step() == []

    def test_occurrences_that_are_done_do_not_run_again(self) -> None:
        harness = Harness(make_info("e1"))
        recurrence = Recurrence(first_due=WALL, interval_s=50.0, times=2)
        harness.submit(make_job(make_step(1), recurrence=recurrence))
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.end(orders[0], RunEnd.DONE)
        harness.commit()
        after = Harness(make_info("e1"), rows=harness.rows)
        assert after.step() == []

    def test_an_unreadable_row_is_logged(self) -> None:
        harness = Harness(rows={"job/x": b"\xc1"})
        assert [note.step for note in harness.core.take_notes()] == ["rows.unreadable"]


class TestMoves:
    def start(self, harness: Harness) -> StartOrder:
        harness.submit(make_job(make_step(1)))
        order = harness.step()[0]
        harness.confirm_starts([order])
        return order

    def show(self, harness: Harness, order: StartOrder, percent: int) -> int:
        harness.listing(order.executor_id, (ListedRun(task=order.task, run=1, percent=percent),))
        return len(harness.stops())

    def test_a_stalled_run_is_stopped(self) -> None:
        harness = Harness(make_info("e1"))
        order = self.start(harness)
        assert self.show(harness, order, 40) == 0
        harness.now += 2.9
        assert self.show(harness, order, 40) == 0
        harness.now += 0.2
        assert self.show(harness, order, 40) == 1

    @pytest.mark.parametrize(("percent", "stopped"), [(100, 0), (80, 1)])
    def test_a_member_of_a_gang_that_has_done_its_share_waits_for_the_others(
        self, percent: int, stopped: int
    ) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        orders = harness.step()
        harness.confirm_starts(orders)
        for second in range(5):
            harness.now += 1.0
            for order, shown in zip(orders, (percent, 10 + second), strict=True):
                run = ListedRun(task=order.task, run=1, percent=shown)
                harness.listing(order.executor_id, (run,))
        assert len(harness.stops()) == stopped

    def test_a_slow_run_goes_on(self) -> None:
        harness = Harness(make_info("e1"))
        order = self.start(harness)
        for percent in range(8):
            harness.now += 2.0
            assert self.show(harness, order, percent) == 0

    def test_a_run_taken_over_has_its_full_time_to_show_progress(self) -> None:
        harness = Harness(make_info("e1"))
        order = self.start(harness)
        after = Harness(rows=harness.rows)
        after.update_fleet(make_info("e1"))
        assert self.show(after, order, 0) == 0
        after.now += 2.9
        assert self.show(after, order, 0) == 0

    @pytest.mark.parametrize(("percent", "stops"), [(20, 1), (60, 0)])
    def test_a_run_that_would_outlast_its_leaving_executor_is_moved(
        self, percent: int, stops: int
    ) -> None:
        harness = Harness(make_info("e1"))
        order = self.start(harness)
        assert self.show(harness, order, 0) == 0
        harness.now += 1.0
        harness.update_fleet(replace(make_info("e1"), is_draining=True, leaves_in_s=2.0))
        assert self.show(harness, order, percent) == stops


class TestThrottling:
    def harness(self) -> tuple[Harness, StartOrder, StartOrder]:
        harness = Harness(make_info("e1"))
        serving = make_step(1, is_long_running=True, tail_target_ms=100)
        filler = make_step(1, cores=0, is_filler=True)
        harness.submit(make_job(serving, filler))
        orders = harness.step()
        harness.confirm_starts(orders)
        return harness, orders[0], orders[1]

    def show(self, harness: Harness, tail_ms: int, *orders: StartOrder) -> list[int]:
        harness.now += 1.0
        harness.listing(
            "e1",
            tuple(
                ListedRun(task=o.task, run=1, percent=int(harness.now) % 100, figure=tail_ms)
                for o in orders
            ),
        )
        paces = harness.core.take_throttle_orders()
        for pace in paces:
            assert pace.task == orders[1].task
            harness.core.on_throttle_confirmed(pace)
        return [pace.percent for pace in paces]

    def test_a_filler_is_halved_until_the_tail_latency_recovers_and_then_raised(self) -> None:
        harness, serving, filler = self.harness()
        assert self.show(harness, 50, serving, filler) == []
        assert self.show(harness, 120, serving, filler) == [50]
        assert self.show(harness, 90, serving, filler) == [25]
        assert self.show(harness, 70, serving, filler) == []
        assert self.show(harness, 50, serving, filler) == [35]

    def test_a_filler_is_suspended_where_even_little_throughput_does_harm(self) -> None:
        harness, serving, filler = self.harness()
        paces = [self.show(harness, 200, serving, filler) for _ in range(5)]
        assert paces == [[50], [25], [12], [0], []]

    def test_an_order_that_is_not_confirmed_is_sent_again(self) -> None:
        harness, serving, filler = self.harness()
        harness.now += 1.0
        shown = tuple(ListedRun(task=o.task, run=1, figure=150) for o in (serving, filler))
        harness.listing("e1", shown)
        assert len(harness.core.take_throttle_orders()) == 1
        harness.now += 0.1
        harness.listing("e1", shown)
        assert harness.core.take_throttle_orders() == []
        harness.now += 0.45
        harness.listing("e1", shown)
        assert [pace.percent for pace in harness.core.take_throttle_orders()] == [50]


class TestCleanup:
    def test_an_ended_job_keeps_its_phase_and_is_later_dropped(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        harness.core.cancel(JOB, wall=harness.wall)
        harness.commit()
        harness.now += 1.1
        harness.step()
        assert harness.core.jobs_by_id[JOB].job.steps == ()
        assert harness.shown() is JobPhase.CANCELLED
        harness.now += TIMINGS.ended_kept_s
        harness.step()
        assert harness.core.jobs_by_id == {}
        harness.commit()
        assert set(harness.rows) == {CLOCK_KEY}


class TestExecutorHealth:
    def test_a_failed_task_is_tried_elsewhere(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(1)))
        first = harness.step()
        harness.confirm_starts(first)
        harness.end(first[0], RunEnd.FAILED)
        again = harness.step()
        assert again[0].executor_id != first[0].executor_id

    def test_an_executor_that_fails_run_after_run_is_paused_and_tried_again(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(3)))
        orders = harness.step()
        harness.confirm_starts(orders)
        for position, order in enumerate(orders, 1):
            harness.end(order, RunEnd.FAILED, position)
        assert harness.step() == []
        harness.now += 4.1
        harness.listing("e1")
        assert len(harness.step()) == 3

    def rig_with_runs(self, slow_percent: int) -> tuple[Harness, list[StartOrder]]:
        infos = [make_info(f"e{number}", cores=3000) for number in range(5)]
        harness = Harness(*infos)
        harness.submit(make_job(make_step(15, estimate_s=10.0, is_checkpointing=True)))
        orders = harness.step()
        harness.confirm_starts(orders)
        for percent, passed_s in ((0, 0.0), (20, 2.0)):
            harness.now += passed_s
            for info in infos:
                there = [o for o in orders if o.executor_id == info.executor_id]
                shown = slow_percent if info.executor_id == "e0" and percent else percent
                running = tuple(ListedRun(task=o.task, run=1, percent=shown) for o in there)
                harness.listing(info.executor_id, running)
        return harness, orders

    def test_runs_are_moved_off_a_slow_executor(self) -> None:
        harness, _ = self.rig_with_runs(slow_percent=3)
        stops = harness.stops()
        assert len(stops) == 3
        assert {stop.executor_id for stop in stops} == {"e0"}

    def test_an_executor_of_usual_speed_keeps_its_runs(self) -> None:
        harness, _ = self.rig_with_runs(slow_percent=10)
        assert harness.stops() == []

    def test_a_step_with_a_wrong_estimate_marks_no_executor_as_slow(self) -> None:
        infos = [make_info(f"e{number}", cores=3000) for number in range(3)]
        harness = Harness(*infos)
        harness.submit(make_job(make_step(6, estimate_s=10.0), job_id="a" * 16))
        harness.submit(make_job(make_step(3, estimate_s=1.0), job_id="b" * 16))
        orders = harness.step()
        harness.confirm_starts(orders)
        for passed_s, share in ((0.0, 0), (2.0, 1)):
            harness.now += passed_s
            for info in infos:
                running = tuple(
                    ListedRun(
                        task=order.task,
                        run=1,
                        percent=share * (40 if order.task.job[0] == "a" else 4),
                    )
                    for order in orders
                    if order.executor_id == info.executor_id
                )
                harness.listing(info.executor_id, running)
        assert harness.stops() == []


class TestPending:
    """Jobs count as pending until an executor has confirmed one of their runs."""

    def test_an_assignment_alone_does_not_count_as_a_start(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        orders = harness.step()
        assert len(orders) == 1
        assert (harness.core.pending_of("q"), harness.shown()) == (1, JobPhase.QUEUED)
        harness.confirm_starts(orders)
        assert (harness.core.pending_of("q"), harness.shown()) == (0, JobPhase.RUNNING)

    def test_an_unanswered_start_does_not_count(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(1)))
        (order,) = harness.step()
        harness.core.on_start(order, StartOutcome.UNKNOWN, now=harness.now, wall=harness.wall)
        assert harness.core.pending_of("q") == 1
        harness.listing("e1", (ListedRun(task=order.task, run=order.run),))
        assert harness.core.pending_of("q") == 0

    def test_an_order_that_an_earlier_leader_never_sent_does_not_count(self) -> None:
        before = Harness(make_info("e1"))
        before.submit(make_job(make_step(1)))
        before.step()
        after = Harness(make_info("e1"), rows=before.rows)
        assert after.core.pending_of("q") == 1

    def test_a_listed_end_proves_a_start(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2)))
        orders = harness.step()
        harness.end(orders[0], RunEnd.FAILED)
        assert harness.core.pending_of("q") == 0


class TestCancel:
    def test_runs_are_stopped_once_the_cancelling_is_durable(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2)))
        harness.confirm_starts(harness.step())
        harness.core.cancel(JOB, wall=harness.wall)
        assert harness.stops() == []
        harness.commit()
        assert len(harness.stops()) == 2

    def test_a_start_that_has_not_left_is_never_sent(self) -> None:
        harness = Harness(make_info("e1"))
        harness.submit(make_job(make_step(2)))
        harness.core.decide(now=harness.now, wall=harness.wall)
        harness.core.cancel(JOB, wall=harness.wall)
        assert harness.commit() == []
        assert harness.core.executors_by_id["e1"].free.cores_milli == 4000

    def test_a_submission_that_has_not_left_can_be_withdrawn(self) -> None:
        harness = Harness(make_info("e1"))
        harness.core.submit(make_job(make_step(1)), wall=harness.wall)
        harness.core.decide(now=harness.now, wall=harness.wall)
        assert harness.core.withdraw(JOB)
        assert harness.core.executors_by_id["e1"].free.cores_milli == 4000
        assert harness.commit() == []
        assert set(harness.rows) == {CLOCK_KEY}

    def test_starts_of_a_withdrawn_submission_never_leave(self) -> None:
        harness = Harness(make_info("e1", cores=1000), make_info("e2", cores=1000))
        for job in ("a" * 16, JOB):
            harness.core.submit(make_job(make_step(1), job_id=job), wall=harness.wall)
        harness.core.decide(now=harness.now, wall=harness.wall)
        assert harness.core.withdraw(JOB)
        assert harness.core.withdraw("a" * 16)
        for job in (JOB, "a" * 16):
            harness.core.submit(make_job(make_step(1), job_id=job), wall=harness.wall)
        orders = harness.step()
        assert len(orders) == 2
        assert len({order.executor_id for order in orders}) == 2

    def test_a_submission_that_may_be_durable_can_not_be_withdrawn(self) -> None:
        harness = Harness(make_info("e1"))
        harness.core.submit(make_job(make_step(1)), wall=harness.wall)
        harness.core.take_batch()
        assert not harness.core.withdraw(JOB)


class TestAdvice:
    TIMING = AdvisorTiming(base_s=0.1, per_executor_s=0.01, validity_s=1.5)
    ADVISED = replace(QUEUE, name="advised", advisor=TIMING)

    def harness(self, *steps: Step) -> Harness:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.core.set_queues([self.ADVISED])
        harness.submit(make_job(*steps, queue=self.ADVISED))
        assert harness.step() == []
        return harness

    def approve(self, harness: Harness, step: int, *executors: str) -> None:
        key = TaskKey(JOB, 0, step, 0).step_key
        approved = tuple(Approval(executor_id=e, ticket=f"t-{e}") for e in executors)
        request = AdviceRequest(step=key, executor_ids=("e1", "e2"), timing=self.TIMING)
        harness.core.on_advice(request, approved, validity_s=1.5, now=harness.now)

    def test_all_executors_are_asked_about_once(self) -> None:
        harness = self.harness(make_step(1))
        asks = harness.core.take_advice_requests()
        assert [set(request.executor_ids) for request in asks] == [{"e1", "e2"}]
        harness.step()
        assert harness.core.take_advice_requests() == []

    def test_only_approved_executors_get_the_step_with_their_tickets(self) -> None:
        harness = self.harness(make_step(2))
        self.approve(harness, 0, "e2")
        assert [(o.executor_id, o.ticket) for o in harness.step()] == [("e2", "t-e2")] * 2

    def test_an_expired_ticket_is_requested_again_and_capacity_is_reserved(self) -> None:
        """Capacity is reserved from steps behind it in the queue, and for this decision only."""
        harness = self.harness(make_step(8, cores=1000))
        self.approve(harness, 0, "e2")
        orders = harness.step()
        assert len(orders) == 4
        harness.confirm_starts(orders)
        harness.core.take_advice_requests()
        harness.now += 2.0
        end = ListedEnd(position=1, task=orders[0].task, run=1, end=RunEnd.DONE)
        running = tuple(ListedRun(task=o.task, run=1) for o in orders[1:])
        harness.listing("e1")
        harness.listing("e2", running, end)
        later = make_step(8, cores=1000, estimate_s=9.0)
        harness.core.set_queues([self.ADVISED, QUEUE])
        harness.submit(make_job(later, job_id="f" * 16))
        assert {order.executor_id for order in harness.step()} == {"e1"}
        assert [request.executor_ids for request in harness.core.take_advice_requests()] == [
            ("e2",)
        ]
        assert harness.core.executors_by_id["e2"].free.cores_milli == 1000
        self.approve(harness, 0, "e2")
        assert len(harness.step()) == 1

    @pytest.mark.parametrize(
        ("percent", "is_asked"),
        [
            # At the progress rate of the last 1.5 s, 0.38 s and 0.64 s are left.
            (80, True),
            (70, False),
        ],
    )
    def test_tickets_are_renewed_half_a_second_before_capacity_is_free(
        self, percent: int, is_asked: bool
    ) -> None:
        harness = self.harness(make_step(5, cores=1000))
        self.approve(harness, 0, "e2")
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.core.take_advice_requests()
        for seconds, shown in ((0.1, 0), (1.5, percent)):
            harness.now += seconds
            harness.listing("e1")
            running = tuple(ListedRun(task=o.task, run=1, percent=shown) for o in orders)
            harness.listing("e2", running)
        assert harness.step() == []
        asked = [request.executor_ids for request in harness.core.take_advice_requests()]
        assert asked == ([("e2",)] if is_asked else [])

    def test_a_failed_call_is_made_again_after_a_pause(self) -> None:
        harness = self.harness(make_step(1))
        (request,) = harness.core.take_advice_requests()
        harness.core.on_advice_failed(request, now=harness.now)
        harness.step()
        assert harness.core.take_advice_requests() == []
        harness.now += 0.2
        harness.step()
        assert len(harness.core.take_advice_requests()) == 1

    def test_a_ticket_is_not_used_close_to_its_end(self) -> None:
        table = AdviceTable()
        key = TaskKey(JOB, 0, 0, 0).step_key
        table.begin(key, ("e1",), 0.0)
        approved = (Approval(executor_id="e1", ticket="t"),)
        table.answer(key, ("e1",), approved, validity_s=1.5, now=0.1)
        assert table.of(key).ticket("e1", 1.3) == "t"
        assert table.of(key).ticket("e1", 1.4) is None


class TestLoadReport:
    def test_capacity_and_waiting_tasks_are_logged_once_a_second(self) -> None:
        harness = Harness(make_info("e1"), make_info("e2"))
        harness.submit(make_job(make_step(5, cores=2000)))
        harness.confirm_starts(harness.step())
        harness.core.take_notes()
        logged = []
        for _ in range(10):
            harness.now += 0.25
            harness.step()
            logged += [note for note in harness.core.take_notes() if note.step == "cell.load"]
        assert len(logged) == 2
        expected = {"executors": "2", "cores_milli": "8000", "runs": "4", "waiting_q": "1"}
        assert expected.items() <= logged[0].fields.items()
        assert logged[0].fields["free_cores_milli"] == "0"


class TestObjectives:
    def test_the_longest_chain_includes_one_advice_call_a_step(self) -> None:
        steps = (
            make_step(1, estimate_s=2.0),
            make_step(1, estimate_s=5.0),
            make_step(1, estimate_s=1.0, after=(0, 1)),
        )
        assert longest_chain_s(steps, QUEUE) == 6.0
        advised = replace(
            QUEUE, advisor=AdvisorTiming(base_s=0.1, per_executor_s=0.01, validity_s=1)
        )
        assert longest_chain_s(steps, advised) == pytest.approx(6.8)

    @pytest.mark.parametrize(("now", "rank"), [(5.0, 0), (11.0, 1), (29.0, 1), (31.0, 2)])
    def test_lateness_follows_what_a_job_still_earns(self, now: float, rank: int) -> None:
        assert lateness_rank(objective=10.0, begins_at=0.0, now=now) == rank
