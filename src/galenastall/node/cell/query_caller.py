"""Asks the leader for a caller's query, in several attempts side by side if need be."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.query_attempts import QueryAttempts, QueryDeadlines
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId

LOOK_EVERY_S: Final = 0.05
"""Interval between two looks for a leader whose heartbeats stop or come back: no event tells."""
FINAL_REASONS: Final = frozenset({Reason.CONFLICT, Reason.INVALID})
"""Failures that a further attempt does not change: the caller must be admitted again, or the leader
runs an older program that does not know the message."""
_STEP: Final = "cell.query"

Build = Callable[[float], object]
"""Builds the message for an attempt, given the seconds for which the caller still waits."""
Call = Callable[[object, float], Awaitable[Result[Any, StepError]]]
"""Calls the leader once with a message and a time-out."""


class KnownLeader(Protocol):
    """The leader that a host knows of."""

    @property
    def leader(self) -> HostId | None:
        """The current leader; None if no heartbeat has arrived recently."""

    @property
    def token(self) -> int:
        """Token of the leader's term."""


class QueryCaller:
    """Retries and hedges idempotent calls to the leader."""

    def __init__(self, *, host_id: HostId, leadership: KnownLeader, call: Call) -> None:
        """Call the leader named by `leadership` through `call`, from this host."""
        self._host_id = host_id
        self._leadership = leadership
        self._call = call

    async def ask(self, build: Build, patience_s: float) -> Result[Any, StepError]:
        """Return the first answer, or an error early enough for the caller to ask another host."""
        deadlines = QueryDeadlines.of(patience_s, now=trio.current_time())
        query = _Query(
            leadership=self._leadership, call=self._call, build=build, deadlines=deadlines
        )
        async with trio.open_nursery() as nursery:
            await query.run(nursery)
            nursery.cancel_scope.cancel()
        if query.answer is not None:
            return query.answer
        return Failure(query.error(peer=self._leadership.leader or self._host_id))


class _Query:
    """One query: its attempts, and their outcomes."""

    def __init__(
        self, *, leadership: KnownLeader, call: Call, build: Build, deadlines: QueryDeadlines
    ) -> None:
        self._leadership = leadership
        self._call = call
        self._build = build
        self._deadlines = deadlines
        self._followed: tuple[HostId, int] | None = None
        self._attempts = self._first_attempts()
        self._ended = trio.Event()
        """Set and replaced when an attempt ends."""
        self._unanswered = 0
        """Attempts that are under way."""
        self._last_error: StepError | None = None
        self._may_have_taken_effect = False
        """Whether an attempt failed that may have been carried out."""
        self.answer: Result[Any, StepError] | None = None
        """The answer that counts, once there is one."""

    async def run(self, nursery: trio.Nursery) -> None:
        """Start attempts in `nursery` until there is an answer, or it is time to give up."""
        while self.answer is None:
            now, leader = trio.current_time(), self._leadership.leader
            end_at = self._deadlines.end(has_leader=leader is not None)
            if now >= end_at:
                return
            # Taken before an attempt starts, so that its end is not missed.
            ended = self._ended
            wake_at = min(end_at, now + LOOK_EVERY_S)
            if leader is not None:
                self._follow(leader)
                if now >= self._attempts.next_at:
                    self._start_attempt(nursery, now)
                wake_at = min(wake_at, self._attempts.next_at)
            with trio.move_on_at(wake_at):
                await ended.wait()

    def _follow(self, leader: HostId) -> None:
        """Begin anew with a leader, or a term, that has not been asked yet."""
        term = (leader, self._leadership.token)
        if term != self._followed:
            self._followed = term
            self._attempts = self._first_attempts()

    def _first_attempts(self) -> QueryAttempts:
        now = trio.current_time()
        return QueryAttempts(patience_s=self._deadlines.until - now, now=now)

    def _start_attempt(self, nursery: trio.Nursery, now: float) -> None:
        self._attempts.begin(now)
        self._unanswered += 1
        nursery.start_soon(self._attempt, self._deadlines.until - now, self._attempts)

    async def _attempt(self, left_s: float, attempts: QueryAttempts) -> None:
        answer = await self._call(self._build(left_s), left_s)
        self._unanswered -= 1
        if isinstance(answer, Success) or answer.failure().reason in FINAL_REASONS:
            self.answer = answer if self.answer is None else self.answer
        else:
            error = self._last_error = answer.failure()
            self._may_have_taken_effect |= error.may_have_taken_effect
            was_sent = error.reason is not Reason.UNREACHABLE
            attempts.end(trio.current_time(), was_sent=was_sent)
        event, self._ended = self._ended, trio.Event()
        event.set()

    def error(self, *, peer: str) -> StepError:
        """Return why there is no answer, as TIMEOUT if any attempt may have taken effect."""
        causes = []
        if self._leadership.leader is None:
            causes.append("no leader is known")
        if self._unanswered:
            causes.append(f"no answer to {self._unanswered} attempts")
        if self._last_error is not None:
            if not causes and not self._may_have_taken_effect:
                return self._last_error
            causes.append(str(self._last_error))
        is_open = self._unanswered > 0 or self._may_have_taken_effect
        return StepError(
            step=_STEP,
            peer=peer,
            reason=Reason.TIMEOUT if is_open else Reason.UNREACHABLE,
            detail="; ".join(causes) or "no time is left for an attempt",
        )
