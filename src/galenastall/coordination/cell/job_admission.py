"""Decides which submitted jobs are refused because of the backlog, and when callers may return.

Addresses this load: jobs arrive at more than twice the rate at which executors can run them, for
seconds. A job that can't be done while it has value is refused before anything is stored, so that
its caller knows at once and no advice, no row and no executor is spent on it.
"""

from dataclasses import dataclass
from math import ceil
from typing import Final

from galenastall.coordination.cell.backlog import Backlog
from galenastall.coordination.cell.objectives import longest_chain_s, worthless_at
from galenastall.coordination.cell.wait_queue import OrderKey, WaitingStep
from galenastall.state.resources import NOTHING, Resources

ENTER_FACTOR: Final = 1.5
"""Jobs of a kind are refused once one would wait this many times as long as it may: declared run
times and the release rate may be off by as much."""
LEAVE_FACTOR: Final = 1.2
"""They are accepted again once one would wait at most this many times as long as it may."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JobKind:
    """What the hysteresis of refusals tells apart."""

    queue: str
    is_within_rate: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class NewJob:
    """A submitted job that is not stored, with what decides on it; times in seconds from now."""

    kind: JobKind
    key: OrderKey
    """Its position in the order of waiting work."""
    need: Resources
    """What the tasks that it starts with need together."""
    task: Resources
    """The most that one of these tasks needs."""
    work_s: float
    """Its longest chain of declared run times."""
    objective_s: float
    worthless_s: float

    @property
    def may_wait_s(self) -> float:
        """For how long it may wait before it ends without value."""
        return max(self.worthless_s - self.work_s, 0.0)

    @property
    def starts_in_time_s(self) -> float:
        """For how long it may wait if it is to be done in time."""
        return max(self.objective_s - self.work_s, 0.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadRefusal:
    """Why a job is refused for load, and when there is capacity for its caller."""

    job: NewJob
    wait_s: float
    """How long it would wait."""
    share_ahead: float
    """Work before it, as a share of all capacity."""
    turnover_per_s: float

    @property
    def free_in_s(self) -> float:
        """Seconds after which a new job like it would be done in time."""
        return max(self.wait_s - self.job.starts_in_time_s, 0.0)

    @property
    def reason(self) -> str:
        """Why, as a metric's label: what the caller or operator can change."""
        return "capacity" if self.job.kind.is_within_rate else "beyond_rate"

    @property
    def cause(self) -> str:
        """Why, for the caller."""
        beyond = "" if self.job.kind.is_within_rate else ", as its workspace is beyond its rate"
        return (
            f"overloaded: it would wait {self.wait_s:.1f} s{beyond}, and could not be done in time;"
            " a new job like it could after the time to return"
        )


def decide(job: NewJob, backlog: Backlog, *, is_refusing: bool) -> LoadRefusal | None:
    """Return why a job is refused; None to accept it.

    `is_refusing`: whether the last job of its kind was refused.
    """
    wait_s = backlog.wait_s(job.key, job.need, job.task)
    if wait_s is None or backlog.turnover_per_s is None:
        return None
    factor = LEAVE_FACTOR if is_refusing else ENTER_FACTOR
    if wait_s <= factor * job.may_wait_s:
        return None
    return LoadRefusal(
        job=job,
        wait_s=wait_s,
        share_ahead=backlog.share_ahead(job.key, job.task),
        turnover_per_s=backlog.turnover_per_s,
    )


def describe(waiting: list[WaitingStep], key: OrderKey, *, wall: float) -> NewJob:
    """Return what decides on a job whose first steps are `waiting`; the first goes first."""
    first = waiting[0]
    objective, begins_at = first.occurrence.objective, first.occurrence.begins_at
    need = task = NOTHING
    for each in waiting:
        task = task.at_least(each.step.step.need)
        need = need + each.step.step.need.times(each.step.step.count)
    return NewJob(
        kind=JobKind(queue=first.queue.name, is_within_rate=first.job.is_within_rate),
        key=key,
        need=need,
        task=task,
        work_s=longest_chain_s(first.job.job.steps, first.queue),
        objective_s=objective - wall,
        worthless_s=worthless_at(objective=objective, begins_at=begins_at) - wall,
    )


def whole_seconds(seconds: float) -> int:
    """Return a time to return as callers are told it: whole seconds, at least one."""
    return max(ceil(seconds), 1)
