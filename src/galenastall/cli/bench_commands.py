"""Commands of `galenastall bench`: scenarios, slopes and the capacity page."""

from pathlib import Path
from typing import Annotated

import typer

from galenastall.bench import core_slopes, wire_slopes
from galenastall.bench.capacity_page import put_into, render
from galenastall.bench.slopes import SLOPES, measure_slope, save_slope

SLOPE_MODULES = (core_slopes, wire_slopes)
"""Imported so that the registry of slopes is full."""

DEFAULT_SLOPES_DIRECTORY = Path("docs/measurements/slopes")

bench_app = typer.Typer(no_args_is_help=True, help="Measure and stress galenastall on one machine.")

Directory = Annotated[Path, typer.Option(help="Directory that keeps the measured slopes.")]


@bench_app.command("slope")
def slope_command(
    names: Annotated[
        list[str] | None, typer.Argument(help="Slopes to measure; all if none is named.")
    ] = None,
    directory: Directory = DEFAULT_SLOPES_DIRECTORY,
) -> None:
    """Measure how costs grow with one size and keep the fits; takes seconds for each."""
    directory.mkdir(parents=True, exist_ok=True)
    for name in names or SLOPES.names():
        measured = measure_slope(name)
        save_slope(measured, directory)
        typer.echo(
            f"{name}: {measured.intercept:.4g} + {measured.slope:.4g} x {measured.x_name}"
            f" {measured.y_unit}; residual {measured.residual:.1%},"
            f" noise {measured.noise_spread:.0%}"
        )


@bench_app.command("capacity")
def capacity_command(
    directory: Directory = DEFAULT_SLOPES_DIRECTORY,
    write: Annotated[
        Path | None, typer.Option(help="Page whose tables to replace, for example CAPACITY.md.")
    ] = None,
) -> None:
    """Work out each role's cost at the size to design for, from the slopes kept."""
    tables = render(directory)
    if write is None:
        typer.echo(tables)
        return
    write.write_text(put_into(write.read_text(), tables))
