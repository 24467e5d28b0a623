"""When an unanswered append is tried again, by the time that its bytes need over the link.

Tries of one append share the leader's link. A further try that begins while the first is still
being sent slows it down until all of them time out, and nothing of what they sent is kept.
"""

from dataclasses import dataclass
from typing import Final

from galenastall.coordination.cell.call_flow import USABLE_SHARE

SHORTEST_TIMEOUT_S: Final = 0.25
"""Minimum wait for an append's answer before the next try. An append takes 7 ms; each lost answer
delays all work by this much."""
LATENCY_FACTOR: Final = 4.0
"""The next try begins after this many times the latency of the last answered append."""
NEXT_TRY_AFTER_S: Final = 0.3
"""Interval between further tries, and thus the longest delay until a recovered store is noticed."""
ANSWER_WITHIN_S: Final = 1.4
"""Time-out of a try beyond its transfer; a slow store takes up to 0.4 s."""
MAX_DOUBLINGS: Final = 2
"""How often the time for the transfer doubles: a try that hangs in an outage must end soon."""
MAX_AT_ONCE: Final = 5
"""Limit of concurrent tries: as many as begin at `NEXT_TRY_AFTER_S` within `ANSWER_WITHIN_S`. With
fewer, no try is sent to a silent store while all of them hang."""
MAX_AT_ONCE_AFTER_TIMEOUT: Final = 2
"""Limit for an append that is not small, once a try of it has timed out: the link may carry less
than expected, and more tries would share it until none of them ends in time."""
SMALL_TRANSFER_S: Final = 0.05
"""A shorter transfer ends before the next try begins, even at a quarter of the rate."""
LARGE_TRANSFER_S: Final = 0.3
"""Batches are split at this transfer time, so that the store goes on confirming the leader
meanwhile. Tries of a single larger value follow one another."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendTiming:
    """Waits, time-outs and limits of appends over a leader's link."""

    link_bytes_per_s: float
    """What the link carries in full; infinite if unknown, and then nothing is limited."""

    @property
    def large_bytes(self) -> float:
        """Size above which batches are split."""
        return self._bytes_within(LARGE_TRANSFER_S)

    def transfer_s(self, size_bytes: int, *, unanswered: int = 0) -> float:
        """Return the time to allow for a transfer, beside what any try is allowed.

        It doubles with each try that was not answered: a link that carries less than expected would
        otherwise cut each try at the same point.
        """
        if self._is_small(size_bytes):
            return 0.0
        return size_bytes / self._usable_bytes_per_s * 2.0 ** min(unanswered, MAX_DOUBLINGS)

    def answer_within_s(self, size_bytes: int, *, unanswered: int) -> float:
        """Return the time-out of a try."""
        return ANSWER_WITHIN_S + self.transfer_s(size_bytes, unanswered=unanswered)

    def first_wait_s(self, size_bytes: int, *, latency_s: float) -> float:
        """Return how long to wait for the first try's answer before the second one begins.

        `latency_s` is the duration of the last answered append beyond its transfer: a try costs a
        slow store about 0.2 s more, so the second one waits longer there.
        """
        pause_s = max(SHORTEST_TIMEOUT_S, LATENCY_FACTOR * latency_s)
        return min(pause_s, ANSWER_WITHIN_S) + self.transfer_s(size_bytes)

    def next_wait_s(self, size_bytes: int, *, unanswered: int) -> float:
        """Return how long to wait for an answer before a further try begins."""
        return NEXT_TRY_AFTER_S + self.transfer_s(size_bytes, unanswered=unanswered)

    def max_at_once(self, size_bytes: int, *, has_timed_out: bool) -> int:
        """Return how many tries of an append may be under way."""
        if size_bytes > self.large_bytes:
            return 1
        if has_timed_out and not self._is_small(size_bytes):
            return MAX_AT_ONCE_AFTER_TIMEOUT
        return MAX_AT_ONCE

    @property
    def _usable_bytes_per_s(self) -> float:
        return self.link_bytes_per_s * USABLE_SHARE

    def _bytes_within(self, transfer_s: float) -> float:
        return self._usable_bytes_per_s * transfer_s

    def _is_small(self, size_bytes: int) -> bool:
        return size_bytes <= self._bytes_within(SMALL_TRANSFER_S)
