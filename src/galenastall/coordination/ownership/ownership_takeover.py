"""One claim of this member until its activation: fence the roster, then wait."""

from collections.abc import Callable
from math import inf

from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.state.ids import Epoch, Incarnation, OwnableId
from galenastall.state.ownership_fold import OwnershipFold
from galenastall.state.ownership_records import Member, Members


class Takeover:
    """A claim that this member has read back from the log.

    It is ready once so many members of each old roster can confirm no lower epoch that the
    others are no majority, and every time until which the old owner may still act has passed.
    """

    def __init__(
        self, *, epoch: Epoch, now: float, fold: OwnershipFold, timings: OwnershipTimings
    ) -> None:
        """Read from the fold what the claim at `epoch` took; `now` is after its append."""
        self.epoch = epoch
        self._timings = timings
        self._claimed_at = now
        self.ownables: tuple[OwnableId, ...] = tuple(
            o for o, state in fold.state_by_ownable.items() if state.claim.epoch == epoch
        )
        tenures = (fold.state_by_ownable[ownable].tenure for ownable in self.ownables)
        self._fenced_at_by_roster: dict[Members, float] = {
            tenure.members: inf for tenure in tenures if tenure is not None
        }
        self._acked: set[Incarnation] = set()
        self.fence_sent_at = -inf

    @property
    def has_old_owner(self) -> bool:
        """Whether any of its ownables had an owner, so that there is one to wait for."""
        return bool(self._fenced_at_by_roster)

    def on_ack(self, member: Incarnation) -> None:
        """Count a member's promise."""
        self._acked.add(member)

    def unacked(self, fold: OwnershipFold) -> list[Member]:
        """Return the members of the old rosters that have not acknowledged yet, sorted."""
        members = {m for roster in self._fenced_at_by_roster for m in roster}
        unacked = (m for m in members if m.incarnation not in self._acked and fold.has_member(m))
        return sorted(unacked, key=lambda member: member.incarnation)

    def update(self, is_dead: Callable[[Member], bool], me: Member, now: float) -> None:
        """Record the rosters that are fenced by now."""
        for members, fenced_at in self._fenced_at_by_roster.items():
            if fenced_at != inf:
                continue
            fenced = sum(m == me or m.incarnation in self._acked or is_dead(m) for m in members)
            if leaves_no_majority(fenced, members):
                self._fenced_at_by_roster[members] = now

    def ready_at(self) -> float:
        """Return when the claim may be activated; infinite while a roster is not fenced."""
        if not self.has_old_owner:
            return self._claimed_at
        timings = self._timings
        fenced_at = max(self._fenced_at_by_roster.values())
        confirmed_until = max(
            fenced_at + timings.vouch_s * timings.rate_factor,
            self._claimed_at + timings.read_s * timings.rate_factor,
        )
        return confirmed_until + timings.flight_s * timings.rate_factor


def is_majority(count: int, members: Members) -> bool:
    """Return whether `count` is more than half of the roster."""
    return 2 * count > len(members)


def leaves_no_majority(count: int, members: Members) -> bool:
    """Return whether the members of a roster that are not counted are no more than half of it.

    Of two members one is enough: when more were required, nobody replaced a paused owner.
    """
    return 2 * count >= len(members)
