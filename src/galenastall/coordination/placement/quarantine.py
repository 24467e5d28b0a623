"""Tell a bad worker from a bad job by how failures are distributed.

Failures of several different jobs on one worker, with no success there since, indicate a bad
worker: it is quarantined and given single probes until one succeeds. Failures of one job on several
different workers, with no success anywhere, indicate a bad job: it is given up with its history.
When a worker is quarantined, its failures no longer count against their jobs.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from galenastall.state.ids import HostId, JobId, TaskId

MAX_JOBS: Final = 20_000
"""Jobs remembered; the one with the least recent end of a task is evicted."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineSettings:
    """Thresholds above which a worker, job or task counts as bad."""

    jobs_per_worker: int = 3
    """Different jobs failed on a worker since its last success, to quarantine it."""
    workers_per_job: int = 3
    """Different workers on which a job failed that never succeeded, to give it up."""
    attempts_per_task: int = 5
    """Failed attempts of one task after which it is given up, even if its job's others succeed."""
    probe_every_s: float = 30.0
    """First wait before a probe; doubles with each failed probe."""
    probe_at_most_s: float = 960.0


class HealthVerdict(StrEnum):
    """What the end of a task changed in the health of its worker, job or itself."""

    NOTHING = "nothing"
    WORKER_QUARANTINED = "worker_quarantined"
    WORKER_RESTORED = "worker_restored"
    JOB_BAD = "job_bad"
    TASK_BAD = "task_bad"


class _WorkerHealth:
    __slots__ = ("failed_jobs", "next_probe_at", "probe", "wait_s")

    def __init__(self) -> None:
        self.failed_jobs: set[JobId] = set()
        self.wait_s = 0.0
        self.next_probe_at: float | None = None
        self.probe: TaskId | None = None


class _JobHealth:
    __slots__ = ("details_by_worker", "failures_by_task", "has_succeeded", "is_bad")

    def __init__(self) -> None:
        self.details_by_worker: dict[HostId, str] = {}
        self.failures_by_task: dict[TaskId, int] = {}
        self.has_succeeded = False
        self.is_bad = False


class Quarantine:
    """Failures by worker and by job."""

    def __init__(self, *, settings: QuarantineSettings | None = None) -> None:
        """Start with no failures known."""
        self.settings = settings or QuarantineSettings()
        self._workers_by_id: dict[HostId, _WorkerHealth] = {}
        self._jobs_by_id: OrderedDict[JobId, _JobHealth] = OrderedDict()

    def on_success(self, worker_id: HostId, job_id: JobId, task_id: TaskId) -> HealthVerdict:
        """Record a task that succeeded on a worker."""
        job = self._job(job_id)
        job.has_succeeded = True
        job.failures_by_task.pop(task_id, None)
        worker = self._workers_by_id.pop(worker_id, None)
        if worker is not None and worker.next_probe_at is not None:
            return HealthVerdict.WORKER_RESTORED
        return HealthVerdict.NOTHING

    def on_failure(
        self, worker_id: HostId, job_id: JobId, task_id: TaskId, detail: str, now: float
    ) -> HealthVerdict:
        """Record a task that failed on a worker."""
        worker = self._workers_by_id.setdefault(worker_id, _WorkerHealth())
        if worker.next_probe_at is not None:
            self._on_probe_failed(worker, task_id, now)
            return HealthVerdict.NOTHING
        job = self._job(job_id)
        job.details_by_worker[worker_id] = detail
        job.failures_by_task[task_id] = job.failures_by_task.get(task_id, 0) + 1
        if self._is_job_at_fault(job):
            job.is_bad = True
            self._clear_workers(job, job_id)
            return HealthVerdict.JOB_BAD
        worker.failed_jobs.add(job_id)
        if len(worker.failed_jobs) >= self.settings.jobs_per_worker:
            self._quarantine(worker_id, worker, now)
            return HealthVerdict.WORKER_QUARANTINED
        if job.failures_by_task[task_id] >= self.settings.attempts_per_task:
            return HealthVerdict.TASK_BAD
        return HealthVerdict.NOTHING

    def is_bad_job(self, job_id: JobId) -> bool:
        """Return whether the job was given up."""
        job = self._jobs_by_id.get(job_id)
        return job is not None and job.is_bad

    def workers_to_avoid(self, job_id: JobId) -> frozenset[HostId] | dict[HostId, str]:
        """Return the workers on which this job failed; read only."""
        job = self._jobs_by_id.get(job_id)
        return frozenset() if job is None else job.details_by_worker

    def history(self, job_id: JobId) -> str:
        """Return the workers on which the job failed, with the error details."""
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return ""
        parts = (f"{worker}: {detail}" for worker, detail in job.details_by_worker.items())
        return "; ".join(parts)

    def quarantined(self) -> tuple[HostId, ...]:
        """Return the quarantined workers."""
        return tuple(
            worker_id
            for worker_id, worker in self._workers_by_id.items()
            if worker.next_probe_at is not None
        )

    def is_probe_due(self, worker_id: HostId, now: float) -> bool:
        """Return whether a quarantined worker may be given one task as a probe."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None or worker.next_probe_at is None or worker.probe is not None:
            return False
        return now >= worker.next_probe_at

    def on_probe(self, worker_id: HostId, task_id: TaskId) -> None:
        """Record the task that a quarantined worker was given as a probe."""
        self._workers_by_id[worker_id].probe = task_id

    def on_probe_lost(self, worker_id: HostId, task_id: TaskId) -> None:
        """Allow another probe when the probe left the worker without ending on its own."""
        worker = self._workers_by_id.get(worker_id)
        if worker is not None and worker.probe == task_id:
            worker.probe = None

    def forget_worker(self, worker_id: HostId) -> None:
        """Drop what is known of a worker that is no longer owned."""
        self._workers_by_id.pop(worker_id, None)

    def _job(self, job_id: JobId) -> _JobHealth:
        job = self._jobs_by_id.get(job_id)
        if job is None:
            job = self._jobs_by_id[job_id] = _JobHealth()
            if len(self._jobs_by_id) > MAX_JOBS:
                self._jobs_by_id.popitem(last=False)
        self._jobs_by_id.move_to_end(job_id)
        return job

    def _is_job_at_fault(self, job: _JobHealth) -> bool:
        return not job.has_succeeded and len(job.details_by_worker) >= self.settings.workers_per_job

    def _clear_workers(self, job: _JobHealth, job_id: JobId) -> None:
        for worker_id in job.details_by_worker:
            worker = self._workers_by_id.get(worker_id)
            if worker is not None:
                worker.failed_jobs.discard(job_id)

    def _quarantine(self, worker_id: HostId, worker: _WorkerHealth, now: float) -> None:
        worker.wait_s = self.settings.probe_every_s
        worker.next_probe_at = now + worker.wait_s
        for job_id in worker.failed_jobs:
            job = self._jobs_by_id.get(job_id)
            if job is not None:
                job.details_by_worker.pop(worker_id, None)

    def _on_probe_failed(self, worker: _WorkerHealth, task_id: TaskId, now: float) -> None:
        if worker.probe != task_id:
            return
        worker.probe = None
        worker.wait_s = min(worker.wait_s * 2, self.settings.probe_at_most_s)
        worker.next_probe_at = now + worker.wait_s
