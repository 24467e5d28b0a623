"""Order of waiting tasks: urgent by deadline, starving by age, then teams by dominant share.

All operations are O(log n) in tasks and teams. A scan tries a bounded number of tasks; a team none
of whose tasks fit is suspended until freed capacity could fit the smallest one tried, so that
rescanning costs nothing while the data centre is full.
"""

from collections.abc import Iterator, Mapping
from heapq import heappop, heappush
from math import inf
from typing import Final

from sortedcontainers import SortedDict, SortedList

from galenastall.coordination.placement.placement_settings import PlacementSettings
from galenastall.coordination.placement.team_accounts import TeamAccounts, with_descendants
from galenastall.coordination.placement.waiting import (
    Lane,
    TeamAccount,
    TeamLane,
    Waiting,
    WaitReason,
)
from galenastall.state.ids import TaskId, TeamPath
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import TaskSpec, Urgency

URGENT_TRIES: Final = 32
"""Urgent tasks that may fail to fit before a scan goes on to the teams."""
OVERDUE_TRIES: Final = 4
"""Starving tasks that may fail to fit in a scan."""
QUOTA_TRIES: Final = 8
"""Urgent tasks of a team at its quota that are retried when it releases capacity."""
JOB_TRIES: Final = 16
"""Jobs of one team tried before the team is suspended."""
TEAM_CLASSES: Final = (Urgency.NORMAL, Urgency.BACKFILL)
"""Classes ordered by teams' shares; a class is scanned to its end before the next one."""
SCAN_TRIES: Final = 128
"""Tasks of one class that may fail to fit in one scan."""


class TeamQueue:
    """The waiting tasks, in fair order."""

    def __init__(self, *, settings: PlacementSettings) -> None:
        """Start empty, with the teams that the settings name."""
        self._settings = settings
        self._total: Resources = NOTHING
        self._waiting_by_id: dict[TaskId, Waiting] = {}
        self._accounts = TeamAccounts(settings=settings)
        self._by_share = {urgency: SortedList() for urgency in TEAM_CLASSES}
        self._suspended: dict[tuple[Urgency, TeamPath], TeamLane] = {}
        self._urgent: SortedDict = SortedDict()
        self._overdue: SortedDict = SortedDict()
        self._at_quota_by_team: dict[TeamPath, SortedDict] = {}
        self._due_heap: list[tuple[float, int, TaskId]] = []
        self._counts_by_urgency = dict.fromkeys(Urgency, 0)
        self._seq = 0
        self._since_overdue = 0

    def apply_settings(self, settings: PlacementSettings) -> None:
        """Use other weights, quotas and starvation times from now on."""
        self._settings = settings
        self._accounts.apply_settings(settings)
        for account in self._accounts:
            self._resume_all(account)

    def set_total(self, total: Resources) -> None:
        """Set the total capacity of all owned workers, of which shares are computed."""
        self._total = total
        for account in self._accounts:
            self._reorder(account)

    def set_elsewhere(self, reserved_by_team: Mapping[TeamPath, Resources]) -> None:
        """Set what teams have reserved with other owners, for shares and quotas."""
        self._accounts.set_elsewhere(reserved_by_team)
        for account in self._accounts:
            self._resume_all(account)

    def add(self, task: TaskSpec, since: float, *, first: bool = False) -> Waiting | None:
        """Queue a task, ahead of its team's others if `first`; None if it is queued already."""
        if task.task_id in self._waiting_by_id:
            return None
        self._seq += 1
        waiting = Waiting(task=task, since=since, seq=self._seq)
        self._waiting_by_id[task.task_id] = waiting
        self._counts_by_urgency[task.urgency] += 1
        if task.urgency is Urgency.URGENT:
            deadline = inf if task.deadline is None else task.deadline
            waiting.lane = Lane.URGENT
            waiting.order = (deadline, waiting.seq)
            self._urgent[waiting.order] = waiting
            return waiting
        due_at = since + self._settings.starvation_of(task.urgency)
        heappush(self._due_heap, (due_at, waiting.seq, task.task_id))
        waiting.lane = Lane.TEAM
        lane = self._accounts.get(task.team).lanes_by_urgency[task.urgency]
        lane.add(waiting, first=first)
        if lane.suspended is not None and not _covers(lane.suspended, task.resources):
            self._resume(lane)
        self._reorder_lane(lane)
        return waiting

    def remove(self, task_id: TaskId) -> Waiting | None:
        """Dequeue a task that was placed or given up; None if it is not queued."""
        waiting = self._waiting_by_id.pop(task_id, None)
        if waiting is None:
            return None
        self._counts_by_urgency[waiting.task.urgency] -= 1
        if waiting.lane is Lane.URGENT:
            del self._urgent[waiting.order]
        elif waiting.lane is Lane.OVERDUE:
            del self._overdue[waiting.order]
        elif waiting.lane is Lane.AT_QUOTA:
            self._leave_quota_queue(waiting)
        else:
            self._leave_lane(waiting)
        waiting.lane = None
        return waiting

    def get(self, task_id: TaskId) -> Waiting | None:
        """Return a waiting task."""
        return self._waiting_by_id.get(task_id)

    def reason_of(self, waiting: Waiting) -> WaitReason:
        """Return why a task waits; an untried task has the reason of the first task of its job."""
        if waiting.lane is not Lane.TEAM or waiting.reason is not WaitReason.NOT_TRIED:
            return waiting.reason
        return self._lane_of(waiting).first_of_job(waiting).reason

    def charge(self, team: TeamPath, amount: Resources) -> None:
        """Add an amount reserved for a team."""
        account = self._accounts.get(team)
        account.add_reserved(amount, 1)
        self._reorder(account)

    def credit(self, team: TeamPath, amount: Resources) -> None:
        """Subtract an amount that a team released."""
        account = self._accounts.get(team)
        account.add_reserved(amount, -1)
        highest = account.highest_quota_account()
        if highest is None:
            self._reorder(account)
            return
        for other in with_descendants(highest):
            self._resume_all(other, urgent=QUOTA_TRIES)

    def allows(self, team: TeamPath, amount: Resources) -> bool:
        """Return whether the quotas of a team and its ancestors allow `amount` more."""
        return self._accounts.get(team).find_exceeded(amount) is None

    def exceeded_quota(
        self, team: TeamPath, amount: Resources
    ) -> tuple[TeamPath, Resources] | None:
        """Return the team and quota that `amount` more would exceed, if any."""
        return self._accounts.exceeded_quota(team, amount)

    def share(self, team: TeamPath) -> float:
        """Return a team's dominant share over its weight."""
        return self._accounts.get(team).share_of(self._total)

    def reserved_by_team(self) -> dict[TeamPath, Resources]:
        """Return what each team has reserved with this owner."""
        return self._accounts.reserved_by_team()

    def waiting_by_class(self) -> dict[str, int]:
        """Return how many tasks wait, by urgency."""
        return {urgency.name.lower(): count for urgency, count in self._counts_by_urgency.items()}

    def oldest(self) -> Waiting | None:
        """Return the task that was queued first."""
        return next(iter(self._waiting_by_id.values()), None)

    def on_capacity_freed(self, freed: tuple[int, int, int]) -> None:
        """Resume suspended teams whose smallest tried task would fit the freed amount."""
        if not self._suspended:
            return
        cores, memory, accelerators = freed
        for lane in list(self._suspended.values()):
            suspended = lane.suspended
            if suspended is None:
                continue
            if suspended[0] <= cores and suspended[1] <= memory and suspended[2] <= accelerators:
                self._resume(lane)
                self._reorder_lane(lane)

    def scan(self, now: float) -> Iterator[Waiting]:
        """Yield tasks in the order in which to try them; the caller removes those it placed."""
        self._promote(now)
        if self._overdue and self._since_overdue >= self._settings.overdue_every - 1:
            yield from self._scan_overdue(now)
        yield from self._scan_urgent(now)
        yield from self._scan_overdue(now)
        for urgency in TEAM_CLASSES:
            yield from self._scan_teams(urgency)

    def by_arrival(self) -> list[Waiting]:
        """Return all waiting tasks in order of arrival."""
        return list(self._waiting_by_id.values())

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, task_id: object) -> bool:
        return task_id in self._waiting_by_id

    def _scan_urgent(self, now: float) -> Iterator[Waiting]:
        misses = 0
        position = 0
        while position < len(self._urgent) and misses < URGENT_TRIES:
            waiting: Waiting = self._urgent.peekitem(position)[1]
            yield waiting
            if waiting.lane is None:
                self._since_overdue += 1
                if self._overdue and self._since_overdue >= self._settings.overdue_every - 1:
                    yield from self._scan_overdue(now)
                continue
            if waiting.reason is WaitReason.QUOTA:
                self._hold_at_quota(waiting)
                continue
            misses += 1
            position += 1

    def _scan_overdue(self, now: float) -> Iterator[Waiting]:
        misses = 0
        position = 0
        while position < len(self._overdue) and misses < OVERDUE_TRIES:
            waiting: Waiting = self._overdue.peekitem(position)[1]
            yield waiting
            if waiting.lane is None:
                self._since_overdue = 0
            elif waiting.reason is WaitReason.QUOTA:
                self._return_to_team(waiting, now)
            else:
                misses += 1
                position += 1

    def _scan_teams(self, urgency: Urgency) -> Iterator[Waiting]:
        by_share = self._by_share[urgency]
        misses = 0
        while by_share and misses < SCAN_TRIES:
            lane = self._accounts.get(by_share[0][1]).lanes_by_urgency[urgency]
            smallest: tuple[int, int, int] | None = None
            placed = False
            for waiting in lane.heads(JOB_TRIES):
                yield waiting
                if waiting.lane is None:
                    placed = True
                    self._since_overdue += 1
                    break
                misses += 1
                smallest = _smaller(smallest, waiting.task.resources)
            if not placed:
                self._suspend(lane, smallest)

    def _promote(self, now: float) -> None:
        while self._due_heap and self._due_heap[0][0] <= now:
            _, seq, task_id = heappop(self._due_heap)
            waiting = self._waiting_by_id.get(task_id)
            if waiting is None or waiting.seq != seq or waiting.lane is not Lane.TEAM:
                continue
            self._leave_lane(waiting)
            waiting.lane = Lane.OVERDUE
            self._overdue[waiting.order] = waiting

    def _hold_at_quota(self, waiting: Waiting) -> None:
        """Set an urgent task aside until its team is below its quota again."""
        del self._urgent[waiting.order]
        waiting.lane = Lane.AT_QUOTA
        held = self._at_quota_by_team.setdefault(waiting.task.team, SortedDict())
        held[waiting.order] = waiting

    def _leave_quota_queue(self, waiting: Waiting) -> None:
        held = self._at_quota_by_team[waiting.task.team]
        del held[waiting.order]
        if not held:
            del self._at_quota_by_team[waiting.task.team]

    def _return_to_team(self, waiting: Waiting, now: float) -> None:
        """Return a starving task to its team's lane: waiting for a quota is not starvation."""
        del self._overdue[waiting.order]
        waiting.lane = Lane.TEAM
        due_at = now + self._settings.starvation_of(waiting.task.urgency)
        heappush(self._due_heap, (due_at, waiting.seq, waiting.task.task_id))
        lane = self._lane_of(waiting)
        lane.add(waiting, first=True)
        self._reorder_lane(lane)

    def _lane_of(self, waiting: Waiting) -> TeamLane:
        task = waiting.task
        return self._accounts.get(task.team).lanes_by_urgency[task.urgency]

    def _leave_lane(self, waiting: Waiting) -> None:
        lane = self._lane_of(waiting)
        lane.remove(waiting)
        if not lane.tasks_by_job:
            self._resume(lane)
            self._reorder_lane(lane)

    def _reorder(self, account: TeamAccount) -> None:
        for lane in account.lanes_by_urgency.values():
            if lane.key is not None:
                self._reorder_lane(lane)

    def _reorder_lane(self, lane: TeamLane) -> None:
        wanted = None
        if lane.suspended is None and lane.tasks_by_job:
            wanted = (lane.account.share_of(self._total), lane.account.path)
        if wanted == lane.key:
            return
        if lane.key is not None:
            self._by_share[lane.urgency].remove(lane.key)
        if wanted is not None:
            self._by_share[lane.urgency].add(wanted)
        lane.key = wanted

    def _suspend(self, lane: TeamLane, smallest: tuple[int, int, int] | None) -> None:
        lane.suspended = smallest or (0, 0, 0)
        self._suspended[lane.urgency, lane.account.path] = lane
        self._reorder_lane(lane)

    def _resume(self, lane: TeamLane) -> None:
        if lane.suspended is None:
            return
        lane.suspended = None
        del self._suspended[lane.urgency, lane.account.path]

    def _resume_all(self, account: TeamAccount, *, urgent: int | None = None) -> None:
        """Retry all of a team's tasks, and the first `urgent` (None: all) of its urgent ones."""
        for lane in account.lanes_by_urgency.values():
            self._resume(lane)
            self._reorder_lane(lane)
        at_quota = self._at_quota_by_team.get(account.path)
        if at_quota is None:
            return
        for waiting in list(at_quota.values()[:urgent]):
            self._leave_quota_queue(waiting)
            waiting.lane = Lane.URGENT
            self._urgent[waiting.order] = waiting


def _covers(suspended: tuple[int, int, int], need: Resources) -> bool:
    return (
        suspended[0] <= need.cores_milli
        and suspended[1] <= need.memory_mb
        and suspended[2] <= need.accelerators
    )


def _smaller(smallest: tuple[int, int, int] | None, need: Resources) -> tuple[int, int, int]:
    if smallest is None:
        return need.cores_milli, need.memory_mb, need.accelerators
    return (
        min(smallest[0], need.cores_milli),
        min(smallest[1], need.memory_mb),
        min(smallest[2], need.accelerators),
    )
