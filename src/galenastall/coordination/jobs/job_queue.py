"""Order of the jobs that have waiting tasks: urgent jobs by deadline, then teams in rotation.

The worker owners, who know their ledgers and the teams' shares, decide which task runs first; this
order ensures that each of them has tasks of all teams to choose from.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Iterator

from sortedcontainers import SortedDict

from galenastall.state.ids import JobId, TeamPath
from galenastall.state.work import JobSpec, Urgency

_Key = tuple[float, float, JobId]


def _key(spec: JobSpec) -> _Key:
    deadline = math.inf if spec.deadline is None else spec.deadline
    return deadline, spec.submitted_at, spec.job_id


class JobQueue:
    """Jobs that have tasks to assign."""

    def __init__(self) -> None:
        """Start empty."""
        self._jobs_by_team: dict[Urgency, OrderedDict[TeamPath, SortedDict]] = {
            urgency: OrderedDict() for urgency in Urgency
        }

    def add(self, spec: JobSpec) -> None:
        """Queue a job; queuing it twice changes nothing."""
        teams = self._jobs_by_team[spec.urgency]
        teams.setdefault(self._team(spec), SortedDict())[_key(spec)] = spec.job_id

    def discard(self, spec: JobSpec) -> None:
        """Remove a job, if it is queued."""
        teams = self._jobs_by_team[spec.urgency]
        jobs = teams.get(self._team(spec))
        if jobs is None:
            return
        jobs.pop(_key(spec), None)
        if not jobs:
            del teams[self._team(spec)]

    def in_order(self) -> Iterator[JobId]:
        """Yield jobs by urgency, one of each team in rotation; each job once.

        The first team of a round is the last of the next call, so that none is always last.
        """
        for teams in self._jobs_by_team.values():
            if teams:
                teams.move_to_end(next(iter(teams)))
            rows = [list(jobs.values()) for jobs in teams.values()]
            for turn in itertools.zip_longest(*rows):
                yield from (job_id for job_id in turn if job_id is not None)

    def _team(self, spec: JobSpec) -> TeamPath:
        # Urgent jobs of all teams share one queue, ordered by deadline.
        return TeamPath("") if spec.urgency is Urgency.URGENT else spec.team
