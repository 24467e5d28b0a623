"""One HTTP call to an entry host from the command line."""

from collections.abc import Mapping
from typing import Annotated, Any, Final

import msgspec
import trio
import typer
from returns.result import Failure, Result, Success

from galenastall.cli.output import fail_usage
from galenastall.cli.tls_options import current_tls
from galenastall.protocol.addresses import split_address
from galenastall.state.errors import Reason, StepError
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import BufferedResponse, HttpClient, error_from_response

DEFAULT_TIMEOUT_S: Final = 35.0
_LAST_GOOD_STATUS: Final = 299

EntryOption = Annotated[
    str,
    typer.Option(
        "--entry", envvar="GALENASTALL_ENTRY", help="IP:port of an entry host's HTTP server."
    ),
]


def call_entry(
    *,
    entry: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Result[BufferedResponse, StepError]:
    """Make one call and return the buffered response, whatever its status."""
    try:
        split_address(entry)
    except ValueError as error:
        fail_usage(f"--entry {entry}: {error}")

    tls = current_tls()

    async def call() -> Result[BufferedResponse, StepError]:
        client = HttpClient(clock=TrioClock(), tls=tls)
        try:
            return await client.request(
                method=method,
                address=entry,
                path=path,
                headers=headers,
                body=body,
                timeout_s=timeout_s,
                step="cli.call",
            )
        finally:
            await client.aclose()

    return trio.run(call)


def call_entry_json(
    *, entry: str, method: str, path: str, message: Any = None
) -> Result[Any, StepError]:
    """Send and receive JSON; an error status becomes a StepError."""
    body = b"" if message is None else msgspec.json.encode(message)
    headers = {"content-type": "application/json"} if body else {}
    match call_entry(entry=entry, method=method, path=path, body=body, headers=headers):
        case Success(answer) if answer.status <= _LAST_GOOD_STATUS:
            return _parse(answer, entry)
        case Success(answer):
            return Failure(error_from_response(answer, step="cli.call", peer=entry))
        case failed:
            return failed


def _parse(answer: BufferedResponse, entry: str) -> Result[Any, StepError]:
    try:
        return Success(msgspec.json.decode(answer.body))
    except msgspec.DecodeError as error:
        return Failure(
            StepError(step="cli.parse", peer=entry, reason=Reason.INVALID, detail=str(error))
        )
