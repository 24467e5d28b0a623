"""Calls to executors over HTTP, with streamed bodies and responses matched by attempt id."""

from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager
from types import TracebackType
from typing import Final

from returns.result import Failure, Result, Success

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import UpstreamAnswer, UpstreamCall, UpstreamCutError
from galenastall.protocol.upstream_headers import (
    ATTEMPT_ID,
    EPOCH,
    LEAVING,
    NOT_AFTER,
    OUTCOME,
    REQUEST_ID,
)
from galenastall.state.errors import Reason, StepError
from galenastall.state.outcomes import Outcome
from galenastall.transport.http_client import HttpClient
from galenastall.transport.http_exchange import Exchange, ResponseCutError, StreamedResponse

STEP: Final = "upstream.call"
DEFAULT_CONTENT_TYPE: Final = "application/octet-stream"

_OK_CLASS: Final = 2
_OUTCOMES_BY_VALUE: Final = {outcome.value: outcome for outcome in Outcome}
_REASONS_BY_STATUS: Final = {
    403: Reason.REFUSED,
    409: Reason.CONFLICT,
    429: Reason.OVERLOADED,
    503: Reason.OVERLOADED,
}
"""Reasons for a status with outcome NOT_RUN; any other status is REFUSED."""


class HttpUpstreams:
    """Executors by address; implements protocol.platform.UpstreamService."""

    def __init__(self, *, client: HttpClient, clock: Clock, headers: Mapping[str, str]) -> None:
        """Send `headers` with each call."""
        self._client = client
        self._clock = clock
        self._headers = headers

    def call(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> AbstractAsyncContextManager[Result[UpstreamAnswer, StepError]]:
        """Send a request and stream its response; see UpstreamService.

        The call lasts until its not-after time; a call past that time is not sent.
        """
        return _OpenCall(service=self, address=address, call=call, body=body)

    async def open(
        self, *, address: str, call: UpstreamCall, body: AsyncIterator[bytes]
    ) -> Result[Exchange, StepError]:
        """Send a request; the caller closes the exchange."""
        timeout_s = call.not_after - self._clock.wall()
        if timeout_s <= 0:
            detail = "not sent: past its not-after time"
            return Failure(_error(address, Reason.UNREACHABLE, detail))
        return await self._client.open(
            method="POST",
            address=address,
            path=f"/{call.operation}",
            timeout_s=timeout_s,
            headers=self._headers_of(call),
            body=body,
            content_length=call.content_length,
            step=STEP,
        )

    def _headers_of(self, call: UpstreamCall) -> dict[str, str]:
        return {
            **self._headers,
            "content-type": call.content_type,
            REQUEST_ID: call.request_id,
            ATTEMPT_ID: call.attempt_id,
            EPOCH: str(call.epoch),
            NOT_AFTER: repr(call.not_after),
        }


class _OpenCall(AbstractAsyncContextManager[Result[UpstreamAnswer, StepError]]):
    """One call; a class, since a generator-based context manager would cost more than it."""

    def __init__(
        self,
        *,
        service: HttpUpstreams,
        address: str,
        call: UpstreamCall,
        body: AsyncIterator[bytes],
    ) -> None:
        self._service = service
        self._address = address
        self._call = call
        self._body = body
        self._exchange: Exchange | None = None

    async def __aenter__(self) -> Result[UpstreamAnswer, StepError]:
        opened = await self._service.open(address=self._address, call=self._call, body=self._body)
        if isinstance(opened, Failure):
            return opened
        self._exchange = opened.unwrap()
        return _interpret(self._exchange.answer, self._call, self._address)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._exchange is not None:
            await self._exchange.aclose()


def _interpret(
    answer: StreamedResponse, call: UpstreamCall, address: str
) -> Result[UpstreamAnswer, StepError]:
    """Interpret a response; it counts only if it names this attempt."""
    echoed = answer.headers.get(ATTEMPT_ID, "")
    if echoed != call.attempt_id:
        detail = f"status {answer.status} names attempt {echoed!r}, not {call.attempt_id!r}"
        return Failure(_error(address, Reason.CUT, detail))
    outcome = _outcome_of(answer)
    if outcome is Outcome.NOT_RUN:
        return Failure(_refusal(answer, address))
    return Success(
        UpstreamAnswer(
            outcome=outcome,
            attempt_id=call.attempt_id,
            status=answer.status,
            content_type=answer.headers.get("content-type", DEFAULT_CONTENT_TYPE),
            body=_CheckedBody(answer.body),
            leaving=answer.headers.get(LEAVING) == "1",
        )
    )


def _outcome_of(answer: StreamedResponse) -> Outcome:
    """Return the reported outcome; without one, a success status is DONE and others UNKNOWN."""
    outcome = _OUTCOMES_BY_VALUE.get(answer.headers.get(OUTCOME, ""))
    if outcome is not None:
        return outcome
    return Outcome.DONE if answer.status // 100 == _OK_CLASS else Outcome.UNKNOWN


def _refusal(answer: StreamedResponse, address: str) -> StepError:
    retry_after = answer.headers.get("retry-after", "")
    return StepError(
        step=STEP,
        peer=address,
        reason=_REASONS_BY_STATUS.get(answer.status, Reason.REFUSED),
        detail=f"status {answer.status}",
        retry_after_s=float(retry_after) if retry_after.isdigit() else None,
    )


class _CheckedBody:
    """Chunks of a response body; a truncation raises UpstreamCutError."""

    def __init__(self, chunks: AsyncIterator[bytes]) -> None:
        self._chunks = chunks

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self._chunks.__anext__()
        except ResponseCutError as error:
            raise UpstreamCutError(str(error)) from error


def _error(address: str, reason: Reason, detail: str) -> StepError:
    return StepError(step=STEP, peer=address, reason=reason, detail=detail)
