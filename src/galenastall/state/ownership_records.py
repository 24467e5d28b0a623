"""Records of ownership in a data centre's stream; the offset of a claim is the owner's epoch.

Each record that a delayed append could add to the log late carries a guard (`seen` or
`generation`) by which the fold voids it, so no writer needs to know whether its append succeeded.
"""

from dataclasses import dataclass

from galenastall.state.ids import Epoch, HostId, Incarnation, Offset, OwnableId
from galenastall.state.records import RECORDS


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One incarnation of an entry host's process."""

    host: HostId
    incarnation: Incarnation


Members = tuple[Member, ...]
"""A roster, sorted by incarnation."""


@RECORDS.register("ownership.join")
@dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """Add a member; it replaces any earlier incarnation of its host.

    Void if another incarnation of the host joined at `seen` or later.
    """

    member: Member
    seen: Offset


@RECORDS.register("ownership.leave")
@dataclass(frozen=True, kw_only=True, slots=True)
class Leave:
    """Remove a member: on its own request, or because the platform lists its host as gone."""

    member: Member


@RECORDS.register("ownership.claim")
@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Announce a change of owner; the claimant may act only after its `Activate`.

    Void for each ownable that changed owner or was claimed at `seen` or later.
    """

    by: Member
    ownables: tuple[OwnableId, ...]
    seen: Offset


@RECORDS.register("ownership.activate")
@dataclass(frozen=True, kw_only=True, slots=True)
class Activate:
    """Make a claimant the owner of what it claimed, except ownables with a later claim."""

    by: Member
    epoch: Epoch
    members: Members
    """The roster whose majority must be fenced before anyone else may take over."""


@RECORDS.register("ownership.reroster")
@dataclass(frozen=True, kw_only=True, slots=True)
class UpdateRoster:
    """Replace the roster of every ownable that a member owns uncontested.

    Void unless `generation` is above that of the member's last record that has one.
    """

    by: Member
    generation: int
    members: Members


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipTransfer:
    """The ownables transferred to one member; without `to` they become free."""

    to: Member | None
    ownables: tuple[OwnableId, ...]


@RECORDS.register("ownership.handover")
@dataclass(frozen=True, kw_only=True, slots=True)
class HandOver:
    """Make other members the owners at once; the old owner stopped acting before it wrote this.

    Void under the same condition as an UpdateRoster.
    """

    by: Member
    generation: int
    gifts: tuple[OwnershipTransfer, ...]
    members: Members


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """Who may act under which epoch, and the roster whose members can confirm it."""

    owner: Member
    epoch: Epoch
    members: Members


@dataclass(frozen=True, kw_only=True, slots=True)
class Claimed:
    """The latest claim on an ownable; `by` is None if its owner released it."""

    by: Member | None
    epoch: Epoch


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnableState:
    """State of one ownable by the log; contested while the claim's epoch is above the tenure's."""

    tenure: Tenure | None
    claim: Claimed

    @property
    def is_free(self) -> bool:
        """Whether the last owner released it and nobody has claimed it since."""
        return self.claim.by is None

    @property
    def is_settled(self) -> bool:
        """Whether the latest claimant is the owner."""
        return self.tenure is not None and self.tenure.epoch == self.claim.epoch


@dataclass(frozen=True, kw_only=True, slots=True)
class RosterEntry:
    """A member of the roster, the offset of its join and its last generation."""

    member: Member
    joined_at: Offset
    generation: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnableGroup:
    """Ownables with equal state, which is written only once."""

    state: OwnableState
    ownables: tuple[OwnableId, ...]


@RECORDS.register("ownership.snapshot")
@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipSnapshot:
    """The whole state after all records below `covers`, so that the log may trim them."""

    covers: Offset
    roster: tuple[RosterEntry, ...]
    known_from: Offset
    groups: tuple[OwnableGroup, ...]
