"""Start all tasks of a gang together on several worker owners, or none of them.

Holds are requested from one owner at a time in host-id order, each all or nothing, and a gang never
waits while it holds capacity: a refused or unanswered hold releases all others at once and the gang
retries later. So two gangs can't deadlock, and of competing gangs the first to reach the last
contested owner proceeds. A hold also expires at its owner at `until`, so a failed shard owner
leaves none behind.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import xxhash

from galenastall.coordination.placement.task_reports import ENDING_KINDS, ReportKind
from galenastall.state.ids import HostId, JobId

HOLD_S: Final = 5.0
"""How long holds last, in seconds: a few round trips and one or two lost answers."""
START_MARGIN_S: Final = 2.0
"""Minimum time left of the holds when the starts are sent, in seconds."""
BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 5.0
NEVER_RAN: Final = frozenset({ReportKind.RETURNED, ReportKind.REFUSED})


class GangPhase(StrEnum):
    """Phase of a gang."""

    WAITING = "waiting"
    HOLDING = "holding"
    STARTING = "starting"
    """All holds are granted; starts are sent, and repeated until each owner has answered."""
    STARTED = "started"
    UNDOING = "undoing"
    """Some task could not start or ended early: the others are being stopped."""
    ENDED = "ended"


class GangStepKind(StrEnum):
    """Requests to an owner."""

    HOLD = "hold"
    START = "start"
    RELEASE = "release"
    STOP = "stop"


@dataclass(frozen=True, kw_only=True, slots=True)
class GangStep:
    """One message to one owner."""

    kind: GangStepKind
    host: HostId
    key: str
    """Identifies the gang's attempt, so that owners recognise repeated holds and starts."""
    indices: tuple[int, ...] = ()
    until: float = 0.0


class Gang:
    """State machine of one gang from waiting to ended, pure; times are wall seconds."""

    def __init__(self, *, job_id: JobId, tasks: int, hold_s: float = HOLD_S) -> None:
        """Start waiting, with no plan."""
        self.phase = GangPhase.WAITING
        self.not_before = 0.0
        """Time before which it is not retried."""
        self.attempt = 0
        self.failed_tries = 0
        self.kind_by_index: dict[int, ReportKind] = {}
        self._job_id = job_id
        self._tasks = tasks
        self._hold_s = hold_s
        self._until = 0.0
        self._plan: dict[HostId, tuple[int, ...]] = {}
        self._held: set[HostId] = set()
        self._started: set[HostId] = set()

    @property
    def key(self) -> str:
        """Return the identifier of the current attempt."""
        return f"{self._job_id}#{self.attempt}"

    @property
    def plan(self) -> Mapping[HostId, tuple[int, ...]]:
        """Return which tasks are planned for which owner."""
        return self._plan

    def host_of(self, index: int) -> HostId:
        """Return the owner planned for a task; raises KeyError for an unplanned index."""
        for host, indices in self._plan.items():
            if index in indices:
                return host
        raise KeyError(index)

    def begin(self, plan: Mapping[HostId, int], *, attempt: int, now: float) -> list[GangStep]:
        """Begin an attempt by a plan that covers all tasks; return the first hold."""
        if sum(plan.values()) != self._tasks:
            raise ValueError(f"plan for {sum(plan.values())} of {self._tasks} tasks")
        self.phase = GangPhase.HOLDING
        self.attempt = attempt
        self.kind_by_index = {}
        self._until = now + self._hold_s
        self._held.clear()
        self._started.clear()
        self._plan = {}
        start = 0
        for host in sorted(plan):
            self._plan[host] = tuple(range(start, start + plan[host]))
            start += plan[host]
        return [self._hold(next(iter(self._plan)))]

    def on_hold(self, host: HostId, key: str, *, is_held: bool, now: float) -> list[GangStep]:
        """Process an owner's answer to a hold; no answer counts as refused and is released too."""
        if key != self.key or self.phase is not GangPhase.HOLDING or host not in self._plan:
            return []
        if not is_held or now > self._until - START_MARGIN_S:
            return self._release_all(now)
        self._held.add(host)
        missing = [each for each in self._plan if each not in self._held]
        if missing:
            return [self._hold(missing[0])]
        self.phase = GangPhase.STARTING
        return [self._step(GangStepKind.START, each) for each in self._plan]

    def on_start(self, host: HostId, key: str, *, is_started: bool, now: float) -> list[GangStep]:
        """Process an owner's answer that it will, or never will, start its part."""
        if key != self.key or self.phase not in (GangPhase.STARTING, GangPhase.UNDOING):
            return []
        if is_started:
            self._started.add(host)
            if self.phase is GangPhase.UNDOING:
                return [self._step(GangStepKind.STOP, host)]
            if len(self._started) == len(self._plan):
                self.phase = GangPhase.STARTED
            return []
        for index in self._plan[host]:
            self.kind_by_index[index] = ReportKind.RETURNED
        return self._undo(now)

    def on_report(self, index: int, attempt: int, kind: ReportKind, now: float) -> list[GangStep]:
        """Process a report on one task of the current attempt."""
        if attempt != self.attempt or self.phase in (GangPhase.WAITING, GangPhase.HOLDING):
            return []
        if self.kind_by_index.get(index) in ENDING_KINDS:
            return []
        self.kind_by_index[index] = kind
        if kind not in ENDING_KINDS:
            return self._note_started(index, kind, now)
        if kind is not ReportKind.DONE:
            return self._undo(now)
        self._end_if_complete(now)
        return []

    def tick(self, now: float) -> list[GangStep]:
        """Return the steps to repeat, or the releases of holds that took too long."""
        if self.phase is GangPhase.HOLDING and now > self._until - START_MARGIN_S:
            return self._release_all(now)
        if self.phase is GangPhase.STARTING:
            return [
                self._step(GangStepKind.START, host)
                for host in self._plan
                if host not in self._started
            ]
        if self.phase is GangPhase.UNDOING:
            return self._stops()
        return []

    def resume(self, kinds: Mapping[int, tuple[HostId, int, ReportKind]], now: float) -> None:
        """Resume a gang of a former shard owner from what is known of its tasks.

        If all tasks are present under one attempt it continues; otherwise the rest is
        stopped.
        """
        if not kinds:
            return
        self.attempt = max(attempt for _, attempt, _ in kinds.values())
        indices_by_host: dict[HostId, list[int]] = {}
        for index, (host, attempt, kind) in kinds.items():
            indices_by_host.setdefault(host, []).append(index)
            is_old = attempt < self.attempt and kind in ENDING_KINDS
            self.kind_by_index[index] = ReportKind.LOST if is_old else kind
        self._plan = {
            host: tuple(sorted(indices_by_host[host])) for host in sorted(indices_by_host)
        }
        self._started = set(self._plan)
        self.phase = GangPhase.STARTED
        is_mixed = len({attempt for _, attempt, _ in kinds.values()}) > 1
        for index in range(self._tasks):
            self.kind_by_index.setdefault(index, ReportKind.LOST)
        is_broken = any(
            kind in ENDING_KINDS and kind is not ReportKind.DONE
            for kind in self.kind_by_index.values()
        )
        if is_mixed or is_broken:
            self.phase = GangPhase.UNDOING
        self._end_if_complete(now)

    def cancel(self, now: float) -> list[GangStep]:
        """Abandon the gang: release what is held, stop what may run."""
        if self.phase is GangPhase.HOLDING:
            steps = self._release_all(now)
            self.phase = GangPhase.ENDED
            return steps
        if self.phase is GangPhase.WAITING:
            self.phase = GangPhase.ENDED
            return []
        return self._undo(now)

    def retry(self, now: float) -> None:
        """Wait for another attempt after one has ended; the delay grows with each failure."""
        self.phase = GangPhase.WAITING
        self.failed_tries += 1
        self.not_before = now + self._backoff()

    @property
    def may_have_run(self) -> bool:
        """Whether some task of the current attempt ran or may have run."""
        return any(kind not in NEVER_RAN for kind in self.kind_by_index.values())

    def _note_started(self, index: int, kind: ReportKind, now: float) -> list[GangStep]:
        if self.phase is GangPhase.STARTING and kind is ReportKind.RUNNING:
            return self.on_start(self.host_of(index), self.key, is_started=True, now=now)
        return []

    def _hold(self, host: HostId) -> GangStep:
        return GangStep(
            kind=GangStepKind.HOLD,
            host=host,
            key=self.key,
            indices=self._plan[host],
            until=self._until,
        )

    def _step(self, kind: GangStepKind, host: HostId) -> GangStep:
        return GangStep(
            kind=kind, host=host, key=self.key, indices=self._plan[host], until=self._until
        )

    def _release_all(self, now: float) -> list[GangStep]:
        steps = [self._step(GangStepKind.RELEASE, host) for host in self._plan]
        self.retry(now)
        return steps

    def _undo(self, now: float) -> list[GangStep]:
        self.phase = GangPhase.UNDOING
        steps = self._stops()
        self._end_if_complete(now)
        return steps

    def _stops(self) -> list[GangStep]:
        return [
            self._step(GangStepKind.STOP, host)
            for host, indices in self._plan.items()
            if any(self.kind_by_index.get(index) not in ENDING_KINDS for index in indices)
        ]

    def _end_if_complete(self, now: float) -> None:
        ended = [kind for kind in self.kind_by_index.values() if kind in ENDING_KINDS]
        if len(ended) == self._tasks:
            self.phase = GangPhase.ENDED

    def _backoff(self) -> float:
        longest: float = min(BACKOFF_S * 2 ** min(self.failed_tries, 10), MAX_BACKOFF_S)
        jitter = int(xxhash.xxh32_intdigest(f"{self.key}/{self.failed_tries}".encode())) / 2**32
        return longest * (0.5 + jitter / 2)
