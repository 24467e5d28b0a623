"""Stand-in of one executor: slots, service times and faults; no I/O, only decisions.

Both faces, in process and HTTP, take an `ExecutorPlan` from here and carry it out with one sleep.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import UpstreamCall
from galenastall.standin.echo import Echo, digest, encode_echo
from galenastall.standin.executor_log import Execution, ExecutionLog, ExecutorCounters
from galenastall.standin.faults import BeyondSlots, ExecutorFaults, draw_fate
from galenastall.standin.slot_clock import SlotClock
from galenastall.state.ids import HostId

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
RETRY_AFTER_S = 1.0


class Verdict(StrEnum):
    """What an executor does with a call."""

    RUN = "run"
    """It runs and answers."""
    RUN_AND_FAIL = "run_and_fail"
    """It runs and answers that it failed."""
    FULL = "full"
    """Refused, not run: no slot or no connection."""
    TOO_LATE = "too_late"
    """Refused, not run: past the not-after time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorPlan:
    """What will become of one call."""

    verdict: Verdict
    answer_at: float
    """Runtime seconds at which the answer leaves."""
    body: bytes
    sent_bytes: int
    """Bytes of the body that leave; fewer than it has if the answer is cut."""
    is_lost: bool
    """Whether the answer never leaves."""
    leaving: bool

    @property
    def is_cut(self) -> bool:
        """Whether the answer breaks off."""
        return self.sent_bytes < len(self.body)


class MemoryExecutor:
    """State of one executor."""

    def __init__(
        self,
        *,
        host_id: HostId,
        clock: Clock,
        rng: random.Random,
        log: ExecutionLog,
        slots: int = DEFAULT_SLOTS,
        connections: int = DEFAULT_CONNECTIONS,
        faults: ExecutorFaults | None = None,
    ) -> None:
        self.host_id = host_id
        self.slots = slots
        self.connections = connections
        self.faults = faults or ExecutorFaults()
        self.counters = ExecutorCounters()
        self.open_calls = 0
        self._clock = clock
        self._rng = rng
        self._log = log
        self._slot_clock = SlotClock(slots=slots)

    def plan(self, call: UpstreamCall, request_body: bytes) -> ExecutorPlan:
        """Decide on a call whose body has come in whole; it runs even if the caller gives up."""
        now = self._clock.now()
        self.counters.calls += 1
        if self.faults.leaving:
            self.counters.calls_while_leaving += 1
        if self._clock.wall() > call.not_after:
            self.counters.past_not_after += 1
            if self.faults.refuse_past_not_after:
                self.counters.refused_past_not_after += 1
                return self._refusal(Verdict.TOO_LATE, now)
        if self._is_full(now):
            self.counters.refused_full += 1
            return self._refusal(Verdict.FULL, now)
        return self._run(call, request_body, now)

    def busy(self) -> int:
        """Return how many slots are taken now."""
        return self._slot_clock.busy(self._clock.now())

    def _is_full(self, now: float) -> bool:
        if self.open_calls > self.connections:
            self.counters.over_connections += 1
            return True
        is_refusing = self.faults.beyond_slots is BeyondSlots.REFUSE
        return is_refusing and self._slot_clock.starts_at(now) > now

    def _run(self, call: UpstreamCall, request_body: bytes, now: float) -> ExecutorPlan:
        faults, counters = self.faults, self.counters
        service_s = faults.service.draw(self._rng) * faults.slow_factor
        start, end = self._slot_clock.assign(now, service_s)
        counters.peak_busy = max(counters.peak_busy, self._slot_clock.busy(now))
        body_digest = digest(request_body)
        self._record(call, body_digest, start - now)
        echo = Echo(
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            executor=self.host_id,
            body_digest=body_digest,
        )
        body = encode_echo(echo, size=faults.answer_bytes)
        has_failed = self._happens(faults.fail)
        is_cut = self._happens(faults.cut)
        is_late = self._happens(faults.late)
        is_lost = draw_fate(faults=faults, clock=self._clock, rng=self._rng).answer_lost
        counters.failed += has_failed
        counters.answers_cut += is_cut
        counters.answers_late += is_late
        counters.answers_dropped += is_lost
        return ExecutorPlan(
            verdict=Verdict.RUN_AND_FAIL if has_failed else Verdict.RUN,
            answer_at=end + (faults.late_s if is_late else 0.0),
            body=body,
            sent_bytes=self._rng.randrange(len(body)) if is_cut else len(body),
            is_lost=is_lost,
            leaving=faults.leaving,
        )

    def _record(self, call: UpstreamCall, body_digest: str, wait_s: float) -> None:
        self.counters.runs += 1
        self._log.add(
            Execution(
                request_id=call.request_id,
                attempt_id=call.attempt_id,
                epoch=call.epoch,
                host=self.host_id,
                body_digest=body_digest,
                started_at=self._clock.wall() + wait_s,
            )
        )

    def _refusal(self, verdict: Verdict, now: float) -> ExecutorPlan:
        return ExecutorPlan(
            verdict=verdict,
            answer_at=now,
            body=b"",
            sent_bytes=0,
            is_lost=False,
            leaving=self.faults.leaving,
        )

    def _happens(self, probability: float) -> bool:
        return probability > 0.0 and self._rng.random() < probability
