"""How much of its share of the capacity each workspace uses, smoothed over a few seconds.

Addresses this load: some workspaces submit several times their usual work, or much wider jobs, and
hold most of the capacity while the work of others waits. A workspace's share is the dominant share
of what its runs use, divided by its weight's part of the weights of all workspaces with live work:
above 1, it uses more than its weight entitles it to.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import exp, inf
from typing import Final

from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import NOTHING, Resources

SMOOTHING_S: Final = 2.0
"""Time constant of the mean: single starts of wide gangs change it little."""
ABOVE_FROM: Final = 1.5
"""A workspace is above its share from this multiple on: usual load differs from the weights."""
BACK_AT: Final = 1.2
"""It is back within its share at this multiple."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """Use of one workspace against its entitlement."""

    ratio: float = 0.0
    """Smoothed use divided by the entitlement; 1 is exactly its share."""
    is_above: bool = False
    """Whether it uses clearly more than its weight entitles it to."""


NO_SHARE: Final = Share()


class WorkspaceShares:
    """Keeps the smoothed shares of the workspaces with live work."""

    def __init__(self) -> None:
        """Start without history: the first update takes the use as it is."""
        self._shares_by_name: dict[str, Share] = {}
        self._smoothed_by_name: dict[str, float] = {}
        self._updated_at = -inf

    @property
    def by_name(self) -> Mapping[str, Share]:
        """Shares by workspace, of those that have live work."""
        return self._shares_by_name

    def of(self, name: str) -> Share:
        """Return the share of a workspace; one without live work uses nothing."""
        return self._shares_by_name.get(name, NO_SHARE)

    def update(
        self,
        live: Iterable[Workspace],
        *,
        used_by_name: Mapping[str, Resources],
        capacity: Resources,
        now: float,
    ) -> list[str]:
        """Apply the present use; return the workspaces that went above their share or back.

        `live` are the workspaces that use or want capacity, `capacity` is that of all open
        executors, and `now` is the leader's time in seconds.
        """
        workspaces = sorted(live, key=lambda each: each.name)
        total_weight = sum(workspace.weight for workspace in workspaces)
        kept = exp(-max(now - self._updated_at, 0.0) / SMOOTHING_S)
        before = self._shares_by_name
        smoothed_by_name: dict[str, float] = {}
        self._shares_by_name = {}
        for workspace in workspaces:
            name = workspace.name
            use = used_by_name.get(name, NOTHING).dominant_share(capacity)
            smoothed = use + kept * (self._smoothed_by_name.get(name, 0.0 if before else use) - use)
            smoothed_by_name[name] = smoothed
            ratio = _ratio(smoothed, workspace.weight, total_weight)
            was_above = before.get(name, NO_SHARE).is_above
            is_above = ratio > (BACK_AT if was_above else ABOVE_FROM)
            self._shares_by_name[name] = Share(ratio=ratio, is_above=is_above)
        self._smoothed_by_name = smoothed_by_name
        self._updated_at = now
        names = sorted(before.keys() | self._shares_by_name.keys())
        return [
            name
            for name in names
            if before.get(name, NO_SHARE).is_above is not self.of(name).is_above
        ]


def _ratio(use: float, weight: float, total_weight: float) -> float:
    if use <= 0.0:
        return 0.0
    return use * total_weight / weight if weight > 0 else inf
