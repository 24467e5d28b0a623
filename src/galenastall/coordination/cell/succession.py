"""Selects the host that should lead, by weight and by event loop lag.

Guards against this failure: a leader is lost among hosts of different sizes, and all others would
claim within milliseconds. If a host with half a core wins, it starts work for thousands of tasks
too late, and callers wait for seconds. Therefore hosts far smaller than the largest one let it
claim first, a small leader hands over to a large host, an overloaded leader to one that keeps up,
and a leader whose appends the store rejects to a host that the store serves.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

LIGHT_SHARE: Final = 0.7
"""A host below this share of the heaviest one's weight is light: it lets that one claim first.
Weights of hosts of the same kind differ by less."""
HANDOVER_WEIGHT_RATIO: Final = 1.0 / LIGHT_SHARE
"""How many times heavier a host must be for a leader to hand over to it. A handover costs about
0.2 s in which nothing starts."""
OVERLOAD_LAG_S: Final = 0.15
"""A leader is overloaded if the average lag of its event loop exceeds this. An order times out
after 0.35 s and passes the loop twice, so a larger lag makes orders time out."""
MAX_CANDIDATE_LAG_S: Final = 0.05
"""A host with a larger event loop lag is not selected as leader."""
STORE_REFUSAL_LIMIT_S: Final = 0.3
"""A leader whose appends the store has refused for longer hands over to a host that the store
serves. Nothing starts until then, and without a handover others would claim after 1.3 s."""
STORE_FAILURE_LIMIT_S: Final = 0.6
"""The same for appends that fail in any way. It covers two tries, as one answer may get lost."""
LAG_GRACE_S: Final = 3.0
"""The lag of a leader is ignored for this time after its claim: all executors answer at once."""
MIN_CANDIDATE_UPTIME_S: Final = 1.0
"""A host is not selected before its process has run this long: it still connects to its peers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A host that could lead, as last reported by itself."""

    host: str
    weight: float
    """Cores that it can use for leading."""
    uptime_s: float
    lag_s: float
    """Average lag of its event loop."""
    is_willing: bool
    """False for a while after it was overloaded as leader."""

    @property
    def is_keeping_up(self) -> bool:
        """Whether it is willing to lead and keeps up with its current load."""
        return self.is_willing and self.lag_s <= MAX_CANDIDATE_LAG_S


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaderHealth:
    """A leader's own state, as far as a handover depends on it."""

    weight: float
    lag_s: float
    leads_for_s: float
    """Time since its claim."""
    store_refuses_s: float = 0.0
    """For how long the store has refused its appends; 0 while they go through."""
    store_failing_s: float = 0.0
    """For how long its appends have failed for any reason."""

    @property
    def is_rejected_by_store(self) -> bool:
        """Whether its appends have failed for long enough to hand over."""
        return (
            self.store_refuses_s > STORE_REFUSAL_LIMIT_S
            or self.store_failing_s > STORE_FAILURE_LIMIT_S
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Handover:
    """A decision that the leader should hand over."""

    successor: str
    cause: str
    is_overloaded: bool = False
    """Whether the leader is overloaded and should not lead again soon."""
    is_rejected_by_store: bool = False
    """Whether the store rejects the leader; the successor must then reach the store."""


def is_light(weight: float, heaviest: float) -> bool:
    """Return whether a host lets heavier ones claim first."""
    return weight < LIGHT_SHARE * heaviest


def heaviest_of(candidates: Iterable[Candidate]) -> float:
    """Return the weight of the heaviest willing candidate; 0 if there is none."""
    return max((c.weight for c in candidates if c.is_willing), default=0.0)


def successor_of(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the best candidate: those that keep up first, then by weight, then the youngest.

    A rolling restart stops the youngest hosts last.
    """
    ranked = sorted(candidates, key=lambda c: (not c.is_keeping_up, -c.weight, c.uptime_s, c.host))
    return ranked[0] if ranked else None


def handover_of(health: LeaderHealth, candidates: Iterable[Candidate]) -> Handover | None:
    """Return the successor and the cause of a handover; None if the leader should continue.

    Two hosts cannot hand over back and forth: by weight, leadership only moves to heavier hosts; an
    overloaded host is not willing for a while; and a leader that the store rejects first checks
    that the store serves the successor (see `is_rejected_by_store`).
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
        cause = f"the event loop of this host is {health.lag_s:.2f} s late on average"
        return Handover(successor=best.host, cause=cause, is_overloaded=True)
    if health.is_rejected_by_store:
        cause = f"appends of this host have failed for {health.store_failing_s:.2f} s"
        return Handover(successor=best.host, cause=cause, is_rejected_by_store=True)
    return None
