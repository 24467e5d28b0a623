"""Commands queued for the next decision, and their grouping by worker."""

from collections import OrderedDict
from collections.abc import Iterable

from galenastall.coordination.placement.placement_commands import (
    CheckpointTask,
    CommandKind,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerCommands,
)
from galenastall.coordination.placement.placement_state import Placed, Worker
from galenastall.state.ids import Epoch, HostId, TaskId


class _Batch:
    __slots__ = ("checkpoints", "epoch", "starts", "stops", "throttles")

    def __init__(self, epoch: Epoch) -> None:
        self.epoch = epoch
        self.starts: list[StartTask] = []
        self.checkpoints: list[CheckpointTask] = []
        self.throttles: list[ThrottleTask] = []
        self.stops: list[StopTask] = []


class PendingCommands:
    """At most one ending command and one throttle per task; a stop replaces a checkpoint."""

    def __init__(self) -> None:
        """Start without commands."""
        self._endings_by_task: OrderedDict[TaskId, tuple[Placed, CommandKind, str]] = OrderedDict()
        self._throttles_by_task: OrderedDict[TaskId, tuple[Placed, float, str]] = OrderedDict()
        self._duplicates: OrderedDict[tuple[HostId, TaskId], Worker] = OrderedDict()

    def stop(self, placed: Placed, cause: str) -> None:
        """Stop a task with the next decision."""
        self._endings_by_task[placed.task.task_id] = (placed, CommandKind.STOP, cause)

    def checkpoint(self, placed: Placed, cause: str) -> None:
        """Checkpoint a task with the next decision, unless an ending command is queued already."""
        task_id = placed.task.task_id
        self._endings_by_task.setdefault(task_id, (placed, CommandKind.CHECKPOINT, cause))

    def throttle(self, placed: Placed, share: float, cause: str) -> None:
        """Throttle a task with the next decision."""
        self._throttles_by_task[placed.task.task_id] = (placed, share, cause)

    def stop_duplicate(self, worker: Worker, task_id: TaskId) -> None:
        """Stop a duplicate run of a task that is placed on another worker."""
        self._duplicates[worker.worker_id, task_id] = worker

    def forget_task(self, task_id: TaskId) -> None:
        """Drop the commands for a task that left its worker."""
        self._endings_by_task.pop(task_id, None)
        self._throttles_by_task.pop(task_id, None)

    def forget_worker(self, worker_id: HostId) -> None:
        """Drop the duplicate stops for a worker that is no longer owned."""
        for key in [key for key in self._duplicates if key[0] == worker_id]:
            del self._duplicates[key]

    def take(self, starts: Iterable[Placed], now: float) -> tuple[WorkerCommands, ...]:
        """Return and clear all queued commands, with these starts, one batch per worker."""
        batches: dict[HostId, _Batch] = {}
        if self._endings_by_task:
            self._take_endings(batches, now)
        if self._throttles_by_task:
            self._take_throttles(batches)
        for (worker_id, task_id), worker in self._duplicates.items():
            stop = StopTask(
                worker_id=worker_id,
                epoch=worker.epoch,
                task_id=task_id,
                cause="it runs on another worker too",
            )
            _batch(batches, worker).stops.append(stop)
        self._duplicates.clear()
        for placed in starts:
            _batch(batches, placed.worker).starts.append(start_of(placed))
        return tuple(
            WorkerCommands(
                worker_id=worker_id,
                epoch=batch.epoch,
                starts=tuple(batch.starts),
                checkpoints=tuple(batch.checkpoints),
                throttles=tuple(batch.throttles),
                stops=tuple(batch.stops),
            )
            for worker_id, batch in batches.items()
        )

    def _take_endings(self, batches: dict[HostId, _Batch], now: float) -> None:
        for placed, kind, cause in self._endings_by_task.values():
            placed.ending = kind
            placed.commanded_at = now
            placed.cause = cause
            batch = _batch(batches, placed.worker)
            worker_id, epoch = placed.worker.worker_id, placed.worker.epoch
            task_id = placed.task.task_id
            if kind is CommandKind.STOP:
                batch.stops.append(
                    StopTask(worker_id=worker_id, epoch=epoch, task_id=task_id, cause=cause)
                )
            else:
                batch.checkpoints.append(
                    CheckpointTask(worker_id=worker_id, epoch=epoch, task_id=task_id, cause=cause)
                )
        self._endings_by_task.clear()

    def _take_throttles(self, batches: dict[HostId, _Batch]) -> None:
        for placed, share, cause in self._throttles_by_task.values():
            placed.is_throttled = True
            throttle = ThrottleTask(
                worker_id=placed.worker.worker_id,
                epoch=placed.worker.epoch,
                task_id=placed.task.task_id,
                share=share,
                cause=cause,
            )
            _batch(batches, placed.worker).throttles.append(throttle)
        self._throttles_by_task.clear()


def start_of(placed: Placed) -> StartTask:
    """Return the start command of a task whose capacity is reserved."""
    worker = placed.worker
    return StartTask(
        worker_id=worker.worker_id,
        epoch=worker.epoch,
        task=placed.task,
        reserved=placed.entry.amount,
        why=placed.why,
    )


def _batch(batches: dict[HostId, _Batch], worker: Worker) -> _Batch:
    batch = batches.get(worker.worker_id)
    if batch is None:
        batch = batches[worker.worker_id] = _Batch(worker.epoch)
    return batch
