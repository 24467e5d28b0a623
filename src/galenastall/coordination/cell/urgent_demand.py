"""Learns how much capacity urgent work has needed lately.

Addresses this load: urgent jobs of under a second arrive at twice their usual rate while runs of
several seconds hold all capacity. Arrivals are known at once, long before the work itself runs, so
the capacity that they need in the long run (their rate times their run time) is known early too.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.wait_queue import WaitingStep
from galenastall.state.cell.jobs import StepKey
from galenastall.state.resources import NOTHING, Resources

WINDOW_S: Final = 1.0
"""Time constant of the average over arrivals: a burst shows within a second."""
DECAY_S: Final = 4.0
"""Time constant at which a past maximum is forgotten: bursts come in waves."""
MAX_RUN_S: Final = 5.0
"""Longest run time, in seconds, that is believed of an urgent task: one that declares more would
otherwise keep capacity free for long."""
NEGLIGIBLE_TASKS: Final = 0.01
"""A demand below this is forgotten: it keeps less than one task's capacity."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Capacity that urgent work needs at once, on average."""

    tasks: float = 0.0
    """Tasks in progress at the same time."""
    unit: Resources = NOTHING
    """What a typical task needs."""

    @property
    def cores_milli(self) -> int:
        """Return the cores that these tasks need, in thousandths."""
        return int(self.tasks * self.unit.cores_milli)


class UrgentDemand:
    """Averages recent arrivals of urgent work; a new leader starts without any."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._waiting: frozenset[StepKey] = frozenset()
        """Urgent steps that the last decision found waiting."""
        self._updated_at = float("-inf")
        self._recent = self._peak = 0.0
        """Task-seconds that arrive per second: recently, and at the last maximum."""
        self._cores_milli = self._memory_mb = 0.0
        """Weighted sums of what recent tasks need, in proportion to `_recent`."""
        self._accelerators = 0.0

    def observe(self, urgent: Iterable[WaitingStep], *, now: float) -> None:
        """Count the urgent steps that have become ready since the last decision.

        After a gap they count by what the decay would have left of steady arrivals, so that a
        backlog is not taken for one second's load. What a new leader finds counts for nothing.
        """
        seen_share = _seen_share(now - self._updated_at)
        self._decay(now)
        waiting = {each.step.key: each for each in urgent}
        for key in waiting.keys() - self._waiting:
            if waiting[key].step.highest_run == 0:
                self._count(waiting[key], seen_share)
        self._waiting = frozenset(waiting)
        self._peak = max(self._peak, self._recent)

    @property
    def is_forgotten(self) -> bool:
        """Whether the last arrivals are so long ago that nothing would be kept for them."""
        return not self._waiting and self._peak < NEGLIGIBLE_TASKS

    def current(self) -> Demand:
        """Return the demand, at least that of the last seconds."""
        if self._recent <= 0.0:
            return Demand()
        unit = Resources(
            cores_milli=round(self._cores_milli / self._recent),
            memory_mb=round(self._memory_mb / self._recent),
            accelerators=round(self._accelerators / self._recent),
        )
        return Demand(tasks=self._peak, unit=unit)

    def _decay(self, now: float) -> None:
        elapsed_s = max(now - self._updated_at, 0.0)
        self._updated_at = now
        kept = math.exp(-elapsed_s / WINDOW_S)
        self._recent *= kept
        self._cores_milli *= kept
        self._memory_mb *= kept
        self._accelerators *= kept
        self._peak *= math.exp(-elapsed_s / DECAY_S)

    def _count(self, waiting: WaitingStep, seen_share: float) -> None:
        step = waiting.step.step
        if step.is_long_running:
            return
        weight = seen_share * step.count * min(step.estimate_s, MAX_RUN_S) / WINDOW_S
        self._recent += weight
        self._cores_milli += weight * step.need.cores_milli
        self._memory_mb += weight * step.need.memory_mb
        self._accelerators += weight * step.need.accelerators


def _seen_share(elapsed_s: float) -> float:
    """Return the weight of arrivals since the last decision, from 1 without a gap down to 0."""
    if elapsed_s <= 0.0:
        return 1.0
    return WINDOW_S / elapsed_s * (1.0 - math.exp(-elapsed_s / WINDOW_S))
