"""Which jobs are within the rate of their workspace.

Answers this load: one workspace hands in many times its usual, and all of it waits in one line with
what others hand in. A workspace is owed `weight` jobs a second; what is beyond that runs where
nothing that is owed wants the room.
"""

from dataclasses import dataclass
from typing import Final

from galenastall.state.cell.workspaces import Workspace

BURST_S: Final = 5.0
"""Seconds of its rate that a workspace may hand in at one moment."""
MIN_BURST: Final = 1.0
"""Jobs: a workspace of a small weight still hands in whole ones."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _TokenBucket:
    """Jobs that a workspace may hand in at a time."""

    jobs: float
    at: float
    """Wall time in seconds of the last job."""


class JobRates:
    """Keeps an account for each workspace, which fills with time and pays for jobs."""

    def __init__(self) -> None:
        """Begin with full accounts."""
        self._buckets_by_name: dict[str, _TokenBucket] = {}

    def is_within(self, workspace: Workspace, *, wall: float) -> bool:
        """Charge a job that comes at `wall` seconds; False if it is beyond the workspace's rate."""
        most = max(workspace.weight * BURST_S, MIN_BURST)
        full = _TokenBucket(jobs=most, at=wall)
        known = self._buckets_by_name.get(workspace.name, full)
        filled = workspace.weight * max(wall - known.at, 0.0)
        jobs = min(known.jobs + filled, most)
        is_within = jobs >= 1.0
        left = jobs - 1.0 if is_within else jobs
        self._buckets_by_name[workspace.name] = _TokenBucket(jobs=left, at=wall)
        return is_within
