"""Commands that run a process: `node` and `standin`."""

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.result import Failure

from galenastall.cli.exit_codes import ExitCode
from galenastall.node.process import StartError, run_entry_host
from galenastall.protocol.process_settings import load_process_settings
from galenastall.standin.process import run_standin
from galenastall.standin.server import StandinAddresses
from galenastall.standin.settings import load_standin_settings
from galenastall.transport.logs import configure_logging, default_stream

SettingsOption = Annotated[Path, typer.Option("--settings", help="YAML settings of this process.")]


def node(settings: SettingsOption) -> None:
    """Run an entry host until SIGTERM or SIGINT, then drain it; a second signal aborts this.

    Once its ports are bound, writes one line of JSON with its listening addresses to standard
    output; writes its log as JSON to standard error.

    Exit codes: 0 drained without interrupting a request, 1 requests were interrupted or a second
    signal aborted the drain, 2 the settings are invalid.
    """
    loaded = load_process_settings(settings)
    if isinstance(loaded, Failure):
        typer.echo(str(loaded.failure()), err=True)
        raise typer.Exit(ExitCode.USAGE)
    try:
        cut_off = run_entry_host(settings=loaded.unwrap(), on_bound=print_event)
    except StartError as error:
        typer.echo(f"{settings}: {error}", err=True)
        raise typer.Exit(ExitCode.USAGE) from None
    raise typer.Exit(ExitCode.OK if cut_off == 0 else ExitCode.FAILED)


def standin(settings: SettingsOption) -> None:
    """Run a stand-in of the platform, its workers and its upstreams until SIGTERM or SIGINT.

    Once every service is reachable, writes one line of JSON to standard output with the addresses
    of the log and host list (`platform`), the control port (`control`) and all hosts; writes its
    log as JSON to standard error.

    Exit codes: 0 stopped by a signal, 2 the settings are invalid.
    """
    loaded = load_standin_settings(settings)
    if isinstance(loaded, Failure):
        typer.echo(str(loaded.failure()), err=True)
        raise typer.Exit(ExitCode.USAGE)
    configure_logging(stream=default_stream())
    run_standin(settings=loaded.unwrap(), on_ready=_print_ready)


def print_event(event: object) -> None:
    """Write one line of JSON to standard output for the parent process."""
    sys.stdout.write(msgspec.json.encode(event).decode() + "\n")
    sys.stdout.flush()


def _print_ready(addresses: StandinAddresses) -> None:
    print_event({"event": "standin.ready", **msgspec.to_builtins(addresses)})
