"""Measure how long garbage collection stops an entry host that holds many objects.

Run `python -m galenastall.bench.gc_pauses MODE`, one process a mode. A placement core with 20,000
running tasks, a job fold and a queue of 1,000 requests stand; then tasks end and others are placed,
and requests come and go.
"""

import argparse
import gc
import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from time import perf_counter_ns, process_time
from typing import Any, Final

import msgspec

from galenastall.bench.core_slopes import (
    RUNNING_PER_WORKER,
    WALL,
    accepted_records,
    fill_core,
    fold_texts,
    make_core,
    make_task,
)
from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import StartAnswer
from galenastall.coordination.requests.admission import Admission, AdmissionLimits, WaitingRequest
from galenastall.node.entry_host import EntryHost
from galenastall.node.memory_watch import resident_mb
from galenastall.node.process import GC_THRESHOLDS
from galenastall.state.ids import HostId, RequestId, TaskId, TeamPath
from galenastall.state.work import FinishedTask, Urgency

TASKS: Final = 20_000
JOBS: Final = 2_500
REQUESTS: Final = 1_000
STEPS: Final = 4_000
TASKS_PER_STEP: Final = 8
REQUESTS_PER_STEP: Final = 5
NS_PER_MS: Final = 1e6
URGENCIES: Final = tuple(Urgency)
LOADED: Final = (EntryHost,)
"""Imported so that the process holds what an entry host's does."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Mode:
    """How the collector is set."""

    is_frozen: bool = False
    thresholds: tuple[int, int, int] | None = None


MODES: Final = {
    "default": Mode(),
    "freeze": Mode(is_frozen=True),
    "thresholds": Mode(thresholds=GC_THRESHOLDS),
    "both": Mode(is_frozen=True, thresholds=GC_THRESHOLDS),
    "wide": Mode(is_frozen=True, thresholds=(20_000, 20, 100)),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Pauses:
    """What was measured; milliseconds, mebibytes and processor seconds."""

    mode: str
    collections_by_generation: dict[int, int]
    longest_ms_by_generation: dict[int, float]
    collector_s: float
    steps_s: float
    step_p50_ms: float
    step_p99_ms: float
    step_max_ms: float
    resident_mb: float
    unreachable_at_end: int
    """Objects in cycles that nothing had collected yet."""


@dataclass(slots=True)
class _Watch:
    """Counts the collector's pauses."""

    begun_at: int = 0
    pauses_ms_by_generation: dict[int, list[float]] = field(default_factory=dict)

    def __call__(self, phase: str, info: dict[str, Any]) -> None:
        if phase == "start":
            self.begun_at = perf_counter_ns()
            return
        pause_ms = (perf_counter_ns() - self.begun_at) / NS_PER_MS
        self.pauses_ms_by_generation.setdefault(info["generation"], []).append(pause_ms)


def measure(name: str, *, steps: int = STEPS) -> Pauses:
    """Return the pauses under one mode; changes the collector of this process."""
    mode = MODES[name]
    if mode.is_frozen:
        gc.freeze()
    if mode.thresholds is not None:
        gc.set_threshold(*mode.thresholds)
    core = make_core(TASKS // RUNNING_PER_WORKER)
    fill_core(core, TASKS)
    fold = fold_texts(accepted_records(JOBS))
    admission = Admission(limits=AdmissionLimits(waiting=REQUESTS, waiting_per_team=REQUESTS))
    for index in range(REQUESTS):
        _offer(admission, index)
    watch = _Watch()
    gc.callbacks.append(watch)
    began_s = process_time()
    steps_ms = sorted(_churn(core, admission, steps))
    steps_s = process_time() - began_s
    gc.callbacks.remove(watch)
    pauses = watch.pauses_ms_by_generation
    assert len(fold.live_by_id) == JOBS, "the fold must stand to the end"
    return Pauses(
        mode=name,
        collections_by_generation={g: len(each) for g, each in sorted(pauses.items())},
        longest_ms_by_generation={g: round(max(each), 2) for g, each in sorted(pauses.items())},
        collector_s=round(sum(map(sum, pauses.values())) / 1000, 3),
        steps_s=round(steps_s, 3),
        step_p50_ms=round(steps_ms[len(steps_ms) // 2], 3),
        step_p99_ms=round(steps_ms[len(steps_ms) * 99 // 100], 3),
        step_max_ms=round(steps_ms[-1], 2),
        resident_mb=round(resident_mb(), 1),
        unreachable_at_end=gc.collect(),
    )


def _churn(core: PlacementCore, admission: Admission, steps: int) -> Iterator[float]:
    rng = random.Random(1)
    running = _running(core)
    for step in range(steps):
        at = WALL + 1.0 + step * 0.01
        began = perf_counter_ns()
        for _ in range(TASKS_PER_STEP):
            task_id, worker = running.pop(rng.randrange(len(running)))
            end = FinishedTask(task_id=task_id, attempt=0, ok=True)
            core.on_finished(worker, (end,), at)
        first = TASKS + step * TASKS_PER_STEP
        core.enqueue([make_task(first + index, rng) for index in range(TASKS_PER_STEP)], at)
        for commands in core.decide(at, 64).by_worker:
            for start in commands.starts:
                task_id = start.task.task_id
                core.on_start_answer(task_id, start.worker_id, StartAnswer.STARTED, at)
                running.append((task_id, start.worker_id))
        for index in range(REQUESTS_PER_STEP):
            admission.take(now=float(step))
            _offer(admission, REQUESTS + step * REQUESTS_PER_STEP + index)
        yield (perf_counter_ns() - began) / NS_PER_MS


def _running(core: PlacementCore) -> list[tuple[TaskId, HostId]]:
    workers = (HostId(f"worker-{index:05d}") for index in range(TASKS // RUNNING_PER_WORKER))
    return [
        (placed.task.task_id, worker) for worker in workers for placed in core.on_worker(worker)
    ]


def _offer(admission: Admission, index: int) -> None:
    request = WaitingRequest(
        request_id=RequestId(f"r-{index}"),
        team=TeamPath(f"team-{index % 260}"),
        urgency=URGENCIES[index % len(URGENCIES)],
        deadline=1e9,
    )
    admission.offer(request=request, now=0.0)


def main(arguments: list[str]) -> int:
    """Measure the mode that is named and print one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mode", choices=sorted(MODES))
    found = measure(parser.parse_args(arguments).mode)
    sys.stdout.write(msgspec.json.encode(found).decode() + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
