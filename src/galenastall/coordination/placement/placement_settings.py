"""Settings of the placement core; operators change them in the shared tree."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from galenastall.coordination.placement.estimates import SIZE_QUANTILE
from galenastall.coordination.placement.overrun import OverrunSettings
from galenastall.coordination.placement.placement_commands import TeamShare
from galenastall.coordination.placement.quarantine import QuarantineSettings
from galenastall.state.ids import TeamPath
from galenastall.state.work import TaskSpec, Urgency, Workload

URGENT_CLASS: Final = "urgent"
"""Class of urgent tasks of any workload; other tasks go by their workload's name."""

DEFAULT_POLICY: Final = "leftover"


def class_of(task: TaskSpec) -> str:
    """Return the name under which settings choose a policy for this task."""
    return URGENT_CLASS if task.urgency is Urgency.URGENT else task.workload.value


def default_policies() -> dict[str, str]:
    """Return the policy that each class has unless settings say otherwise."""
    names = (URGENT_CLASS, *(workload.value for workload in Workload))
    return dict.fromkeys(names, DEFAULT_POLICY)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSettings:
    """What operators may set; every default is meant to be usable."""

    policies_by_class: Mapping[str, str] = field(default_factory=default_policies)
    """Placement policy by class: `urgent`, `service`, `batch`, `gang`."""
    teams_by_path: Mapping[TeamPath, TeamShare] = field(default_factory=dict)
    default_share: TeamShare = field(default_factory=TeamShare)
    """For teams that the tree doesn't name."""
    queue_order: str = "fair"
    """`fair`: urgent by deadline, then teams by share; `fifo`: by arrival, as a baseline."""
    is_learning: bool = True
    """Whether reservations follow learned sizes where these are larger than declared."""
    learned_quantile: float = SIZE_QUANTILE
    """Quantile of measured peaks that a learned size stands for, 0 to 1."""
    is_preempting: bool = True
    """Whether urgent tasks may have lower classes checkpointed or stopped."""
    starvation_s: float = 600.0
    """After this wait a task goes ahead of all but urgent ones and has a worker drained for it."""
    backfill_starvation_s: float | None = None
    """The same for backfill; None for `starvation_s`."""
    overdue_every: int = 8
    """At least one of so many placements goes to a starving task, whatever is urgent."""
    start_settle_s: float = 15.0
    """Time after which an unanswered start that a worker doesn't list can't take effect any more:
    its not-after time, its longest delay in the network and the skew between clocks."""
    command_retry_s: float = 5.0
    """When to repeat a stop or checkpoint that had no effect yet."""
    refusal_pause_s: float = 1.0
    """How long a worker that refused a start gets nothing new."""
    gang_promise_s: float = 10.0
    """How long room stays promised to a gang that could not be held whole and asks again."""
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    overrun: OverrunSettings = field(default_factory=OverrunSettings)
    remembered_ends: int = 50_000
    """Ended tasks kept, so that a late cancellation is told that they were done."""

    def starvation_of(self, urgency: Urgency) -> float:
        """Return after how many seconds a waiting task of this class is starving."""
        if urgency is Urgency.BACKFILL and self.backfill_starvation_s is not None:
            return self.backfill_starvation_s
        return self.starvation_s
