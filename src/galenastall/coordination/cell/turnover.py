"""Measures how fast executors release capacity.

Addresses this load: more work waits than executors can run. How long it waits depends on how soon
the runs under way end, and their declared times may be wrong.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from galenastall.state.resources import Resources

MEASURED_S: Final = 5.0
"""Period over which the release rate is measured."""
SAMPLE_EVERY_S: Final = 0.25
"""Minimum time between two measurements, which bounds how many are kept."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Measurement:
    """Sums since the leader's start, in thousandths of a core."""

    at: float
    released: int
    used_core_s: float
    """Cores in use times seconds."""


class Turnover:
    """Measures which share of the used capacity of a service is released each second.

    Relative to what is in use, the rate also holds for a fleet that has just filled up.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._released = 0
        self._measurements: deque[_Measurement] = deque()

    def note_release(self, need: Resources) -> None:
        """Count the capacity that the end of a run releases."""
        self._released += need.cores_milli

    def is_due(self, now: float) -> bool:
        """Whether to measure again."""
        return not self._measurements or now - self._measurements[-1].at >= SAMPLE_EVERY_S

    def measure(self, *, now: float, used: Resources) -> None:
        """Note what is in use now."""
        last = self._measurements[-1] if self._measurements else None
        used_core_s = 0.0
        if last is not None:
            used_core_s = last.used_core_s + used.cores_milli * (now - last.at)
        self._measurements.append(
            _Measurement(at=now, released=self._released, used_core_s=used_core_s)
        )
        while now - self._measurements[0].at > MEASURED_S + SAMPLE_EVERY_S:
            self._measurements.popleft()

    @property
    def per_s(self) -> float | None:
        """Share released each second; None until it was measured for long enough."""
        if not self._measurements:
            return None
        first, last = self._measurements[0], self._measurements[-1]
        used_core_s = last.used_core_s - first.used_core_s
        released = last.released - first.released
        if last.at - first.at < MEASURED_S - SAMPLE_EVERY_S or not used_core_s or not released:
            return None
        return released / used_core_s
