"""Hazards of ownership, each reproduced on the model's clock."""

from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from galenastall.coordination.ownership.ownership import AppendOutcome, OwnershipCore
from galenastall.coordination.ownership.ownership_messages import AppendRecord
from galenastall.coordination.ownership.ownership_tail import RecordTail
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.proof.ownership_faults import FAULTS
from galenastall.proof.ownership_model import MODEL_TIMINGS, OwnershipModel, ViolationError
from galenastall.proof.ownership_mutations import MUTATIONS
from galenastall.proof.ownership_search import run_schedule, search
from galenastall.state.ids import HostId, Incarnation, Offset, OwnableId, RecordId, StreamName
from galenastall.state.ownership_records import (
    Activate,
    Claim,
    HandOver,
    Join,
    Member,
    UpdateRoster,
)
from galenastall.state.records import LoggedRecord

X = OwnableId("worker/w0")
TAKEOVER_S = 12.0


def make_served_model(hosts: int, seed: int = 1, settle_s: float = 6.0) -> OwnershipModel:
    model = OwnershipModel(seed=seed, hosts=hosts)
    assert model.run_until(model.is_served, within=20) is not None
    model.run_for(settle_s)
    return model


def isolate(model: OwnershipModel, away: set[HostId]) -> None:
    """Isolate the hosts `away` from the log and from all others."""
    for host in away:
        model.nodes_by_host[host].has_log = False
        model.cuts |= {frozenset((host, o)) for o in model.nodes_by_host if o not in away}


class TestHazards:
    def test_owner_paused_resumes_after_a_takeover(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        model.pause(owner)
        assert model.run_until(model.is_served, within=TAKEOVER_S) is not None
        (successor,) = model.actors(X)
        model.run_for(20)
        model.resume(owner)
        assert owner != successor
        assert owner not in model.actors(X)

    def test_owner_isolated_from_the_log_alone_keeps_acting(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        model.nodes_by_host[owner].has_log = False
        model.run_for(30)
        assert model.actors(X) == [owner]

    def test_owner_isolated_from_log_and_peers_is_replaced_and_stops_first(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        isolate(model, {owner})
        assert model.run_until(lambda: not model.actors(X), within=4) is not None
        assert model.run_until(model.is_served, within=TAKEOVER_S) is not None
        assert model.actors(X) != [owner]

    def test_owner_dying_in_an_outage_is_replaced_once_the_log_is_back(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        others = {o for o in model.ownables if model.actors(o) != [owner]}
        model.is_log_up = False
        model.run_for(30)
        model.kill(owner)
        model.run_for(60)
        assert {o for o in model.ownables if model.actors(o)} == others
        model.is_log_up = True
        assert model.run_until(model.is_served, within=TAKEOVER_S) is not None

    def test_command_in_flight_lands_before_the_successor_acts(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        model.kill(owner)
        sent_at = model.now
        assert model.run_until(lambda: bool(model.actors(X)), within=TAKEOVER_S) is not None
        assert model.now - sent_at > MODEL_TIMINGS.flight_s

    @pytest.mark.parametrize("seed", range(4))
    def test_lost_answers_of_the_log_leave_one_owner(self, seed: int) -> None:
        model = OwnershipModel(seed=seed, hosts=3)
        model.lose_answers = 12
        assert model.run_until(model.is_served, within=60) is not None
        model.join()
        model.lose_answers = 6
        model.run_for(20)
        assert model.is_served()

    def test_newcomer_in_the_middle_of_a_takeover(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        model.kill(owner)
        model.run_for(3.5)
        newcomer = model.join()
        assert model.run_until(model.is_served, within=TAKEOVER_S) is not None
        assert model.run_until(lambda: model.owned(newcomer) > 0, within=20) is not None

    def test_planned_stop_hands_over_without_a_takeover(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        model.nodes_by_host[owner].core.begin_leave()
        assert model.run_until(lambda: bool(model.actors(X)), within=0.1) is not None
        model.run_for(0.2)
        assert model.run_until(model.is_served, within=3) is not None
        assert model.actors(X) != [owner]

    def test_rolling_restart_of_all(self) -> None:
        model = make_served_model(3)
        for host in list(model.alive()):
            model.restart(host)
            assert model.run_until(model.is_served, within=TAKEOVER_S) is not None
            model.run_for(3)

    def test_all_replaced_at_once(self) -> None:
        model = make_served_model(3)
        for host in list(model.alive()):
            model.kill(host)
        for _ in range(3):
            model.join()
        bound = 2 * MODEL_TIMINGS.list_lag_s + TAKEOVER_S
        assert model.run_until(model.is_served, within=bound) is not None

    def test_owner_paused_before_it_named_a_third_member_is_replaced(self) -> None:
        """A paused owner whose roster lacks a newer member must be replaced while it stays listed.

        It had written its roster when there were two members, and was paused before it named the
        third, 1.4 s after that had joined. A majority of two is both, so the other member could
        neither find it dead nor fence it, and nobody claimed the three workers that it owned.
        """
        model = make_served_model(2)
        (owner,) = model.actors(X)
        model.join()
        assert model.run_until(lambda: self._all_know(model, members=3), within=5) is not None
        model.pause(owner)
        model.run_for(TAKEOVER_S)
        assert model.actors(X)
        assert model.actors(X) != [owner]

    def test_owner_that_was_replaced_gets_nothing_back_before_it_reads_the_log(self) -> None:
        """A replaced owner must get no ownables back before it reads the log itself.

        An owner was isolated from the log, paused, replaced, and resumed. It follows ownership
        through its peers, so spreading assigned it its share again; but it serves a job shard only
        once it has read the log itself. Jobs of three shards in eight stalled while two hosts that
        could serve them were up.
        """
        model = make_served_model(3)
        (owner,) = model.actors(X)
        node = model.nodes_by_host[owner]
        node.has_log = False
        model.pause(owner)
        assert model.run_until(lambda: model.actors(X) != [], within=TAKEOVER_S) is not None
        model.run_for(5)
        model.resume(owner)
        model.run_for(20)
        assert model.is_served()
        assert model.owned(owner) == 0
        # It still counts as live: tasks are assigned to hosts that own workers.
        other, *_ = (each for each in model.nodes_by_host.values() if each is not node)
        assert owner in {member.host for member in other.core.live}
        node.has_log = True
        assert model.run_until(lambda: model.owned(owner) > 0, within=10) is not None

    @staticmethod
    def _all_know(model: OwnershipModel, *, members: int) -> bool:
        nodes = model.nodes_by_host.values()
        return all(len(node.core.fold.members()) == members for node in nodes)

    def test_slow_pairwise_cut_does_not_cost_an_owner_its_ownables(self) -> None:
        model = make_served_model(3)
        (owner,) = model.actors(X)
        other = next(host for host in model.alive() if host != owner)
        model.cuts.add(frozenset((owner, other)))
        model.run_for(30)
        assert model.actors(X) == [owner]


def minority_claims() -> None:
    """Three of five keep acting by peer confirmations; only the other two can read the log."""
    model = make_served_model(5)
    (owner,) = model.actors(X)
    others = [host for host in model.alive() if host != owner]
    isolate(model, {owner, *others[:2]})
    model.run_for(20)


def newcomers_confirm() -> None:
    """The owner and two newcomers are isolated before the owner wrote a roster with them."""
    model = OwnershipModel(seed=3, hosts=3, timings=OwnershipTimings(list_lag_s=10.0, settle_s=8.0))
    assert model.run_until(model.is_served, within=40) is not None
    model.run_for(10)
    (owner,) = model.actors(X)
    newcomers = {model.join(), model.join()}
    model.run_for(3)
    isolate(model, {owner, *newcomers})
    model.run_for(20)


def stale_heartbeats() -> None:
    """A paused owner resumes, sends a round, and only then reads heartbeats older than its loss."""
    model = make_served_model(3)
    (owner,) = model.actors(X)
    node = model.nodes_by_host[owner]
    node.has_log = False
    model.run_for(4)
    model.pause(owner)
    model.run_for(1)
    early_messages = list(node.inbox)
    model.run_for(20)
    assert model.is_served()
    node.inbox[:] = [lambda: node.core.on_tick(node.local(model.now)), *early_messages]
    model.resume(owner)
    model.run_for(0.05)


def seeds(*numbers: int) -> Callable[[], None]:
    def run() -> None:
        for number in numbers:
            violation = run_schedule(number).violation
            if violation is not None:
                raise ViolationError(violation)

    return run


class TestMutations:
    """A checker must be able to fail: each safeguard that is removed must cause a violation."""

    @pytest.mark.parametrize(
        ("mutation", "schedule"),
        [
            ("no-fencing", seeds(12, 141)),
            ("no-waits", seeds(6, 7)),
            ("one-is-enough", minority_claims),
            ("newer-roster", newcomers_confirm),
            ("vouches-from-receipt", stale_heartbeats),
        ],
    )
    def test_violation_with_the_safeguard_out_and_none_with_it(
        self, mutation: str, schedule: Callable[[], None]
    ) -> None:
        schedule()
        with MUTATIONS.get(mutation)(), pytest.raises(ViolationError):
            schedule()


class TestFoundBySearch:
    @pytest.mark.parametrize("seed", [271, 83, 254, 294, 1068, 81, 20203])
    def test_seeds_that_once_failed(self, seed: int) -> None:
        (result,) = search(runs=1, seed=seed)
        assert result.is_good, result

    def test_tail_with_a_gap_is_not_passed_on(self) -> None:
        tail = RecordTail()
        member = Member(host=HostId("a"), incarnation=Incarnation("a.1"))
        for offset in (0, 1, 5):
            record = Join(member=member, seen=Offset(offset))
            tail.keep(
                LoggedRecord(
                    stream=StreamName("s"),
                    offset=Offset(offset),
                    record_id=RecordId(f"{offset}"),
                    record=record,
                )
            )
        assert tail.since(Offset(1)) is None
        kept = tail.since(Offset(5))
        assert kept is not None
        assert [logged.offset for logged in kept] == [5]

    def test_failed_reroster_does_not_undo_a_handover_of_unknown_outcome(self) -> None:
        a, b = (Member(host=HostId(h), incarnation=Incarnation(f"{h}.1")) for h in "ab")
        core = OwnershipCore(me=a, timings=OwnershipTimings())
        feed(core, Join(member=a, seen=Offset(0)), Join(member=b, seen=Offset(0)))
        feed(core, Claim(by=a, ownables=(X,), seen=Offset(2)))
        feed(core, Activate(by=a, epoch=core.fold.max_claim_epoch, members=(a, b)))
        assert core.may_act(X, 0.0) is not None
        core.on_ownables(frozenset())
        for tick in (0.0, 1.1, 1.2):
            core.on_tick(tick)
        core.drain_commands()
        core.on_tick(1.8)
        (handover,) = appended(core)
        core.on_append_outcome(handover.record_id, AppendOutcome.UNKNOWN, 1.85)
        core.on_tick(2.9)
        (reroster,) = appended(core)
        core.on_append_outcome(reroster.record_id, AppendOutcome.NOT_APPENDED, 2.95)
        assert (type(handover.record), type(reroster.record)) == (HandOver, UpdateRoster)
        assert core.may_act(X, 2.95) is None


def feed(core: OwnershipCore, *records: object) -> None:
    for record in records:
        offset = core.fold.next_offset
        logged = LoggedRecord(
            stream=StreamName("s"), offset=offset, record_id=RecordId(f"{offset}"), record=record
        )
        core.on_record(logged, 0.0)
    core.on_log_end(read_at=0.0, next_offset=core.fold.next_offset, now=0.0)


def appended(core: OwnershipCore) -> list[AppendRecord]:
    commands = core.drain_commands()
    return [c for c in commands if isinstance(c, AppendRecord)]


class OwnershipMachine(RuleBasedStateMachine):
    """Faults as rules; the model checks the invariant at each of its events."""

    @initialize(seed=st.integers(0, 10_000), hosts=st.integers(2, 5))
    def start(self, seed: int, hosts: int) -> None:
        self.model = OwnershipModel(seed=seed, hosts=hosts)
        self.model.run_for(4)

    @rule(name=st.sampled_from(sorted(FAULTS)), seconds=st.floats(0.05, 4))
    def fault(self, name: str, seconds: float) -> None:
        FAULTS[name](self.model, self.model.random)
        self.model.run_for(seconds)

    @rule(seconds=st.floats(1, 8))
    def wait(self, seconds: float) -> None:
        self.model.run_for(seconds)

    def teardown(self) -> None:
        if hasattr(self, "model"):
            self.model.heal()
            assert self.model.run_until(self.model.is_served, within=90) is not None


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(max_examples=25, stateful_step_count=20)
