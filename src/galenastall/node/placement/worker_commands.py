"""Send stops, checkpoints and throttles of one decision to a worker."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.placement.placement import PlacementCore
from galenastall.coordination.placement.placement_commands import (
    CommandAnswer,
    CommandKind,
    WorkerCommands,
)
from galenastall.coordination.placement.task_reports import ReportKind
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.platform import TaskAnswer, WorkerService
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.work import TaskPhase, TaskSpec

Answers = Result[tuple[TaskAnswer, ...], StepError]


class ReportCallback(Protocol):
    """Callback that records a task's status for its shard."""

    def __call__(
        self, task: TaskSpec, kind: ReportKind, worker: HostId = ..., detail: str = ...
    ) -> None:
        """Record the latest status of a task."""


class WorkerCommander:
    """Carries out commands that end or limit running tasks."""

    def __init__(
        self,
        *,
        core: PlacementCore,
        workers: WorkerService,
        clock: Clock,
        call_s: float,
        note: ReportCallback,
        may_act: Callable[[HostId, Epoch], bool],
        address_of: Callable[[HostId], str | None],
        requeued: Callable[..., None],
        wake: Callable[[], None],
    ) -> None:
        """Call back the worker owner to note status, check ownership and find addresses."""
        self._core = core
        self._workers = workers
        self._clock = clock
        self.call_s = call_s
        self._note = note
        self._may_act = may_act
        self._address_of = address_of
        self._requeued = requeued
        self._wake = wake

    async def send(self, commands: WorkerCommands) -> None:
        """Send all commands for a worker, one call per kind and, for throttles, share."""
        stops = [each.task_id for each in commands.stops]
        checkpoints = [each.task_id for each in commands.checkpoints]
        shares: dict[float, list[TaskId]] = {}
        for each in commands.throttles:
            shares.setdefault(each.share, []).append(each.task_id)
        await self._send_kind(commands, CommandKind.STOP, stops, self._workers.stop)
        await self._send_kind(
            commands, CommandKind.CHECKPOINT, checkpoints, self._workers.checkpoint
        )
        for share, tasks in shares.items():
            await self._send_kind(
                commands, CommandKind.THROTTLE, tasks, self._workers.throttle, share=share
            )
        self._wake()

    async def _send_kind(
        self,
        commands: WorkerCommands,
        kind: CommandKind,
        tasks: Sequence[TaskId],
        call: Callable[..., Awaitable[Answers]],
        **extra: Any,
    ) -> None:
        if not tasks:
            return
        worker = commands.worker_id
        address = self._address_of(worker)
        result = unanswered(f"worker.{kind.value}", worker, self.call_s)
        if address is not None and self._may_act(worker, commands.epoch):
            with trio.move_on_after(self.call_s):
                result = await call(address=address, tasks=tasks, epoch=commands.epoch, **extra)
        answers_by_task: dict[TaskId, TaskAnswer] = {}
        if isinstance(result, Success):
            answers_by_task = {answer.task_id: answer for answer in result.unwrap()}
        for task_id in tasks:
            self._apply_answer(
                worker, kind, task_id, _interpret(kind, answers_by_task.get(task_id))
            )

    def _apply_answer(
        self, worker: HostId, kind: CommandKind, task_id: TaskId, answer: CommandAnswer
    ) -> None:
        placed = self._core.placed(task_id)
        phase = self._core.on_command_answer(task_id, worker, kind, answer, self._clock.wall())
        if placed is None or placed.worker_id != worker or kind is CommandKind.THROTTLE:
            return
        if phase is TaskPhase.CANCELLED:
            self._note(placed.task, ReportKind.STOPPED, worker, "its job was cancelled")
        elif phase is TaskPhase.WAITING:
            self._requeued(task_id, is_next_attempt=True)


def _interpret(kind: CommandKind, answer: TaskAnswer | None) -> CommandAnswer:
    if answer is None:
        return CommandAnswer.UNKNOWN
    if answer.ok:
        return CommandAnswer.DONE
    # A refused stop may mean "not running" or "not yet running": only a listing shows which.
    return CommandAnswer.UNKNOWN if kind is CommandKind.STOP else CommandAnswer.REFUSED


def unanswered(step: str, worker: HostId, after_s: float) -> Answers:
    """Return the failure of a call that timed out after `after_s` seconds."""
    detail = f"no answer in {after_s} s"
    error = StepError(step=step, peer=worker, reason=Reason.TIMEOUT, detail=detail)
    return Failure(error)


def record_endings(events: EventSink, commands: WorkerCommands) -> None:
    """Record events for the tasks to be ended or limited, with the causes."""
    for how, tasks in (
        ("stop", commands.stops),
        ("checkpoint", commands.checkpoints),
        ("throttle", commands.throttles),
    ):
        for task in tasks:
            events.record(
                "worker.ending",
                peer=commands.worker_id,
                subjects=(task.task_id,),
                cause=task.cause,
                fields={"how": how},
            )
