"""Reservations and advice requests under load."""

import pytest

from cell.advised import AdvisedHarness
from cell.rig import make_job, make_step
from galenastall.coordination.cell.reservation_plan import ReservationPlan


class TestConcurrentCalls:
    """A gang of 16 tasks whose advisor approves a third of 176 executors."""

    def test_advice_on_all_executors_is_requested_through_several_hosts(self) -> None:
        harness = AdvisedHarness(executors=176, hosts=34)
        harness.fill(140, estimate_s=9.0)
        harness.hand_in(make_step(16, cores=3000, is_gang=True))
        asks = harness.asks()
        assert len(asks) == 6
        named = [executor_id for request in asks for executor_id in request.executor_ids]
        assert len(named) == len(set(named)) == 176
        assert max(len(request.executor_ids) for request in asks) <= 30

    def test_no_more_executors_are_named_than_needed(self) -> None:
        harness = AdvisedHarness(executors=176, hosts=34)
        harness.hand_in(make_step(4, cores=2000))
        assert [len(request.executor_ids) for request in harness.asks()] == [30]

    @pytest.mark.parametrize(("hosts", "calls"), [(6, 2), (3, 1), (1, 1)])
    def test_some_hosts_are_reserved_for_urgent_calls(self, hosts: int, calls: int) -> None:
        harness = AdvisedHarness(executors=176, hosts=hosts)
        harness.fill(150, estimate_s=9.0)
        harness.hand_in(make_step(16, cores=3000, is_gang=True))
        assert len(harness.asks()) == calls

    def test_no_advice_is_requested_while_no_host_is_free(self) -> None:
        harness = AdvisedHarness(executors=8, hosts=4)
        for number in range(5):
            harness.hand_in(make_step(1), job_id=f"{number:016x}")
        assert len(harness.asks()) == 2
        assert harness.asks() == []

    def test_the_gang_starts_once_enough_answers_have_come(self) -> None:
        harness = AdvisedHarness(executors=90, hosts=34)
        harness.fill(60, estimate_s=9.0)
        harness.hand_in(make_step(16, cores=3000, is_gang=True))
        asks = harness.asks()
        assert len(asks) == 3
        # The 30 executors with capacity are spread over the calls: each answer has ten of them.
        harness.answer(asks[0])
        assert harness.step() == []
        harness.answer(asks[1])
        assert len(harness.step()) == 16


class TestRenewals:
    """Tickets are valid for 2.5 s, a call takes 1 s, and capacity becomes free later."""

    def test_a_gang_s_tickets_are_renewed_for_its_planned_start(self) -> None:
        harness = AdvisedHarness(executors=2, hosts=6)
        harness.fill(2, estimate_s=10.0)
        harness.hand_in(make_step(2, cores=4000, is_gang=True))
        (request,) = harness.asks()
        harness.answer(request)
        for _ in range(8):
            harness.advance(1.0)
            assert harness.asks() == []
        harness.advance(1.0)
        (renewed,) = harness.asks()
        assert set(renewed.executor_ids) == {"e000", "e001"}

    def test_no_call_names_more_executors_than_the_advisor_takes(self) -> None:
        harness = AdvisedHarness(executors=120, hosts=34)
        harness.fill(120, estimate_s=10.0)
        harness.hand_in(make_step(110, cores=4000, is_gang=True))
        for request in harness.asks():
            harness.answer(request)
        for _ in range(9):
            harness.advance(1.0)
        assert [len(request.executor_ids) for request in harness.asks()] == [100]

    def test_a_gang_that_does_not_fit_its_approved_executors_reserves_nothing(self) -> None:
        harness = AdvisedHarness(executors=4, hosts=6)
        harness.hand_in(make_step(2, cores=4000, is_gang=True))
        (request,) = harness.asks()
        harness.answer(request, approved={"e000"})
        harness.submit(make_job(make_step(8, cores=2000, estimate_s=50.0), job_id="f" * 16))
        assert len(harness.step()) == 8


class TestReservationPlan:
    def test_reservations_do_not_outlast_a_decision(self) -> None:
        harness = AdvisedHarness(executors=2, hosts=6)
        harness.fill(2, estimate_s=10.0)
        harness.submit(make_job(make_step(2, cores=4000, is_gang=True)))
        harness.step()
        plan: ReservationPlan = harness.core.plan
        assert plan.reserved_count == 2
        plan.begin(now=harness.now, fleet_size=2)
        assert plan.reserved_count == 0

    @pytest.mark.parametrize(("estimate_s", "kept_on"), [(0.5, 2), (9.0, 1)])
    def test_capacity_needed_late_is_reserved_for_the_head_of_the_queue_only(
        self, estimate_s: float, kept_on: int
    ) -> None:
        harness = AdvisedHarness(executors=10, hosts=6)
        harness.fill(10, estimate_s=estimate_s)
        for name in "ab":
            harness.submit(make_job(make_step(1, cores=4000, is_gang=True), job_id=name * 16))
        harness.step()
        assert harness.core.plan.reserved_count == kept_on

    def test_two_gangs_that_need_the_same_capacity_start_one_after_the_other(self) -> None:
        harness = AdvisedHarness(executors=4, hosts=6)
        for name in "ab":
            harness.submit(make_job(make_step(3, cores=4000, is_gang=True), job_id=name * 16))
        first = harness.step()
        assert {order.task.job for order in first} == {"a" * 16}
        harness.confirm_starts(first)
        assert harness.step() == []
