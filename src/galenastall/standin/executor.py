"""Model of one executor: slots, service times and faults, without I/O.

The in-process and the HTTP interface both get an `ExecutorPlan` from here and execute it with one
sleep.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

import trio

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import UpstreamCall
from galenastall.standin.echo import Echo, digest, encode_echo
from galenastall.standin.executor_log import Execution, ExecutionLog, ExecutorCounters
from galenastall.standin.faults import BeyondSlots, ExecutorFaults
from galenastall.standin.slot_clock import SlotClock
from galenastall.state.ids import HostId

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
RETRY_AFTER_S = 1.0


class Verdict(StrEnum):
    """How an executor handles a call."""

    RUN = "run"
    """It runs and succeeds."""
    RUN_AND_FAIL = "run_and_fail"
    """It runs and reports a failure."""
    FULL = "full"
    """Refused without running: no free slot or connection."""
    TOO_LATE = "too_late"
    """Refused without running: past the not-after time."""
    LOST = "lost"
    """Never arrived: not run, and no response is sent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorPlan:
    """The planned handling of one call."""

    verdict: Verdict
    answer_at: float
    """Runtime seconds at which the response is sent."""
    body: bytes
    sent_bytes: int
    """Bytes of the body that are sent; fewer than its length if the response is truncated."""
    is_lost: bool
    """Whether the response is never sent."""
    leaving: bool

    @property
    def is_cut(self) -> bool:
        """Whether the response is truncated."""
        return self.sent_bytes < len(self.body)


class Arrival:
    """A call whose body has been received."""

    def __init__(self, *, call: UpstreamCall, body: bytes, is_answer_lost: bool) -> None:
        self.call = call
        self.body = body
        self.is_answer_lost = is_answer_lost
        self.plan: ExecutorPlan | None = None
        self.planned = trio.Event()


class MemoryExecutor:
    """State machine of one executor."""

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
        self._inbox: list[Arrival] = []
        self._slot_clock = SlotClock(slots=slots)

    def set_faults(self, faults: ExecutorFaults) -> None:
        """Replace the fault settings; unless paused, start the calls held during a pause."""
        self.faults = faults
        if faults.paused:
            return
        waiting, self._inbox = self._inbox, []
        for arrival in waiting:
            self.receive(arrival)

    def receive(self, arrival: Arrival) -> None:
        """Plan a call with its complete body, or hold it while the executor is paused.

        It arrives after the network delay, and runs even if the caller has timed out by then.
        """
        if self.faults.paused:
            self._inbox.append(arrival)
            return
        arrival.plan = self._plan(arrival)
        arrival.planned.set()

    def _plan(self, arrival: Arrival) -> ExecutorPlan:
        now = self._clock.now() + self.faults.delay_s
        self.counters.calls += 1
        if self.faults.leaving:
            self.counters.calls_while_leaving += 1
        if self._clock.wall() + self.faults.delay_s > arrival.call.not_after:
            self.counters.past_not_after += 1
            if self.faults.refuse_past_not_after:
                self.counters.refused_past_not_after += 1
                return self._refusal(Verdict.TOO_LATE, now)
        if self._is_full(now):
            self.counters.refused_full += 1
            return self._refusal(Verdict.FULL, now)
        return self._run(arrival, now)

    def plan_loss(self) -> ExecutorPlan:
        """Return the plan of a call that never arrives."""
        return self._refusal(Verdict.LOST, self._clock.now())

    def busy(self) -> int:
        """Return how many slots are in use now."""
        return self._slot_clock.busy(self._clock.now())

    def _is_full(self, now: float) -> bool:
        if self.open_calls > self.connections:
            self.counters.over_connections += 1
            return True
        is_refusing = self.faults.beyond_slots is BeyondSlots.REFUSE
        return is_refusing and self._slot_clock.starts_at(now) > now

    def _run(self, arrival: Arrival, now: float) -> ExecutorPlan:
        call, is_lost = arrival.call, arrival.is_answer_lost
        faults, counters = self.faults, self.counters
        service_s = faults.service.draw(self._rng) * faults.slow_factor
        start, end = self._slot_clock.assign(now, service_s)
        if counters.peak_busy < self.slots:
            counters.peak_busy = max(counters.peak_busy, self._slot_clock.busy(now))
        body_digest = digest(arrival.body)
        self._record(call, body_digest, start - self._clock.now())
        echo = Echo(
            request_id=call.request_id,
            attempt_id=call.attempt_id,
            executor=self.host_id,
            body_digest=body_digest,
        )
        body = encode_echo(echo, size=faults.answer_bytes)
        has_failed = self._draw_bool(faults.fail)
        is_cut = self._draw_bool(faults.cut)
        is_late = self._draw_bool(faults.late)
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
            is_lost=verdict is Verdict.LOST,
            leaving=self.faults.leaving,
        )

    def _draw_bool(self, probability: float) -> bool:
        return probability > 0.0 and self._rng.random() < probability
