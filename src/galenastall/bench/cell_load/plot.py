"""Plots one simulation run: cores in use, usable idle cores and jobs not started."""

from pathlib import Path
from typing import Final

from galenastall.bench.cell_load.simulation import SimulationResult

WIDTH_IN: Final = 9.0
HEIGHT_IN: Final = 5.0


def write_plot(result: SimulationResult, path: Path) -> None:
    """Plot a simulation run to a .png or .svg file; needs the extra `plots`."""
    from matplotlib.figure import Figure  # noqa: PLC0415 - optional dependency

    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN))
    cores, waiting = figure.subplots(2, 1, sharex=True)
    at_s = [sample.at_s for sample in result.samples]
    cores.plot(at_s, [s.in_use / max(s.capacity, 1) for s in result.samples], label="in use")
    idle = [s.idle_usable / max(s.capacity, 1) for s in result.samples]
    cores.plot(at_s, idle, label="idle though usable")
    cores.set_ylabel("share of cores")
    cores.legend()
    waiting.plot(at_s, [sample.waiting_jobs for sample in result.samples])
    waiting.set_ylabel("jobs not started")
    waiting.set_xlabel("seconds")
    figure.savefig(path)
