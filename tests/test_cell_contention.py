"""Tests of which rules for contention a configuration switches on."""

import pytest

from galenastall.coordination.cell.contention import (
    NO_RULES,
    ContentionRules,
    contention_rules,
)
from galenastall.coordination.cell.mechanisms import ALL_ON, Mechanism
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.coordination.cell.timings import CellTimings
from galenastall.state.cell.workspaces import Workspace

COMPETING = (Workspace(name="a", weight=2.0), Workspace(name="b", weight=1.0))


class TestContentionRules:
    """Rules are in force only where several workspaces have weights."""

    @pytest.mark.parametrize(
        "workspaces",
        [(), COMPETING[:1], (Workspace(name="a", weight=0.0), Workspace(name="b", weight=1.0))],
    )
    def test_a_cell_without_competing_workspaces_keeps_its_orders(
        self, workspaces: tuple[Workspace, ...]
    ) -> None:
        """No rule is in force without at least two weights to compare."""
        assert contention_rules(workspaces, ALL_ON) == NO_RULES

    def test_all_rules_hold_for_competing_workspaces(self) -> None:
        """Two weights are enough."""
        assert contention_rules(COMPETING, ALL_ON) == ContentionRules(reserves_for_urgent=True)

    def test_a_disabled_mechanism_is_not_in_force(self) -> None:
        """The rule can be switched off for measurements."""
        without = frozenset({Mechanism.URGENT_CAPACITY})
        assert contention_rules(COMPETING, without) == NO_RULES

    def test_a_new_configuration_changes_the_rules_of_a_running_leader(self) -> None:
        """A leader that starts without workspaces applies the rules once it reads of some."""
        core = CellScheduler(timings=CellTimings(), fenced_at=0.0)
        assert core.contention == NO_RULES
        core.set_workspaces(COMPETING)
        assert core.contention.reserves_for_urgent
