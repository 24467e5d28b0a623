"""Messages of shard owners to a worker owner: assign, stop, recall, recover and explain tasks."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from galenastall.coordination.placement.placement_commands import CancelVerdict
from galenastall.coordination.placement.task_reports import ReportKind
from galenastall.node.jobs.job_link import JobLink
from galenastall.node.placement.held_gangs import HeldGangs
from galenastall.protocol.clock import Clock
from galenastall.protocol.job_messages import (
    JobReply,
    ShardCensus,
    ShardRecover,
    TaskAssign,
    TaskExplain,
    TaskExplained,
    TaskRecall,
    TaskStop,
)
from galenastall.protocol.task_rows import pack_reports, unpack_tasks
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.work import TaskSpec

if TYPE_CHECKING:
    from galenastall.node.placement.worker_service import WorkerService as Owner


class TaskInbox:
    """Handles the messages of shard owners."""

    def __init__(self, *, owner: Owner, gangs: HeldGangs, link: JobLink, clock: Clock) -> None:
        """`owner` holds the core and the assigned tasks."""
        self._owner = owner
        self._gangs = gangs
        self._clock = clock
        link.answer(TaskAssign, self._on_assign)
        link.answer(TaskStop, self._on_stop)
        link.answer(TaskRecall, self._on_recall)
        link.answer(ShardRecover, self._on_recover)
        link.answer(TaskExplain, self._on_explain)

    def return_tasks(self, tasks: Iterable[TaskSpec], why: str, now: float) -> None:
        """Dequeue these tasks and report them as returned to their shard; started ones stay."""
        tasks_by_id = {task.task_id: task for task in tasks}
        for task_id, verdict in self._owner.core.cancel(tuple(tasks_by_id), now).items():
            if verdict in (CancelVerdict.NEVER_STARTED, CancelVerdict.NOT_HERE):
                self._owner.note(tasks_by_id[task_id], ReportKind.RETURNED, detail=why)

    def note_owner(self, shard: int, owner: HostId, epoch: Epoch, valid_until: float) -> bool:
        """Record a message from a shard's owner; the first of a new owner drops queued tasks."""
        if epoch > self._owner.assigned.epoch_of(shard):
            now = self._clock.wall()
            queued = self._owner.assigned.queued_of(shard)
            for task_id, verdict in self._owner.core.cancel(
                [t.task_id for t in queued], now
            ).items():
                if verdict in (CancelVerdict.NEVER_STARTED, CancelVerdict.NOT_HERE):
                    self._owner.assigned.forget(task_id)
            self._gangs.release_shard(shard)
        return self._owner.assigned.note_owner(shard, owner, epoch, valid_until)

    async def _on_assign(self, sender: HostId, message: TaskAssign) -> JobReply:
        if not self.note_owner(message.shard, sender, message.epoch, message.valid_until):
            return JobReply(ok=False, detail="the shard has a later owner")
        if self._owner.is_draining:
            return JobReply(ok=False, detail="this entry host is draining")
        new, refused = self._owner.assigned.accept(message.shard, unpack_tasks(message.groups))
        self._owner.core.enqueue(new, self._clock.wall())
        self._owner.wake()
        self._owner.reporter.wake()
        return JobReply(ok=True, refused=tuple(refused))

    async def _on_stop(self, sender: HostId, message: TaskStop) -> JobReply:
        if message.epoch < self._owner.assigned.epoch_of(message.shard):
            return JobReply(ok=False, detail="the shard has a later owner")
        self._gangs.release_tasks(message.tasks)
        stopped = [
            each.task_id
            for each in message.tasks
            if not self._owner.assigned.is_newer(each.task_id, each.attempt)
        ]
        for task_id, verdict in self._owner.core.cancel(stopped, self._clock.wall()).items():
            self._on_cancelled(task_id, verdict)
        self._owner.wake()
        return JobReply(ok=True)

    def _on_cancelled(self, task_id: TaskId, verdict: CancelVerdict) -> None:
        known = self._owner.assigned.get(task_id)
        if known is None or known.task is None:
            return
        if verdict is CancelVerdict.NEVER_STARTED:
            self._owner.note(known.task, ReportKind.RETURNED, detail="stopped while it was queued")
        elif verdict is CancelVerdict.NOT_HERE and known.report.kind is ReportKind.QUEUED:
            self._owner.note(known.task, ReportKind.RETURNED, detail="it was no longer queued")

    async def _on_recall(self, sender: HostId, message: TaskRecall) -> JobReply:
        if message.epoch < self._owner.assigned.epoch_of(message.shard):
            return JobReply(ok=False, detail="the shard has a later owner")
        known = (self._owner.assigned.get(each.task_id) for each in message.tasks)
        queued = [
            each.task
            for each in known
            if each
            and each.task
            and self._owner.core.placed(each.task.task_id) is None
            and each.report.kind is ReportKind.QUEUED
        ]
        self.return_tasks(
            queued, "its shard's owner has capacity for it elsewhere", self._clock.wall()
        )
        return JobReply(ok=True)

    async def _on_recover(self, sender: HostId, message: ShardRecover) -> ShardCensus:
        if not self.note_owner(message.shard, sender, message.epoch, message.valid_until):
            return ShardCensus(is_current=False)
        return ShardCensus(
            is_current=True,
            reports=pack_reports(self._owner.assigned.census(message.shard)),
            workers=tuple(
                worker
                for worker, watch in self._owner.watches_by_id.items()
                if watch.is_fully_known
            ),
        )

    async def _on_explain(self, _sender: HostId, message: TaskExplain) -> TaskExplained:
        return TaskExplained(sentences=self._owner.core.explain(message.task_id))
