"""Learn what runs of a shard before anything that may run is given out again.

A task in doubt may be started only after every entry host of the roster has said what it has, and
every worker of the data centre has been spoken for by its owner: listed since that owner took it
over, or its leases provably lapsed. Before that, nobody can say that the task is nowhere.
"""

from collections.abc import Iterable

from galenastall.coordination.placement.task_reports import HostCensus
from galenastall.state.ids import HostId


class Census:
    """One round of asking all entry hosts."""

    def __init__(self, *, doubts: int, queues_expire_at: float) -> None:
        """Start with no answers.

        `doubts` is the shard's count of doubts at the start: later ones need another census. At
        `queues_void_at`, in wall seconds, no task that another epoch or a lost assignee queued is
        valid any more.
        """
        self.doubts = doubts
        self._queues_expire_at = queues_expire_at
        self._answered: set[HostId] = set()
        self._workers: set[HostId] = set()

    def on_answer(self, census: HostCensus) -> None:
        """Take in one entry host's answer; a later one replaces nothing, it adds."""
        self._answered.add(census.host_id)
        self._workers.update(census.workers)

    def missing_hosts(self, roster: Iterable[HostId]) -> set[HostId]:
        """Return the roster's entry hosts that have not answered."""
        return set(roster) - self._answered

    def missing_workers(self, workers: Iterable[HostId]) -> set[HostId]:
        """Return the workers that nobody spoke for."""
        return set(workers) - self._workers

    def is_complete(
        self, *, roster: Iterable[HostId], workers: Iterable[HostId], now: float
    ) -> bool:
        """Return whether a task that nobody reported is provably nowhere.

        Entry hosts that don't answer matter only while what they have queued is valid; what runs on
        their workers is told by the workers' next owners.
        """
        if self.missing_workers(workers):
            return False
        return now > self._queues_expire_at or not self.missing_hosts(roster)
