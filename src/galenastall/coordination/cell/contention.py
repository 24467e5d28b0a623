"""Which rules for contention a cell applies, derived from its configuration."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.mechanisms import DisabledMechanisms, Mechanism
from galenastall.state.cell.workspaces import Workspace

MIN_COMPETING_WORKSPACES: Final = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class ContentionRules:
    """The rules in force; all are off where no workspaces compete."""

    refuses_by_backlog: bool = False
    """Whether jobs that can't be done in time are refused when they are submitted."""
    orders_by_share: bool = False
    """Whether jobs beyond the rates of their workspaces are ordered by the workspaces' shares."""
    reserves_for_urgent: bool = False
    """Whether capacity is made available for urgent work before other work uses it."""


NO_RULES: Final = ContentionRules()


def contention_rules(
    workspaces: Collection[Workspace], without: DisabledMechanisms
) -> ContentionRules:
    """Return the rules for a cell that is shared among workspaces with weights."""
    weighted = sum(1 for workspace in workspaces if workspace.weight > 0)
    if weighted < MIN_COMPETING_WORKSPACES:
        return NO_RULES
    return ContentionRules(
        refuses_by_backlog=Mechanism.ADMISSION not in without,
        orders_by_share=Mechanism.SHARES not in without,
        reserves_for_urgent=Mechanism.URGENT_CAPACITY not in without,
    )
