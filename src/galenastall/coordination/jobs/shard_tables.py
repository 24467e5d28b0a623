"""State shared by the parts of one job shard's core."""

from galenastall.coordination.jobs.assignees import AssigneeTable
from galenastall.coordination.jobs.gang_coordinator import GangCoordinator
from galenastall.coordination.jobs.job_ends import JobEnds
from galenastall.coordination.jobs.job_run import JobRun
from galenastall.coordination.jobs.shard_commands import ShardSettings
from galenastall.coordination.jobs.shard_notes import ShardNotes
from galenastall.coordination.jobs.task_dispatcher import TaskDispatcher
from galenastall.coordination.jobs.task_intents import TaskIntents
from galenastall.state.ids import HostId, JobId, TaskId


class ShardTables:
    """Jobs, the assignment of their tasks, and what is to be sent and written."""

    def __init__(self, *, shard: int, settings: ShardSettings) -> None:
        """Create empty tables."""
        self.settings = settings
        self.assignees = AssigneeTable(backlog=settings.backlog)
        self.ends = JobEnds(shard=shard)
        self.intents = TaskIntents(shard=shard)
        self.gangs = GangCoordinator(
            settings=settings, assignees=self.assignees, intents=self.intents
        )
        self.runs_by_id: dict[JobId, JobRun] = {}
        self.notes = ShardNotes()
        self.dispatcher = TaskDispatcher(
            runs_by_id=self.runs_by_id,
            assignees=self.assignees,
            intents=self.intents,
            notes=self.notes,
        )
        self.stops: dict[HostId, dict[TaskId, int]] = {}
        self.unconfirmed_jobs: set[JobId] = set()
        self.duplicates = 0
        """Tasks that were found at two workers; each is an alarm."""
        self.doubts = 0
        """Rises with each newly unconfirmed task: a census that began before doesn't cover it."""

    def mark_unconfirmed(self, run: JobRun, index: int) -> None:
        """Mark a task unconfirmed: only a census tells whether it is queued or running."""
        run.assigned_by_index.pop(index, None)
        if index in run.unconfirmed:
            return
        run.unconfirmed.add(index)
        self.unconfirmed_jobs.add(run.state.spec.job_id)
        self.doubts += 1

    def stop_task(self, host: HostId, task_id: TaskId, attempt: int) -> None:
        """Request that an attempt be stopped, with the next decision."""
        self.stops.setdefault(host, {})[task_id] = attempt
