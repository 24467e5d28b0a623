"""Workspaces of a cell: job ownership, concurrent resource limits and shares."""

from dataclasses import dataclass
from typing import Final

from galenastall.state.resources import NOTHING, Resources

NO_WORKSPACE: Final = ""
"""Owner of a job that was submitted to a public queue."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """One workspace, from the configuration in force when the workspace was read."""

    name: str
    weight: float = 1.0
    """Its share under contention, and the jobs per second that it is entitled to."""
    limit: Resources = NOTHING
    """Limit on concurrent use by its tasks across all executors; 0 for a resource is no limit."""

    def allows(self, used: Resources) -> bool:
        """Return whether the workspace may use this much at once."""
        limit = self.limit
        return (
            _is_within(used.cores_milli, limit.cores_milli)
            and _is_within(used.memory_mb, limit.memory_mb)
            and _is_within(used.accelerators, limit.accelerators)
        )

    def max_additional(self, need: Resources, *, used: Resources, most: int) -> int:
        """Return how many tasks of `need` the workspace may add to `used`, at most `most`."""
        limit = self.limit
        count = min(
            _count(need.cores_milli, limit.cores_milli, used.cores_milli, most),
            _count(need.memory_mb, limit.memory_mb, used.memory_mb, most),
            _count(need.accelerators, limit.accelerators, used.accelerators, most),
        )
        return max(count, 0)


def _is_within(amount: int, limit: int) -> bool:
    return limit <= 0 or amount <= limit


def _count(need: int, limit: int, used: int, most: int) -> int:
    if limit <= 0 or need <= 0:
        return most
    return min((limit - used) // need, most)


def may_access(*, owner: str, workspace: str) -> bool:
    """Return whether a caller of `workspace` may query and cancel a job of `owner`.

    A job without an owner is accessible to all callers of its queue.
    """
    return owner in {NO_WORKSPACE, workspace}
