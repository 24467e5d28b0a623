"""How much work waits ahead of a job, and how soon capacity becomes free for it.

Addresses this load: jobs arrive faster than executors can run them, and each further job waits
behind all that the order puts before it. The wait is the work ahead, less what is free, over the
rate at which capacity was released lately.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

from galenastall.coordination.cell.wait_queue import OrderKey
from galenastall.state.resources import NOTHING, Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingWork:
    """Tasks of a step that wait for capacity."""

    key: OrderKey
    need: Resources
    """What each task needs."""
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Backlog:
    """Work that waits for the executors of one service, in order, and their capacity."""

    works: tuple[WaitingWork, ...]
    sums: tuple[Resources, ...]
    """What all work before each position needs; one longer than `works`."""
    free: Resources
    total: Resources
    turnover_per_s: float | None
    """Share of the used capacity that is released each second; None until it is measured."""

    @classmethod
    def build(
        cls,
        works: Iterable[WaitingWork],
        *,
        free: Resources,
        total: Resources,
        turnover_per_s: float | None,
    ) -> "Backlog":
        """Sort waiting work by its order, and sum it up."""
        ordered = tuple(sorted(works, key=lambda work: work.key))
        sums = [NOTHING]
        for work in ordered:
            sums.append(sums[-1] + work.need.times(work.count))
        return cls(
            works=ordered,
            sums=tuple(sums),
            free=free,
            total=total,
            turnover_per_s=turnover_per_s,
        )

    def ahead(self, key: OrderKey) -> tuple[WaitingWork, ...]:
        """Return the work that goes before `key`."""
        return self.works[: self._position(key)]

    def share_ahead(self, key: OrderKey) -> float:
        """Return what the work before `key` needs, as a share of all capacity."""
        return self.sums[self._position(key)].dominant_share(self.total)

    def wait_s(self, key: OrderKey, need: Resources) -> float | None:
        """Return for how long work at `key` that needs `need` at once waits, in seconds.

        None while the release rate is unknown.
        """
        if not self.turnover_per_s:
            return None
        missing = self.sums[self._position(key)] + need - self.free
        return missing.dominant_share(self.total) / self.turnover_per_s

    def _position(self, key: OrderKey) -> int:
        return bisect_left(self.works, key, key=lambda work: work.key)
