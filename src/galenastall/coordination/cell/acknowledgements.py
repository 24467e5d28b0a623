"""Decides up to which position an executor may forget the ends of its runs.

Each incarnation numbers its ends from 1. An acknowledgement meant for an earlier one makes a later
one forget ends that nobody has read. So none is sent while a start may be carried out late, or if
the executor may have restarted since its last listing.
"""

from collections import Counter
from typing import Final

from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.late_orders import LateOrders

LISTED_WITHIN_S: Final = 1.0
"""Ends are acknowledged only while the last listing is no older: an executor that has restarted
since would forget ends that nobody has read."""


class Acknowledgements:
    """The acknowledgements of ends that one incarnation of an executor was sent."""

    def __init__(self, *, executor: Executor, late_orders: LateOrders) -> None:
        """Decide for `executor`; `late_orders` knows the starts that may still be carried out."""
        self._executor = executor
        self._late_orders = late_orders
        self._acknowledged = 0
        """Position up to which acknowledgements were answered."""
        self._unanswered_by_token: Counter[int] = Counter()

    def position(self, now: float) -> int:
        """Return the position up to which ends may be forgotten; 0 if none may be."""
        executor = self._executor
        is_listed = executor.has_answered(now=now, reach_s=LISTED_WITHIN_S)
        if executor.lost_at is not None or not is_listed or self._may_start_late(now):
            return 0
        return executor.durable_position

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
