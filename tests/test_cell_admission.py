"""Refusal of jobs for load: the estimate, the decision, who confirms it, and when callers return.

Jobs that arrived faster than executors could run them were all accepted, and some ended without
value. A refusal must be true, and must not meet jobs that are stored, that would start at once or
that are within their workspace's rate while another one floods the cell.
"""

from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
import trio
from returns.result import Failure, Result, Success

from cell.rig import QUEUE, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.backlog import Backlog, WaitingWork
from galenastall.coordination.cell.booked_returns import MAX_RETURN_S, BookedReturns, ReturnRank
from galenastall.coordination.cell.contention import contention_rules
from galenastall.coordination.cell.job_admission import JobKind, NewJob, decide
from galenastall.coordination.cell.job_rates import JobRates
from galenastall.coordination.cell.mechanisms import Mechanism
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.turnover import MEASURED_S, Turnover
from galenastall.coordination.cell.wait_queue import OrderKey
from galenastall.node.cell.caller_handler import CallerHandler
from galenastall.node.cell.leader_handler import LeaderHandler
from galenastall.protocol.cell.messages import SubmitAnswer, SubmitJob, SubmitVerdict
from galenastall.state.cell.jobs import AdvisorTiming, CellJob, StepKey
from galenastall.state.cell.phases import RunEnd
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.state.resources import Resources

CORE = Resources(cores_milli=1000, memory_mb=1)
WORKSPACES = (Workspace(name="large", weight=1.0), Workspace(name="small", weight=1.0))
FLOOD_JOBS = 240
ADVISOR = AdvisorTiming(base_s=0.1, per_executor_s=0.0, validity_s=1.0)


def key_at(objective: float) -> OrderKey:
    return (0, 0, 0, objective, StepKey("", 0, 0))


def make_backlog(*counts: int, turnover_per_s: float | None = 0.5) -> Backlog:
    """Return a full service of 100 cores, with works of so many cores each waiting."""
    works = [
        WaitingWork(key=key_at(float(at)), need=CORE, count=count)
        for at, count in enumerate(counts)
    ]
    total = Resources(cores_milli=100_000, memory_mb=1_000_000)
    return Backlog.build(works, free=Resources(), total=total, turnover_per_s=turnover_per_s)


def make_new(*, cores: int = 3, is_within_rate: bool = True, objective_s: float = 2.0) -> NewJob:
    return NewJob(
        kind=JobKind(queue="q", is_within_rate=is_within_rate),
        key=key_at(1_000.0),
        need=CORE.times(cores),
        task=CORE,
        work_s=1.0,
        objective_s=objective_s,
        worthless_s=3 * objective_s,
    )


class TestBacklog:
    def test_a_job_waits_for_the_work_before_it_alone(self) -> None:
        backlog = make_backlog(100, 100)
        assert backlog.wait_s(key_at(0.5), CORE, CORE) == pytest.approx(1.01 / 0.5)
        assert backlog.wait_s(key_at(9.0), CORE, CORE) == pytest.approx(2.01 / 0.5)

    def test_larger_tasks_do_not_count_as_they_leave_capacity_that_is_too_small_for_them(
        self,
    ) -> None:
        half = Resources(cores_milli=500, memory_mb=1)
        assert make_backlog(500).wait_s(key_at(9.0), half, half) == pytest.approx(0.01)

    def test_a_gang_of_80_waits_longer_than_three_tasks(self) -> None:
        backlog = make_backlog(10)
        waits = [backlog.wait_s(key_at(9.0), CORE.times(count), CORE) for count in (3, 80)]
        assert waits == [pytest.approx(0.26), pytest.approx(1.8)]

    def test_no_wait_is_known_without_a_measured_rate(self) -> None:
        assert make_backlog(500, turnover_per_s=None).wait_s(key_at(9.0), CORE, CORE) is None


class TestTurnover:
    def measure(self, turnover: Turnover, *, for_s: float, releases: int) -> None:
        for step in range(int(for_s * 4) + 1):
            for _ in range(releases):
                turnover.note_release(CORE)
            turnover.measure(now=step / 4, used=CORE.times(8))

    def test_it_is_unknown_until_measured_for_long_enough(self) -> None:
        turnover = Turnover()
        self.measure(turnover, for_s=MEASURED_S - 1.0, releases=1)
        assert turnover.per_s is None

    def test_it_is_the_released_share_of_what_is_in_use(self) -> None:
        turnover = Turnover()
        self.measure(turnover, for_s=3 * MEASURED_S, releases=1)
        assert turnover.per_s == pytest.approx(0.5)


class TestDecision:
    @pytest.mark.parametrize(
        ("is_within_rate", "waiting", "is_refusing", "is_refused"),
        [
            (True, 340, False, False),
            (True, 380, False, True),
            (True, 340, True, True),
            (True, 290, True, False),
            (False, 340, False, False),
            (False, 380, False, True),
        ],
    )
    def test_it_is_refused_only_well_beyond_its_last_useful_time(
        self, is_within_rate: bool, waiting: int, is_refusing: bool, is_refused: bool
    ) -> None:
        job = make_new(is_within_rate=is_within_rate)
        refusal = decide(job, make_backlog(waiting), is_refusing=is_refusing)
        assert (refusal is not None) is is_refused

    def test_the_time_to_return_is_when_a_new_one_would_be_in_time(self) -> None:
        refusal = decide(make_new(), make_backlog(497), is_refusing=False)
        assert refusal is not None
        assert refusal.free_in_s == pytest.approx(10.0 - 1.0)


class TestBookedReturns:
    """All refused callers returned at once, and most were refused again."""

    def book(self, returns: BookedReturns, rank: ReturnRank, count: int) -> list[int]:
        return [
            returns.book(now=0.0, free_in_s=1.5, share=0.1, per_s=0.4, rank=rank)
            for _ in range(count)
        ]

    def test_callers_are_spread_over_seconds_and_told_at_most_the_longest(self) -> None:
        returns = BookedReturns()
        told = self.book(returns, ReturnRank(is_within_rate=True, is_urgent=True), 100)
        assert told[:5] == [2, 2, 3, 3, 4]
        assert max(told) == MAX_RETURN_S

    def test_those_within_their_rate_return_before_those_beyond_it(self) -> None:
        returns = BookedReturns()
        self.book(returns, ReturnRank(is_within_rate=False, is_urgent=True), 20)
        assert self.book(returns, ReturnRank(is_within_rate=True, is_urgent=False), 1) == [2]
        assert self.book(returns, ReturnRank(is_within_rate=False, is_urgent=True), 1) > [10]


class Flood:
    """Two executors of four cores, full for long enough, and a workspace that floods them."""

    def __init__(self, *, busy_s: float = 6.0, weights: tuple[Workspace, ...] = WORKSPACES) -> None:
        self.rig = Harness(make_info("e0"), make_info("e1"))
        self.core = self.rig.core
        self.core.set_workspaces(weights)
        self.position = 0
        self.jobs = 0
        for _ in range(int(busy_s * 2)):
            self.run_for_half_a_second()
        for _ in range(FLOOD_JOBS):
            self.submit("large")
        self.rig.step()

    def run_for_half_a_second(self) -> None:
        for _ in range(8):
            self.submit("")
        orders = self.rig.step()
        self.rig.confirm_starts(orders)
        self.rig.now += 0.5
        for order in orders:
            self.position += 1
            self.rig.end(order, RunEnd.DONE, position=self.position)

    def make(self, workspace: str, **fields: Any) -> CellJob:
        self.jobs += 1
        job = make_job(make_step(), job_id=f"{self.jobs:016x}", workspace=workspace)
        return replace(job, submitted_at=self.rig.wall, **fields)

    def submit(self, workspace: str) -> CellJob:
        job = self.make(workspace)
        self.rig.submit(job)
        return job

    def refuses(self, job: CellJob) -> bool:
        found = self.core.why_overloaded(job, now=self.rig.now, wall=self.rig.wall)
        return found is not None


class TestFloodOfOneWorkspace:
    def test_its_jobs_beyond_its_rate_are_refused_with_a_time_to_return(self) -> None:
        flood = Flood()
        job = flood.make("large")
        refusal = flood.core.why_overloaded(job, now=flood.rig.now, wall=flood.rig.wall)
        assert refusal is not None
        told = flood.core.note_overloaded(job, refusal, now=flood.rig.now)
        assert refusal.free_in_s <= told <= MAX_RETURN_S
        assert flood.core.refused_by_reason == {("beyond_rate", "large"): 1}
        (note,) = [n for n in flood.core.take_notes() if n.step == "job.overloaded"]
        assert note.subjects == (job.job_id,)
        assert {"wait_s", "may_wait_s", "share_ahead", "turnover_per_s"} <= note.fields.keys()

    def test_a_workspace_within_its_rate_is_accepted(self) -> None:
        flood = Flood()
        assert not flood.refuses(flood.make("small"))

    def test_it_would_be_refused_if_its_rate_did_not_count(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        flood = Flood()
        monkeypatch.setattr(JobRates, "allows", lambda *_, **__: False)
        assert flood.refuses(flood.make("small"))

    def test_refused_jobs_leave_no_entries(self) -> None:
        flood = Flood()
        job = replace(flood.make("large"), queue=replace(QUEUE, advisor=ADVISOR))
        flood.core.set_queues([QUEUE, job.queue])
        assert flood.refuses(job)
        assert StepKey(job.job_id, 0, 0) not in flood.core._advice._advice_by_step

    def test_a_stored_job_is_accepted_again(self) -> None:
        flood = Flood()
        job = flood.submit("large")
        assert not flood.refuses(job)

    def test_a_stored_job_would_be_refused_if_that_were_not_checked(self) -> None:
        flood = Flood()
        job = flood.submit("large")
        consider = flood.core._admission.consider
        found = consider(job, is_within_rate=False, now=flood.rig.now, wall=flood.rig.wall)
        assert found is not None

    def test_a_stored_job_is_accepted_by_the_next_leader(self) -> None:
        flood = Flood()
        job = flood.submit("large")
        later = Harness(make_info("e0"), make_info("e1"), rows=flood.rig.rows)
        later.core.set_workspaces(WORKSPACES)
        later.step()
        assert later.core.why_overloaded(job, now=later.now, wall=later.wall) is None
        assert later.core.submit(job, wall=later.wall).is_durable

    def test_a_leader_without_a_measured_rate_refuses_nothing(self) -> None:
        flood = Flood(busy_s=3.0)
        assert not flood.refuses(flood.make("large"))

    def test_a_job_for_which_there_is_capacity_is_accepted(self) -> None:
        flood = Flood()
        flood.rig.update_fleet(*flood.rig.infos, make_info("e2", cores=400_000))
        flood.rig.listing("e2")
        flood.rig.step()
        assert not flood.refuses(flood.make("large"))

    @pytest.mark.parametrize(
        "change",
        [
            lambda job: replace(job, steps=(make_step(is_long_running=True),)),
            lambda job: replace(job, steps=(make_step(label="a"),)),
        ],
    )
    def test_lasting_and_labelled_jobs_are_accepted(
        self, change: Callable[[CellJob], CellJob]
    ) -> None:
        flood = Flood()
        assert not flood.refuses(change(flood.make("large")))

    def test_a_weight_cut_to_a_tenth_makes_further_jobs_exceed_the_rate(self) -> None:
        flood = Flood()
        flood.core.set_workspaces([Workspace(name="small", weight=0.1)])
        assert not flood.refuses(flood.submit("small"))
        assert flood.refuses(flood.make("small"))

    def test_a_workspace_removed_in_the_flood_keeps_its_rate(self) -> None:
        flood = Flood()
        flood.core.set_workspaces([WORKSPACES[1]])
        assert flood.refuses(flood.make("large"))
        assert not flood.refuses(flood.make("small"))

    def test_nothing_is_refused_without_competing_workspaces(self) -> None:
        flood = Flood(weights=WORKSPACES[:1])
        assert not flood.refuses(flood.make("large"))

    def test_nothing_is_refused_with_the_part_switched_off(self) -> None:
        flood = Flood()
        flood.core._state.contention = contention_rules(
            WORKSPACES, frozenset({Mechanism.ADMISSION})
        )
        assert not flood.refuses(flood.make("large"))


class FakeTerm:
    """A term whose store confirms it, or does not."""

    def __init__(self, core: CellScheduler, *, wall: float, is_confirmed: bool = True) -> None:
        self.core = core
        self.ready = trio.Event()
        self.ready.set()
        self.loss = ""
        self.store_outage_s = 0.0
        self.on_confirm: Callable[[], None] = lambda: None
        self._is_confirmed = is_confirmed
        self.context = SimpleNamespace(
            wall=lambda: wall,
            confirmed_at=float("-inf"),
            confirmed=trio.Event(),
            committed=trio.Event(),
            note=lambda *_, **__: None,
        )

    def request_commit(self) -> None:
        if self._is_confirmed:
            self.context.confirmed_at = trio.current_time()
            self.on_confirm()


class TestLeader:
    """A refusal says that a job is not stored, which only a confirmed leader knows."""

    async def submit(self, term: FakeTerm, job: CellJob) -> Any:
        handler = LeaderHandler(
            term=term,  # type: ignore[arg-type]
            host_id="entry-0",
            has_followers=lambda: True,
        )
        return await handler.submit(SubmitJob(job=job, patience_s=3.0))

    async def test_a_refusal_is_told_with_a_time_to_return(self, autojump_clock: object) -> None:
        flood = Flood()
        answer = await self.submit(FakeTerm(flood.core, wall=flood.rig.wall), flood.make("large"))
        assert answer.verdict is SubmitVerdict.OVERLOADED
        assert answer.retry_after_s >= 1.0

    async def test_a_leader_lost_before_it_is_confirmed_does_not_refuse(
        self, autojump_clock: object
    ) -> None:
        flood = Flood()
        term = FakeTerm(flood.core, wall=flood.rig.wall)
        term.on_confirm = lambda: setattr(term, "loss", "a newer leader")
        answer = await self.submit(term, flood.make("large"))
        assert isinstance(answer, StepError)
        assert answer.reason is Reason.NOT_OWNER

    async def test_a_job_stored_while_the_leader_is_confirmed_is_not_refused(
        self, autojump_clock: object
    ) -> None:
        flood = Flood()
        job = flood.make("large")
        term = FakeTerm(flood.core, wall=flood.rig.wall)
        term.on_confirm = lambda: flood.rig.submit(job)
        assert (await self.submit(term, job)).verdict is SubmitVerdict.ACCEPTED

    @pytest.mark.parametrize("store_outage_s", [0.1, 2.0])
    async def test_while_the_store_is_away_the_answer_is_as_without_the_flood(
        self, autojump_clock: object, store_outage_s: float
    ) -> None:
        flood = Flood()
        term = FakeTerm(flood.core, wall=flood.rig.wall, is_confirmed=False)
        term.store_outage_s = store_outage_s
        answer = await self.submit(term, flood.make("large"))
        assert answer.verdict is SubmitVerdict.NOT_RUN
        assert "store" in answer.cause


class FakeLink:
    """Gives the answers of a leader in turn, the last one again and again."""

    def __init__(self, *answers: Result[Any, StepError]) -> None:
        self._answers = list(answers)

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Do nothing: nobody calls this host."""

    async def call(self, *, peer: HostId, message: object, timeout_s: float) -> Any:
        return self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]


class TestHost:
    """A host whose first try may have stored the job must not pass a refusal on as certain."""

    OVERLOADED = Success(SubmitAnswer(verdict=SubmitVerdict.OVERLOADED, retry_after_s=7.0))
    LOST = Failure(
        StepError(step="peer.call", peer="entry-0", reason=Reason.TIMEOUT, detail="no answer")
    )

    @pytest.mark.parametrize(
        ("answers", "verdict"),
        [
            ((OVERLOADED,), SubmitVerdict.OVERLOADED),
            ((LOST, OVERLOADED), SubmitVerdict.UNKNOWN),
            (
                (LOST, OVERLOADED, Success(SubmitAnswer(verdict=SubmitVerdict.ACCEPTED))),
                SubmitVerdict.ACCEPTED,
            ),
        ],
    )
    async def test_a_refusal_after_an_unanswered_try_is_not_certain(
        self,
        autojump_clock: object,
        answers: tuple[Result[Any, StepError], ...],
        verdict: SubmitVerdict,
    ) -> None:
        leadership: Any = SimpleNamespace(
            leader=HostId("entry-0"), has_leader=True, changed=trio.Event(), leader_handler=None
        )
        link: Any = FakeLink(*answers)
        config: Any = SimpleNamespace()
        handler = CallerHandler(
            host_id=HostId("entry-1"), link=link, leadership=leadership, config=config
        )
        outcome = await handler.submit(make_job(make_step(), queue=QUEUE), patience_s=3.0)
        assert outcome.verdict is verdict
        if verdict is SubmitVerdict.OVERLOADED:
            assert outcome.retry_after_s == 7.0
