"""Measure what a placement decision costs at several fleet sizes.

Run `python -m galenastall.bench.placement_cost`. Each fleet is filled with 20,000 running tasks of
260 teams; then tasks end and others take their place. Two states are measured: `open`, where every
task finds room, and `full`, where 20,000 tasks wait for the room that ends give back.

What stands after warming up is frozen out of garbage collection; the figures still hold the
collections of what comes later.
"""

import argparse
import gc
import sys
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from math import log
from pathlib import Path
from random import Random
from time import perf_counter_ns, process_time_ns
from typing import Final

import msgspec

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import Decision, StartAnswer, TeamShare
from galenastall.coordination.placement.placement_settings import (
    PlacementSettings,
    default_policies,
)
from galenastall.state.hosts import HostKind, ListedHost
from galenastall.state.ids import DataCentre, Epoch, HostId, JobId, TaskId, TeamPath
from galenastall.state.resources import Resources
from galenastall.state.work import FinishedTask, TaskSpec, Urgency, Workload

TEAMS: Final = 260
RUNNING: Final = 20_000
WAITING: Final = 20_000
"""Tasks kept waiting in the `full` state."""
FILL: Final = 0.85
"""Share of the fleet that the running tasks take in the `open` state."""
MEAN_CORES_MILLI: Final = 1875
MEAN_MEMORY_MB: Final = 3750
SIZES_MILLI: Final = (500, 1000, 2000, 4000)
TASKS_PER_JOB: Final = 20
BATCH_LIMIT: Final = 64
URGENT_SHARE: Final = 0.05
STARTS_PER_S: Final = 770
"""Virtual pace of starts."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CostRow:
    """One fleet size in one state."""

    state: str
    workers: int
    running: int
    waiting: int
    decisions: int
    decide_p50_us: float
    decide_p99_us: float
    decide_max_us: float
    placements_per_s: float
    """Whole cycle: end, enqueue, decide, answer; by CPU time of this process."""
    batched_per_s: float
    """The same with up to 64 placements a decision."""


class _Load:
    """Draws tasks as the benchmark needs them."""

    def __init__(self, *, rng: Random) -> None:
        self.rng = rng
        self._made = 0

    def tasks(self, count: int) -> list[TaskSpec]:
        return list(self._draw(count))

    def _draw(self, count: int) -> Iterator[TaskSpec]:
        rng = self.rng
        for _ in range(count):
            job, index = divmod(self._made, TASKS_PER_JOB)
            self._made += 1
            cores = rng.choice(SIZES_MILLI)
            is_service = job % 5 == 0
            urgency = Urgency.NORMAL if job % 3 else Urgency.BACKFILL
            yield TaskSpec(
                task_id=TaskId(f"job{job}/{index}"),
                job_id=JobId(f"job{job}"),
                team=TeamPath(f"team{rng.randrange(TEAMS)}"),
                workload=Workload.SERVICE if is_service else Workload.BATCH,
                urgency=Urgency.URGENT if rng.random() < URGENT_SHARE else urgency,
                resources=Resources(
                    cores_milli=cores, memory_mb=round(cores * rng.choice((1, 2, 3)))
                ),
                run_s=60.0,
                checkpointable=True,
                kind=f"kind{job % 7}",
            )


class _Bench:
    """One core with a filled fleet."""

    def __init__(self, *, workers: int, policy: str, seed: int, fill: float) -> None:
        self.rng = Random(seed)
        self.load = _Load(rng=self.rng)
        policies = dict.fromkeys(default_policies(), policy)
        teams = {TeamPath(f"team{i}"): TeamShare(weight=1.0 + i % 3) for i in range(TEAMS)}
        settings = PlacementSettings(policies_by_class=policies, teams_by_path=teams)
        self.core = PlacementCore(settings=settings, seed=seed)
        self.now = 0.0
        self.placed: list[tuple[TaskSpec, HostId]] = []
        each = RUNNING / fill / workers
        capacity = Resources(
            cores_milli=round(each * MEAN_CORES_MILLI), memory_mb=round(each * MEAN_MEMORY_MB)
        )
        for index in range(workers):
            host = ListedHost(
                host_id=HostId(f"w{index:04}"),
                kind=HostKind.WORKER,
                data_centre=DataCentre("mapo"),
                rack=f"rack{index // 8}",
                capacity=capacity,
            )
            self.core.add_worker(host, Epoch(1), (), 0.0)

    def fill(self, count: int) -> None:
        """Let `count` tasks run, or as many as fit."""
        while len(self.placed) < count:
            before = len(self.placed)
            self.core.enqueue(self.load.tasks(min(500, count - before)), self.now)
            while self.take(self.core.decide(self.now, 500)):
                pass
            if len(self.placed) == before:
                return

    def take(self, decision: Decision) -> int:
        """Answer all starts; return how many there were."""
        count = 0
        for batch in decision.by_worker:
            for start in batch.starts:
                task_id = start.task.task_id
                self.core.on_start_answer(task_id, batch.worker_id, StartAnswer.STARTED, self.now)
                self.placed.append((start.task, batch.worker_id))
                count += 1
        return count

    def draw_ends(self, count: int) -> list[tuple[HostId, FinishedTask]]:
        """Return the ends of `count` running tasks drawn at random."""
        ends = []
        for _ in range(min(count, len(self.placed))):
            position = self.rng.randrange(len(self.placed))
            self.placed[position], self.placed[-1] = self.placed[-1], self.placed[position]
            task, worker_id = self.placed.pop()
            end = FinishedTask(
                task_id=task.task_id,
                attempt=task.attempt,
                ok=True,
                peak=task.resources,
                run_s=self.rng.uniform(20.0, 90.0),
            )
            ends.append((worker_id, end))
        return ends


def measure(*, workers: int, state: str, policy: str, seed: int, decisions: int) -> CostRow:
    """Measure one fleet size in one state, with one task a decision and then with batches."""
    bench = _Bench(workers=workers, policy=policy, seed=seed, fill=FILL)
    bench.fill(RUNNING)
    if state == "full":
        bench.fill(2 * RUNNING)
        bench.core.enqueue(bench.load.tasks(WAITING), bench.now)
    for _ in range(decisions // 10):
        _turn(bench, 1)
    gc.collect()
    gc.freeze()
    singles = [_turn(bench, 1) for _ in range(decisions)]
    batches = [_turn(bench, BATCH_LIMIT) for _ in range(decisions // BATCH_LIMIT)]
    gc.unfreeze()
    spent = sorted(turn.decide_ns for turn in singles)
    return CostRow(
        state=state,
        workers=workers,
        running=len(bench.placed),
        waiting=sum(bench.core.summary().waiting_by_class.values()),
        decisions=decisions,
        decide_p50_us=_quantile(spent, 0.5) / 1e3,
        decide_p99_us=_quantile(spent, 0.99) / 1e3,
        decide_max_us=spent[-1] / 1e3,
        placements_per_s=_rate(singles),
        batched_per_s=_rate(batches),
    )


def slope(rows: Sequence[CostRow]) -> float:
    """Return the exponent with which the median decision grows in workers (1 is linear)."""
    first, last = rows[0], rows[-1]
    return log(last.decide_p50_us / first.decide_p50_us) / log(last.workers / first.workers)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Turn:
    """One round of ends, arrivals, decision and answers."""

    decide_ns: int
    cpu_ns: int
    """CPU time of all calls of the core; what draws the load is left out."""
    placed: int


def _turn(bench: _Bench, size: int) -> _Turn:
    bench.now += size / STARTS_PER_S
    ends = bench.draw_ends(size)
    tasks = bench.load.tasks(size)
    cpu_began = process_time_ns()
    for worker_id, end in ends:
        bench.core.on_finished(worker_id, [end], bench.now)
    bench.core.enqueue(tasks, bench.now)
    began = perf_counter_ns()
    decision = bench.core.decide(bench.now, size)
    decide_ns = perf_counter_ns() - began
    placed = bench.take(decision)
    cpu_ns = process_time_ns() - cpu_began
    return _Turn(decide_ns=decide_ns, cpu_ns=cpu_ns, placed=placed)


def _rate(turns: Sequence[_Turn]) -> float:
    return sum(turn.placed for turn in turns) / (sum(turn.cpu_ns for turn in turns) / 1e9)


def _quantile(values: Sequence[int], share: float) -> float:
    return values[min(int(share * len(values)), len(values) - 1)]


def _table(rows: Sequence[CostRow]) -> str:
    lines = ["state  workers  running  waiting   p50 us   p99 us   max us  place/s  batched/s"]
    lines.extend(
        f"{row.state:5}  {row.workers:7}  {row.running:7}  {row.waiting:7}"
        f"  {row.decide_p50_us:7.1f}  {row.decide_p99_us:7.1f}  {row.decide_max_us:7.0f}"
        f"  {row.placements_per_s:7.0f}  {row.batched_per_s:9.0f}"
        for row in rows
    )
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> None:
    """Measure all sizes and print a table; with `--json` also write the rows to a file."""
    parser = argparse.ArgumentParser(prog="placement_cost", description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[24, 255, 2800])
    parser.add_argument("--states", nargs="+", default=["open", "full"], choices=["open", "full"])
    parser.add_argument("--policy", default="leftover")
    parser.add_argument("--decisions", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    rows: list[CostRow] = []
    for state in options.states:
        of_state = [
            measure(
                workers=workers,
                state=state,
                policy=options.policy,
                seed=options.seed,
                decisions=options.decisions,
            )
            for workers in options.workers
        ]
        rows.extend(of_state)
    sys.stdout.write(_table(rows) + "\n")
    for state in options.states:
        of_state = [row for row in rows if row.state == state]
        if len(of_state) > 1:
            sys.stdout.write(f"{state}: median grows as workers^{slope(of_state):.2f}\n")
    if options.json is not None:
        options.json.write_bytes(msgspec.json.encode([asdict(row) for row in rows]))


if __name__ == "__main__":
    main()
