"""Tasks and reports as wire rows; the tasks of a job share all but index and attempt."""

from collections.abc import Iterable, Sequence
from dataclasses import replace

import msgspec

from galenastall.coordination.placement.task_reports import ReportKind, TaskReport
from galenastall.state.ids import HostId, JobId, TaskId, make_task_id, split_task_id
from galenastall.state.work import TaskSpec


class TaskGroup(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one job."""

    template: TaskSpec
    """The first task, with its id and attempt."""
    indices: tuple[int, ...]
    attempts: tuple[int, ...]


class ReportRow(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """One report."""

    task_id: TaskId
    attempt: int
    kind: ReportKind
    worker_id: HostId = HostId("")
    detail: str = ""
    give_up: bool = False
    need_mb: int = 0


def pack_tasks(tasks: Sequence[TaskSpec]) -> tuple[TaskGroup, ...]:
    """Return the tasks grouped by job; the order within a job is kept."""
    by_job: dict[JobId, list[TaskSpec]] = {}
    for task in tasks:
        by_job.setdefault(task.job_id, []).append(task)
    return tuple(
        TaskGroup(
            each[0],
            tuple(split_task_id(task.task_id)[1] for task in each),
            tuple(task.attempt for task in each),
        )
        for each in by_job.values()
    )


def unpack_tasks(groups: Iterable[TaskGroup]) -> list[TaskSpec]:
    """Return the tasks of the groups."""
    return [
        replace(
            group.template,
            task_id=make_task_id(group.template.job_id, index),
            attempt=attempt,
        )
        for group in groups
        for index, attempt in zip(group.indices, group.attempts, strict=True)
    ]


def pack_reports(reports: Iterable[TaskReport]) -> tuple[ReportRow, ...]:
    """Return the reports as rows."""
    return tuple(
        ReportRow(
            each.task_id,
            each.attempt,
            each.kind,
            each.worker_id,
            each.detail,
            each.give_up,
            each.need_mb,
        )
        for each in reports
    )


def unpack_reports(rows: Iterable[ReportRow]) -> list[TaskReport]:
    """Return the reports of the rows."""
    return [
        TaskReport(
            task_id=row.task_id,
            attempt=row.attempt,
            kind=row.kind,
            worker_id=row.worker_id,
            detail=row.detail,
            give_up=row.give_up,
            need_mb=row.need_mb,
        )
        for row in rows
    ]
