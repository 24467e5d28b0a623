"""Explain jobs from log files, without contacting a host."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Final

import typer

from galenastall.cli.output import fail_usage
from galenastall.coordination.cell.explain_logs import LogLine, explain_job, parse_lines
from galenastall.coordination.cell.explain_reasons import format_reasons, reasons_by_queue
from galenastall.coordination.cell.explain_waiting import format_waits, waits_of

LONGEST_WAITS: Final = 10
"""Jobs listed individually after the totals by queue."""

LogsOption = Annotated[
    list[str] | None,
    typer.Option(
        "--logs",
        help="Read log lines instead of asking a host: a file, a folder, or - for standard input.",
    ),
]


def show_explanation(job: str, logs: list[str]) -> None:
    """Print the outcome of a job with its cause, then its delays, then all its log lines."""
    summary = explain_job(_read(logs), job)
    typer.echo(summary.verdict)
    for delay in summary.delays:
        typer.echo(f"  {delay}")
    _show(summary.lines)


def show_waits(logs: list[str]) -> None:
    """Print by queue the reported wait reasons, what jobs waited for and the longest waits."""
    lines = _read(logs)
    reasons = format_reasons(reasons_by_queue(lines))
    for text in [*reasons, *format_waits(waits_of(lines), longest=LONGEST_WAITS)]:
        typer.echo(text)


def show_lines(job: str, logs: list[str]) -> None:
    """Print a job's log lines with the events of leaders and the store during its life."""
    _show(explain_job(_read(logs), job).lines)


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
