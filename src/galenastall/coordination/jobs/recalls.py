"""Recall tasks that wait at one worker owner while another could start them.

Summaries lag, and an owner may have reasons of its own not to start a task where it seems to have
capacity, for example that its job failed on each of its workers. A recalled task is assigned to
other owners first.
"""

from collections.abc import Iterable

from galenastall.coordination.jobs.assignees import AssigneeTable
from galenastall.coordination.jobs.job_run import JobRun
from galenastall.coordination.jobs.shard_commands import ShardSettings, StopBatch
from galenastall.coordination.placement.task_reports import ReportKind, TaskAttempt
from galenastall.state.ids import HostId, make_task_id
from galenastall.state.work import Workload


def find_recalls(
    runs: Iterable[JobRun], assignees: AssigneeTable, settings: ShardSettings, now: float
) -> list[StopBatch]:
    """Return tasks to recall by host, at most as many of a job as others have capacity for."""
    tasks_by_host: dict[HostId, list[TaskAttempt]] = {}
    before = now - settings.recall_after_s
    for run in runs:
        spec = run.state.spec
        if run.is_stopped or spec.workload is Workload.GANG:
            continue
        stuck = [
            (index, each)
            for index, each in run.assigned_by_index.items()
            if each.kind is ReportKind.QUEUED and each.since < before
        ]
        if not stuck:
            continue
        capacity_by_host = assignees.hosts_with_capacity(run.need)
        for index, assigned in stuck:
            host = assigned.host
            capacity = sum(count for other, count in capacity_by_host.items() if other != host)
            if capacity <= 0 or host in run.avoided_hosts >= capacity_by_host.keys():
                continue
            run.avoided_hosts.add(host)
            attempt = TaskAttempt(
                task_id=make_task_id(spec.job_id, index), attempt=assigned.attempt
            )
            tasks_by_host.setdefault(host, []).append(attempt)
            _decrement_one(capacity_by_host, host)
    return [StopBatch(host=host, tasks=tuple(tasks)) for host, tasks in tasks_by_host.items()]


def _decrement_one(capacity_by_host: dict[HostId, int], excluded: HostId) -> None:
    for host, count in capacity_by_host.items():
        if host != excluded and count > 0:
            capacity_by_host[host] = count - 1
            return
