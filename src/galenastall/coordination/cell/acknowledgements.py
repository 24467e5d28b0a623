"""Decides up to which position an executor may forget the ends of its runs.

Each incarnation numbers its ends from 1. An acknowledgement meant for an earlier one makes a later
one forget ends that nobody has read. So none is sent while a start may be carried out late, or if
the executor may have restarted and ended a run since its last listing.
"""

from collections import Counter
from typing import Final

from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.late_orders import LateOrders

LISTED_WITHIN_S: Final = 1.0
"""Ends are acknowledged only while the last listing is no older, which allows for a slow append."""
RESTART_S: Final = 0.1
"""A restart takes longer than this."""


class Acknowledgements:
    """The acknowledgements of ends that one incarnation of an executor was sent."""

    def __init__(self, *, executor: Executor, late_orders: LateOrders) -> None:
        """Decide for `executor`; `late_orders` knows the starts that may still be carried out."""
        self._executor = executor
        self._late_orders = late_orders
        self._acknowledged = 0
        """Position up to which acknowledgements were answered."""
        self._unanswered_by_token: Counter[int] = Counter()
        self._start_answered_seq = 0
        """Sequence number at which a start that any incarnation accepts was last answered."""
        self._listing_asked_seq = 0
        """Sequence number at which the last listing was requested."""

    def position(self, now: float) -> int:
        """Return the position up to which ends may be forgotten; 0 if none may be."""
        executor = self._executor
        is_listed = executor.has_answered(now=now, reach_s=LISTED_WITHIN_S)
        if executor.lost_at is not None or not is_listed or self._may_start_late(now):
            return 0
        is_recent = executor.has_answered(now=now, reach_s=RESTART_S)
        has_listed_starts = self._listing_asked_seq > self._start_answered_seq
        return executor.durable_position if is_recent or has_listed_starts else 0

    def are_withheld(self, now: float) -> bool:
        """Whether listed ends stay listed until a late start is ruled out."""
        return self._may_start_late(now) and self._executor.applied_position > self._acknowledged

    def _may_start_late(self, now: float) -> bool:
        return self._late_orders.may_come_to(self._executor.name, now=now)

    def on_sent(self, position: int, token: int) -> None:
        """Record a poll that acknowledges ends up to a position, or none if that is 0."""
        if position > 0:
            self._unanswered_by_token[token] += 1

    def on_answered(self, position: int, token: int) -> None:
        """Record the answer to such a poll."""
        if position > 0:
            self._unanswered_by_token[token] -= 1
            self._acknowledged = max(self._acknowledged, position)

    def may_come_late(self, token: int) -> bool:
        """Whether an acknowledgement under this token is without an answer."""
        return self._unanswered_by_token[token] > 0

    def on_start_answered(self, seq: int) -> None:
        """Record the answer to a start that a later incarnation would accept as well."""
        self._start_answered_seq = seq

    def on_listing(self, asked_seq: int) -> None:
        """Record a listing that was requested at `asked_seq`."""
        self._listing_asked_seq = max(self._listing_asked_seq, asked_seq)
