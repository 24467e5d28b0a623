"""Events of a job shard's owner for the time line; starts and ends by worker and window."""

from collections.abc import Iterable

from galenastall.coordination.jobs.shard_commands import ShardNote
from galenastall.state.ids import HostId, TaskId
from galenastall.state.work import TaskPhase


class ShardNotes:
    """Events of one window."""

    def __init__(self) -> None:
        """Start with none."""
        self._notes: list[ShardNote] = []
        self._assigned: dict[HostId, list[TaskId]] = {}
        self._started: dict[tuple[HostId, HostId], list[TaskId]] = {}
        self._ended: dict[tuple[HostId, TaskPhase], list[TaskId]] = {}

    def add(self, step: str, subjects: tuple[str, ...], cause: str, peer: str = "") -> None:
        """Add an event."""
        self._notes.append(ShardNote(step=step, subjects=subjects, cause=cause, peer=peer))

    def add_assigned(self, task_ids: Iterable[TaskId], owner: HostId) -> None:
        """Note that tasks are assigned to an owner of workers, which queues and places them."""
        self._assigned.setdefault(owner, []).extend(task_ids)

    def add_started(self, task_id: TaskId, worker: HostId, owner: HostId) -> None:
        """Note that a task runs, as its worker's owner reports."""
        self._started.setdefault((owner, worker), []).append(task_id)

    def add_ended(self, task_id: TaskId, worker: HostId, phase: TaskPhase) -> None:
        """Note a task's final end."""
        self._ended.setdefault((worker, phase), []).append(task_id)

    def take(self) -> tuple[ShardNote, ...]:
        """Return all events, and begin the next window."""
        for owner, tasks in self._assigned.items():
            self.add("assigned", (owner, *tasks), "it has the most free capacity", owner)
        for (owner, worker), tasks in self._started.items():
            self.add("started", (worker, *tasks), "reported by its owner", owner)
        for (worker, phase), tasks in self._ended.items():
            self.add("ended", (worker, *tasks), phase.value)
        taken = tuple(self._notes)
        self._notes.clear()
        self._assigned.clear()
        self._started.clear()
        self._ended.clear()
        return taken
