"""Decides which jobs are within the rate of their workspace.

Addresses this load: one workspace submits many times its usual load, and all of it waits in one
queue with the jobs of others. A workspace is entitled to `weight` jobs a second; jobs beyond that
run where no job within its rate needs the capacity.
"""

from dataclasses import dataclass
from typing import Final

from galenastall.state.cell.workspaces import Workspace

BURST_S: Final = 5.0
"""Burst size of a workspace, in seconds of its rate."""
MIN_BURST: Final = 1.0
"""Minimum burst in jobs, so that a workspace of a small weight can submit one at all."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _TokenBucket:
    """Jobs that a workspace may still submit at once."""

    jobs: float
    at: float
    """Wall time of the last job, in seconds."""


class JobRates:
    """Keeps a token bucket for each workspace, refilled over time and charged for each job."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets_by_name: dict[str, _TokenBucket] = {}

    def would_be_within(self, workspace: Workspace, *, wall: float) -> bool:
        """Whether a job submitted at `wall` seconds would be within the workspace's rate."""
        return self._left(workspace, wall) >= 1.0

    def is_within(self, workspace: Workspace, *, wall: float) -> bool:
        """Charge a job submitted at `wall` seconds; False if it is beyond the workspace's rate."""
        jobs = self._left(workspace, wall)
        is_within = jobs >= 1.0
        left = jobs - 1.0 if is_within else jobs
        self._buckets_by_name[workspace.name] = _TokenBucket(jobs=left, at=wall)
        return is_within

    def _left(self, workspace: Workspace, wall: float) -> float:
        most = max(workspace.weight * BURST_S, MIN_BURST)
        known = self._buckets_by_name.get(workspace.name, _TokenBucket(jobs=most, at=wall))
        filled = workspace.weight * max(wall - known.at, 0.0)
        return min(known.jobs + filled, most)
