"""Service times of the stand-in executors, drawn from a named distribution."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from galenastall.state.registry import Registry


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceTime:
    """A distribution of service times."""

    distribution: str = "fixed"
    """Name in DISTRIBUTIONS."""
    mean_s: float = 0.02
    sigma: float = 1.0
    """Spread of the lognormal distribution; unused by the others."""

    def draw(self, rng: random.Random) -> float:
        """Return one service time in seconds."""
        return DISTRIBUTIONS.get(self.distribution)(self, rng)


DISTRIBUTIONS: Final[Registry[Callable[[ServiceTime, random.Random], float]]] = Registry(
    kind="service time distribution"
)


@DISTRIBUTIONS.register("fixed")
def _fixed(service: ServiceTime, rng: random.Random) -> float:
    return service.mean_s


@DISTRIBUTIONS.register("exponential")
def _exponential(service: ServiceTime, rng: random.Random) -> float:
    return rng.expovariate(1.0 / service.mean_s) if service.mean_s > 0 else 0.0


@DISTRIBUTIONS.register("lognormal")
def _lognormal(service: ServiceTime, rng: random.Random) -> float:
    if service.mean_s <= 0:
        return 0.0
    mu = math.log(service.mean_s) - service.sigma**2 / 2
    return rng.lognormvariate(mu, service.sigma)
