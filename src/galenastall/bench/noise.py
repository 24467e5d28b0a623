"""Measure how noisy the machine is, so that each figure comes with what it is worth."""

import time
from dataclasses import dataclass
from typing import Final

LOOP_ITERATIONS: Final = 200_000
LOOP_REPEATS: Final = 15


@dataclass(frozen=True, kw_only=True, slots=True)
class NoiseSample:
    """Times of a fixed processor-bound loop."""

    best_ms: float
    median_ms: float
    worst_ms: float

    @property
    def spread(self) -> float:
        """Median over best, minus one; 0 on a quiet machine."""
        return self.median_ms / self.best_ms - 1.0


def measure_noise() -> NoiseSample:
    """Time the loop several times; takes about a tenth of a second."""
    times_ms = sorted(_time_loop_ms() for _ in range(LOOP_REPEATS))
    return NoiseSample(
        best_ms=times_ms[0], median_ms=times_ms[len(times_ms) // 2], worst_ms=times_ms[-1]
    )


def _time_loop_ms() -> float:
    began = time.perf_counter()
    total = 0
    for number in range(LOOP_ITERATIONS):
        total += number & 7
    return (time.perf_counter() - began) * 1000.0
