"""Turn the stand-in's own records into history events: what ran where and when in truth."""

from collections.abc import AsyncIterator

from returns.result import Failure

from galenastall.bench.fleet import CallError, Fleet
from galenastall.bench.report import ScenarioResult
from galenastall.proof.history import (
    HistoryEvent,
    HistoryRecorder,
    RunBegan,
    TaskEnded,
    TaskStarted,
    WorkerKnown,
)
from galenastall.standin.executor_log import Execution
from galenastall.standin.run import RunRecord
from galenastall.state.hosts import HostKind


async def record_truth(fleet: Fleet, recorder: HistoryRecorder, result: ScenarioResult) -> None:
    """Record every execution and task run that the stand-in kept, and the workers' capacities.

    Records that it no longer keeps count as dropped. Promises that its workers saw broken become
    figures that should be 0.
    """
    for worker in await fleet.hosts_of(HostKind.WORKER):
        recorder.record(WorkerKnown(at=0.0, worker=worker.host_id, capacity=worker.capacity))
    executions = 0
    async for execution in _executions(fleet):
        executions += 1
        recorder.record(_run_began(execution))
    runs = 0
    async for run in _runs(fleet):
        runs += 1
        recorder.extend(_task_events(run))
    counters = await fleet.control.counters()
    if isinstance(counters, Failure):
        raise CallError(f"counters: {counters.failure()}")
    counted = counters.unwrap()
    for kind, count in sorted(counted.violations_by_kind.items()):
        result.add(f"stand-in workers saw: {kind}", count, "times", at_most=0)
    executed = sum(each.runs for each in counted.executors_by_host.values())
    recorder.note_dropped(max(0, executed - executions) + max(0, counted.runs - runs))


async def _executions(fleet: Fleet) -> AsyncIterator[Execution]:
    start = 0
    while True:
        page = await fleet.control.executions(start=start)
        if isinstance(page, Failure):
            raise CallError(f"executions: {page.failure()}")
        for record in page.unwrap().records:
            yield record
        if not page.unwrap().records:
            return
        start = page.unwrap().next


async def _runs(fleet: Fleet) -> AsyncIterator[RunRecord]:
    start = 0
    while True:
        page = await fleet.control.runs(start=start)
        if isinstance(page, Failure):
            raise CallError(f"runs: {page.failure()}")
        for record in page.unwrap().records:
            yield record
        if not page.unwrap().records:
            return
        start = page.unwrap().next


def _run_began(execution: Execution) -> RunBegan:
    return RunBegan(
        at=execution.started_at,
        executor=execution.host,
        request_id=execution.request_id,
        attempt=execution.attempt_id,
    )


def _task_events(run: RunRecord) -> list[HistoryEvent]:
    """Return start and end; real amounts are judged by the stand-in itself."""
    events: list[HistoryEvent] = [
        TaskStarted(
            at=run.started_at,
            worker=run.host,
            task_id=run.task_id,
            attempt=run.number,
            reserved=run.reserved,
            real=run.reserved,
        )
    ]
    if run.ended_at is not None:
        events.append(
            TaskEnded(
                at=run.ended_at,
                worker=run.host,
                task_id=run.task_id,
                attempt=run.number,
                cause=run.end,
            )
        )
    return events
