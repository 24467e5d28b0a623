"""Decides when a host asks the leader again for a caller's query, and when it gives up; pure.

Guards against this failure: the first call to the leader had all of the caller's time, so one lost
message or held answer left none for a second call, and a host that heard no leader, or whose own
link was full, answered when it was too late to ask another host.

Queries and cancellations are idempotent, so a further attempt starts beside one without an answer,
which may still come: the first answer counts. Load pattern: a query is normally sent once. While
the leader is slow, at most `MAX_ATTEMPTS` of it are without an answer, at intervals that double, so
that a leader a little behind is not asked twice by all hosts. While the leader refuses at once, as
one that has just stepped down, a query is sent again after each first interval.
"""

from dataclasses import dataclass
from typing import Final

MAX_ATTEMPTS: Final = 3
"""Attempts of one query without an answer from one leader: two messages may be lost, and a slow
leader gets three times its load at most."""
HEDGE_AFTER_S: Final = 0.25
"""Longest time to the second attempt; an answer takes some milliseconds, and an unknown job's 0.2 s
if the store is slow. Each further interval is twice as long."""
HEDGE_SHARE: Final = 1 / 12
"""Largest share of the caller's time until the second attempt: all attempts then start in the first
quarter, and the last one has as much time left before the host gives up."""
UNSENT_RETRY_S: Final = 0.05
"""Interval between attempts that can't be sent."""
TAKEOVER_S: Final = 1.2
"""How long a query waits for a leader before it is refused; a takeover takes about 1.1 s."""
NO_LEADER_SHARE: Final = 0.4
"""Largest share of the caller's time without a leader: two further hosts can be asked in the rest,
one of them after the suggested delay."""
NO_ANSWER_SHARE: Final = 0.5
"""Share of the caller's time after which a leader that is heard but doesn't answer counts as out of
this host's reach. Only the path from this host may be full or cut, and a leader whose loop is this
late sends no heartbeats. The leader itself gives up after 0.4 of the time, so that its reason
arrives before."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QueryDeadlines:
    """Deadlines of a query, in the host's time."""

    until: float
    """When the caller stops waiting."""
    no_answer_until: float
    """When the host gives up on a leader that it hears."""
    no_leader_until: float
    """When the host gives up while it hears no leader."""

    @classmethod
    def of(cls, patience_s: float, *, now: float) -> "QueryDeadlines":
        """Derive the deadlines from the time that the caller waits."""
        return cls(
            until=now + patience_s,
            no_answer_until=now + NO_ANSWER_SHARE * patience_s,
            no_leader_until=now + min(TAKEOVER_S, NO_LEADER_SHARE * patience_s),
        )

    def end(self, *, has_leader: bool) -> float:
        """Return when to give up."""
        return self.no_answer_until if has_leader else self.no_leader_until


class QueryAttempts:
    """Times the attempts of one query with one leader."""

    def __init__(self, *, patience_s: float, now: float) -> None:
        """Allow the first attempt at once."""
        self._interval_s = min(HEDGE_AFTER_S, HEDGE_SHARE * patience_s)
        self._sent = 0
        self._next_at = now

    @property
    def next_at(self) -> float:
        """When the next attempt may start; infinite if there is none."""
        return self._next_at if self._sent < MAX_ATTEMPTS else float("inf")

    def begin(self, now: float) -> None:
        """Count an attempt that starts now."""
        self._next_at = now + self._interval_s * 2**self._sent
        self._sent += 1

    def end(self, now: float, *, was_sent: bool) -> None:
        """Count off an attempt that failed; one that was not sent cost the leader nothing."""
        self._sent -= 1
        self._next_at = now + (self._interval_s * 2**self._sent if was_sent else UNSENT_RETRY_S)
