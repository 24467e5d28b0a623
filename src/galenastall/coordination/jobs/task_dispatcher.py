"""Assign waiting tasks to worker owners, in the jobs' order and by the owners' free capacity."""

import heapq
from collections.abc import Mapping
from typing import Final

from galenastall.coordination.jobs.assignees import AssigneeTable
from galenastall.coordination.jobs.job_queue import JobQueue
from galenastall.coordination.jobs.job_run import Assigned, JobRun
from galenastall.coordination.jobs.shard_commands import AssignBatch
from galenastall.coordination.jobs.shard_notes import ShardNotes
from galenastall.coordination.jobs.task_intents import TaskIntents
from galenastall.state.ids import HostId, JobId, make_task_id
from galenastall.state.work import Urgency, Workload

TASKS_PER_TURN: Final = 16
"""Tasks of one job assigned before the next job has its turn."""
MAX_UNPLACED_JOBS: Final = 64
"""Jobs that found no capacity before a decision stops; the next begins with other teams."""


class TaskDispatcher:
    """The waiting tasks of one shard's batch and service jobs."""

    def __init__(
        self,
        *,
        runs_by_id: Mapping[JobId, JobRun],
        assignees: AssigneeTable,
        intents: TaskIntents,
        notes: ShardNotes,
    ) -> None:
        """Read the shard's jobs; `intents` collects the tasks that need a log record first."""
        self._runs_by_id = runs_by_id
        self._assignees = assignees
        self._intents = intents
        self._notes = notes
        self._queue = JobQueue()
        self._delayed: list[tuple[float, JobId, int]] = []

    def assign(self, now: float, limit: int) -> list[AssignBatch]:
        """Assign up to `limit` waiting tasks."""
        assigned_by_host: dict[HostId, list[tuple[JobRun, int]]] = {}
        unplaced, left, before = 0, limit, limit + 1
        while 0 < left < before and unplaced < MAX_UNPLACED_JOBS:
            before = left
            for job_id in self._queue.in_order():
                assigned = self._assign_some(
                    job_id, min(TASKS_PER_TURN, left), now, assigned_by_host
                )
                left -= assigned
                unplaced += assigned == 0
                if left <= 0 or unplaced >= MAX_UNPLACED_JOBS:
                    break
        return [
            AssignBatch(host=host, tasks=tuple(run.make_task(index) for run, index in assigned))
            for host, assigned in assigned_by_host.items()
        ]

    def _assign_some(
        self,
        job_id: JobId,
        max_tasks: int,
        now: float,
        assigned_by_host: dict[HostId, list[tuple[JobRun, int]]],
    ) -> int:
        run = self._runs_by_id[job_id]
        spec = run.state.spec
        choice = self._assignees.choose(
            need=run.need,
            urgency=spec.urgency,
            max_tasks=max_tasks,
            now=now,
            avoid=run.avoided_hosts,
            # A task that is assigned and then lost with its assignee may end as unknown.
            within_capacity=run.is_at_most_once and spec.urgency is not Urgency.URGENT,
        )
        if choice is None:
            self._note_waiting(run)
            return 0
        host, count = choice
        indices = self._select_recorded(run, run.take(count))
        for index in indices:
            run.assigned_by_index[index] = Assigned(
                host=host, attempt=run.attempt_of(index), since=now
            )
            assigned_by_host.setdefault(host, []).append((run, index))
        if indices:
            run.waiting_reason = ""
            self._assignees.assigned(host, run.need, len(indices))
            self._notes.add_assigned((make_task_id(job_id, index) for index in indices), host)
        if run.waiting_count <= 0 or not indices:
            self._queue.discard(spec)
        return len(indices)

    def _select_recorded(self, run: JobRun, indices: list[int]) -> list[int]:
        """Return the tasks that may be assigned now; the others wait for their record."""
        if not run.is_at_most_once:
            return indices
        missing = [index for index in indices if not run.state.may_have_run(index)]
        if not missing:
            return indices
        run.awaiting_record.update(missing)
        self._intents.add(run.state.spec.job_id, missing)
        run.waiting_reason = "its tasks must not run twice: waits for their record in the log"
        return [index for index in indices if index not in run.awaiting_record]

    def _note_waiting(self, run: JobRun) -> None:
        fits = self._assignees.can_ever_run(run.need)
        reason = (
            "no worker owner has capacity or queue space"
            if fits
            else "no worker is large enough now"
        )
        if reason != run.waiting_reason:
            run.waiting_reason = reason
            self._notes.add("waits", (run.state.spec.job_id,), reason)

    def requeue_task(self, run: JobRun, index: int) -> None:
        """Return a task to the queue."""
        run.return_to_queue(index)
        self.requeue(run)

    def requeue(self, run: JobRun) -> None:
        """Queue a job if it has tasks to assign; gangs are started separately."""
        is_gang = run.state.spec.workload is Workload.GANG
        if not is_gang and run.waiting_count > 0:
            self._queue.add(run.state.spec)

    def delay(self, run: JobRun, index: int, until: float) -> None:
        """Delay a task until its next attempt."""
        run.delayed.add(index)
        heapq.heappush(self._delayed, (until, run.state.spec.job_id, index))

    def discard(self, run: JobRun) -> None:
        """Remove a job from the queue."""
        self._queue.discard(run.state.spec)

    def requeue_due(self, now: float) -> None:
        """Return delayed tasks to the queue once their retry time has come."""
        while self._delayed and self._delayed[0][0] <= now:
            _, job_id, index = heapq.heappop(self._delayed)
            run = self._runs_by_id.get(job_id)
            if run is not None and index in run.delayed:
                run.delayed.discard(index)
                self.requeue_task(run, index)
