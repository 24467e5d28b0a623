"""The request path of one entry host: queue, permit, attempt, retry, and one exact outcome."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Final

import trio

from galenastall.coordination.requests.admission import Admission, OfferResult, WaitingRequest
from galenastall.coordination.requests.permit_types import Permit
from galenastall.coordination.requests.rates import ShortestTime
from galenastall.coordination.requests.retries import AttemptEnd, RetryBudget, may_retry
from galenastall.node.requests.permit_service import IDLE_TICK_S, TICK_S, PermitService
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.node.requests.request_attempt import AttemptResult, Attempts
from galenastall.node.requests.request_table import RequestStatus, RequestTable
from galenastall.node.requests.request_trace import RequestTrace
from galenastall.node.requests.request_types import (
    RequestAnswer,
    RequestCall,
    RequestCounters,
    RequestReason,
    not_run_answer,
)
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.platform import UpstreamService
from galenastall.state.ids import AttemptId, HostId, Incarnation, RequestId
from galenastall.state.outcomes import Outcome
from galenastall.state.work import Urgency

MAX_SWAPS: Final = 2
"""Permits of already tried upstreams that a retry releases to get one of another upstream."""
OVERTAKEN_CHECK_PERIOD_S: Final = 0.25
"""Interval between two checks for overtaken requests."""
DRAIN_RETRY_S: Final = 1.0
NO_UPSTREAM_RETRY_S: Final = 2.0


@dataclass(slots=True)
class _Waiter:
    """A queued request and its result: a permit, or the reason why it gets none."""

    woken: trio.Event = field(default_factory=trio.Event)
    permit: Permit | None = None
    reason: RequestReason = RequestReason.NONE


@dataclass(slots=True)
class _Run:
    """State of a request from `submit` to its answer."""

    call: RequestCall
    ticket: RequestId
    status: RequestStatus
    tried: set[HostId] = field(default_factory=set)
    attempts: int = 0
    swaps: int = 0
    maybe_ran: AttemptResult | None = None
    """The last attempt that may have run; once set, the request must not end as `not run`."""


class RequestService:
    """Runs requests on the upstreams of this data centre."""

    def __init__(
        self,
        *,
        incarnation: Incarnation,
        clock: Clock,
        upstreams: UpstreamService,
        permits: PermitService,
        settings: Callable[[], RequestSettings],
        events: EventSink,
    ) -> None:
        """`incarnation` must be unique per start of the process, as attempt ids contain it."""
        self.counters = RequestCounters()
        self.request_table = RequestTable()
        self._clock = clock
        self._permits = permits
        self._settings = settings
        self._trace = RequestTrace(events=events)
        self._admission = Admission(limits=settings().admission)
        self._budget = RetryBudget(limits=settings().retries)
        self._shortest = ShortestTime()
        self._waiters_by_ticket: dict[RequestId, _Waiter] = {}
        self._tickets = (
            RequestId(f"{permits.host_id}.{incarnation}.{n}") for n in itertools.count(1)
        )
        self._in_progress = 0
        self._next_overtaken_check_at = 0.0
        self._is_draining = False
        self._drained = trio.Event()
        self._busy = trio.Event()
        """Set by a waiting request; ends a long pause between ticks."""
        self._attempts = Attempts(
            clock=clock,
            upstreams=upstreams,
            permits=permits,
            settings=settings,
            counters=self.counters,
            on_run_time=self._note_run_time,
        )
        permits.connect(take=self._take_permit, demand=self._demand)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._admission)

    @property
    def in_progress(self) -> int:
        """Requests that have no final answer yet."""
        return self._in_progress

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Drop requests that can no longer meet their deadline, until cancelled."""
        task_status.started()
        while True:
            self._tick()
            await trio.sleep(TICK_S)
            if not self._waiters_by_ticket and not self._is_draining:
                with trio.move_on_after(IDLE_TICK_S):
                    await self._busy.wait()
            self._busy = trio.Event()

    def begin_drain(self) -> None:
        """Refuse new requests from now on."""
        self._is_draining = True
        self._busy.set()

    async def drain(self) -> None:
        """Refuse new requests; return once all accepted ones are answered, including streams."""
        self.begin_drain()
        await self._drained.wait()

    def next_ticket(self) -> RequestId:
        """Return an id that is unique over all requests of all entry hosts."""
        return next(self._tickets)

    def record_answer(self, call: RequestCall, answer: RequestAnswer) -> RequestAnswer:
        """Count and record an answer given before `submit` was called; return it."""
        run = _Run(call=call, ticket=RequestId(""), status=self.request_table.open(call.request_id))
        self._end(run, answer)
        return answer

    def refusal(self, call: RequestCall) -> RequestAnswer | None:
        """Return why the request would be refused now, before anything is recorded for it."""
        if self._is_draining:
            return not_run_answer(call.request_id, RequestReason.DRAINING, DRAIN_RETRY_S)
        if not self._permits.has_upstreams():
            return not_run_answer(call.request_id, RequestReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
        if not self._waiters_by_ticket:
            self._apply_settings()  # The last tick may be a long pause ago.
        refused = self._admission.check(
            request=self._waiting_of(call, call.request_id), now=self._clock.now()
        )
        if refused is None:
            return None
        return not_run_answer(call.request_id, RequestReason(refused.reason), refused.retry_after_s)

    async def submit(self, call: RequestCall) -> RequestAnswer:
        """Run a request; return its final answer with exactly one of the four outcomes."""
        run = _Run(
            call=call, ticket=next(self._tickets), status=self.request_table.open(call.request_id)
        )
        self._in_progress += 1
        try:
            answer = self.refusal(call) or await self._until_final(run)
        except BaseException:
            answer = self._abandoned(run)
            self._trace.withdrawn(call, answer)
            self._close(run, answer)
            raise
        finally:
            self._in_progress -= 1
        self._end(run, answer)
        return answer

    async def _until_final(self, run: _Run) -> RequestAnswer:
        self._budget.first_attempt()
        while True:
            permit = await self._permit_for(run)
            if isinstance(permit, RequestAnswer):
                return permit
            if not self._permits.may_begin(permit):
                self.counters.void_permits += 1
                self._trace.passed_over(run.call, permit, "the permit arrived too late to be used")
                self._permits.release_unused(permit)
                continue
            result = await self._attempt(run, permit)
            if not self._should_retry(run, result):
                return self._final(run, result)
            self.counters.retries += 1
            self._trace.retried(run.call, run.status.upstream, result.reason or result.outcome)

    async def _attempt(self, run: _Run, permit: Permit) -> AttemptResult:
        run.attempts += 1
        run.tried.add(permit.upstream)
        run.status.state = "sent"
        run.status.upstream = permit.upstream
        run.status.attempts = run.attempts
        attempt_id = AttemptId(f"{run.call.request_id}#{run.ticket}.{run.attempts}")
        owner = self._permits.owner_of(permit)
        self._trace.sent(run.call, permit, owner=owner, number=run.attempts)
        result = await self._attempts.make(call=run.call, permit=permit, attempt_id=attempt_id)
        if result.outcome is Outcome.UNKNOWN:
            run.maybe_ran = result
        self._trace.answered(run.call, permit, result.outcome, result.reason or result.detail)
        return result

    def _should_retry(self, run: _Run, result: AttemptResult) -> bool:
        end = AttemptEnd(
            outcome=result.outcome,
            attempt=run.attempts,
            idempotent=run.call.idempotent,
            body_replayable=result.body_replayable,
            remaining_s=run.call.deadline - self._clock.now(),
        )
        shortest_s = self._shortest.seconds(run.call.operation)
        if not may_retry(end=end, limits=self._settings().retries, shortest_s=shortest_s):
            return False
        if self._budget.spend():
            return True
        self.counters.retries_denied += 1
        return False

    async def _permit_for(self, run: _Run) -> Permit | RequestAnswer:
        """Wait for a permit, preferably of an upstream that was not tried before."""
        swaps_before = run.swaps
        while True:
            waiter = _Waiter()
            self._waiters_by_ticket[run.ticket] = waiter
            self._busy.set()
            try:
                ahead = len(self._admission)
                offered = self._offer(run)
                if offered.refusal is not None:
                    return self._answer_without_permit(run, RequestReason(offered.refusal.reason))
                if run.swaps == swaps_before:
                    self._trace.queued(run.call, ahead=ahead)
                if waiter.permit is None and not waiter.reason:
                    await self._wait(run, waiter)
            except BaseException:
                self._admission.withdraw(run.ticket)
                if waiter.permit is not None:
                    self._permits.release_unused(waiter.permit)
                raise
            finally:
                del self._waiters_by_ticket[run.ticket]
            if waiter.permit is None:
                return self._answer_without_permit(run, waiter.reason)
            if waiter.permit.upstream not in run.tried or run.swaps >= MAX_SWAPS:
                return waiter.permit
            run.swaps += 1
            self._trace.passed_over(run.call, waiter.permit, "this upstream was already tried")
            self._permits.release_unused(waiter.permit)

    async def _wait(self, run: _Run, waiter: _Waiter) -> None:
        """Wait for a permit or a reason; withdraw the request if its caller disconnects."""
        gone = run.call.caller_gone
        if gone is None:
            await waiter.woken.wait()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._withdraw_when_gone, run, waiter, gone)
            await waiter.woken.wait()
            nursery.cancel_scope.cancel()

    async def _withdraw_when_gone(
        self, run: _Run, waiter: _Waiter, gone: Callable[[], Awaitable[None]]
    ) -> None:
        await gone()
        if self._admission.withdraw(run.ticket) is not None:
            waiter.reason = RequestReason.ABANDONED
            waiter.woken.set()

    def _offer(self, run: _Run) -> OfferResult:
        offered = self._admission.offer(
            request=self._waiting_of(run.call, run.ticket), now=self._clock.now()
        )
        if offered.displaced is not None:
            self._wake(offered.displaced.request_id, RequestReason.DISPLACED)
        if offered.refusal is None:
            self._permits.request_permits(avoid=tuple(run.tried))
        return offered

    def _waiting_of(self, call: RequestCall, ticket: RequestId) -> WaitingRequest:
        service_s = self._shortest.seconds(call.operation)
        if service_s:
            service_s += self._settings().dispatch_margin_s
        return WaitingRequest(
            request_id=ticket,
            team=call.team,
            urgency=call.urgency,
            deadline=call.deadline,
            service_s=service_s,
        )

    def _take_permit(self, permit: Permit) -> bool:
        """Assign a permit to the first request in the queue; return False if none waits."""
        now = self._clock.now()
        self._drop_late(now)
        waiting = self._admission.take(now=now)
        if waiting is None:
            return False
        waiter = self._waiters_by_ticket[waiting.request_id]
        waiter.permit = permit
        waiter.woken.set()
        return True

    def _demand(self) -> tuple[int, Urgency]:
        waiting = len(self._admission)
        for urgency in Urgency:
            if self._admission.waiting_of(urgency):
                return waiting, urgency
        return waiting, Urgency.NORMAL

    def _tick(self) -> None:
        self._apply_settings()
        now = self._clock.now()
        self._drop_late(now)
        self._drop_overtaken(now)
        if self._is_draining and not self._in_progress and not self._permits.held:
            self._drained.set()

    def _apply_settings(self) -> None:
        settings = self._settings()
        self._admission.limits = settings.admission
        self._admission.weights_by_team = settings.weights_by_team
        self._budget.limits = settings.retries

    def _drop_late(self, now: float) -> None:
        for request in self._admission.expire(now=now):
            self._wake(request.request_id, RequestReason.DEADLINE_PASSED)

    def _drop_overtaken(self, now: float) -> None:
        if now < self._next_overtaken_check_at:
            return
        self._next_overtaken_check_at = now + OVERTAKEN_CHECK_PERIOD_S
        for request in self._admission.drop_overtaken(now=now):
            self._wake(request.request_id, RequestReason.OVERTAKEN)

    def _wake(self, ticket: RequestId, reason: RequestReason) -> None:
        waiter = self._waiters_by_ticket[ticket]
        waiter.reason = reason
        waiter.woken.set()

    def _note_run_time(self, operation: str, seconds: float) -> None:
        self._shortest.note(operation=operation, seconds=seconds)

    def _answer_without_permit(self, run: _Run, reason: RequestReason) -> RequestAnswer:
        """Answer a request that gets no further permit; `unknown` if an attempt may have run."""
        if run.maybe_ran is not None:
            return self._final(run, run.maybe_ran)
        retry_after_s = self._admission.retry_after_s(run.call.urgency)
        answer = not_run_answer(run.call.request_id, reason, retry_after_s)
        return replace(answer, attempts=run.attempts)

    def _final(self, run: _Run, result: AttemptResult) -> RequestAnswer:
        if result.outcome is Outcome.NOT_RUN and run.maybe_ran is not None:
            result = run.maybe_ran
        retry_after_s = None
        if result.outcome is Outcome.NOT_RUN:
            retry_after_s = self._admission.retry_after_s(run.call.urgency)
        return RequestAnswer(
            request_id=run.call.request_id,
            outcome=result.outcome,
            reason=result.reason,
            status=result.status,
            content_type=result.content_type,
            body=result.body,
            retry_after_s=retry_after_s,
            upstream=run.status.upstream,
            attempts=run.attempts,
            detail=result.detail,
        )

    def record_refusal(self, answer: RequestAnswer) -> RequestAnswer:
        """Count and record the refusal of a request that was not submitted; return it."""
        self._trace.refused(answer)
        self.counters.ended(answer)
        return answer

    def _abandoned(self, run: _Run) -> RequestAnswer:
        """Return the recorded answer of a request cancelled by its caller or the process."""
        return RequestAnswer(
            request_id=run.call.request_id,
            outcome=Outcome.UNKNOWN if run.attempts else Outcome.NOT_RUN,
            reason=RequestReason.ABANDONED,
            upstream=run.status.upstream,
            attempts=run.attempts,
        )

    def _end(self, run: _Run, answer: RequestAnswer) -> None:
        self._trace.ended(run.call, answer, attempts=run.attempts)
        self._close(run, answer)

    def _close(self, run: _Run, answer: RequestAnswer) -> None:
        self.counters.ended(answer)
        self.request_table.close(run.status, answer)
