"""Watches that no workspace has more at once than the platform allows it."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

import trio

from galenastall.state.cell.workspaces import Workspace
from galenastall.state.resources import NOTHING, Resources

OVERAGE: Final = 0.1
"""Share of its limit by which a workspace may be over it, beside one task."""
LIMIT_GRACE_S: Final = 3.0
"""For how long starts may go by an earlier limit."""


class QuotaChecker:
    """Knows the limits that may be in force, and judges each start by them."""

    def __init__(self) -> None:
        """Begin without limits."""
        self._by_name: dict[str, Workspace] = {}
        self._earlier: defaultdict[str, list[tuple[float, Workspace]]] = defaultdict(list)
        """Each with the time until which it was in force."""

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Put a newer version of the configuration into force."""
        now = trio.current_time()
        by_name = {workspace.name: workspace for workspace in workspaces}
        for name, workspace in self._by_name.items():
            if by_name.get(name) != workspace:
                self._earlier[name].append((now, workspace))
        self._by_name = by_name

    def violation(self, name: str, *, used: Resources, started: Resources) -> str:
        """Return what is wrong if a start of `started` brings a workspace to `used`."""
        allowed = self._allowed(name)
        if not allowed or any(_allows(each, used - started) for each in allowed):
            return ""
        return f"workspace {name} has {used} at once, allowed is {allowed[-1].limit}"

    def _allowed(self, name: str) -> list[Workspace]:
        """Return the versions of a workspace of which any may be in force; none if it is unknown.

        A workspace that was removed has no limit.
        """
        current = self._by_name.get(name)
        if current is None:
            return []
        since = trio.current_time() - LIMIT_GRACE_S
        return [each for until, each in self._earlier[name] if until > since] + [current]


def _allows(workspace: Workspace, used_before: Resources) -> bool:
    """Whether a workspace that has `used_before` may start one task more."""
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
    """Return what some runs have together."""
    return sum(needs, NOTHING)
