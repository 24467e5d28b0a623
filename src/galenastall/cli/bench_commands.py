"""Commands of `galenastall bench`: scenarios, comparisons, cost slopes and the capacity page."""

from enum import StrEnum
from functools import partial
from pathlib import Path
from tempfile import mkdtemp
from typing import Annotated, Any

import trio
import typer
import yaml

from galenastall.bench import core_slopes, peer_slopes, process_slopes, scenarios, wire_slopes
from galenastall.bench.capacity_page import put_into, render
from galenastall.bench.cell_load.figures import differences
from galenastall.bench.cell_load.figures import to_table as cell_load_table
from galenastall.bench.cell_load.plot import write_plot as write_cell_plot
from galenastall.bench.cell_load.run import load_figures, run_seeds, save_figures
from galenastall.bench.cell_load.workload import load_workload
from galenastall.bench.compare import compare
from galenastall.bench.compare import to_table as comparison_table
from galenastall.bench.experiment import SCENARIOS, ExperimentSettings, run_scenario
from galenastall.bench.report import ScenarioResult, to_json, to_table, write_plot
from galenastall.bench.slopes import SLOPES, measure_slope, save_slope
from galenastall.coordination.cell.mechanisms import Mechanism

SLOPE_MODULES = (core_slopes, peer_slopes, process_slopes, wire_slopes)
"""Imported for their registrations in SLOPES."""
SCENARIO_MODULES = scenarios.MODULES
"""Imported for their registrations in SCENARIOS."""

DEFAULT_SLOPES_DIRECTORY = Path("docs/measurements/slopes")

bench_app = typer.Typer(no_args_is_help=True, help="Measure and stress galenastall on one machine.")

Directory = Annotated[Path, typer.Option(help="Directory with the measured slopes.")]


@bench_app.command("slope")
def slope_command(
    names: Annotated[
        list[str] | None, typer.Argument(help="Slopes to measure; all if none is named.")
    ] = None,
    directory: Directory = DEFAULT_SLOPES_DIRECTORY,
) -> None:
    """Measure how costs grow with one size and save the fits; takes seconds for each."""
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
    """Compute each role's cost at the design size from the saved slopes."""
    tables = render(directory)
    if write is None:
        typer.echo(tables)
        return
    write.write_text(put_into(write.read_text(), tables))


class Output(StrEnum):
    """Output formats of a result."""

    TABLE = "table"
    JSON = "json"


Name = Annotated[str, typer.Argument(help="A scenario; `galenastall bench list` names them.")]
Seed = Annotated[int, typer.Option(help="Seed of all arrivals and faults.")]
Scale = Annotated[
    float,
    typer.Option(min=0.05, max=4.0, help="Fraction of the full duration; below 1 for trials."),
]
Keep = Annotated[
    Path | None, typer.Option(help="Directory for logs, settings files and the history.")
]


@bench_app.command("list")
def list_command() -> None:
    """List the scenarios and what each demonstrates."""
    for name, each in SCENARIOS:
        typer.echo(f"{name}: {each.shows}")


@bench_app.command("run")
def run_command(
    name: Name,
    *,
    seed: Seed = 1,
    output: Annotated[Output, typer.Option(help="Output format.")] = Output.TABLE,
    scale: Scale = 1.0,
    keep: Keep = None,
    plot: Annotated[
        Path | None, typer.Option(help="File for a plot of latencies, .svg or .png.")
    ] = None,
) -> None:
    """Run a scenario on real processes over loopback.

    Exits with 0 if all objectives are met and no invariant is violated, with 1 otherwise.
    """
    directory = keep or Path(mkdtemp(prefix="galenastall-bench-"))
    settings = ExperimentSettings(seed=seed, directory=directory, scale=scale)
    result = trio.run(run_scenario, name, settings)
    typer.echo(to_json(result) if output is Output.JSON else to_table(result))
    if plot is not None:
        write_plot(result, plot)
    raise typer.Exit(0 if result.holds else 1)


@bench_app.command("cell-load")
def cell_load_command(
    workload: Annotated[Path, typer.Argument(help="A workload file, as in examples/cell-load.")],
    *,
    seeds: Annotated[int, typer.Option(help="Number of seeds to simulate, from 0 on.")] = 10,
    jobs: Annotated[int, typer.Option(help="Seeds simulated in parallel, 1 to 4.")] = 1,
    without: Annotated[
        list[Mechanism] | None, typer.Option(help="A mechanism to switch off; may be repeated.")
    ] = None,
    report: Annotated[Path | None, typer.Option(help="File for the report, in JSON.")] = None,
    compare_with: Annotated[
        Path | None, typer.Option("--compare", help="An earlier report to compare with.")
    ] = None,
    plot: Annotated[
        Path | None, typer.Option(help="File for a plot of the first seed, .svg or .png.")
    ] = None,
) -> None:
    """Simulate a load on the leader of a cell in virtual time, with emulated executors.

    Exits with 1 if an invariant was violated, with 2 on bad input.
    """
    try:
        figures, plays = run_seeds(
            load_workload(workload), seeds=seeds, jobs=jobs, without=without or ()
        )
        earlier = None if compare_with is None else load_figures(compare_with)
    except ValueError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
    typer.echo(cell_load_table(figures))
    for difference in () if earlier is None else differences(earlier, figures):
        typer.echo(f"compared with the earlier report, {difference}")
    if report is not None:
        save_figures(figures, report)
    if plot is not None:
        write_cell_plot(plays[0], plot)
    raise typer.Exit(1 if figures.violations else 0)


@bench_app.command("compare")
def compare_command(
    name: Name,
    *,
    a: Annotated[str, typer.Option(help="A checkout's directory, or PATH=YAML in the tree.")],
    b: Annotated[str, typer.Option(help="What to compare it with, in the same form.")],
    rounds: Annotated[int, typer.Option(help="Pairs of runs, 1 to 20.")] = 3,
    seed: Seed = 1,
    scale: Scale = 1.0,
    keep: Keep = None,
) -> None:
    """Compare two checkouts or two settings, interleaved, and print ratios with their spread."""
    directory = keep or Path(mkdtemp(prefix="galenastall-bench-"))
    variant = partial(_run_variant, name=name, seed=seed, scale=scale)
    run_a = partial(variant, variant=a, directory=directory / "a")
    run_b = partial(variant, variant=b, directory=directory / "b")

    async def run() -> None:
        found = await compare(name_a=a, name_b=b, run_a=run_a, run_b=run_b, rounds=rounds)
        typer.echo(comparison_table(found))

    trio.run(run)


async def _run_variant(
    number: int, *, name: str, variant: str, directory: Path, seed: int, scale: float
) -> ScenarioResult:
    path, is_setting, text = variant.partition("=")
    shared: dict[str, Any] = {path: yaml.safe_load(text)} if is_setting else {}
    settings = ExperimentSettings(
        seed=seed + number,
        directory=directory / str(number),
        source=None if is_setting else Path(variant),
        shared=shared,
        scale=scale,
    )
    return await run_scenario(name, settings)
