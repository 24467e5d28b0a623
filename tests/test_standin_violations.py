"""Violations that the stand-in workers report agree with their run records, for any history."""

from collections.abc import Iterable
from itertools import combinations

import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import MockClock

from galenastall.standin.faults import WorkerFaults
from galenastall.standin.fleet import make_hosts
from galenastall.standin.memory_platform import MemoryPlatform
from galenastall.standin.run import RunRecord
from galenastall.standin.violations import ViolationKind
from galenastall.state.ids import Epoch
from galenastall.transport.clock import TrioClock
from standin_cases import SHAPE, make_batch, make_task

CAPACITY_TASKS = 64
"""Tasks of `make_task` that fit in a worker."""
BULK = 40

Step = tuple[str, int, int]

steps = st.lists(
    st.tuples(
        st.sampled_from(["start", "bulk", "stop", "renew", "checkpoint", "wait", "pause", "late"]),
        st.integers(0, SHAPE.workers - 1),
        st.integers(0, 3),
    ),
    max_size=25,
)


async def carry_out(model: MemoryPlatform, step: Step) -> None:
    kind, place, number = step
    workers = model.workers
    address = tuple(workers.by_address)[place]
    lease = model.clock.wall() + 4.0
    task = make_task(number, run_s=3.0)
    if kind == "start":
        await workers.start(address=address, batch=make_batch(task, lease_until=lease))
    elif kind == "bulk":
        tasks = (make_task(10 + BULK * number + index, run_s=2.0) for index in range(BULK))
        await workers.start(address=address, batch=make_batch(*tasks, lease_until=lease))
    elif kind == "stop":
        await workers.stop(address=address, tasks=[task.task_id], epoch=Epoch(1))
    elif kind == "renew":
        await workers.renew(address=address, tasks=[task.task_id], lease_until=lease)
    elif kind == "checkpoint":
        await workers.checkpoint(address=address, tasks=[task.task_id], epoch=Epoch(1))
    elif kind == "wait":
        await trio.sleep(number)
    else:
        faults = {"pause": WorkerFaults(paused=number > 0), "late": WorkerFaults(delay_s=number)}
        workers.set_faults(address, faults[kind])


async def run_history(history: list[Step]) -> MemoryPlatform:
    model = MemoryPlatform(clock=TrioClock(wall_at_start=1e6), seed=1, hosts=make_hosts(SHAPE))
    for step in history:
        await carry_out(model, step)
    for address in model.workers.by_address:
        model.workers.set_faults(address, WorkerFaults())
    await trio.sleep(100.0)
    model.workers.settle()
    return model


def overlap(one: RunRecord, other: RunRecord) -> bool:
    assert one.ended_at is not None
    assert other.ended_at is not None
    return max(one.started_at, other.started_at) < min(one.ended_at, other.ended_at)


def peak_running(records: Iterable[RunRecord]) -> int:
    changes = sorted(
        change
        for record in records
        if record.ended_at != record.started_at
        for change in ((record.started_at, 1), (record.ended_at or 0.0, -1))
    )
    running = peak = 0
    for _, change in changes:
        running += change
        peak = max(peak, running)
    return peak


class TestReports:
    @given(history=steps)
    def test_agree_with_the_records(self, history: list[Step]) -> None:
        model = trio.run(run_history, history, clock=MockClock(autojump_threshold=0))
        records = list(model.workers.ledger.records)
        seen = model.workers.violations.counts_by_kind
        doubles = [
            pair
            for pair in combinations(records, 2)
            if pair[0].task_id == pair[1].task_id and overlap(*pair)
        ]
        assert bool(doubles) == bool(seen[ViolationKind.DOUBLE_RUN])
        hosts = {record.host for record in records}
        peaks = [
            peak_running(record for record in records if record.host == host) for host in hosts
        ]
        is_over = any(peak > CAPACITY_TASKS for peak in peaks)
        assert is_over == bool(seen[ViolationKind.OVERCOMMIT])

    @given(history=steps)
    def test_nothing_outlives_its_lease_or_work(self, history: list[Step]) -> None:
        model = trio.run(run_history, history, clock=MockClock(autojump_threshold=0))
        assert model.workers.ledger.running() == 0
        for record in model.workers.ledger.records:
            assert record.ended_at is not None
            assert record.started_at <= record.ended_at <= record.started_at + 3.0 + 1e-6
