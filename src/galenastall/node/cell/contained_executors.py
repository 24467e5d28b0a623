"""Confines an unexpected error in a call to one executor to that executor."""

from collections.abc import Awaitable
from typing import Final, TypeVar

from returns.result import Failure, Result

from galenastall.coordination.cell.commands import StartOrder, StopOrder, ThrottleOrder
from galenastall.protocol.cell.executor_port import ExecutorPort, ListingAnswer, OrderAnswer
from galenastall.state.decoding import shorten
from galenastall.state.errors import Reason, StepError
from galenastall.transport.logs import Level, Recorder
from galenastall.transport.unexpected import record_unexpected

T = TypeVar("T")
STEP: Final = "executor.unexpected"


class ContainedExecutors(ExecutorPort):
    """An ExecutorPort whose calls fail where those of another one raise an exception.

    Only the call is covered, so errors of the leader's own state still end the term. The order may
    have been carried out: the failure is CUT, and the executor counts as not answering.
    """

    def __init__(self, *, executors: ExecutorPort, recorder: Recorder) -> None:
        """Call through `executors`."""
        self._executors = executors
        self._recorder = recorder
        self._failing: set[tuple[str, str]] = set()
        """Executors and steps whose last call raised: one log line when that begins."""

    async def start(
        self, *, address: str, order: StartOrder, deadline_ms: int, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Start a run."""
        call = self._executors.start(
            address=address, order=order, deadline_ms=deadline_ms, token=token, timeout_s=timeout_s
        )
        return await self._contain(call, "start", order.executor_id, address)

    async def stop(
        self, *, address: str, order: StopOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Stop a run."""
        call = self._executors.stop(address=address, order=order, token=token, timeout_s=timeout_s)
        return await self._contain(call, "stop", order.executor_id, address)

    async def throttle(
        self, *, address: str, order: ThrottleOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Throttle a run."""
        call = self._executors.throttle(
            address=address, order=order, token=token, timeout_s=timeout_s
        )
        return await self._contain(call, "throttle", order.executor_id, address)

    async def renew(
        self,
        *,
        address: str,
        executor_id: str,
        deadline_ms: int | None,
        noted: int,
        wait_s: float,
        token: int,
        timeout_s: float,
    ) -> Result[ListingAnswer, StepError]:
        """Renew the lease and return the listing."""
        call = self._executors.renew(
            address=address,
            executor_id=executor_id,
            deadline_ms=deadline_ms,
            noted=noted,
            wait_s=wait_s,
            token=token,
            timeout_s=timeout_s,
        )
        return await self._contain(call, "renew", executor_id, address)

    async def _contain(
        self, call: Awaitable[Result[T, StepError]], name: str, executor_id: str, address: str
    ) -> Result[T, StepError]:
        try:
            answer = await call
        except Exception as error:
            self._record(error, name, executor_id, address)
            detail = f"{name}: {type(error).__name__}: {shorten(str(error))}"
            return Failure(StepError(step=STEP, peer=address, reason=Reason.CUT, detail=detail))
        self._failing.discard((executor_id, name))
        return answer

    def _record(self, error: Exception, name: str, executor_id: str, address: str) -> None:
        is_first = (executor_id, name) not in self._failing
        self._failing.add((executor_id, name))
        record_unexpected(
            self._recorder,
            STEP,
            error,
            peer=address,
            subjects=(executor_id,),
            level=Level.ERROR if is_first else Level.DETAIL,
        )
