"""Renew the leases of running tasks whose worker's owner is unresponsive.

So an owner's death kills no running task, even while nobody can take over because the log is down.
A peer announces it in its heartbeats for a while before it renews: an owner that is unreachable
only from this host must not treat those leases as expired.
"""

from collections.abc import Callable, Mapping

import trio
import xxhash
from returns.result import Success

from galenastall.node.placement.worker_timings import WorkerTimings
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.platform import WorkerService
from galenastall.state.hosts import HostState, ListedHost
from galenastall.state.ids import HostId, OwnableKind, make_ownable_id


class PeerLeaseRenewer:
    """Chooses the workers of unresponsive owners on which this entry host renews, and renews."""

    def __init__(
        self,
        *,
        host_id: HostId,
        workers: WorkerService,
        ownership: OwnershipView,
        clock: Clock,
        timings: WorkerTimings,
        listed_workers: Callable[[], Mapping[HostId, ListedHost]],
        events: EventSink,
    ) -> None:
        """`listed_workers` returns the data centre's workers."""
        self._host_id = host_id
        self._workers = workers
        self._ownership = ownership
        self._clock = clock
        self.timings = timings
        self._listed_workers = listed_workers
        self._events = events
        self._last_seen_at: dict[HostId, float] = {}
        self._since: dict[HostId, float] = {}
        self._started_at = clock.wall()

    def note_alive(self, host: HostId, now: float) -> None:
        """Record that an entry host is alive."""
        self._last_seen_at[host] = now

    def renewing(self) -> tuple[HostId, ...]:
        """Return the workers of other owners on which this entry host renews, or will soon."""
        return tuple(self._since)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Check and renew until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(self.timings.announce_s / 2)
            now = self._clock.wall()
            self._choose(now)
            due = [
                worker
                for worker, since in self._since.items()
                if now >= since + self.timings.announce_s
            ]
            async with trio.open_nursery() as nursery:
                for worker in due:
                    nursery.start_soon(self._renew, worker)

    def _choose(self, now: float) -> None:
        chosen: dict[HostId, float] = {}
        responsive = [
            host
            for host in sorted(self._ownership.roster() | {self._host_id})
            if host == self._host_id or not self._is_unresponsive(host, now)
        ]
        for worker, host in self._listed_workers().items():
            owner = self._ownership.owner_of(make_ownable_id(OwnableKind.WORKER, worker))
            if host.state is HostState.GONE or owner is None or owner == self._host_id:
                continue
            if not self._is_unresponsive(owner, now):
                continue
            if min(responsive, key=lambda each: _rank(each, worker)) == self._host_id:
                chosen[worker] = self._since.get(worker, now)
        for worker in chosen.keys() - self._since.keys():
            self._events.record(
                "lease.help", peer=worker, cause="its owner is unresponsive; renewing for it"
            )
        self._since = chosen

    def _is_unresponsive(self, host: HostId, now: float) -> bool:
        last_seen = self._last_seen_at.get(host, self._started_at)
        return now > last_seen + self.timings.owner_silent_s

    async def _renew(self, worker: HostId) -> None:
        host = self._listed_workers().get(worker)
        if host is None:
            return
        with trio.move_on_after(self.timings.call_s):
            listed = await self._workers.listing(address=host.address)
            if not isinstance(listed, Success):
                return
            tasks = [running.task.task_id for running in listed.unwrap().running]
            # The listing may have taken long: renew only while this is still announced to peers.
            if not tasks or worker not in self._since:
                return
            await self._workers.renew(
                address=host.address,
                tasks=tasks,
                lease_until=self._clock.wall() + self.timings.lease_s,
            )


def _rank(host: HostId, worker: HostId) -> int:
    return int(xxhash.xxh64_intdigest(f"{host}/{worker}".encode()))
