"""Callers' operations on jobs, from any entry host: found leader, retries, true refusals."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION
from galenastall.node.cell.config_keeper import ConfigKeeper
from galenastall.node.cell.leader_desk import SHARE_OF_PATIENCE, LeaderDesk
from galenastall.node.cell.standing import Standing
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
from galenastall.protocol.peers import PeerLink
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.phases import JobPhase
from galenastall.state.cell.workspaces import NO_WORKSPACE
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

NO_LEADER_S: Final = 1.2
"""How long a submission waits for a leader before it is refused; a takeover takes about 1.1 s."""
UNHEARD_SHARE: Final = 0.6
"""Share of a caller's time after which a submission that a leader may have stored is answered while
no leader is heard: in a data centre that is cut off the caller's next try may reach another one;
it would else be told after 2.9 of its 3 s. A leader answers within 0.4 of that time."""
ANSWER_MARGIN_S: Final = 0.15
"""Kept of a caller's time for the way back."""
RETRY_S: Final = 0.05
RETRY_AFTER_S: Final = 1.0
"""When callers are told to come back: by then a takeover is mostly over."""
_Call = TypeVar("_Call", SubmitJob, GetJob, CancelJob, CountPending)


@dataclass(frozen=True, kw_only=True, slots=True)
class Submitted:
    """What became of a submission."""

    verdict: SubmitVerdict
    cause: str = ""
    retry_after_s: float = RETRY_AFTER_S
    is_outdated: bool = False
    """Whether the leader has a newer configuration, by which the caller must be let in anew."""
    may_be_stored: bool = False
    """Whether a try may have stored the job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Patience:
    """Until when a submission goes on, in this host's time."""

    until: float
    """When its caller has to have an answer."""
    leaderless_until: float
    """The same while no leader may have stored the job."""
    unheard_until: float
    """The same while no leader is heard."""

    @classmethod
    def of(cls, patience_s: float, *, now: float) -> "_Patience":
        """Share out a caller's time."""
        until = now + patience_s - ANSWER_MARGIN_S
        return cls(
            until=until,
            leaderless_until=min(until, now + NO_LEADER_S, now + SHARE_OF_PATIENCE * patience_s),
            unheard_until=min(until, now + UNHEARD_SHARE * patience_s),
        )

    def end(self, *, may_be_stored: bool) -> float:
        """Return until when to go on."""
        return self.until if may_be_stored else self.leaderless_until

    def answer_s(self, now: float) -> float:
        """Return how long a leader may take for an answer.

        One that is heard and has not answered by `unheard_until` is slow, and may take all of it.
        """
        return (self.unheard_until if now < self.unheard_until else self.until) - now


class CallerDesk:
    """Passes callers' operations to the leader."""

    def __init__(
        self, *, host_id: HostId, link: PeerLink, standing: Standing, config: ConfigKeeper
    ) -> None:
        """Answer here if this host leads, else through `link`."""
        self._host_id = host_id
        self._config = config
        self._link = link
        self._standing = standing
        link.handle(SubmitJob, self._on_submit)
        link.handle(GetJob, self._on_ask)
        link.handle(CancelJob, self._on_cancel)
        link.handle(CountPending, self._on_count)

    async def submit(
        self,
        job: CellJob,
        *,
        patience_s: float,
        config_version: int = UNKNOWN_VERSION,
        may_be_stored: bool = False,
    ) -> Submitted:
        """Hand a job in; NOT_RUN only if it is stored nowhere and never will be.

        Only a leader can say that: without one, an earlier try of the same job may have been taken
        elsewhere. `may_be_stored` says so of an earlier call here.
        """
        patience = _Patience.of(patience_s, now=trio.current_time())
        cause = "no leader is heard"
        # A leader that went away may have stored the job; the next one knows within a second.
        while trio.current_time() < patience.end(may_be_stored=may_be_stored):
            now = trio.current_time()
            if not self._standing.is_heard and now >= patience.unheard_until:
                break
            message = SubmitJob(
                job=job, patience_s=patience.until - now, config_version=config_version
            )
            answer = await self._call(message, patience.answer_s(now))
            if isinstance(answer, Success):
                found: SubmitAnswer = answer.unwrap()
                cause = found.cause
                if found.verdict is not SubmitVerdict.NOT_RUN or not may_be_stored:
                    return Submitted(verdict=found.verdict, cause=cause)
            else:
                error = answer.failure()
                may_be_stored = may_be_stored or error.may_have_taken_effect
                cause = str(error)
                if error.reason is Reason.CONFLICT:
                    return Submitted(
                        verdict=SubmitVerdict.UNKNOWN,
                        cause=cause,
                        is_outdated=True,
                        may_be_stored=may_be_stored,
                    )
            await trio.sleep(RETRY_S)
        return Submitted(verdict=SubmitVerdict.UNKNOWN, cause=cause)

    async def phase(
        self,
        job_id: str,
        *,
        patience_s: float,
        workspace: str = NO_WORKSPACE,
        config_version: int = UNKNOWN_VERSION,
    ) -> Result[JobPhase | None, StepError]:
        """Return a job's phase, None if the workspace has no such job.

        CONFLICT: the leader has a newer configuration, by which the caller must be let in anew.
        """
        return await self._ask(
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

        CONFLICT: the leader has a newer configuration, by which the caller must be let in anew.
        """
        return await self._ask(
            CancelJob,
            job_id,
            patience_s=patience_s,
            workspace=workspace,
            config_version=config_version,
        )

    async def pending(
        self, queue_name: str, *, patience_s: float, config_version: int = UNKNOWN_VERSION
    ) -> Result[int, StepError]:
        """Return how many accepted jobs of a queue have had no start.

        CONFLICT: the leader has a newer configuration, by which the caller must be let in anew.
        """
        message = CountPending(queue_name=queue_name, config_version=config_version)
        answer = await self._repeat(lambda _: message, patience_s)
        return answer.map(_count_of)

    async def _ask(
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

        answer = await self._repeat(build, patience_s)
        return answer.map(_phase_of)

    async def _repeat(
        self, build: Callable[[float], object], patience_s: float
    ) -> Result[Any, StepError]:
        """Repeat an idempotent call until it is answered or the time is over."""
        until = trio.current_time() + patience_s - ANSWER_MARGIN_S
        answer = self._failure(Reason.UNAVAILABLE, "no leader is heard")
        while trio.current_time() < until:
            left_s = until - trio.current_time()
            answer = await self._call(build(left_s), left_s)
            if isinstance(answer, Success) or answer.failure().reason is Reason.CONFLICT:
                return answer
            await trio.sleep(RETRY_S)
        return answer

    async def _call(self, message: object, timeout_s: float) -> Result[Any, StepError]:
        """Call the leader once; the call is broken off when another host leads."""
        leader = self._standing.leader
        changed = self._standing.changed
        if leader is None:
            with trio.move_on_after(min(timeout_s, RETRY_S)):
                await changed.wait()
            return self._failure(Reason.UNREACHABLE, "no leader is heard")
        answer: Result[Any, StepError] = self._failure(Reason.CUT, "another host leads now")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when, changed, nursery.cancel_scope)
            answer = await self._link.call(peer=leader, message=message, timeout_s=timeout_s)
            nursery.cancel_scope.cancel()
        return answer

    def _failure(self, reason: Reason, detail: str) -> Result[Any, StepError]:
        return Failure(self._refusal(reason, detail))

    async def _on_submit(self, sender: HostId, message: SubmitJob) -> Any:
        return await self._serve(sender, message, LeaderDesk.submit)

    async def _on_ask(self, sender: HostId, message: GetJob) -> Any:
        return await self._serve(sender, message, LeaderDesk.ask)

    async def _on_cancel(self, sender: HostId, message: CancelJob) -> Any:
        return await self._serve(sender, message, LeaderDesk.cancel)

    async def _on_count(self, sender: HostId, message: CountPending) -> Any:
        return await self._serve(sender, message, LeaderDesk.count_pending)

    async def _serve(
        self,
        sender: HostId,
        message: _Call,
        serve: Callable[[LeaderDesk, _Call], Awaitable[Any]],
    ) -> Any:
        """Answer a call to the leader, unless it was let in by a configuration that is outdated."""
        self._config.hear_of(message.config_version, sender)
        desk = self._standing.desk
        if desk is None:
            return self._refusal(Reason.NOT_OWNER, "this host does not lead")
        if self._config.is_outdated(message.config_version):
            detail = f"version {message.config_version} of the configuration is outdated"
            return self._refusal(Reason.CONFLICT, detail)
        return await serve(desk, message)

    def _refusal(self, reason: Reason, detail: str) -> StepError:
        return StepError(step="cell.call", peer=self._host_id, reason=reason, detail=detail)


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


def _phase_of(answer: JobAnswer) -> JobPhase | None:
    return answer.phase


def _count_of(answer: PendingAnswer) -> int:
    return answer.count
