"""The owner's side of its upstreams: exact slots and connections, permits, and who waits for them.

Only the owner of an upstream grants permits on it, from the exact count kept here. Times in a
permit are spans counted from the moment at which the asking entry host *sent* its ask, so that no
two clocks are compared: the owner, which heard of it later, frees the slot later than the asker
stops using it.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from galenastall.state.ids import Epoch, HostId
from galenastall.state.work import Urgency


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitLimits:
    """Spans of a permit, in seconds; the same at owner and asker."""

    ask_ttl_s: float = 1.0
    """For how long an ask waits at the owner before the asker chooses anew."""
    begin_within_s: float = 2.0
    """From the ask until the request must have left; later the permit is void."""
    longest_s: float = 30.0
    """From the ask until the request is over at the latest; bounds a takeover."""
    grace_s: float = 1.0
    """Further time for which the owner counts an unreturned slot as in use."""
    asks_per_client: int = 256
    """Asks that one entry host may have waiting at an owner."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """The right to have one request in progress at an upstream."""

    permit_id: str
    upstream: HostId
    address: str
    epoch: Epoch
    ask_id: int
    """The asker's number of its ask; times count from when it sent that."""
    begin_within_s: float
    ends_within_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldPermit:
    """A permit that an entry host still holds, as it reports it to a new owner."""

    permit_id: str
    upstream: HostId
    ends_in_s: float
    """Seconds until it is over at the latest, at the moment of the report."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnedUpstream:
    """What the owner needs to know of an upstream when it opens it."""

    host_id: HostId
    address: str
    slots: int
    connections: int


@dataclass(slots=True)
class _Use:
    client: HostId
    until: float


@dataclass(slots=True)
class _Upstream:
    info: OwnedUpstream
    epoch: Epoch
    serial: int = 0
    leaving: bool = False
    uses_by_permit: dict[str, _Use] = field(default_factory=dict)
    uses_by_client: dict[HostId, int] = field(default_factory=dict)
    silent_until_by_client: dict[HostId, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Ask:
    ask_id: int
    until: float


AllowedSlots = Callable[[HostId, int], int]
"""Takes an upstream and its slots; returns how many may be used now (outlier ejection)."""


def all_slots(_upstream: HostId, slots: int) -> int:
    """Allow every slot."""
    return slots


class OwnedSlots:
    """All upstreams that this entry host owns and the asks that wait for them."""

    def __init__(self, *, limits: PermitLimits, clients: int = 1) -> None:
        """Own nothing yet; `clients` is how many entry hosts may hold permits."""
        self.limits = limits
        self.clients = clients
        self._upstreams_by_id: dict[HostId, _Upstream] = {}
        self._upstream_by_permit: dict[str, _Upstream] = {}
        self._asks: dict[Urgency, OrderedDict[HostId, deque[_Ask]]] = {
            urgency: OrderedDict() for urgency in Urgency
        }
        self._asks_by_client: dict[HostId, int] = {}

    def open(
        self, *, upstream: OwnedUpstream, epoch: Epoch, silent: Iterable[HostId], now: float
    ) -> None:
        """Begin to grant on an upstream under a new epoch.

        Each entry host in `silent` may hold permits of an earlier owner: until it has reported, or
        the longest permit has passed, the upstream counts as full.
        """
        until = now + self.limits.longest_s + self.limits.grace_s
        opened = _Upstream(info=upstream, epoch=epoch)
        opened.silent_until_by_client = dict.fromkeys(silent, until)
        self.close(upstream.host_id)
        self._upstreams_by_id[upstream.host_id] = opened

    def report(
        self,
        *,
        upstream: HostId,
        epoch: Epoch,
        client: HostId,
        held: Iterable[HeldPermit],
        now: float,
    ) -> None:
        """Count what an entry host still holds; it is silent no more.

        Ask for a report under the epoch that `open` was given; a report for another is passed over.
        """
        opened = self._upstreams_by_id.get(upstream)
        if opened is None or opened.epoch != epoch:
            return
        for permit in held:
            if permit.permit_id not in opened.uses_by_permit:
                until = now + permit.ends_in_s + self.limits.grace_s
                self._use(opened, permit.permit_id, client, until)
        opened.silent_until_by_client.pop(client, None)

    def close(self, upstream: HostId) -> None:
        """Stop granting on an upstream, for example when its ownership was lost."""
        closed = self._upstreams_by_id.pop(upstream, None)
        if closed is None:
            return
        for permit_id in closed.uses_by_permit:
            self._upstream_by_permit.pop(permit_id, None)

    def set_leaving(self, upstream: HostId, leaving: bool) -> None:
        """Grant nothing more on an upstream that leaves, or take it back."""
        opened = self._upstreams_by_id.get(upstream)
        if opened is not None:
            opened.leaving = leaving

    def ask(self, *, client: HostId, urgency: Urgency, ask_id: int, now: float) -> bool:
        """Queue an ask; False if the entry host has too many waiting."""
        waiting = self._asks_by_client.get(client, 0)
        if waiting >= self.limits.asks_per_client:
            return False
        self._asks_by_client[client] = waiting + 1
        asks = self._asks[urgency].setdefault(client, deque())
        asks.append(_Ask(ask_id, now + self.limits.ask_ttl_s))
        return True

    def forget_client(self, client: HostId) -> None:
        """Drop the waiting asks of an entry host that is gone; its permits stay until they end."""
        self._asks_by_client.pop(client, None)
        for asks_by_client in self._asks.values():
            asks_by_client.pop(client, None)

    def grant(
        self, *, now: float, may_act: Callable[[HostId], Epoch | None], allowed: AllowedSlots
    ) -> list[tuple[HostId, Permit]]:
        """Grant free slots to waiting asks: urgent first, then turn by turn over entry hosts.

        `may_act` is asked for each upstream at this moment; one whose epoch differs grants nothing.
        """
        granted: list[tuple[HostId, Permit]] = []
        if not self._asks_by_client:
            return granted
        free_by_id = self._free(now, may_act, allowed)
        for urgency in Urgency:
            self._grant_class(self._asks[urgency], free_by_id, now, granted)
            if not free_by_id:
                break
        return granted

    def give_back(self, *, permit_id: str, busy_for_s: float, now: float) -> HostId | None:
        """Free a permit's slot; return its upstream, or None if the permit is not known.

        `busy_for_s` above 0 says that the request may still run for so many seconds: the slot stays
        in use until then, or until the permit's own end if that is earlier.
        """
        opened = self._upstream_by_permit.get(permit_id)
        if opened is None:
            return None
        if busy_for_s <= 0:
            self._free_use(opened, permit_id)
            return opened.info.host_id
        use = opened.uses_by_permit[permit_id]
        use.until = min(use.until, now + busy_for_s)
        return opened.info.host_id

    def expire(self, *, now: float) -> int:
        """Free slots whose permits ended without being given back; return how many."""
        expired = 0
        for opened in self._upstreams_by_id.values():
            ended = [p for p, use in opened.uses_by_permit.items() if use.until <= now]
            for permit_id in ended:
                self._free_use(opened, permit_id)
            expired += len(ended)
            silent = opened.silent_until_by_client
            for client in [c for c, until in silent.items() if until <= now]:
                del silent[client]
        return expired

    @property
    def waiting(self) -> int:
        """Asks that wait, expired ones not yet met included."""
        return sum(self._asks_by_client.values())

    def in_use(self, upstream: HostId) -> int:
        """Return the slots in use, those that silent entry hosts may use included."""
        opened = self._upstreams_by_id[upstream]
        if opened.silent_until_by_client:
            return max(opened.info.slots, len(opened.uses_by_permit))
        return len(opened.uses_by_permit)

    def totals(self, *, allowed: AllowedSlots = all_slots) -> tuple[int, int]:
        """Return the slots that may be granted and those in use, over all upstreams."""
        slots = in_use = 0
        for host_id, opened in self._upstreams_by_id.items():
            if opened.leaving:
                continue
            slots += allowed(host_id, opened.info.slots)
            in_use += min(self.in_use(host_id), opened.info.slots)
        return slots, in_use

    def upstreams(self) -> tuple[HostId, ...]:
        """Return the upstreams opened here."""
        return tuple(self._upstreams_by_id)

    def silent(self, upstream: HostId) -> frozenset[HostId]:
        """Return the entry hosts that have not reported their permits yet."""
        opened = self._upstreams_by_id.get(upstream)
        return frozenset(opened.silent_until_by_client) if opened else frozenset()

    def _free(
        self, now: float, may_act: Callable[[HostId], Epoch | None], allowed: AllowedSlots
    ) -> dict[HostId, int]:
        free_by_id: dict[HostId, int] = {}
        for host_id, opened in self._upstreams_by_id.items():
            if opened.leaving or opened.silent_until_by_client:
                continue
            slots = min(opened.info.slots, allowed(host_id, opened.info.slots))
            free = slots - len(opened.uses_by_permit)
            if free > 0 and may_act(host_id) == opened.epoch:
                free_by_id[host_id] = free
        return free_by_id

    def _grant_class(
        self,
        asks_by_client: OrderedDict[HostId, deque[_Ask]],
        free_by_id: dict[HostId, int],
        now: float,
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
            opened = self._pick(client, free_by_id)
            if opened is None:
                passed_over += 1
                continue
            passed_over = 0
            ask = asks.popleft()
            self._count_ask_gone(client)
            granted.append((client, self._grant_on(opened, client, ask, now)))
            free_by_id[opened.info.host_id] -= 1
            if not free_by_id[opened.info.host_id]:
                del free_by_id[opened.info.host_id]

    def _drop_expired(self, client: HostId, asks: deque[_Ask], now: float) -> None:
        while asks and asks[0].until <= now:
            asks.popleft()
            self._count_ask_gone(client)

    def _count_ask_gone(self, client: HostId) -> None:
        left = self._asks_by_client[client] - 1
        if left:
            self._asks_by_client[client] = left
        else:
            del self._asks_by_client[client]

    def _pick(self, client: HostId, free_by_id: dict[HostId, int]) -> _Upstream | None:
        """Return the upstream with most free slots on which the client may open a connection."""
        best: _Upstream | None = None
        most = 0
        for host_id, free in free_by_id.items():
            opened = self._upstreams_by_id[host_id]
            share = max(1, opened.info.connections // max(1, self.clients))
            if free > most and opened.uses_by_client.get(client, 0) < share:
                best, most = opened, free
        return best

    def _grant_on(self, opened: _Upstream, client: HostId, ask: _Ask, now: float) -> Permit:
        opened.serial += 1
        host_id = opened.info.host_id
        permit_id = f"{host_id}:{opened.epoch}:{opened.serial}"
        self._use(opened, permit_id, client, now + self.limits.longest_s + self.limits.grace_s)
        return Permit(
            permit_id=permit_id,
            upstream=host_id,
            address=opened.info.address,
            epoch=opened.epoch,
            ask_id=ask.ask_id,
            begin_within_s=self.limits.begin_within_s,
            ends_within_s=self.limits.longest_s,
        )

    def _use(self, opened: _Upstream, permit_id: str, client: HostId, until: float) -> None:
        opened.uses_by_permit[permit_id] = _Use(client, until)
        opened.uses_by_client[client] = opened.uses_by_client.get(client, 0) + 1
        self._upstream_by_permit[permit_id] = opened

    def _free_use(self, opened: _Upstream, permit_id: str) -> None:
        use = opened.uses_by_permit.pop(permit_id)
        del self._upstream_by_permit[permit_id]
        left = opened.uses_by_client[use.client] - 1
        if left:
            opened.uses_by_client[use.client] = left
        else:
            del opened.uses_by_client[use.client]
