"""Settings of permits and requests that operators change while the process runs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from galenastall.coordination.requests.admission import AdmissionLimits
from galenastall.coordination.requests.ejection import EjectionLimits
from galenastall.coordination.requests.keys import KeyHomes, KeyRules
from galenastall.coordination.requests.permit_types import PermitLimits
from galenastall.coordination.requests.retries import RetryLimits
from galenastall.coordination.requests.team_rates import TeamRate
from galenastall.protocol.clock import Clock
from galenastall.state.ids import HostId, TeamPath

REFRESH_S: Final = 0.25
"""Age at which settings are read from the shared tree again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSettings:
    """All settings of the request path; durations in seconds, sizes in bytes."""

    admission: AdmissionLimits = field(default_factory=AdmissionLimits)
    permits: PermitLimits = field(default_factory=PermitLimits)
    retries: RetryLimits = field(default_factory=RetryLimits)
    ejection: EjectionLimits = field(default_factory=EjectionLimits)
    keys: KeyRules = field(default_factory=KeyRules)
    key_homes: tuple[KeyHomes, ...] = ()
    """Data centres that share the keys; empty: each key is at home where it arrives."""
    rates_by_team: dict[TeamPath, TeamRate] = field(default_factory=dict)
    """Teams whose requests are limited in rate."""
    teams: frozenset[TeamPath] = frozenset()
    """Teams that may ask; empty: every team may."""
    weights_by_team: dict[TeamPath, float] = field(default_factory=dict)
    leaving: frozenset[HostId] = frozenset()
    """Upstreams that get nothing new."""
    choice_policy: str = "two_choices"
    default_deadline_s: float = 10.0
    longest_deadline_s: float = 300.0
    dispatch_margin_s: float = 0.02
    """Time kept beyond the shortest run time measured, so that what leaves can be in time."""
    ask_window: int = 64
    """Asks for permits that may be out at once."""
    whole_answer_bytes: int = 64 * 1024
    """Answers up to this size are read whole before their head goes out."""
    replay_bytes: int = 64 * 1024
    """Request bodies up to this size are kept for a retry."""
    keyed_body_bytes: int = 4 * 1024 * 1024
    """Largest body of a request with an idempotency key."""
    overrun_s: float = 2.0
    """Time for which an upstream may go on with a request that nobody waits for any more."""
    leaving_report_s: float = 60.0
    """For how long an upstream's own word that it is leaving stands."""


class CachedSettings:
    """Settings read anew a few times a second, since the request path asks for them often."""

    def __init__(self, *, make: Callable[[], RequestSettings], clock: Clock) -> None:
        """`make` builds them from the shared tree."""
        self._make = make
        self._clock = clock
        self._read_at = clock.now()
        self._settings = make()

    def __call__(self) -> RequestSettings:
        """Return the settings in force, at most REFRESH_S old."""
        now = self._clock.now()
        if now >= self._read_at + REFRESH_S:
            self._read_at = now
            self._settings = self._make()
        return self._settings
