"""HTTP server of one executor; its port is closed while the executor is unreachable."""

from typing import Final

import trio

from galenastall.protocol.platform import UpstreamCall
from galenastall.protocol.upstream_headers import (
    ATTEMPT_ID,
    CALLER,
    EPOCH,
    LEAVING,
    NOT_AFTER,
    OUTCOME,
    REQUEST_ID,
)
from galenastall.standin.cuts import Service
from galenastall.standin.executor import RETRY_AFTER_S, ExecutorPlan, Verdict
from galenastall.standin.lean_http import LeanRequest, LeanResponse, LeanServer
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.state.ids import AttemptId, Epoch, RequestId
from galenastall.state.outcomes import Outcome

_REQUEST_ID: Final = REQUEST_ID.encode()
_ATTEMPT_ID: Final = ATTEMPT_ID.encode()
_EPOCH: Final = EPOCH.encode()
_NOT_AFTER: Final = NOT_AFTER.encode()
_CALLER: Final = CALLER.encode()


def _format_status_and_headers(status: int, phrase: str, outcome: Outcome) -> str:
    retry_after = f"retry-after: {RETRY_AFTER_S:.0f}\r\n" if outcome is Outcome.NOT_RUN else ""
    return (
        f"HTTP/1.1 {status} {phrase}\r\ncontent-type: text/plain\r\n"
        f"{OUTCOME}: {outcome.value}\r\n{retry_after}"
    )


_HEADERS_BY_VERDICT: Final = {
    Verdict.RUN: _format_status_and_headers(200, "OK", Outcome.DONE),
    Verdict.RUN_AND_FAIL: _format_status_and_headers(500, "Internal Server Error", Outcome.FAILED),
    Verdict.FULL: _format_status_and_headers(503, "Service Unavailable", Outcome.NOT_RUN),
    Verdict.TOO_LATE: _format_status_and_headers(403, "Forbidden", Outcome.NOT_RUN),
}
_BAD_REQUEST: Final = LeanResponse(
    data=(
        b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 34\r\n\r\n"
        b"the headers of a call are missing\n"
    ),
    keeps_connection=False,
)


class ExecutorServer:
    """Serves one executor of the model on a port of its own."""

    def __init__(self, *, model: MemoryPlatform, bind_host: str = "127.0.0.1") -> None:
        """Bind the port now, so that the executor can be added to the model under its address."""
        self._executors = model.executors
        self._cuts = model.cuts
        self._server = LeanServer(answer=self._answer, bind_host=bind_host)
        self._address = self._server.address

    @property
    def address(self) -> str:
        """`IP:port` of this executor."""
        return self._address

    async def run(self) -> None:
        """Serve until the executor is removed; the port is closed while it is unreachable."""
        try:
            while executor := self._executors.by_address.get(self._address):
                if executor.faults.unreachable:
                    self._server.close()
                    await self._executors.reachability_changed(self._address)
                    continue
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._server.run)
                    await self._executors.reachability_changed(self._address)
                    nursery.cancel_scope.cancel()
        finally:
            self._server.close()

    async def _answer(self, request: LeanRequest) -> LeanResponse | None:
        call = _parse_call(request)
        if call is None:
            return _BAD_REQUEST
        caller = request.headers.get(_CALLER, b"").decode("latin-1")
        if self._cuts.is_cut(caller, Service.UPSTREAMS):
            await trio.sleep(self._cuts.timeout_s)
            return None
        plan = await self._carry_out(call, request.body)
        if plan is None or plan.is_lost or self._cuts.is_cut(caller, Service.UPSTREAMS):
            return None
        data = _format_head(plan, call) + plan.body[: plan.sent_bytes]
        return LeanResponse(data=data, keeps_connection=not plan.is_cut)

    async def _carry_out(self, call: UpstreamCall, body: bytes) -> ExecutorPlan | None:
        executor = self._executors.by_address.get(self._address)
        if executor is None:
            return None
        executor.open_calls += 1
        executor.counters.peak_connections = self._server.peak_connections
        executor.counters.broken_connections = self._server.broken_connections
        try:
            return await self._executors.carry_out(address=self._address, call=call, body=body)
        finally:
            executor.open_calls -= 1


def _format_head(plan: ExecutorPlan, call: UpstreamCall) -> bytes:
    leaving = f"{LEAVING}: 1\r\n" if plan.leaving else ""
    return (
        f"{_HEADERS_BY_VERDICT[plan.verdict]}{ATTEMPT_ID}: {call.attempt_id}\r\n{leaving}"
        f"content-length: {len(plan.body)}\r\n\r\n"
    ).encode("latin-1")


def _parse_call(request: LeanRequest) -> UpstreamCall | None:
    headers = request.headers
    try:
        return UpstreamCall(
            request_id=RequestId(headers[_REQUEST_ID].decode()),
            attempt_id=AttemptId(headers[_ATTEMPT_ID].decode()),
            epoch=Epoch(int(headers[_EPOCH])),
            not_after=float(headers[_NOT_AFTER]),
            operation=request.target.decode("ascii")[1:],
        )
    except (KeyError, ValueError):
        return None
