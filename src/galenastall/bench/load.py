"""Send open-loop load to entry hosts, or straight to executors for comparison.

Arrivals keep to their drawn times whatever the answers do, and latency counts from the intended
time, so that a stall shows in full (no coordinated omission).
"""

import random
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

import trio
from hdrh.histogram import HdrHistogram
from returns.result import Failure, Success

from galenastall.bench.mixes import MIXES, RequestArrival, draw_requests
from galenastall.proof.history import HistoryRecorder, RequestAnswered, RequestCut, RequestSent
from galenastall.protocol.clock import Clock
from galenastall.protocol.upstream_headers import ATTEMPT_ID, EPOCH, NOT_AFTER, REQUEST_ID
from galenastall.standin.echo import decode_echo, digest
from galenastall.state.errors import Reason
from galenastall.state.ids import HostId, RequestId
from galenastall.state.outcomes import Outcome
from galenastall.transport.http_client import BufferedResponse, HttpClient

HIGHEST_LATENCY_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 3
READY_POLL_S: Final = 0.25
SEND_TRIES: Final = 3
"""Hosts tried for one request while nothing of it has left the client."""
ANSWER_MARGIN_S: Final = 5.0
"""A client waits this long beyond its deadline, so that late final answers are seen."""
MAX_IN_FLIGHT: Final = 4000
HTTP_OK: Final = 200

READY_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """An entry host (or executor) that takes load."""

    host_id: HostId
    address: str
    """`IP:port`."""
    path_prefix: str = "/v1/requests/"
    is_executor: bool = False
    """Call it as an entry host calls executors, to measure without the system between."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadPlan:
    """What one client process sends; its arrivals follow from the seed alone."""

    name: str
    targets: tuple[Target, ...]
    mix: str
    rate: float
    """Arrivals a second of this client."""
    duration_s: float
    seed: int
    start_wall: float
    operations: tuple[str, ...] = ()
    """Only these operations of the mix; all if empty."""
    body_bytes: int | None = None
    """Body size instead of the mix's."""
    deadline_ms: int | None = None
    """Deadline instead of the mix's."""
    checks_ready: bool = True
    """Leave out targets whose /readyz does not answer 200, as the platform's balancer does."""


@dataclass(kw_only=True, slots=True)
class LoadSummary:
    """Counts and latencies of one client, or of several merged."""

    sent: int = 0
    in_time_by_class: dict[str, int] = field(default_factory=dict)
    """Requests done within their deadline of the intended time, by class."""
    counts_by_outcome: dict[str, int] = field(default_factory=dict)
    counts_by_status: dict[str, int] = field(default_factory=dict)
    counts_by_trouble: dict[str, int] = field(default_factory=dict)
    """Cut, timed out, unreachable, without an outcome, wrong bodies, beyond the client's limit."""
    histograms_by_label: dict[str, str] = field(default_factory=dict)
    """Encoded HDR histograms of microseconds by `operation|class|outcome|reason`."""
    worst_lag_ms: float = 0.0
    """How far this client's own sends fell behind their times: its figures are worth less then."""

    def merge(self, other: "LoadSummary") -> None:
        """Add another client's counts and latencies."""
        self.sent += other.sent
        self.worst_lag_ms = max(self.worst_lag_ms, other.worst_lag_ms)
        for mine, theirs in (
            (self.in_time_by_class, other.in_time_by_class),
            (self.counts_by_outcome, other.counts_by_outcome),
            (self.counts_by_status, other.counts_by_status),
            (self.counts_by_trouble, other.counts_by_trouble),
        ):
            for key, count in theirs.items():
                mine[key] = mine.get(key, 0) + count
        for label, encoded in other.histograms_by_label.items():
            merged = new_histogram()
            merged.decode_and_add(encoded)
            if label in self.histograms_by_label:
                merged.decode_and_add(self.histograms_by_label[label])
            self.histograms_by_label[label] = _text(merged.encode())

    def histogram(self, *, contains: str = "", without: str | None = None) -> HdrHistogram:
        """Return the latencies of all labels that contain one text and not the other."""
        merged = new_histogram()
        for label, encoded in self.histograms_by_label.items():
            if contains in label and (without is None or without not in label):
                merged.decode_and_add(encoded)
        return merged


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)


def _text(encoded: bytes | str) -> str:
    return encoded.decode() if isinstance(encoded, bytes) else encoded


class LoadClient:
    """One client: draws arrivals, sends them, judges the answers."""

    def __init__(self, *, plan: LoadPlan, clock: Clock, recorder: HistoryRecorder) -> None:
        """Take a plan; observations go to `recorder`."""
        self._plan = plan
        self._clock = clock
        self._recorder = recorder
        self._rng = random.Random(plan.seed)
        self._filler = self._rng.randbytes(1 << 16)
        self._ready = set(plan.targets)
        self._turn = 0
        self._in_flight = 0
        self._sent = 0
        self._in_time: Counter[str] = Counter()
        self._outcomes: Counter[str] = Counter()
        self._statuses: Counter[str] = Counter()
        self._troubles: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._worst_lag_s = 0.0

    async def run(self) -> LoadSummary:
        """Send everything and wait for all answers."""
        client = HttpClient(clock=self._clock, max_connections=MAX_IN_FLIGHT)
        async with trio.open_nursery() as watchers:
            if self._plan.checks_ready:
                watchers.start_soon(self._watch_ready, client)
            async with trio.open_nursery() as senders:
                await self._send_all(client, senders)
            watchers.cancel_scope.cancel()
        await client.aclose()
        return self._summary()

    async def _send_all(self, client: HttpClient, nursery: trio.Nursery) -> None:
        for index, arrival in enumerate(self._arrivals()):
            due = self._plan.start_wall + arrival.after_s
            lag_s = self._clock.wall() - due
            if lag_s < 0:
                await trio.sleep(-lag_s)
            self._worst_lag_s = max(self._worst_lag_s, lag_s)
            if self._in_flight >= MAX_IN_FLIGHT:
                self._troubles["beyond the client's limit"] += 1
                continue
            request_id = RequestId(f"{self._plan.name}-{index}")
            nursery.start_soon(self._send, client, arrival, request_id, due)

    def _arrivals(self) -> Iterator[RequestArrival]:
        plan = self._plan
        mix = MIXES.get(plan.mix)
        arrivals = draw_requests(mix, rng=self._rng, rate=plan.rate, duration_s=plan.duration_s)
        return (
            each
            for each in arrivals
            if not plan.operations or each.kind.operation in plan.operations
        )

    async def _send(
        self,
        client: HttpClient,
        arrival: RequestArrival,
        request_id: RequestId,
        due: float,
    ) -> None:
        self._in_flight += 1
        self._sent += 1
        try:
            for _ in range(SEND_TRIES):
                if await self._try_send(client, arrival, request_id, due):
                    return
            self._cut(request_id, "unreachable")
        finally:
            self._in_flight -= 1

    async def _try_send(
        self,
        client: HttpClient,
        arrival: RequestArrival,
        request_id: RequestId,
        due: float,
    ) -> bool:
        """Return False only if nothing left this client."""
        target = self._next_target()
        body = self._body(arrival, request_id)
        body_digest = digest(body)
        deadline_ms = self._plan.deadline_ms or arrival.kind.deadline_ms
        self._record_sent(arrival, request_id, target, body_digest)
        answered = await client.request(
            method="POST",
            address=target.address,
            path=f"{target.path_prefix}{arrival.kind.operation}",
            headers=self._headers(arrival, request_id, deadline_ms, target),
            body=body,
            timeout_s=deadline_ms / 1000.0 + ANSWER_MARGIN_S,
            step="bench.request",
        )
        match answered:
            case Success(answer):
                self._answered(arrival, request_id, answer, body_digest, due)
            case Failure(error) if error.reason is Reason.UNREACHABLE:
                self._ready.discard(target)
                return False
            case Failure(error):
                self._cut(request_id, error.reason.value)
        return True

    def _record_sent(
        self, arrival: RequestArrival, request_id: RequestId, target: Target, body_digest: str
    ) -> None:
        self._recorder.record(
            RequestSent(
                at=self._clock.wall(),
                request_id=request_id,
                entry_host=target.host_id,
                operation=arrival.kind.operation,
                idempotent=arrival.kind.idempotent,
                key="" if arrival.kind.idempotent else self._key(request_id),
                expected_digest=f"{request_id} {body_digest}",
                team=arrival.team,
            )
        )

    def _answered(
        self,
        arrival: RequestArrival,
        request_id: RequestId,
        answer: BufferedResponse,
        body_digest: str,
        due: float,
    ) -> None:
        now = self._clock.wall()
        self._statuses[str(answer.status)] += 1
        headers = answer.headers
        said = headers.get("galenastall-outcome", "")
        if said not in set(Outcome):
            self._cut(request_id, f"status {answer.status} without an outcome")
            return
        outcome = Outcome(said)
        found = _read_digest(answer.body)
        self._recorder.record(
            RequestAnswered(
                at=now,
                request_id=request_id,
                outcome=outcome,
                answered_id=_answered_id(headers),
                digest=found,
            )
        )
        if outcome is Outcome.DONE and found != f"{request_id} {body_digest}":
            self._troubles["wrong body"] += 1
        deadline_s = (self._plan.deadline_ms or arrival.kind.deadline_ms) / 1000.0
        if outcome is Outcome.DONE and now - due <= deadline_s:
            self._in_time[arrival.kind.urgency] += 1
        self._outcomes[said] += 1
        reason = headers.get("galenastall-reason", "")
        label = f"{arrival.kind.operation}|{arrival.kind.urgency}|{said}|{reason}"
        histogram = self._histograms.setdefault(label, new_histogram())
        histogram.record_value(min(HIGHEST_LATENCY_US, max(1, round((now - due) * 1e6))))

    def _cut(self, request_id: RequestId, reason: str) -> None:
        self._troubles[reason] += 1
        event = RequestCut(at=self._clock.wall(), request_id=request_id, reason=reason)
        self._recorder.record(event)

    def _headers(
        self, arrival: RequestArrival, request_id: RequestId, deadline_ms: int, target: Target
    ) -> dict[str, str]:
        if target.is_executor:
            return {
                REQUEST_ID: request_id,
                ATTEMPT_ID: f"{request_id}#1",
                EPOCH: "0",
                NOT_AFTER: str(self._clock.wall() + deadline_ms / 1000.0),
            }
        headers = {
            "Content-Type": "application/octet-stream",
            "Galenastall-Team": arrival.team,
            "Galenastall-Class": arrival.kind.urgency,
            "Galenastall-Deadline-Ms": str(deadline_ms),
            "Galenastall-Idempotent": "true" if arrival.kind.idempotent else "false",
            "Galenastall-Request-Id": request_id,
        }
        if not arrival.kind.idempotent:
            headers["Galenastall-Idempotency-Key"] = self._key(request_id)
        return headers

    def _key(self, request_id: RequestId) -> str:
        """Return the request's idempotency key, which begins with the time that it was made at."""
        return f"{int(self._plan.start_wall)}-{request_id}"

    def _body(self, arrival: RequestArrival, request_id: RequestId) -> bytes:
        size = self._plan.body_bytes or arrival.kind.body_bytes
        head = f"{request_id}\n".encode()
        return head + self._filler[: max(0, size - len(head))]

    def _next_target(self) -> Target:
        """Take ready targets in turn; all of them if none is ready."""
        targets = [each for each in self._plan.targets if each in self._ready]
        targets = targets or list(self._plan.targets)
        self._turn += 1
        return targets[self._turn % len(targets)]

    async def _watch_ready(self, client: HttpClient) -> None:
        async with trio.open_nursery() as nursery:
            for target in self._plan.targets:
                nursery.start_soon(self._watch_one, client, target)

    async def _watch_one(self, client: HttpClient, target: Target) -> None:
        while True:
            if await _is_ready(client, target):
                self._ready.add(target)
            else:
                self._ready.discard(target)
            await trio.sleep(READY_POLL_S)

    def _summary(self) -> LoadSummary:
        return LoadSummary(
            sent=self._sent,
            in_time_by_class=dict(self._in_time),
            counts_by_outcome=dict(self._outcomes),
            counts_by_status=dict(self._statuses),
            counts_by_trouble=dict(self._troubles),
            histograms_by_label={
                label: _text(histogram.encode()) for label, histogram in self._histograms.items()
            },
            worst_lag_ms=self._worst_lag_s * 1000.0,
        )


def _answered_id(headers: Mapping[str, str]) -> RequestId:
    """Return the request that an answer names; executors name the attempt."""
    named = headers.get(REQUEST_ID, "")
    attempt = headers.get(ATTEMPT_ID, "")
    return RequestId(named or attempt.partition("#")[0])


def _read_digest(body: bytes) -> str:
    echo = decode_echo(body)
    return "not whole" if echo is None else f"{echo.request_id} {echo.body_digest}"


async def _is_ready(client: HttpClient, target: Target) -> bool:
    answered = await client.request(
        method="GET", address=target.address, path="/readyz", timeout_s=READY_TIMEOUT_S
    )
    return isinstance(answered, Success) and answered.unwrap().status == HTTP_OK
