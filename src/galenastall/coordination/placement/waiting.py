"""A task that waits, and the tasks of one team in the order in which they go."""

from collections import OrderedDict
from collections.abc import Iterator
from enum import StrEnum
from itertools import islice

from galenastall.coordination.placement.placement_commands import TeamShare
from galenastall.state.ids import JobId, TaskId, TeamPath
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import TaskSpec, Urgency


class WaitReason(StrEnum):
    """Why the last try to place a task did not succeed."""

    NOT_TRIED = "not tried yet"
    ROOM = "no worker has room"
    QUOTA = "its team is at its quota"
    PROMISED = "a worker is being emptied for it"


class Lane(StrEnum):
    """Which part of the queue a task is in."""

    URGENT = "urgent"
    AT_QUOTA = "at_quota"
    """Urgent, and kept aside while its team is at its quota."""
    OVERDUE = "overdue"
    TEAM = "team"


class Waiting:
    """One waiting task; `lane` is None once it left the queue."""

    __slots__ = ("lane", "order", "reason", "seq", "since", "task")

    def __init__(self, *, task: TaskSpec, since: float, seq: int) -> None:
        """Record since when it waits, in wall seconds, and its place among equals."""
        self.task = task
        self.since = since
        self.seq = seq
        self.lane: Lane | None = None
        self.order: tuple[float, int] = (since, seq)
        self.reason = WaitReason.NOT_TRIED


class TeamLane:
    """A team's waiting tasks of one class, grouped by job.

    Tasks of one job are alike, so that only the first of each job has to be tried.
    """

    __slots__ = ("key", "line", "parked", "tasks_by_job", "urgency")

    def __init__(self, *, line: "TeamLine", urgency: Urgency) -> None:
        """Start with nothing waiting."""
        self.line = line
        self.urgency = urgency
        self.key: tuple[float, TeamPath] | None = None
        self.parked: tuple[int, int, int] | None = None
        self.tasks_by_job: OrderedDict[JobId, OrderedDict[TaskId, Waiting]] = OrderedDict()

    def add(self, waiting: Waiting, *, first: bool) -> None:
        """Let a task wait behind, or ahead of, the team's others of its class."""
        task = waiting.task
        tasks = self.tasks_by_job.get(task.job_id)
        if tasks is None:
            tasks = self.tasks_by_job[task.job_id] = OrderedDict()
        tasks[task.task_id] = waiting
        if first:
            tasks.move_to_end(task.task_id, last=False)
            self.tasks_by_job.move_to_end(task.job_id, last=False)

    def remove(self, waiting: Waiting) -> None:
        """Take out a task that waits here."""
        job_id = waiting.task.job_id
        tasks = self.tasks_by_job[job_id]
        del tasks[waiting.task.task_id]
        if not tasks:
            del self.tasks_by_job[job_id]

    def heads(self, limit: int) -> Iterator[Waiting]:
        """Return the first task of each of the first `limit` jobs."""
        for tasks in list(islice(self.tasks_by_job.values(), limit)):
            yield next(iter(tasks.values()))

    def first_of_job(self, waiting: Waiting) -> Waiting:
        """Return the task of the same job that is tried first."""
        return next(iter(self.tasks_by_job[waiting.task.job_id].values()))


class TeamLine:
    """What a team may have and has reserved, and its lanes of waiting tasks."""

    __slots__ = (
        "above",
        "accelerators",
        "below",
        "cores",
        "elsewhere",
        "elsewhere_below",
        "lanes_by_urgency",
        "memory",
        "path",
        "quota",
        "reserved_below",
        "weight",
    )

    def __init__(self, *, path: TeamPath, share: TeamShare, above: "TeamLine | None") -> None:
        """Start with nothing waiting or reserved; `above` is the team that this is part of."""
        self.path = path
        self.weight = share.weight
        self.quota = share.quota
        self.above = above
        self.below: list[TeamLine] = []
        if above is not None:
            above.below.append(self)
        self.reserved_below: Resources = NOTHING
        self.elsewhere_below: Resources = NOTHING
        self.cores = 0
        self.memory = 0
        self.accelerators = 0
        self.elsewhere: Resources = NOTHING
        self.lanes_by_urgency = {
            urgency: TeamLane(line=self, urgency=urgency)
            for urgency in (Urgency.NORMAL, Urgency.BACKFILL)
        }

    def share_of(self, total: Resources) -> float:
        """Return the dominant-resource share over the weight."""
        cores = self.cores + self.elsewhere.cores_milli
        memory = self.memory + self.elsewhere.memory_mb
        accelerators = self.accelerators + self.elsewhere.accelerators
        share = 0.0
        if total.cores_milli:
            share = cores / total.cores_milli
        if total.memory_mb:
            share = max(share, memory / total.memory_mb)
        if total.accelerators:
            share = max(share, accelerators / total.accelerators)
        return share / self.weight

    def take(self, amount: Resources, sign: int) -> None:
        """Count an amount in (1) or out (-1), here and in quotas of the teams above."""
        self.cores += sign * amount.cores_milli
        self.memory += sign * amount.memory_mb
        self.accelerators += sign * amount.accelerators
        line: TeamLine | None = self
        while line is not None:
            before = line.reserved_below
            line.reserved_below = before + amount if sign > 0 else before - amount
            line = line.above

    def find_full(self, amount: Resources) -> "TeamLine | None":
        """Return the team, this or one above, whose quota leaves no room for `amount` more."""
        line: TeamLine | None = self
        while line is not None:
            if line.quota is not None:
                taken = line.reserved_below + line.elsewhere_below + amount
                if not taken.fits_in(line.quota):
                    return line
            line = line.above
        return None

    def bounded_by(self) -> "TeamLine | None":
        """Return the highest team with a quota among this and those above."""
        highest: TeamLine | None = None
        line: TeamLine | None = self
        while line is not None:
            if line.quota is not None:
                highest = line
            line = line.above
        return highest
