"""Collect the tasks whose record must be in the log before they are assigned."""

from galenastall.state.ids import JobId
from galenastall.state.job_records import AssignedRanges, TasksAssigned, ranges_of


class TaskIntents:
    """First assignments of tasks that must not run twice, one record per window."""

    def __init__(self, *, shard: int) -> None:
        """Start with none."""
        self._shard = shard
        self._indices_by_job: dict[JobId, list[int]] = {}

    def add(self, job_id: JobId, indices: list[int]) -> None:
        """Add tasks to the next record."""
        self._indices_by_job.setdefault(job_id, []).extend(indices)

    def __bool__(self) -> bool:
        return bool(self._indices_by_job)

    def take(self) -> TasksAssigned | None:
        """Take all collected tasks, as one record."""
        indices_by_job, self._indices_by_job = self._indices_by_job, {}
        if not indices_by_job:
            return None
        given = tuple(
            AssignedRanges(job_id=job_id, ranges=ranges_of(indices))
            for job_id, indices in sorted(indices_by_job.items())
        )
        return TasksAssigned(shard=self._shard, given=given)
