"""Callers' operations on jobs at any entry host: locates the leader, retries, and answers.

A job is reported as not run only if that is certain.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION
from galenastall.coordination.cell.return_times import SHORTEST_RETURN_S
from galenastall.node.cell.config_watcher import ConfigWatcher
from galenastall.node.cell.leader_handler import (
    LEADER_STEP,
    LeaderHandler,
    answer_within_s,
    is_last_try,
)
from galenastall.node.cell.leadership import Leadership
from galenastall.node.cell.query_caller import QueryCaller
from galenastall.protocol.cell.call_admission import AdmissionRules, CallAddress
from galenastall.protocol.cell.messages import (
    AdmitCall,
    CallAdmission,
    CancelJob,
    CountPending,
    GetJob,
    JobAnswer,
    PendingAnswer,
    SubmitAnswer,
    SubmitJob,
    SubmitVerdict,
)
from galenastall.protocol.peers import PeerLink
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

LEADERLESS_WAIT_S: Final = 1.2
"""How long a submission waits for a leader before it is refused; a takeover takes about 1.1 s."""
LEADERLESS_SHARE: Final = 0.6
"""Share of a caller's time after which a submission that a leader may have stored is answered while
there is no leader. In an isolated data centre the caller's next try can reach another one; without
this limit it would be answered after 2.9 of its 3 s. A leader answers within 0.4 of that time."""
ANSWER_MARGIN_S: Final = 0.15
"""Part of a caller's time reserved for returning the answer."""
MARGIN_SHARE: Final = 0.25
"""Largest share of a caller's time that is reserved so."""
RETRY_S: Final = 0.05
RETRY_AFTER_S: Final = SHORTEST_RETURN_S
"""Retry delay suggested to callers of whose job nothing is known."""
_Call = TypeVar("_Call", SubmitJob, GetJob, CancelJob, CountPending)


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitOutcome:
    """Outcome of a submission."""

    verdict: SubmitVerdict
    cause: str = ""
    retry_after_s: float = 0.0
    """Time after which the caller may return; 0 if it follows from the job."""
    is_outdated: bool = False
    """Whether the leader has a newer configuration, by which the caller must be admitted again."""
    may_be_stored: bool = False
    """Whether a try may have stored the job."""
    problem: str = ""
    """What is wrong with the job, if no leader will accept it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Deadlines:
    """Deadlines of a submission, in this host's time."""

    until: float
    """When the caller must have an answer."""
    not_stored_until: float
    """Deadline while no leader may have stored the job."""
    no_leader_until: float
    """Deadline while there is no leader."""

    @classmethod
    def of(cls, patience_s: float, *, now: float) -> "_Deadlines":
        """Derive the deadlines from the time that the caller waits."""
        until = now + patience_s - min(ANSWER_MARGIN_S, MARGIN_SHARE * patience_s)
        if is_last_try(until - now):
            return cls(until=until, not_stored_until=until, no_leader_until=until)
        return cls(
            until=until,
            not_stored_until=min(until, now + LEADERLESS_WAIT_S, now + answer_within_s(patience_s)),
            no_leader_until=min(until, now + LEADERLESS_SHARE * patience_s),
        )

    def end(self, *, may_be_stored: bool) -> float:
        """Return until when to retry."""
        return self.until if may_be_stored else self.not_stored_until

    def answer_s(self, now: float) -> float:
        """Return how long a leader may take for an answer.

        A last try gets all the time that is left, as the leader judges it by the same time. So does
        a slow leader that still sends heartbeats after `no_leader_until`.
        """
        left_s = self.until - now
        if is_last_try(left_s) or now >= self.no_leader_until:
            return left_s
        return self.no_leader_until - now


class CallerHandler:
    """Forwards callers' operations to the leader, and serves them where this host leads."""

    def __init__(
        self, *, host_id: HostId, link: PeerLink, leadership: Leadership, config: ConfigWatcher
    ) -> None:
        """Forward to the leader named by `leadership`, through `link`."""
        self._host_id = host_id
        self._config = config
        self._link = link
        self._leadership = leadership
        self._queries = QueryCaller(host_id=host_id, leadership=leadership, call=self._call)
        self._rules = AdmissionRules()
        link.handle(AdmitCall, self._on_admit)
        link.handle(SubmitJob, self._on_submit)
        link.handle(GetJob, self._on_ask)
        link.handle(CancelJob, self._on_cancel)
        link.handle(CountPending, self._on_count)

    async def admit(
        self, call: CallAddress, *, patience_s: float, config_version: int
    ) -> Result[CallAdmission, StepError]:
        """Return the leader's decision on a call; `config_version` is this host's version."""
        message = AdmitCall(
            host=call.host,
            path=call.path,
            key_digest=call.key_digest,
            config_version=config_version,
        )
        return await self._retry(lambda _: message, patience_s)

    async def submit(
        self,
        job: CellJob,
        *,
        patience_s: float,
        config_version: int = UNKNOWN_VERSION,
        may_be_stored: bool = False,
    ) -> SubmitOutcome:
        """Submit a job; returns NOT_RUN only if the job is not stored and never will be.

        Only a leader can determine that: without one, an earlier try of the same job may have been
        accepted elsewhere. `may_be_stored` says that an earlier call here may have stored it.
        """
        deadlines = _Deadlines.of(patience_s, now=trio.current_time())
        cause = "no time is left for an attempt"
        # A lost leader may have stored the job; the next one knows within a second.
        while trio.current_time() < deadlines.end(may_be_stored=may_be_stored):
            now = trio.current_time()
            if not self._leadership.has_leader and now >= deadlines.no_leader_until:
                break
            message = SubmitJob(
                job=job, patience_s=deadlines.until - now, config_version=config_version
            )
            answer = await self._call(message, deadlines.answer_s(now))
            if isinstance(answer, Success):
                found: SubmitAnswer = answer.unwrap()
                cause = found.cause
                if found.verdict is not SubmitVerdict.NOT_RUN or not may_be_stored:
                    return SubmitOutcome(verdict=found.verdict, cause=cause)
            else:
                error = answer.failure()
                may_be_stored = may_be_stored or error.may_have_taken_effect
                cause = str(error)
                if error.reason is Reason.CONFLICT:
                    return SubmitOutcome(
                        verdict=SubmitVerdict.UNKNOWN,
                        cause=cause,
                        is_outdated=True,
                        may_be_stored=may_be_stored,
                    )
                if _is_refused_for_good(error) and not may_be_stored:
                    return SubmitOutcome(
                        verdict=SubmitVerdict.NOT_RUN, cause=cause, problem=error.detail
                    )
            await trio.sleep(RETRY_S)
        return SubmitOutcome(verdict=SubmitVerdict.UNKNOWN, cause=cause)

    async def phase(
        self,
        job_id: str,
        *,
        patience_s: float,
        workspace: str = NO_WORKSPACE,
        config_version: int = UNKNOWN_VERSION,
    ) -> Result[JobPhase | None, StepError]:
        """Return a job's phase, None if the workspace has no such job.

        Fails with CONFLICT if the leader has a newer configuration, by which the caller must
        be admitted again.
        """
        return await self._query(
            GetJob,
            job_id,
            patience_s=patience_s,
            workspace=workspace,
            config_version=config_version,
        )

    async def cancel(
        self,
        job_id: str,
        *,
        patience_s: float,
        workspace: str = NO_WORKSPACE,
        config_version: int = UNKNOWN_VERSION,
    ) -> Result[JobPhase | None, StepError]:
        """Cancel a job; returns its phase, None if the workspace has no such job.

        Fails with CONFLICT if the leader has a newer configuration, by which the caller must
        be admitted again.
        """
        return await self._query(
            CancelJob,
            job_id,
            patience_s=patience_s,
            workspace=workspace,
            config_version=config_version,
        )

    async def pending(
        self, queue_name: str, *, patience_s: float, config_version: int = UNKNOWN_VERSION
    ) -> Result[int, StepError]:
        """Return how many accepted jobs of a queue have not had their first start.

        Fails with CONFLICT if the leader has a newer configuration, by which the caller must
        be admitted again.
        """
        message = CountPending(queue_name=queue_name, config_version=config_version)
        answer = await self._retry(lambda _: message, patience_s)
        return answer.map(_count_of)

    async def _query(
        self,
        kind: type[GetJob] | type[CancelJob],
        job_id: str,
        *,
        patience_s: float,
        workspace: str,
        config_version: int,
    ) -> Result[JobPhase | None, StepError]:
        def build(left_s: float) -> GetJob | CancelJob:
            return kind(
                job_id=job_id,
                patience_s=left_s,
                workspace=workspace,
                config_version=config_version,
            )

        answer = await self._retry(build, patience_s)
        return answer.map(_phase_of)

    async def _retry(
        self, build: Callable[[float], object], patience_s: float
    ) -> Result[Any, StepError]:
        """Ask the leader, in several attempts if need be; fails early enough to ask elsewhere."""
        return await self._queries.ask(build, patience_s)

    async def _call(self, message: object, timeout_s: float) -> Result[Any, StepError]:
        """Call the leader once; the call is cancelled when the leader changes."""
        leader = self._leadership.leader
        changed = self._leadership.changed
        if leader is None:
            with trio.move_on_after(min(timeout_s, RETRY_S)):
                await changed.wait()
            return self._failure(Reason.UNREACHABLE, "no leader is known")
        answer: Result[Any, StepError] = self._failure(Reason.CUT, "the leader has changed")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when, changed, nursery.cancel_scope)
            answer = await self._link.call(peer=leader, message=message, timeout_s=timeout_s)
            nursery.cancel_scope.cancel()
        return answer

    def _failure(self, reason: Reason, detail: str) -> Result[Any, StepError]:
        return Failure(self._refusal(reason, detail))

    async def _on_admit(self, sender: HostId, message: AdmitCall) -> Any:
        """Decide on a call by the leader's configuration."""
        self._config.note_version(message.config_version, sender)
        if self._leadership.leader_handler is None:
            return self._refusal(Reason.NOT_OWNER, "this host is not the leader")
        config = self._config.current()
        if config is None:
            return self._refusal(Reason.UNAVAILABLE, "the leader has read no configuration yet")
        call = CallAddress(host=message.host, path=message.path, key_digest=message.key_digest)
        return self._rules.decide(config, call)

    async def _on_submit(self, sender: HostId, message: SubmitJob) -> Any:
        return await self._serve(sender, message, LeaderHandler.submit)

    async def _on_ask(self, sender: HostId, message: GetJob) -> Any:
        return await self._serve(sender, message, LeaderHandler.query)

    async def _on_cancel(self, sender: HostId, message: CancelJob) -> Any:
        return await self._serve(sender, message, LeaderHandler.cancel)

    async def _on_count(self, sender: HostId, message: CountPending) -> Any:
        return await self._serve(sender, message, LeaderHandler.count_pending)

    async def _serve(
        self,
        sender: HostId,
        message: _Call,
        serve: Callable[[LeaderHandler, _Call], Awaitable[Any]],
    ) -> Any:
        """Serve a call as leader, unless it was admitted by an outdated configuration."""
        self._config.note_version(message.config_version, sender)
        handler = self._leadership.leader_handler
        if handler is None:
            return self._refusal(Reason.NOT_OWNER, "this host is not the leader")
        if self._config.is_outdated(message.config_version):
            detail = f"version {message.config_version} of the configuration is outdated"
            return self._refusal(Reason.CONFLICT, detail)
        return await serve(handler, message)

    def _refusal(self, reason: Reason, detail: str) -> StepError:
        return StepError(step="cell.call", peer=self._host_id, reason=reason, detail=detail)


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


def _is_refused_for_good(error: StepError) -> bool:
    """Whether a leader has read the job and refuses it, as each leader will."""
    return error.reason is Reason.INVALID and error.step == LEADER_STEP


def _phase_of(answer: JobAnswer) -> JobPhase | None:
    return answer.phase


def _count_of(answer: PendingAnswer) -> int:
    return answer.count
