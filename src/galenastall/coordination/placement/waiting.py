"""A waiting task, and the waiting tasks and reserved amounts of one team."""

from collections import OrderedDict
from collections.abc import Iterator
from enum import StrEnum
from itertools import islice

from galenastall.coordination.placement.placement_commands import TeamShare
from galenastall.state.ids import JobId, TaskId, TeamPath
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import TaskSpec, Urgency


class WaitReason(StrEnum):
    """Why the last attempt to place a task failed."""

    NOT_TRIED = "not tried yet"
    NO_CAPACITY = "no worker has enough free capacity"
    QUOTA = "its team is at its quota"
    PROMISED = "capacity of a worker is promised to it"


class Lane(StrEnum):
    """Which part of the queue a task is in."""

    URGENT = "urgent"
    AT_QUOTA = "at_quota"
    """Urgent, and set aside while its team is at its quota."""
    OVERDUE = "overdue"
    TEAM = "team"


class Waiting:
    """One waiting task; `lane` is None once it has left the queue."""

    __slots__ = ("lane", "order", "reason", "seq", "since", "task")

    def __init__(self, *, task: TaskSpec, since: float, seq: int) -> None:
        """`since`: start of the wait in wall seconds; `seq`: tie-breaker in arrival order."""
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

    __slots__ = ("account", "key", "suspended", "tasks_by_job", "urgency")

    def __init__(self, *, account: "TeamAccount", urgency: Urgency) -> None:
        """Start with nothing waiting."""
        self.account = account
        self.urgency = urgency
        self.key: tuple[float, TeamPath] | None = None
        self.suspended: tuple[int, int, int] | None = None
        self.tasks_by_job: OrderedDict[JobId, OrderedDict[TaskId, Waiting]] = OrderedDict()

    def add(self, waiting: Waiting, *, first: bool) -> None:
        """Append a task to its job's, or put it and its job ahead of the others if `first`."""
        task = waiting.task
        tasks = self.tasks_by_job.get(task.job_id)
        if tasks is None:
            tasks = self.tasks_by_job[task.job_id] = OrderedDict()
        tasks[task.task_id] = waiting
        if first:
            tasks.move_to_end(task.task_id, last=False)
            self.tasks_by_job.move_to_end(task.job_id, last=False)

    def remove(self, waiting: Waiting) -> None:
        """Remove a task that waits here."""
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


class TeamAccount:
    """A team's weight, quota and reserved amounts, and its lanes of waiting tasks."""

    __slots__ = (
        "accelerators",
        "children",
        "cores",
        "elsewhere",
        "elsewhere_total",
        "lanes_by_urgency",
        "memory",
        "parent",
        "path",
        "quota",
        "reserved_total",
        "weight",
    )

    def __init__(self, *, path: TeamPath, share: TeamShare, parent: "TeamAccount | None") -> None:
        """Start with nothing waiting or reserved; `parent` is the team that this is part of."""
        self.path = path
        self.weight = share.weight
        self.quota = share.quota
        self.parent = parent
        self.children: list[TeamAccount] = []
        if parent is not None:
            parent.children.append(self)
        self.reserved_total: Resources = NOTHING
        self.elsewhere_total: Resources = NOTHING
        self.cores = 0
        self.memory = 0
        self.accelerators = 0
        self.elsewhere: Resources = NOTHING
        self.lanes_by_urgency = {
            urgency: TeamLane(account=self, urgency=urgency)
            for urgency in (Urgency.NORMAL, Urgency.BACKFILL)
        }

    def share_of(self, total: Resources) -> float:
        """Return the dominant-resource share divided by the weight."""
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

    def add_reserved(self, amount: Resources, sign: int) -> None:
        """Add (`sign` 1) or subtract (-1) an amount here and in the totals of all ancestors."""
        self.cores += sign * amount.cores_milli
        self.memory += sign * amount.memory_mb
        self.accelerators += sign * amount.accelerators
        account: TeamAccount | None = self
        while account is not None:
            before = account.reserved_total
            account.reserved_total = before + amount if sign > 0 else before - amount
            account = account.parent

    def find_exceeded(self, amount: Resources) -> "TeamAccount | None":
        """Return this team or the ancestor whose quota `amount` more would exceed."""
        account: TeamAccount | None = self
        while account is not None:
            if account.quota is not None:
                taken = account.reserved_total + account.elsewhere_total + amount
                if not taken.fits_in(account.quota):
                    return account
            account = account.parent
        return None

    def highest_quota_account(self) -> "TeamAccount | None":
        """Return the topmost team with a quota among this one and its ancestors."""
        highest: TeamAccount | None = None
        account: TeamAccount | None = self
        while account is not None:
            if account.quota is not None:
                highest = account
            account = account.parent
        return highest
