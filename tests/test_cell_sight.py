"""Reports of the leader about waiting steps, closed executors and stopped runs."""

from dataclasses import replace
from enum import StrEnum
from pathlib import Path

import msgspec
import pytest
import trio
from typer.testing import CliRunner

from cell.rig import JOB, QUEUE, Harness, make_info, make_job, make_step
from galenastall.cli.app import app
from galenastall.coordination.cell.advice import Approval
from galenastall.coordination.cell.commands import AdviceRequest, Note, StartOrder
from galenastall.coordination.cell.executors import ClosedReason, Cordon, Executor
from galenastall.coordination.cell.explain_logs import parse_lines
from galenastall.coordination.cell.explain_reasons import format_reasons, reasons_by_queue
from galenastall.coordination.cell.explain_restarts import format_restarts
from galenastall.coordination.cell.explain_waiting import JobWait, format_waits, waits_of
from galenastall.coordination.cell.lease_clock import LeaseClock
from galenastall.coordination.cell.listings import ListedRun
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.coordination.cell.placer import TICKETED_SOON_S
from galenastall.coordination.cell.reservation_plan import PlannedStart
from galenastall.coordination.cell.rotation import (
    MAX_FAILED_PLANS,
    MAX_PLANNED_GANGS,
    STEPS_PER_DECISION,
)
from galenastall.coordination.cell.stalls import STALL_TIMEOUT_S
from galenastall.coordination.cell.stop_rules import JobStops, StopRule
from galenastall.coordination.cell.wait_reasons import SOON_S, WaitReason, why_not_gang
from galenastall.coordination.cell.waiting_report import (
    JOB_REPORT_INTERVAL_S,
    LONG_WAIT_S,
    MAX_COUNTS,
    MAX_JOB_LINES,
)
from galenastall.node.cell.cell_metrics import CellMetrics
from galenastall.state.cell.jobs import AdvisorTiming, Step, StepKey, TaskKey
from galenastall.state.cell.phases import RunEnd
from galenastall.transport.log_budget import LINES_PER_SECOND
from galenastall.transport.metrics import Metrics

TIMING = AdvisorTiming(base_s=0.9, per_executor_s=0.008, validity_s=2.5)
ADVISED = replace(QUEUE, name="advised", advisor=TIMING)
OTHER = "f" * 16
FULL = 4000
"""Capacity of an executor in thousandths of a core."""


class WaitReportHarness(Harness):
    """A scheduler core with some executors, and the reports that it logs."""

    def __init__(self, *, executors: int = 2, hosts: int = 6) -> None:
        super().__init__(*(make_info(f"e{number:03}") for number in range(executors)))
        self.core.set_queues([QUEUE, ADVISED])
        self.core.set_advice_calls_at_once(hosts)
        self.asks: list[AdviceRequest] = []
        self.percent = 0

    def submit_advised(self, step: Step, job_id: str = JOB) -> None:
        self.submit(make_job(step, job_id=job_id, queue=ADVISED))

    def fill(self, executors: int, *, cores: int = FULL, estimate_s: float = 9.0) -> None:
        """Run one task on each of the first `executors` executors."""
        for number in range(executors):
            step = make_step(1, cores=cores, estimate_s=estimate_s)
            self.submit(make_job(step, job_id=f"{number:016x}"))
            self.confirm_starts(self.step())

    def decide(self, *, may_place: bool = True) -> list[StartOrder]:
        self.core.decide(now=self.now, wall=self.wall, may_place=may_place)
        self.asks += self.core.take_advice_requests()
        return self.commit()

    def why(self, job_id: str = JOB) -> WaitReason:
        """Make a decision, and return why the job's first step was not started."""
        self.decide()
        return self.reason(job_id)

    def reason(self, job_id: str = JOB) -> WaitReason:
        return self.core._placer.observations.reason_of(StepKey(job_id, 0, 0))

    def answer(self, *approved: str) -> None:
        """Answer all pending calls for advice."""
        asks, self.asks = self.asks, []
        for ask in asks:
            named = tuple(Approval(executor_id=i, ticket="t") for i in approved)
            named = tuple(each for each in named if each.executor_id in ask.executor_ids)
            self.core.on_advice(ask, named, validity_s=TIMING.validity_s, now=self.now)

    def answer_listings(self, percent: int = 0) -> None:
        for executor in list(self.core.executors_by_id.values()):
            running = tuple(
                ListedRun(task=task, run=run, percent=percent)
                for task, run in executor.runs_by_task.items()
            )
            self.listing(executor.executor_id, running)

    def wait(self, seconds: int) -> list[Note]:
        """Let seconds pass, with a decision and progress in each; return the notes logged."""
        self.core.take_notes()
        for _ in range(seconds):
            self.now += 1.0
            self.percent += 1
            self.answer_listings(self.percent)
            self.decide()
        return self.core.take_notes()


def fields_of(notes: list[Note], event: str) -> list[dict[str, str]]:
    return [note.fields for note in notes if note.step == event]


class TestReasonsWithoutAdvisor:
    def test_an_empty_fleet(self) -> None:
        harness = WaitReportHarness(executors=0)
        harness.submit(make_job(make_step(1)))
        assert harness.why() is WaitReason.NONE_OPEN

    def test_no_executor_carries_the_label(self) -> None:
        harness = WaitReportHarness()
        harness.submit(make_job(make_step(1, label="b")))
        assert harness.why() is WaitReason.NONE_OPEN

    def test_no_capacity_for_another_task(self) -> None:
        harness = WaitReportHarness(executors=1)
        harness.submit(make_job(make_step(3, cores=3000)))
        assert harness.why() is WaitReason.NO_ROOM

    def test_capacity_reserved_for_a_gang(self) -> None:
        harness = WaitReportHarness(executors=2)
        harness.fill(1, estimate_s=1.0)
        harness.submit(make_job(make_step(2, cores=FULL, is_gang=True)))
        harness.now += 0.4
        harness.submit(make_job(make_step(1, cores=1000, estimate_s=60.0), job_id=OTHER))
        assert harness.why(OTHER) is WaitReason.ROOM_KEPT
        assert harness.reason() is WaitReason.ROOM_SOON

    def test_capacity_available_later(self) -> None:
        harness = WaitReportHarness(executors=2)
        harness.fill(2, estimate_s=9.0)
        harness.submit(make_job(make_step(2, cores=FULL, is_gang=True)))
        assert harness.why() is WaitReason.ROOM_LATER

    def test_capacity_that_never_becomes_available(self) -> None:
        harness = WaitReportHarness(executors=2)
        harness.submit(make_job(make_step(3, cores=FULL, is_gang=True)))
        assert harness.why() is WaitReason.NO_ROOM_AHEAD

    def test_failed_appends(self) -> None:
        harness = WaitReportHarness(executors=1)
        harness.submit(make_job(make_step(1)))
        harness.decide(may_place=False)
        assert harness.reason() is WaitReason.STORE_AWAY

    def test_steps_beyond_the_decision_limit(self) -> None:
        harness = WaitReportHarness(executors=1)
        harness.fill(1)
        for number in range(STEPS_PER_DECISION + 7):
            harness.submit(make_job(make_step(1), job_id=f"a{number:015x}"))
        (load,) = fields_of(harness.wait(1), "cell.load")
        assert load["not_looked_at"] == "7"
        assert harness.core.waiting_by_reason[WaitReason.NOT_LOOKED_AT] == 7

    def test_a_started_step_is_not_reported(self) -> None:
        harness = WaitReportHarness(executors=1)
        harness.submit(make_job(make_step(1)))
        assert fields_of(harness.wait(2), "cell.waiting") == []
        assert harness.core.waiting_by_reason == {}


class TestReasonsWithAdvisor:
    def gang(self, *, executors: int = 4, hosts: int = 6, count: int = 2) -> WaitReportHarness:
        harness = WaitReportHarness(executors=executors, hosts=hosts)
        harness.submit_advised(make_step(count, cores=FULL, is_gang=True))
        return harness

    def test_the_first_call_and_one_that_failed(self) -> None:
        harness = self.gang()
        assert harness.why() is WaitReason.ADVICE_ASKED
        (ask,) = harness.asks
        harness.core.on_advice_failed(ask, now=harness.now)
        assert harness.why() is WaitReason.ADVICE_FAILED

    def test_no_host_is_free_for_a_call(self) -> None:
        harness = WaitReportHarness(executors=4, hosts=1)
        for job_id in (JOB, OTHER):
            harness.submit_advised(make_step(2, cores=FULL, is_gang=True), job_id)
        harness.decide()
        assert {harness.reason(), harness.reason(OTHER)} == {
            WaitReason.ADVICE_ASKED,
            WaitReason.NO_HOST,
        }

    def test_none_is_approved(self) -> None:
        harness = self.gang()
        harness.decide()
        harness.answer()
        assert harness.why() is WaitReason.NONE_APPROVED

    def test_all_that_are_approved_are_closed(self) -> None:
        harness = self.gang()
        harness.decide()
        harness.answer("e000", "e001")
        for executor_id in ("e000", "e001"):
            harness.core.executors_by_id[executor_id].cordons.add(Cordon.WAVE)
        assert harness.why() is WaitReason.APPROVED_CLOSED

    def test_expired_tickets_are_requested_again(self) -> None:
        harness = self.gang()
        harness.decide()
        harness.answer("e000", "e001")
        harness.now += TIMING.validity_s
        harness.answer_listings()
        assert harness.why() is WaitReason.TICKETS_ASKED

    def test_expired_tickets_and_no_free_host(self) -> None:
        harness = self.gang(hosts=1)
        harness.decide()
        harness.answer("e000", "e001")
        harness.now += TIMING.validity_s
        harness.answer_listings()
        harness.core._advice.begin(StepKey(OTHER, 0, 0), ("e000",), harness.now)
        assert harness.why() is WaitReason.NO_HOST

    def test_gangs_beyond_the_reservation_plan(self) -> None:
        harness = WaitReportHarness(executors=2, hosts=99)
        harness.fill(2)
        ids = [f"a{number:015x}" for number in range(MAX_PLANNED_GANGS + 1)]
        for job_id in ids:
            harness.submit_advised(make_step(2, cores=FULL, is_gang=True), job_id)
        harness.decide()
        harness.answer("e000", "e001")
        harness.decide()
        reasons = [harness.reason(job_id) for job_id in ids]
        assert reasons.count(WaitReason.ROOM_LATER) == 1
        # One is planned; of the others, a decision tries FRUITLESS_PLANS without a result.
        assert reasons.count(WaitReason.NO_ROOM_AHEAD) == MAX_FAILED_PLANS
        assert reasons.count(WaitReason.NOT_PLANNED) == MAX_PLANNED_GANGS - MAX_FAILED_PLANS
        # Later decisions rotate through the gangs, so that each of them is tried.
        (counts,) = fields_of(harness.wait(1), "cell.waiting")
        assert counts["advised:planned_for_others"] == str(MAX_PLANNED_GANGS)

    def test_single_tasks_on_full_executors(self) -> None:
        harness = WaitReportHarness(executors=2)
        harness.fill(2)
        harness.submit_advised(make_step(1, cores=1000))
        assert harness.why() is WaitReason.ADVICE_ASKED
        harness.answer("e000")
        assert harness.why() is WaitReason.NO_ROOM

    def test_members_of_the_last_run_are_still_ending(self) -> None:
        harness = WaitReportHarness(executors=2)
        harness.submit(make_job(make_step(2, cores=FULL, is_gang=True)))
        orders = harness.step()
        harness.confirm_starts(orders)
        harness.end(orders[0], RunEnd.FAILED)
        assert harness.why() is WaitReason.LAST_RUN_ENDING

    @pytest.mark.parametrize(
        ("may_plan", "is_planned", "reason"),
        [
            (True, True, WaitReason.TICKETS_OUT),
            (True, False, WaitReason.NO_ROOM_AHEAD),
            (False, False, WaitReason.NOT_PLANNED),
        ],
    )
    def test_a_gang_for_which_no_call_was_made_though_a_host_was_free(
        self, may_plan: bool, is_planned: bool, reason: WaitReason
    ) -> None:
        harness = self.gang()
        harness.decide()
        harness.answer("e000", "e001")
        (waiting,) = harness.core._placer._queue.in_order(now=harness.now, wall=harness.wall)
        planned = PlannedStart(at=harness.now, slots=()) if is_planned else None
        usable, plan = harness.core.executors_by_id, harness.core.plan
        why = why_not_gang(waiting, usable, plan, planned, may_plan=may_plan, can_request=True)
        assert why is reason

    def test_soon_means_the_same_as_for_the_placer(self) -> None:
        assert SOON_S == TICKETED_SOON_S


class TestRefinedReasons:
    """A report refines the wait reasons of gangs that a decision tried to plan."""

    def reasons(self, harness: WaitReportHarness) -> set[str]:
        (counts,) = fields_of(harness.wait(1), "cell.waiting")
        return set(counts)

    def approve(self, harness: WaitReportHarness, *names: str) -> None:
        harness.decide()
        harness.answer(*names)

    def test_too_few_are_approved_even_if_they_were_empty(self) -> None:
        harness = WaitReportHarness(executors=4)
        harness.submit_advised(make_step(2, cores=FULL, is_gang=True))
        self.approve(harness, "e000")
        assert self.reasons(harness) == {"advised:too_few_approved"}

    def test_enough_are_approved_and_some_are_closed(self) -> None:
        harness = WaitReportHarness(executors=4)
        harness.submit_advised(make_step(2, cores=FULL, is_gang=True))
        self.approve(harness, "e000", "e001")
        harness.core.executors_by_id["e001"].paused_until = harness.now + 60.0
        assert self.reasons(harness) == {"advised:approved_closed"}

    def test_a_service_that_is_too_small(self) -> None:
        harness = WaitReportHarness(executors=2)
        harness.submit(make_job(make_step(3, cores=FULL, is_gang=True)))
        assert self.reasons(harness) == {"q:too_few_approved"}

    def test_free_capacity_is_reserved_for_an_earlier_gang(self) -> None:
        harness = WaitReportHarness(executors=4)
        harness.fill(1, estimate_s=9.0)
        step = make_step(4, cores=FULL, is_gang=True)
        harness.submit(make_job(step, job_id="a" * 16))
        harness.submit(make_job(replace(step, count=3, estimate_s=60.0), job_id="b" * 16))
        assert self.reasons(harness) == {"q:room_later", "q:room_kept"}


class TestJobLines:
    def blocked(self, jobs: int) -> WaitReportHarness:
        harness = WaitReportHarness(executors=1)
        harness.fill(1)
        for number in range(jobs):
            harness.submit(make_job(make_step(2, cores=3000), job_id=f"a{number:015x}"))
        return harness

    def test_a_job_is_reported_after_a_long_wait_and_then_at_intervals(self) -> None:
        harness = self.blocked(1)
        assert fields_of(harness.wait(int(LONG_WAIT_S)), "job.waiting") == []
        lines = fields_of(harness.wait(2 * int(JOB_REPORT_INTERVAL_S)), "job.waiting")
        assert len(lines) == 2
        expected = {
            "queue": "q",
            "reason": "no_room",
            "tasks": "2",
            "of": "2",
            "approved": "1",
            "approved_open": "1",
            "places_free": "0",
            "places_open": "1",
            "runs": "0",
            "stops": "",
        }
        assert expected.items() <= lines[0].items()
        assert float(lines[0]["waited_s"]) >= LONG_WAIT_S

    def test_lines_per_second_are_bounded_and_jobs_rotate(self) -> None:
        jobs = 3 * MAX_JOB_LINES
        harness = self.blocked(jobs)
        harness.wait(int(LONG_WAIT_S))
        seconds = [
            [note for note in harness.wait(1) if note.step == "job.waiting"]
            for _ in range(int(JOB_REPORT_INTERVAL_S))
        ]
        assert max(len(notes) for notes in seconds) == MAX_JOB_LINES
        ids = [note.subjects[0] for notes in seconds for note in notes]
        assert len(ids) == len(set(ids)) == jobs
        assert MAX_JOB_LINES < LINES_PER_SECOND / 10

    @pytest.mark.parametrize(("is_fleet_growing", "lines"), [(True, 0), (False, 1)])
    def test_a_start_of_one_task_resets_the_wait(self, is_fleet_growing: bool, lines: int) -> None:
        harness = WaitReportHarness(executors=1)
        harness.submit(make_job(make_step(3, cores=3000)))
        harness.wait(int(LONG_WAIT_S) - 1)
        if is_fleet_growing:
            harness.update_fleet(make_info("e000"), make_info("e001"))
        assert len(fields_of(harness.wait(int(LONG_WAIT_S) - 1), "job.waiting")) == lines

    def test_counts_are_bounded(self) -> None:
        harness = WaitReportHarness(executors=1)
        harness.fill(1)
        for number in range(MAX_COUNTS + 5):
            queue = replace(QUEUE, name=f"q{number}")
            harness.submit(make_job(make_step(1), job_id=f"a{number:015x}", queue=queue))
        (counts,) = fields_of(harness.wait(1), "cell.waiting")
        assert len(counts) == MAX_COUNTS + 1
        assert counts["others"] == "5"


class TestClosedExecutors:
    def executor(self) -> Executor:
        harness = WaitReportHarness(executors=1)
        return harness.core.executors_by_id["e000"]

    def why(self, executor: Executor, now: float = 100.0) -> ClosedReason | None:
        why = executor.why_closed(now=now, reach_s=1.5, delisted_grace_s=2.0)
        assert executor.is_open(now=now, reach_s=1.5, delisted_grace_s=2.0) is (why is None)
        return why

    def test_an_open_one_has_no_reason(self) -> None:
        assert self.why(self.executor()) is None

    @pytest.mark.parametrize(
        ("field", "closed"),
        [("is_draining", ClosedReason.DRAINING), ("is_usable", ClosedReason.UNUSABLE)],
    )
    def test_closed_by_the_executor_list(self, field: str, closed: ClosedReason) -> None:
        executor = self.executor()
        value = not getattr(executor.info, field)
        executor.set_info(replace(executor.info, **{field: value}))  # type: ignore[arg-type]
        assert self.why(executor) is closed

    @pytest.mark.parametrize(
        ("field", "value", "closed"),
        [
            ("cordons", {Cordon.POOL}, ClosedReason.CORDONED),
            ("unknown_runs", frozenset({(TaskKey(JOB, 0, 0, 0), 1)}), ClosedReason.UNKNOWN_RUNS),
            ("paused_until", 101.0, ClosedReason.PAUSED),
            ("start_unanswered_at", 100.0, ClosedReason.UNANSWERED_START),
            ("answered_at", 98.0, ClosedReason.NOT_ANSWERED),
            ("answered_at", None, ClosedReason.NOT_ANSWERED),
        ],
    )
    def test_closed_by_the_leader(self, field: str, value: object, closed: ClosedReason) -> None:
        executor = self.executor()
        setattr(executor, field, value)
        assert self.why(executor) is closed

    def test_an_executor_delisted_for_longer_than_the_grace_period(self) -> None:
        executor = self.executor()
        executor.is_listed = False
        executor.delisted_at = 99.0
        assert self.why(executor) is None
        executor.delisted_at = 97.0
        assert self.why(executor) is ClosedReason.DELISTED

    def test_an_executor_that_never_answered(self) -> None:
        clock = LeaseClock(timings=WaitReportHarness().core.timings, unknown_until=0.0)
        executor = Executor(info=make_info("e1"), clock=clock, now=100.0)
        assert self.why(executor) is ClosedReason.NOT_ANSWERED

    def test_the_load_report_counts_them_by_reason(self) -> None:
        harness = WaitReportHarness(executors=4)
        harness.core.executors_by_id["e000"].cordons.add(Cordon.WAVE)
        harness.core.executors_by_id["e001"].paused_until = harness.now + 60.0
        harness.core.executors_by_id["e002"].paused_until = harness.now + 60.0
        (load,) = fields_of(harness.wait(1), "cell.load")
        expected = {"open": "1", "closed_cordoned": "1", "closed_paused": "2"}
        assert expected.items() <= load.items()
        assert {name for name in load if name.startswith("closed_")} == expected.keys() - {"open"}

    def test_the_load_report_counts_calls_for_advice(self) -> None:
        harness = WaitReportHarness(executors=4, hosts=6)
        harness.submit_advised(make_step(1))
        (load,) = fields_of(harness.wait(1), "cell.load")
        assert load["advice_calls"] == "1"
        assert load["advice_calls_at_once"] == "6"


class TestStops:
    def stalled(self) -> tuple[WaitReportHarness, list[Note]]:
        """Run a gang of two whose members both stall at 40 percent."""
        harness = WaitReportHarness(executors=2)
        harness.submit(make_job(make_step(2, cores=FULL, is_gang=True, estimate_s=9.0)))
        harness.confirm_starts(harness.step())
        harness.answer_listings(40)
        for _ in range(int(STALL_TIMEOUT_S) + 1):
            harness.now += 1.0
            harness.answer_listings(40)
            harness.decide()
        return harness, [note for note in harness.core.take_notes() if note.step == "run.stop"]

    def test_a_stop_names_rule_percent_executor_and_how_often(self) -> None:
        _, notes = self.stalled()
        fields = notes[0].fields
        assert fields["rule"] == "stands_still"
        assert fields["percent"] == "40"
        assert fields["executor"] in {"e000", "e001"}
        assert fields["stopped_so_far"] == "1"

    def test_a_gang_run_counts_once(self) -> None:
        harness, notes = self.stalled()
        assert len(notes) == 2
        assert harness.core.stopped_by_rule == {StopRule.STALLED: 1}

    def test_stops_appear_in_the_line_of_the_job(self) -> None:
        harness, _ = self.stalled()
        for executor_id in ("e000", "e001"):
            harness.listing(executor_id)
            harness.core.executors_by_id[executor_id].paused_until = harness.now + 60.0
        for task in list(harness.core.jobs_by_id[JOB].tasks()):
            harness.core._ends.apply(task.key, 1, RunEnd.STOPPED, wall=harness.wall)
        lines = fields_of(harness.wait(int(LONG_WAIT_S) + 2), "job.waiting")
        assert lines[0]["stops"] == "stands_still:1"
        assert lines[0]["runs"] == "1"
        assert lines[0]["reason"] == "none_open"

    def test_a_start_without_an_answer(self) -> None:
        harness = WaitReportHarness(executors=1)
        harness.submit(make_job(make_step(1)))
        (order,) = harness.step()
        for _ in range(harness.core.timings.start_tries):
            harness.core.on_start(order, StartOutcome.UNKNOWN, now=harness.now, wall=harness.wall)
        assert harness.core.stopped_by_rule == {StopRule.NO_ANSWER: 1}

    def test_single_tasks_count_each(self) -> None:
        stops = JobStops()
        first, second = (TaskKey(JOB, 0, 0, number) for number in range(2))
        assert stops.count(first, 1, StopRule.SLOW_EXECUTOR, is_gang=False)
        assert stops.count(second, 1, StopRule.SLOW_EXECUTOR, is_gang=False)
        assert not stops.count(second, 1, StopRule.MEMBER_ENDED, is_gang=False)
        assert stops.count(second, 2, StopRule.SLOW_EXECUTOR, is_gang=False)
        assert stops.by_rule == {StopRule.SLOW_EXECUTOR: 3}


class _LeadershipState:
    """The attributes of a leading host that the gauges read."""

    is_leading = True
    token = job_count = executor_count = 1
    last_append_s = 0.0

    def __init__(self) -> None:
        self.waiting_by_reason = {WaitReason.ROOM_KEPT: 3}
        self.stopped_by_rule = {StopRule.STALLED: 2}


class _Host:
    leadership = _LeadershipState()


class TestMetrics:
    def test_waiting_steps_and_stopped_runs_are_shown(self) -> None:
        metrics = Metrics()
        CellMetrics(metrics=metrics).watch(_Host())  # type: ignore[arg-type]
        metrics._gauges = [gauge for gauge in metrics._gauges if "config" not in gauge[0]]
        page = trio.run(metrics.page).decode()
        assert 'galenastall_waiting_steps{reason="room_kept"} 3.0' in page
        assert 'galenastall_stopped_runs{rule="stands_still"} 2.0' in page


class TestDocumentation:
    """The guide lists every reason and rule that log lines contain."""

    PAGE = Path(__file__).parents[1] / "docs" / "guide" / "observability.md"

    @pytest.mark.parametrize("kind", [WaitReason, ClosedReason, StopRule])
    def test_all_reasons_and_rules_are_named(self, kind: type[StrEnum]) -> None:
        page = self.PAGE.read_text()
        assert [name.value for name in kind if f"`{name.value}`" not in page] == []


START_S = 1_000.0


def line(at_s: float, event: str, *subjects: str, **fields: str) -> str:
    value = {"at": f"{round((START_S + at_s) * 1000)}.0", "process": "entry-1/x", "event": event}
    return msgspec.json.encode({**value, "subjects": subjects, **fields}).decode()


def gang_run(run: int, at_s: float, *, stopped_at_s: float, percent: str) -> list[str]:
    """Return the log lines of a gang of two whose run stalls and is stopped."""
    tasks = ("0.0.0", "0.0.1")
    fields = {"rule": "stands_still", "run": str(run), "percent": percent}
    fields["stopped_so_far"] = str(run)
    follows = {"rule": "member_ended", "run": str(run), "stopped_so_far": "0"}
    return [
        *(line(at_s, "run.assigned", "a", task, run=str(run)) for task in tasks),
        line(stopped_at_s, "run.stop", "a", tasks[0], **fields),
        line(stopped_at_s + 0.1, "run.ended", "a", tasks[0], run=str(run), cause="stopped"),
        line(stopped_at_s + 0.1, "run.stop", "a", tasks[1], **follows),
        line(stopped_at_s + 0.2, "run.ended", "a", tasks[1], run=str(run), cause="stopped"),
    ]


STOPPED = (
    line(1.0, "job.accepted", "a", queue="gangs"),
    *gang_run(1, 2.0, stopped_at_s=6.0, percent="40"),
    *gang_run(2, 7.1, stopped_at_s=11.0, percent="41"),
    line(20.0, "job.waiting", "a", "0.0", reason="no_host"),
    line(30.0, "job.waiting", "a", "0.0", reason="room_kept"),
    line(40.0, "job.waiting", "a", "0.0", reason="room_kept"),
    line(40.0, "cell.waiting", **{"gangs:room_kept": "3", "gangs:no_host": "1", "others": "2"}),
    line(41.0, "cell.waiting", **{"gangs:room_kept": "2"}),
    line(101.1, "cell.load"),
)


class TestExplain:
    def wait(self, *texts: str) -> JobWait:
        (wait,) = waits_of(parse_lines(texts))
        return wait

    def test_waits_after_the_first_start_reach_to_the_end_of_the_log(self) -> None:
        wait = self.wait(*STOPPED)
        assert wait.total_s == pytest.approx(1.0)
        assert wait.restart_wait_s == pytest.approx(91.0)
        assert wait.restarts.runs == 2
        assert wait.restarts.is_waiting

    def test_a_stopped_gang_run_is_listed_once(self) -> None:
        assert self.wait(*STOPPED).restarts.stops == (
            ("stands_still", "40"),
            ("stands_still", "41"),
        )

    def test_stops_and_reasons_are_in_the_text(self) -> None:
        text = "\n".join(format_waits(waits_of(parse_lines(STOPPED)), longest=1))
        assert "between runs 91.000 s" in text
        assert "2 runs; the longest time from the end of a run to the next 90.000 s" in text
        assert "and still waiting after the last" in text
        assert "stopped by the leader 2 times as stands_still at 40, 41%" in text
        assert "reported as waiting: room_kept 2, no_host 1" in text

    def test_stops_that_follow_the_end_of_a_job_are_left_out(self) -> None:
        stop = line(3.0, "run.stop", "a", "0.0.0", run="1", rule="job_ended", stopped_so_far="1")
        wait = self.wait(line(1.0, "job.accepted", "a", queue="q"), stop)
        assert wait.restarts.stops == ()
        assert format_restarts(wait.restarts) == []

    @pytest.mark.parametrize(
        ("is_reported", "waited_s"),
        [(False, 0.0), (True, 5.0)],
    )
    def test_a_lapsed_member_of_a_finished_gang_does_not_wait(
        self, is_reported: bool, waited_s: float
    ) -> None:
        texts = [
            line(1.0, "job.accepted", "a", queue="q"),
            line(1.0, "run.assigned", "a", "0.0.0", run="1"),
            line(1.0, "run.assigned", "a", "0.0.1", run="1"),
            line(4.0, "run.ended", "a", "0.0.0", run="1", cause="done"),
            line(5.0, "run.ended", "a", "0.0.1", run="1", cause="lapsed"),
            line(10.0, "job.ended", "a"),
        ]
        if is_reported:
            texts.append(line(9.9, "job.waiting", "a", "0.0", reason="no_room"))
        assert self.wait(*texts).restart_wait_s == pytest.approx(waited_s)

    def test_reasons_are_summed_by_queue(self) -> None:
        sums = reasons_by_queue(parse_lines(STOPPED))
        assert sums == {"gangs": {"room_kept": 5, "no_host": 1}}
        (text,) = format_reasons(sums)
        assert text.endswith("room_kept 5, no_host 1")

    def test_the_command_prints_reasons_and_stops(self, tmp_path: Path) -> None:
        (tmp_path / "one.log").write_text("\n".join(STOPPED))
        result = CliRunner().invoke(app, ["explain", "--logs", str(tmp_path), "--waiting"])
        assert result.exit_code == 0, result.output
        for text in ("room_kept 5", "stands_still at 40, 41%", "reported as waiting"):
            assert text in result.output
