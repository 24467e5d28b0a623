"""Fault settings of the stand-ins: immutable, replaced as a whole at run time.

Each call to a stand-in draws from the same faults, so that every service can be slow, unreachable,
lose a request before its effect or lose the response after it.
"""

import random
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from galenastall.protocol.clock import Clock
from galenastall.standin.service_time import ServiceTime

DEFAULT_CALL_TIMEOUT_S: Final = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFaults:
    """Faults of any call; probabilities are 0 to 1."""

    unreachable: bool = False
    """Nothing arrives, and the caller gets UNREACHABLE."""
    delay_s: float = 0.0
    """Network delay before the effect; calls that have timed out still take effect."""
    drop_before: float = 0.0
    """Probability that the request is lost; the caller sees a timeout."""
    drop_after: float = 0.0
    """Probability that the response is lost after the effect; the caller sees a timeout."""
    call_timeout_s: float = DEFAULT_CALL_TIMEOUT_S
    """After this long the in-process caller gets TIMEOUT; HTTP adapters have their own."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogFaults(CallFaults):
    """Fault settings of the log."""

    outage: bool = False
    """Every call returns UNAVAILABLE and has no effect."""
    appends_per_s: float = 500.0
    """Appends beyond this rate are refused as OVERLOADED; a batch counts as one."""
    keep_records: int | None = None
    """Records that a stream keeps; None for all."""
    keep_s: float | None = None
    """Seconds that a stream keeps a record; None for ever."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HostListFaults(CallFaults):
    """Fault settings of the host list."""

    outage: bool = False
    lag_s: float = 1.0
    """Age of the rows that the list returns, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerFaults(CallFaults):
    """Fault settings of one worker."""

    paused: bool = False
    """Calls are held and take effect on resume; tasks run and leases expire meanwhile."""
    down: bool = False
    """The host failed: unreachable, and setting it ends all its runs."""
    fail_starts: bool = False
    """Every start fails and runs nothing."""
    fail_runs_after_s: float | None = None
    """Every task started fails after this many seconds."""
    compares_epochs: bool = False
    """Refuse lower epochs, batches past their not-after time and tasks that already run."""
    usage_lag_s: float = 5.0
    """Age of the usage that listings report, in seconds."""
    usage_factor: float = 1.0
    """Real usage as a multiple of the declared size, unless the task's payload sets it."""


class BeyondSlots(StrEnum):
    """How an executor handles a request when all slots are busy."""

    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorFaults(CallFaults):
    """Fault settings of one executor."""

    paused: bool = False
    """Requests are held until it resumes."""
    leaving: bool = False
    """Responses announce that the executor is leaving."""
    fail: float = 0.0
    """Probability that a request runs and fails."""
    cut: float = 0.0
    """Probability that the response is truncated."""
    late: float = 0.0
    """Probability that the response is sent `late_s` after the run's end."""
    late_s: float = 10.0
    slow_factor: float = 1.0
    """Factor on the drawn service time."""
    refuse_past_not_after: bool = False
    """Refuse, and count, requests past their not-after time."""
    beyond_slots: BeyondSlots = BeyondSlots.QUEUE
    service: ServiceTime = field(default_factory=ServiceTime)
    answer_bytes: int = 256
    """Size of a response body."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallOutcome:
    """Faults drawn for one call."""

    due: float
    """Runtime seconds at which it takes effect."""
    lost: bool
    answer_lost: bool


def draw_call_outcome(*, faults: CallFaults, clock: Clock, rng: random.Random) -> CallOutcome:
    """Draw the faults of a call that is sent now."""
    return CallOutcome(
        due=clock.now() + faults.delay_s,
        lost=_draw_bool(rng, faults.drop_before),
        answer_lost=_draw_bool(rng, faults.drop_after),
    )


def _draw_bool(rng: random.Random, probability: float) -> bool:
    return probability > 0.0 and rng.random() < probability
