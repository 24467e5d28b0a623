"""Search random fault schedules for two simultaneous owners, and for ownables without an owner.

`python -m galenastall.proof.ownership_search --runs N --seed S` runs the seeds S to S+N-1 and ends
with status 1 if it found any. `--weaken NAME` disables a safeguard first; the search should then
find violations.
"""

import time
from collections.abc import Iterator
from contextlib import nullcontext
from dataclasses import dataclass
from statistics import median
from typing import Annotated, Final

import typer

from galenastall.proof.ownership_faults import random_fault
from galenastall.proof.ownership_model import OwnershipModel, ViolationError
from galenastall.proof.ownership_mutations import MUTATIONS

SERVED_WITHIN_S: Final = 90.0
"""Time after healing within which every ownable must have an owner: over three list lags."""
FEWEST_HOSTS: Final = 2
HOST_COUNTS: Final = 4
FAULTS_PER_RUN: Final = (8, 40)
LONGEST_GAP_S: Final = 4.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """Result of one schedule."""

    seed: int
    checks: int
    """Number of times the invariant was checked."""
    violation: str | None = None
    served_after_s: float | None = None
    """Time from healing until every ownable had an owner; None if one never had."""

    @property
    def is_good(self) -> bool:
        """Whether the run had neither a violation nor an ownable without an owner."""
        return self.violation is None and self.served_after_s is not None


def run_schedule(seed: int) -> RunResult:
    """Run the schedule of one seed: inject faults, heal, and wait until all ownables are served."""
    model = OwnershipModel(seed=seed, hosts=FEWEST_HOSTS + seed % HOST_COUNTS)
    rng = model.random
    try:
        model.run_for(rng.uniform(1, 8))
        for _ in range(rng.randint(*FAULTS_PER_RUN)):
            random_fault(model)
            model.run_for(rng.uniform(0.1, LONGEST_GAP_S))
        model.heal()
        served_after_s = model.run_until(model.is_served, within=SERVED_WITHIN_S)
        model.run_for(LONGEST_GAP_S)
    except ViolationError as error:
        return RunResult(seed=seed, checks=model.checks, violation=str(error))
    return RunResult(seed=seed, checks=model.checks, served_after_s=served_after_s)


def search(*, runs: int, seed: int, weaken: str | None = None) -> Iterator[RunResult]:
    """Yield the result of each schedule."""
    with MUTATIONS.get(weaken)() if weaken else nullcontext():
        for number in range(seed, seed + runs):
            yield run_schedule(number)


def main(
    runs: Annotated[int, typer.Option(min=1, help="How many schedules to run.")] = 1000,
    seed: Annotated[int, typer.Option(help="Seed of the first schedule.")] = 0,
    weaken: Annotated[str | None, typer.Option(help="Safeguard to take out.")] = None,
) -> None:
    """Search random fault schedules for two owners at once and for ownables left without one."""
    started = time.process_time()
    results = []
    for result in search(runs=runs, seed=seed, weaken=weaken):
        results.append(result)
        if not result.is_good:
            typer.echo(f"seed {result.seed}: {result.violation or 'not served after healing'}")
    violations = sum(result.violation is not None for result in results)
    served = [r.served_after_s for r in results if r.served_after_s is not None]
    unserved = len(results) - violations - len(served)
    checks = sum(result.checks for result in results)
    typer.echo(f"{runs} runs, {checks} instants checked: {violations} with two owners at once,")
    typer.echo(f"{unserved} not served within {SERVED_WITHIN_S:g} s of healing")
    if served:
        typer.echo(f"served after healing: median {median(served):.1f} s, max {max(served):.1f} s")
    typer.echo(f"{time.process_time() - started:.0f} s of processor time")
    if violations or unserved:
        raise typer.Exit(code=1)


if __name__ == "__main__":
    typer.run(main)
