"""Costs of the pure core of job shards: `python -m galenastall.bench.job_costs`.

One process, one core, no I/O: a shard's owner that gives out tasks to some worker owners, hears
that they started and ended, and logs the ends; cancellations by job size; bytes of records and of
messages. Prints JSON.
"""

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from galenastall.coordination.jobs.job_shard import JobShard
from galenastall.coordination.jobs.shard_commands import AssignBatch
from galenastall.coordination.placement.placement_commands import CapacitySummary, LargestAmount
from galenastall.coordination.placement.task_reports import ReportKind, TaskReport
from galenastall.protocol.amount_rows import pack_amount, pack_summary
from galenastall.protocol.codec import encode_message, encode_record
from galenastall.protocol.job_messages import JobHeartbeat, ShardEpoch, TaskAssign, TaskEvents
from galenastall.protocol.task_rows import pack_reports, pack_tasks
from galenastall.state.ids import Epoch, HostId, JobId, Offset, RecordId, TeamPath
from galenastall.state.job_fold import JobState
from galenastall.state.job_records import (
    EndedRanges,
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobVerdict,
    TasksEnded,
    ranges_of,
)
from galenastall.state.resources import Resources
from galenastall.state.work import JobSpec, TaskPhase, Workload

WALL = 1_750_000_000.0
NEED = Resources(cores_milli=500, memory_mb=1024)
WINDOW_TASKS = 64
REPEATS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskCost:
    """CPU of one task from waiting to ended, at a shard with so many live jobs."""

    hosts: int
    jobs: int
    tasks: int
    us_per_task: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelCost:
    """CPU of one cancellation by the size of the job."""

    tasks: int
    us_per_cancel: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCosts:
    """All that was measured; times are the best of several runs."""

    python: str
    task_costs: tuple[TaskCost, ...]
    cancel_costs: tuple[CancelCost, ...]
    record_bytes: dict[str, int]
    message_bytes: dict[str, int]


def make_spec(name: str, tasks: int, team: int = 0) -> JobSpec:
    """Return a batch job like those of the mixes."""
    return JobSpec(
        job_id=JobId(name),
        team=TeamPath(f"board/team-{team}"),
        workload=Workload.BATCH,
        tasks=tasks,
        resources=NEED,
        run_s=30.0,
        kind="redaction",
        submitted_at=WALL,
    )


def make_summary(workers: int = 32) -> CapacitySummary:
    """Return the summary of a worker owner with plenty of room."""
    one = Resources(cores_milli=64_000, memory_mb=128 * 1024)
    total = Resources(cores_milli=64_000 * workers, memory_mb=128 * 1024 * workers)
    hole = (LargestAmount(by="cores", free=one), LargestAmount(by="memory", free=one))
    return CapacitySummary(
        workers=workers,
        capacity=total,
        free=total,
        holes=hole,
        largest_worker=hole,
        waiting_by_class={"urgent": 1, "normal": 12, "backfill": 40},
        running=200,
    )


def make_shard(jobs: int, tasks: int) -> JobShard:
    """Return a shard with fresh jobs of several teams."""
    shard = JobShard(shard=0, epoch=Epoch(1), is_ended=lambda _job: False)
    for index in range(jobs):
        spec = make_spec(f"job-{index:06d}", tasks, team=index % 40)
        shard.add_job(JobState(spec=spec, accepted_at=Offset(9)), is_fresh=True, now=WALL)
    return shard


def play(shard: JobShard, hosts: int) -> int:
    """Give out all tasks and end them; return how many decisions it took."""
    summaries = {HostId(f"entry-{index}"): make_summary() for index in range(hosts)}
    now = WALL
    decisions = 0
    while True:
        now += 0.01
        decisions += 1
        decision = shard.decide(now, summaries=summaries, limit=WINDOW_TASKS)
        if not decision.assigns:
            return decisions
        for batch in decision.assigns:
            for kind in (ReportKind.RUNNING, ReportKind.DONE):
                shard.on_reports(batch.host, _reports(batch, kind), now)
        record, _ = shard.ends.take(now)
        if record is not None:
            shard.ends.logged(record)


def _reports(batch: AssignBatch, kind: ReportKind) -> list[TaskReport]:
    return [
        TaskReport(
            task_id=task.task_id,
            attempt=task.attempt,
            kind=kind,
            worker_id=HostId("worker-mapo-17"),
        )
        for task in batch.tasks
    ]


def measure_tasks(*, hosts: int, jobs: int, tasks: int) -> TaskCost:
    """Return the cost of a task at this number of live jobs."""
    best = min(_time(lambda: make_shard(jobs, tasks), hosts) for _ in range(REPEATS))
    return TaskCost(
        hosts=hosts, jobs=jobs, tasks=tasks, us_per_task=round(best / (jobs * tasks) * 1e6, 1)
    )


def _time(build: Callable[[], JobShard], hosts: int) -> float:
    shard = build()
    started = time.process_time()
    play(shard, hosts)
    return time.process_time() - started


def measure_cancels(tasks: int, *, jobs: int = 200) -> CancelCost:
    """Return the cost of cancelling a job of which nothing was given out."""
    best = float("inf")
    for _ in range(REPEATS):
        shard = make_shard(jobs, tasks)
        started = time.process_time()
        for job_id in list(shard.runs_by_id):
            shard.cancel(job_id, WALL)
        best = min(best, time.process_time() - started)
    return CancelCost(tasks=tasks, us_per_cancel=round(best / jobs * 1e6, 1))


def measure_records() -> dict[str, int]:
    """Return the bytes of each record as appended."""
    job_id = JobId("job-0123456789abcdef")
    spec = make_spec(job_id, 200)
    scattered = ranges_of(list(range(0, 128, 2)))
    state = JobState(spec=spec, accepted_at=Offset(5))
    state.merge(TaskPhase.DONE, ranges_of(list(range(100))))
    ended = TasksEnded(
        shard=3,
        ends=(EndedRanges(job_id=job_id, phase=TaskPhase.DONE, ranges=ranges_of(list(range(64)))),),
    )
    worst = TasksEnded(
        shard=3, ends=(EndedRanges(job_id=job_id, phase=TaskPhase.DONE, ranges=scattered),)
    )
    records: dict[str, object] = {
        "job.accepted": JobAccepted(spec=spec),
        "job.cancelled": JobCancelled(job_id=job_id, cause="meeting moved"),
        "job.ended": JobEnded(job_id=job_id, verdict=JobVerdict.DONE, at=WALL),
        "job.compacted (half done)": state.compacted(at=WALL),
        "job.tasks_ended (64 in a row)": ended,
        "job.tasks_ended (64 scattered)": worst,
    }
    return {
        name: len(encode_record(record, record_id=RecordId("entry-1.0123456789/123456")))
        for name, record in records.items()
    }


def measure_messages() -> dict[str, int]:
    """Return the bytes of the messages that carry most traffic."""
    shard = make_shard(1, WINDOW_TASKS)
    summary = make_summary()
    decision = shard.decide(WALL, summaries={HostId("entry-1"): summary}, limit=WINDOW_TASKS)
    batch = decision.assigns[0]
    count = len(batch.tasks)
    reports = tuple(_reports(batch, ReportKind.RUNNING))
    beat = JobHeartbeat(
        incarnation="mapo-entry-1.0123456789abcdef",
        shards=tuple(ShardEpoch(shard=index, epoch=Epoch(123_456)) for index in range(8)),
        valid_until=WALL,
        summary=pack_summary(summary),
        reserved_by_team={TeamPath(f"board/team-{index}"): pack_amount(NEED) for index in range(8)},
    )
    assign = TaskAssign(
        shard=0, epoch=Epoch(123_456), valid_until=WALL, groups=pack_tasks(batch.tasks)
    )
    events = TaskEvents(shard=0, reports=pack_reports(reports), summary=pack_summary(summary))
    return {
        "job_beat (8 shards, 8 teams)": len(encode_message(beat)[1]),
        "task_assign, per task": len(encode_message(assign)[1]) // count,
        "task_events, per task": len(encode_message(events)[1]) // count,
    }


def measure() -> JobCosts:
    """Return all costs; about half a minute on one core."""
    return JobCosts(
        python=sys.version.split()[0],
        task_costs=(
            measure_tasks(hosts=3, jobs=10, tasks=500),
            measure_tasks(hosts=8, jobs=10, tasks=500),
            measure_tasks(hosts=8, jobs=100, tasks=50),
            measure_tasks(hosts=8, jobs=1000, tasks=5),
        ),
        cancel_costs=tuple(measure_cancels(tasks) for tasks in (10, 1000, 10_000, 100_000)),
        record_bytes=measure_records(),
        message_bytes=measure_messages(),
    )


if __name__ == "__main__":
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(measure()), indent=2).decode() + "\n")
