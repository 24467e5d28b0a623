"""Accepts, cancels and describes jobs, on whichever entry host a caller reaches.

A job is reported as accepted only once its record was read back from the log or, in an outage and
if the caller requests it, once two entry hosts hold the job; the response says which.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Final

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.jobs.shard_commands import CancelCounts
from galenastall.coordination.placement.feasibility import find_obstacle_on_hosts
from galenastall.node.jobs.job_link import JobLink
from galenastall.node.jobs.job_service import JobService
from galenastall.node.jobs.job_views import view_state
from galenastall.node.placement.worker_service import WorkerService
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.job_messages import (
    JobCancel,
    JobCancelAnswer,
    JobHold,
    JobQuery,
    JobReply,
    JobView,
    TaskExplain,
    TaskExplained,
)
from galenastall.protocol.log_access import LogAppender, StreamFollower
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import DataCentre, HostId, JobId, RecordId, TaskId, split_task_id
from galenastall.state.job_fold import JobFold, JobState
from galenastall.state.job_records import JobAccepted, JobCancelled
from galenastall.state.work import JobSpec, TaskPhase

LOOKUP_TIMEOUT_S: Final = 2.0
"""Time limit of the lookup of a job unknown here; a read of the log takes 20 ms."""
LOOKUP_RETRY_S: Final = 1.0
"""Retry delay after a lookup could not determine whether a job is known, in seconds."""
OUTAGE_RETRY_S: Final = 5.0
"""Retry delay after the log could not take a job, in seconds."""


class Durability(StrEnum):
    """Where an accepted job is stored."""

    LOG = "log"
    DATA_CENTRE = "data_centre"
    """Two entry hosts hold it until the log takes it; lost only if both fail before that."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedJob:
    """Response to the submission of an accepted job."""

    job_id: JobId
    durability: Durability
    data_centre: DataCentre
    was_known: bool = False
    """The same job had been accepted before; nothing was added."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelledJob:
    """Response to a cancellation."""

    job_id: JobId
    durability: Durability
    """`data_centre`: the shard's owner has it in memory, and it is logged when the log is back."""
    counts: CancelCounts | None
    """Numbers of tasks by state; None if the shard's owner could not be reached."""


class JobIntake:
    """Handles callers' operations on jobs."""

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        fold: JobFold,
        jobs: JobService,
        workers: WorkerService,
        ownership: OwnershipView,
        link: JobLink,
        appender: LogAppender,
        follower: StreamFollower,
        clock: Clock,
        rng: random.Random,
        events: EventSink | None = None,
        team_problem: Callable[[JobSpec], str | None] = lambda _spec: None,
    ) -> None:
        """`team_problem` returns why the shared settings refuse a job, or None."""
        self._data_centre = data_centre
        self._fold = fold
        self._jobs = jobs
        self._workers = workers
        self._ownership = ownership
        self._link = link
        self._appender = appender
        self._follower = follower
        self._clock = clock
        self._rng = rng
        self._events = events or NullEventSink()
        self._team_problem = team_problem

    def make_job_id(self) -> JobId:
        """Return an id for a caller that gave none."""
        return JobId(f"job-{self._rng.getrandbits(64):016x}")

    async def submit(
        self, spec: JobSpec, *, durability: Durability = Durability.LOG
    ) -> Result[AcceptedJob, StepError]:
        """Accept a job, or return why not.

        `durability` is the minimum for the caller. REFUSED: it can never run. CONFLICT: the id is
        used by another job. NOT_OWNER: it belongs to another data centre. UNAVAILABLE: it was not
        accepted. TIMEOUT: it may have been; submit it again under the same id.
        """
        refusal = self._refusal(spec)
        if refusal is not None:
            self._events.record("job.refused", subjects=(spec.job_id,), cause=refusal.detail)
            return Failure(refusal)
        known = self._fold.get(spec.job_id) or self._jobs.held(spec.job_id)
        if known is not None:
            return self._resubmission_result(spec, known)
        spec = replace(spec, home=self._data_centre, submitted_at=self._clock.wall())
        result = await self._appender.append(
            stream=self._follower.stream,
            record=JobAccepted(spec=spec),
            record_id=RecordId(f"job.accepted/{spec.job_id}"),
        )
        if isinstance(result, Success):
            return self._accepted(spec, Durability.LOG)
        error = result.failure()
        if durability is Durability.DATA_CENTRE:
            return await self._hold(spec, error)
        self._events.record("job.not_accepted", subjects=(spec.job_id,), cause=str(error))
        return Failure(replace(error, step="job.submit", retry_after_s=OUTAGE_RETRY_S))

    async def cancel(self, job_id: JobId, *, cause: str = "") -> Result[CancelledJob, StepError]:
        """Cancel a job; NOT_FOUND if it is not known here, CONFLICT if it had ended."""
        if self._fold.is_ended(job_id):
            return Failure(self._error("job.cancel", Reason.CONFLICT, f"{job_id} has ended"))
        found = await self.find_confirmed(job_id)
        if isinstance(found, Failure):
            return Failure(replace(found.failure(), step="job.cancel"))
        counts = await self._cancel_at_owner(job_id)
        result = await self._appender.append(
            stream=self._follower.stream,
            record=JobCancelled(job_id=job_id, cause=cause),
            record_id=RecordId(f"job.cancelled/{job_id}"),
        )
        durability = Durability.LOG
        if isinstance(result, Failure):
            if counts is None:
                return Failure(replace(result.failure(), step="job.cancel"))
            durability = Durability.DATA_CENTRE
            self._jobs.log_cancellation_later(job_id, cause)
        self._events.record(
            "job.cancel", subjects=(job_id,), cause=cause, fields={"durability": durability.value}
        )
        return Success(CancelledJob(job_id=job_id, durability=durability, counts=counts))

    async def view(self, job_id: JobId, *, first: int = 0, count: int = 0) -> JobView | None:
        """Return a job's view from its shard's owner or else from the log; None if unknown."""
        ask = JobQuery(job_id=job_id, first=first, count=count)
        state = self._fold.get(job_id) or self._jobs.held(job_id)
        owner = self._jobs.owner_of(job_id)
        if owner is not None and (state is None or state.end is None):
            match await self._link.call(owner, ask):
                case Success(JobView(is_known=True) as view):
                    return view
        return view_state(state, ask) if state else None

    def find(self, job_id: JobId) -> JobState | None:
        """Return a job from the log or, in an outage, from the jobs held here."""
        return self._fold.get(job_id) or self._jobs.held(job_id)

    async def find_confirmed(self, job_id: JobId) -> Result[JobState, StepError]:
        """Return a job; NOT_FOUND only if no entry host accepted it before this was called.

        The log may hold it without this host having read it yet, and in a log outage it may be
        known only to the two hosts that hold it. UNAVAILABLE: the log or a host did not answer.
        """
        state = self.find(job_id)
        if state is not None:
            return Success(state)
        with trio.move_on_after(LOOKUP_TIMEOUT_S):
            caught_up = await self._follower.catch_up()
            state = self.find(job_id)
            if state is not None:
                return Success(state)
            if isinstance(caught_up, Success) and await self._is_held_nowhere(job_id):
                detail = f"job {job_id!r} is not known in this data centre"
                return Failure(self._error("job.show", Reason.NOT_FOUND, detail))
        detail = (
            f"job {job_id!r} is not known here, and whether it was accepted could not be determined"
        )
        error = self._error("job.show", Reason.UNAVAILABLE, detail)
        return Failure(replace(error, retry_after_s=LOOKUP_RETRY_S))

    async def _is_held_nowhere(self, job_id: JobId) -> bool:
        """Whether all other entry hosts report that they do not hold a job."""
        for host in sorted(self._ownership.roster() - {self._link.host_id}):
            match await self._link.call(host, JobQuery(job_id=job_id, first=0, count=0)):
                case Success(JobView(is_known=False)):
                    continue
            return False
        return True

    async def explain(self, subject: str) -> tuple[str, ...]:
        """Return sentences on a job, or on a task given as `<job>/<index>`."""
        if "/" in subject:
            return await self._explain_task(TaskId(subject))
        found = await self.find_confirmed(JobId(subject))
        if isinstance(found, Failure):
            return (f"{found.failure().detail}.",)
        state = found.unwrap()
        view = await self.view(JobId(subject)) or view_state(
            state, JobQuery(job_id=JobId(subject), first=0, count=0)
        )
        counts = ", ".join(f"{count} {phase}" for phase, count in view.counts.items())
        sentences = [f"{subject} of {state.spec.team} has {counts}."]
        if state.end is not None:
            sentences.append(f"It ended as {state.end.verdict.value}. {state.end.detail}".strip())
        elif view.reason:
            sentences.append(f"Reason: {view.reason}.")
        return tuple(sentences)

    async def _explain_task(self, task_id: TaskId) -> tuple[str, ...]:
        try:
            job_id, index = split_task_id(task_id)
        except ValueError:
            return (f"{task_id} is not a task: the part after the slash must be a number.",)
        view = await self.view(job_id, first=index, count=1)
        if view is None or not view.tasks:
            return (f"{task_id} is not known in {self._data_centre}.",)
        task = view.tasks[0]
        at = f" on {task.worker}" if task.worker else ""
        owner = f", with {task.assignee}" if task.assignee else ""
        sentences = [f"{task_id} is {task.phase.value}{at}{owner}."]
        if task.phase is TaskPhase.WAITING and not task.assignee and view.reason:
            sentences.append(f"Reason: {view.reason}.")
        if task.assignee:
            match await self._link.call(task.assignee, TaskExplain(task_id=task_id)):
                case Success(TaskExplained(sentences=more)):
                    sentences.extend(more)
        return tuple(sentences)

    def _refusal(self, spec: JobSpec) -> StepError | None:
        if spec.home and spec.home != self._data_centre:
            detail = f"home is {spec.home!r}, this is {self._data_centre!r}: not run here"
            return self._error("job.submit", Reason.NOT_OWNER, detail)
        obstacle = find_obstacle_on_hosts(
            spec.resources, self._workers.listed_workers().values()
        ) or self._team_problem(spec)
        if obstacle is not None:
            return self._error("job.submit", Reason.REFUSED, f"it can never run: {obstacle}")
        return None

    def _resubmission_result(
        self, spec: JobSpec, known: JobState
    ) -> Result[AcceptedJob, StepError]:
        resubmitted = replace(spec, home=known.spec.home, submitted_at=known.spec.submitted_at)
        if resubmitted != known.spec:
            detail = f"job_id {spec.job_id!r} is used by another job"
            return Failure(self._error("job.submit", Reason.CONFLICT, detail))
        is_logged = known.accepted_at is not None
        return Success(
            AcceptedJob(
                job_id=spec.job_id,
                durability=Durability.LOG if is_logged else Durability.DATA_CENTRE,
                data_centre=self._data_centre,
                was_known=True,
            )
        )

    async def _hold(self, spec: JobSpec, error: StepError) -> Result[AcceptedJob, StepError]:
        """Hold the job here and on one other entry host, preferably its shard's owner."""
        me = self._link.host_id
        owner = self._jobs.owner_of(spec.job_id)
        others = sorted(self._ownership.roster() - {me}, key=lambda host: (host != owner, host))
        for host in others:
            match await self._link.call(host, JobHold(spec=spec)):
                case Success(JobReply(ok=True)):
                    self._jobs.hold(spec)
                    return self._accepted(spec, Durability.DATA_CENTRE)
        detail = f"the log can't take it ({error}) and no other entry host can hold it"
        return Failure(
            replace(
                self._error("job.submit", Reason.UNAVAILABLE, detail),
                retry_after_s=OUTAGE_RETRY_S,
            )
        )

    def _accepted(self, spec: JobSpec, durability: Durability) -> Success[AcceptedJob]:
        self._events.record(
            "job.accepted", subjects=(spec.job_id,), fields={"durability": durability.value}
        )
        return Success(
            AcceptedJob(job_id=spec.job_id, durability=durability, data_centre=self._data_centre)
        )

    async def _cancel_at_owner(self, job_id: JobId) -> CancelCounts | None:
        owner = self._jobs.owner_of(job_id)
        if owner is None:
            return None
        match await self._link.call(owner, JobCancel(job_id=job_id)):
            case Success(JobCancelAnswer(counts=counts)):
                return counts
        return None

    def _error(self, step: str, reason: Reason, detail: str) -> StepError:
        return StepError(step=step, peer=HostId(""), reason=reason, detail=detail)
