"""Jobs of entry hosts of other versions, which may accept numbers that no leader can handle."""

from dataclasses import replace
from math import inf, nan
from types import SimpleNamespace
from typing import Any, Final

import pytest
import trio
from returns.result import Failure, Result

from cell.rig import JOB, Harness, make_info, make_job, make_step
from galenastall.node.cell.caller_handler import CallerHandler, SubmitOutcome
from galenastall.node.cell.leader_handler import LeaderHandler
from galenastall.protocol.cell.messages import SubmitAnswer, SubmitJob, SubmitVerdict
from galenastall.state.cell.job_limits import MAX_TASKS, limit_problem
from galenastall.state.cell.jobs import CellJob, Recurrence
from galenastall.state.errors import Reason, StepError
from galenastall.state.resources import Resources

RECURRENCE: Final = Recurrence(first_due=0.0, interval_s=1.0, times=2)
ODD_JOBS: Final[dict[str, CellJob]] = {
    "steps: expected at least one": make_job(),
    "steps[0].count: expected 1 to 4000, got 0": make_job(make_step(0)),
    "steps[0].count: expected 1 to 4000, got 1000000000000": make_job(make_step(10**12)),
    "steps: at most 4000 tasks": make_job(make_step(MAX_TASKS), make_step(1)),
    "steps[0].cores_milli": make_job(make_step(cores=2**63)),
    "steps[0].memory_mb": make_job(make_step(need=Resources(memory_mb=-1))),
    "steps[0].accelerators": make_job(make_step(need=Resources(accelerators=10**5_000))),
    "steps[0].estimate_s: expected 0 to 9007199254740992, got nan": make_job(
        make_step(estimate_s=nan)
    ),
    "steps[0].estimate_s: expected 0 to 9007199254740992, got inf": make_job(
        make_step(estimate_s=inf)
    ),
    "steps[0].most_per_executor": make_job(make_step(most_per_executor=10**20)),
    "steps[0].tail_target_ms": make_job(make_step(tail_target_ms=int(1.7e308))),
    "steps[0].most_unavailable": make_job(make_step(most_unavailable=-1)),
    "steps[1].after": make_job(make_step(), make_step(after=(1,))),
    "first_due": make_job(make_step(), recurrence=replace(RECURRENCE, first_due=1e308)),
    "interval_s": make_job(make_step(), recurrence=replace(RECURRENCE, interval_s=-1.0)),
    "times": make_job(make_step(), recurrence=replace(RECURRENCE, times=10**20)),
}


class Leader:
    """A leader's handler of submissions, on the link of an entry host."""

    def __init__(self) -> None:
        self.harness = Harness(make_info("a@1"))
        context = SimpleNamespace(
            wall=lambda: self.harness.wall, committed=trio.Event(), note=lambda *_, **__: None
        )
        ready = trio.Event()
        ready.set()
        term: Any = SimpleNamespace(
            context=context,
            core=self.harness.core,
            ready=ready,
            loss="",
            store_outage_s=0.0,
            request_commit=self.harness.commit,
        )
        self.handler = LeaderHandler(term=term, host_id="h1", has_followers=lambda: True)

    def handle(self, _kind: object, _handler: object) -> None:
        """Take calls by no handler."""

    async def call(self, *, peer: str, message: SubmitJob, timeout_s: float) -> Result[Any, Any]:
        answer = await self.handler.submit(message)
        return Failure(answer) if isinstance(answer, StepError) else Result.from_value(answer)

    async def submit(self, job: CellJob) -> SubmitAnswer | StepError:
        return await self.handler.submit(SubmitJob(job=job, patience_s=2.0))

    async def submit_for_caller(self, job: CellJob, *, may_be_stored: bool) -> SubmitOutcome:
        leadership = SimpleNamespace(has_leader=True, leader="h1", changed=trio.Event())
        caller: Any = CallerHandler(
            host_id="h2",  # type: ignore[arg-type]
            link=self,  # type: ignore[arg-type]
            leadership=leadership,  # type: ignore[arg-type]
            config=None,  # type: ignore[arg-type]
        )
        outcome = await caller.submit(job, patience_s=2.0, may_be_stored=may_be_stored)
        assert isinstance(outcome, SubmitOutcome)
        return outcome


class TestLeaders:
    @pytest.mark.parametrize("problem", ODD_JOBS)
    async def test_a_job_out_of_bounds_does_not_enter_the_leaders_state(
        self, problem: str, autojump_clock: object
    ) -> None:
        leader = Leader()
        answer = await leader.submit(ODD_JOBS[problem])
        assert isinstance(answer, StepError)
        assert answer.reason is Reason.INVALID
        assert answer.detail.startswith(problem)
        assert len(answer.detail) < 300
        assert JOB not in leader.harness.core.jobs_by_id
        leader.harness.step()
        assert not any(JOB in key for key in leader.harness.rows)

    async def test_a_sound_job_is_accepted_beside_it(self, autojump_clock: object) -> None:
        leader = Leader()
        await leader.submit(ODD_JOBS["steps[0].tail_target_ms"])
        answer = await leader.submit(make_job(make_step()))
        assert answer == SubmitAnswer(verdict=SubmitVerdict.ACCEPTED)

    async def test_a_job_that_was_accepted_before_stays_accepted(
        self, autojump_clock: object
    ) -> None:
        leader = Leader()
        job = make_job(make_step(cores=2**50))
        leader.harness.submit(job)
        assert await leader.submit(job) == SubmitAnswer(verdict=SubmitVerdict.ACCEPTED)

    def test_numbers_at_the_bounds_are_sound(self) -> None:
        step = make_step(estimate_s=2.0**53, tail_target_ms=2**53, most_per_executor=2**53)
        recurrence = Recurrence(first_due=-(2.0**53), interval_s=0.0, times=2**53)
        job = make_job(step, make_step(after=(0,)), recurrence=recurrence)
        assert limit_problem(job) == ""


class TestCallers:
    async def test_a_caller_is_told_at_once_what_is_wrong(self, autojump_clock: object) -> None:
        job = ODD_JOBS["steps[0].most_per_executor"]
        began_at = trio.current_time()
        outcome = await Leader().submit_for_caller(job, may_be_stored=False)
        assert trio.current_time() == began_at
        assert outcome.verdict is SubmitVerdict.NOT_RUN
        assert outcome.problem.startswith("steps[0].most_per_executor: expected 0 to")

    async def test_a_job_that_an_earlier_leader_may_have_stored_is_not_called_refused(
        self, autojump_clock: object
    ) -> None:
        job = ODD_JOBS["steps[0].most_per_executor"]
        outcome = await Leader().submit_for_caller(job, may_be_stored=True)
        assert outcome.verdict is SubmitVerdict.UNKNOWN
        assert outcome.problem == ""
