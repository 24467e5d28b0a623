"""Write one member's heartbeats: pings, confirmations and the log's end, one message per peer."""

from collections.abc import Iterator
from math import ceil, inf
from typing import Final

from galenastall.coordination.ownership.membership import Membership
from galenastall.coordination.ownership.ownership_confirmations import Confirmations
from galenastall.coordination.ownership.ownership_holdings import Holdings
from galenastall.coordination.ownership.ownership_messages import (
    ContestedClaim,
    Fence,
    Heartbeat,
    SendMessage,
)
from galenastall.coordination.ownership.ownership_takeover import Takeover
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.state.ownership_fold import OwnershipFold
from galenastall.state.ownership_records import Member

MIN_ROUND_INTERVAL_S: Final = 0.1
"""Minimum time between rounds, also when a status change should go out at once."""


class HeartbeatWriter:
    """Sends rounds at a regular interval, and at once when the unresponsive members change."""

    def __init__(
        self,
        *,
        me: Member,
        timings: OwnershipTimings,
        fold: OwnershipFold,
        confirmations: Confirmations,
        membership: Membership,
        holdings: Holdings,
    ) -> None:
        """Use the core's parts."""
        self._me = me
        self._timings = timings
        self._fold = fold
        self._legs = confirmations
        self._membership = membership
        self._holdings = holdings
        self._last_round_at = -inf
        self._last_status: tuple[object, ...] = ()

    def round(self, now: float, *, is_leaving: bool) -> Iterator[SendMessage]:
        """Yield a heartbeat for each other member of the roster if a round is due."""
        peers = [m for m in self._fold.members() if m != self._me]
        silent = self._membership.silent(now)
        lacks_log = self._legs.lacks_log(now)
        status = (silent, is_leaving, lacks_log)
        interval = self._timings.heartbeat_interval_s(peers=len(peers))
        if status != self._last_status:
            interval = MIN_ROUND_INTERVAL_S
        if now - self._last_round_at < interval or not peers:
            return
        self._last_round_at = now
        self._last_status = status
        sequence = self._legs.next_sequence(now)
        tip_age_ms = ceil((now - self._legs.log_end_read_at) * 1000)
        for peer in peers:
            echo, claims = self._confirm(peer)
            heartbeat = Heartbeat(
                sender=self._me.incarnation,
                receiver=peer.incarnation,
                sequence=sequence,
                echo=echo,
                next_offset=self._fold.next_offset,
                tip_age_ms=tip_age_ms,
                is_leaving=is_leaving,
                silent=silent,
                claims=claims,
                lacks_log=lacks_log,
            )
            yield SendMessage(to=peer.host, message=heartbeat)

    def fence(self, member: Member, takeover: Takeover) -> Fence:
        """Return the message that requests a promise from `member`."""
        claim = ContestedClaim(epoch=takeover.epoch, ownables=takeover.ownables)
        return Fence(sender=self._me.incarnation, receiver=member.incarnation, claim=claim)

    def _confirm(self, peer: Member) -> tuple[int, tuple[ContestedClaim, ...]]:
        view = self._membership.view(peer.incarnation)
        if view is None or view.next_offset < self._fold.known_from:
            return 0, ()
        claims = tuple(self._holdings.claims_from(view.next_offset, reader=peer))
        return view.sequence, claims
