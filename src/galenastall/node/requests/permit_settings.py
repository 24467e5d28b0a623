"""Settings of permits and requests that operators can change while the process runs."""

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
"""Age at which settings are read again from the shared tree."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSettings:
    """All settings of the request path; durations in seconds, sizes in bytes."""

    admission: AdmissionLimits = field(default_factory=AdmissionLimits)
    permits: PermitLimits = field(default_factory=PermitLimits)
    retries: RetryLimits = field(default_factory=RetryLimits)
    ejection: EjectionLimits = field(default_factory=EjectionLimits)
    keys: KeyRules = field(default_factory=KeyRules)
    key_homes: tuple[KeyHomes, ...] = ()
    """Data centres that share the keys; if empty, each key is served where it arrives."""
    rates_by_team: dict[TeamPath, TeamRate] = field(default_factory=dict)
    """Rate limits by team."""
    teams: frozenset[TeamPath] = frozenset()
    """Teams that may send requests; if empty, every team may."""
    weights_by_team: dict[TeamPath, float] = field(default_factory=dict)
    leaving: frozenset[HostId] = frozenset()
    """Upstreams that get no new requests."""
    choice_policy: str = "two_choices"
    default_deadline_s: float = 10.0
    longest_deadline_s: float = 300.0
    dispatch_margin_s: float = 0.02
    """Added to the shortest measured run time, so that a sent request can meet its deadline."""
    ask_window: int = 64
    """Asks for permits that may be outstanding at once."""
    whole_answer_bytes: int = 64 * 1024
    """Responses up to this size are read completely before their headers are sent."""
    replay_bytes: int = 64 * 1024
    """Request bodies up to this size are kept for a retry."""
    keyed_body_bytes: int = 4 * 1024 * 1024
    """Largest body of a request with an idempotency key."""
    overrun_s: float = 2.0
    """Time for which an upstream may continue with a request that was given up."""
    leaving_report_s: float = 60.0
    """How long an upstream's own report that it is leaving stays valid."""


class CachedSettings:
    """Settings rebuilt a few times a second, since the request path reads them often."""

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
