"""Policies that choose which owner of upstreams to ask for a permit.

An owner has exact counts of its upstreams and chooses among them itself, so an entry host chooses
only between owners, by their last gossiped load and the asks it has sent to them since.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from galenastall.state.ids import HostId
from galenastall.state.registry import Registry


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerLoad:
    """Last received load of one owner's upstreams, plus the asks sent since."""

    slots: int
    """Slots that the owner may grant."""
    in_use: int
    waiting: int
    """Asks queued at the owner."""
    asked_since: int = 0
    """Asks sent to the owner since it reported its load."""

    @property
    def pressure(self) -> float:
        """Slots in use plus queued asks, per slot; infinite without slots."""
        if self.slots <= 0:
            return float("inf")
        return (self.in_use + self.waiting + self.asked_since) / self.slots


ChoicePolicy = Callable[[Sequence[HostId], Mapping[HostId, OwnerLoad], Random], HostId]
"""Takes candidates (at least one), their loads and a seeded random generator."""

CHOICE_POLICIES: Final[Registry[ChoicePolicy]] = Registry(kind="upstream choice policy")


@CHOICE_POLICIES.register("two_choices")
def two_choices(
    candidates: Sequence[HostId], loads_by_id: Mapping[HostId, OwnerLoad], random: Random
) -> HostId:
    """Return the less loaded of two random candidates: avoids herding on stale loads."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    if _pressure(loads_by_id, first) <= _pressure(loads_by_id, second):
        return first
    return second


@CHOICE_POLICIES.register("least_loaded")
def least_loaded(
    candidates: Sequence[HostId], loads_by_id: Mapping[HostId, OwnerLoad], random: Random
) -> HostId:
    """Return the least loaded candidate; ties are broken at random."""
    least = min(_pressure(loads_by_id, candidate) for candidate in candidates)
    best = [one for one in candidates if _pressure(loads_by_id, one) == least]
    return random.choice(best)


@CHOICE_POLICIES.register("random")
def at_random(
    candidates: Sequence[HostId], loads_by_id: Mapping[HostId, OwnerLoad], random: Random
) -> HostId:
    """Return a random candidate; a baseline for comparison."""
    return random.choice(candidates)


def _pressure(loads_by_id: Mapping[HostId, OwnerLoad], owner: HostId) -> float:
    load = loads_by_id.get(owner)
    return 0.0 if load is None else load.pressure
