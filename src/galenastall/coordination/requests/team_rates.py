"""Limit each team's request rate by token buckets; requests count against parent teams too."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from galenastall.state.ids import TeamPath


@dataclass(frozen=True, kw_only=True, slots=True)
class TeamRate:
    """Rate limit of a team."""

    per_s: float
    burst: float
    """Requests that may arrive at once after a pause."""


class _Bucket:
    __slots__ = ("filled_at", "tokens")

    def __init__(self, *, rate: TeamRate, now: float) -> None:
        self.tokens = rate.burst
        self.filled_at = now

    def fill(self, rate: TeamRate, now: float) -> None:
        self.tokens = min(rate.burst, self.tokens + (now - self.filled_at) * rate.per_s)
        self.filled_at = now


class TeamRates:
    """Token buckets of all teams on one entry host."""

    def __init__(self) -> None:
        """Start with full buckets."""
        self._buckets_by_team: dict[TeamPath, _Bucket] = {}

    def take(
        self, *, team: TeamPath, rates_by_team: Mapping[TeamPath, TeamRate], now: float
    ) -> float:
        """Count one request; return 0, or the seconds to wait if it exceeds the rate.

        A request that exceeds the rate of the team or any parent team counts for none of them.
        """
        spent: list[_Bucket] = []
        wait_s = 0.0
        for path in _with_ancestors(team):
            rate = rates_by_team.get(path)
            if rate is None:
                self._buckets_by_team.pop(path, None)
                continue
            bucket = self._buckets_by_team.get(path)
            if bucket is None:
                bucket = self._buckets_by_team[path] = _Bucket(rate=rate, now=now)
            bucket.fill(rate, now)
            wait_s = max(wait_s, (1.0 - bucket.tokens) / rate.per_s)
            spent.append(bucket)
        if wait_s > 0.0:
            return wait_s
        for bucket in spent:
            bucket.tokens -= 1.0
        return 0.0


def _with_ancestors(team: TeamPath) -> Iterator[TeamPath]:
    """Yield the team and all its parent teams."""
    path: str = team
    while path:
        yield TeamPath(path)
        path = path.rpartition("/")[0]
