"""Cost of cancellations, decisions and a blocked queue, in function calls rather than time."""

import sys
from collections.abc import Callable
from functools import partial
from types import FrameType
from typing import Any

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.state.ids import TaskId
from galenastall.state.resources import Resources
from placement_builders import make_core, make_task, make_worker, run

LARGE = Resources(cores_milli=1_000_000, memory_mb=1_000_000)


def count_calls(action: Callable[[], object]) -> int:
    """Return the number of Python and C function calls that `action` makes."""
    calls = 0

    def on_event(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(on_event)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def queue_of(waiting: int) -> tuple[PlacementCore, list[TaskId]]:
    core = make_core()
    run(core, make_task("full/0", cores=4000))
    tasks = [make_task(f"j{i // 50}/{i}", team=f"t{i % 260}") for i in range(waiting)]
    core.enqueue(tasks, 0.0)
    core.decide(0.0, 10)
    return core, [task.task_id for task in tasks]


class TestCost:
    def test_a_cancellation_wave_costs_the_same_for_each_task(self) -> None:
        each = []
        for waiting in (1000, 8000):
            core, ids = queue_of(waiting)
            wave = ids[: waiting // 2]
            calls = count_calls(partial(core.cancel, wave, 1.0))
            each.append(calls / len(wave))
        assert each[1] <= each[0] * 1.2

    def test_a_decision_grows_far_slower_than_the_fleet(self) -> None:
        costs = []
        for workers in (50, 1600):
            hosts = [make_worker(f"w{i:04}", rack=f"r{i // 8}") for i in range(workers)]
            core = make_core(*hosts)
            for index in range(workers // 2):
                run(core, make_task(f"f{index}/0", cores=1 + index * 37 % 4000))
            core.enqueue([make_task(f"x{i}/0") for i in range(20)], 0.0)
            costs.append(count_calls(partial(core.decide, 0.0, 20)))
        assert costs[1] <= 2 * costs[0]

    def test_a_blocked_queue_costs_nothing_to_rescan(self) -> None:
        core, _ = queue_of(8000)
        for _ in range(100):
            core.decide(0.0, 10)
        assert count_calls(lambda: core.decide(1.0, 10)) < 60
