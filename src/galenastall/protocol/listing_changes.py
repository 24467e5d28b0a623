"""Incremental worker listings: computes the changes between two listings and applies them.

A listing repeats the specification of every task, some 400 bytes each, while an owner that polls
needs only the changes. The core still receives complete listings.
"""

from dataclasses import replace

from galenastall.protocol.platform import TaskChange, WorkerListing
from galenastall.state.ids import TaskId
from galenastall.state.resources import Resources
from galenastall.state.work import RunningTask


def changes_since(base: WorkerListing, listing: WorkerListing) -> WorkerListing:
    """Return the changes from `base` to `listing`, or all of `listing` if they would be ambiguous.

    Rows are identified by task, so a worker that runs a task twice lists everything.
    """
    known, running = _by_task(base), _by_task(listing)
    if known is None or running is None:
        return listing
    new: list[RunningTask] = []
    changed: list[TaskChange] = []
    for task_id, row in running.items():
        before = known.get(task_id)
        if before == row:
            continue
        if before is not None and _with_measurements_of(before, row) == row:
            changed.append((task_id, row.lease_until, row.used))
        else:
            new.append(row)
    return replace(
        listing,
        running=tuple(new),
        base=base.cursor,
        changed=tuple(changed),
        gone=tuple(task_id for task_id in known if task_id not in running),
    )


def apply_changes(base: WorkerListing, answer: WorkerListing) -> WorkerListing | None:
    """Return the complete listing of an answer; None if it is not based on `base`."""
    if not answer.base:
        return answer
    known = _by_task(base)
    if known is None or answer.base != base.cursor:
        return None
    for task_id in answer.gone:
        known.pop(task_id, None)
    for task_id, lease_until, used in answer.changed:
        row = known.get(task_id)
        if row is None:
            return None
        known[task_id] = _with_measurements(row, lease_until, used)
    known.update((row.task.task_id, row) for row in answer.running)
    return replace(answer, running=tuple(known.values()), base="", changed=(), gone=())


def _by_task(listing: WorkerListing) -> dict[TaskId, RunningTask] | None:
    rows = {row.task.task_id: row for row in listing.running}
    return rows if len(rows) == len(listing.running) else None


def _with_measurements_of(row: RunningTask, other: RunningTask) -> RunningTask:
    return _with_measurements(row, other.lease_until, other.used)


def _with_measurements(row: RunningTask, lease_until: float, used: Resources) -> RunningTask:
    """Return the row with other measurements; `replace` takes several times as long."""
    return RunningTask(
        task=row.task,
        reserved=row.reserved,
        epoch=row.epoch,
        lease_until=lease_until,
        used=used,
    )
