"""In-memory stand-in of all executors, as one UpstreamService."""

import random
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import trio
from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import UpstreamAnswer, UpstreamCall, UpstreamCutError
from galenastall.standin.executor import (
    DEFAULT_CONNECTIONS,
    DEFAULT_SLOTS,
    RETRY_AFTER_S,
    Arrival,
    ExecutorPlan,
    MemoryExecutor,
    Verdict,
)
from galenastall.standin.executor_log import ExecutionLog
from galenastall.standin.faults import ExecutorFaults, draw_call_outcome
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import HostId
from galenastall.state.outcomes import Outcome

STEP = "upstream.call"
CHUNK_BYTES = 65_536

_REFUSALS: Mapping[Verdict, Reason] = {
    Verdict.FULL: Reason.OVERLOADED,
    Verdict.TOO_LATE: Reason.REFUSED,
}


class MemoryExecutors:
    """Executors by address; implements protocol.platform.UpstreamService."""

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._changed_by_address: dict[str, trio.Event] = {}
        self.log = ExecutionLog()
        self.by_address: dict[str, MemoryExecutor] = {}

    def add(
        self,
        *,
        address: str,
        host_id: HostId,
        slots: int = DEFAULT_SLOTS,
        connections: int = DEFAULT_CONNECTIONS,
        faults: ExecutorFaults | None = None,
    ) -> MemoryExecutor:
        """Add an executor that can be reached at `address`."""
        executor = MemoryExecutor(
            host_id=host_id,
            clock=self._clock,
            rng=self._rng,
            log=self.log,
            slots=slots,
            connections=connections,
            faults=faults,
        )
        self.by_address[address] = executor
        self._changed_by_address[address] = trio.Event()
        return executor

    def remove(self, address: str) -> None:
        """Remove an executor; raises KeyError for an unknown address."""
        del self.by_address[address]
        self._changed_by_address.pop(address).set()

    def set_faults(self, address: str, faults: ExecutorFaults) -> None:
        """Replace an executor's fault settings; raises KeyError for an unknown address."""
        self.by_address[address].set_faults(faults)
        changed, self._changed_by_address[address] = (
            self._changed_by_address[address],
            trio.Event(),
        )
        changed.set()

    async def reachability_changed(self, address: str) -> bool:
        """Wait until the executor's reachability changes; return whether it is reachable."""
        was_reachable = self._is_reachable(address)
        while address in self.by_address and self._is_reachable(address) is was_reachable:
            await self._changed_by_address[address].wait()
        return self._is_reachable(address)

    def _is_reachable(self, address: str) -> bool:
        executor = self.by_address.get(address)
        return executor is not None and not executor.faults.unreachable

    @asynccontextmanager
    async def call(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> AsyncIterator[Result[UpstreamAnswer, StepError]]:
        """Send a request; see UpstreamService. OVERLOADED: no free slot or connection, not run.

        The call times out at its not-after time; it is not sent if that has passed.
        """
        executor = self.by_address.get(address)
        if executor is None or executor.faults.unreachable:
            yield Failure(_error(address, Reason.UNREACHABLE))
            return
        timeout_s = call.not_after - self._clock.wall()
        if timeout_s <= 0:
            yield Failure(_error(address, Reason.UNREACHABLE))
            return
        executor.open_calls += 1
        answer: Result[UpstreamAnswer, StepError] = Failure(_error(address, Reason.TIMEOUT))
        try:
            with trio.move_on_after(timeout_s):
                answer = await self._answer(address, call, body)
            yield answer
        finally:
            executor.open_calls -= 1

    async def carry_out(self, *, address: str, call: UpstreamCall, body: bytes) -> ExecutorPlan:
        """Execute a call and return its plan when the response is due; HTTP calls use it too.

        Cancelling this doesn't revoke the request: it still runs, after a resume if it is paused.
        """
        executor = self.by_address[address]
        faults = executor.faults
        outcome = draw_call_outcome(faults=faults, clock=self._clock, rng=self._rng)
        if outcome.lost:
            await trio.sleep(faults.call_timeout_s)
            return executor.plan_loss()
        arrival = Arrival(call=call, body=body, is_answer_lost=outcome.answer_lost)
        executor.receive(arrival)
        if arrival.plan is None:
            await arrival.planned.wait()
        plan = arrival.plan
        assert plan is not None
        wait_s = plan.answer_at - self._clock.now()
        if plan.is_lost:
            wait_s += faults.call_timeout_s
        if wait_s > 0:
            await trio.sleep(wait_s)
        return plan

    async def _answer(
        self, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> Result[UpstreamAnswer, StepError]:
        request_body = b"".join([chunk async for chunk in body])
        await trio.lowlevel.checkpoint()
        plan = await self.carry_out(address=address, call=call, body=request_body)
        reason = _REFUSALS.get(plan.verdict)
        if reason is not None:
            return Failure(_error(address, reason, retry_after_s=RETRY_AFTER_S))
        if plan.is_lost:
            return Failure(_error(address, Reason.TIMEOUT))
        return Success(_make_answer(plan, call, address))


def _make_answer(plan: ExecutorPlan, call: UpstreamCall, address: str) -> UpstreamAnswer:
    is_done = plan.verdict is Verdict.RUN
    return UpstreamAnswer(
        outcome=Outcome.DONE if is_done else Outcome.FAILED,
        attempt_id=call.attempt_id,
        status=200 if is_done else 500,
        content_type="text/plain",
        body=_stream(plan, address),
        leaving=plan.leaving,
    )


async def _stream(plan: ExecutorPlan, address: str) -> AsyncIterator[bytes]:
    sent = plan.body[: plan.sent_bytes]
    for first in range(0, len(sent), CHUNK_BYTES):
        await trio.lowlevel.checkpoint()
        yield sent[first : first + CHUNK_BYTES]
    if plan.is_cut:
        raise UpstreamCutError(
            f"{STEP} at {address}: {len(sent)} of {len(plan.body)} bytes received"
        )


def _error(address: str, reason: Reason, *, retry_after_s: float | None = None) -> StepError:
    return StepError(step=STEP, peer=address, reason=reason, retry_after_s=retry_after_s)
