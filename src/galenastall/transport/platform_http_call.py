"""JSON calls of the platform's adapters, with typed responses and precise errors."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final, TypeVar

import msgspec
from returns.result import Failure, Result

from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import BufferedResponse, HttpClient, error_from_response
from galenastall.transport.http_json import decode_json

T = TypeVar("T")

_OK_CLASS: Final = 2


class JsonCaller:
    """Makes calls whose responses are JSON of a given type."""

    def __init__(self, *, client: HttpClient, timeout_s: float, headers: Mapping[str, str]) -> None:
        """Send `headers` with each call."""
        self._client = client
        self._timeout_s = timeout_s
        self._headers = headers
        self._json_headers = {**headers, "content-type": "application/json"}

    async def get(
        self, *, address: str, path: str, answer_type: type[T], step: str, wait_s: float = 0.0
    ) -> Result[T, StepError]:
        """Get a typed response; `wait_s` is added to the time-out."""
        answer = await self._client.request(
            method="GET",
            address=address,
            path=path,
            timeout_s=self._timeout_s + wait_s,
            headers=self._headers,
            step=step,
        )
        return answer.bind(lambda response: _typed(response, answer_type, step=step, peer=address))

    async def post(
        self, *, address: str, path: str, message: object, answer_type: type[T], step: str
    ) -> Result[T, StepError]:
        """Post a JSON message and return the typed response."""
        answer = await self._client.request(
            method="POST",
            address=address,
            path=path,
            timeout_s=self._timeout_s,
            headers=self._json_headers,
            body=msgspec.json.encode(message),
            step=step,
        )
        return answer.bind(lambda response: _typed(response, answer_type, step=step, peer=address))


def _typed(
    answer: BufferedResponse, answer_type: type[T], *, step: str, peer: str
) -> Result[T, StepError]:
    if answer.status // 100 != _OK_CLASS:
        error = error_from_response(answer, step=step, peer=peer)
        return Failure(replace(error, step=step, peer=peer))
    # The server reported success, so a request with an unreadable response may have taken effect.
    return decode_json(answer.body, answer_type, step=step, peer=peer).alt(
        lambda error: replace(error, reason=Reason.CUT)
    )
