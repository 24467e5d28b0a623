"""Find out from a worker's last owner until when its starts may still arrive there."""

from typing import Protocol

from returns.result import Success

from galenastall.coordination.placement.start_horizon import StartHorizon
from galenastall.node.jobs.job_link import JobLink
from galenastall.protocol.clock import Clock
from galenastall.protocol.job_messages import PendingStarts, PendingStartsQuery
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.state.ids import Epoch, HostId, OwnableId, OwnableKind, make_ownable_id


class Tenures(Protocol):
    """Earlier owners according to the data centre's ownership stream."""

    def is_first(self, *, ownable: OwnableId, epoch: Epoch) -> bool:
        """Return whether `epoch` is certainly the first in which the ownable had an owner."""

    def previous(self, *, ownable: OwnableId, epoch: Epoch) -> tuple[Epoch, HostId] | None:
        """Return the epoch and owner before `epoch`, if known."""


class StartSettling:
    """Queries last owners, and answers the queries of later owners."""

    def __init__(
        self,
        *,
        horizon: StartHorizon,
        tenures: Tenures,
        ownership: OwnershipView,
        link: JobLink,
        clock: Clock,
    ) -> None:
        """`horizon` is shared with the sender of starts."""
        self._horizon = horizon
        self._tenures = tenures
        self._ownership = ownership
        self._link = link
        self._clock = clock
        link.answer(PendingStartsQuery, self._on_call)

    def begin(self, worker: HostId, epoch: Epoch, *, settle_s: float) -> None:
        """Begin to own a worker: earlier owners may have starts in flight."""
        ownable = make_ownable_id(OwnableKind.WORKER, worker)
        last = self._tenures.previous(ownable=ownable, epoch=epoch)
        is_first = self._tenures.is_first(ownable=ownable, epoch=epoch)
        self._horizon.begin(
            worker,
            epoch=epoch,
            last_epoch=last[0] if last else None,
            until=0.0 if is_first else self._clock.wall() + settle_s,
        )

    def is_settled(self, worker: HostId, *, at: float) -> bool:
        """Return whether no earlier owner's start can take effect after wall time `at`."""
        return self._horizon.inherited_until(worker) <= at

    async def query_last_owner(self, worker: HostId, epoch: Epoch) -> None:
        """Query the last owner if it is alive, so that a planned handover needs no wait."""
        ownable = make_ownable_id(OwnableKind.WORKER, worker)
        last = self._tenures.previous(ownable=ownable, epoch=epoch)
        if last is None or self.is_settled(worker, at=self._clock.wall()):
            return
        last_epoch, host = last
        if host == self._link.host_id:
            return
        call = PendingStartsQuery(worker_id=worker, epoch=last_epoch)
        answered = await self._link.call(host, call)
        if isinstance(answered, Success) and answered.unwrap().left_s is not None:
            until = self._clock.wall() + answered.unwrap().left_s
            self._horizon.shorten(worker, epoch=epoch, until=until)

    async def _on_call(self, _sender: HostId, call: PendingStartsQuery) -> PendingStarts:
        """Answer only for an epoch that is over here, as no more starts are sent under it."""
        ownable = make_ownable_id(OwnableKind.WORKER, call.worker_id)
        if self._ownership.may_act(ownable) is not None:
            return PendingStarts(left_s=None)
        now = self._clock.wall()
        return PendingStarts(left_s=self._horizon.left_s(call.worker_id, epoch=call.epoch, now=now))
