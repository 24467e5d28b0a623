"""Fold of a data centre's ownership records: roster, claims, tenures; deterministic."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from galenastall.state.ids import Epoch, Incarnation, Offset, OwnableId
from galenastall.state.ownership_records import (
    Activate,
    Claim,
    Claimed,
    HandOver,
    Join,
    Leave,
    Member,
    Members,
    OwnableGroup,
    OwnableState,
    OwnershipSnapshot,
    RosterEntry,
    Tenure,
    UpdateRoster,
)
from galenastall.state.records import LoggedRecord

MAX_FREE_OWNABLES: Final = 1024
"""Released ownables that are kept, so that their claims still fence late readers."""

OWNERSHIP_RECORDS: Final = (Join, Leave, Claim, Activate, UpdateRoster, HandOver, OwnershipSnapshot)
"""Record types that this fold applies; all others in the stream are ignored."""


class OwnershipFold:
    """Ownership according to the log, up to `next_offset`.

    Complete once the stream was read from its first record or from a snapshot; until then records
    are buffered and no owners are known. Records below `next_offset` are ignored, so that a tail
    fetched from a peer may be followed by the same records from the log.
    """

    def __init__(self) -> None:
        """Start before the stream's first record."""
        self.next_offset = Offset(0)
        self.is_complete = True
        self.roster_by_incarnation: dict[Incarnation, RosterEntry] = {}
        self.state_by_ownable: dict[OwnableId, OwnableState] = {}
        self.last_snapshot_covers = Offset(0)
        self.max_claim_epoch = Epoch(-1)
        self.known_from = Offset(0)
        """Claims below this offset may have been evicted with the ownables that they released."""
        self._read_from = Offset(0)
        self._pending: list[LoggedRecord] = []
        self._touched: set[OwnableId] = set()
        self._apply_by_type: dict[type[Any], Callable[[Offset, Any], None]] = {
            Join: self._join,
            Leave: self._leave,
            Claim: self._claim,
            Activate: self._activate,
            UpdateRoster: self._update_roster,
            HandOver: self._hand_over,
        }

    def apply(self, logged: LoggedRecord) -> None:
        """Apply the next record; a gap makes the fold incomplete until a snapshot."""
        if logged.offset < self.next_offset:
            return
        self.read_to(logged.offset)
        self.next_offset = Offset(logged.offset + 1)
        if isinstance(logged.record, OwnershipSnapshot):
            self._apply_snapshot(logged.record)
        elif not isinstance(logged.record, OWNERSHIP_RECORDS):
            return
        elif self.is_complete:
            self._apply_record(logged)
        else:
            self._pending.append(logged)

    def read_to(self, offset: Offset) -> None:
        """Note that all records below `offset` were applied; missing ones were trimmed."""
        if offset > self.next_offset:
            self._reset(offset)

    def skip_to(self, offset: Offset) -> None:
        """Skip records known to be irrelevant to this fold; never moves backwards."""
        self.next_offset = max(self.next_offset, offset)

    def drain_touched(self) -> set[OwnableId]:
        """Return the ownables whose state may have changed, and clear that set."""
        touched, self._touched = self._touched, set()
        return touched

    def members(self) -> Members:
        """Return the roster, sorted by incarnation."""
        return tuple(
            self.roster_by_incarnation[incarnation].member
            for incarnation in sorted(self.roster_by_incarnation)
        )

    def has_member(self, member: Member) -> bool:
        """Return whether this incarnation has joined and neither left nor been replaced."""
        return member.incarnation in self.roster_by_incarnation

    def make_snapshot(self) -> OwnershipSnapshot:
        """Return the state below `next_offset` as a record; valid only if the fold is complete."""
        ownables_by_state: dict[OwnableState, list[OwnableId]] = defaultdict(list)
        for ownable, state in sorted(self.state_by_ownable.items()):
            ownables_by_state[state].append(ownable)
        groups = tuple(
            OwnableGroup(state=state, ownables=tuple(ownables))
            for state, ownables in ownables_by_state.items()
        )
        roster = tuple(entry for _, entry in sorted(self.roster_by_incarnation.items()))
        return OwnershipSnapshot(
            covers=self.next_offset,
            roster=roster,
            known_from=self.known_from,
            groups=groups,
        )

    def _apply_record(self, logged: LoggedRecord) -> None:
        self._apply_by_type[type(logged.record)](logged.offset, logged.record)

    def _reset(self, offset: Offset) -> None:
        self.next_offset = self._read_from = offset
        self._touched.update(self.state_by_ownable)
        self.is_complete = False
        self.roster_by_incarnation = {}
        self.state_by_ownable = {}
        self.max_claim_epoch = Epoch(-1)
        self._pending = []

    def _apply_snapshot(self, snapshot: OwnershipSnapshot) -> None:
        if self.is_complete:
            self.last_snapshot_covers = max(self.last_snapshot_covers, snapshot.covers)
            return
        if snapshot.covers < self._read_from:
            return
        waiting, self._pending = self._pending, []
        self.is_complete = True
        self.last_snapshot_covers = snapshot.covers
        self.roster_by_incarnation = {e.member.incarnation: e for e in snapshot.roster}
        self.known_from = snapshot.known_from
        for group in snapshot.groups:
            for ownable in group.ownables:
                self._set(ownable, group.state)
        for logged in waiting:
            if logged.offset >= snapshot.covers:
                self._apply_record(logged)

    def _set(self, ownable: OwnableId, state: OwnableState) -> None:
        self.state_by_ownable[ownable] = state
        self.max_claim_epoch = max(self.max_claim_epoch, state.claim.epoch)
        self._touched.add(ownable)

    def _join(self, offset: Offset, join: Join) -> None:
        earlier = [
            entry
            for entry in self.roster_by_incarnation.values()
            if entry.member.host == join.member.host
        ]
        if any(entry.joined_at >= join.seen for entry in earlier):
            return
        for entry in earlier:
            self._drop_member(entry.member)
        entry = RosterEntry(member=join.member, joined_at=offset)
        self.roster_by_incarnation[join.member.incarnation] = entry

    def _leave(self, offset: Offset, leave: Leave) -> None:
        self._drop_member(leave.member)

    def _drop_member(self, member: Member) -> None:
        if self.roster_by_incarnation.pop(member.incarnation, None) is None:
            return
        self._touched.update(
            ownable
            for ownable, state in self.state_by_ownable.items()
            if state.tenure is not None and state.tenure.owner == member
        )

    def _claim(self, offset: Offset, claim: Claim) -> None:
        if not self.has_member(claim.by):
            return
        for ownable in claim.ownables:
            state = self.state_by_ownable.get(ownable)
            if state is not None and state.claim.epoch >= claim.seen:
                continue
            claimed = Claimed(by=claim.by, epoch=Epoch(offset))
            self._set(ownable, OwnableState(tenure=state.tenure if state else None, claim=claimed))

    def _activate(self, offset: Offset, activate: Activate) -> None:
        if not self.has_member(activate.by):
            return
        for ownable, state in list(self.state_by_ownable.items()):
            claim = state.claim
            if claim.epoch != activate.epoch or claim.by != activate.by or state.is_settled:
                continue
            tenure = Tenure(owner=activate.by, epoch=claim.epoch, members=activate.members)
            self._set(ownable, OwnableState(tenure=tenure, claim=claim))

    def _accept_generation(self, member: Member, generation: int) -> bool:
        entry = self.roster_by_incarnation.get(member.incarnation)
        if entry is None or generation <= entry.generation:
            return False
        self.roster_by_incarnation[member.incarnation] = replace(entry, generation=generation)
        return True

    def _update_roster(self, offset: Offset, update: UpdateRoster) -> None:
        if not self._accept_generation(update.by, update.generation):
            return
        for ownable, state in list(self.state_by_ownable.items()):
            tenure = state.tenure
            if tenure is None or tenure.owner != update.by or not state.is_settled:
                continue
            tenure = replace(tenure, members=update.members)
            self._set(ownable, replace(state, tenure=tenure))

    def _hand_over(self, offset: Offset, handover: HandOver) -> None:
        if not self._accept_generation(handover.by, handover.generation):
            return
        for transfer in handover.gifts:
            for ownable in transfer.ownables:
                state = self.state_by_ownable.get(ownable)
                if state and state.claim.by == handover.by and state.is_settled:
                    self._transfer(ownable, offset, transfer.to, handover.members)
        self._evict_free()

    def _transfer(
        self, ownable: OwnableId, offset: Offset, to: Member | None, members: Members
    ) -> None:
        epoch = Epoch(offset)
        if to is None or not self.has_member(to):
            self._set(ownable, OwnableState(tenure=None, claim=Claimed(by=None, epoch=epoch)))
            return
        tenure = Tenure(owner=to, epoch=epoch, members=members)
        self._set(ownable, OwnableState(tenure=tenure, claim=Claimed(by=to, epoch=epoch)))

    def _evict_free(self) -> None:
        free = sorted(
            (state.claim.epoch, ownable)
            for ownable, state in self.state_by_ownable.items()
            if state.is_free
        )
        for epoch, ownable in free[: max(0, len(free) - MAX_FREE_OWNABLES)]:
            del self.state_by_ownable[ownable]
            self.known_from = max(self.known_from, Offset(epoch + 1))
