"""Promises: capacity of one worker reserved in advance for a waiting task.

Until the task starts there, promised capacity is withheld from all other tasks, so that small tasks
can't keep taking what a large or urgent one waits for. A task that is expected to end before the
promised start may still use it meanwhile (backfill).
"""

from galenastall.coordination.placement.placement_state import Worker
from galenastall.state.ids import HostId, TaskId
from galenastall.state.resources import Resources


class Promise:
    """Capacity of one worker promised to one waiting task."""

    __slots__ = (
        "amount",
        "expected_at",
        "gang_id",
        "is_preempting",
        "made_at",
        "task_id",
        "until",
        "worker",
    )

    def __init__(
        self,
        *,
        task_id: TaskId,
        worker: Worker,
        amount: Resources,
        now: float,
        expected_at: float,
        until: float,
        gang_id: str = "",
        is_preempting: bool = False,
    ) -> None:
        """`expected_at`: when the amount is expected to be free; `until`: when the promise ends."""
        self.task_id = task_id
        self.worker = worker
        self.amount = amount
        self.made_at = now
        self.expected_at = expected_at
        self.until = until
        self.gang_id = gang_id
        self.is_preempting = is_preempting


class Promises:
    """All promises; a task has at most one."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_task: dict[TaskId, Promise] = {}
        self._by_worker: dict[HostId, dict[TaskId, Promise]] = {}

    def add(self, promise: Promise) -> None:
        """Withhold the capacity from others; raises ValueError if the task has a promise."""
        if promise.task_id in self._by_task:
            raise ValueError(f"{promise.task_id}: a task has one promise at most")
        self._by_task[promise.task_id] = promise
        self._by_worker.setdefault(promise.worker.worker_id, {})[promise.task_id] = promise
        promise.worker.promised = promise.worker.promised + promise.amount

    def drop(self, task_id: TaskId) -> Worker | None:
        """Drop a task's promise; return the worker whose capacity it freed, or None."""
        promise = self._by_task.pop(task_id, None)
        if promise is None:
            return None
        worker = promise.worker
        of_worker = self._by_worker[worker.worker_id]
        del of_worker[task_id]
        if not of_worker:
            del self._by_worker[worker.worker_id]
        worker.promised = worker.promised - promise.amount
        return worker

    def get(self, task_id: TaskId) -> Promise | None:
        """Return a task's promise."""
        return self._by_task.get(task_id)

    def on_worker(self, worker_id: HostId) -> tuple[Promise, ...]:
        """Return the promises on a worker."""
        return tuple(self._by_worker.get(worker_id, {}).values())

    def ended(self, now: float) -> list[Promise]:
        """Return the expired promises."""
        return [promise for promise in self._by_task.values() if promise.until <= now]

    def gang_ids(self) -> set[str]:
        """Return the gangs that have promises."""
        return {promise.gang_id for promise in self._by_task.values() if promise.gang_id}

    def of_gang(self, gang_id: str) -> list[Promise]:
        """Return a gang's promises."""
        return [promise for promise in self._by_task.values() if promise.gang_id == gang_id]

    def backfill(self, amount: Resources, ends_at: float) -> Worker | None:
        """Return a worker that fits `amount` and expects no promised start before `ends_at`."""
        for promises in self._by_worker.values():
            worker = next(iter(promises.values())).worker
            if not worker.is_open or not worker.ledger.fits(amount):
                continue
            if all(ends_at <= promise.expected_at for promise in promises.values()):
                return worker
        return None

    def __len__(self) -> int:
        return len(self._by_task)
