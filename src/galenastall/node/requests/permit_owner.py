"""Owner side of permits: handles asks and returns, grants, and takes over from earlier owners."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import trio
from returns.result import Success

from galenastall.coordination.requests.ejection import Ejection, EjectionLimits
from galenastall.coordination.requests.permit_types import OwnedUpstream, Permit, PermitLimits
from galenastall.coordination.requests.slots import AllowedSlots, OwnedSlots, all_slots
from galenastall.protocol.clock import Clock
from galenastall.protocol.event_sink import EventSink
from galenastall.protocol.ownership_view import OwnershipView
from galenastall.protocol.peers import PeerLink
from galenastall.protocol.permit_messages import (
    PermitAsks,
    PermitGrants,
    PermitLedgerAnswer,
    PermitLedgerCall,
    PermitReport,
    PermitReportCall,
    PermitReturn,
    PermitReturns,
)
from galenastall.state.hosts import ListedHost
from galenastall.state.ids import Epoch, HostId, OwnableId, OwnableKind, make_ownable_id
from galenastall.state.upstream_tenures import TenureHistory

TAKEOVER_CALL_S: Final = 0.5
"""Time-out of one call to an earlier owner or an entry host."""
TAKEOVER_RETRY_S: Final = 0.5


@dataclass(slots=True)
class _Pending:
    """Contents of the next message to an entry host."""

    permits: list[Permit]
    refused: list[int]


class PermitOwner:
    """Grants permits on the upstreams that this entry host owns."""

    def __init__(
        self,
        *,
        clock: Clock,
        peers: PeerLink,
        ownership: OwnershipView,
        tenures: TenureHistory,
        limits: PermitLimits,
        ejection: EjectionLimits,
        events: EventSink,
        recent_clients: Callable[[], Mapping[HostId, float]],
        is_leaving: Callable[[HostId], bool],
        deliver: Callable[[Permit], None],
        refuse: Callable[[int], None],
        report: Callable[[PermitReportCall, HostId], PermitReport],
        note_leaving: Callable[[HostId], None],
    ) -> None:
        """`deliver` and `refuse` answer this entry host's asks; `report` returns its permits.

        `recent_clients` returns the entry hosts that may hold permits, with the seconds for which
        they may still do so if they never answer.
        """
        self.slots = OwnedSlots(limits=limits)
        self.ejection = Ejection(limits=ejection)
        self._clock = clock
        self._peers = peers
        self._me = peers.host_id
        self._ownership = ownership
        self._tenures = tenures
        self._events = events
        self._recent_clients = recent_clients
        self._is_leaving = is_leaving
        self._deliver = deliver
        self._refuse = refuse
        self._report = report
        self._note_leaving = note_leaving
        self._hosts_by_id: dict[HostId, ListedHost] = {}
        self._epochs_by_id: dict[HostId, Epoch] = {}
        self._ownables_by_id: dict[HostId, OwnableId] = {}
        self._pending_by_client: defaultdict[HostId, _Pending] = defaultdict(
            lambda: _Pending([], [])
        )
        self._flush = trio.Event()
        self._takeovers: list[tuple[HostId, Epoch]] = []
        self._takeover_queued = trio.Event()
        self.ask_received = trio.Event()
        """Set by local and remote asks; ends a long pause between ticks."""
        self.expired = 0
        """Permits that expired without being released."""
        ownership.on_activated(self._on_activated)
        ownership.on_lost(self._on_lost)
        peers.handle(PermitAsks, self._on_asks)
        peers.handle(PermitReturns, self._on_returns)
        peers.handle(PermitLedgerCall, self._on_ledger_call)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Send batches and perform takeovers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_batches)
            task_status.started()
            while True:
                await self._takeover_queued.wait()
                self._takeover_queued = trio.Event()
                takeovers, self._takeovers = self._takeovers, []
                for upstream, epoch in takeovers:
                    nursery.start_soon(self._take_over, upstream, epoch)

    def set_hosts(self, hosts_by_id: Mapping[HostId, ListedHost]) -> None:
        """Apply the listed upstreams; opens those that were activated before they were listed."""
        self._hosts_by_id = dict(hosts_by_id)
        self.slots.clients = max(1, len(self._ownership.roster()))
        for upstream, epoch in list(self._epochs_by_id.items()):
            listed = self._hosts_by_id.get(upstream)
            if listed is None:
                continue
            if self.slots.is_open(upstream):
                self.slots.update(_owned_upstream(listed))
            else:
                self._open(upstream, epoch)

    def tick(self) -> None:
        """Free expired slots, update which upstreams are leaving, and grant."""
        self.expired += self.slots.expire(now=self._clock.now())
        for upstream in self.slots.upstreams():
            self.slots.set_leaving(upstream, self._is_leaving(upstream))
        self.grant()

    def ask(self, *, client: HostId, asks: PermitAsks) -> None:
        """Queue an entry host's asks, or refuse them if no slot may be granted here.

        Call `grant` afterwards.
        """
        self.ask_received.set()
        now = self._clock.now()
        can_grant = self.load()[0] > 0
        for ask in asks.asks:
            taken = can_grant and self.slots.ask(
                client=client, urgency=ask.urgency, ask_id=ask.ask_id, now=now
            )
            if not taken:
                self._refuse_ask(client, ask.ask_id)

    def grant(self) -> None:
        """Grant free slots; this entry host's own permits are delivered at once."""
        now = self._clock.now()
        granted = self.slots.grant(now=now, may_act=self._may_act, allowed=self._allowance())
        for client, permit in granted:
            if client == self._me:
                self._deliver(permit)
                continue
            self._pending_by_client[client].permits.append(permit)
            self._flush.set()

    def apply_return(self, returned: PermitReturn) -> bool:
        """Free a slot and update ejection; return False if the upstream is not open here."""
        upstream = returned.upstream
        if not self.slots.is_open(upstream):
            return False
        now = self._clock.now()
        self.slots.release(permit_id=returned.permit_id, busy_for_s=returned.busy_for_s, now=now)
        if returned.leaving:
            self._note_leaving(upstream)
            self.slots.set_leaving(upstream, True)
        self._update_ejection(returned, now)
        return True

    def load(self) -> tuple[int, int, int]:
        """Return the grantable slots, the slots in use and the number of waiting asks."""
        slots, in_use = self.slots.totals(allowed=self._allowance())
        return slots, in_use, self.slots.waiting

    def _update_ejection(self, returned: PermitReturn, now: float) -> None:
        if returned.outcome is None:
            return
        if returned.is_fault:
            ejected = self.ejection.failed(upstream=returned.upstream, now=now)
        else:
            ejected = self.ejection.succeeded(
                upstream=returned.upstream,
                latency_s=returned.latency_s,
                slots=self.slots.slots_of(returned.upstream),
                now=now,
            )
        if ejected:
            cause = "failures" if returned.is_fault else "latency"
            self._events.record("ejection.ejected", peer=returned.upstream, cause=cause)

    def _may_act(self, upstream: HostId) -> Epoch | None:
        return self._ownership.may_act(self._ownables_by_id[upstream])

    def _allowance(self) -> AllowedSlots:
        """Return the slot limits from ejection; costs nothing while no upstream is limited."""
        if not self.ejection.limits_any():
            return all_slots
        now = self._clock.now()
        return lambda upstream, slots: self.ejection.allowed(
            upstream=upstream, slots=slots, now=now
        )

    def _on_activated(self, ownable: OwnableId, epoch: Epoch) -> None:
        kind, _, name = ownable.partition("/")
        if kind != OwnableKind.UPSTREAM:
            return
        upstream = HostId(name)
        self._epochs_by_id[upstream] = epoch
        self._ownables_by_id[upstream] = make_ownable_id(OwnableKind.UPSTREAM, upstream)
        self._open(upstream, epoch)

    def _on_lost(self, ownable: OwnableId) -> None:
        kind, _, name = ownable.partition("/")
        if kind != OwnableKind.UPSTREAM:
            return
        upstream = HostId(name)
        self._epochs_by_id.pop(upstream, None)
        self.slots.close(upstream, now=self._clock.now())
        self.ejection.remove(upstream)
        if not self.slots.upstreams():
            for client, ask_id in self.slots.drop_asks():
                self._refuse_ask(client, ask_id)

    def _refuse_ask(self, client: HostId, ask_id: int) -> None:
        """Notify the entry host at once, so that it asks another owner instead of waiting."""
        if client == self._me:
            self._refuse(ask_id)
            return
        self._pending_by_client[client].refused.append(ask_id)
        self._flush.set()

    def _open(self, upstream: HostId, epoch: Epoch) -> None:
        listed = self._hosts_by_id.get(upstream)
        if listed is None:
            return
        ownable = self._ownables_by_id[upstream]
        is_first = self._tenures.is_first(ownable=ownable, epoch=epoch)
        self.slots.open(
            upstream=_owned_upstream(listed),
            epoch=epoch,
            unreported=() if is_first else (self._me,),
            now=self._clock.now(),
        )
        self.slots.set_leaving(upstream, self._is_leaving(upstream))
        self.ejection.add(upstream)
        if not is_first:
            self._takeovers.append((upstream, epoch))
            self._takeover_queued.set()

    async def _take_over(self, upstream: HostId, epoch: Epoch) -> None:
        """Collect earlier owners' grants, from the last owner's ledger or else all entry hosts."""
        if await self._request_ledger(upstream, epoch):
            self._events.record("permits.took_over", peer=upstream, cause="ledger")
            self.grant()
            return
        unreported = dict(self._recent_clients())
        now = self._clock.now()
        self.slots.expect_reports(upstream=upstream, epoch=epoch, unreported=unreported, now=now)
        self._events.record("permits.took_over", peer=upstream, cause="reports")
        while self._epochs_by_id.get(upstream) == epoch:
            waiting = self.slots.unreported(upstream)
            if not waiting:
                break
            async with trio.open_nursery() as nursery:
                for client in waiting:
                    nursery.start_soon(self._request_report, upstream, epoch, client)
            self.grant()
            await trio.sleep(TAKEOVER_RETRY_S)

    async def _request_ledger(self, upstream: HostId, epoch: Epoch) -> bool:
        ownable = self._ownables_by_id[upstream]
        last = self._tenures.previous_owner(ownable=ownable, epoch=epoch)
        if last is None:
            return False
        if last == self._me:
            ledger = self.slots.ledger(upstream=upstream, before=epoch, now=self._clock.now())
        else:
            call = PermitLedgerCall(upstream=upstream, epoch=epoch)
            answer = await self._peers.call(peer=last, message=call, timeout_s=TAKEOVER_CALL_S)
            ledger = answer.unwrap().ledger if isinstance(answer, Success) else None
        if ledger is None:
            return False
        now = self._clock.now()
        self.slots.take_over(upstream=upstream, epoch=epoch, ledger=ledger, now=now)
        return True

    async def _request_report(self, upstream: HostId, epoch: Epoch, client: HostId) -> None:
        call = PermitReportCall(upstream=upstream, epoch=epoch)
        if client == self._me:
            self.apply_report(upstream, epoch, client, self._report(call, client))
            return
        answer = await self._peers.call(peer=client, message=call, timeout_s=TAKEOVER_CALL_S)
        if isinstance(answer, Success):
            self.apply_report(upstream, epoch, client, answer.unwrap())

    def apply_report(
        self, upstream: HostId, epoch: Epoch, client: HostId, report: PermitReport
    ) -> None:
        """Count an entry host's permits; if it started recently, keep waiting for expiry.

        Its previous incarnation may hold permits that the new process does not know of.
        """
        if report.alive_s < self.slots.limits.takeover_s:
            return
        self.slots.report(
            upstream=upstream,
            epoch=epoch,
            client=client,
            held=report.held,
            now=self._clock.now(),
        )

    async def _on_asks(self, sender: HostId, asks: PermitAsks) -> None:
        self.ask(client=sender, asks=asks)
        self.grant()

    async def _on_returns(self, sender: HostId, message: PermitReturns) -> None:
        not_open = [one for one in message.returns if not self.apply_return(one)]
        now = self._clock.now()
        for returned in not_open:
            self.slots.release(
                permit_id=returned.permit_id, busy_for_s=returned.busy_for_s, now=now
            )
            owner = self._ownership.owner_of(
                make_ownable_id(OwnableKind.UPSTREAM, returned.upstream)
            )
            if owner is not None and owner != self._me and not message.forwarded:
                forward = PermitReturns(returns=(returned,), forwarded=True)
                self._peers.send(peer=owner, message=forward)
        self.grant()

    async def _on_ledger_call(self, sender: HostId, call: PermitLedgerCall) -> Any:
        now = self._clock.now()
        ledger = self.slots.ledger(upstream=call.upstream, before=call.epoch, now=now)
        return PermitLedgerAnswer(ledger=ledger)

    async def _send_batches(self) -> None:
        """Send what accumulated while the event loop was busy, so batches grow with load."""
        while True:
            await self._flush.wait()
            self._flush = trio.Event()
            pending = dict(self._pending_by_client)
            self._pending_by_client.clear()
            slots, in_use, waiting = self.load()
            for client, batch in pending.items():
                message = PermitGrants(
                    permits=tuple(batch.permits),
                    refused=tuple(batch.refused),
                    slots=slots,
                    in_use=in_use,
                    waiting=waiting,
                )
                self._peers.send(peer=client, message=message)


def _owned_upstream(listed: ListedHost) -> OwnedUpstream:
    return OwnedUpstream(
        host_id=listed.host_id,
        address=listed.address,
        slots=listed.slots,
        connections=listed.connections,
    )
