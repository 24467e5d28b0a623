"""Rules of a cell's leader, one subject a class, without I/O."""

from dataclasses import replace

import pytest

from cell.rig import JOB, QUEUE, TIMINGS, WALL, Rig, make_info, make_job, make_step
from galenastall.coordination.cell.advice import AdviceBook, Approval
from galenastall.coordination.cell.commands import AskAdvice, StartOrder
from galenastall.coordination.cell.election import Election, HeardBeat, Move
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
from galenastall.state.cell.phases import JobPhase, RunEnd


class TestElection:
    def make(self) -> Election:
        return Election(timings=TIMINGS, jitter_s=0.1, may_start=False, weight=1.0)

    def beat(self, election: Election, token: int, now: float, age: float = 0.0) -> bool:
        beat = HeardBeat(token=token, leader=f"h{token}", heard_at=now, confirm_age_s=age)
        return election.on_beat(beat)

    def test_a_well_leader_is_left_alone(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        assert election.next_move(10.2) is Move.WAIT

    def test_a_silent_leader_whose_state_moves_is_not_replaced(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        for step in range(40):
            now = 11.0 + step * 0.21
            assert election.next_move(now) is Move.LOOK
            election.on_look(token=3, tip=step, now=now)

    def test_a_silent_leader_whose_state_stands_still_is_replaced(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        moves = []
        for step in range(7):
            now = 11.0 + step * 0.21
            moves.append(election.next_move(now))
            election.on_look(token=3, tip=7, now=now)
        assert moves[0] is Move.LOOK
        assert moves[-1] is Move.CLAIM

    def test_a_state_that_could_not_be_looked_at_has_not_stood_still(self) -> None:
        election = self.make()
        self.beat(election, 3, 10.0)
        election.on_look(token=3, tip=7, now=11.0)
        claimed_at = 0.0
        for step in range(20):
            now = 17.0 + step * 0.05
            move = election.next_move(now)
            if move is Move.LOOK:
                election.on_look(token=3, tip=7, now=now)
            if move is Move.CLAIM:
                claimed_at = now
                break
        assert claimed_at >= 17.0 + TIMINGS.tip_silence_s

    def test_a_leader_that_the_store_does_not_confirm_is_replaced(self) -> None:
        election = self.make()
        claimed_at = 0.0
        for step in range(30):
            now = 10.0 + step * 0.1
            self.beat(election, 3, now, age=step * 0.1)
            move = election.next_move(now)
            if move is Move.LOOK:
                election.on_look(token=3, tip=7, now=now)
            if move is Move.CLAIM:
                claimed_at = now
                break
        assert 11.2 < claimed_at < 12.6

    def test_a_claim_without_a_leader_does_not_hide_the_one_that_stands(self) -> None:
        election = self.make()
        self.beat(election, 4, 10.0)
        election.on_look(token=5, tip=7, now=10.1)
        assert self.beat(election, 4, 10.2)
        assert election.leader == "h4"

    def test_beats_of_an_older_leader_are_ignored_once_a_newer_one_is_heard(self) -> None:
        election = self.make()
        self.beat(election, 5, 10.0)
        assert not self.beat(election, 4, 10.1)
        assert election.leader == "h5"

    def test_a_host_that_withdrew_waits(self) -> None:
        election = self.make()
        election.withdraw(100.0)
        for step in range(20):
            election.on_look(token=1, tip=7, now=10.0 + step * 0.21)
            assert election.next_move(10.05 + step * 0.21) is not Move.CLAIM


class TestLeaseClock:
    def make(self) -> LeaseClock:
        return LeaseClock(timings=TIMINGS, unknown_until=50.0)

    def test_no_deadline_is_named_before_the_first_answer(self) -> None:
        assert self.make().deadline_ms(confirmed_at=1.0, now=1.0) is None

    def test_a_deadline_reaches_one_renewal_ahead(self) -> None:
        clock = self.make()
        clock.observe(clock_ms=70_000, received_at=100.0)
        assert clock.deadline_ms(confirmed_at=100.0, now=100.0) == 78_500
        assert clock.deadline_ms(confirmed_at=101.0, now=101.5) == 80_000

    def test_a_deadline_reaches_no_further_than_one_lease_beyond_the_confirmation(self) -> None:
        clock = self.make()
        clock.observe(clock_ms=70_000, received_at=100.0)
        assert clock.deadline_ms(confirmed_at=99.0, now=101.0) == 79_000
        assert clock.deadline_ms(confirmed_at=99.0, now=104.0) == 79_000

    def test_a_lapse_counts_from_the_latest_deadline_with_a_slow_clock(self) -> None:
        clock = self.make()
        clock.observe(clock_ms=70_000, received_at=100.0)
        clock.deadline_ms(confirmed_at=100.0, now=100.0)
        assert clock.promised_ms == 78_500
        assert not clock.has_lapsed(108.9)
        assert clock.has_lapsed(109.1)

    def test_an_executor_never_reached_lapses_with_earlier_leaders_leases(self) -> None:
        clock = self.make()
        assert not clock.has_lapsed(49.9)
        assert clock.has_lapsed(50.0)


class TestPlacement:
    def test_starts_leave_only_once_they_are_durable(self) -> None:
        rig = Rig(make_info("e1"))
        rig.core.submit(make_job(make_step(2)), wall=rig.wall)
        rig.core.decide(now=rig.now, wall=rig.wall)
        batch = rig.core.take_batch()
        assert len(batch.starts) == 2
        assert set(batch.values_by_key) == {f"job/{JOB}", f"run/{JOB}"}
        assert len(rig.core.commit(batch, wall=rig.wall)) == 2

    def test_no_more_is_placed_than_fits(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(20, cores=1500)))
        orders = rig.step()
        assert sorted(order.executor_id for order in orders) == ["e1", "e1", "e2", "e2"]

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(5, is_gang=True)))
        assert rig.step() == []
        rig.see(make_info("e1"), make_info("e2"))
        rig.listing("e2")
        orders = rig.step()
        assert len(orders) == 5
        assert {order.run for order in orders} == {1}

    def test_most_per_executor_is_kept(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(6, cores=100, most_per_executor=2)))
        orders = rig.step()
        assert sorted(order.executor_id for order in orders) == ["e1", "e1", "e2", "e2"]

    def test_a_label_that_is_required_must_be_there(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1, label="b")))
        assert rig.step() == []

    def test_the_data_s_rack_is_preferred(self) -> None:
        near = replace(make_info("e2"), rack="r2")
        rig = Rig(make_info("e1"), near)
        rig.submit(make_job(make_step(1, data_rack="r2")))
        assert [order.executor_id for order in rig.step()] == ["e2"]

    def test_a_later_step_waits_for_all_tasks_before_it(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2), make_step(1, after=(0,))))
        orders = rig.step()
        rig.run_all(orders)
        assert [order.task.step for order in orders] == [0, 0]
        rig.end(orders[0], RunEnd.DONE, 1)
        assert rig.step() == []
        rig.end(orders[1], RunEnd.DONE, 2)
        assert [order.task.step for order in rig.step()] == [1]

    def test_a_draining_executor_gets_nothing(self) -> None:
        rig = Rig(make_info("e1"))
        rig.see(replace(make_info("e1"), is_draining=True))
        rig.submit(make_job(make_step(1)))
        assert rig.step() == []

    def test_an_executor_that_has_not_answered_lately_gets_nothing(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        rig.now += 5.0
        assert rig.step() == []

    def test_nothing_is_placed_while_assignments_can_not_be_written(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        rig.core.decide(now=rig.now, wall=rig.wall, may_place=False)
        assert rig.commit() == []

    def test_the_most_pressing_job_goes_first(self) -> None:
        rig = Rig(make_info("e1", cores=1000))
        rig.submit(make_job(make_step(1, estimate_s=9.0), job_id="a" * 16))
        rig.submit(make_job(make_step(1, estimate_s=1.0), job_id="b" * 16))
        assert [order.task.job for order in rig.step()] == ["b" * 16]

    def test_a_gang_that_wants_one_rack_gets_one_if_it_has_room(self) -> None:
        rig = Rig(
            make_info("e1"),
            replace(make_info("e2"), rack="r2"),
            replace(make_info("e3"), rack="r2"),
        )
        rig.submit(make_job(make_step(6, is_gang=True, wants_one_rack=True)))
        assert {order.executor_id for order in rig.step()} == {"e2", "e3"}

    def test_late_urgent_work_goes_before_work_with_time_to_spare(self) -> None:
        rig = Rig(make_info("e1", cores=1000))
        urgent = replace(QUEUE, name="urgent", priority=0)
        rig.core.set_queues([QUEUE, urgent])
        rig.submit(make_job(make_step(1, estimate_s=60.0), job_id="a" * 16))
        rig.submit(make_job(make_step(1, estimate_s=1.0), job_id="b" * 16, queue=urgent))
        rig.now += 4.0
        rig.listing("e1")
        assert [order.task.job for order in rig.step()] == ["b" * 16]

    def test_work_that_earns_nothing_more_goes_last(self) -> None:
        rig = Rig(make_info("e1", cores=1000))
        urgent = replace(QUEUE, name="urgent", priority=0)
        rig.core.set_queues([QUEUE, urgent])
        rig.submit(make_job(make_step(1, estimate_s=60.0), job_id="a" * 16))
        rig.submit(make_job(make_step(1, estimate_s=1.0), job_id="b" * 16, queue=urgent))
        rig.now += 20.0
        rig.listing("e1")
        assert [order.task.job for order in rig.step()] == ["a" * 16]


class TestReservations:
    """Room that pressing steps wait for is kept from less pressing ones."""

    def fill(self, rig: Rig, cores: int) -> StartOrder:
        """Run a task of so many cores on e1."""
        rig.submit(make_job(make_step(1, cores=cores), job_id="f" * 16))
        (order,) = rig.step()
        rig.run_all([order])
        return order

    def wait(
        self, rig: Rig, name: str, *steps: Step, estimate_s: float, queue: Queue = QUEUE
    ) -> None:
        steps = tuple(replace(step, estimate_s=estimate_s) for step in steps)
        rig.submit(make_job(*steps, job_id=name * 16, queue=queue))

    def test_a_large_task_is_not_starved_by_small_ones(self) -> None:
        rig = Rig(make_info("e1"))
        before = self.fill(rig, 1000)
        self.wait(rig, "a", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(rig, "b", make_step(3, cores=1000), estimate_s=9.0)
        assert rig.step() == []
        rig.end(before, RunEnd.DONE)
        assert [order.task.job for order in rig.step()] == ["a" * 16]

    def test_what_is_left_beside_it_is_used(self) -> None:
        rig = Rig(make_info("e1", cores=6000))
        self.fill(rig, 3000)
        self.wait(rig, "a", make_step(1, cores=2000), estimate_s=20.0)
        assert len(rig.step()) == 1
        self.wait(rig, "c", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(rig, "b", make_step(1, cores=1000), estimate_s=9.0)
        assert rig.step() == []
        rig.see(make_info("e1", cores=6000), make_info("e2", cores=1000))
        rig.listing("e2")
        assert [order.executor_id for order in rig.step()] == ["e2"]

    def test_what_ends_before_the_room_is_needed_may_use_it(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1, cores=1000, estimate_s=8.0), job_id="f" * 16))
        rig.run_all(rig.step())
        self.wait(rig, "a", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(rig, "b", make_step(1, cores=1000), estimate_s=7.0)
        self.wait(rig, "c", make_step(1, cores=1000), estimate_s=4.0)
        assert [order.task.job for order in rig.step()] == ["c" * 16]

    def test_what_will_be_free_beside_it_may_be_used(self) -> None:
        rig = Rig(make_info("e1", cores=6000))
        for name in ("f", "g"):
            rig.submit(make_job(make_step(1, cores=2500), job_id=name * 16))
            rig.run_all(rig.step())
        self.wait(rig, "a", make_step(1, cores=5000), estimate_s=1.0)
        self.wait(rig, "b", make_step(2, cores=1000), estimate_s=9.0)
        assert [order.task.job for order in rig.step()] == ["b" * 16]

    def test_a_gang_that_can_not_have_all_its_room_keeps_nobody_out(self) -> None:
        rig = Rig(*(make_info(f"e{number}") for number in range(4)))
        for name in "0123":
            rig.submit(make_job(make_step(1, cores=3000, estimate_s=9.0), job_id=name * 16))
            rig.run_all(rig.step())
        for name in "ab":
            gang = make_step(3, cores=4000, is_gang=True)
            self.wait(rig, name, gang, estimate_s=1.0)
        self.wait(rig, "c", make_step(4, cores=1000), estimate_s=20.0)
        # The first gang keeps three executors, and the second none of the fourth.
        assert [order.executor_id for order in rig.step()] == ["e3"]

    def test_urgent_work_may_have_it(self) -> None:
        rig = Rig(make_info("e1"))
        urgent = replace(QUEUE, name="urgent", priority=0)
        rig.core.set_queues([QUEUE, urgent])
        self.fill(rig, 1000)
        self.wait(rig, "a", make_step(1, cores=4000), estimate_s=1.0)
        self.wait(rig, "b", make_step(1, cores=1000), estimate_s=9.0, queue=urgent)
        assert [order.task.job for order in rig.step()] == ["b" * 16]

    def test_a_gang_that_never_fits_keeps_none(self) -> None:
        rig = Rig(make_info("e1"))
        self.wait(rig, "a", make_step(5, cores=1000, is_gang=True), estimate_s=1.0)
        self.wait(rig, "b", make_step(1, cores=1000), estimate_s=9.0)
        assert [order.task.job for order in rig.step()] == ["b" * 16]

    def test_a_gang_keeps_room_for_all_its_tasks(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"), make_info("e3"), make_info("e4"))
        for number in "0123":
            rig.submit(make_job(make_step(1, cores=1000), job_id=number * 16))
            rig.run_all(rig.step())
        self.wait(rig, "a", make_step(2, cores=4000, is_gang=True), estimate_s=1.0)
        # All four small ones went to e1, so that the gang finds room at once.
        assert len(rig.step()) == 2
        self.wait(rig, "c", make_step(2, cores=4000, is_gang=True), estimate_s=2.0)
        self.wait(rig, "d", make_step(1, cores=1000), estimate_s=9.0)
        assert rig.step() == []

    def test_room_is_kept_on_a_share_of_the_executors_only(self) -> None:
        rig = Rig(*(make_info(f"e{number}") for number in range(5)))
        for number in range(5):
            self.wait(rig, str(number), make_step(1, cores=3000), estimate_s=1.0)
        rig.run_all(rig.step())
        for name in "abcde":
            self.wait(rig, name, make_step(1, cores=4000), estimate_s=2.0)
        self.wait(rig, "f", make_step(5, cores=1000), estimate_s=9.0)
        assert len(rig.step()) == 3

    def test_work_that_earns_nothing_more_keeps_none(self) -> None:
        rig = Rig(make_info("e1"))
        self.fill(rig, 1000)
        self.wait(rig, "a", make_step(1, cores=4000), estimate_s=1.0)
        rig.now += 60.0
        rig.listing("e1", (ListedRun(task=TaskKey("f" * 16, 0, 0, 0), run=1, percent=5),))
        self.wait(rig, "b", make_step(1, cores=1000), estimate_s=9.0)
        assert [order.task.job for order in rig.step()] == ["b" * 16]

    def test_the_ledger_is_whole_again_after_the_decision(self) -> None:
        rig = Rig(make_info("e1"))
        self.fill(rig, 1000)
        self.wait(rig, "a", make_step(1, cores=4000), estimate_s=1.0)
        rig.step()
        assert rig.core.executors_by_id["e1"].free.cores_milli == 3000


class TestEnds:
    def start(self, rig: Rig, *steps: Step) -> list[StartOrder]:
        rig.submit(make_job(*steps))
        orders = rig.step()
        rig.run_all(orders)
        return orders

    def test_an_end_frees_its_room_and_completes_the_job_once_durable(self) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(1, cores=4000))
        rig.end(orders[0], RunEnd.DONE)
        assert rig.shown() is not JobPhase.COMPLETED
        rig.commit()
        assert rig.shown() is JobPhase.COMPLETED
        assert rig.core.executors_by_id["e1"].free.cores_milli == 4000

    def test_ends_are_acknowledged_only_once_durable(self) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(1))
        rig.end(orders[0], RunEnd.DONE, 7)
        executor = rig.core.executors_by_id["e1"]
        assert (executor.applied_position, executor.durable_position) == (7, 0)
        rig.commit()
        assert executor.durable_position == 7

    def test_a_failed_run_is_tried_again_up_to_the_limit(self) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(1))
        rig.end(orders[0], RunEnd.FAILED, 1)
        again = rig.step()
        assert [order.run for order in again] == [2]
        rig.run_all(again)
        rig.end(again[0], RunEnd.FAILED, 2)
        assert rig.step() == []
        assert rig.core.jobs_by_id[JOB].shown_phase is JobPhase.FAILED

    @pytest.mark.parametrize(
        "how", [RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.BROKEN, RunEnd.ALONE, RunEnd.LOST]
    )
    def test_other_ends_are_no_attempts(self, how: RunEnd) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(1))
        for position in range(1, 6):
            rig.end(orders[0], how, position)
            orders = rig.step()
            rig.run_all(orders)
        assert [order.run for order in orders] == [6]

    def test_a_checkpoint_goes_into_the_next_start(self) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(1, is_checkpointing=True))
        rig.end(orders[0], RunEnd.STOPPED, 1, saved="saved")
        assert [order.checkpoint for order in rig.step()] == ["saved"]

    def test_all_members_of_a_gang_start_with_its_newest_checkpoint(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(2, cores=4000, is_gang=True, is_checkpointing=True)))
        orders = rig.step()
        rig.run_all(orders)
        for position, (order, saved) in enumerate(zip(orders, ("s1", "s2"), strict=True), start=1):
            rig.now += 0.5
            rig.end(order, RunEnd.STOPPED, position=position, saved=saved)
        again = rig.step()
        assert [(order.run, order.checkpoint) for order in again] == [(2, "s2"), (2, "s2")]

    def test_a_gang_without_checkpoints_starts_without(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2, cores=1000, is_gang=True)))
        assert [order.checkpoint for order in rig.step()] == ["", ""]

    def test_a_gang_s_run_that_fails_in_two_members_is_one_attempt(self) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(2, is_gang=True))
        rig.end(orders[0], RunEnd.FAILED, 1)
        rig.end(orders[1], RunEnd.FAILED, 2)
        assert [order.run for order in rig.step()] == [2, 2]

    def test_one_member_s_end_as_done_counts_for_the_gang(self) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(3, is_gang=True))
        rig.end(orders[0], RunEnd.DONE)
        rig.commit()
        assert rig.core.jobs_by_id[JOB].shown_phase is JobPhase.COMPLETED
        assert rig.stops() == []

    def test_a_gang_is_stopped_when_a_member_can_not_start(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2, is_gang=True)))
        orders = rig.step()
        rig.core.on_start(orders[0], StartOutcome.STARTED, now=rig.now, wall=rig.wall)
        rig.core.on_start(orders[1], StartOutcome.UNHEALTHY, now=rig.now, wall=rig.wall)
        assert [stop.task for stop in rig.stops()] == [orders[0].task]

    def test_a_long_running_task_is_restarted_however_it_ends(self) -> None:
        rig = Rig(make_info("e1"))
        orders = self.start(rig, make_step(1, is_long_running=True))
        for position, how in enumerate([RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED], 1):
            rig.end(orders[0], how, position)
            orders = rig.step()
            rig.run_all(orders)
            assert len(orders) == 1

    def test_a_timed_job_runs_each_occurrence_when_due(self) -> None:
        rig = Rig(make_info("e1"))
        recurrence = Recurrence(first_due=WALL + 2.0, interval_s=3.0, times=2)
        rig.submit(make_job(make_step(1), recurrence=recurrence))
        assert rig.step() == []
        rig.now += 2.1
        rig.listing("e1")
        orders = rig.step()
        assert [order.task.occurrence for order in orders] == [0]
        rig.run_all(orders)
        rig.end(orders[0], RunEnd.DONE, 1)
        rig.commit()
        assert rig.core.jobs_by_id[JOB].shown_phase is JobPhase.RUNNING
        rig.now += 3.0
        rig.listing("e1")
        orders = rig.step()
        assert [order.task.occurrence for order in orders] == [1]
        rig.run_all(orders)
        rig.end(orders[0], RunEnd.DONE, 2)
        rig.commit()
        assert rig.core.jobs_by_id[JOB].shown_phase is JobPhase.COMPLETED


class TestUnansweredStarts:
    def start(self, rig: Rig) -> StartOrder:
        rig.submit(make_job(make_step(1, cores=4000)))
        return rig.step()[0]

    def answer(self, rig: Rig, order: StartOrder, outcome: StartOutcome) -> bool:
        return rig.core.on_start(order, outcome, now=rig.now, wall=rig.wall)

    def test_the_same_start_is_sent_again_and_its_room_stays_taken(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        order = self.start(rig)
        assert self.answer(rig, order, StartOutcome.UNKNOWN)
        rig.listing(order.executor_id)
        assert rig.step() == []

    def test_after_some_tries_it_is_stopped_and_then_started_elsewhere(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        order = self.start(rig)
        for _ in range(TIMINGS.start_tries):
            wants_more = self.answer(rig, order, StartOutcome.UNKNOWN)
        assert not wants_more
        stops = rig.stops()
        assert [stop.task for stop in stops] == [order.task]
        rig.listing(order.executor_id)
        assert rig.step() == []
        rig.core.on_stop(stops[0])
        rig.listing(order.executor_id)
        assert [again.run for again in rig.step()] == [2]

    def test_who_left_a_start_unanswered_gets_nothing_until_it_answers(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2)))
        first = rig.step()[0]
        rig.core.on_start(first, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        rig.submit(make_job(make_step(1), job_id="b" * 16))
        assert rig.step() == []
        assert rig.core.executors_by_id["e1"].needs_listing
        rig.now += 0.01
        rig.listing("e1")
        assert len(rig.step()) == 1

    def test_its_data_centre_gets_nothing_either_where_nobody_answered_since(self) -> None:
        away = replace(make_info("e3"), data_centre="other")
        rig = Rig(make_info("e1"), make_info("e2"), away)
        rig.submit(make_job(make_step(1)))
        (first,) = rig.step()
        assert first.executor_id == "e1"
        rig.now += TIMINGS.order_timeout_s + 0.01
        rig.core.on_start(first, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        rig.submit(make_job(make_step(3, cores=4000), job_id="b" * 16))
        assert [order.executor_id for order in rig.step()] == ["e3"]
        rig.now += 0.01
        rig.listing("e2")
        assert [order.executor_id for order in rig.step()] == ["e2"]

    def test_a_data_centre_whose_others_answered_meanwhile_stays_open(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(1)))
        (first,) = rig.step()
        rig.now += TIMINGS.order_timeout_s + 0.01
        rig.listing("e2")
        rig.core.on_start(first, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        rig.submit(make_job(make_step(1), job_id="b" * 16))
        assert [order.executor_id for order in rig.step()] == ["e2"]

    def test_a_listing_asked_for_before_the_answer_proves_nothing(self) -> None:
        rig = Rig(make_info("e1"))
        order = self.start(rig)
        asked_seq = rig.core.next_seq()
        self.answer(rig, order, StartOutcome.STARTED)
        listing = Listing(clock_ms=1, running=(), ended=())
        rig.core.on_listing("e1", listing, asked_seq=asked_seq, now=rig.now, wall=rig.wall)
        assert rig.core.executors_by_id["e1"].runs_by_task == {order.task: 1}

    def test_a_refusal_after_an_unanswered_try_is_settled_by_a_stop(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        order = self.start(rig)
        self.answer(rig, order, StartOutcome.UNKNOWN)
        self.answer(rig, order, StartOutcome.UNHEALTHY)
        assert [stop.run for stop in rig.stops()] == [1]
        assert rig.step() == []

    def test_an_order_whose_run_was_given_up_is_not_wanted(self) -> None:
        rig = Rig(make_info("e1"))
        order = self.start(rig)
        assert rig.core.is_wanted(order)
        rig.now += 30.0
        rig.core.decide(now=rig.now, wall=rig.wall)
        assert not rig.core.is_wanted(order)

    def test_a_start_refused_for_its_ticket_frees_the_room(self) -> None:
        rig = Rig(make_info("e1"))
        order = self.start(rig)
        self.answer(rig, order, StartOutcome.NO_TICKET)
        assert rig.core.executors_by_id["e1"].free.cores_milli == 4000


class TestIncarnations:
    def test_a_later_incarnation_that_answers_ends_the_runs_of_the_one_before(self) -> None:
        rig = Rig(make_info("e1", host="h"), make_info("x"))
        rig.submit(make_job(make_step(1, cores=4000)))
        order = rig.step()[0]
        rig.run_all([order])
        rig.see(make_info("e1", host="h"), make_info("e2", host="h"), make_info("x"))
        assert "e1" in rig.core.executors_by_id
        rig.listing("e2")
        assert "e1" not in rig.core.executors_by_id
        assert [again.run for again in rig.step()] == [2]

    def test_an_entry_that_comes_late_does_not_end_the_one_that_is_there(self) -> None:
        rig = Rig(make_info("e2", host="h"))
        rig.submit(make_job(make_step(1)))
        (order,) = rig.step()
        rig.run_all([order])
        rig.see(make_info("e1", host="h"), make_info("e2", host="h"))
        rig.listing("e2", (ListedRun(task=order.task, run=order.run),))
        assert rig.runs_on("e2") == {order.task}
        rig.core.on_other_executor("e1", wall=rig.wall)
        assert rig.step() == []

    def test_an_answer_to_a_call_sent_before_the_other_s_last_answer_ends_nothing(self) -> None:
        rig = Rig(make_info("e1", host="h"))
        rig.see(make_info("e1", host="h"), make_info("e2", host="h"))
        asked_seq = rig.core.next_seq()
        rig.listing("e1")
        listing = Listing(clock_ms=1, running=(), ended=())
        rig.core.on_listing("e2", listing, asked_seq=asked_seq, now=rig.now, wall=rig.wall)
        assert set(rig.core.executors_by_id) == {"e1", "e2"}

    def test_an_incarnation_that_is_over_stays_over_when_its_entry_is_listed_again(self) -> None:
        rig = Rig(make_info("e1", host="h"))
        rig.see(make_info("e1", host="h"), make_info("e2", host="h"))
        rig.listing("e2")
        for infos in ((make_info("e2", host="h"),), (make_info("e1", host="h"),)):
            rig.see(*infos)
            assert "e1" not in rig.core.executors_by_id

    def test_an_entry_that_stays_listed_after_its_end_changes_nothing(self) -> None:
        rig = Rig(make_info("e1", host="h"))
        rig.see(make_info("e1", host="h"), make_info("e2", host="h"))
        rig.listing("e2")
        for _ in range(3):
            rig.see(make_info("e1", host="h"), make_info("e2", host="h"))
            assert set(rig.core.executors_by_id) == {"e2"}

    def test_runs_of_an_incarnation_that_never_answered_this_leader_end_with_a_later_one(
        self,
    ) -> None:
        rig = Rig(make_info("e1", host="h"))
        rig.submit(make_job(make_step(1, cores=4000)))
        rig.run_all(rig.step())
        following = Rig(rows=rig.rows)
        following.see(make_info("e1", host="h"), make_info("e2", host="h"))
        following.listing("e2")
        assert [again.run for again in following.step()] == [2]

    def test_two_incarnations_first_seen_together_are_both_kept(self) -> None:
        rig = Rig()
        rig.see(make_info("e1", host="h"), make_info("e2", host="h"))
        assert set(rig.core.executors_by_id) == {"e1", "e2"}

    def test_a_silent_executor_s_runs_are_waited_for_until_its_leases_lapse(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(1, cores=4000)))
        order = rig.step()[0]
        rig.run_all([order])
        other = "e2" if order.executor_id == "e1" else "e1"
        rig.see(make_info(other))
        rig.now += 9.0
        rig.listing(other)
        assert rig.step() == []
        rig.now += 2.0
        rig.listing(other)
        assert [again.executor_id for again in rig.step()] == [other]

    def test_an_executor_that_answers_is_never_taken_as_lapsed(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        order = rig.step()[0]
        rig.run_all([order])
        executor = rig.core.executors_by_id["e1"]
        rig.now += 20.0
        executor.answered_at = rig.now
        rig.core.decide(now=rig.now, wall=rig.wall)
        assert executor.runs_by_task == {order.task: 1}

    def test_a_run_that_nobody_accounts_for_is_stopped_before_anything_is_placed(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        stranger = TaskKey("f" * 16, 0, 0, 0)
        rig.listing("e1", (ListedRun(task=stranger, run=3),))
        assert rig.step() == []
        assert [(stop.task, stop.run) for stop in rig.stops()] == [(stranger, 3)]
        rig.listing("e1")
        assert len(rig.step()) == 1


class TestRecovery:
    def test_runs_are_adopted_by_the_next_leader_s_first_listing(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2)))
        first, second = rig.step()
        rig.run_all([first, second])
        after = Rig(rows=rig.rows)
        after.see(make_info("e1"))
        assert after.step() == []
        after.listing("e1", (ListedRun(task=first.task, run=1),))
        assert [order.run for order in after.step()] == [2]

    def test_runs_on_an_executor_that_is_not_reached_are_waited_for(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        rig.run_all(rig.step())
        after = Rig(make_info("e2"), rows=rig.rows)
        assert after.step() == []
        after.now += 10.0
        after.listing("e2")
        assert after.step() == []
        after.now += 1.0
        after.listing("e2")
        assert [order.run for order in after.step()] == [2]

    def test_done_tasks_and_failures_survive(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2), make_step(1, after=(0,))))
        first, second = rig.step()
        rig.run_all([first, second])
        rig.end(first, RunEnd.DONE, 1)
        rig.end(second, RunEnd.FAILED, 2)
        rig.commit()
        after = Rig(make_info("e1"), rows=rig.rows)
        orders = after.step()
        assert [(order.task, order.run) for order in orders] == [(second.task, 2)]
        after.run_all(orders)
        after.end(orders[0], RunEnd.FAILED, 3)
        after.commit()
        assert after.core.jobs_by_id[JOB].shown_phase is JobPhase.FAILED

    def test_an_ended_job_is_still_known(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        rig.core.cancel(JOB, wall=rig.wall)
        rig.commit()
        after = Rig(make_info("e1"), rows=rig.rows)
        assert after.core.jobs_by_id[JOB].shown_phase is JobPhase.CANCELLED
        assert after.step() == []

    def test_occurrences_that_are_done_do_not_run_again(self) -> None:
        rig = Rig(make_info("e1"))
        recurrence = Recurrence(first_due=WALL, interval_s=50.0, times=2)
        rig.submit(make_job(make_step(1), recurrence=recurrence))
        orders = rig.step()
        rig.run_all(orders)
        rig.end(orders[0], RunEnd.DONE)
        rig.commit()
        after = Rig(make_info("e1"), rows=rig.rows)
        assert after.step() == []

    def test_a_row_that_can_not_be_read_is_named(self) -> None:
        rig = Rig(rows={"job/x": b"\xc1"})
        assert [note.step for note in rig.core.take_notes()] == ["rows.unreadable"]


class TestMoves:
    def start(self, rig: Rig) -> StartOrder:
        rig.submit(make_job(make_step(1)))
        order = rig.step()[0]
        rig.run_all([order])
        return order

    def show(self, rig: Rig, order: StartOrder, percent: int) -> int:
        rig.listing(order.executor_id, (ListedRun(task=order.task, run=1, percent=percent),))
        return len(rig.stops())

    def test_a_run_that_stands_still_is_stopped(self) -> None:
        rig = Rig(make_info("e1"))
        order = self.start(rig)
        assert self.show(rig, order, 40) == 0
        rig.now += 2.9
        assert self.show(rig, order, 40) == 0
        rig.now += 0.2
        assert self.show(rig, order, 40) == 1

    @pytest.mark.parametrize(("percent", "stopped"), [(100, 0), (80, 1)])
    def test_a_member_of_a_gang_that_has_done_its_share_waits_for_the_others(
        self, percent: int, stopped: int
    ) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        orders = rig.step()
        rig.run_all(orders)
        for second in range(5):
            rig.now += 1.0
            for order, shown in zip(orders, (percent, 10 + second), strict=True):
                run = ListedRun(task=order.task, run=1, percent=shown)
                rig.listing(order.executor_id, (run,))
        assert len(rig.stops()) == stopped

    def test_a_slow_run_goes_on(self) -> None:
        rig = Rig(make_info("e1"))
        order = self.start(rig)
        for percent in range(8):
            rig.now += 2.0
            assert self.show(rig, order, percent) == 0

    def test_a_run_taken_over_has_its_full_time_to_show_progress(self) -> None:
        rig = Rig(make_info("e1"))
        order = self.start(rig)
        after = Rig(rows=rig.rows)
        after.see(make_info("e1"))
        assert self.show(after, order, 0) == 0
        after.now += 2.9
        assert self.show(after, order, 0) == 0

    @pytest.mark.parametrize(("percent", "stops"), [(20, 1), (60, 0)])
    def test_a_run_that_would_outlast_its_leaving_executor_is_moved(
        self, percent: int, stops: int
    ) -> None:
        rig = Rig(make_info("e1"))
        order = self.start(rig)
        assert self.show(rig, order, 0) == 0
        rig.now += 1.0
        rig.see(replace(make_info("e1"), is_draining=True, leaves_in_s=2.0))
        assert self.show(rig, order, percent) == stops


class TestPacing:
    def rig(self) -> tuple[Rig, StartOrder, StartOrder]:
        rig = Rig(make_info("e1"))
        serving = make_step(1, is_long_running=True, tail_target_ms=100)
        filler = make_step(1, cores=0, is_filler=True)
        rig.submit(make_job(serving, filler))
        orders = rig.step()
        rig.run_all(orders)
        return rig, orders[0], orders[1]

    def show(self, rig: Rig, tail_ms: int, *orders: StartOrder) -> list[int]:
        rig.now += 1.0
        rig.listing(
            "e1",
            tuple(
                ListedRun(task=o.task, run=1, percent=int(rig.now) % 100, figure=tail_ms)
                for o in orders
            ),
        )
        paces = rig.core.take_paces()
        for pace in paces:
            assert pace.task == orders[1].task
            rig.core.on_paced(pace)
        return [pace.percent for pace in paces]

    def test_a_filler_is_halved_until_the_tail_is_well_and_then_speeds_up(self) -> None:
        rig, serving, filler = self.rig()
        assert self.show(rig, 50, serving, filler) == []
        assert self.show(rig, 120, serving, filler) == [50]
        assert self.show(rig, 90, serving, filler) == [25]
        assert self.show(rig, 70, serving, filler) == []
        assert self.show(rig, 50, serving, filler) == [35]

    def test_a_filler_stands_still_where_little_does_harm(self) -> None:
        rig, serving, filler = self.rig()
        paces = [self.show(rig, 200, serving, filler) for _ in range(5)]
        assert paces == [[50], [25], [12], [0], []]

    def test_an_order_that_is_not_confirmed_is_sent_again(self) -> None:
        rig, serving, filler = self.rig()
        rig.now += 1.0
        shown = tuple(ListedRun(task=o.task, run=1, figure=150) for o in (serving, filler))
        rig.listing("e1", shown)
        assert len(rig.core.take_paces()) == 1
        rig.now += 0.1
        rig.listing("e1", shown)
        assert rig.core.take_paces() == []
        rig.now += 0.45
        rig.listing("e1", shown)
        assert [pace.percent for pace in rig.core.take_paces()] == [50]


class TestTidying:
    def test_an_ended_job_keeps_its_phase_and_later_goes(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        rig.core.cancel(JOB, wall=rig.wall)
        rig.commit()
        rig.now += 1.1
        rig.step()
        assert rig.core.jobs_by_id[JOB].job.steps == ()
        assert rig.shown() is JobPhase.CANCELLED
        rig.now += TIMINGS.ended_kept_s
        rig.step()
        assert rig.core.jobs_by_id == {}
        rig.commit()
        assert rig.rows == {}


class TestDoubts:
    def test_a_failed_task_is_tried_elsewhere(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(1)))
        first = rig.step()
        rig.run_all(first)
        rig.end(first[0], RunEnd.FAILED)
        again = rig.step()
        assert again[0].executor_id != first[0].executor_id

    def test_an_executor_that_fails_run_after_run_is_paused_and_tried_again(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(3)))
        orders = rig.step()
        rig.run_all(orders)
        for position, order in enumerate(orders, 1):
            rig.end(order, RunEnd.FAILED, position)
        assert rig.step() == []
        rig.now += 4.1
        rig.listing("e1")
        assert len(rig.step()) == 3

    def rig_with_runs(self, slow_percent: int) -> tuple[Rig, list[StartOrder]]:
        infos = [make_info(f"e{number}", cores=3000) for number in range(5)]
        rig = Rig(*infos)
        rig.submit(make_job(make_step(15, estimate_s=10.0, is_checkpointing=True)))
        orders = rig.step()
        rig.run_all(orders)
        for percent, passed_s in ((0, 0.0), (20, 2.0)):
            rig.now += passed_s
            for info in infos:
                there = [o for o in orders if o.executor_id == info.executor_id]
                shown = slow_percent if info.executor_id == "e0" and percent else percent
                running = tuple(ListedRun(task=o.task, run=1, percent=shown) for o in there)
                rig.listing(info.executor_id, running)
        return rig, orders

    def test_runs_are_moved_off_a_slow_executor(self) -> None:
        rig, _ = self.rig_with_runs(slow_percent=3)
        stops = rig.stops()
        assert len(stops) == 3
        assert {stop.executor_id for stop in stops} == {"e0"}

    def test_an_executor_of_usual_pace_keeps_its_runs(self) -> None:
        rig, _ = self.rig_with_runs(slow_percent=10)
        assert rig.stops() == []

    def test_a_step_with_a_wrong_estimate_puts_no_executor_in_doubt(self) -> None:
        infos = [make_info(f"e{number}", cores=3000) for number in range(3)]
        rig = Rig(*infos)
        rig.submit(make_job(make_step(6, estimate_s=10.0), job_id="a" * 16))
        rig.submit(make_job(make_step(3, estimate_s=1.0), job_id="b" * 16))
        orders = rig.step()
        rig.run_all(orders)
        for passed_s, share in ((0.0, 0), (2.0, 1)):
            rig.now += passed_s
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
                rig.listing(info.executor_id, running)
        assert rig.stops() == []


class TestPending:
    """Jobs count as pending until an executor has confirmed a run of theirs."""

    def test_an_assignment_alone_is_no_start(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        orders = rig.step()
        assert len(orders) == 1
        assert (rig.core.pending_of("q"), rig.shown()) == (1, JobPhase.QUEUED)
        rig.run_all(orders)
        assert (rig.core.pending_of("q"), rig.shown()) == (0, JobPhase.RUNNING)

    def test_a_start_that_got_no_answer_is_none(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(1)))
        (order,) = rig.step()
        rig.core.on_start(order, StartOutcome.UNKNOWN, now=rig.now, wall=rig.wall)
        assert rig.core.pending_of("q") == 1
        rig.listing("e1", (ListedRun(task=order.task, run=order.run),))
        assert rig.core.pending_of("q") == 0

    def test_an_order_that_never_left_an_earlier_leader_is_none(self) -> None:
        before = Rig(make_info("e1"))
        before.submit(make_job(make_step(1)))
        before.step()
        after = Rig(make_info("e1"), rows=before.rows)
        assert after.core.pending_of("q") == 1

    def test_an_end_that_is_listed_tells_of_a_start(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2)))
        orders = rig.step()
        rig.end(orders[0], RunEnd.FAILED)
        assert rig.core.pending_of("q") == 0


class TestCancel:
    def test_runs_are_stopped_once_the_cancelling_is_durable(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2)))
        rig.run_all(rig.step())
        rig.core.cancel(JOB, wall=rig.wall)
        assert rig.stops() == []
        rig.commit()
        assert len(rig.stops()) == 2

    def test_a_start_that_has_not_left_stays(self) -> None:
        rig = Rig(make_info("e1"))
        rig.submit(make_job(make_step(2)))
        rig.core.decide(now=rig.now, wall=rig.wall)
        rig.core.cancel(JOB, wall=rig.wall)
        assert rig.commit() == []
        assert rig.core.executors_by_id["e1"].free.cores_milli == 4000

    def test_a_submission_that_has_not_left_can_be_withdrawn(self) -> None:
        rig = Rig(make_info("e1"))
        rig.core.submit(make_job(make_step(1)), wall=rig.wall)
        rig.core.decide(now=rig.now, wall=rig.wall)
        assert rig.core.withdraw(JOB)
        assert rig.core.executors_by_id["e1"].free.cores_milli == 4000
        assert rig.commit() == []
        assert rig.rows == {}

    def test_starts_of_a_withdrawn_submission_never_leave(self) -> None:
        rig = Rig(make_info("e1", cores=1000), make_info("e2", cores=1000))
        for job in ("a" * 16, JOB):
            rig.core.submit(make_job(make_step(1), job_id=job), wall=rig.wall)
        rig.core.decide(now=rig.now, wall=rig.wall)
        assert rig.core.withdraw(JOB)
        assert rig.core.withdraw("a" * 16)
        for job in (JOB, "a" * 16):
            rig.core.submit(make_job(make_step(1), job_id=job), wall=rig.wall)
        orders = rig.step()
        assert len(orders) == 2
        assert len({order.executor_id for order in orders}) == 2

    def test_a_submission_that_may_be_durable_can_not(self) -> None:
        rig = Rig(make_info("e1"))
        rig.core.submit(make_job(make_step(1)), wall=rig.wall)
        rig.core.take_batch()
        assert not rig.core.withdraw(JOB)


class TestAdvice:
    TIMING = AdvisorTiming(base_s=0.1, per_executor_s=0.01, validity_s=1.5)
    ADVISED = replace(QUEUE, name="advised", advisor=TIMING)

    def rig(self, *steps: Step) -> Rig:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.core.set_queues([self.ADVISED])
        rig.submit(make_job(*steps, queue=self.ADVISED))
        assert rig.step() == []
        return rig

    def approve(self, rig: Rig, step: int, *executors: str) -> None:
        key = TaskKey(JOB, 0, step, 0).step_key
        approved = tuple(Approval(executor_id=e, ticket=f"t-{e}") for e in executors)
        ask = AskAdvice(step=key, executor_ids=("e1", "e2"), timing=self.TIMING)
        rig.core.on_advice(ask, approved, validity_s=1.5, now=rig.now)

    def test_all_executors_are_asked_about_once(self) -> None:
        rig = self.rig(make_step(1))
        asks = rig.core.take_asks()
        assert [set(ask.executor_ids) for ask in asks] == [{"e1", "e2"}]
        rig.step()
        assert rig.core.take_asks() == []

    def test_only_approved_executors_get_the_step_with_their_tickets(self) -> None:
        rig = self.rig(make_step(2))
        self.approve(rig, 0, "e2")
        assert [(o.executor_id, o.ticket) for o in rig.step()] == [("e2", "t-e2")] * 2

    def test_a_ticket_that_ran_out_is_asked_for_again_and_room_is_kept(self) -> None:
        """Room is kept from what comes after it in the line, and for this decision only."""
        rig = self.rig(make_step(8, cores=1000))
        self.approve(rig, 0, "e2")
        orders = rig.step()
        assert len(orders) == 4
        rig.run_all(orders)
        rig.core.take_asks()
        rig.now += 2.0
        end = ListedEnd(position=1, task=orders[0].task, run=1, end=RunEnd.DONE)
        running = tuple(ListedRun(task=o.task, run=1) for o in orders[1:])
        rig.listing("e1")
        rig.listing("e2", running, end)
        later = make_step(8, cores=1000, estimate_s=9.0)
        rig.core.set_queues([self.ADVISED, QUEUE])
        rig.submit(make_job(later, job_id="f" * 16))
        assert {order.executor_id for order in rig.step()} == {"e1"}
        assert [ask.executor_ids for ask in rig.core.take_asks()] == [("e2",)]
        assert rig.core.executors_by_id["e2"].free.cores_milli == 1000
        self.approve(rig, 0, "e2")
        assert len(rig.step()) == 1

    @pytest.mark.parametrize(
        ("percent", "is_asked"),
        [
            # At the pace of the 1.5 s before, 0.38 s and 0.64 s are left.
            (80, True),
            (70, False),
        ],
    )
    def test_tickets_are_renewed_half_a_second_ahead_of_room(
        self, percent: int, is_asked: bool
    ) -> None:
        rig = self.rig(make_step(5, cores=1000))
        self.approve(rig, 0, "e2")
        orders = rig.step()
        rig.run_all(orders)
        rig.core.take_asks()
        for seconds, shown in ((0.1, 0), (1.5, percent)):
            rig.now += seconds
            rig.listing("e1")
            running = tuple(ListedRun(task=o.task, run=1, percent=shown) for o in orders)
            rig.listing("e2", running)
        assert rig.step() == []
        asked = [ask.executor_ids for ask in rig.core.take_asks()]
        assert asked == ([("e2",)] if is_asked else [])

    def test_a_failed_call_is_made_again_after_a_pause(self) -> None:
        rig = self.rig(make_step(1))
        (ask,) = rig.core.take_asks()
        rig.core.on_advice_failed(ask, now=rig.now)
        rig.step()
        assert rig.core.take_asks() == []
        rig.now += 0.2
        rig.step()
        assert len(rig.core.take_asks()) == 1

    def test_a_ticket_is_not_used_close_to_its_end(self) -> None:
        book = AdviceBook()
        key = TaskKey(JOB, 0, 0, 0).step_key
        book.begin(key, ("e1",), 0.0)
        approved = (Approval(executor_id="e1", ticket="t"),)
        book.answer(key, ("e1",), approved, validity_s=1.5, now=0.1)
        assert book.of(key).ticket("e1", 1.3) == "t"
        assert book.of(key).ticket("e1", 1.4) is None


class TestLoadReport:
    def test_room_and_waiting_tasks_are_told_once_a_second(self) -> None:
        rig = Rig(make_info("e1"), make_info("e2"))
        rig.submit(make_job(make_step(5, cores=2000)))
        rig.run_all(rig.step())
        rig.core.take_notes()
        told = []
        for _ in range(10):
            rig.now += 0.25
            rig.step()
            told += [note for note in rig.core.take_notes() if note.step == "cell.load"]
        assert len(told) == 2
        expected = {"executors": "2", "cores_milli": "8000", "runs": "4", "waiting_q": "1"}
        assert expected.items() <= told[0].fields.items()
        assert told[0].fields["free_cores_milli"] == "0"


class TestObjectives:
    def test_the_chain_is_the_longest_path_with_a_call_for_advice_a_step(self) -> None:
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
