"""Scenarios: named experiments that start a fleet, load it, harm it and judge what happened."""

import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Final

import msgspec
import trio

from galenastall.bench.fleet import Fleet, FleetPlan
from galenastall.bench.load import LoadPlan, LoadSummary
from galenastall.bench.noise import measure_noise
from galenastall.bench.report import ScenarioResult
from galenastall.bench.truth import record_truth
from galenastall.proof.history import HistoryRecorder, RunClosed, read_lines, write_lines
from galenastall.proof.invariants import Bounds, check
from galenastall.state.registry import Registry

START_DELAY_S: Final = 2.0
"""Time that client processes get to start."""
CLIENT_MARGIN_S: Final = 60.0
"""Longest time that clients wait for late answers, beyond the load's duration."""
MAX_CLIENTS: Final = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class ExperimentSettings:
    """What a run of a scenario may vary."""

    seed: int
    directory: Path
    """Where settings files, logs and histories go."""
    source: Path | None = None
    """Checkout whose `src` the entry hosts run; this one's if None."""
    shared: dict[str, Any] = field(default_factory=dict)
    """Parts of the shared tree by path, for example another policy."""
    scale: float = 1.0
    """Share of the full duration; below 1 for trials."""

    def fleet_plan(self, **fields: Any) -> FleetPlan:
        """Return a fleet plan with this run's seed, source and settings."""
        shared = {**fields.pop("shared", {}), **self.shared}
        return FleetPlan(seed=self.seed, source=self.source, shared=shared, **fields)


ScenarioRun = Callable[[ExperimentSettings, ScenarioResult], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A named experiment."""

    shows: str
    """What it is to show."""
    run: ScenarioRun


SCENARIOS: Final[Registry[Scenario]] = Registry(kind="scenario")


def scenario(name: str, *, shows: str) -> Callable[[ScenarioRun], ScenarioRun]:
    """File the decorated function as a scenario."""

    def add(run: ScenarioRun) -> ScenarioRun:
        SCENARIOS.register(name)(Scenario(shows=shows, run=run))
        return run

    return add


async def run_scenario(name: str, settings: ExperimentSettings) -> ScenarioResult:
    """Run a scenario with machine noise measured before and after."""
    chosen = SCENARIOS.get(name)
    settings.directory.mkdir(parents=True, exist_ok=True)
    result = ScenarioResult(
        scenario=name,
        seed=settings.seed,
        command=f"galenastall bench run {name} --seed {settings.seed}",
        revision=revision_of(settings.source or Path(__file__).parent),
    )
    if settings.scale != 1.0:
        result.notes.append(f"a trial at {settings.scale:g} of the full duration")
    result.noise_before = measure_noise()
    await chosen.run(settings, result)
    result.noise_after = measure_noise()
    return result


def revision_of(directory: Path) -> str:
    """Return the checkout's commit, `+` if it has changes, empty if it is none."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty=+"],
        cwd=directory,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()


async def run_clients(
    fleet: Fleet,
    recorder: HistoryRecorder,
    directory: Path,
    plan: LoadPlan,
    *,
    clients: int = 1,
    during: Callable[[], Awaitable[None]] | None = None,
) -> LoadSummary:
    """Spread a load over client processes and return their merged summary.

    `during` runs from the load's start on, at the same time; this returns when both are over.
    """
    if not 1 <= clients <= MAX_CLIENTS:
        raise ValueError(f"clients: {clients}; allowed: 1 to {MAX_CLIENTS}")
    start = fleet.clock.wall() + START_DELAY_S
    outputs = []
    for number in range(clients):
        name = f"{plan.name}-{number}"
        share = replace(
            plan,
            name=name,
            rate=plan.rate / clients,
            seed=plan.seed * 1000 + number,
            start_wall=start,
        )
        outputs.append(await _start_client(fleet, directory, share))
    async with trio.open_nursery() as nursery:
        if during is not None:
            nursery.start_soon(_after, START_DELAY_S, during)
        limit_s = START_DELAY_S + plan.duration_s + CLIENT_MARGIN_S
        for output in outputs:
            await fleet.driver.wait_ended(name=output.name, timeout_s=limit_s)
    merged = LoadSummary()
    for output in outputs:
        merged.merge(await _read_client(output, recorder))
    return merged


async def close_and_judge(
    fleet: Fleet,
    recorder: HistoryRecorder,
    result: ScenarioResult,
    *,
    names: Iterable[str],
    bounds: Bounds | None = None,
    directory: Path,
) -> None:
    """Add the stand-in's truth, check the invariants and keep the history beside the result."""
    recorder.record(RunClosed(at=fleet.clock.wall()))
    await record_truth(fleet, recorder, result)
    history = recorder.history()
    result.take_verdict(check(history, bounds=bounds, names=names))
    path = trio.Path(directory) / "history.jsonl"
    await path.write_bytes(b"".join(write_lines(history.events)))
    result.notes.append(f"history kept in {path.name}: {len(history.events)} events")


def add_load_figures(result: ScenarioResult, name: str, summary: LoadSummary) -> None:
    """Add counts and latencies of a load."""
    result.add(f"{name} sent", summary.sent, "requests")
    for outcome, count in sorted(summary.counts_by_outcome.items()):
        result.add(f"{name} {outcome}", count, "requests")
    for trouble, count in sorted(summary.counts_by_trouble.items()):
        result.add(f"{name} client saw: {trouble}", count, "requests")
    result.add_latencies(f"{name} done", summary.histogram(contains="|done|"))
    result.add(f"{name} worst lag of the load client", summary.worst_lag_ms, "ms")


async def _start_client(fleet: Fleet, directory: Path, plan: LoadPlan) -> Path:
    plan_path = directory / f"{plan.name}.plan"
    await trio.Path(plan_path).write_bytes(msgspec.json.encode(plan))
    output = directory / plan.name
    command = (
        sys.executable,
        "-m",
        "galenastall.bench.client",
        str(plan_path),
        str(output),
    )
    await fleet.driver.start(name=plan.name, command=command)
    return output


async def _read_client(output: Path, recorder: HistoryRecorder) -> LoadSummary:
    text = await trio.Path(f"{output}.summary").read_bytes()
    found = msgspec.json.decode(text, type=_ClientOutput)
    recorder.note_dropped(found.dropped)
    lines = await trio.Path(f"{output}.history").read_bytes()
    recorder.extend(read_lines(lines.splitlines()))
    return found.summary


@dataclass(frozen=True, kw_only=True, slots=True)
class _ClientOutput:
    summary: LoadSummary
    dropped: int


async def _after(delay_s: float, work: Callable[[], Awaitable[None]]) -> None:
    await trio.sleep(delay_s)
    await work()
