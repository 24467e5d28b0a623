"""Admit requests to a bounded queue and dispatch them by class, team share and deadline.

A request that cannot meet its deadline is refused or dropped before anything is sent to an
upstream, so `not run` is always correct and reaches the caller while it can still react.
"""

import heapq
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from galenastall.coordination.requests.rates import ArrivalRate, DrainRate
from galenastall.state.ids import RequestId, TeamPath
from galenastall.state.work import Urgency

MIN_COST_S: Final = 0.001
"""Minimum service time charged to a team, in seconds, so that shares stay finite."""
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 30.0
OVERTAKEN_SLACK: Final = 1.5
"""A request counts as overtaken if its expected wait exceeds this many times the time left."""
PRUNE_SLACK: Final = 1_000
"""Stale heap entries tolerated beyond four per waiting request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionLimits:
    """Bounds of the queue; all can be changed while the process runs."""

    waiting: int = 1_000
    """Requests that may wait, over all classes and teams."""
    waiting_per_team: int = 500
    """Requests that one team may have waiting."""
    waiting_by_team: Mapping[TeamPath, int] = field(default_factory=dict)
    """Overrides of `waiting_per_team` by team."""
    wait_share: float = 0.5
    """Largest expected wait, as a share of the time to the request's latest start."""
    lower_class_every: int = 20
    """Every n-th dispatched request is of the lowest waiting class, so that none starves."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRequest:
    """One request as the queue sees it."""

    request_id: RequestId
    team: TeamPath
    urgency: Urgency
    deadline: float
    """Monotonic time in seconds by which the caller needs the complete response."""
    service_s: float = 0.0
    """Shortest expected run time, in seconds; 0 if unknown."""

    @property
    def latest_start(self) -> float:
        """Monotonic time after which a start can no longer meet the deadline."""
        return self.deadline - self.service_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why a request was refused, and when to retry."""

    reason: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferResult:
    """The result of an offer: refused, or queued, possibly displacing another request."""

    refusal: Refusal | None = None
    displaced: WaitingRequest | None = None


@dataclass(frozen=True, slots=True)
class _Entry:
    """A queued request; heaps refer to it by sequence, since an id may be queued twice."""

    sequence: int
    request: WaitingRequest


_Entries = dict[RequestId, _Entry]


def _queued_request(
    entries_by_id: _Entries, sequence: int, request_id: RequestId
) -> WaitingRequest | None:
    entry = entries_by_id.get(request_id)
    return entry.request if entry is not None and entry.sequence == sequence else None


class _TeamQueue:
    """A team's requests of one class by deadline; removed ones are skipped when popped."""

    __slots__ = ("heap", "size")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, RequestId]] = []
        self.size = 0


class _ClassQueue:
    """One class: start-time fair queueing between teams, earliest deadline within a team."""

    def __init__(self) -> None:
        self.size = 0
        self._virtual = 0.0
        self._queues_by_team: dict[TeamPath, _TeamQueue] = {}
        self._finish_by_team: dict[TeamPath, float] = {}
        self._starts: list[tuple[float, int, TeamPath]] = []

    def add(self, request: WaitingRequest, sequence: int) -> None:
        """Queue a request; a team that was idle starts at the class's virtual time."""
        queue = self._queues_by_team.get(request.team)
        if queue is None:
            queue = self._queues_by_team[request.team] = _TeamQueue()
            start = max(self._virtual, self._finish_by_team.pop(request.team, 0.0))
            heapq.heappush(self._starts, (start, sequence, request.team))
        heapq.heappush(queue.heap, (request.deadline, sequence, request.request_id))
        queue.size += 1
        self.size += 1

    def forget(self, request: WaitingRequest) -> None:
        """Count a request as removed; its heap entry is skipped when popped."""
        self._queues_by_team[request.team].size -= 1
        self.size -= 1

    def take(
        self, entries_by_id: _Entries, weights: Mapping[TeamPath, float]
    ) -> WaitingRequest | None:
        """Remove and return the next request, or None if the class is empty."""
        while self._starts:
            start, sequence, team = heapq.heappop(self._starts)
            request = self._take_of(team, entries_by_id)
            if request is None:
                del self._queues_by_team[team]
                self._save_finish_time(team, start)
                continue
            self._virtual = max(self._virtual, start)
            cost = max(request.service_s, MIN_COST_S) / weights.get(team, 1.0)
            heapq.heappush(self._starts, (start + cost, sequence, team))
            return request
        return None

    def _take_of(self, team: TeamPath, entries_by_id: _Entries) -> WaitingRequest | None:
        queue = self._queues_by_team[team]
        while queue.heap:
            _, sequence, request_id = heapq.heappop(queue.heap)
            request = _queued_request(entries_by_id, sequence, request_id)
            if request is None:
                continue
            queue.size -= 1
            self.size -= 1
            return request
        return None

    def _save_finish_time(self, team: TeamPath, start: float) -> None:
        if start > self._virtual:
            self._finish_by_team[team] = start
        if len(self._finish_by_team) > len(self._queues_by_team) + 1_000:
            kept = {t: f for t, f in self._finish_by_team.items() if f > self._virtual}
            self._finish_by_team = kept

    def largest_team(self) -> TeamPath | None:
        """Return the team with the most waiting requests."""
        if not self.size:
            return None
        return max(self._queues_by_team, key=lambda team: self._queues_by_team[team].size)

    def latest_of(self, team: TeamPath, entries_by_id: _Entries) -> WaitingRequest | None:
        """Return the team's request with the latest deadline."""
        heap = self._queues_by_team[team].heap
        found = (_queued_request(entries_by_id, sequence, one) for _, sequence, one in heap)
        alive = (request for request in found if request is not None)
        return max(alive, key=lambda request: request.deadline, default=None)

    @property
    def active_teams(self) -> int:
        """Teams with requests of this class; emptied ones count until `take` meets them."""
        return len(self._queues_by_team)

    def size_of(self, team: TeamPath) -> int:
        """Return the number of waiting requests of the team."""
        queue = self._queues_by_team.get(team)
        return queue.size if queue else 0


class Admission:
    """The bounded queue of one entry host."""

    def __init__(
        self, *, limits: AdmissionLimits, weights_by_team: Mapping[TeamPath, float] | None = None
    ) -> None:
        """Create an empty queue; a team without a weight has weight 1."""
        self.limits = limits
        self.weights_by_team: Mapping[TeamPath, float] = weights_by_team or {}
        self._classes = {urgency: _ClassQueue() for urgency in Urgency}
        self._entries_by_id: _Entries = {}
        self._latest_starts: list[tuple[float, int, RequestId]] = []
        self._sequence = 0
        self._taken = 0
        self._drain = DrainRate()
        self._arrivals = {urgency: ArrivalRate() for urgency in Urgency}

    def __len__(self) -> int:
        return len(self._entries_by_id)

    def waiting_of(self, urgency: Urgency) -> int:
        """Return the number of waiting requests of a class."""
        return self._classes[urgency].size

    def offer(self, *, request: WaitingRequest, now: float) -> OfferResult:
        """Queue the request, or refuse it with a hint when to retry."""
        refusal = self._refusal(request, now)
        if refusal is not None:
            return OfferResult(refusal=refusal)
        displaced = None
        if len(self._entries_by_id) >= self.limits.waiting:
            displaced = self._displace_for(request)
            if displaced is None:
                return OfferResult(refusal=self._refuse("queue_full", request.urgency))
        self._sequence += 1
        self._entries_by_id[request.request_id] = _Entry(self._sequence, request)
        self._classes[request.urgency].add(request, self._sequence)
        self._arrivals[request.urgency].note(now=now)
        entry = (request.latest_start, self._sequence, request.request_id)
        heapq.heappush(self._latest_starts, entry)
        self._prune_latest_starts()
        return OfferResult(displaced=displaced)

    def check(self, *, request: WaitingRequest, now: float) -> Refusal | None:
        """Return why an offer would be refused now, without queueing anything."""
        refusal = self._refusal(request, now)
        if refusal is not None or len(self._entries_by_id) < self.limits.waiting:
            return refusal
        if any(self._classes[urgency].size for urgency in Urgency if urgency > request.urgency):
            return None
        return self._refuse("queue_full", request.urgency)

    def take(self, *, now: float) -> WaitingRequest | None:
        """Remove and return the request to dispatch next; call `expire` first to drop late ones."""
        if not self._entries_by_id:
            return None
        self._taken += 1
        for urgency in self._order():
            request = self._classes[urgency].take(self._entries_by_id, self.weights_by_team)
            if request is not None:
                del self._entries_by_id[request.request_id]
                self._drain.note_taken(now=now, left=len(self._entries_by_id))
                return request
        return None

    def expire(self, *, now: float) -> Iterator[WaitingRequest]:
        """Remove and yield every request that can no longer meet its deadline."""
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, sequence, request_id = heapq.heappop(self._latest_starts)
            request = _queued_request(self._entries_by_id, sequence, request_id)
            if request is not None:
                self.withdraw(request_id)
                yield request

    def drop_overtaken(self, *, now: float) -> list[WaitingRequest]:
        """Remove and return requests that more urgent ones keep from meeting their deadline.

        These are at the end of a queue whose capacity goes to more urgent arrivals. They are
        refused now rather than at their deadline.
        """
        rate = self._drain.per_second
        if rate is None:
            return []
        overtaken = [
            entry.request
            for urgency in Urgency
            if urgency is not Urgency.URGENT and self._classes[urgency].size
            for entry in self._overtaken_of(urgency, rate, now)
        ]
        for request in overtaken:
            self.withdraw(request.request_id)
        return overtaken

    def _overtaken_of(self, urgency: Urgency, rate: float, now: float) -> Iterator[_Entry]:
        """Yield what the class's rate does not reach in OVERTAKEN_SLACK times the time left."""
        own_rate = self._rate_of(urgency, rate, now)
        teams = max(1, self._classes[urgency].active_teams)
        above = self._ahead_of(urgency) - self._classes[urgency].size
        ahead_by_team: dict[TeamPath, int] = {}
        entries = [e for e in self._entries_by_id.values() if e.request.urgency is urgency]
        entries.sort(key=lambda entry: (entry.request.deadline, entry.sequence))
        for entry in entries:
            ahead = ahead_by_team.get(entry.request.team, 0)
            needed_s = (above + ahead * teams) / own_rate
            if needed_s > (entry.request.latest_start - now) * OVERTAKEN_SLACK:
                yield entry
            else:
                ahead_by_team[entry.request.team] = ahead + 1

    @property
    def next_expiry(self) -> float | None:
        """Monotonic time of the next expiry, or None if the queue is empty."""
        while self._latest_starts:
            latest_start, sequence, request_id = self._latest_starts[0]
            if _queued_request(self._entries_by_id, sequence, request_id) is not None:
                return latest_start
            heapq.heappop(self._latest_starts)
        return None

    def withdraw(self, request_id: RequestId) -> WaitingRequest | None:
        """Remove a request, for example because its caller disconnected."""
        entry = self._entries_by_id.pop(request_id, None)
        if entry is None:
            return None
        self._classes[entry.request.urgency].forget(entry.request)
        return entry.request

    def retry_after_s(self, urgency: Urgency) -> float:
        """Return seconds until about half of the requests ahead of this class have drained."""
        rate = self._drain.per_second
        if rate is None:
            return 1.0
        return min(max(self._ahead_of(urgency) / rate / 2, MIN_RETRY_S), MAX_RETRY_S)

    @property
    def drain_per_s(self) -> float | None:
        """Requests dispatched per second while others waited; None until measured."""
        return self._drain.per_second

    def _prune_latest_starts(self) -> None:
        """Rebuild the heap once stale entries far outnumber the waiting requests."""
        if len(self._latest_starts) < 4 * len(self._entries_by_id) + PRUNE_SLACK:
            return
        self._latest_starts = [
            (entry.request.latest_start, entry.sequence, request_id)
            for request_id, entry in self._entries_by_id.items()
        ]
        heapq.heapify(self._latest_starts)

    def _order(self) -> tuple[Urgency, ...]:
        if self._taken % self.limits.lower_class_every == 0:
            return (Urgency.BACKFILL, Urgency.NORMAL, Urgency.URGENT)
        return (Urgency.URGENT, Urgency.NORMAL, Urgency.BACKFILL)

    def _ahead_of(self, urgency: Urgency) -> int:
        return sum(self._classes[other].size for other in Urgency if other <= urgency)

    def _refusal(self, request: WaitingRequest, now: float) -> Refusal | None:
        if request.latest_start <= now:
            return self._refuse("deadline_too_near", request.urgency)
        team_waiting = sum(queue.size_of(request.team) for queue in self._classes.values())
        limits = self.limits
        if team_waiting >= limits.waiting_by_team.get(request.team, limits.waiting_per_team):
            return self._refuse("team_queue_full", request.urgency)
        rate = self._drain.per_second
        may_wait_s = (request.latest_start - now) * self.limits.wait_share
        if rate is not None and self._wait_s(request, rate, now) > may_wait_s:
            return self._refuse("would_miss_deadline", request.urgency)
        return None

    def _wait_s(self, request: WaitingRequest, rate: float, now: float) -> float:
        """Return the expected wait: classes above, and the team's fair share of its own class.

        More urgent arrivals during the wait are served first too, so only the rest of the rate
        serves the requests ahead, but at least the share reserved for the lowest class.
        """
        own_class = self._classes[request.urgency]
        above = self._ahead_of(request.urgency) - own_class.size
        teams = max(1, own_class.active_teams)
        behind_own = own_class.size_of(request.team) * teams
        ahead = above + min(own_class.size, behind_own)
        if not ahead:
            return 0.0
        return ahead / self._rate_of(request.urgency, rate, now)

    def _rate_of(self, urgency: Urgency, rate: float, now: float) -> float:
        overtaking = sum(
            self._arrivals[other].per_second(now=now) for other in Urgency if other < urgency
        )
        return max(rate - overtaking, rate / self.limits.lower_class_every)

    def _refuse(self, reason: str, urgency: Urgency) -> Refusal:
        return Refusal(reason=reason, retry_after_s=self.retry_after_s(urgency))

    def _displace_for(self, request: WaitingRequest) -> WaitingRequest | None:
        """Remove the least urgent request if it ranks below `request`."""
        for urgency in reversed(tuple(Urgency)):
            if urgency <= request.urgency:
                return None
            queue = self._classes[urgency]
            team = queue.largest_team()
            if team is None:
                continue
            victim = queue.latest_of(team, self._entries_by_id)
            if victim is not None:
                return self.withdraw(victim.request_id)
        return None
