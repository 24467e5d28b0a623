"""Commands over log files: what became of a job, without any live host."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from galenastall.cli.output import fail_usage
from galenastall.coordination.cell.explain_logs import LogLine, parse_lines, tell

logs_app = typer.Typer(no_args_is_help=True, help="Read log files of entry hosts.")

LogsOption = Annotated[
    list[str], typer.Option("--logs", help="File or folder of log lines, or - for standard input.")
]
JobArgument = Annotated[str, typer.Argument(help="Id of a job.")]


@logs_app.command()
def explain(job: JobArgument, logs: LogsOption) -> None:
    """Say what became of a job: the cause first, then delays, then all lines.

    Exit codes: 0 shown, 2 a file can't be read.
    """
    story = tell(_read(logs), job)
    typer.echo(story.verdict)
    for delay in story.delays:
        typer.echo(f"  {delay}")
    _show(story.lines)


@logs_app.command()
def timeline(job: JobArgument, logs: LogsOption) -> None:
    """Show a job's lines, and what happened to leaders and the store meanwhile.

    Exit codes: 0 shown, 2 a file can't be read.
    """
    _show(tell(_read(logs), job).lines)


def _show(lines: tuple[LogLine, ...]) -> None:
    for line in lines:
        typer.echo(line.text(lines[0].at_s))


def _read(names: list[str]) -> list[LogLine]:
    return parse_lines(text for name in names for text in _texts(name))


def _texts(name: str) -> Iterator[str]:
    if name == "-":
        yield from sys.stdin
        return
    path = Path(name)
    files = sorted(path.rglob("*")) if path.is_dir() else [path]
    for file in files:
        if file.is_dir():
            continue
        try:
            yield from file.read_text(errors="replace").splitlines()
        except OSError as error:
            fail_usage(f"--logs {file}: {error.strerror}")
