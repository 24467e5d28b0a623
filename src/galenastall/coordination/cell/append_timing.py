"""When an unanswered append is tried again, by the time that its bytes need over a small link.

Tries of one append share the leader's link. A further try that begins while the first is still
being sent slows it down until all of them time out, and nothing of what they sent is kept.
"""

from typing import Final

SMALL_LINK_BYTES_PER_S: Final = 312_500.0
"""Rate that a leader can count on: half of a link of 5 Mbit/s, the other half carries answers."""
SHORTEST_TIMEOUT_S: Final = 0.25
"""Minimum wait for an append's answer before the next try. An append takes 7 ms; each lost answer
delays all work by this much."""
LATENCY_FACTOR: Final = 4.0
"""The next try begins after this many times the latency of the last answered append."""
NEXT_TRY_AFTER_S: Final = 0.3
"""Interval between further tries, and thus the longest delay until a recovered store is noticed."""
ANSWER_WITHIN_S: Final = 1.5
"""Time-out of a try beyond its transfer; a slow store takes up to 0.4 s."""
MAX_DOUBLINGS: Final = 2
"""How often the time for the transfer doubles: a try that hangs in an outage must end soon."""
MAX_AT_ONCE: Final = 4
"""Limit of concurrent tries: half of the connections to the store."""
MAX_AT_ONCE_AFTER_TIMEOUT: Final = 2
"""Limit for an append that is not small, once a try of it has timed out: the link may carry less
than expected, and more tries would share it until none of them ends in time."""
SMALL_BYTES: Final = 16_000
"""Below this size a transfer ends before the next try begins, even at a quarter of the rate."""
LARGE_BYTES: Final = 96_000
"""Batches are split at this size, a third of a second over a small link, so that the store goes on
confirming the leader meanwhile. Tries of a single larger value follow one another."""


def transfer_s(size_bytes: int, *, unanswered: int = 0) -> float:
    """Return the time to allow for a transfer, beside what any try is allowed.

    It doubles with each try that was not answered: a link that carries less than expected would
    otherwise cut each try at the same point.
    """
    if size_bytes <= SMALL_BYTES:
        return 0.0
    return size_bytes / SMALL_LINK_BYTES_PER_S * 2.0 ** min(unanswered, MAX_DOUBLINGS)


def answer_within_s(size_bytes: int, *, unanswered: int) -> float:
    """Return the time-out of a try."""
    return ANSWER_WITHIN_S + transfer_s(size_bytes, unanswered=unanswered)


def first_wait_s(size_bytes: int, *, latency_s: float) -> float:
    """Return how long to wait for the first try's answer before the second one begins.

    `latency_s` is the duration of the last answered append beyond its transfer: a try costs a slow
    store about 0.2 s more, so the second one waits longer there.
    """
    pause_s = max(SHORTEST_TIMEOUT_S, LATENCY_FACTOR * latency_s)
    return min(pause_s, ANSWER_WITHIN_S) + transfer_s(size_bytes)


def next_wait_s(size_bytes: int, *, unanswered: int) -> float:
    """Return how long to wait for an answer before a further try begins."""
    return NEXT_TRY_AFTER_S + transfer_s(size_bytes, unanswered=unanswered)


def max_at_once(size_bytes: int, *, has_timed_out: bool) -> int:
    """Return how many tries of an append may be under way."""
    if size_bytes > LARGE_BYTES:
        return 1
    if has_timed_out and size_bytes > SMALL_BYTES:
        return MAX_AT_ONCE_AFTER_TIMEOUT
    return MAX_AT_ONCE
