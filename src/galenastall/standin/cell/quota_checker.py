"""Checks that no workspace uses more resources at once than its limit allows."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

import trio

from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import NOTHING, Resources

OVERAGE: Final = 0.1
"""Share of its limit by which a workspace may exceed it, in addition to one task."""
LIMIT_GRACE_S: Final = 3.0
"""How long starts may use an earlier limit."""


class QuotaChecker:
    """Checks each start against the limits that may be in force."""

    def __init__(self) -> None:
        """Start without limits."""
        self._by_name: dict[str, Workspace] = {}
        self._earlier: defaultdict[str, list[tuple[float, Workspace]]] = defaultdict(list)
        """Earlier versions of each workspace, with the time until which each was in force."""

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Apply a newer version of the configuration."""
        now = trio.current_time()
        by_name = {workspace.name: workspace for workspace in workspaces}
        for name, workspace in self._by_name.items():
            if by_name.get(name) != workspace:
                self._earlier[name].append((now, workspace))
        self._by_name = by_name

    def violation(self, name: str, *, used: Resources, started: Resources) -> str:
        """Describe the violation if starting `started` brings a workspace to `used`; else empty."""
        allowed = self._allowed(name)
        if not allowed or any(_allows(each, used - started) for each in allowed):
            return ""
        return f"workspace {name} has {used} at once, allowed is {allowed[-1].limit}"

    def _allowed(self, name: str) -> list[Workspace]:
        """Return the versions of a workspace that may be in force; none if it is unknown.

        A removed workspace has no limit.
        """
        current = self._by_name.get(name)
        if current is None:
            return []
        since = trio.current_time() - LIMIT_GRACE_S
        return [each for until, each in self._earlier[name] if until > since] + [current]


def _allows(workspace: Workspace, used_before: Resources) -> bool:
    """Whether a workspace that uses `used_before` may start one more task."""
    limit = workspace.limit
    over = Resources(
        cores_milli=_with_overage(limit.cores_milli),
        memory_mb=_with_overage(limit.memory_mb),
        accelerators=_with_overage(limit.accelerators),
    )
    return Workspace(name=workspace.name, limit=over).allows(used_before)


def _with_overage(amount: int) -> int:
    return int(amount * (1.0 + OVERAGE))


def sum_of(needs: Iterable[Resources]) -> Resources:
    """Return the total of some runs' resources."""
    return sum(needs, NOTHING)
