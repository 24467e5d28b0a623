"""When callers whose jobs were refused for load may return, spread over the time after it.

Addresses this load: hundreds of callers are refused within a second, and would all return in the
same second, of which only some could be served.
"""

from dataclasses import dataclass
from math import ceil
from typing import Final

MAX_RETURN_S: Final = 30
"""No caller is told to return later, in seconds: forecasts that far ahead are wrong."""
RETURNING_SHARE: Final = 0.5
"""Share of the released capacity that returning callers may expect; new callers use the rest."""
RANKS: Final = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class ReturnRank:
    """Who returns first: jobs within their rate before others, then urgent ones before others."""

    is_within_rate: bool
    is_urgent: bool

    @property
    def index(self) -> int:
        """Its position, from 0 to `RANKS` - 1."""
        return 2 * int(not self.is_within_rate) + int(not self.is_urgent)


class BookedReturns:
    """Keeps how much work was told to return in each second; at most `MAX_RETURN_S` of them."""

    def __init__(self) -> None:
        """Start without bookings."""
        self._shares_by_second: dict[int, list[float]] = {}

    def book(
        self, *, now: float, free_in_s: float, share: float, per_s: float, rank: ReturnRank
    ) -> int:
        """Return after how many whole seconds a caller may return, and book it.

        `share` is what its job needs and `per_s` what is released each second, as shares of all
        capacity. A caller sees only bookings of its own rank and of those that go first.
        """
        self._forget_before(int(now))
        first = min(max(ceil(free_in_s), 1), MAX_RETURN_S)
        for delay_s in range(first, MAX_RETURN_S + 1):
            booked = self._shares_by_second.setdefault(int(now) + delay_s, [0.0] * RANKS)
            ahead = sum(booked[: rank.index + 1])
            if ahead == 0.0 or ahead + share <= RETURNING_SHARE * per_s:
                booked[rank.index] += share
                return delay_s
        return MAX_RETURN_S

    def _forget_before(self, second: int) -> None:
        for past in [each for each in self._shares_by_second if each < second]:
            del self._shares_by_second[past]
