"""Speeds of hosts as learned from runs; in use only where they clearly differ across the fleet.

Addresses this load: executors work at speeds that differ by a factor of two and more, and nothing
that they report says so. An estimate is the logarithm of a speed with its precision. It begins as
the usual speed, so a host with few runs counts as usual, and it keeps moving, so that a host whose
speed has changed for good is learned again.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import exp, log
from statistics import median
from typing import Final
from zlib import crc32

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.state.cell.speeds import (
    MAX_HOST_NAME_BYTES,
    MAX_STORED_HOSTS,
    HostSpeedRow,
    SpeedsRow,
)

USUAL: Final = 1.0
PRIOR_PRECISION: Final = 1.0 / 0.35**2
"""Precision of the assumption that a host is usual: most are within 0.35 of it, in logarithms."""
MAX_PRECISION: Final = 150.0
"""An estimate keeps moving by what some 15 runs of one step say."""
KNOWN_PRECISION: Final = 30.0
"""A host is known from here on: with two runs of wide steps, or with some more of others."""
RESTORED_PRECISION: Final = 80.0
"""What an earlier leader learned counts like eight runs."""
MAX_SURPRISE: Final = 1.3
"""A run that is off by more, in logarithms, says nothing about its host at first: some tasks take
many times as long as the others of their step."""
SURPRISES_TO_RELEARN: Final = 6
"""So many in a row on one side mean that the host itself has changed."""
SPREAD_TO_USE: Final = log(2.0)
"""Speeds are used once the tenth fastest of a hundred hosts is this much faster, in logarithms,
than the tenth slowest; healthy executors of one kind differ by 0.8 to 1.25."""
SPREAD_TO_KEEP: Final = log(1.9)
"""They are used until it is less than this."""
MIN_KNOWN_HOSTS: Final = 6
MIN_KNOWN_SHARE: Final = 0.5
"""Speeds are used once this share of the hosts is known."""
LEVEL_STEP: Final = 0.4
"""Executors of one level differ by less, in logarithms, and count as alike in the choice of one:
their usual speed is level 0, from 0.82 to 1.22."""
ABSENT_S: Final = 600.0
"""A host that has been out of the list for longer is forgotten."""
MIN_CHANGE: Final = 0.1
"""A speed in use follows its estimate once it is off by more, in logarithms, so that orders do not
change with every run."""
MIN_SPEED: Final = 0.1
MAX_SPEED: Final = 10.0
REFRESH_S: Final = 0.5
"""Interval between updates of the speeds in use."""
STORE_EVERY_S: Final = 10.0
STORED_CHANGE: Final = 0.25
"""A stored speed that is off by more, in logarithms, is written again."""
MAX_AGE_S: Final = 3_600.0
"""An older row is not used."""


class SpeedClass(StrEnum):
    """Coarse speed of a host."""

    SLOW = "slow"
    USUAL = "usual"
    FAST = "fast"


def speed_level(speed: float) -> int:
    """Return the level of a speed: 0 for the usual one, each further one a factor of 1.5."""
    return round(log(speed) / LEVEL_STEP)


def speed_class(speed: float) -> SpeedClass:
    """Return the class of a speed."""
    level = speed_level(speed)
    if level < 0:
        return SpeedClass.SLOW
    return SpeedClass.FAST if level > 0 else SpeedClass.USUAL


def kind_of(info: ExecutorInfo) -> int:
    """Return a checksum of what tells one kind of executor from another."""
    capacity = info.capacity
    sizes = (capacity.cores_milli, capacity.memory_mb, capacity.accelerators)
    return crc32(repr((info.labels, sizes)).encode())


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassChange:
    """A host whose speed came into use or changed its class."""

    host: str
    speed: float
    before: SpeedClass
    after: SpeedClass
    precision: float


@dataclass(kw_only=True, slots=True)
class _Estimate:
    """What is known of one host's speed."""

    executor_id: str
    kind: int
    log_speed: float = 0.0
    precision: float = PRIOR_PRECISION
    seen_at: float
    """Leader's time at which the host was last in the list."""
    surprises: int = 0
    """Runs in a row that were off by too much: positive if faster, negative if slower."""

    def learn_anew(self) -> None:
        self.log_speed = 0.0
        self.precision = PRIOR_PRECISION
        self.surprises = 0

    def add(self, log_speed: float, variance: float) -> None:
        off = log_speed - self.log_speed
        if abs(off) > MAX_SURPRISE:
            sign = 1 if off > 0 else -1
            self.surprises = self.surprises + sign if self.surprises * sign >= 0 else sign
            if abs(self.surprises) >= SURPRISES_TO_RELEARN:
                self.learn_anew()
                self.log_speed = log_speed
            return
        self.surprises = 0
        gained = 1.0 / variance
        total = self.precision + gained
        self.log_speed += off * gained / total
        self.precision = min(total, MAX_PRECISION)


class ExecutorSpeeds:
    """Speeds of the hosts in the platform's list."""

    def __init__(self, *, is_enabled: bool = True) -> None:
        """Create an empty table, which learns nothing unless it is enabled."""
        self.is_enabled = is_enabled
        self._estimates_by_host: dict[str, _Estimate] = {}
        self._speeds_by_host: dict[str, float] = {}
        """Speeds in use; empty while they are alike."""
        self._levels_by_host: dict[str, int] = {}
        self._stored_by_host: dict[str, HostSpeedRow] = {}
        self.spread = 1.0
        """How many times as fast as the tenth slowest of a hundred known hosts the tenth fastest
        is."""
        self._middle = 0.0
        """Logarithm of the usual speed, as the median of the known hosts."""
        self._are_alike = False
        """Whether enough hosts are known to tell that their speeds are alike."""
        self._refreshed_at = float("-inf")
        self._stored_at = float("-inf")

    @property
    def is_in_use(self) -> bool:
        """Whether any decision depends on speeds now."""
        return bool(self._speeds_by_host)

    def of(self, host: str) -> float:
        """Return the speed of a host; exactly 1.0 where it is unknown or all are alike."""
        return self._speeds_by_host.get(host, USUAL)

    def level_of(self, host: str) -> int:
        """Return the level of a host's speed, as `speed_level` gives it."""
        return self._levels_by_host.get(host, 0)

    def estimate_of(self, host: str) -> float:
        """Return the logarithm of the learned speed, in use or not; 0.0 where it is unknown."""
        known = self._estimates_by_host.get(host)
        return 0.0 if known is None else known.log_speed

    def count_by_class(self) -> dict[SpeedClass, int]:
        """Return how many hosts have a speed in use of each class."""
        counts = Counter(speed_class(speed) for speed in self._speeds_by_host.values())
        return {each: counts[each] for each in SpeedClass}

    def observe(self, info: ExecutorInfo, log_speed: float, *, variance: float) -> None:
        """Take note of the speed that a run had on an executor, relative to others."""
        if not info.host or not self.is_enabled:
            return
        known = self._estimates_by_host.get(info.host)
        if known is None:
            if len(self._estimates_by_host) >= MAX_STORED_HOSTS:
                return
            known = _Estimate(
                executor_id=info.executor_id, kind=kind_of(info), seen_at=self._refreshed_at
            )
            self._estimates_by_host[info.host] = known
        known.add(log_speed, variance)

    def refresh(self, infos: Iterable[ExecutorInfo], *, now: float) -> list[ClassChange]:
        """Update the speeds in use, and return the hosts that changed their class."""
        if not self.is_enabled or now < self._refreshed_at + REFRESH_S:
            return []
        self._refreshed_at = now
        hosts = self._update_hosts({info.host: info for info in infos}, now)
        known = {
            host: each
            for host, each in self._estimates_by_host.items()
            if each.precision >= KNOWN_PRECISION and each.seen_at == now
        }
        before, self._speeds_by_host = self._speeds_by_host, {}
        if self._differ(known, hosts, was_in_use=bool(before)):
            self._middle = median(each.log_speed for each in known.values())
            self._speeds_by_host = {
                host: self._speed_of(each, before.get(host)) for host, each in known.items()
            }
        self._levels_by_host = {
            host: speed_level(speed) for host, speed in self._speeds_by_host.items()
        }
        return self._class_changes(before)

    def _update_hosts(self, infos_by_host: dict[str, ExecutorInfo], now: float) -> int:
        """Forget hosts that are long gone or run another kind of executor; count the present."""
        for host, known in list(self._estimates_by_host.items()):
            info = infos_by_host.get(host)
            if info is None:
                if now - known.seen_at > ABSENT_S:
                    del self._estimates_by_host[host]
                continue
            known.seen_at = now
            if info.executor_id != known.executor_id:
                kind = kind_of(info)
                if kind != known.kind:
                    known.learn_anew()
                known.executor_id, known.kind = info.executor_id, kind
        return len(infos_by_host)

    def _differ(self, known: dict[str, _Estimate], hosts: int, *, was_in_use: bool) -> bool:
        """Whether the known speeds are too unlike to be those of executors of one kind."""
        self._are_alike = False
        if len(known) < max(MIN_KNOWN_HOSTS, MIN_KNOWN_SHARE * hosts):
            return False
        ordered = sorted(each.log_speed for each in known.values())
        tenth = len(ordered) // 10
        spread = ordered[-1 - tenth] - ordered[tenth]
        self.spread = exp(spread)
        self._are_alike = spread < (SPREAD_TO_KEEP if was_in_use else SPREAD_TO_USE)
        return not self._are_alike

    def _speed_of(self, known: _Estimate, before: float | None) -> float:
        learned = known.log_speed - self._middle
        if before is not None and abs(learned - log(before)) < MIN_CHANGE:
            return before
        return min(max(exp(learned), MIN_SPEED), MAX_SPEED)

    def _class_changes(self, before: dict[str, float]) -> list[ClassChange]:
        changes: list[ClassChange] = []
        for host in sorted(before.keys() | self._speeds_by_host.keys()):
            was, now = speed_class(before.get(host, USUAL)), speed_class(self.of(host))
            if was is now:
                continue
            known = self._estimates_by_host.get(host)
            precision = 0.0 if known is None else known.precision
            change = ClassChange(
                host=host, speed=self.of(host), before=was, after=now, precision=precision
            )
            changes.append(change)
        return changes

    def take_row(self, *, now: float, wall: float) -> SpeedsRow | None:
        """Return the row to store, or None if nothing of weight has changed since the last one.

        An empty row means that the stored one is to be deleted.
        """
        if now < self._stored_at + STORE_EVERY_S or not self._is_worth_storing():
            return None
        self._stored_at = now
        hosts = [host for host in sorted(self._speeds_by_host) if _is_storable(host)]
        self._stored_by_host = {host: self._host_row(host) for host in hosts[:MAX_STORED_HOSTS]}
        return SpeedsRow(written_at=wall, hosts=tuple(self._stored_by_host.values()))

    def _is_worth_storing(self) -> bool:
        if not self._speeds_by_host:
            return bool(self._stored_by_host) and self._are_alike
        stored = self._stored_by_host
        for host, speed in self._speeds_by_host.items():
            row = stored.get(host)
            if row is None:
                if len(stored) < MAX_STORED_HOSTS and _is_storable(host):
                    return True
            elif abs(log(100.0 * speed / row.speed_percent)) > STORED_CHANGE:
                return True
        return False

    def _host_row(self, host: str) -> HostSpeedRow:
        known = self._estimates_by_host[host]
        percent = round(100.0 * self._speeds_by_host[host])
        return HostSpeedRow(host=host, kind=known.kind, speed_percent=percent)

    def restore(self, row: SpeedsRow, *, now: float, wall: float) -> str:
        """Take over the speeds of an earlier leader; return why not, or an empty string."""
        if not self.is_enabled:
            return ""
        age_s = wall - row.written_at
        if age_s > MAX_AGE_S:
            return f"written_at: expected at most {MAX_AGE_S:g} s ago, got {age_s:.0f} s"
        for each in row.hosts[:MAX_STORED_HOSTS]:
            if not 100 * MIN_SPEED <= each.speed_percent <= 100 * MAX_SPEED:
                continue
            # Its executor is not known yet; the first list tells whether its kind is the same.
            self._estimates_by_host[each.host] = _Estimate(
                executor_id="",
                kind=each.kind,
                log_speed=log(each.speed_percent / 100.0),
                precision=RESTORED_PRECISION,
                seen_at=now,
            )
            self._stored_by_host[each.host] = each
        return ""


def _is_storable(host: str) -> bool:
    """Whether a host's name keeps the row within its size."""
    return len(host.encode()) <= MAX_HOST_NAME_BYTES
