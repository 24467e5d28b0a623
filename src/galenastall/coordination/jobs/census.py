"""Find out which tasks of a shard run before any that may run is assigned again.

An unconfirmed task may be started only after every entry host of the roster has reported its tasks,
and every worker of the data centre is accounted for by its owner: listed since that owner took it
over, or its leases have provably expired. Until then the task may still be queued or running.
"""

from collections.abc import Iterable

from galenastall.coordination.placement.task_reports import HostCensus
from galenastall.state.ids import HostId


class Census:
    """One round of queries to all entry hosts."""

    def __init__(self, *, doubts: int, queues_expire_at: float) -> None:
        """Start with no answers.

        `doubts` is the shard's count of unconfirmed tasks at the start: later ones need
        another census. At `queues_expire_at`, in wall seconds, no task that was queued
        under another epoch or by a lost assignee is valid any more.
        """
        self.doubts = doubts
        self._queues_expire_at = queues_expire_at
        self._answered: set[HostId] = set()
        self._workers: set[HostId] = set()

    def on_answer(self, census: HostCensus) -> None:
        """Add one entry host's answer; a later one adds to it and replaces nothing."""
        self._answered.add(census.host_id)
        self._workers.update(census.workers)

    def missing_hosts(self, roster: Iterable[HostId]) -> set[HostId]:
        """Return the roster's entry hosts that have not answered."""
        return set(roster) - self._answered

    def missing_workers(self, workers: Iterable[HostId]) -> set[HostId]:
        """Return the workers that no answer accounts for."""
        return set(workers) - self._workers

    def is_complete(
        self, *, roster: Iterable[HostId], workers: Iterable[HostId], now: float
    ) -> bool:
        """Return whether a task that nobody reported is provably neither queued nor running.

        Entry hosts that don't answer matter only while their queued tasks are valid; tasks
        that run on their workers are reported by the workers' next owners.
        """
        if self.missing_workers(workers):
            return False
        return now > self._queues_expire_at or not self.missing_hosts(roster)
