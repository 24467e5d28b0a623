"""Which host should lead: by what it can carry, and by whether it keeps up.

Answers this load: a leader is lost among hosts of unlike size, and all others would claim within
milliseconds. A host of half a core then starts work for thousands of tasks too late, and its
callers wait for seconds. So hosts that are far smaller than the largest one let it go first, a
small leader hands over to a large host, a leader that falls behind to one that does not, and one
that the store turns away to one that the store serves.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

LIGHT_SHARE: Final = 0.7
"""A host below this share of the heaviest one's weight is light: it lets that one claim first.
Hosts of one kind differ by less."""
HANDOVER_WEIGHT_RATIO: Final = 1.0 / LIGHT_SHARE
"""How many times heavier a host must be for a leader to hand over to it: nothing starts for some
0.2 s of a handover, which has to be worth it."""
OVERLOAD_LAG_S: Final = 0.15
"""A leader whose loop is late by more on average falls behind: an order waits 0.35 s for its
answer, and with a loop that is late twice on its way orders time out."""
MAX_CANDIDATE_LAG_S: Final = 0.05
"""A host whose loop is late by more is not given the leadership."""
STORE_REFUSAL_LIMIT_S: Final = 0.3
"""A leader whose appends the store has refused for longer hands over to a host that the store
serves: nothing starts meanwhile, and others would claim after 1.3 s."""
STORE_FAILURE_LIMIT_S: Final = 0.6
"""The same where appends get no answer, which may have been lost: two tries go out within it."""
LAG_GRACE_S: Final = 3.0
"""A leader is not judged by its loop before: after a takeover all executors answer at once."""
MIN_CANDIDATE_UPTIME_S: Final = 1.0
"""A host is not given the leadership before its process is so old: it connects to everybody."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A host that could lead, as it last described itself."""

    host: str
    weight: float
    """Cores that it can use for leading."""
    uptime_s: float
    lag_s: float
    """By how much its loop is late on average."""
    is_willing: bool
    """False for a while after it fell behind as leader."""

    @property
    def is_keeping_up(self) -> bool:
        """Whether it keeps up with what it does now."""
        return self.is_willing and self.lag_s <= MAX_CANDIDATE_LAG_S


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaderHealth:
    """What a leader knows of itself."""

    weight: float
    lag_s: float
    leads_for_s: float
    """Since its claim."""
    store_refuses_s: float = 0.0
    """For how long the store has refused its appends; 0 while they go through."""
    store_failing_s: float = 0.0
    """For how long its appends have failed in any way."""

    @property
    def is_rejected_by_store(self) -> bool:
        """Whether the store does not take its appends for long enough to look for another host."""
        return (
            self.store_refuses_s > STORE_REFUSAL_LIMIT_S
            or self.store_failing_s > STORE_FAILURE_LIMIT_S
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Handover:
    """A leader should hand over."""

    successor: str
    cause: str
    is_overloaded: bool = False
    """Whether the leader falls behind, and should not lead again soon."""
    is_rejected_by_store: bool = False
    """Whether it depends on the store serving the successor and not the leader."""


def is_light(weight: float, heaviest: float) -> bool:
    """Whether a host lets heavier ones claim first."""
    return weight < LIGHT_SHARE * heaviest


def heaviest_of(candidates: Iterable[Candidate]) -> float:
    """Return the weight of the heaviest host that may claim; 0 if there is none."""
    return max((c.weight for c in candidates if c.is_willing), default=0.0)


def successor_of(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return who should lead next: who keeps up first, then by weight, then the youngest.

    In a rolling restart the youngest are stopped last.
    """
    ranked = sorted(candidates, key=lambda c: (not c.is_keeping_up, -c.weight, c.uptime_s, c.host))
    return ranked[0] if ranked else None


def handover_of(health: LeaderHealth, candidates: Iterable[Candidate]) -> Handover | None:
    """Return to whom a leader should hand over and why; None if it should go on.

    No two hosts hand over to each other in turn: by weight it only goes upwards, one that fell
    behind is not willing for a while, and one that the store turns away has to see first that the
    store serves the other (see `is_turned_away`).
    """
    ready = [c for c in candidates if c.is_keeping_up and c.uptime_s >= MIN_CANDIDATE_UPTIME_S]
    best = successor_of(ready)
    if best is None:
        return None
    if best.weight > HANDOVER_WEIGHT_RATIO * health.weight:
        cause = f"{best.host} has {best.weight:g} cores and this host {health.weight:g}"
        return Handover(successor=best.host, cause=cause)
    is_overloaded = health.lag_s > OVERLOAD_LAG_S and health.leads_for_s > LAG_GRACE_S
    if is_overloaded and not is_light(best.weight, health.weight):
        cause = f"this host's loop is {health.lag_s:.2f} s late on average"
        return Handover(successor=best.host, cause=cause, is_overloaded=True)
    if health.is_rejected_by_store:
        cause = f"the store has not taken this host's appends for {health.store_failing_s:.2f} s"
        return Handover(successor=best.host, cause=cause, is_rejected_by_store=True)
    return None
