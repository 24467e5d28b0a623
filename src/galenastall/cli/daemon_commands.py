"""Commands that run a process: `node` and `standin`."""

from pathlib import Path
from typing import Annotated

import structlog
import typer
from returns.result import Failure

from galenastall.cli.exit_codes import ExitCode
from galenastall.node.process import run_entry_host
from galenastall.protocol.process_settings import load_process_settings
from galenastall.standin.process import run_standin
from galenastall.standin.settings import load_standin_settings

SettingsOption = Annotated[Path, typer.Option("--settings", help="YAML settings of this process.")]


def node(settings: SettingsOption) -> None:
    """Run an entry host until SIGTERM, then drain and leave.

    Exits with 0 after a drain that cut nothing off, 1 if requests were still open at its end, and
    2 if the settings are unusable.
    """
    loaded = load_process_settings(settings)
    if isinstance(loaded, Failure):
        typer.echo(str(loaded.failure()), err=True)
        raise typer.Exit(ExitCode.USAGE)
    cut_off = run_entry_host(settings=loaded.unwrap())
    raise typer.Exit(ExitCode.OK if cut_off == 0 else ExitCode.FAILED)


def standin(settings: SettingsOption) -> None:
    """Run a stand-in of the platform, its workers and its upstreams until SIGTERM."""
    loaded = load_standin_settings(settings)
    if isinstance(loaded, Failure):
        typer.echo(str(loaded.failure()), err=True)
        raise typer.Exit(ExitCode.USAGE)
    log = structlog.get_logger("galenastall.standin")
    run_standin(
        settings=loaded.unwrap(),
        on_ready=lambda addresses: log.info("standin.ready", addresses=addresses),
    )
