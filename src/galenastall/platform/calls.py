"""HTTP client for all services of the platform, with JSON bodies and typed errors."""

import math
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from galenastall.state.decoding import decode_json_value
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import (
    BufferedResponse,
    HttpClient,
    ProgressCheck,
    error_from_response,
)

T = TypeVar("T")
TRANSFER_TIMEOUT_S: Final = 120.0
"""Time-out for a whole response that grows with the fleet, the jobs or the configuration."""
SILENCE_TIMEOUT_S: Final = 1.7
"""Longest time in which nothing of such a response arrives; a stall must be found within 2 s."""
AddressProvider = Callable[[], str]
"""Returns the current `IP:port` of a service; the settings may change while the process runs."""
_JSON_HEADERS = {"content-type": "application/json"}


class PlatformCalls:
    """Sends requests to the platform's services."""

    def __init__(self, *, client: HttpClient) -> None:
        """Send requests through `client`."""
        self._client = client

    async def get(
        self,
        *,
        step: str,
        address: str,
        path: str,
        timeout_s: float,
        idle_timeout_s: float = math.inf,
        on_progress: ProgressCheck | None = None,
    ) -> Result[BufferedResponse, StepError]:
        """Send a GET request and return the response, whatever its status."""
        return await self._client.request(
            method="GET",
            address=address,
            path=path,
            timeout_s=timeout_s,
            idle_timeout_s=idle_timeout_s,
            on_progress=on_progress,
            step=step,
        )

    async def post(
        self,
        *,
        step: str,
        address: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> Result[BufferedResponse, StepError]:
        """Post a body and return the response, whatever its status."""
        return await self._client.request(
            method="POST",
            address=address,
            path=path,
            timeout_s=timeout_s,
            headers=headers,
            body=body,
            step=step,
        )

    async def post_json(
        self,
        *,
        step: str,
        address: str,
        path: str,
        message: Any,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> Result[BufferedResponse, StepError]:
        """Post a JSON message and return the response, whatever its status."""
        return await self.post(
            step=step,
            address=address,
            path=path,
            body=msgspec.json.encode(message),
            timeout_s=timeout_s,
            headers={**_JSON_HEADERS, **(headers or {})},
        )


def decode_answer(
    answer: BufferedResponse, wanted: type[T], *, step: str, peer: str
) -> Result[T, StepError]:
    """Return the typed body of a response; CUT if it can't be decoded."""
    body = decode_json_value(answer.body, wanted)
    if isinstance(body, Success):
        return body
    detail = f"status {answer.status}: {body.failure()}"
    return Failure(StepError(step=step, peer=peer, reason=Reason.CUT, detail=detail))


def to_failure(answer: BufferedResponse, *, step: str, peer: str) -> Failure[StepError]:
    """Convert a response with an error status into a failure."""
    return Failure(error_from_response(answer, step=step, peer=peer))
