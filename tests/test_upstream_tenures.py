"""Previous owners of an upstream, according to a stream."""

from typing import Any

from galenastall.state.ids import (
    Epoch,
    HostId,
    Incarnation,
    Offset,
    OwnableId,
    RecordId,
    StreamName,
)
from galenastall.state.ownership_records import (
    Activate,
    Claim,
    Claimed,
    HandOver,
    Member,
    OwnableGroup,
    OwnableState,
    OwnershipSnapshot,
    OwnershipTransfer,
    Tenure,
)
from galenastall.state.records import LoggedRecord
from galenastall.state.upstream_tenures import TenureHistory

UP = OwnableId("upstream/x0")
E1, E2 = (Member(host=HostId(name), incarnation=Incarnation(name)) for name in ("e1", "e2"))


def history(*records: Any, start: int = 0) -> TenureHistory:
    folded = TenureHistory()
    for number, record in enumerate(records):
        folded.apply(
            LoggedRecord(
                stream=StreamName("data-centre.a"),
                offset=Offset(start + number),
                record_id=RecordId(str(number)),
                record=record,
            )
        )
    return folded


def claim(by: Member) -> Claim:
    return Claim(by=by, ownables=(UP,), seen=Offset(0))


def activate(by: Member, epoch: int) -> Activate:
    return Activate(by=by, epoch=Epoch(epoch), members=(E1, E2))


class TestTenureHistory:
    def test_the_first_owner_has_no_predecessor(self) -> None:
        folded = history(claim(E1), activate(E1, 0))
        assert folded.is_first(ownable=UP, epoch=Epoch(0))

    def test_a_claim_that_was_never_activated_is_no_tenure(self) -> None:
        folded = history(claim(E1), claim(E2), activate(E2, 1))
        assert folded.is_first(ownable=UP, epoch=Epoch(1))

    def test_a_takeover_and_a_handover_name_the_previous_owner(self) -> None:
        transfer = OwnershipTransfer(to=E1, ownables=(UP,))
        handover = HandOver(by=E2, generation=1, gifts=(transfer,), members=(E1, E2))
        folded = history(claim(E1), activate(E1, 0), claim(E2), activate(E2, 2), handover)
        assert folded.previous_owner(ownable=UP, epoch=Epoch(2)) == "e1"
        assert folded.previous_owner(ownable=UP, epoch=Epoch(4)) == "e2"

    def test_epochs_beyond_the_last_read_offset_are_undetermined(self) -> None:
        folded = history(claim(E1), activate(E1, 0))
        assert folded.previous_owner(ownable=UP, epoch=Epoch(2)) == "e1"
        assert folded.previous_owner(ownable=UP, epoch=Epoch(3)) is None
        other = OwnableId("upstream/x1")
        assert folded.is_first(ownable=other, epoch=Epoch(2))
        assert not folded.is_first(ownable=other, epoch=Epoch(3))

    def test_a_trimmed_stream_leaves_the_previous_owner_unknown(self) -> None:
        folded = history(claim(E1), activate(E1, 500), start=500)
        assert folded.previous_owner(ownable=UP, epoch=Epoch(500)) is None
        assert not folded.is_first(ownable=UP, epoch=Epoch(500))

    def test_a_snapshot_restores_the_trimmed_part(self) -> None:
        tenure = Tenure(owner=E1, epoch=Epoch(7), members=(E1,))
        state = OwnableState(tenure=tenure, claim=Claimed(by=E1, epoch=Epoch(7)))
        snapshot = OwnershipSnapshot(
            covers=Offset(400),
            roster=(),
            known_from=Offset(0),
            groups=(OwnableGroup(state=state, ownables=(UP,)),),
        )
        folded = history(snapshot, claim(E2), activate(E2, 501), start=500)
        assert folded.previous_owner(ownable=UP, epoch=Epoch(501)) == "e1"
