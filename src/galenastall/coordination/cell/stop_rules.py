"""The rules by which the leader stops runs, and counts of stopped runs by rule."""

from collections import Counter
from enum import StrEnum

from galenastall.state.cell.jobs import TaskKey

_ENTIRE_GANG = -1


class StopRule(StrEnum):
    """Why the leader stops a run."""

    STALLED = "stands_still"
    """The run makes no progress."""
    SLOW_EXECUTOR = "slow_executor"
    """The run should end sooner on another executor."""
    EXECUTOR_LEAVES = "executor_leaves"
    """Its executor leaves before the run would end."""
    MAINTENANCE = "maintenance"
    """Its host is being emptied."""
    MEMBER_ENDED = "member_ended"
    """Another member of its gang has ended."""
    NO_ANSWER = "no_answer"
    """Its start orders got no answer."""
    REFUSED_LATER = "refused_later"
    """A start was refused after an earlier one that got no answer."""
    CAPACITY_SHRANK = "room_shrank"
    """Its start got no answer, and the capacity or quota for it is gone."""
    JOB_ENDED = "job_ended"


class JobStops:
    """Counts the stopped runs of one job by rule, under this leader."""

    __slots__ = ("_last_runs", "by_rule")

    def __init__(self) -> None:
        """Create empty counts."""
        self.by_rule: Counter[StopRule] = Counter()
        self._last_runs: dict[tuple[int, int, int], int] = {}

    def count(self, key: TaskKey, run: int, rule: StopRule, *, is_gang: bool) -> bool:
        """Count a stop; a gang's run counts once, by the rule that stopped its first member."""
        number = _ENTIRE_GANG if is_gang else key.number
        place = (key.occurrence, key.step, number)
        if self._last_runs.get(place) == run:
            return False
        self._last_runs[place] = run
        self.by_rule[rule] += 1
        return True
