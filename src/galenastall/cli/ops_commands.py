"""Commands for operators: `timeline`, `explain` and `drain`."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated
from urllib.parse import quote

import typer
from returns.result import Failure

from galenastall.cli.entry_client import EntryOption, call_entry, call_entry_json
from galenastall.cli.output import OutputFormat, OutputOption, fail, print_value
from galenastall.transport.http_client import error_of_answer

_OK = 200

SubjectArgument = Annotated[
    str, typer.Argument(help="Id of a request, job, task, host, change or ownable.")
]


class TimelineFormat(StrEnum):
    """How a time line is written."""

    TEXT = "text"
    JSON = "json"
    SVG = "svg"
    PNG = "png"


def timeline(
    subject: SubjectArgument,
    entry: EntryOption,
    output: Annotated[
        TimelineFormat, typer.Option("--output", "-o", help="text, json, svg or png.")
    ] = TimelineFormat.TEXT,
    file: Annotated[Path | None, typer.Option(help="Write here; standard output if none.")] = None,
) -> None:
    """Show the events about an id over all processes, and which could not be reached."""
    body = _fetch(entry, f"/v1/timeline/{quote(subject)}?format={output.value}")
    if file is not None:
        file.write_bytes(body)
        return
    typer.echo(body if output is TimelineFormat.PNG else body.decode().rstrip())


def explain(
    subject: SubjectArgument, entry: EntryOption, output: OutputOption = OutputFormat.TEXT
) -> None:
    """Say why something waits, where it ran or why it was refused."""
    body = _fetch(entry, f"/v1/explain/{quote(subject)}?format={output.value}")
    typer.echo(body.decode().rstrip())


def drain(entry: EntryOption, output: OutputOption = OutputFormat.TEXT) -> None:
    """Ask an entry host to finish what it has, hand over and stop; warns in a log outage."""
    result = call_entry_json(entry=entry, method="POST", path="/v1/drain", message={})
    if isinstance(result, Failure):
        fail(result.failure(), output)
    print_value(result.unwrap(), output)


def _fetch(entry: str, path: str) -> bytes:
    answered = call_entry(entry=entry, method="GET", path=path)
    if isinstance(answered, Failure):
        fail(answered.failure(), OutputFormat.TEXT)
    answer = answered.unwrap()
    if answer.status != _OK:
        fail(error_of_answer(answer, step="cli.call", peer=entry), OutputFormat.TEXT)
    return answer.body
