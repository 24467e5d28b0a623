"""The two conditions on which an owner may act; one of them is enough.

The log confirmation is a recent read of the log's end; the peer confirmation is recent echoes of
this member's heartbeats by a majority of the roster.
"""

from collections.abc import Iterable
from math import inf

from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.state.ids import Incarnation

Roster = frozenset[Incarnation]


class Confirmations:
    """The times until which both confirmations hold, by this member's own clock."""

    def __init__(self, *, me: Incarnation, timings: OwnershipTimings) -> None:
        """Start with neither confirmation."""
        self._me = me
        self.timings = timings
        """Replaced when operators change them."""
        self.log_end_read_at = -inf
        self._own_read_at = -inf
        self._sequence = 0
        self._sent_at_by_sequence: dict[int, float] = {}
        self._confirmed_at: dict[Incarnation, float] = {}
        self._until_by_roster: dict[Roster, float] = {}
        self._unconfirmed_by_generation: dict[int, Roster] = {}

    def next_sequence(self, now: float) -> int:
        """Return the number of a round of heartbeats that is sent now."""
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = now
        oldest = next(iter(self._sent_at_by_sequence))
        while now - self._sent_at_by_sequence[oldest] > self.timings.vouch_s:
            del self._sent_at_by_sequence[oldest]
            oldest = next(iter(self._sent_at_by_sequence))
        return self._sequence

    def sent_at(self, sequence: int) -> float | None:
        """Return when a round was sent; None if that is too long ago to count."""
        return self._sent_at_by_sequence.get(sequence)

    def on_echo(self, peer: Incarnation, sent_at: float) -> None:
        """Count a peer's confirmation from the time at which the echoed heartbeat was sent."""
        self._confirmed_at[peer] = max(sent_at, self._confirmed_at.get(peer, -inf))
        self._until_by_roster.clear()

    def on_log_end(self, read_at: float) -> None:
        """Count a read of the log's end, by any member, from the time at which it was sent."""
        self.log_end_read_at = max(self.log_end_read_at, read_at)

    def on_own_log_end(self, read_at: float) -> None:
        """Count a read of the log's end that this member sent."""
        self._own_read_at = max(self._own_read_at, read_at)
        self.on_log_end(read_at)

    def lacks_log(self, now: float) -> bool:
        """Return whether the log confirmation would not hold by this member's own reads."""
        return now >= self._own_read_at + self.timings.read_s

    def keep_only(self, members: Iterable[Incarnation]) -> None:
        """Drop the confirmations of all others."""
        kept = set(members)
        self._confirmed_at = {i: at for i, at in self._confirmed_at.items() if i in kept}
        self._until_by_roster.clear()

    def expect_roster(self, generation: int, roster: Roster) -> None:
        """Also require this roster's confirmations, as a record that names it may be in the log."""
        self._unconfirmed_by_generation[generation] = roster
        self._until_by_roster.clear()

    def drop_roster(self, generation: int) -> None:
        """Stop requiring a roster whose record is known not to be in the log."""
        self._unconfirmed_by_generation.pop(generation, None)
        self._until_by_roster.clear()

    def confirm_generation(self, generation: int) -> None:
        """Stop requiring rosters of records up to `generation`: they are read or void."""
        unconfirmed = self._unconfirmed_by_generation
        self._unconfirmed_by_generation = {g: r for g, r in unconfirmed.items() if g > generation}
        self._until_by_roster.clear()

    def has_log_confirmation(self, now: float) -> bool:
        """Return whether the log confirmation holds."""
        return now < self.log_end_read_at + self.timings.read_s

    def has_peer_confirmation(self, roster: Roster, now: float) -> bool:
        """Return whether the peer confirmation holds for what is owned under `roster`."""
        until = self._until_by_roster.get(roster)
        if until is None:
            rosters = (roster, *self._unconfirmed_by_generation.values())
            until = min(map(self._confirmed_until, rosters))
            self._until_by_roster[roster] = until
        return now < until

    def _confirmed_until(self, roster: Roster) -> float:
        confirmed_at = self._confirmed_at
        times = sorted(
            (inf if i == self._me else confirmed_at.get(i, -inf) for i in roster), reverse=True
        )
        majority = len(roster) // 2 + 1
        return times[majority - 1] + self.timings.vouch_s
