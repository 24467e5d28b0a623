"""What this member owns: by the log, less what it knows to be claimed or is handing over."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import inf
from typing import Final

from galenastall.coordination.ownership.ownership_confirmations import Roster
from galenastall.coordination.ownership.ownership_messages import Activated, ContestedClaim, Lost
from galenastall.state.ids import Epoch, Offset, OwnableId
from galenastall.state.ownership_fold import OwnershipFold
from galenastall.state.ownership_records import Member, Members

ROSTERS_KEPT: Final = 64
"""Rosters whose sets are cached; a member's own tenures name one or two at a time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Holding:
    """One ownable that this member owns."""

    epoch: Epoch
    roster: Roster


class Holdings:
    """Ownables held, claims reported by peers, and ownables suspended during their handover."""

    def __init__(self, *, me: Member, fold: OwnershipFold) -> None:
        """Hold nothing."""
        self._me = me
        self._fold = fold
        self.holding_by_ownable: dict[OwnableId, Holding] = {}
        self._reported_epoch_by_ownable: dict[OwnableId, Epoch] = {}
        self._reported_by_epoch: dict[Epoch, ContestedClaim] = {}
        self._suspended_until_generation: dict[OwnableId, float] = {}
        self._roster_by_members: dict[Members, Roster] = {}

    def refresh(self, ownables: Iterable[OwnableId]) -> Iterator[Activated | Lost]:
        """Update these ownables and yield what changed."""
        for ownable in ownables:
            yield from self._refresh(ownable)

    def note_claim(self, claim: ContestedClaim) -> None:
        """Record a claim that this member may not have read; refresh its ownables afterwards."""
        if claim.epoch < self._fold.next_offset and self._fold.is_complete:
            return
        self._reported_by_epoch[claim.epoch] = claim
        for ownable in claim.ownables:
            reported = self._reported_epoch_by_ownable.get(ownable, Epoch(-1))
            self._reported_epoch_by_ownable[ownable] = max(reported, claim.epoch)

    def forget_read(self) -> None:
        """Drop the reported claims that the fold has read by now."""
        if not self._reported_by_epoch or not self._fold.is_complete:
            return
        read_to = self._fold.next_offset
        self._reported_by_epoch = {e: c for e, c in self._reported_by_epoch.items() if e >= read_to}
        reported = self._reported_epoch_by_ownable
        self._reported_epoch_by_ownable = {o: e for o, e in reported.items() if e >= read_to}

    def claims_from(self, offset: Offset, *, reader: Member) -> Iterator[ContestedClaim]:
        """Yield the claims by others that a member that has read up to `offset` may not know."""
        for epoch, claim in self._reported_by_epoch.items():
            if epoch >= offset:
                yield claim
        if self._fold.max_claim_epoch < offset:
            return
        ownables_by_epoch: dict[Epoch, list[OwnableId]] = {}
        for ownable, state in self._fold.state_by_ownable.items():
            if state.claim.epoch >= offset and state.claim.by != reader:
                ownables_by_epoch.setdefault(state.claim.epoch, []).append(ownable)
        for epoch, ownables in ownables_by_epoch.items():
            yield ContestedClaim(epoch=epoch, ownables=tuple(ownables))

    def suspend(self, ownables: Iterable[OwnableId]) -> None:
        """Stop acting on these until `resume` or a record of a later generation is read."""
        self._suspended_until_generation.update(dict.fromkeys(ownables, inf))

    def bind_suspension(self, ownables: Iterable[OwnableId], generation: int) -> None:
        """End the suspension once the member's record of `generation` or above is read."""
        self._suspended_until_generation.update(dict.fromkeys(ownables, generation))

    def resume(self, generation: int) -> tuple[OwnableId, ...]:
        """End suspensions bound to `generation` or below; return what to refresh."""
        bounds = self._suspended_until_generation.items()
        return self._resume(tuple(o for o, bound in bounds if bound <= generation))

    def resume_undone(self, generation: int) -> tuple[OwnableId, ...]:
        """End suspensions for a record that is not in the log; those for other records stay."""
        bounds = self._suspended_until_generation.items()
        return self._resume(tuple(o for o, bound in bounds if bound == generation))

    def _resume(self, ended: tuple[OwnableId, ...]) -> tuple[OwnableId, ...]:
        suspended = self._suspended_until_generation
        for ownable in ended:
            del suspended[ownable]
        return ended

    @property
    def suspended(self) -> tuple[OwnableId, ...]:
        """The ownables that are being handed over."""
        return tuple(self._suspended_until_generation)

    def _refresh(self, ownable: OwnableId) -> Iterator[Activated | Lost]:
        before = self.holding_by_ownable.get(ownable)
        after = self._holding(ownable)
        if before == after:
            return
        if after is None:
            del self.holding_by_ownable[ownable]
            yield Lost(ownable=ownable)
            return
        self.holding_by_ownable[ownable] = after
        if before is not None and before.epoch == after.epoch:
            return
        if before is not None:
            yield Lost(ownable=ownable)
        yield Activated(ownable=ownable, epoch=after.epoch)

    def _holding(self, ownable: OwnableId) -> Holding | None:
        state = self._fold.state_by_ownable.get(ownable)
        if state is None or state.tenure is None or not state.is_settled:
            return None
        tenure = state.tenure
        if tenure.owner != self._me or not self._fold.has_member(self._me):
            return None
        if ownable in self._suspended_until_generation:
            return None
        if self._reported_epoch_by_ownable.get(ownable, -1) > tenure.epoch:
            return None
        return Holding(epoch=tenure.epoch, roster=self._roster(tenure.members))

    def _roster(self, members: Members) -> Roster:
        roster = self._roster_by_members.get(members)
        if roster is None:
            roster = frozenset(member.incarnation for member in members)
            self._roster_by_members = {members: roster, **self._roster_by_members}
            if len(self._roster_by_members) > ROSTERS_KEPT:
                self._roster_by_members.popitem()
        return roster
