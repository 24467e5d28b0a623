"""Send the starts of one decision to a worker in one call, checked right before sending."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.placement.placement_commands import (
    StartAnswer,
    StartTask,
    WorkerCommands,
)
from galenastall.coordination.placement.task_reports import ReportKind
from galenastall.node.jobs.job_link import had_no_effect
from galenastall.node.placement.worker_commands import unanswered
from galenastall.node.placement.worker_timings import WorkerTimings
from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import StartBatch, StartRequest, TaskAnswer, WorkerService
from galenastall.state.errors import StepError
from galenastall.state.ids import TaskId
from galenastall.state.work import TaskPhase

if TYPE_CHECKING:
    from galenastall.node.placement.worker_service import WorkerService as Owner


class WorkerStarter:
    """Starts tasks on owned workers."""

    def __init__(
        self, *, owner: Owner, workers: WorkerService, clock: Clock, timings: WorkerTimings
    ) -> None:
        """`owner` holds the core, the assigned tasks, the leases and the start horizon."""
        self._owner = owner
        self._workers = workers
        self._clock = clock
        self.timings = timings
        """Replaced when operators change them."""

    async def start(self, commands: WorkerCommands) -> None:
        """Send the starts that are still valid, and apply the answers."""
        owner = self._owner
        worker = commands.worker_id
        valid: list[StartTask] = []
        now = self._clock.wall()
        for start in commands.starts:
            if owner.assigned.is_valid(start.task.task_id, now):
                valid.append(start)
            else:
                self._on_start_answer(
                    start, StartAnswer.REFUSED, "its shard's owner stopped sending heartbeats"
                )
        address = owner.address_of(worker)
        if not valid:
            return
        if address is None or not owner.may_act(worker, commands.epoch):
            for start in valid:
                self._on_start_answer(
                    start,
                    StartAnswer.REFUSED,
                    "the worker's address is unknown or its ownership is unconfirmed",
                )
            return
        result = await self._send_start(address, commands, valid)
        answers_by_task: dict[TaskId, TaskAnswer] = {}
        fallback = StartAnswer.UNKNOWN
        detail = "no answer to the start"
        match result:
            case Success(answers):
                answers_by_task = {answer.task_id: answer for answer in answers}
            case Failure(error):
                detail = str(error)
                fallback = StartAnswer.REFUSED if had_no_effect(error) else StartAnswer.UNKNOWN
        for start in valid:
            answer = answers_by_task.get(start.task.task_id)
            if answer is None:
                self._on_start_answer(start, fallback, detail)
            else:
                outcome = StartAnswer.STARTED if answer.ok else StartAnswer.REFUSED
                self._on_start_answer(start, outcome, answer.detail)
        watch = owner.watches_by_id.get(worker)
        if watch is not None and fallback is StartAnswer.UNKNOWN and not answers_by_task:
            watch.poll_soon()
        owner.wake()

    async def _send_start(
        self, address: str, commands: WorkerCommands, starts: list[StartTask]
    ) -> Result[tuple[TaskAnswer, ...], StepError]:
        now = self._clock.wall()
        lease_until = self._owner.leases.grant(commands.worker_id, now)
        batch = StartBatch(
            owner=self._owner.host_id,
            epoch=commands.epoch,
            not_after=now + self.timings.flight_s,
            starts=tuple(
                StartRequest(task=each.task, reserved=each.reserved, lease_until=lease_until)
                for each in starts
            ),
        )
        self._record_starts(commands, starts)
        horizon = self._owner.horizon
        call = horizon.sent(commands.worker_id, until=now + self.timings.start_settle_s)
        result = unanswered("worker.start", commands.worker_id, self.timings.call_s)
        with trio.move_on_after(self.timings.call_s):
            result = await self._workers.start(address=address, batch=batch)
        if isinstance(result, Success) or had_no_effect(result.failure()):
            horizon.answered(commands.worker_id, call)
        return result

    def _record_starts(self, commands: WorkerCommands, starts: list[StartTask]) -> None:
        """Record one event per reason, since most starts of a batch share one."""
        tasks_by_why: dict[str, list[TaskId]] = {}
        for start in starts:
            tasks_by_why.setdefault(start.why, []).append(start.task.task_id)
        for why, tasks in tasks_by_why.items():
            self._owner.events.record(
                "worker.start",
                peer=commands.worker_id,
                subjects=tasks,
                cause=why,
                fields={"epoch": str(commands.epoch)},
            )

    def _on_start_answer(self, start: StartTask, answer: StartAnswer, detail: str) -> None:
        now = self._clock.wall()
        task, worker = start.task, start.worker_id
        phase = self._owner.core.on_start_answer(task.task_id, worker, answer, now)
        if phase is TaskPhase.RUNNING:
            self._owner.note(task, ReportKind.RUNNING, worker)
        elif phase is TaskPhase.UNKNOWN:
            self._owner.note(task, ReportKind.UNKNOWN, worker, detail)
        elif phase is TaskPhase.CANCELLED:
            self._owner.note(task, ReportKind.RETURNED, worker, "cancelled before it started")
        elif phase is TaskPhase.WAITING:
            self._owner.events.record(
                "worker.not_started", peer=worker, subjects=(task.task_id,), cause=detail
            )
            self._owner.requeued(task.task_id, is_next_attempt=False)
