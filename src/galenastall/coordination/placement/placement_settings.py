"""Settings of the placement core; operators change them in the shared settings tree."""

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
"""Class of urgent tasks of any workload; other tasks have their workload's name as class."""

DEFAULT_POLICY: Final = "leftover"


def class_of(task: TaskSpec) -> str:
    """Return the class by which settings choose a placement policy for this task."""
    return URGENT_CLASS if task.urgency is Urgency.URGENT else task.workload.value


def default_policies() -> dict[str, str]:
    """Return the default policy of each class."""
    names = (URGENT_CLASS, *(workload.value for workload in Workload))
    return dict.fromkeys(names, DEFAULT_POLICY)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementSettings:
    """Settings that operators may change; every default is meant to be usable."""

    policies_by_class: Mapping[str, str] = field(default_factory=default_policies)
    """Placement policy by class: `urgent`, `service`, `batch`, `gang`."""
    teams_by_path: Mapping[TeamPath, TeamShare] = field(default_factory=dict)
    default_share: TeamShare = field(default_factory=TeamShare)
    """For teams that the settings tree doesn't name."""
    queue_order: str = "fair"
    """`fair`: urgent by deadline, then teams by share; `fifo`: by arrival, as a baseline."""
    is_learning: bool = True
    """Whether reservations follow learned sizes where these are larger than declared."""
    learned_quantile: float = SIZE_QUANTILE
    """Quantile of measured peaks that is used as learned size, 0 to 1."""
    is_preempting: bool = True
    """Whether urgent tasks may have lower classes checkpointed or stopped."""
    starvation_s: float = 600.0
    """Wait after which a task precedes all but urgent ones and is promised a worker's capacity."""
    backfill_starvation_s: float | None = None
    """The same for backfill; None for `starvation_s`."""
    overdue_every: int = 8
    """At least one of this many placements goes to a starving task, even if urgent ones wait."""
    start_settle_s: float = 15.0
    """Time after which an unanswered start that a worker doesn't list can no longer take effect:
    its not-after time plus the longest network delay and the skew between clocks."""
    command_retry_s: float = 5.0
    """Time after which a stop or checkpoint without effect is repeated."""
    refusal_pause_s: float = 1.0
    """How long a worker that refused a start gets nothing new."""
    gang_promise_s: float = 10.0
    """How long capacity stays promised to a gang that could not be held completely and retries."""
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    overrun: OverrunSettings = field(default_factory=OverrunSettings)
    remembered_ends: int = 50_000
    """Ended tasks remembered, so that a late cancellation of one is answered with ALREADY_DONE."""

    def starvation_of(self, urgency: Urgency) -> float:
        """Return the seconds after which a waiting task of this class is starving."""
        if urgency is Urgency.BACKFILL and self.backfill_starvation_s is not None:
            return self.backfill_starvation_s
        return self.starvation_s
