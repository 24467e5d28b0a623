"""Permits: an upstream's slots are never exceeded, whatever happens to owners and entry hosts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from galenastall.coordination.requests.permit_types import OwnedUpstream, Permit, PermitLimits
from galenastall.coordination.requests.permits import PermitHolder
from galenastall.coordination.requests.slots import OwnedSlots, all_slots
from galenastall.state.ids import Epoch, HostId
from galenastall.state.work import Urgency

LIMITS = PermitLimits(
    ask_ttl_s=1.0, begin_within_s=2.0, longest_s=10.0, grace_s=1.0, asks_per_client=4
)
UPSTREAM = HostId("up")
CLIENTS = tuple(HostId(name) for name in ("e1", "e2", "e3"))


def upstream(name: str = "up", *, slots: int = 2, connections: int = 64) -> OwnedUpstream:
    return OwnedUpstream(
        host_id=HostId(name), address=f"{name}:1", slots=slots, connections=connections
    )


def owner_of(*upstreams: OwnedUpstream, limits: PermitLimits = LIMITS) -> OwnedSlots:
    owned = OwnedSlots(limits=limits, clients=3)
    for one in upstreams:
        owned.open(upstream=one, epoch=Epoch(5), unreported=(), now=0.0)
    return owned


def grants(owned: OwnedSlots, *, now: float = 0.0, epoch: int | None = 5) -> list[Permit]:
    granted = owned.grant(
        now=now, may_act=lambda _: None if epoch is None else Epoch(epoch), allowed=all_slots
    )
    return [permit for _, permit in granted]


def ask(
    owned: OwnedSlots, client: HostId, count: int, *, urgency: Urgency = Urgency.NORMAL
) -> None:
    for number in range(count):
        owned.ask(client=client, urgency=urgency, ask_id=number, now=0.0)


class TestGrant:
    def test_slots_are_exact(self) -> None:
        owned = owner_of(upstream(slots=3))
        ask(owned, CLIENTS[0], 4)
        first = grants(owned)
        assert len(first) == 3
        owned.release(permit_id=first[0].permit_id, busy_for_s=0.0, now=0.1)
        owned.release(permit_id=first[0].permit_id, busy_for_s=0.0, now=0.1)
        assert len(grants(owned, now=0.1)) == 1

    def test_nothing_is_granted_without_the_right_to_act(self) -> None:
        owned = owner_of(upstream())
        ask(owned, CLIENTS[0], 1)
        assert grants(owned, epoch=None) == []
        assert grants(owned, epoch=6) == []

    def test_urgent_goes_first_then_round_robin_over_entry_hosts(self) -> None:
        owned = owner_of(upstream(slots=4))
        ask(owned, CLIENTS[0], 4)
        ask(owned, CLIENTS[1], 1)
        ask(owned, CLIENTS[2], 1, urgency=Urgency.URGENT)
        granted = owned.grant(now=0.0, may_act=lambda _: Epoch(5), allowed=all_slots)
        assert [client for client, _ in granted] == ["e3", "e1", "e2", "e1"]

    def test_an_expired_ask_is_not_granted(self) -> None:
        owned = owner_of(upstream())
        ask(owned, CLIENTS[0], 1)
        assert grants(owned, now=1.0) == []
        assert owned.waiting == 0

    def test_a_leaving_upstream_gets_nothing_new(self) -> None:
        owned = owner_of(upstream("leaving"), upstream("staying"))
        owned.set_leaving(HostId("leaving"), True)
        ask(owned, CLIENTS[0], 4)
        assert {permit.upstream for permit in grants(owned)} == {"staying"}

    def test_connections_are_divided_among_entry_hosts(self) -> None:
        owned = owner_of(upstream(slots=8, connections=6))
        ask(owned, CLIENTS[0], 4)
        assert len(grants(owned)) == 2
        ask(owned, CLIENTS[1], 1)
        assert len(grants(owned)) == 1

    def test_a_smaller_upstream_gets_nothing_until_it_has_free_slots(self) -> None:
        owned = owner_of(upstream(slots=4))
        ask(owned, CLIENTS[0], 4)
        held = grants(owned)
        owned.update(upstream(slots=2))
        ask(owned, CLIENTS[1], 1)
        for permit in held[:2]:
            owned.release(permit_id=permit.permit_id, busy_for_s=0.0, now=0.0)
            assert grants(owned) == []
        owned.release(permit_id=held[2].permit_id, busy_for_s=0.0, now=0.0)
        assert len(grants(owned)) == 1

    def test_sequential_grants_are_spread_over_the_upstreams(self) -> None:
        owned = owner_of(upstream("a"), upstream("b"), upstream("c"))
        used = []
        for _ in range(6):
            ask(owned, CLIENTS[0], 1)
            (permit,) = grants(owned)
            used.append(permit.upstream)
            owned.release(permit_id=permit.permit_id, busy_for_s=0.0, now=0.0)
        assert sorted(used) == ["a", "a", "b", "b", "c", "c"]

    def test_a_slot_that_may_still_be_busy_stays_in_use(self) -> None:
        owned = owner_of(upstream(slots=1))
        ask(owned, CLIENTS[0], 2)
        permit = grants(owned)[0]
        owned.release(permit_id=permit.permit_id, busy_for_s=0.5, now=0.1)
        owned.expire(now=0.5)
        assert grants(owned, now=0.5) == []
        owned.expire(now=0.6)
        assert len(grants(owned, now=0.6)) == 1


class TestTakeover:
    def test_the_upstream_is_full_until_all_have_reported(self) -> None:
        owned = OwnedSlots(limits=LIMITS, clients=3)
        owned.open(upstream=upstream(), epoch=Epoch(5), unreported=CLIENTS[:2], now=0.0)
        ask(owned, CLIENTS[2], 1)
        owned.report(upstream=UPSTREAM, epoch=Epoch(5), client=CLIENTS[0], held=(), now=0.0)
        assert grants(owned) == []
        owned.report(upstream=UPSTREAM, epoch=Epoch(4), client=CLIENTS[1], held=(), now=0.0)
        assert grants(owned) == []
        owned.report(upstream=UPSTREAM, epoch=Epoch(5), client=CLIENTS[1], held=(), now=0.0)
        assert len(grants(owned)) == 1

    def test_an_unreported_client_counts_until_the_longest_permit_has_passed(self) -> None:
        owned = OwnedSlots(limits=LIMITS, clients=3)
        owned.open(upstream=upstream(), epoch=Epoch(5), unreported=CLIENTS[:1], now=0.0)
        owned.expire(now=10.9)
        assert owned.unreported(UPSTREAM) == {CLIENTS[0]}
        owned.expire(now=11.0)
        assert owned.unreported(UPSTREAM) == frozenset()

    def test_a_grant_of_an_earlier_owner_is_void_after_the_report(self) -> None:
        holder = PermitHolder(limits=LIMITS)
        owned = owner_of(upstream())
        number = holder.ask(owner=HostId("old"), now=0.0)
        owned.ask(client=CLIENTS[0], urgency=Urgency.NORMAL, ask_id=number, now=0.0)
        permit = grants(owned)[0]
        assert holder.report(upstream=UPSTREAM, epoch=Epoch(9), owner=HostId("new"), now=0.1) == ()
        assert not holder.accept(permit=permit, owner=HostId("old"), now=0.2)

    def test_a_request_that_may_still_run_is_reported(self) -> None:
        holder = PermitHolder(limits=LIMITS)
        owned = owner_of(upstream())
        number = holder.ask(owner=HostId("old"), now=0.0)
        owned.ask(client=CLIENTS[0], urgency=Urgency.NORMAL, ask_id=number, now=0.0)
        permit = grants(owned)[0]
        assert holder.accept(permit=permit, owner=HostId("old"), now=0.2)
        holder.drop(permit_id=permit.permit_id, busy_for_s=3.0, now=1.0)
        reported = holder.report(upstream=UPSTREAM, epoch=Epoch(9), owner=HostId("new"), now=2.0)
        assert [held.ends_in_s for held in reported] == [2.0]

    def test_the_last_owners_ledger_saves_the_wait(self) -> None:
        old = owner_of(upstream(slots=2))
        ask(old, CLIENTS[0], 2)
        first, second = grants(old)
        new = OwnedSlots(limits=LIMITS, clients=3)
        new.open(upstream=upstream(slots=2), epoch=Epoch(7), unreported=CLIENTS, now=0.0)
        new.release(permit_id=first.permit_id, busy_for_s=0.0, now=0.0)
        ledger = old.ledger(upstream=UPSTREAM, before=Epoch(7), now=0.0)
        assert ledger is not None
        assert not old.is_open(UPSTREAM)
        new.take_over(upstream=UPSTREAM, epoch=Epoch(7), ledger=ledger, now=0.0)
        assert new.in_use(UPSTREAM) == 1
        new.release(permit_id=second.permit_id, busy_for_s=0.0, now=0.0)
        assert new.in_use(UPSTREAM) == 0
        assert new.ledger(upstream=UPSTREAM, before=Epoch(7), now=0.0) is None


class PermitMachine(RuleBasedStateMachine):
    """Three entry hosts, one upstream with changing owners, and a network that delays messages."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.epoch = 1
        self.owners = {1: OwnedSlots(limits=LIMITS, clients=3)}
        self.owners[1].open(upstream=upstream(), epoch=Epoch(1), unreported=(), now=0.0)
        self.holders = {name: PermitHolder(limits=LIMITS) for name in CLIENTS}
        self.asks: list[tuple[HostId, int, int]] = []
        self.flying: list[tuple[HostId, int, Permit]] = []
        self.returns: list[tuple[int, str]] = []
        self.running: dict[str, float] = {}
        self.held: dict[HostId, list[Permit]] = {name: [] for name in CLIENTS}

    @rule(client=st.sampled_from(CLIENTS))
    def ask(self, client: HostId) -> None:
        number = self.holders[client].ask(owner=HostId(f"o{self.epoch}"), now=self.now)
        self.asks.append((client, self.epoch, number))

    @rule(index=st.integers(0, 20), lost=st.booleans())
    def deliver_ask(self, index: int, lost: bool) -> None:
        if not self.asks:
            return
        client, epoch, number = self.asks.pop(index % len(self.asks))
        if lost:
            return
        owner = self.owners[epoch]
        owner.ask(client=client, urgency=Urgency.NORMAL, ask_id=number, now=self.now)

    @rule()
    def grant(self) -> None:
        owner = self.owners[self.epoch]
        owner.expire(now=self.now)
        epoch = Epoch(self.epoch)
        for client, permit in owner.grant(now=self.now, may_act=lambda _: epoch, allowed=all_slots):
            self.flying.append((client, self.epoch, permit))

    @rule(index=st.integers(0, 20), lost=st.booleans())
    def deliver_grant(self, index: int, lost: bool) -> None:
        if not self.flying:
            return
        client, epoch, permit = self.flying.pop(index % len(self.flying))
        if lost:
            return
        holder = self.holders[client]
        if holder.accept(permit=permit, owner=HostId(f"o{epoch}"), now=self.now):
            self.held[client].append(permit)
        else:
            self.returns.append((epoch, permit.permit_id))

    @rule(client=st.sampled_from(CLIENTS))
    def begin(self, client: HostId) -> None:
        if not self.held[client]:
            return
        permit = self.held[client].pop()
        holder = self.holders[client]
        if holder.may_begin(permit_id=permit.permit_id, now=self.now):
            self.running[permit.permit_id] = holder.ends_at(permit_id=permit.permit_id)
        else:
            self._drop(holder, permit.permit_id)

    @rule(client=st.sampled_from(CLIENTS))
    def ask_and_begin(self, client: HostId) -> None:
        """Run one request whose messages are delivered at once."""
        self.ask(client)
        self.deliver_ask(len(self.asks) - 1, lost=False)
        before = len(self.flying)
        self.grant()
        for _ in self.flying[before:]:
            self.deliver_grant(len(self.flying) - 1, lost=False)
        self.begin(client)

    @rule(client=st.sampled_from(CLIENTS))
    def end(self, client: HostId) -> None:
        for permit_id in list(self.running):
            if self.holders[client].drop(permit_id=permit_id, busy_for_s=0.0, now=self.now):
                del self.running[permit_id]
                self.returns.append((self.epoch, permit_id))
                return

    @rule(index=st.integers(0, 20), lost=st.booleans())
    def deliver_return(self, index: int, lost: bool) -> None:
        if not self.returns:
            return
        epoch, permit_id = self.returns.pop(index % len(self.returns))
        if not lost:
            self.owners[epoch].release(permit_id=permit_id, busy_for_s=0.0, now=self.now)

    @rule(seconds=st.sampled_from([0.9, 2.0, 11.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.running = {p: until for p, until in self.running.items() if until > self.now}

    @rule()
    def take_over(self) -> None:
        self.epoch += 1
        owner = self.owners[self.epoch] = OwnedSlots(limits=LIMITS, clients=3)
        owner.open(upstream=upstream(), epoch=Epoch(self.epoch), unreported=CLIENTS, now=self.now)

    @rule()
    def take_over_from_ledger(self) -> None:
        last = self.owners[self.epoch]
        self.take_over()
        epoch = Epoch(self.epoch)
        ledger = last.ledger(upstream=UPSTREAM, before=epoch, now=self.now)
        if ledger is not None:
            self.owners[self.epoch].take_over(
                upstream=UPSTREAM, epoch=epoch, ledger=ledger, now=self.now
            )

    @rule(client=st.sampled_from(CLIENTS))
    def report(self, client: HostId) -> None:
        epoch = Epoch(self.epoch)
        held = self.holders[client].report(
            upstream=UPSTREAM, epoch=epoch, owner=HostId(f"o{self.epoch}"), now=self.now
        )
        self.owners[self.epoch].report(
            upstream=UPSTREAM, epoch=epoch, client=client, held=held, now=self.now
        )

    @invariant()
    def never_more_than_the_slots(self) -> None:
        assert len(self.running) <= 2

    def _drop(self, holder: PermitHolder, permit_id: str) -> None:
        holder.drop(permit_id=permit_id, busy_for_s=0.0, now=self.now)
        self.returns.append((self.epoch, permit_id))


TestPermitMachine = PermitMachine.TestCase
TestPermitMachine.settings = settings(
    max_examples=max(200, settings().max_examples), stateful_step_count=30
)
