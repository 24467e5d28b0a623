"""The leader's handlers for entry hosts' calls about jobs."""

from collections.abc import Callable
from typing import Final

import trio

from galenastall.coordination.cell.job_runs import JobRun
from galenastall.node.cell.leader_term import LeaderTerm
from galenastall.protocol.cell.messages import (
    CancelJob,
    CountPending,
    GetJob,
    JobAnswer,
    PendingAnswer,
    SubmitAnswer,
    SubmitJob,
    SubmitVerdict,
)
from galenastall.state.cell.job_limits import limit_problem
from galenastall.state.cell.phases import ENDED_PHASES
from galenastall.state.cell.workspaces import may_access
from galenastall.state.errors import Reason, StepError

BEGIN_WITHIN_S: Final = 0.7
"""A submission whose append has not begun by then is withdrawn and answered as not run."""
SHARE_OF_PATIENCE: Final = 0.4
"""Largest share of a caller's time after which it is answered that its job is not stored, or that
the outcome is unknown, so that it can still retry."""
LAST_TRY_S: Final = 0.3
"""A caller with less time makes no further try, so the current one gets most of it: an append takes
some 10 ms."""
LAST_TRY_SHARE: Final = 0.8
"""Share of a caller's time for its last try; the rest is for the way back."""
STORE_OUTAGE_S: Final = 0.5
"""Once appends have failed for longer, submissions are refused at once instead of waiting."""
LEADER_STEP: Final = "cell.leader"
"""Step of the errors that a leader answers with itself."""


def is_last_try(patience_s: float) -> bool:
    """Return whether a caller with this time left can't make a further try."""
    return patience_s <= LAST_TRY_S


def answer_within_s(patience_s: float) -> float:
    """Return for how long a submission may stay unanswered of the time that its caller has left."""
    share = LAST_TRY_SHARE if is_last_try(patience_s) else SHARE_OF_PATIENCE
    return share * patience_s


class LeaderHandler:
    """Serves calls during one term."""

    def __init__(
        self, *, term: LeaderTerm, host_id: str, has_followers: Callable[[], bool]
    ) -> None:
        """Answer from the core of `term`; `has_followers`: whether most hosts follow it."""
        self._term = term
        self._host_id = host_id
        self._has_followers = has_followers

    async def submit(self, message: SubmitJob) -> SubmitAnswer | StepError:
        """Accept a job; answer once the outcome is known or the caller's time share is used up."""
        if not await self._is_ready(message.patience_s):
            return self._error(Reason.NOT_OWNER, "not leading yet")
        term = self._term
        if message.job.job_id not in term.core.jobs_by_id:
            # An entry host of another version may accept other numbers.
            problem = limit_problem(message.job)
            if problem:
                return self._error(Reason.INVALID, problem)
            if term.store_outage_s > STORE_OUTAGE_S:
                return self._not_stored()
        run = term.core.submit(message.job, wall=term.context.wall())
        if not may_access(owner=run.job.workspace, workspace=message.job.workspace):
            return SubmitAnswer(verdict=SubmitVerdict.TAKEN, cause="another workspace has this id")
        term.request_commit()
        timeout_s = answer_within_s(message.patience_s)
        await self._wait_durable(run, min(timeout_s, BEGIN_WITHIN_S))
        if run.is_durable:
            return SubmitAnswer(verdict=SubmitVerdict.ACCEPTED)
        if term.core.withdraw(message.job.job_id):
            if term.loss:
                return self._error(Reason.NOT_OWNER, term.loss)
            term.context.note("job.withdrawn", message.job.job_id, cause="the store is unavailable")
            return self._not_stored()
        await self._wait_durable(run, max(timeout_s - BEGIN_WITHIN_S, 0.0))
        if run.is_durable:
            return SubmitAnswer(verdict=SubmitVerdict.ACCEPTED)
        return SubmitAnswer(verdict=SubmitVerdict.UNKNOWN, cause="no answer from the store")

    def _not_stored(self) -> SubmitAnswer:
        """Answer for a job that this leader has not stored while the store is unavailable.

        While most hosts follow this leader there is no other, so no other can have stored the job.
        """
        cause = "the store is unavailable"
        if self._has_followers():
            return SubmitAnswer(verdict=SubmitVerdict.NOT_RUN, cause=cause)
        cause += ", and so are most hosts"
        return SubmitAnswer(verdict=SubmitVerdict.UNKNOWN, cause=cause)

    async def _wait_durable(self, run: JobRun, timeout_s: float) -> None:
        """Wait until a job's acceptance is durable, the time is up or the term has ended."""
        with trio.move_on_after(timeout_s):
            while not run.is_durable and not self._term.loss:
                await self._term.context.committed.wait()

    async def query(self, message: GetJob) -> JobAnswer | StepError:
        """Return a job's durable phase, or an error while the caller can still ask again."""
        until = _answer_until(message)
        if not await self._is_ready(until - trio.current_time()):
            return self._error(Reason.NOT_OWNER, "not leading yet")
        run = self._find(message)
        if run is not None and run.is_durable:
            return JobAnswer(phase=run.shown_phase)
        # Only a leader confirmed by the store after the query arrived may call a job unknown. A job
        # that may be in the batch being written is looked for once all of the batch is durable.
        confirm = self._confirm if run is None else self._confirm_by_batch
        if not await confirm(until - trio.current_time()):
            return self._error(Reason.UNAVAILABLE, "the store does not confirm this leader")
        run = self._find(message)
        is_known = run is not None and run.is_durable
        return JobAnswer(phase=run.shown_phase if run is not None and is_known else None)

    async def cancel(self, message: CancelJob) -> JobAnswer | StepError:
        """Cancel a job; answer once that is durable, or that it may become so."""
        until = _answer_until(message)
        if not await self._is_ready(until - trio.current_time()):
            return self._error(Reason.NOT_OWNER, "not leading yet")
        term = self._term
        run = self._find(message)
        if run is None:
            if not await self._confirm(until - trio.current_time()):
                return self._error(Reason.UNAVAILABLE, "the store does not confirm this leader")
            return JobAnswer(phase=None)
        term.core.cancel(message.job_id, wall=term.context.wall())
        term.request_commit()
        term.context.wake()
        with trio.move_on_at(until):
            while run.shown_phase is not run.phase and not term.loss:
                await term.context.committed.wait()
        if run.shown_phase in ENDED_PHASES:
            return JobAnswer(phase=run.shown_phase)
        return self._error(Reason.TIMEOUT, "cancelled, but not yet durable")

    def _find(self, message: GetJob | CancelJob) -> JobRun | None:
        """Return the requested job; None if the caller's workspace has no job with this id."""
        run = self._term.core.jobs_by_id.get(message.job_id)
        if run is None or not may_access(owner=run.job.workspace, workspace=message.workspace):
            return None
        return run

    async def count_pending(self, message: CountPending) -> PendingAnswer | StepError:
        """Return how many accepted jobs of a queue wait for their first start."""
        if not self._term.ready.is_set():
            return self._error(Reason.NOT_OWNER, "not leading yet")
        return PendingAnswer(count=self._term.core.pending_of(message.queue_name))

    async def _is_ready(self, timeout_s: float) -> bool:
        with trio.move_on_after(max(timeout_s, 0.0)):
            await self._term.ready.wait()
        return self._term.ready.is_set() and not self._term.loss

    async def _confirm(self, timeout_s: float) -> bool:
        """Whether the store confirms the term by a call sent after this point."""
        context = self._term.context
        return await self._confirm_by(lambda: context.confirmed, timeout_s)

    async def _confirm_by_batch(self, timeout_s: float) -> bool:
        """Whether the store confirms the term so; wait for the end of the batch under way."""
        context = self._term.context
        return await self._confirm_by(lambda: context.committed, timeout_s)

    async def _confirm_by(self, event: Callable[[], trio.Event], timeout_s: float) -> bool:
        asked_at = trio.current_time()
        self._term.request_commit()
        with trio.move_on_after(max(timeout_s, 0.0)):
            while self._term.context.confirmed_at < asked_at and not self._term.loss:
                await event().wait()
        return self._term.context.confirmed_at >= asked_at

    def _error(self, reason: Reason, detail: str) -> StepError:
        return StepError(step=LEADER_STEP, peer=self._host_id, reason=reason, detail=detail)


def _answer_until(message: GetJob | CancelJob) -> float:
    """Return by when to answer, whatever is known, so that the caller can still ask again."""
    return trio.current_time() + SHARE_OF_PATIENCE * message.patience_s
