"""Tasks that job shards assigned to a worker owner, and the reports still due to the shards.

Assignments are valid only while heartbeats of their shard's owner arrive: a queued task whose shard
owner was not heard in time, or was replaced, is dropped before it can start. So a shard's next
owner knows after that time that nothing is still queued at entry hosts that it can't reach.
"""

from collections import OrderedDict
from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Final

from galenastall.coordination.placement.task_reports import (
    ATTEMPTS_PER_ASSIGNMENT,
    ENDING_KINDS,
    ReportKind,
    TaskReport,
)
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.work import TaskSpec

MAX_FINISHED_ATTEMPTS: Final = 50_000
"""Finished attempts remembered, so that a late assignment does not start them again."""
REPEAT_S: Final = 1.0
"""Time after which an unsettled report of a task's end is sent again, in seconds."""


@dataclass(kw_only=True, slots=True)
class ShardContact:
    """The last known owner of a shard."""

    owner: HostId
    epoch: Epoch
    valid_until: float
    """Wall time until which queued tasks of the shard may be started."""


@dataclass(kw_only=True, slots=True)
class AssignedTask:
    """An assigned task and its latest report."""

    report: TaskReport
    shard: int
    task: TaskSpec | None
    is_unsent: bool = True
    sent_at: float = 0.0


class AssignedTasks:
    """Tasks of all shards at this worker owner."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._shards: dict[int, ShardContact] = {}
        self._by_task: dict[TaskId, AssignedTask] = {}
        self._unsent: dict[int, dict[TaskId, None]] = {}
        self._ending: dict[int, dict[TaskId, None]] = {}
        self._finished_attempts: OrderedDict[TaskId, int] = OrderedDict()

    def note_owner(self, shard: int, owner: HostId, epoch: Epoch, valid_until: float) -> bool:
        """Record a message from a shard's owner; False if it was replaced by a later one."""
        known = self._shards.get(shard)
        if known is None:
            contact = ShardContact(owner=owner, epoch=epoch, valid_until=valid_until)
            self._shards[shard] = contact
            return True
        if epoch < known.epoch:
            return False
        if epoch > known.epoch:
            known.epoch, known.owner, known.valid_until = epoch, owner, 0.0
        known.valid_until = max(known.valid_until, valid_until)
        return True

    def epoch_of(self, shard: int) -> Epoch:
        """Return the highest known epoch of a shard."""
        known = self._shards.get(shard)
        return known.epoch if known else Epoch(0)

    def owner_of(self, shard: int) -> HostId | None:
        """Return the last known owner of a shard."""
        known = self._shards.get(shard)
        return known.owner if known else None

    def is_valid(self, task_id: TaskId, now: float) -> bool:
        """Return whether a queued task may still be started."""
        each = self._by_task.get(task_id)
        if each is None:
            return False
        contact = self._shards.get(each.shard)
        return contact is not None and now < contact.valid_until

    def accept(self, shard: int, tasks: Sequence[TaskSpec]) -> tuple[list[TaskSpec], list[TaskId]]:
        """Accept assignments; return the new ones, to be queued, and the refused ones.

        A task is refused while an earlier attempt here may still run. A repeated assignment is
        in neither list.
        """
        new: list[TaskSpec] = []
        refused: list[TaskId] = []
        for task in tasks:
            known = self._by_task.get(task.task_id)
            if task.attempt <= self._finished_attempts.get(task.task_id, -1):
                continue
            if known is None or _is_replaceable(known.report, task.attempt):
                self._accept_one(shard, task)
                new.append(task)
                continue
            self._mark_unsent(known, task.task_id)
            if known.report.attempt < task.attempt:
                refused.append(task.task_id)
        return new, refused

    def _accept_one(self, shard: int, task: TaskSpec) -> None:
        if task.task_id in self._by_task:
            self._forget(task.task_id)
        report = TaskReport(task_id=task.task_id, attempt=task.attempt, kind=ReportKind.QUEUED)
        # A task just accepted needs no report: the response to the assignment says so.
        self._by_task[task.task_id] = AssignedTask(
            report=report, shard=shard, task=task, is_unsent=False
        )

    def get(self, task_id: TaskId) -> AssignedTask | None:
        """Return what is known of a task here."""
        return self._by_task.get(task_id)

    def note(self, report: TaskReport, *, shard: int, task: TaskSpec | None = None) -> None:
        """Record the latest report of a task, to be sent with the next batch.

        Reports of finished attempts are ignored.
        """
        known = self._by_task.get(report.task_id)
        if known is None:
            if report.attempt <= self._finished_attempts.get(report.task_id, -1):
                return
            known = AssignedTask(report=report, shard=shard, task=task)
            self._by_task[report.task_id] = known
        elif _is_redundant(known.report, report):
            return
        known.report = report
        known.task = task or known.task
        self._mark_unsent(known, report.task_id)
        if report.kind in ENDING_KINDS:
            self._ending.setdefault(known.shard, {})[report.task_id] = None

    def set_without_report(self, task_id: TaskId, kind: ReportKind) -> None:
        """Change a task's status without a report: a start is under way, or was not sent."""
        known = self._by_task.get(task_id)
        if known is not None and known.report.kind not in ENDING_KINDS:
            known.report = replace(known.report, kind=kind)

    def find_invalid(self, now: float) -> list[TaskSpec]:
        """Return the queued tasks of shards whose owner was not heard in time."""
        late = {shard for shard, contact in self._shards.items() if contact.valid_until <= now}
        if not late:
            return []
        return [
            each.task
            for each in self._by_task.values()
            if each.shard in late and each.task and each.report.kind is ReportKind.QUEUED
        ]

    def has_unsent(self) -> bool:
        """Return whether some report was not sent yet, or some end not settled."""
        return any(self._unsent.values()) or any(self._ending.values())

    def is_newer(self, task_id: TaskId, attempt: int) -> bool:
        """Return whether the task has a later assignment here than that of `attempt`."""
        known = self._by_task.get(task_id)
        if known is None:
            return False
        return known.report.attempt // ATTEMPTS_PER_ASSIGNMENT > attempt // ATTEMPTS_PER_ASSIGNMENT

    def is_over(self, task_id: TaskId, attempt: int) -> bool:
        """Return whether the shard's owner has settled this attempt, or assigned a later one."""
        known = self._by_task.get(task_id)
        if known is not None and known.report.attempt > attempt:
            return True
        return attempt <= self._finished_attempts.get(task_id, -1)

    def take_reports(
        self, now: float, *, skip: Container[int] = (), limit: int = 512
    ) -> dict[int, list[TaskReport]]:
        """Return by shard the new reports, and ends unsettled for `REPEAT_S`.

        Shards in `skip` have a batch in flight and are left out.
        """
        taken: dict[int, list[TaskReport]] = {}
        for shard in {*self._unsent, *self._ending}:
            if shard in skip:
                continue
            unsent = self._unsent.get(shard, {})
            chosen = [self._by_task[task_id] for task_id in list(unsent)[:limit]]
            for task_id in self._ending.get(shard, ()):
                if len(chosen) >= limit:
                    break
                each = self._by_task[task_id]
                if not each.is_unsent and each.sent_at <= now - REPEAT_S:
                    chosen.append(each)
            for each in chosen:
                each.is_unsent = False
                each.sent_at = now
                unsent.pop(each.report.task_id, None)
            if chosen:
                taken[shard] = [each.report for each in chosen]
        return taken

    def put_back(self, reports: Iterable[TaskReport]) -> None:
        """Mark reports as not sent, after a failed call."""
        for report in reports:
            known = self._by_task.get(report.task_id)
            if known is not None:
                self._mark_unsent(known, report.task_id)

    def settle(self, reports: Iterable[TaskReport]) -> list[TaskReport]:
        """Forget attempts whose end the shard's owner has stored; return those that were here."""
        settled: list[TaskReport] = []
        for report in reports:
            known = self._by_task.get(report.task_id)
            if known is None:
                continue
            if report.kind is ReportKind.ORPHANED and known.report == report:
                # Not finished: this host may own the worker again, with the same attempt.
                self._remove(report.task_id)
                continue
            if report.kind not in ENDING_KINDS:
                continue
            if known.report.kind not in ENDING_KINDS or known.report.attempt != report.attempt:
                continue
            settled.append(known.report)
            self._forget(report.task_id)
        return settled

    def settle_ids(self, attempts: Iterable[tuple[TaskId, int]]) -> list[TaskReport]:
        """Like `settle`, by task and attempt number."""
        known = ((self._by_task.get(task_id), attempt) for task_id, attempt in attempts)
        return self.settle(
            each.report for each, attempt in known if each and each.report.attempt == attempt
        )

    def census(self, shard: int) -> tuple[TaskReport, ...]:
        """Return the latest reports of all tasks of a shard."""
        return tuple(each.report for each in self._by_task.values() if each.shard == shard)

    def queued_of(self, shard: int) -> list[TaskSpec]:
        """Return the queued tasks of a shard."""
        return [
            each.task
            for each in self._by_task.values()
            if each.shard == shard and each.task and each.report.kind is ReportKind.QUEUED
        ]

    def forget(self, task_id: TaskId) -> None:
        """Drop a task that its shard's owner no longer counts as assigned here."""
        if task_id in self._by_task:
            self._forget(task_id)

    def _mark_unsent(self, each: AssignedTask, task_id: TaskId) -> None:
        each.is_unsent = True
        self._unsent.setdefault(each.shard, {})[task_id] = None

    def _remove(self, task_id: TaskId) -> AssignedTask:
        each = self._by_task.pop(task_id)
        self._unsent.get(each.shard, {}).pop(task_id, None)
        self._ending.get(each.shard, {}).pop(task_id, None)
        return each

    def _forget(self, task_id: TaskId) -> None:
        each = self._remove(task_id)
        self._finished_attempts[task_id] = max(
            each.report.attempt, self._finished_attempts.get(task_id, -1)
        )
        self._finished_attempts.move_to_end(task_id)
        if len(self._finished_attempts) > MAX_FINISHED_ATTEMPTS:
            self._finished_attempts.popitem(last=False)


def _is_replaceable(known: TaskReport, attempt: int) -> bool:
    may_run = known.kind in (ReportKind.RUNNING, ReportKind.UNKNOWN)
    return known.attempt < attempt and not may_run


def _is_redundant(known: TaskReport, report: TaskReport) -> bool:
    if known.attempt != report.attempt:
        return known.attempt > report.attempt
    return known.kind in ENDING_KINDS or known == report
