"""How many calls to executors a leader has under way at once, by the link that it has.

Starts are sent as soon as they are durable, hundreds at once after an outage. Those that a small
link can't carry within the time-out of an order would all go unanswered: whether they were carried
out is then unknown, and they are sent again in full. The same holds for the listings of all
executors, which a new leader requests at once.
"""

from typing import Final

from galenastall.coordination.cell.commands import StartOrder

USABLE_SHARE: Final = 0.5
"""Share of the link that calls may take, and at whose rate appends are timed; answers to callers
take the rest."""
TIMEOUT_SHARE: Final = 0.6
"""Share of a call's time-out that its transfer may take, beside the round trip."""
OVERHEAD_BYTES: Final = 450
"""Headers, names and numbers of a start, beside what the job hands to its tasks."""

LISTING_BYTES: Final = 1_200
"""A listing of twenty rows: what runs, and what has ended while nobody led."""


def start_bytes(order: StartOrder) -> int:
    """Return the approximate size of a start."""
    return OVERHEAD_BYTES + len(order.payload) + len(order.checkpoint) + len(order.ticket)


def call_timeout_s(size_bytes: int, *, link_bytes_per_s: float, timeout_s: float) -> float:
    """Return the time-out of a call of this size, whose transfer may take longer than `timeout_s`.

    A call that is larger than the link carries in a fixed time would be cut at each try.
    """
    return timeout_s + size_bytes / (link_bytes_per_s * USABLE_SHARE)


def max_call_bytes(*, link_bytes_per_s: float, timeout_s: float) -> float:
    """Return how many bytes of calls with this time-out may be under way."""
    return link_bytes_per_s * USABLE_SHARE * timeout_s * TIMEOUT_SHARE
