"""Executors as the leader sees them: room, reachability, and the runs that may be there."""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from galenastall.coordination.cell.lease_clock import LeaseClock
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.jobs import StepKey, TaskKey
from galenastall.state.resources import Resources


class Cordon(Enum):
    """Why a host is being emptied; each reason is set and lifted by the module that has it."""

    WAVE = auto()
    """It is taken down for maintenance."""
    POOL = auto()
    """It is given back to the pool that it came from."""


class ClosedReason(StrEnum):
    """Why an executor takes no new work; the first that holds, in this order."""

    RESTARTED = "restarted"
    """A later incarnation of it has answered."""
    DRAINING = "draining"
    UNUSABLE = "unusable"
    """Its entry in the list can't be read."""
    CORDONED = "cordoned"
    UNKNOWN_RUNS = "strangers"
    """Runs are there that no live job accounts for."""
    PAUSED = "paused"
    DELISTED = "delisted"
    UNANSWERED_START = "doubted"
    """A start got no answer since its last listing."""
    NOT_ANSWERED = "not_answered"
    """It has given no listing lately, or none yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorInfo:
    """One incarnation of an executor, as the platform's list names it."""

    executor_id: str
    host: str
    """The host that it runs on; its next incarnation has another id and the same host."""
    address: str
    data_centre: str
    service: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    """What steps may require: its kind, and more."""
    rack: str = ""
    is_usable: bool = True
    """False once its entry can't be read any more: it gets nothing new, and what runs goes on."""
    is_draining: bool = False
    leaves_in_s: float = 0.0
    """Least time in seconds until it leaves, while it drains."""


class Executor:
    """One incarnation of an executor; the ledger counts every run that may be there."""

    def __init__(self, *, info: ExecutorInfo, clock: LeaseClock, now: float) -> None:
        """Start with an empty ledger; nothing is placed before the first listing."""
        self.info = info
        self.executor_id = info.executor_id
        """Id of this incarnation."""
        self.name = executor_name(info.executor_id)
        """What all incarnations of it are called."""
        self.clock = clock
        self.runs_by_task: dict[TaskKey, int] = {}
        self.unknown_runs: frozenset[tuple[TaskKey, int]] = frozenset()
        """Runs listed there that no live job accounts for; they are stopped first."""
        self.cordons: set[Cordon] = set()
        """Why its host is being emptied; while there is any reason it gets nothing new."""
        self.has_restarted = False
        """Whether a later incarnation has answered in its stead; what it did is not known yet."""
        self.is_listed = True
        self.delisted_at = now
        self.answered_at: float | None = None
        """Leader's time of its last good listing."""
        self.answered_seq = 0
        """Sequence number at which that listing came; 0 before the first."""
        self.lost_at: float | None = None
        """Leader's time at which it stopped answering; None while it answers."""
        self.start_unanswered_at = float("-inf")
        """Leader's time at which a start got no answer, here or next to it; it gets nothing new
        before it has answered since. Of the starts sent into a cut, each unanswered one waits for
        the cut's end or for its lease."""
        self.paused_until = 0.0
        self.applied_position = 0
        """Position in its list of ends up to which ends were applied."""
        self.durable_position = 0
        """Position up to which applied ends are durable, so that it may forget them."""
        self.consecutive_failures = 0
        self.pauses = 0
        """Pauses since the last run that was done here."""
        self.stalled_steps: set[StepKey] = set()
        """Steps of which a run stood still there since its last pause for that."""
        self.refusals = 0
        """Starts that it refused since it last took one."""
        self._leaves_at: float | None = None
        self.filler_rate_percent = 100
        """Pace of the fillers here."""
        self.filler_rate_set_at = float("-inf")
        self.needs_listing = False
        """Whether a listing is needed now, without waiting for an end."""
        self.polled_until = float("-inf")
        """Until when it is polled without a pause though it runs nothing: a step waits for it."""
        self.free = info.capacity
        """What the ledger has left; negative where a capacity has shrunk."""
        self.version = 0
        """Rises with each change of the ledger and each listing that shows runs."""

    def set_info(self, info: ExecutorInfo) -> None:
        """Take what the list says now; the ledger follows a changed capacity."""
        old, new = self.info.capacity, info.capacity
        if new != old:
            self.release(new)
            self.reserve(old)
        self.info = info

    @property
    def has_planned_departure(self) -> bool:
        """Whether its end was planned, by the platform or by this cell."""
        return self.info.is_draining or bool(self.cordons)

    def leaves_at(self, now: float) -> float:
        """Return the time at which a draining executor may leave, as first read off the list."""
        if self._leaves_at is None:
            self._leaves_at = now + self.info.leaves_in_s
        return self._leaves_at

    def count_fitting(self, need: Resources, most: int) -> int:
        """Return how many of `need` fit now, `most` at the highest."""
        return 0 if self.is_overcommitted else need.count_in(self.free, most)

    @property
    def is_overcommitted(self) -> bool:
        """Whether what may be there is more than its capacity, which has shrunk."""
        return self.free.is_negative()

    def reserve(self, need: Resources) -> None:
        """Reserve room."""
        self.free = self.free - need
        self.version += 1

    def release(self, need: Resources) -> None:
        """Return reserved room."""
        self.free = self.free + need
        self.version += 1

    def is_open(self, *, now: float, reach_s: float, delisted_grace_s: float) -> bool:
        """Whether new work may be placed here now."""
        closed = self.why_closed(now=now, reach_s=reach_s, delisted_grace_s=delisted_grace_s)
        return closed is None

    def why_closed(
        self, *, now: float, reach_s: float, delisted_grace_s: float
    ) -> ClosedReason | None:
        """Return why no new work may be placed here now; None if it may."""
        info = self.info
        if self.has_restarted:
            return ClosedReason.RESTARTED
        if info.is_draining:
            return ClosedReason.DRAINING
        if not info.is_usable:
            return ClosedReason.UNUSABLE
        if self.cordons:
            return ClosedReason.CORDONED
        if self.unknown_runs:
            return ClosedReason.UNKNOWN_RUNS
        if now < self.paused_until:
            return ClosedReason.PAUSED
        if not self.is_listed and now - self.delisted_at > delisted_grace_s:
            return ClosedReason.DELISTED
        if self.has_unacked_start:
            return ClosedReason.UNANSWERED_START
        return None if self.has_answered(now=now, reach_s=reach_s) else ClosedReason.NOT_ANSWERED

    @property
    def has_unacked_start(self) -> bool:
        """Whether a start got no answer since it last gave a listing."""
        return self.answered_at is not None and self.answered_at <= self.start_unanswered_at

    def needs_polling(self, now: float) -> bool:
        """Whether it has to be polled without a pause."""
        return bool(self.runs_by_task) or self.has_unacked_start or now < self.polled_until

    def has_answered(self, *, now: float, reach_s: float) -> bool:
        """Whether it has given a listing within `reach_s`."""
        return self.answered_at is not None and now - self.answered_at <= reach_s
