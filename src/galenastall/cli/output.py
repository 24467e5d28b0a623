"""Printing of results, as text for people or JSON for programs."""

from enum import StrEnum
from typing import Annotated, Any, NoReturn

import msgspec
import typer

from galenastall.cli.exit_codes import ExitCode, exit_code_of
from galenastall.state.errors import StepError


class OutputFormat(StrEnum):
    """Output formats of a command."""

    TEXT = "text"
    JSON = "json"


OutputOption = Annotated[OutputFormat, typer.Option("--output", "-o", help="text or json.")]


def print_value(value: Any, output: OutputFormat) -> None:
    """Print data as JSON, or as text with a line for each field."""
    if output is OutputFormat.JSON:
        typer.echo(msgspec.json.encode(value).decode())
        return
    for line in _lines(msgspec.to_builtins(value), indent=""):
        typer.echo(line)


def fail(error: StepError, output: OutputFormat) -> NoReturn:
    """Print an error on standard error and exit with its code."""
    text = msgspec.json.encode(error).decode() if output is OutputFormat.JSON else str(error)
    typer.echo(text, err=True)
    raise typer.Exit(exit_code_of(error.reason))


def fail_usage(detail: str) -> NoReturn:
    """Print what is wrong with the input and exit."""
    typer.echo(detail, err=True)
    raise typer.Exit(ExitCode.USAGE)


def _lines(value: Any, *, indent: str) -> list[str]:
    if isinstance(value, dict):
        return [
            line
            for name, item in value.items()
            for line in _labelled_lines(name, item, indent=indent)
        ]
    if isinstance(value, list):
        return [line for item in value for line in _labelled_lines("-", item, indent=indent)]
    return [f"{indent}{value}"]


def _labelled_lines(name: str, item: Any, *, indent: str) -> list[str]:
    label = name if name == "-" else f"{name}:"
    if isinstance(item, dict | list):
        return [f"{indent}{label}", *_lines(item, indent=indent + "  ")]
    return [f"{indent}{label} {item}"]
