"""Commands for callers: `submit`, `cancel` and `status`."""

import base64
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer
from returns.result import Failure, Result, Success

from galenastall.cli.entry_client import EntryOption, call_entry, call_entry_json
from galenastall.cli.exit_codes import EXIT_CODE_HELP, ExitCode
from galenastall.cli.output import OutputFormat, OutputOption, fail, fail_usage, print_value
from galenastall.protocol.yaml_files import load_yaml
from galenastall.state.errors import StepError
from galenastall.state.outcomes import Outcome
from galenastall.transport.http_client import BufferedResponse, error_from_response


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestResult:
    """Outcome and response of a request."""

    request_id: str
    outcome: str
    reason: str
    status: int
    upstream: str
    retry_after_ms: int | None
    body: str
    body_encoding: str
    """`utf-8`, or `base64` if the body is not valid UTF-8."""


submit_app = typer.Typer(no_args_is_help=True, help=f"Submit a job or a request. {EXIT_CODE_HELP}")

_EXIT_BY_OUTCOME = {
    Outcome.DONE: ExitCode.OK,
    Outcome.NOT_RUN: ExitCode.REFUSED,
    Outcome.FAILED: ExitCode.FAILED,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}
_REASONS_OF_BAD_INPUT = frozenset({"invalid", "key_refused", "key_mismatch", "body_too_large"})


@submit_app.command("job")
def submit_job(
    file: Annotated[Path, typer.Argument(help="YAML or JSON description of the job.")],
    entry: EntryOption,
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Submit a job; it is reported as accepted only once it is durable.

    Set an id (job_id in the file) to make the command safe to repeat.

    Exit codes: 0 accepted, 2 the file is invalid, 3 refused or another job has the id, 4 no entry
    host answered or it can't accept now, 5 it may be accepted: repeat it with its id.
    """
    job = _read_mapping(file)
    _print_or_fail(
        call_entry_json(entry=entry, method="POST", path="/v1/jobs", message=job), output
    )


@submit_app.command("request")
def submit_request(  # noqa: PLR0917 (typer calls it by keyword)
    operation: Annotated[str, typer.Argument(help="Operation of the upstreams.")],
    entry: EntryOption,
    team: Annotated[str, typer.Option(help="Team that the request belongs to.")],
    file: Annotated[Path | None, typer.Option(help="Body of the request; empty if none.")] = None,
    urgency: Annotated[str, typer.Option("--class", help="urgent, normal or backfill.")] = "normal",
    deadline_ms: Annotated[int, typer.Option(help="Deadline in milliseconds from now.")] = 30_000,
    idempotent: Annotated[
        bool,
        typer.Option(help="The request may run more than once; otherwise it runs at most once."),
    ] = False,
    key: Annotated[str, typer.Option(help="Idempotency key; repeats get the first response.")] = "",
    request_id: Annotated[
        str, typer.Option(help="Id for `status request:ID` and `timeline`; generated if empty.")
    ] = "",
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Send one request; prints its response to standard output and its outcome to standard error.

    With --output json, prints both to standard output as one object.

    Exit codes: 0 done, 1 it ran and failed, 2 malformed, 3 not run, 4 no entry host answered, 5
    it is unknown whether it ran.
    """
    request_id = request_id or uuid.uuid4().hex
    headers = {
        "Galenastall-Team": team,
        "Galenastall-Class": urgency,
        "Galenastall-Deadline-Ms": str(deadline_ms),
        "Galenastall-Idempotent": "true" if idempotent else "false",
        "Galenastall-Request-Id": request_id,
    }
    if key:
        headers["Galenastall-Idempotency-Key"] = key
    answered = call_entry(
        entry=entry,
        method="POST",
        path=f"/v1/requests/{quote(operation)}",
        body=_read_bytes(file) if file else b"",
        headers=headers,
        timeout_s=deadline_ms / 1000 + 5,
    )
    if isinstance(answered, Failure):
        fail(answered.failure(), output)
    result = _parse_request_result(
        answered.unwrap(), request_id=request_id, entry=entry, output=output
    )
    if output is OutputFormat.JSON:
        print_value(result, output)
    else:
        typer.echo(f"{request_id}: {result.outcome} {result.reason}".rstrip(), err=True)
        typer.echo(answered.unwrap().body, nl=False)
    if result.reason in _REASONS_OF_BAD_INPUT:
        raise typer.Exit(ExitCode.USAGE)
    raise typer.Exit(_EXIT_BY_OUTCOME[Outcome(result.outcome)])


def cancel(
    job: Annotated[str, typer.Argument(help="Id of the job.")],
    entry: EntryOption,
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Cancel a job; prints which tasks never started, were stopped or had completed.

    Exit codes: 0 cancelled, 4 no entry host answered or it can't cancel now, 5 it may be cancelled:
    repeat the command, 6 no such job.
    """
    path = f"/v1/jobs/{quote(job)}/cancel"
    _print_or_fail(call_entry_json(entry=entry, method="POST", path=path, message={}), output)


def status(
    entry: EntryOption,
    item: Annotated[
        str, typer.Argument(help="Job id, or request:ID; the entry host itself if empty.")
    ] = "",
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show the state of a job, a request or the entry host.

    Exit codes: 0 shown, 4 no entry host answered or (without an item) it is not ready, 6 no such
    job or request. A request is known only to the entry host that accepted it.
    """
    if not item:
        _show_host(entry, output)
        return
    path = f"/v1/jobs/{quote(item)}"
    if item.startswith("request:"):
        path = f"/v1/requests/{quote(item.removeprefix('request:'))}"
    _print_or_fail(call_entry_json(entry=entry, method="GET", path=path), output)


def _show_host(entry: str, output: OutputFormat) -> None:
    shown = call_entry_json(entry=entry, method="GET", path="/v1/status")
    _print_or_fail(shown, output)
    if not shown.unwrap()["ready"]:
        raise typer.Exit(ExitCode.UNREACHABLE)


def _parse_request_result(
    answer: BufferedResponse, *, request_id: str, entry: str, output: OutputFormat
) -> RequestResult:
    outcome = answer.headers.get("galenastall-outcome", "")
    if outcome not in set(Outcome):
        fail(error_from_response(answer, step="cli.submit_request", peer=entry), output)
    retry_after_ms = answer.headers.get("galenastall-retry-after-ms", "")
    try:
        body, encoding = answer.body.decode(), "utf-8"
    except UnicodeDecodeError:
        body, encoding = base64.b64encode(answer.body).decode(), "base64"
    return RequestResult(
        request_id=request_id,
        outcome=outcome,
        reason=answer.headers.get("galenastall-reason", ""),
        status=answer.status,
        upstream=answer.headers.get("galenastall-upstream", ""),
        retry_after_ms=int(retry_after_ms) if retry_after_ms else None,
        body=body,
        body_encoding=encoding,
    )


def _print_or_fail(result: Result[Any, StepError], output: OutputFormat) -> None:
    match result:
        case Success(value):
            print_value(value, output)
        case Failure(error):
            fail(error, output)


def _read_bytes(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        fail_usage(f"--file {file}: {error.strerror}")


def _read_mapping(file: Path) -> dict[str, Any]:
    loaded = load_yaml(file)
    if isinstance(loaded, Failure):
        fail_usage(str(loaded.failure()))
    value = loaded.unwrap()
    if not isinstance(value, dict):
        fail_usage(f"{file}: expected a mapping of fields, found {type(value).__name__}")
    return value
