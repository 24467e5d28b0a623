"""Records of ownership in a data centre's stream; the offset of a claim is the owner's epoch.

Each record that a delayed append could bring into the log late carries a guard (`seen` or
`generation`) that makes the fold void it, so that no writer has to know whether its append landed.
"""

from dataclasses import dataclass

from galenastall.state.ids import Epoch, HostId, Incarnation, Offset, OwnableId
from galenastall.state.records import RECORDS


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One life of an entry host's process."""

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
    """Remove a member: at its own wish, or since the platform's list shows its host gone."""

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
    """Make a claimant the owner of what it claimed and nobody claimed since."""

    by: Member
    epoch: Epoch
    members: Members
    """The roster whose majority must be fenced before anyone else may take over."""


@RECORDS.register("ownership.reroster")
@dataclass(frozen=True, kw_only=True, slots=True)
class UpdateRoster:
    """Replace the roster of all that a member owns uncontested.

    Void unless `generation` is above that of the member's last record that has one.
    """

    by: Member
    generation: int
    members: Members


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipTransfer:
    """What one member is given; without `to` the ownables become free."""

    to: Member | None
    ownables: tuple[OwnableId, ...]


@RECORDS.register("ownership.handover")
@dataclass(frozen=True, kw_only=True, slots=True)
class HandOver:
    """Make others the owners at once: the giver stopped acting before it wrote this.

    Void like an UpdateRoster.
    """

    by: Member
    generation: int
    gifts: tuple[OwnershipTransfer, ...]
    members: Members


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """Who may act under which epoch, and the roster that can vouch for it."""

    owner: Member
    epoch: Epoch
    members: Members


@dataclass(frozen=True, kw_only=True, slots=True)
class Claimed:
    """The latest claim on an ownable; by nobody if its owner set it free."""

    by: Member | None
    epoch: Epoch


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnableState:
    """What the log says of one ownable; contested while the claim's epoch is above the tenure's."""

    tenure: Tenure | None
    claim: Claimed

    @property
    def is_free(self) -> bool:
        """Whether the last owner set it free and nobody claimed it since."""
        return self.claim.by is None

    @property
    def is_settled(self) -> bool:
        """Whether the latest claimant is the owner."""
        return self.tenure is not None and self.tenure.epoch == self.claim.epoch


@dataclass(frozen=True, kw_only=True, slots=True)
class RosterEntry:
    """A member of the roster, when it joined, and its last generation."""

    member: Member
    joined_at: Offset
    generation: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnableGroup:
    """Ownables of equal state, written once."""

    state: OwnableState
    ownables: tuple[OwnableId, ...]


@RECORDS.register("ownership.snapshot")
@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipSnapshot:
    """The whole state after all records below `covers`, so that the log may trim those."""

    covers: Offset
    roster: tuple[RosterEntry, ...]
    known_from: Offset
    groups: tuple[OwnableGroup, ...]
