"""Simulates many seeds of a workload in parallel; saves and loads reports."""

from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final

import msgspec

from galenastall.bench.cell_load.figures import Figures, summarize
from galenastall.bench.cell_load.simulation import SimulationResult, simulate
from galenastall.bench.cell_load.workload import Workload
from galenastall.coordination.cell.mechanisms import Mechanism

MAX_SEEDS: Final = 1_000
MAX_JOBS: Final = 4
"""Most parallel processes: half the cores of a small machine."""


def run_seeds(
    workload: Workload, *, seeds: int, jobs: int = 1, without: Iterable[Mechanism] = ()
) -> tuple[Figures, list[SimulationResult]]:
    """Simulate seeds 0 to `seeds` - 1 and return the report and the result of each seed.

    Raises ValueError if `seeds` or `jobs` is out of range.
    """
    if not 1 <= seeds <= MAX_SEEDS:
        raise ValueError(f"seeds: expected 1 to {MAX_SEEDS}, got {seeds}")
    if not 1 <= jobs <= MAX_JOBS:
        raise ValueError(f"jobs: expected 1 to {MAX_JOBS}, got {jobs}")
    disabled = sorted(without)
    one = partial(_simulate_seed, workload, disabled)
    if jobs == 1:
        results = [one(seed) for seed in range(seeds)]
    else:
        with ProcessPoolExecutor(jobs) as pool:
            results = list(pool.map(one, range(seeds)))
    names = [each.value for each in disabled]
    return summarize(results, workload=workload, without=names), results


def _simulate_seed(workload: Workload, without: list[Mechanism], seed: int) -> SimulationResult:
    return simulate(workload, seed=seed, without=without)


def save_figures(figures: Figures, path: Path) -> None:
    """Write a report as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))


def load_figures(path: Path) -> Figures:
    """Read a report; raises ValueError naming the file if it is missing or invalid."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Figures)
    except (OSError, msgspec.MsgspecError) as error:
        raise ValueError(f"{path}: {error}") from error
