"""Plays many seeds of a workload at once and keeps the report."""

from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final

import msgspec

from galenastall.bench.cell_load.figures import Figures, summarize
from galenastall.bench.cell_load.play import Play, play
from galenastall.bench.cell_load.workload import Workload
from galenastall.coordination.cell.mechanisms import Mechanism

MOST_SEEDS: Final = 1_000
MOST_JOBS: Final = 4
"""Processes at once: half of a small machine's cores."""


def run_seeds(
    workload: Workload, *, seeds: int, jobs: int = 1, without: Iterable[Mechanism] = ()
) -> tuple[Figures, list[Play]]:
    """Play seeds 0 to `seeds` - 1 and return the report with the plays.

    Raises ValueError for a number of seeds or jobs that is not allowed.
    """
    if not 1 <= seeds <= MOST_SEEDS:
        raise ValueError(f"seeds: expected 1 to {MOST_SEEDS}, got {seeds}")
    if not 1 <= jobs <= MOST_JOBS:
        raise ValueError(f"jobs: expected 1 to {MOST_JOBS}, got {jobs}")
    off = sorted(without)
    one = partial(_play_seed, workload, off)
    if jobs == 1:
        plays = [one(seed) for seed in range(seeds)]
    else:
        with ProcessPoolExecutor(jobs) as pool:
            plays = list(pool.map(one, range(seeds)))
    names = [each.value for each in off]
    return summarize(plays, workload=workload, without=names), plays


def _play_seed(workload: Workload, without: list[Mechanism], seed: int) -> Play:
    return play(workload, seed=seed, without=without)


def save_figures(figures: Figures, path: Path) -> None:
    """Write a report as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))


def load_figures(path: Path) -> Figures:
    """Read a report; raises ValueError that names the file if it is none."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Figures)
    except (OSError, msgspec.MsgspecError) as error:
        raise ValueError(f"{path}: {error}") from error
