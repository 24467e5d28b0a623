"""Owner-side accounting of upstreams: slots, connections, granted permits and waiting asks.

An ask is an entry host's request for a permit. Only the owner of an upstream grants permits on it,
from the exact count kept here. Times in a permit are durations since the requesting entry host
*sent* its ask, so no two clocks are compared: the owner received it later, and therefore frees the
slot later than the entry host stops using it.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping

from galenastall.coordination.requests.permit_types import (
    HeldPermit,
    LedgerUse,
    OwnedUpstream,
    Permit,
    PermitLedger,
    PermitLimits,
)
from galenastall.coordination.requests.slot_tables import SlotUse, UpstreamTable, WaitingAsk
from galenastall.state.ids import Epoch, HostId
from galenastall.state.work import Urgency

AllowedSlots = Callable[[HostId, int], int]
"""Maps an upstream and its slot count to the slots usable now (outlier ejection)."""


def all_slots(_upstream: HostId, slots: int) -> int:
    """Allow every slot."""
    return slots


class OwnedSlots:
    """The upstreams that this entry host owns and the asks waiting for their slots."""

    def __init__(self, *, limits: PermitLimits, clients: int = 1) -> None:
        """Start without upstreams; `clients` is the number of entry hosts that may hold permits."""
        self.limits = limits
        self.clients = clients
        self._upstreams_by_id: dict[HostId, UpstreamTable] = {}
        self._upstream_by_permit: dict[str, UpstreamTable] = {}
        self._closed_by_id: dict[HostId, UpstreamTable] = {}
        self._asks: dict[Urgency, OrderedDict[HostId, deque[WaitingAsk]]] = {
            urgency: OrderedDict() for urgency in Urgency
        }
        self._asks_by_client: dict[HostId, int] = {}

    def open(
        self, *, upstream: OwnedUpstream, epoch: Epoch, unreported: Iterable[HostId], now: float
    ) -> None:
        """Begin to grant on an upstream under a new epoch.

        Each entry host in `unreported` may hold permits of an earlier owner: the upstream counts as
        full until all have reported or the longest permit has expired.
        """
        until = now + self.limits.takeover_s
        table = UpstreamTable(info=upstream, epoch=epoch)
        table.unreported_until_by_client = dict.fromkeys(unreported, until)
        self.close(upstream.host_id, now=now)
        self._upstreams_by_id[upstream.host_id] = table

    def report(
        self,
        *,
        upstream: HostId,
        epoch: Epoch,
        client: HostId,
        held: Iterable[HeldPermit],
        now: float,
    ) -> None:
        """Count the permits an entry host still holds and mark it as having reported.

        Reports must be requested under the epoch passed to `open`; others are ignored.
        """
        table = self._table_under(upstream, epoch)
        if table is None:
            return
        for permit in held:
            self._adopt(table, permit.permit_id, client, now + permit.ends_in_s)
        self._note_reported(table, client)

    def take_over(
        self, *, upstream: HostId, epoch: Epoch, ledger: PermitLedger, now: float
    ) -> None:
        """Continue from the last owner's ledger; only hosts that it still awaited are awaited."""
        table = self._table_under(upstream, epoch)
        if table is None:
            return
        for use in ledger.uses:
            self._adopt(table, use.permit_id, use.client, now + use.ends_in_s)
        table.unreported_until_by_client = {client: now + s for client, s in ledger.silent}
        self._clear_early_returns(table)

    def expect_reports(
        self, *, upstream: HostId, epoch: Epoch, unreported: Mapping[HostId, float], now: float
    ) -> None:
        """Replace the awaited entry hosts, each with the seconds it may still hold permits."""
        table = self._table_under(upstream, epoch)
        if table is not None:
            table.unreported_until_by_client = {client: now + s for client, s in unreported.items()}

    def ledger(self, *, upstream: HostId, before: Epoch, now: float) -> PermitLedger | None:
        """Return the ledger for the owner of the later epoch `before`; None if there is none.

        This closes the upstream, so that nothing is granted after the ledger was returned.
        """
        table = self._upstreams_by_id.get(upstream)
        if table is not None and table.epoch < before:
            self.close(upstream, now=now)
        closed = self._closed_by_id.get(upstream)
        if closed is None or closed.epoch >= before:
            return None
        unreported = closed.unreported_until_by_client.items()
        return PermitLedger(
            uses=tuple(
                LedgerUse(permit_id=permit_id, client=use.client, ends_in_s=use.until - now)
                for permit_id, use in closed.uses_by_permit.items()
                if use.until > now
            ),
            silent=tuple((client, until - now) for client, until in unreported if until > now),
        )

    def close(self, upstream: HostId, *, now: float) -> None:
        """Stop granting on an upstream, for example when its ownership was lost.

        Slots in use are remembered for the lifetime of a permit, so the next owner can query them.
        """
        closed = self._upstreams_by_id.pop(upstream, None)
        if closed is None:
            return
        closed.forget_at = now + self.limits.longest_s + self.limits.grace_s
        self._closed_by_id[upstream] = closed

    def update(self, upstream: OwnedUpstream) -> None:
        """Apply a changed address or size; nothing is granted while uses exceed the new size."""
        table = self._upstreams_by_id.get(upstream.host_id)
        if table is not None and table.info != upstream:
            table.info = upstream

    def set_leaving(self, upstream: HostId, leaving: bool) -> None:
        """Stop granting on an upstream that is leaving, or resume it."""
        table = self._upstreams_by_id.get(upstream)
        if table is not None:
            table.leaving = leaving

    def ask(
        self,
        *,
        client: HostId,
        urgency: Urgency,
        ask_id: int,
        now: float,
        avoid: tuple[HostId, ...] = (),
    ) -> bool:
        """Queue an ask; return False if the entry host has too many waiting.

        Upstreams in `avoid` are granted only if no other is free.
        """
        waiting = self._asks_by_client.get(client, 0)
        if waiting >= self.limits.asks_per_client:
            return False
        self._asks_by_client[client] = waiting + 1
        asks = self._asks[urgency].setdefault(client, deque())
        asks.append(WaitingAsk(ask_id, now + self.limits.ask_ttl_s, avoid))
        return True

    def drop_asks(self) -> list[tuple[HostId, int]]:
        """Remove and return all waiting asks, for an owner that has nothing left to grant."""
        dropped = [
            (client, ask.ask_id)
            for asks_by_client in self._asks.values()
            for client, asks in asks_by_client.items()
            for ask in asks
        ]
        for asks_by_client in self._asks.values():
            asks_by_client.clear()
        self._asks_by_client.clear()
        return dropped

    def forget_client(self, client: HostId) -> None:
        """Drop the asks of an entry host that is gone; its permits count until they expire."""
        self._asks_by_client.pop(client, None)
        for asks_by_client in self._asks.values():
            asks_by_client.pop(client, None)

    def grant(
        self, *, now: float, may_act: Callable[[HostId], Epoch | None], allowed: AllowedSlots
    ) -> list[tuple[HostId, Permit]]:
        """Grant free slots to waiting asks: urgent first, then round robin over entry hosts.

        `may_act` is called right before each grant; an upstream whose epoch differs grants nothing.
        """
        granted: list[tuple[HostId, Permit]] = []
        if not self._asks_by_client:
            return granted
        free_by_id = self._free(allowed)
        for urgency in Urgency:
            self._grant_urgency(self._asks[urgency], free_by_id, now, may_act, granted)
            if not free_by_id:
                break
        return granted

    def release(self, *, permit_id: str, busy_for_s: float, now: float) -> HostId | None:
        """Free a permit's slot; return its upstream, or None if the permit is not known.

        If `busy_for_s` is above 0, the request may still run for that many seconds: the slot stays
        in use until then, or until the permit expires if that is earlier.
        """
        table = self._upstream_by_permit.get(permit_id)
        if table is None:
            self._note_early_return(permit_id, busy_for_s)
            return None
        if busy_for_s <= 0:
            self._free_use(table, permit_id)
            return table.info.host_id
        use = table.uses_by_permit[permit_id]
        use.until = min(use.until, now + busy_for_s)
        return table.info.host_id

    def expire(self, *, now: float) -> int:
        """Free slots whose permits expired without being released; return how many."""
        expired = 0
        for table in self._upstreams_by_id.values():
            ended = [p for p, use in table.uses_by_permit.items() if use.until <= now]
            for permit_id in ended:
                self._free_use(table, permit_id)
            expired += len(ended)
            unreported = table.unreported_until_by_client
            for client in [c for c, until in unreported.items() if until <= now]:
                self._note_reported(table, client)
        for upstream in [u for u, closed in self._closed_by_id.items() if closed.forget_at <= now]:
            for permit_id in list(self._closed_by_id.pop(upstream).uses_by_permit):
                self._upstream_by_permit.pop(permit_id, None)
        return expired

    @property
    def waiting(self) -> int:
        """Waiting asks, including expired ones that have not been removed yet."""
        return sum(self._asks_by_client.values())

    def in_use(self, upstream: HostId) -> int:
        """Return the slots in use; all of them while any entry host has not reported."""
        table = self._upstreams_by_id[upstream]
        if table.unreported_until_by_client:
            return max(table.info.slots, len(table.uses_by_permit))
        return len(table.uses_by_permit)

    def slots_of(self, upstream: HostId) -> int:
        """Return how many slots an open upstream has."""
        return self._upstreams_by_id[upstream].info.slots

    def totals(self, *, allowed: AllowedSlots = all_slots) -> tuple[int, int]:
        """Return the grantable slots and the slots in use, summed over all upstreams."""
        slots = in_use = 0
        for host_id, table in self._upstreams_by_id.items():
            if table.leaving:
                continue
            size = table.info.slots
            slots += size if allowed is all_slots else allowed(host_id, size)
            used = len(table.uses_by_permit)
            in_use += size if table.unreported_until_by_client else min(used, size)
        return slots, in_use

    def upstreams(self) -> tuple[HostId, ...]:
        """Return the open upstreams."""
        return tuple(self._upstreams_by_id)

    def unreported(self, upstream: HostId) -> frozenset[HostId]:
        """Return the entry hosts that have not reported their permits yet."""
        table = self._upstreams_by_id.get(upstream)
        return frozenset(table.unreported_until_by_client) if table else frozenset()

    def is_open(self, upstream: HostId) -> bool:
        """Return whether this entry host grants on the upstream."""
        return upstream in self._upstreams_by_id

    def _table_under(self, upstream: HostId, epoch: Epoch) -> UpstreamTable | None:
        table = self._upstreams_by_id.get(upstream)
        return table if table is not None and table.epoch == epoch else None

    def _adopt(self, table: UpstreamTable, permit_id: str, client: HostId, ends_at: float) -> None:
        if permit_id in table.uses_by_permit or permit_id in table.returned_early:
            return
        self._use(table, permit_id, client, ends_at + self.limits.grace_s)

    def _note_reported(self, table: UpstreamTable, client: HostId) -> None:
        table.unreported_until_by_client.pop(client, None)
        self._clear_early_returns(table)

    def _clear_early_returns(self, table: UpstreamTable) -> None:
        if not table.unreported_until_by_client:
            table.returned_early.clear()

    def _note_early_return(self, permit_id: str, busy_for_s: float) -> None:
        table = self._upstreams_by_id.get(HostId(permit_id.rsplit(":", 2)[0]))
        if table is not None and table.unreported_until_by_client and busy_for_s <= 0:
            table.returned_early.add(permit_id)

    def _free(self, allowed: AllowedSlots) -> dict[HostId, int]:
        free_by_id: dict[HostId, int] = {}
        for host_id, table in self._upstreams_by_id.items():
            if table.leaving or table.unreported_until_by_client:
                continue
            slots = table.info.slots
            if allowed is not all_slots:
                slots = min(slots, allowed(host_id, slots))
            free = slots - len(table.uses_by_permit)
            if free > 0:
                free_by_id[host_id] = free
        return free_by_id

    def _grant_urgency(
        self,
        asks_by_client: OrderedDict[HostId, deque[WaitingAsk]],
        free_by_id: dict[HostId, int],
        now: float,
        may_act: Callable[[HostId], Epoch | None],
        granted: list[tuple[HostId, Permit]],
    ) -> None:
        passed_over = 0
        while asks_by_client and free_by_id and passed_over < len(asks_by_client):
            client, asks = next(iter(asks_by_client.items()))
            self._drop_expired(client, asks, now)
            if not asks:
                del asks_by_client[client]
                continue
            asks_by_client.move_to_end(client)
            table = self._pick(client, asks[0].avoid, free_by_id)
            if table is None:
                passed_over += 1
                continue
            passed_over = 0
            if may_act(table.info.host_id) != table.epoch:
                del free_by_id[table.info.host_id]
                continue
            ask = asks.popleft()
            self._count_removed_ask(client)
            granted.append((client, self._grant(table, client, ask, now)))
            free_by_id[table.info.host_id] -= 1
            if not free_by_id[table.info.host_id]:
                del free_by_id[table.info.host_id]

    def _drop_expired(self, client: HostId, asks: deque[WaitingAsk], now: float) -> None:
        while asks and asks[0].until <= now:
            asks.popleft()
            self._count_removed_ask(client)

    def _count_removed_ask(self, client: HostId) -> None:
        left = self._asks_by_client[client] - 1
        if left:
            self._asks_by_client[client] = left
        else:
            del self._asks_by_client[client]

    def _pick(
        self, client: HostId, avoid: tuple[HostId, ...], free_by_id: dict[HostId, int]
    ) -> UpstreamTable | None:
        """Return the upstream with most free slots on which the client may open a connection.

        Ties go to the one with the fewest grants, so that light load is spread too.
        """
        best: UpstreamTable | None = None
        best_rank = (False, 0, 0)
        for host_id, free in free_by_id.items():
            table = self._upstreams_by_id[host_id]
            share = max(1, table.info.connections // max(1, self.clients))
            rank = (host_id not in avoid, free, -table.serial)
            if rank > best_rank and table.uses_by_client.get(client, 0) < share:
                best, best_rank = table, rank
        return best

    def _grant(self, table: UpstreamTable, client: HostId, ask: WaitingAsk, now: float) -> Permit:
        table.serial += 1
        host_id = table.info.host_id
        permit_id = f"{host_id}:{table.epoch}:{table.serial}"
        self._use(table, permit_id, client, now + self.limits.longest_s + self.limits.grace_s)
        return Permit(
            permit_id=permit_id,
            upstream=host_id,
            address=table.info.address,
            epoch=table.epoch,
            ask_id=ask.ask_id,
            begin_within_s=self.limits.begin_within_s,
            ends_within_s=self.limits.longest_s,
        )

    def _use(self, table: UpstreamTable, permit_id: str, client: HostId, until: float) -> None:
        table.uses_by_permit[permit_id] = SlotUse(client, until)
        table.uses_by_client[client] = table.uses_by_client.get(client, 0) + 1
        self._upstream_by_permit[permit_id] = table

    def _free_use(self, table: UpstreamTable, permit_id: str) -> None:
        use = table.uses_by_permit.pop(permit_id)
        self._upstream_by_permit.pop(permit_id, None)
        left = table.uses_by_client[use.client] - 1
        if left:
            table.uses_by_client[use.client] = left
        else:
            del table.uses_by_client[use.client]
