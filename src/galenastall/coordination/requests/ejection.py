"""Outlier ejection: stop using failing or slow upstreams for a while, up to a share of them.

Ejection is based on the results of requests, not on probes: consecutive failures, or a mean latency
far above the median of the others. An upstream returns slowly, with one request at a time at first.
"""

from dataclasses import dataclass
from statistics import median
from typing import Final

from galenastall.state.ids import HostId

LATENCY_WEIGHT: Final = 0.1
"""Weight of the newest latency in an upstream's mean."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EjectionLimits:
    """When an upstream is ejected and for how long."""

    consecutive_failures: int = 5
    latency_factor: float = 4.0
    """Ratio of mean latency to the median of the other upstreams above which one is ejected."""
    latency_samples: int = 20
    """Responses needed since the last ejection before latency is considered."""
    latency_floor_s: float = 0.05
    """Mean latencies below this never cause an ejection, in seconds."""
    base_s: float = 5.0
    """Duration of the first ejection, in seconds; doubles with each further one."""
    max_s: float = 120.0
    max_share: float = 0.3
    """Largest share of the upstreams that may be ejected at once."""


class _Record:
    __slots__ = ("ejected_until", "ejections", "failures", "latency_s", "reentry_slots", "samples")

    def __init__(self) -> None:
        self.failures = 0
        self.samples = 0
        self.latency_s = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        self.reentry_slots: int | None = None


class Ejection:
    """Ejection state of each upstream that this entry host owns."""

    def __init__(self, *, limits: EjectionLimits) -> None:
        """Start with no upstreams."""
        self.limits = limits
        self._records_by_id: dict[HostId, _Record] = {}
        self._limited: set[HostId] = set()

    def add(self, upstream: HostId) -> None:
        """Start tracking an upstream."""
        self._records_by_id.setdefault(upstream, _Record())

    def remove(self, upstream: HostId) -> None:
        """Stop tracking an upstream."""
        self._records_by_id.pop(upstream, None)
        self._limited.discard(upstream)

    def ejected(self, *, now: float) -> frozenset[HostId]:
        """Return the upstreams that are ejected now."""
        records = self._records_by_id.items()
        return frozenset(upstream for upstream, record in records if record.ejected_until > now)

    def allowed(self, *, upstream: HostId, slots: int, now: float) -> int:
        """Return how many of its slots may be used now."""
        record = self._records_by_id.get(upstream)
        if record is None:
            return slots
        if record.ejected_until > now:
            return 0
        return slots if record.reentry_slots is None else min(slots, record.reentry_slots)

    def limits_any(self) -> bool:
        """Return whether any upstream is ejected or only partly readmitted."""
        return bool(self._limited)

    def next_return(self, *, now: float) -> float | None:
        """Return the monotonic time at which the next ejection ends, or None if there is none."""
        later = (r.ejected_until for r in self._records_by_id.values() if r.ejected_until > now)
        return min(later, default=None)

    def succeeded(self, *, upstream: HostId, latency_s: float, slots: int, now: float) -> bool:
        """Record a success; return True if its latency ejected the upstream."""
        record = self._records_by_id.get(upstream)
        if record is None:
            return False
        record.failures = 0
        if self._raise_allowance(record, slots):
            self._limited.discard(upstream)
        record.samples += 1
        weight = 1.0 if record.samples == 1 else LATENCY_WEIGHT
        record.latency_s += weight * (latency_s - record.latency_s)
        return self._is_slow(record) and self._eject(upstream, record, now)

    def failed(self, *, upstream: HostId, now: float) -> bool:
        """Record a failure; return True if it ejected the upstream."""
        record = self._records_by_id.get(upstream)
        if record is None:
            return False
        record.failures += 1
        limit = 1 if record.reentry_slots is not None else self.limits.consecutive_failures
        return record.failures >= limit and self._eject(upstream, record, now)

    def _raise_allowance(self, record: _Record, slots: int) -> bool:
        """Double the allowed requests; return whether that readmits the upstream fully."""
        if record.reentry_slots is None:
            return False
        record.reentry_slots *= 2
        if record.reentry_slots < slots:
            return False
        record.reentry_slots = None
        record.ejections = max(0, record.ejections - 1)
        return True

    def _is_slow(self, record: _Record) -> bool:
        limits = self.limits
        if record.samples < limits.latency_samples or record.latency_s < limits.latency_floor_s:
            return False
        others = [
            other.latency_s
            for other in self._records_by_id.values()
            if other is not record and other.samples >= limits.latency_samples
        ]
        return bool(others) and record.latency_s > limits.latency_factor * median(others)

    def _eject(self, upstream: HostId, record: _Record, now: float) -> bool:
        if record.ejected_until > now:
            return False
        out = sum(1 for other in self._records_by_id.values() if other.ejected_until > now)
        if out + 1 > self.limits.max_share * len(self._records_by_id):
            return False
        span = min(self.limits.max_s, self.limits.base_s * 2**record.ejections)
        record.ejected_until = now + span
        self._limited.add(upstream)
        record.ejections += 1
        record.reentry_slots = 1
        record.failures = 0
        record.samples = 0
        record.latency_s = 0.0
        return True
