"""Commands for callers: `submit`, `cancel` and `status`."""

import uuid
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer
import yaml
from returns.result import Failure, Result, Success

from galenastall.cli.entry_client import EntryOption, call_entry, call_entry_json
from galenastall.cli.exit_codes import EXIT_CODE_HELP, ExitCode
from galenastall.cli.output import OutputFormat, OutputOption, fail, fail_usage, print_value
from galenastall.state.errors import StepError
from galenastall.state.outcomes import Outcome

submit_app = typer.Typer(no_args_is_help=True, help=f"Submit a job or a request. {EXIT_CODE_HELP}")

_EXIT_BY_OUTCOME = {
    Outcome.DONE: ExitCode.OK,
    Outcome.NOT_RUN: ExitCode.REFUSED,
    Outcome.FAILED: ExitCode.FAILED,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}


@submit_app.command("job")
def submit_job(
    file: Annotated[Path, typer.Argument(help="YAML or JSON description of the job.")],
    entry: EntryOption,
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Submit a job; "accepted" is said only once it is durable."""
    job = _read_mapping(file)
    _finish(call_entry_json(entry=entry, method="POST", path="/v1/jobs", message=job), output)


@submit_app.command("request")
def submit_request(  # noqa: PLR0917 (typer calls it by keyword)
    operation: Annotated[str, typer.Argument(help="Operation of the upstreams.")],
    entry: EntryOption,
    team: Annotated[str, typer.Option(help="Team that asks.")],
    file: Annotated[Path | None, typer.Option(help="Body of the request; empty if none.")] = None,
    urgency: Annotated[str, typer.Option("--class", help="urgent, normal or backfill.")] = "normal",
    deadline_ms: Annotated[int, typer.Option(help="Milliseconds until it is useless.")] = 30_000,
    idempotent: Annotated[
        bool, typer.Option(help="Whether it may run twice; without it, at most once.")
    ] = False,
    key: Annotated[str, typer.Option(help="Idempotency key; repeats get the first answer.")] = "",
) -> None:
    """Send one request and write its answer to standard output."""
    headers = {
        "Galenastall-Team": team,
        "Galenastall-Class": urgency,
        "Galenastall-Deadline-Ms": str(deadline_ms),
        "Galenastall-Idempotent": "true" if idempotent else "false",
        "Galenastall-Request-Id": uuid.uuid4().hex,
    }
    if key:
        headers["Galenastall-Idempotency-Key"] = key
    answered = call_entry(
        entry=entry,
        method="POST",
        path=f"/v1/requests/{quote(operation)}",
        body=file.read_bytes() if file else b"",
        headers=headers,
        timeout_s=deadline_ms / 1000 + 5,
    )
    if isinstance(answered, Failure):
        fail(answered.failure(), OutputFormat.TEXT)
    answer = answered.unwrap()
    outcome = answer.headers.get("galenastall-outcome", "")
    reason = answer.headers.get("galenastall-reason", "")
    typer.echo(f"{outcome or answer.status} {reason}".strip(), err=True)
    typer.echo(answer.body.decode(errors="replace"))
    if outcome not in set(Outcome):
        raise typer.Exit(ExitCode.USAGE)
    raise typer.Exit(_EXIT_BY_OUTCOME[Outcome(outcome)])


def cancel(
    job: Annotated[str, typer.Argument(help="Id of the job.")],
    entry: EntryOption,
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Cancel a job; the answer says which tasks never started, were stopped or were done."""
    path = f"/v1/jobs/{quote(job)}/cancel"
    _finish(call_entry_json(entry=entry, method="POST", path=path, message={}), output)


def status(
    entry: EntryOption,
    item: Annotated[
        str, typer.Argument(help="Job id, or request:ID; the entry host itself if empty.")
    ] = "",
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show the state of a job, a request or the entry host."""
    path = "/readyz"
    if item.startswith("request:"):
        path = f"/v1/requests/{quote(item.removeprefix('request:'))}"
    elif item:
        path = f"/v1/jobs/{quote(item)}"
    _finish(call_entry_json(entry=entry, method="GET", path=path), output)


def _finish(result: Result[Any, StepError], output: OutputFormat) -> None:
    match result:
        case Success(value):
            print_value(value, output)
        case Failure(error):
            fail(error, output)


def _read_mapping(file: Path) -> dict[str, Any]:
    try:
        value = yaml.safe_load(file.read_text())
    except (OSError, yaml.YAMLError) as error:
        fail_usage(f"{file}: {error}")
    if not isinstance(value, dict):
        fail_usage(f"{file}: expected a mapping of fields, found {type(value).__name__}")
    return value
