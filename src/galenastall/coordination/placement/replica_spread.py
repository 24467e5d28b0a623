"""Count a service's replicas by rack and worker, so that new ones go where there are fewest."""

from typing import TypeVar

from galenastall.state.ids import HostId, JobId
from galenastall.state.work import TaskSpec, Workload

K = TypeVar("K")


class _Counts:
    __slots__ = ("by_rack", "by_worker")

    def __init__(self) -> None:
        self.by_rack: dict[str, int] = {}
        self.by_worker: dict[HostId, int] = {}


class ReplicaSpread:
    """Replicas of each service by rack and worker; other workloads are ignored."""

    def __init__(self) -> None:
        """Start with none."""
        self._counts_by_job: dict[JobId, _Counts] = {}

    def add(self, task: TaskSpec, worker_id: HostId, rack: str) -> None:
        """Add a replica."""
        if task.workload is not Workload.SERVICE:
            return
        counts = self._counts_by_job.setdefault(task.job_id, _Counts())
        counts.by_rack[rack] = counts.by_rack.get(rack, 0) + 1
        counts.by_worker[worker_id] = counts.by_worker.get(worker_id, 0) + 1

    def remove(self, task: TaskSpec, worker_id: HostId, rack: str) -> None:
        """Remove a replica that was added."""
        counts = self._counts_by_job.get(task.job_id)
        if task.workload is not Workload.SERVICE or counts is None:
            return
        _count_down(counts.by_rack, rack)
        _count_down(counts.by_worker, worker_id)
        if not counts.by_worker:
            del self._counts_by_job[task.job_id]

    def crowding(self, job_id: JobId, worker_id: HostId, rack: str) -> tuple[int, int]:
        """Return the number of the job's replicas on the rack and on the worker."""
        counts = self._counts_by_job.get(job_id)
        if counts is None:
            return 0, 0
        return counts.by_rack.get(rack, 0), counts.by_worker.get(worker_id, 0)


def _count_down(counts: dict[K, int], key: K) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
