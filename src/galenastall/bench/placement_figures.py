"""Figures of placement from the stand-in's own task runs: starts, waits, packing."""

from collections import defaultdict

from galenastall.bench.fleet import CallError, Fleet
from galenastall.bench.job_load import JobTally
from galenastall.bench.load import new_histogram
from galenastall.bench.mixes import JobArrival
from galenastall.bench.report import ScenarioResult
from galenastall.proof.history import History, TaskEnded, TaskStarted, WorkerKnown
from galenastall.state.ids import JobId, TaskId, split_task_id


async def count_appends(fleet: Fleet) -> int:
    """Return the appends that the log has taken so far; raises CallError without an answer."""
    counted = (await fleet.control.counters()).value_or(None)
    if counted is None:
        raise CallError("counters: the stand-in gave none")
    return counted.log.appends


def add_starts(result: ScenarioResult, history: History, *, began: float, until: float) -> None:
    """Add task starts a second: on average over the load, and in the best second."""
    by_second: dict[int, int] = defaultdict(int)
    for start in history.of(TaskStarted):
        if began <= start.at < until:
            by_second[int(start.at - began)] += 1
    total = sum(by_second.values())
    result.add("task starts", total, "starts")
    result.add("task starts a second", total / (until - began), "starts/s")
    result.add("task starts in the best second", max(by_second.values(), default=0), "starts")


def add_waits(
    result: ScenarioResult, history: History, arrivals: list[JobArrival], tally: JobTally
) -> None:
    """Add the time from submission to each task's first start, by class."""
    class_by_job = {each.spec.job_id: each.spec.urgency.name.lower() for each in arrivals}
    histograms = {name: new_histogram() for name in set(class_by_job.values())}
    seen: set[TaskId] = set()
    for start in history.of(TaskStarted):
        job_id: JobId = split_task_id(start.task_id)[0]
        due = tally.due_at_by_id.get(job_id)
        if start.task_id in seen or due is None:
            continue
        seen.add(start.task_id)
        wait_us = max(1, round((start.at - due) * 1e6))
        histograms[class_by_job[job_id]].record_value(wait_us)
    for name, histogram in sorted(histograms.items()):
        result.add_latencies(f"wait of {name}", histogram)


def add_packing(result: ScenarioResult, history: History, *, began: float, until: float) -> None:
    """Add reserved core time over what the workers had, during the load."""
    capacity = sum(worker.capacity.cores_milli for worker in history.of(WorkerKnown))
    ends = {(end.worker, end.task_id, end.attempt): end.at for end in history.of(TaskEnded)}
    used = 0.0
    for start in history.of(TaskStarted):
        end = ends.get((start.worker, start.task_id, start.attempt), until)
        inside_s = min(end, until) - max(start.at, began)
        used += max(0.0, inside_s) * start.reserved.cores_milli
    result.add("packing", used / (capacity * (until - began)), "of held cores")
