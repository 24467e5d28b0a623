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
        """Sort waiting work by its order."""
        ordered = tuple(sorted(works, key=lambda work: work.key))
        return cls(works=ordered, free=free, total=total, turnover_per_s=turnover_per_s)

    def competing(self, key: OrderKey, task: Resources) -> list[WaitingWork]:
        """Return the work that goes before `key` and whose tasks are not larger than `task`.

        Larger tasks don't delay it for certain: it may start on capacity too small for them.
        """
        end = bisect_left(self.works, key, key=lambda work: work.key)
        return [work for work in self.works[:end] if work.need.fits_in(task)]

    def share_ahead(self, key: OrderKey, task: Resources) -> float:
        """Return what the competing work needs, as a share of all capacity."""
        return self._ahead(key, task).dominant_share(self.total)

    def wait_s(self, key: OrderKey, need: Resources, task: Resources) -> float | None:
        """Return for how long work at `key` that needs `need` at once waits, in seconds.

        `task` is the need of its largest task. None while the release rate is unknown.
        """
        if not self.turnover_per_s:
            return None
        missing = self._ahead(key, task) + need - self.free
        return missing.dominant_share(self.total) / self.turnover_per_s

    def _ahead(self, key: OrderKey, task: Resources) -> Resources:
        needs = (work.need.times(work.count) for work in self.competing(key, task))
        return sum(needs, NOTHING)
