"""Permits of one entry host: asks owners for permits, holds granted ones and releases them."""

from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import Any, Final

import trio

from galenastall.coordination.requests.permit_types import Permit
from galenastall.coordination.requests.permits import PermitHolder
from galenastall.coordination.requests.upstream_choice import CHOICE_POLICIES, OwnerLoad
from galenastall.node.requests.permit_owner import PermitOwner
from galenastall.node.requests.permit_settings import RequestSettings
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.peers import PeerLink
from galenastall.protocol.permit_messages import (
    PermitAsk,
    PermitAsks,
    PermitGrants,
    PermitReport,
    PermitReportCall,
    PermitReturn,
    PermitReturns,
)
from galenastall.state.hosts import HostKind, HostListing, HostState, ListedHost
from galenastall.state.ids import DataCentre, HostId, OwnableId, OwnableKind, make_ownable_id
from galenastall.state.upstream_tenures import TenureHistory
from galenastall.state.work import Urgency

TICK_S: Final = 0.025
"""Period at which asks expire, late requests are dropped and free slots are granted."""
IDLE_TICK_S: Final = 0.25
"""The same while neither requests nor asks wait here; the first ask ends it."""
LOAD_STALE_S: Final = 2.0
"""Age after which an owner's reported load is ignored."""


class PermitService:
    """Client and owner side of permits on one entry host."""

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        clock: Clock,
        peers: PeerLink,
        ownership: OwnershipView,
        tenures: TenureHistory,
        settings: Callable[[], RequestSettings],
        random: Random,
        events: EventSink,
    ) -> None:
        """Subscribe `tenures` to the data centre's stream before the follower runs."""
        self._data_centre = data_centre
        self._clock = clock
        self._peers = peers
        self._me = peers.host_id
        self._ownership = ownership
        self._settings = settings
        self._random = random
        self._events = events
        self._started_at = clock.now()
        limits = settings().permits
        self._longest_s = limits.takeover_s
        self._holder = PermitHolder(limits=limits)
        self.owner = PermitOwner(
            clock=clock,
            peers=peers,
            ownership=ownership,
            tenures=tenures,
            limits=limits,
            ejection=settings().ejection,
            events=events,
            recent_clients=self.recent_clients,
            is_leaving=self.is_leaving,
            deliver=self._deliver_own,
            refuse=self._refuse_own,
            report=self._report,
            note_leaving=self._note_leaving,
        )
        ownership.on_activated(lambda _ownable, _epoch: self._refresh_owners())
        ownership.on_lost(lambda _ownable: self._refresh_owners())
        self._take: Callable[[Permit], bool] = _takes_none
        self._demand: Callable[[], tuple[int, Urgency]] = _no_demand
        self._upstreams_by_id: dict[HostId, ListedHost] = {}
        self._ownables_by_id: dict[HostId, OwnableId] = {}
        self._owners: tuple[HostId, ...] = ()
        self._loads_by_id: dict[HostId, OwnerLoad] = {}
        self._load_received_at_by_id: dict[HostId, float] = {}
        self._leaving_reported_at_by_id: dict[HostId, float] = {}
        self._seen_at_by_client: dict[HostId, float] = {}
        self._asks_by_owner: defaultdict[HostId, list[PermitAsk]] = defaultdict(list)
        self._returns_by_owner: defaultdict[HostId, list[PermitReturn]] = defaultdict(list)
        self._flush = trio.Event()
        self.unused = 0
        """Permits released unused."""
        peers.handle(PermitGrants, self._on_grants)
        peers.handle(PermitReportCall, self._on_report_call)

    def connect(
        self, *, take: Callable[[Permit], bool], demand: Callable[[], tuple[int, Urgency]]
    ) -> None:
        """Set who takes permits, and who returns how many requests wait and their highest class."""
        self._take = take
        self._demand = demand

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Ask for, grant and release permits until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.owner.run)
            nursery.start_soon(self._send_batches)
            task_status.started()
            while True:
                self._tick()
                await trio.sleep(TICK_S)
                if not self._is_busy:
                    with trio.move_on_after(IDLE_TICK_S):
                        await self.owner.ask_received.wait()
                self.owner.ask_received = trio.Event()

    def set_hosts(self, listing: HostListing) -> None:
        """Apply the platform's host list; absent, leaving or gone upstreams get no new requests."""
        now = self._clock.now()
        here = [h for h in listing.by_id.values() if h.data_centre == self._data_centre]
        self._upstreams_by_id = {h.host_id: h for h in here if h.kind is HostKind.UPSTREAM}
        self._ownables_by_id = {
            upstream: make_ownable_id(OwnableKind.UPSTREAM, upstream)
            for upstream in self._upstreams_by_id
        }
        for host in here:
            if host.kind is HostKind.ENTRY and host.state is not HostState.GONE:
                self._seen_at_by_client[host.host_id] = now
        self.owner.set_hosts(self._upstreams_by_id)
        self._refresh_owners()

    def is_leaving(self, upstream: HostId) -> bool:
        """Return whether the list, an operator or the upstream itself reports it as leaving."""
        listed = self._upstreams_by_id.get(upstream)
        if listed is None or listed.state is not HostState.LIVE:
            return True
        if upstream in self._settings().leaving:
            return True
        reported_at = self._leaving_reported_at_by_id.get(upstream)
        return (
            reported_at is not None
            and reported_at + self._settings().leaving_report_s > self._clock.now()
        )

    def has_upstreams(self) -> bool:
        """Return whether any upstream of this data centre accepts work."""
        return any(not self.is_leaving(upstream) for upstream in self._upstreams_by_id)

    def recent_clients(self) -> dict[HostId, float]:
        """Return the entry hosts that may hold permits, with the seconds for which they may.

        A process younger than the longest permit cannot know which entry hosts existed before it
        started: an entry with an empty id stands for them.
        """
        now = self._clock.now()
        recent = {
            client: self._longest_s
            for client, seen_at in self._seen_at_by_client.items()
            if seen_at + self._longest_s > now
        }
        recent.update(dict.fromkeys(self._ownership.roster(), self._longest_s))
        age_s = now - self._started_at
        if age_s < self._longest_s:
            recent[HostId("")] = self._longest_s - age_s
        return recent

    def request_permits(self, *, avoid: tuple[HostId, ...] = ()) -> None:
        """Ask for as many permits as requests wait, within the window.

        `avoid` lists the upstreams that the current request has already tried.
        """
        waiting, urgency = self._demand()
        window = self._settings().ask_window * (2 if urgency is Urgency.URGENT else 1)
        if waiting and not self.owner.ask_received.is_set():
            self.owner.ask_received.set()
            self._apply_settings()
            self._refresh_owners()
        missing = min(waiting, window) - self._holder.outstanding
        asked_self = False
        while missing > 0 and self._owners:
            missing -= 1
            asked_self |= self._ask_one(urgency, avoid)
        if asked_self:
            self.owner.grant()

    def may_begin(self, permit: Permit) -> bool:
        """Return whether a request may be sent under the permit; call right before sending."""
        return self._holder.may_begin(
            permit_id=permit.permit_id, now=self._clock.now()
        ) and not self.is_leaving(permit.upstream)

    def ends_at(self, permit: Permit) -> float:
        """Return the monotonic time by which the request must have ended."""
        return self._holder.ends_at(permit_id=permit.permit_id)

    def owner_of(self, permit: Permit) -> HostId | None:
        """Return the owner that granted a held permit."""
        return self._holder.owner_of(permit_id=permit.permit_id)

    def release(self, returned: PermitReturn) -> None:
        """Release a permit and report the result of its request."""
        if returned.leaving:
            self._note_leaving(returned.upstream)
        owner = self._holder.drop(
            permit_id=returned.permit_id,
            busy_for_s=returned.busy_for_s,
            now=self._clock.now(),
        )
        self._send_return(returned, owner)

    def release_unused(self, permit: Permit) -> None:
        """Release a permit under which no request was sent."""
        self.unused += 1
        self.release(PermitReturn(permit_id=permit.permit_id, upstream=permit.upstream))

    @property
    def host_id(self) -> HostId:
        """This entry host."""
        return self._me

    @property
    def held(self) -> int:
        """Permits held."""
        return self._holder.held

    def _ask_one(self, urgency: Urgency, avoid: tuple[HostId, ...]) -> bool:
        owner = self._choose(avoid)
        ask_id = self._holder.ask(owner=owner, now=self._clock.now())
        ask = PermitAsk(ask_id=ask_id, urgency=urgency, avoid=avoid)
        if owner == self._me:
            self.owner.ask(client=owner, asks=PermitAsks(asks=(ask,)))
            return True
        self._note_asked(owner)
        self._asks_by_owner[owner].append(ask)
        self._flush.set()
        return False

    def _choose(self, avoid: tuple[HostId, ...]) -> HostId:
        """Return the owner to ask: this host while it has free slots, as that costs no message."""
        owners = self._owners_avoiding(avoid) if avoid else self._owners
        if self._me in owners:
            slots, in_use, waiting = self.owner.load()
            if in_use + waiting < slots:
                return self._me
            self._loads_by_id[self._me] = OwnerLoad(slots=slots, in_use=in_use, waiting=waiting)
        policy = CHOICE_POLICIES.get(self._settings().choice_policy)
        return policy(owners, self._loads_by_id, self._random)

    def _owners_avoiding(self, avoid: tuple[HostId, ...]) -> tuple[HostId, ...]:
        """Return the owners that have an upstream not in `avoid`, or all if none has."""
        owners = {
            self._ownership.owner_of(ownable)
            for upstream, ownable in self._ownables_by_id.items()
            if upstream not in avoid
        }
        return tuple(owner for owner in self._owners if owner in owners) or self._owners

    def _note_asked(self, owner: HostId) -> None:
        load = self._loads_by_id.get(owner)
        if load is None:
            return
        self._loads_by_id[owner] = OwnerLoad(
            slots=load.slots,
            in_use=load.in_use,
            waiting=load.waiting,
            asked_since=load.asked_since + 1,
        )

    @property
    def _is_busy(self) -> bool:
        return bool(self._holder.outstanding or self.owner.slots.waiting or self._demand()[0])

    def _tick(self) -> None:
        now = self._clock.now()
        self._apply_settings()
        self._refresh_owners()
        self._seen_at_by_client.update(dict.fromkeys(self._ownership.roster(), now))
        stale = [o for o, at in self._load_received_at_by_id.items() if at + LOAD_STALE_S <= now]
        for owner in stale:
            del self._load_received_at_by_id[owner]
            self._loads_by_id.pop(owner, None)
        self._holder.expire_asks(now=now)
        self.owner.tick()
        self.request_permits()

    def _apply_settings(self) -> None:
        settings = self._settings()
        limits = settings.permits
        self._holder.limits = limits
        self._longest_s = limits.takeover_s
        self.owner.slots.limits = limits
        self.owner.ejection.limits = settings.ejection

    def _refresh_owners(self) -> None:
        owners = {
            owner
            for upstream, ownable in self._ownables_by_id.items()
            if not self.is_leaving(upstream)
            and (owner := self._ownership.owner_of(ownable)) is not None
        }
        self._owners = tuple(sorted(owners))

    def _deliver_own(self, permit: Permit) -> None:
        self._accept(permit, self._me)

    def _refuse_own(self, ask_id: int) -> None:
        self._holder.note_refused(ask_id=ask_id)

    def _note_leaving(self, upstream: HostId) -> None:
        self._leaving_reported_at_by_id[upstream] = self._clock.now()

    def _accept(self, permit: Permit, owner: HostId) -> None:
        if not self._holder.accept(permit=permit, owner=owner, now=self._clock.now()):
            self.unused += 1
            returned = PermitReturn(permit_id=permit.permit_id, upstream=permit.upstream)
            self._send_return(returned, owner)
            return
        if self.is_leaving(permit.upstream) or not self._take(permit):
            self.release_unused(permit)

    def _send_return(self, returned: PermitReturn, holder_owner: HostId | None) -> None:
        ownable = make_ownable_id(OwnableKind.UPSTREAM, returned.upstream)
        owner = self._ownership.owner_of(ownable) or holder_owner
        if owner is None:
            return
        if owner == self._me:
            if self.owner.apply_return(returned):
                self.owner.grant()
            return
        self._returns_by_owner[owner].append(returned)
        self._flush.set()

    async def _on_grants(self, sender: HostId, grants: PermitGrants) -> None:
        self._loads_by_id[sender] = OwnerLoad(
            slots=grants.slots, in_use=grants.in_use, waiting=grants.waiting
        )
        self._load_received_at_by_id[sender] = self._clock.now()
        for ask_id in grants.refused:
            self._holder.note_refused(ask_id=ask_id)
        for permit in grants.permits:
            self._accept(permit, sender)

    async def _on_report_call(self, sender: HostId, call: PermitReportCall) -> Any:
        return self._report(call, sender)

    def _report(self, call: PermitReportCall, owner: HostId) -> PermitReport:
        now = self._clock.now()
        held = self._holder.report(upstream=call.upstream, epoch=call.epoch, owner=owner, now=now)
        return PermitReport(held=held, alive_s=now - self._started_at)

    async def _send_batches(self) -> None:
        while True:
            await self._flush.wait()
            self._flush = trio.Event()
            asks, returns = dict(self._asks_by_owner), dict(self._returns_by_owner)
            self._asks_by_owner.clear()
            self._returns_by_owner.clear()
            for owner, released in returns.items():
                self._peers.send(peer=owner, message=PermitReturns(returns=tuple(released)))
            for owner, wanted in asks.items():
                self._peers.send(peer=owner, message=PermitAsks(asks=tuple(wanted)))


def _takes_none(_permit: Permit) -> bool:
    return False


def _no_demand() -> tuple[int, Urgency]:
    return 0, Urgency.NORMAL
