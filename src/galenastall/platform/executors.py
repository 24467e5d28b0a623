"""Sends orders to executors and reads their listings, in the platform's HTTP API."""

from dataclasses import dataclass
from typing import Any, Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.coordination.cell.commands import StartOrder, StopOrder, ThrottleOrder
from galenastall.platform.calls import PlatformCalls, decode_answer
from galenastall.platform.listings import WireListing, decode_listing
from galenastall.platform.names import task_name
from galenastall.protocol.cell.executor_port import (
    ExecutorPort,
    ListingAnswer,
    OrderAnswer,
    StartVerdict,
)
from galenastall.state.cell.executor_ids import (
    executor_name,
    make_executor_id,
    started_at_ms_of,
)
from galenastall.state.decoding import Whole
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import BufferedResponse

_OK: Final = 200
_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409
_OTHER_EXECUTOR: Final = 421
_UNHEALTHY: Final = frozenset({429, 503})
_EXPECTED_EXECUTOR_HEADER: Final = "Expected-Instance"
"""Names the executor that an order is addressed to, in any of its incarnations."""
_VERDICT_BY_REASON: Final = {
    "fence": StartVerdict.FENCED,
    "old": StartVerdict.OLD_RUN,
    "late": StartVerdict.TOO_LATE,
    "room": StartVerdict.NO_ROOM,
    "ticket": StartVerdict.NO_TICKET,
}


@dataclass(frozen=True, slots=True)
class _Endpoint:
    """An endpoint of an executor; errors name its step."""

    step: str
    path: str


_START: Final = _Endpoint("executor.start", "/run-start")
_STOP: Final = _Endpoint("executor.stop", "/run-stop")
_PACE: Final = _Endpoint("executor.pace", "/pace")
_RENEW: Final = _Endpoint("executor.renew", "/hold")
Message = dict[str, Any]


class WireAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Fields that any response of an executor may carry."""

    clock_ms: Whole | None = None
    reason: str = ""


class PlatformExecutors(ExecutorPort):
    """ExecutorPort over HTTP."""

    def __init__(self, *, calls: PlatformCalls) -> None:
        """Send requests through `calls`."""
        self._calls = calls

    async def start(
        self, *, address: str, order: StartOrder, deadline_ms: int, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Start a run."""
        message: Message = {
            "task": task_name(order.task),
            "run": order.run,
            "specification": order.payload,
            "deadlineMs": deadline_ms,
            "fencingToken": token,
        }
        if order.checkpoint:
            message["checkpoint"] = order.checkpoint
        if order.ticket:
            message["ticket"] = order.ticket
        return await self._order(_START, address, order.executor_id, message, timeout_s)

    async def stop(
        self, *, address: str, order: StopOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Stop a run."""
        message: Message = {
            "task": task_name(order.task),
            "run": order.run,
            "fencingToken": token,
        }
        return await self._order(_STOP, address, order.executor_id, message, timeout_s)

    async def throttle(
        self, *, address: str, order: ThrottleOrder, token: int, timeout_s: float
    ) -> Result[OrderAnswer, StepError]:
        """Throttle a run to a percentage of its speed."""
        message: Message = {
            "task": task_name(order.task),
            "run": order.run,
            "percentage": order.percent,
            "fencingToken": token,
        }
        return await self._order(_PACE, address, order.executor_id, message, timeout_s)

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
        message: Message = {"fencingToken": token, "ackPosition": noted}
        if deadline_ms is not None:
            message["deadlineMs"] = deadline_ms
        if wait_s > 0:
            message["waitMs"] = int(wait_s * 1000)
        answer = await self._call(_RENEW, address, executor_id, message, timeout_s)
        if isinstance(answer, Failure):
            return answer
        response = answer.unwrap()
        if response.status == _OK:
            return _listing(response, peer=address).map(
                lambda found: ListingAnswer(
                    verdict=StartVerdict.STARTED,
                    executor_id=_responding_id(executor_id, found.born),
                    listing=found.to_listing(),
                )
            )
        return _verdict(response, step=_RENEW.step, peer=address).map(
            lambda found: ListingAnswer(
                verdict=found.verdict, executor_id=executor_id, listing=None
            )
        )

    async def _order(
        self,
        endpoint: _Endpoint,
        address: str,
        executor_id: str,
        message: Message,
        timeout_s: float,
    ) -> Result[OrderAnswer, StepError]:
        answer = await self._call(endpoint, address, executor_id, message, timeout_s)
        if isinstance(answer, Failure):
            return answer
        return _verdict(answer.unwrap(), step=endpoint.step, peer=address)

    async def _call(
        self,
        endpoint: _Endpoint,
        address: str,
        executor_id: str,
        message: Message,
        timeout_s: float,
    ) -> Result[BufferedResponse, StepError]:
        return await self._calls.post_json(
            step=endpoint.step,
            address=address,
            path=endpoint.path,
            message=message,
            timeout_s=timeout_s,
            headers={_EXPECTED_EXECUTOR_HEADER: executor_name(executor_id)},
        )


def _responding_id(executor_id: str, born_ms: int | None) -> str:
    """Return the id of the incarnation that responded; the called id if it is not reported."""
    if born_ms is None or started_at_ms_of(executor_id) is None:
        return executor_id
    return make_executor_id(executor_name(executor_id), born_ms)


def _listing(response: BufferedResponse, *, peer: str) -> Result[WireListing, StepError]:
    return decode_listing(response.body).alt(
        lambda detail: StepError(
            step=_RENEW.step, peer=peer, reason=Reason.CUT, detail=f"listing: {detail}"
        )
    )


def _verdict(response: BufferedResponse, *, step: str, peer: str) -> Result[OrderAnswer, StepError]:
    """Return the verdict of a response; CUT if its status or body is not understood."""
    if response.status == _OTHER_EXECUTOR:
        return Success(OrderAnswer(verdict=StartVerdict.OTHER_EXECUTOR, clock_ms=None))
    if response.status in _UNHEALTHY:
        return Success(OrderAnswer(verdict=StartVerdict.UNHEALTHY, clock_ms=None))
    if response.status == _BAD_REQUEST:
        return Success(OrderAnswer(verdict=StartVerdict.MALFORMED, clock_ms=None))
    if response.status not in {_OK, _CONFLICT}:
        detail = f"unexpected status {response.status}"
        return Failure(StepError(step=step, peer=peer, reason=Reason.CUT, detail=detail))
    body = decode_answer(response, WireAnswer, step=step, peer=peer)
    if isinstance(body, Failure):
        return body
    found = body.unwrap()
    if response.status == _OK:
        return Success(OrderAnswer(verdict=StartVerdict.STARTED, clock_ms=found.clock_ms))
    verdict = _VERDICT_BY_REASON.get(found.reason, StartVerdict.UNHEALTHY)
    return Success(OrderAnswer(verdict=verdict, clock_ms=found.clock_ms))
