"""One attempt at one request: sends it under a permit and determines its exact outcome."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from returns.result import Failure, Result

from galenastall.coordination.requests.permit_types import Permit
from galenastall.node.requests.answer_stream import AnswerStream
from galenastall.node.requests.permit_service import PermitService
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_types import (
    Body,
    RequestCall,
    RequestCounters,
    RequestReason,
)
from galenastall.protocol.clock import Clock
from galenastall.protocol.permit_messages import PermitReturn
from galenastall.protocol.platform import (
    UpstreamAnswer,
    UpstreamCall,
    UpstreamCutError,
    UpstreamService,
)
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import AttemptId
from galenastall.state.outcomes import Outcome

SERVER_FAULT = 500
"""Lowest HTTP status that indicates a fault of the upstream."""

NOT_RUN_REASONS = {
    Reason.UNREACHABLE: RequestReason.UNREACHABLE,
    Reason.REFUSED: RequestReason.REFUSED_BY_UPSTREAM,
    Reason.CONFLICT: RequestReason.REFUSED_BY_UPSTREAM,
    Reason.OVERLOADED: RequestReason.REFUSED_BY_UPSTREAM,
}
"""Errors that prove that a call did not run; after any other error it may have run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """How an attempt ended."""

    outcome: Outcome
    reason: RequestReason = RequestReason.NONE
    status: int = 0
    content_type: str = ""
    body: Body = b""
    detail: str = ""
    body_replayable: bool = True


class OutgoingBody:
    """The request body of one attempt; tracks whether a streamed body was begun."""

    def __init__(self, body: Body) -> None:
        self._body = body
        self.is_begun = False

    @property
    def is_replayable(self) -> bool:
        """Whether a further attempt can send the complete body."""
        return isinstance(self._body, bytes) or not self.is_begun

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        self.is_begun = True
        if isinstance(self._body, bytes):
            if self._body:
                yield self._body
            return
        async for chunk in self._body:
            yield chunk


class Attempts:
    """Makes attempts; each releases its permit exactly once."""

    def __init__(
        self,
        *,
        clock: Clock,
        upstreams: UpstreamService,
        permits: PermitService,
        settings: Callable[[], RequestSettings],
        counters: RequestCounters,
        on_run_time: Callable[[str, float], None],
    ) -> None:
        """`on_run_time` is called with the operation and run time of each successful request."""
        self._clock = clock
        self._upstreams = upstreams
        self._permits = permits
        self._settings = settings
        self._counters = counters
        self._on_run_time = on_run_time

    async def make(
        self, *, call: RequestCall, permit: Permit, attempt_id: AttemptId
    ) -> AttemptResult:
        """Send the request now; the caller has checked `may_begin` of the permit."""
        now = self._clock.now()
        ends_at = min(call.deadline, self._permits.ends_at(permit))
        upstream_call = UpstreamCall(
            request_id=call.request_id,
            attempt_id=attempt_id,
            epoch=permit.epoch,
            not_after=self._clock.wall() + ends_at - now,
            content_type=call.content_type,
            operation=call.operation,
            content_length=len(call.body) if isinstance(call.body, bytes) else call.content_length,
        )
        use = _PermitUse(self, call.operation, permit, now)
        body = OutgoingBody(call.body)
        try:
            async with AsyncExitStack() as stack:
                sent = await stack.enter_async_context(
                    self._upstreams.call(
                        address=permit.address, call=upstream_call, body=body.chunks()
                    )
                )
                return await self._classify(sent, upstream_call, body, use, stack)
        finally:
            use.end_abandoned()

    async def _classify(
        self,
        sent: Result[UpstreamAnswer, StepError],
        call: UpstreamCall,
        body: OutgoingBody,
        use: "_PermitUse",
        stack: AsyncExitStack,
    ) -> AttemptResult:
        if isinstance(sent, Failure):
            return self._not_answered(sent.failure(), body, use)
        answer = sent.unwrap()
        if answer.attempt_id != call.attempt_id:
            self._counters.foreign_answers += 1
            use.end(Outcome.UNKNOWN, is_fault=True)
            return _unknown(
                RequestReason.FOREIGN_ANSWER, body, f"response names attempt {answer.attempt_id!r}"
            )
        if answer.outcome is Outcome.UNKNOWN:
            use.end(Outcome.UNKNOWN, is_fault=True, leaving=answer.leaving)
            return _unknown(RequestReason.NO_ANSWER, body, f"status {answer.status}")
        if answer.outcome is Outcome.NOT_RUN:
            use.end(Outcome.NOT_RUN, leaving=answer.leaving)
            return AttemptResult(
                outcome=Outcome.NOT_RUN,
                reason=RequestReason.REFUSED_BY_UPSTREAM,
                body_replayable=body.is_replayable,
            )
        return await self._read(answer, body, use, stack)

    def _not_answered(
        self, error: StepError, body: OutgoingBody, use: "_PermitUse"
    ) -> AttemptResult:
        reason = NOT_RUN_REASONS.get(error.reason)
        if reason is not None:
            use.end(Outcome.NOT_RUN, is_fault=error.reason is Reason.UNREACHABLE)
            return AttemptResult(
                outcome=Outcome.NOT_RUN,
                reason=reason,
                detail=str(error),
                body_replayable=body.is_replayable,
            )
        use.end(Outcome.UNKNOWN, is_fault=True)
        cut = error.reason is Reason.CUT
        self._counters.cut_answers += cut
        reason = RequestReason.ANSWER_CUT if cut else RequestReason.NO_ANSWER
        return _unknown(reason, body, str(error))

    async def _read(
        self, answer: UpstreamAnswer, body: OutgoingBody, use: "_PermitUse", stack: AsyncExitStack
    ) -> AttemptResult:
        """Read a small response completely; return a large one as a stream."""
        limit = self._settings().whole_answer_bytes
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in answer.body:
                chunks.append(chunk)
                size += len(chunk)
                if size > limit:
                    return self._stream(answer, chunks, use, stack)
        except UpstreamCutError as error:
            self._counters.cut_answers += 1
            use.end(Outcome.UNKNOWN, is_fault=True, leaving=answer.leaving)
            return _unknown(RequestReason.ANSWER_CUT, body, str(error))
        use.end_answered(answer)
        whole = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        return _answered(answer, whole)

    def _stream(
        self, answer: UpstreamAnswer, first: list[bytes], use: "_PermitUse", stack: AsyncExitStack
    ) -> AttemptResult:
        def on_end(complete: bool) -> None:
            if complete:
                use.end_answered(answer)
                return
            self._counters.broken_streams += 1
            use.end(Outcome.UNKNOWN, leaving=answer.leaving)

        use.is_streaming = True
        stream = AnswerStream(first=first, rest=answer.body, call=stack.pop_all(), on_end=on_end)
        return _answered(answer, stream)

    def release(self, returned: PermitReturn) -> None:
        """Release a permit."""
        self._permits.release(returned)

    def now(self) -> float:
        """Return the monotonic time."""
        return self._clock.now()

    def note_run_time(self, operation: str, seconds: float) -> None:
        """Report the run time of a successful request."""
        self._on_run_time(operation, seconds)

    @property
    def overrun_s(self) -> float:
        """Time for which an upstream may continue with an abandoned request, in seconds."""
        return self._settings().overrun_s


class _PermitUse:
    """One permit in use; only the first of its end calls takes effect."""

    __slots__ = ("_attempts", "_is_over", "_operation", "_permit", "_started_at", "is_streaming")

    def __init__(
        self, attempts: Attempts, operation: str, permit: Permit, started_at: float
    ) -> None:
        self._attempts = attempts
        self._operation = operation
        self._permit = permit
        self._started_at = started_at
        self._is_over = False
        self.is_streaming = False

    def end_answered(self, answer: UpstreamAnswer) -> None:
        """End the use with a complete response."""
        done = answer.outcome is Outcome.DONE
        if done:
            self._attempts.note_run_time(self._operation, self._attempts.now() - self._started_at)
        fault = not done and answer.status >= SERVER_FAULT
        self.end(answer.outcome, is_fault=fault, leaving=answer.leaving)

    def end(self, outcome: Outcome, *, is_fault: bool = False, leaving: bool = False) -> None:
        """Release the permit and report the result of the attempt."""
        if self._is_over:
            return
        self._is_over = True
        self._attempts.release(
            PermitReturn(
                permit_id=self._permit.permit_id,
                upstream=self._permit.upstream,
                outcome=outcome,
                latency_s=self._attempts.now() - self._started_at,
                busy_for_s=self._attempts.overrun_s if outcome is Outcome.UNKNOWN else 0.0,
                is_fault=is_fault,
                leaving=leaving,
            )
        )

    def end_abandoned(self) -> None:
        """End the use after an exception, as the attempt may have run; streams end themselves."""
        if not self.is_streaming:
            self.end(Outcome.UNKNOWN)


def _answered(answer: UpstreamAnswer, body: Body) -> AttemptResult:
    done = answer.outcome is Outcome.DONE
    return AttemptResult(
        outcome=answer.outcome,
        reason=RequestReason.NONE if done else RequestReason.FAILED_BY_UPSTREAM,
        status=answer.status,
        content_type=answer.content_type,
        body=body,
    )


def _unknown(reason: RequestReason, body: OutgoingBody, detail: str) -> AttemptResult:
    return AttemptResult(
        outcome=Outcome.UNKNOWN,
        reason=reason,
        detail=detail,
        body_replayable=body.is_replayable,
    )
