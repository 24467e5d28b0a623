from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from galenastall.protocol.codec import decode_record, encode_record
from galenastall.state.ids import Epoch, HostId, Incarnation, Offset, OwnableId, RecordId
from galenastall.state.ids import StreamName as Stream
from galenastall.state.ownership_fold import OwnershipFold
from galenastall.state.ownership_records import (
    Activate,
    Claim,
    HandOver,
    Join,
    Leave,
    Member,
    OwnershipTransfer,
    UpdateRoster,
)
from galenastall.state.records import LoggedRecord, UnknownRecord

STREAM = Stream("data-centre.a")
A, B, C = (Member(host=HostId(h), incarnation=Incarnation(f"{h}.1")) for h in "abc")
A2 = Member(host=HostId("a"), incarnation=Incarnation("a.2"))
X, Y = OwnableId("worker/x"), OwnableId("worker/y")

members = st.sampled_from([A, B, C, A2])
rosters = st.lists(members, min_size=1, unique=True).map(tuple)
ownables = st.lists(st.sampled_from([X, Y]), min_size=1, unique=True).map(tuple)
offsets = st.integers(0, 40).map(Offset)
records = st.one_of(
    st.builds(Join, member=members, seen=offsets),
    st.builds(Leave, member=members),
    st.builds(Claim, by=members, ownables=ownables, seen=offsets),
    st.builds(Activate, by=members, epoch=offsets.map(Epoch), members=rosters),
    st.builds(UpdateRoster, by=members, generation=st.integers(1, 4), members=rosters),
    st.builds(
        HandOver,
        by=members,
        generation=st.integers(1, 4),
        gifts=st.builds(OwnershipTransfer, to=st.none() | members, ownables=ownables).map(
            lambda g: (g,)
        ),
        members=rosters,
    ),
    st.just(UnknownRecord(name="job.accepted")),
)


def logged(offset: int, record: Any) -> LoggedRecord:
    return LoggedRecord(
        stream=STREAM, offset=Offset(offset), record_id=RecordId(f"r{offset}"), record=record
    )


def fold_of(history: list[Any], start: int = 0) -> OwnershipFold:
    fold = OwnershipFold()
    for offset, record in enumerate(history):
        if offset >= start:
            fold.apply(logged(offset, record))
    return fold


class TestOwnershipFold:
    def test_only_the_first_of_two_racing_claims_counts(self) -> None:
        history = [
            Join(member=A, seen=Offset(0)),
            Join(member=B, seen=Offset(0)),
            Claim(by=A, ownables=(X,), seen=Offset(2)),
            Claim(by=B, ownables=(X, Y), seen=Offset(2)),
            Activate(by=B, epoch=Epoch(3), members=(A, B)),
            Activate(by=A, epoch=Epoch(2), members=(A, B)),
        ]
        states = fold_of(history).state_by_ownable
        owners = {o: s.tenure.owner for o, s in states.items() if s.tenure}
        assert owners == {X: A, Y: B}

    def test_activate_after_a_later_claim_is_void(self) -> None:
        history = [
            Join(member=A, seen=Offset(0)),
            Join(member=B, seen=Offset(0)),
            Claim(by=A, ownables=(X, Y), seen=Offset(2)),
            Claim(by=B, ownables=(X,), seen=Offset(3)),
            Activate(by=A, epoch=Epoch(2), members=(A, B)),
        ]
        states = fold_of(history).state_by_ownable
        assert states[X].tenure is None
        assert states[Y].is_settled

    def test_a_new_incarnation_replaces_the_old_one_and_a_late_join_does_not(self) -> None:
        history = [
            Join(member=A, seen=Offset(0)),
            Join(member=A2, seen=Offset(1)),
            Join(member=A, seen=Offset(0)),
        ]
        assert fold_of(history).members() == (A2,)

    def test_late_handover_is_void_once_a_later_generation_was_read(self) -> None:
        history = [
            Join(member=A, seen=Offset(0)),
            Join(member=B, seen=Offset(0)),
            Claim(by=A, ownables=(X,), seen=Offset(2)),
            Activate(by=A, epoch=Epoch(2), members=(A, B)),
            UpdateRoster(by=A, generation=2, members=(A,)),
            HandOver(
                by=A, generation=1, gifts=(OwnershipTransfer(to=B, ownables=(X,)),), members=(A, B)
            ),
        ]
        tenure = fold_of(history).state_by_ownable[X].tenure
        assert tenure is not None
        assert (tenure.owner, tenure.members) == (A, (A,))

    def test_reroster_leaves_contested_ownables_alone(self) -> None:
        history = [
            Join(member=A, seen=Offset(0)),
            Join(member=B, seen=Offset(0)),
            Claim(by=A, ownables=(X, Y), seen=Offset(2)),
            Activate(by=A, epoch=Epoch(2), members=(A, B)),
            Claim(by=B, ownables=(X,), seen=Offset(4)),
            UpdateRoster(by=A, generation=1, members=(A,)),
        ]
        states = fold_of(history).state_by_ownable
        rosters_by_ownable = {o: s.tenure.members for o, s in states.items() if s.tenure}
        assert rosters_by_ownable == {X: (A, B), Y: (A,)}

    def test_fold_without_the_stream_start_stays_empty_until_a_snapshot(self) -> None:
        fold = fold_of([None, Join(member=A, seen=Offset(0))], start=1)
        assert not fold.is_complete
        assert fold.members() == ()

    @given(
        history=st.lists(records, max_size=30),
        covers=st.integers(0, 30),
        written=st.integers(0, 30),
        start=st.integers(0, 30),
    )
    def test_snapshot_and_tail_equal_the_full_history(
        self, history: list[Any], covers: int, written: int, start: int
    ) -> None:
        covers = min(covers, len(history))
        written = max(covers, min(written, len(history)))
        snapshot = fold_of(history[:covers]).make_snapshot()
        with_snapshot = [*history[:written], snapshot, *history[written:]]
        full = fold_of(with_snapshot)
        tail = fold_of(with_snapshot, start=min(start, covers))
        assert tail.is_complete
        assert tail.make_snapshot() == full.make_snapshot()

    @given(history=st.lists(records, max_size=20))
    def test_records_round_trip_through_the_codec(self, history: list[Any]) -> None:
        known = [record for record in history if not isinstance(record, UnknownRecord)]
        for record in [*known, fold_of(history).make_snapshot()]:
            text = encode_record(record, record_id=RecordId("r"))
            read = decode_record(text, stream=STREAM, offset=Offset(7)).unwrap()
            assert read.record == record
