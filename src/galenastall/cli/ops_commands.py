"""Commands for operators: `timeline`, `explain` and `drain`."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated
from urllib.parse import quote

import typer
from returns.result import Failure

from galenastall.cli.entry_client import EntryOption, call_entry, call_entry_json
from galenastall.cli.log_files import LogsOption, show_explanation, show_lines, show_waits
from galenastall.cli.output import OutputFormat, OutputOption, fail, fail_usage, print_value
from galenastall.transport.http_client import error_from_response

_OK = 200

SubjectArgument = Annotated[
    str, typer.Argument(help="Id of a request, job, task, host, change or ownable.")
]


class TimelineFormat(StrEnum):
    """Output formats of a time line."""

    TEXT = "text"
    JSON = "json"
    SVG = "svg"
    PNG = "png"


def timeline(
    subject: SubjectArgument,
    entry: EntryOption = "",
    output: Annotated[
        TimelineFormat, typer.Option("--output", "-o", help="text, json, svg or png.")
    ] = TimelineFormat.TEXT,
    file: Annotated[
        Path | None, typer.Option(help="Output file; standard output by default.")
    ] = None,
    logs: LogsOption = None,
) -> None:
    """Show the events about an id from all processes, and which processes were unreachable.

    An id that is unknown or no longer kept has no events; this is not an error.

    Exit codes: 0 shown, 2 a file can't be read or written, 4 no entry host answered or it
    can't render the image.
    """
    if logs:
        show_lines(subject, logs)
        return
    _check_source(entry)
    errors_as = OutputFormat.JSON if output is TimelineFormat.JSON else OutputFormat.TEXT
    body = _fetch(entry, f"/v1/timeline/{quote(subject)}?format={output.value}", errors_as)
    if file is not None:
        _write(file, body)
    elif output is TimelineFormat.PNG:
        typer.echo(body, nl=False)
    else:
        typer.echo(body.decode().rstrip())


def explain(
    subject: Annotated[str, typer.Argument(help="Id to explain; not needed with --waiting.")] = "",
    entry: EntryOption = "",
    output: OutputOption = OutputFormat.TEXT,
    logs: LogsOption = None,
    *,
    waiting: Annotated[
        bool,
        typer.Option("--waiting", help="With --logs: show what all jobs waited for, by queue."),
    ] = False,
) -> None:
    """Explain why something waits, where it ran or why it was refused.

    Exit codes: 0 shown, 2 a file can't be read, 4 no entry host answered.
    """
    if waiting and not logs:
        fail_usage("--waiting: needs --logs")
    if logs and waiting:
        show_waits(logs)
        return
    if not subject:
        fail_usage("SUBJECT: missing; name an id, or --waiting with --logs")
    if logs:
        show_explanation(subject, logs)
        return
    _check_source(entry)
    body = _fetch(entry, f"/v1/explain/{quote(subject)}?format={output.value}", output)
    typer.echo(body.decode().rstrip())


def _check_source(entry: str) -> None:
    if not entry:
        fail_usage("--entry: missing; name an entry host, or log files by --logs")


def _write(file: Path, body: bytes) -> None:
    try:
        file.write_bytes(body)
    except OSError as error:
        fail_usage(f"--file {file}: {error.strerror}")


def drain(entry: EntryOption, output: OutputOption = OutputFormat.TEXT) -> None:
    """Make an entry host finish its work, hand over its ownership and stop; warns in a log outage.

    Returns at once; the process exits when it has drained or its drain timeout has passed.

    Exit codes: 0 the drain has begun, 4 no entry host answered, 5 no answer: it may have begun.
    """
    result = call_entry_json(entry=entry, method="POST", path="/v1/drain", message={})
    if isinstance(result, Failure):
        fail(result.failure(), output)
    print_value(result.unwrap(), output)


def _fetch(entry: str, path: str, errors_as: OutputFormat) -> bytes:
    answered = call_entry(entry=entry, method="GET", path=path)
    if isinstance(answered, Failure):
        fail(answered.failure(), errors_as)
    answer = answered.unwrap()
    if answer.status != _OK:
        fail(error_from_response(answer, step="cli.call", peer=entry), errors_as)
    return answer.body
