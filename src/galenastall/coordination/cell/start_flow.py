"""How many starts a leader sends at once, by the link that it has.

Starts are sent as soon as they are durable, hundreds at once after an outage. Those that a small
link can't carry within the time-out of an order would all go unanswered: whether they were carried
out is then unknown, and they are sent again in full.
"""

from typing import Final

from galenastall.coordination.cell.commands import StartOrder

USABLE_SHARE: Final = 0.5
"""Share of the link that starts may take; answers to callers and appends take the rest."""
TIMEOUT_SHARE: Final = 0.6
"""Share of an order's time-out that its transfer may take, beside the round trip."""
OVERHEAD_BYTES: Final = 450
"""Headers, names and numbers of a start, beside what the job hands to its tasks."""


def start_bytes(order: StartOrder) -> int:
    """Return the approximate size of a start."""
    return OVERHEAD_BYTES + len(order.payload) + len(order.checkpoint) + len(order.ticket)


def max_start_bytes(*, link_bytes_per_s: float, order_timeout_s: float) -> float:
    """Return how many bytes of starts may be under way."""
    return link_bytes_per_s * USABLE_SHARE * order_timeout_s * TIMEOUT_SHARE
