"""In-memory stand-in of all executors by address, as one UpstreamService."""

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
    ExecutorPlan,
    MemoryExecutor,
    Verdict,
)
from galenastall.standin.executor_log import ExecutionLog
from galenastall.standin.faults import ExecutorFaults, draw_fate
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
        """Take an executor away; raises KeyError for an unknown address."""
        del self.by_address[address]
        self._changed_by_address.pop(address).set()

    def set_faults(self, address: str, faults: ExecutorFaults) -> None:
        """Replace an executor's knobs; raises KeyError for an unknown address."""
        self.by_address[address].faults = faults
        changed, self._changed_by_address[address] = (
            self._changed_by_address[address],
            trio.Event(),
        )
        changed.set()

    async def resumed(self, address: str) -> None:
        """Return once the executor is not paused."""
        while (executor := self.by_address.get(address)) and executor.faults.paused:
            await self._changed_by_address[address].wait()

    @asynccontextmanager
    async def call(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> AsyncIterator[Result[UpstreamAnswer, StepError]]:
        """Send a request; see UpstreamService. OVERLOADED: no slot or connection, not run."""
        executor = self.by_address.get(address)
        if executor is None or executor.faults.unreachable:
            yield Failure(_error(address, Reason.UNREACHABLE))
            return
        executor.open_calls += 1
        try:
            yield await self._answer(executor, address, call, body)
        finally:
            executor.open_calls -= 1

    async def _answer(
        self, executor: MemoryExecutor, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> Result[UpstreamAnswer, StepError]:
        faults = executor.faults
        request_body = b"".join([chunk async for chunk in body])
        fate = draw_fate(faults=faults, clock=self._clock, rng=self._rng)
        if fate.lost:
            await trio.sleep(faults.call_timeout_s)
            return Failure(_error(address, Reason.TIMEOUT))
        await trio.sleep(faults.delay_s)
        await self.resumed(address)
        plan = executor.plan(call, request_body)
        reason = _REFUSALS.get(plan.verdict)
        if reason is not None:
            return Failure(_error(address, reason, retry_after_s=RETRY_AFTER_S))
        await trio.sleep(max(0.0, plan.answer_at - self._clock.now()))
        if plan.is_lost:
            await trio.sleep(faults.call_timeout_s)
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
        raise UpstreamCutError(f"{STEP} at {address}: {len(sent)} of {len(plan.body)} bytes came")


def _error(address: str, reason: Reason, *, retry_after_s: float | None = None) -> StepError:
    return StepError(step=STEP, peer=address, reason=reason, retry_after_s=retry_after_s)
