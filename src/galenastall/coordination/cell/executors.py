"""The leader's view of executors: free capacity, reachability, and runs that may exist there."""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from galenastall.coordination.cell.lease_clock import LeaseClock
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.jobs import StepKey, TaskKey
from galenastall.state.resources import Resources


class Cordon(Enum):
    """Why a host is being emptied; each reason is set and cleared by the module that owns it."""

    WAVE = auto()
    """The host is being taken down for maintenance."""
    POOL = auto()
    """The host is being returned to the pool that it came from."""


class ClosedReason(StrEnum):
    """Why an executor accepts no new work; if several apply, the first in this order is given."""

    RESTARTED = "restarted"
    """A later incarnation of the executor has answered."""
    DRAINING = "draining"
    UNUSABLE = "unusable"
    """Its entry in the platform's list can't be parsed."""
    CORDONED = "cordoned"
    UNKNOWN_RUNS = "strangers"
    """It runs something that belongs to no live job."""
    PAUSED = "paused"
    DELISTED = "delisted"
    UNANSWERED_START = "doubted"
    """A start has gone unanswered since its last listing."""
    NOT_ANSWERED = "not_answered"
    """It has sent no recent listing, or none at all yet."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorInfo:
    """One incarnation of an executor, as described in the platform's list."""

    executor_id: str
    host: str
    """The host that it runs on; its next incarnation has a new id on the same host."""
    address: str
    data_centre: str
    service: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    """Labels that steps may require, such as the kind of executor."""
    rack: str = ""
    is_usable: bool = True
    """False once its entry can no longer be parsed: it gets no new work, and its runs continue."""
    is_draining: bool = False
    leaves_in_s: float = 0.0
    """Minimum time in seconds until a draining executor leaves."""


class Executor:
    """One incarnation of an executor; its ledger counts every run that may exist there."""

    def __init__(self, *, info: ExecutorInfo, clock: LeaseClock, now: float) -> None:
        """Create an executor with an empty ledger; nothing is placed before its first listing."""
        self.info = info
        self.executor_id = info.executor_id
        """Id of this incarnation."""
        self.name = executor_name(info.executor_id)
        """Name shared by all incarnations of the executor."""
        self.clock = clock
        self.runs_by_task: dict[TaskKey, int] = {}
        self.unknown_runs: frozenset[tuple[TaskKey, int]] = frozenset()
        """Listed runs that belong to no live job; stopped before new work is placed."""
        self.cordons: set[Cordon] = set()
        """Why its host is being emptied; it gets no new work while there is any reason."""
        self.has_restarted = False
        """Whether a later incarnation has answered in its place; it is not known yet which orders
        that one carried out."""
        self.is_listed = True
        self.delisted_at = now
        self._init_answers()
        self.start_unanswered_at = float("-inf")
        """Leader's time at which a start got no answer, here or from another executor of the same
        data centre. It gets no new work until it answers again: each start sent into a network cut
        has to wait for the end of the cut or of its lease."""
        self.paused_until = 0.0
        self.applied_position = 0
        """Position in its list of run ends up to which ends have been applied."""
        self.durable_position = 0
        """Position up to which applied ends are durable, so that the executor may discard them."""
        self.consecutive_failures = 0
        self.pauses = 0
        """Pauses since a run last completed here."""
        self.stalled_steps: set[StepKey] = set()
        """Steps of which a run has stalled here since the last pause for stalls."""
        self.refusals = 0
        """Starts refused since it last accepted one."""
        self._leaves_at: float | None = None
        self.filler_rate_percent = 100
        """Rate at which filler tasks work here, in percent of full speed."""
        self.filler_rate_set_at = float("-inf")
        self.needs_listing = False
        """Whether a listing is needed now, without waiting for a run to end."""
        self.polled_until = float("-inf")
        """Until when it is polled continuously even without runs: a step waits for it."""
        self.free = info.capacity
        """Capacity not reserved in the ledger; may be negative after the capacity has shrunk."""
        self.version = 0
        """Increases with each change of the ledger and each listing."""

    def _init_answers(self) -> None:
        self.answered_at: float | None = None
        """Leader's time of its last successful listing."""
        self.earlier_answered_at: float | None = None
        """Leader's time until which it certainly answered an earlier leader; None if not known."""
        self.answered_before_at: float | None = None
        """The same of the one before it."""
        self.answered_seq = 0
        """Sequence number at which that listing arrived; 0 before the first."""
        self.lost_at: float | None = None
        """Leader's time at which it stopped answering; None while it answers."""

    def set_info(self, info: ExecutorInfo) -> None:
        """Apply the current entry of the list; a changed capacity is applied to the ledger."""
        old, new = self.info.capacity, info.capacity
        if new != old:
            self.release(new)
            self.reserve(old)
        self.info = info

    @property
    def has_planned_departure(self) -> bool:
        """Whether its departure was planned, by the platform or by this cell."""
        return self.info.is_draining or bool(self.cordons)

    def leaves_at(self, now: float) -> float:
        """Return when a draining executor may leave, as computed from its first draining entry."""
        if self._leaves_at is None:
            self._leaves_at = now + self.info.leaves_in_s
        return self._leaves_at

    def count_fitting(self, need: Resources, most: int) -> int:
        """Return how many times `need` fits into the free capacity, at most `most`."""
        return 0 if self.is_overcommitted else need.count_in(self.free, most)

    @property
    def is_overcommitted(self) -> bool:
        """Whether the reserved capacity exceeds the total, which has shrunk."""
        return self.free.is_negative()

    def reserve(self, need: Resources) -> None:
        """Reserve capacity."""
        self.free = self.free - need
        self.version += 1

    def release(self, need: Resources) -> None:
        """Release reserved capacity."""
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
        """Whether a start has gone unanswered since its last listing."""
        return self.answered_at is not None and self.answered_at <= self.start_unanswered_at

    def needs_polling(self, now: float) -> bool:
        """Whether it has to be polled continuously."""
        return bool(self.runs_by_task) or self.has_unacked_start or now < self.polled_until

    def has_answered(self, *, now: float, reach_s: float) -> bool:
        """Whether a listing arrived within the last `reach_s` seconds."""
        return self.answered_at is not None and now - self.answered_at <= reach_s
