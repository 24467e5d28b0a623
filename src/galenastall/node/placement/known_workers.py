"""Present and past workers, from the platform's host list and from the log."""

from collections.abc import Callable, Mapping

from galenastall.protocol.clock import Clock
from galenastall.state.hosts import HostState, ListedHost
from galenastall.state.ids import HostId
from galenastall.state.job_fold import JobFold, JobState
from galenastall.state.job_records import WorkersChanged


class KnownWorkers:
    """Workers on which tasks may run or may have run."""

    def __init__(
        self,
        *,
        fold: JobFold,
        listed: Callable[[], Mapping[HostId, ListedHost]],
        clock: Clock,
        vanished_s: float,
    ) -> None:
        """`vanished_s`: how long a worker may still run tasks after it left the list."""
        self._fold = fold
        self._listed = listed
        self._clock = clock
        self._vanished_s = vanished_s
        self._seen_live: dict[HostId, float] = {}

    def note(self, now: float) -> None:
        """Update from the current host list."""
        for worker, host in self._listed().items():
            if host.state is not HostState.GONE:
                self._seen_live[worker] = now
        for worker, seen in list(self._seen_live.items()):
            if now > seen + self._vanished_s:
                del self._seen_live[worker]

    def expected(self) -> set[HostId] | None:
        """Return the workers on which tasks may run; None while the host list is unknown."""
        self.note(self._clock.wall())
        if not self._listed():
            return None
        since = self._clock.wall() - self._vanished_s
        logged = {
            worker
            for worker, gone_at in self._fold.gone_at_by_worker.items()
            if gone_at is None or gone_at > since
        }
        return logged | self._seen_live.keys()

    def may_have_lost_ends(self, job: JobState) -> bool:
        """Return whether a worker that may have run tasks of this job is gone."""
        since = job.spec.submitted_at
        for worker, gone_at in self._fold.gone_at_by_worker.items():
            if gone_at is not None and gone_at >= since:
                return True
            if gone_at is None and worker not in self._seen_live:
                return True
        return False

    def changes(self) -> WorkersChanged | None:
        """Return the changes of the host list that are not in the log yet; None if none."""
        if not self._listed():
            return None
        known = self._fold.gone_at_by_worker
        seen = sorted(w for w in self._seen_live if known.get(w, 0.0) is not None)
        gone = sorted(w for w, at in known.items() if at is None and w not in self._seen_live)
        if not seen and not gone:
            return None
        return WorkersChanged(seen=tuple(seen), gone=tuple(gone), at=self._clock.wall())
