"""Choose the entry hosts that get tasks, as owners of workers, by gossiped capacity summaries.

Summaries lag, so tasks assigned since the last one are deducted from the free capacity it showed.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.placement.placement_commands import CapacitySummary, LargestAmount
from galenastall.state.ids import HostId
from galenastall.state.resources import NOTHING, Resources
from galenastall.state.work import Urgency

DEFAULT_BACKLOG: Final = 256
"""Tasks of one shard that may wait at one assignee: enough for a worker owner to choose from."""
URGENT_EXTRA: Final = 256
"""Extra backlog for urgent tasks: these may preempt, which only the assignee can decide."""
OVERCOMMIT_CHUNK: Final = 16
"""Tasks assigned at once to a host that has no free capacity now."""
AVOID_S: Final = 1.0
"""How long an assignee that refused tasks is skipped, in seconds."""


@dataclass(kw_only=True, slots=True)
class _Assignee:
    summary: CapacitySummary
    pending: Resources = NOTHING
    queued: int = 0
    """Tasks of this shard that are assigned there and not yet reported as started."""
    avoid_until: float = 0.0

    def count_placeable(self, need: Resources) -> int:
        """Return how many such tasks fit at most, none of them split over two workers."""
        largest = NOTHING
        for hole in self.summary.holes:
            largest = largest.at_least(hole.free)
        in_workers = self.summary.workers * count_fitting(largest, need)
        return min(count_fitting(self.summary.free - self.pending, need), in_workers)


def fits_some_worker(summary: CapacitySummary, need: Resources) -> bool:
    """Return whether some worker of the host is large enough when empty."""
    return _fits_one(summary.largest_worker, need)


def count_fitting(capacity: Resources, need: Resources) -> int:
    """Return how many tasks of this size the total capacity would hold; an upper bound."""
    bounds = [
        free // asked
        for free, asked in (
            (capacity.cores_milli, need.cores_milli),
            (capacity.memory_mb, need.memory_mb),
            (capacity.accelerators, need.accelerators),
        )
        if asked > 0
    ]
    return max(min(bounds), 0) if bounds else DEFAULT_BACKLOG


class AssigneeTable:
    """The live worker owners of a data centre as one job shard sees them."""

    def __init__(self, *, backlog: int = DEFAULT_BACKLOG) -> None:
        """Start without hosts; `backlog` bounds the tasks that wait at each assignee."""
        self._backlog = backlog
        self._by_host: dict[HostId, _Assignee] = {}

    def update(self, summaries: Mapping[HostId, CapacitySummary]) -> None:
        """Replace the summaries; a host without one gets no more tasks."""
        kept = self._by_host
        self._by_host = {}
        for host, summary in sorted(summaries.items()):
            known = kept.get(host)
            if known is None:
                self._by_host[host] = _Assignee(summary=summary)
                continue
            if known.summary is not summary:
                known.summary = summary
                known.pending = NOTHING
            self._by_host[host] = known

    def forget(self, host: HostId) -> None:
        """Drop the counts of a host, since its process has been replaced."""
        self._by_host.pop(host, None)

    def hosts(self) -> tuple[HostId, ...]:
        """Return the hosts that tasks may be assigned to."""
        return tuple(self._by_host)

    def avoid(self, host: HostId, now: float) -> None:
        """Skip a host for `AVOID_S` seconds, since it refused tasks."""
        if host in self._by_host:
            self._by_host[host].avoid_until = now + AVOID_S

    def choose(
        self,
        *,
        need: Resources,
        urgency: Urgency,
        max_tasks: int,
        now: float,
        avoid: Container[HostId] = (),
        within_capacity: bool = False,
    ) -> tuple[HostId, int] | None:
        """Return a host and how many of `max_tasks` like tasks to assign there; None if nowhere.

        The host with the most free capacity comes first. Beyond that capacity a host gets a
        bounded backlog, so that it can choose between tasks of all teams. Hosts in `avoid`
        come last. With `within_capacity` no host gets more than its free capacity.
        """
        limit = self._backlog + (URGENT_EXTRA if urgency is Urgency.URGENT else 0)
        best: tuple[bool, int, int, HostId] | None = None
        for host, each in self._by_host.items():
            if each.queued >= limit or each.avoid_until > now:
                continue
            if not fits_some_worker(each.summary, need):
                continue
            fitting = count_fitting(each.summary.free - each.pending, need)
            if within_capacity and fitting <= 0:
                continue
            rank = (host not in avoid, fitting, -each.queued)
            if best is None or rank > best[:3]:
                best = (*rank, host)
        if best is None:
            return None
        _, fitting, _, host = best
        capacity = fitting if fitting > 0 else OVERCOMMIT_CHUNK
        return host, min(max_tasks, capacity, limit - self._by_host[host].queued)

    def hosts_with_capacity(self, need: Resources) -> dict[HostId, int]:
        """Return how many such tasks each host could start now, for those that could."""
        fitting = {
            host: count_fitting(each.summary.free - each.pending, need)
            for host, each in self._by_host.items()
            if any(need.fits_in(hole.free) for hole in each.summary.holes)
        }
        return {host: count for host, count in fitting.items() if count > 0}

    def assigned(self, host: HostId, need: Resources, count: int) -> None:
        """Count tasks against a host's free capacity and backlog."""
        each = self._by_host.get(host)
        if each is None:
            return
        each.queued += count
        each.pending = each.pending + _multiply(need, count)

    def reserve(self, host: HostId, need: Resources, count: int) -> None:
        """Count tasks against a host's free capacity but not its backlog, as for a gang's hold."""
        self.assigned(host, need, count)
        self.unqueued(host, count)

    def unqueued(self, host: HostId, count: int = 1) -> None:
        """Reduce a host's backlog by tasks that started, ended or were returned."""
        each = self._by_host.get(host)
        if each is not None:
            each.queued = max(each.queued - count, 0)

    def plan_gang(self, *, need: Resources, tasks: int, now: float) -> dict[HostId, int] | None:
        """Return how many tasks of a gang to hold at which host, using as few hosts as possible."""
        fitting = sorted(
            (
                (each.count_placeable(need), host)
                for host, each in self._by_host.items()
                if each.avoid_until <= now and fits_some_worker(each.summary, need)
            ),
            key=lambda entry: (-entry[0], entry[1]),
        )
        planned: dict[HostId, int] = {}
        missing = tasks
        for count, host in fitting:
            if missing == 0 or count == 0:
                break
            planned[host] = min(count, missing)
            missing -= planned[host]
        return dict(sorted(planned.items())) if missing == 0 else None

    def can_ever_run(self, need: Resources) -> bool:
        """Return whether some worker that is known now is large enough when empty."""
        return any(fits_some_worker(each.summary, need) for each in self._by_host.values())


def _fits_one(holes: tuple[LargestAmount, ...], need: Resources) -> bool:
    return any(need.fits_in(hole.free) for hole in holes)


def _multiply(need: Resources, count: int) -> Resources:
    return Resources(
        cores_milli=need.cores_milli * count,
        memory_mb=need.memory_mb * count,
        accelerators=need.accelerators * count,
    )
