"""Append records in groups, and report the outcome of each record to its caller.

An append whose response was lost is never repeated. The followed stream is searched for it instead:

- found: it was appended, at the offset where it was found;
- not in a read of the log's end that was sent `settle_s` after the append: it was not appended.
  This rests on two assumptions about the log, both to be checked for a real platform: an append
  takes effect within `settle_s` of being sent or never, and a read of the log's end returns all
  appends that took effect before it. A record that violates this is reported as `log.late_append`;
- neither yet: the outcome is unknown, and the caller gets TIMEOUT. A call repeated with the same
  record id waits for the same append and sends nothing.
"""

import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

import trio
from returns.result import Failure, Result, Success

from galenastall.coordination.log.append_window import AppendWindow, WindowLimits
from galenastall.node.log.stream_follower import LogHealth, LogStreamFollower
from galenastall.protocol.clock import Clock
from galenastall.protocol.codec import encode_record
from galenastall.protocol.event_sink import EventSink, NullEventSink
from galenastall.protocol.platform import LogService
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Offset, RecordId, StreamName
from galenastall.state.records import LoggedRecord

MAX_BATCH_RECORDS: Final = 1000
MAX_BATCH_CHARS: Final = 1_000_000
DEFAULT_QUEUE_RECORDS: Final = 10_000
DEFAULT_ANSWER_TIMEOUT_S: Final = 10.0
DEFAULT_SETTLE_S: Final = 30.0
RETRY_MIN_S: Final = 0.5
RETRY_MAX_S: Final = 5.0
MAX_REMEMBERED_OUTCOMES: Final = 4096
"""Own records whose outcome is kept, for callers that repeat a call with the same id."""

STEP: Final = "log.append"


@dataclass(kw_only=True, slots=True, eq=False)
class _Pending:
    """A record whose outcome is not known yet; mutable, since its stream's task updates it."""

    stream: StreamName
    record_id: RecordId
    text: str
    sent_at: float | None = None
    """Runtime seconds; None while it is queued."""
    offset: Offset | None = None
    """Offset in the log's response; None before that."""
    outcome: Result[Offset, StepError] | None = None
    decided: trio.Event = field(default_factory=trio.Event)

    def decide(self, outcome: Result[Offset, StepError]) -> None:
        if self.outcome is None:
            self.outcome = outcome
            self.decided.set()


class _ReadBack:
    """Fold that passes every record of one stream to the appender."""

    def __init__(self, *, on_record: Callable[[LoggedRecord], None]) -> None:
        self._on_record = on_record

    def apply(self, logged: LoggedRecord) -> None:
        self._on_record(logged)


class _StreamQueue:
    """Queue of the records to append to one stream."""

    def __init__(self, *, follower: LogStreamFollower) -> None:
        self.follower = follower
        self.waiting: deque[_Pending] = deque()
        self.arrived = trio.Event()

    def put(self, pending: _Pending) -> None:
        self.waiting.append(pending)
        self.arrived.set()

    async def wait_nonempty(self) -> None:
        while not self.waiting:
            self.arrived = trio.Event()
            await self.arrived.wait()

    def take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        chars = 0
        while self.waiting and len(batch) < MAX_BATCH_RECORDS:
            chars += len(self.waiting[0].text)
            if batch and chars > MAX_BATCH_CHARS:
                break
            batch.append(self.waiting.popleft())
        return batch

    def put_back(self, batch: list[_Pending]) -> None:
        self.waiting.extendleft(reversed(batch))
        self.arrived.set()


class GroupCommitAppender:
    """Group commit of one entry host; see protocol.log_access.LogAppender.

    It reads its own records back through the followers. A follower feeds a record to all folds
    without yielding, so every fold has applied a record before its writer runs again.
    """

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        writer: str,
        followers: Iterable[LogStreamFollower],
        health: LogHealth,
        live_hosts: Callable[[], int],
        limits: Callable[[], WindowLimits] = WindowLimits,
        events: EventSink | None = None,
        queue_records: int = DEFAULT_QUEUE_RECORDS,
        answer_timeout_s: float = DEFAULT_ANSWER_TIMEOUT_S,
        settle_s: float = DEFAULT_SETTLE_S,
    ) -> None:
        """`writer` must be unique per incarnation of a process; record ids start with it."""
        self._log = log
        self._clock = clock
        self._rng = rng
        self._writer = writer
        self._health = health
        self._live_hosts = live_hosts
        self._limits = limits
        self._events = events or NullEventSink()
        self._queue_records = queue_records
        self._answer_timeout_s = answer_timeout_s
        self._settle_s = settle_s
        self._window = AppendWindow()
        self._numbers = itertools.count()
        self._retry_s = RETRY_MIN_S
        self._retry_at = 0.0
        self._append_failed = False
        self._is_budget_short = False
        self._pending_by_id: dict[RecordId, _Pending] = {}
        self._unanswered_by_id: dict[RecordId, _Pending] = {}
        self._outcomes_by_id: OrderedDict[RecordId, Result[Offset, StepError]] = OrderedDict()
        self._queues_by_stream: dict[StreamName, _StreamQueue] = {}
        self.appends = 0
        """Append calls sent so far, for metrics."""
        for follower in followers:
            self._queues_by_stream[follower.stream] = _StreamQueue(follower=follower)
            follower.subscribe(_ReadBack(on_record=self._on_read_back))
            follower.on_end_reached(self._resolve_missing)
            follower.on_gap(partial(self._on_skipped, follower.stream))

    @property
    def queued(self) -> int:
        """Records that wait to be sent."""
        return sum(len(queue.waiting) for queue in self._queues_by_stream.values())

    def set_settle_time(self, settle_s: float) -> None:
        """Set how long an unanswered append may still take effect on this platform."""
        self._settle_s = settle_s

    @property
    def is_log_up(self) -> bool:
        """Whether reads succeed and no append has failed recently.

        A failed append counts only until the retry time, as an idle host would otherwise report
        the log as down until its next append.
        """
        is_pausing = self._append_failed and self._clock.now() < self._retry_at
        return self._health.is_up and not is_pausing

    @property
    def unresolved(self) -> Mapping[RecordId, StreamName]:
        """Records that were sent and whose outcome is not known yet."""
        return {record_id: found.stream for record_id, found in self._unanswered_by_id.items()}

    async def append(
        self, *, stream: StreamName, record: Any, record_id: RecordId | None = None
    ) -> Result[Offset, StepError]:
        """Return the record's offset once it was read back; see protocol.log_access.

        UNAVAILABLE and OVERLOADED: it was not appended. TIMEOUT: it may have been, or still be.
        """
        record_id = record_id or RecordId(f"{self._writer}-{next(self._numbers)}")
        known = self._outcomes_by_id.get(record_id)
        if known is not None and not _was_not_appended(known):
            return known
        pending = self._pending_by_id.get(record_id)
        if pending is None:
            refusal = self._refusal(stream)
            if refusal is not None:
                return Failure(refusal)
            text = encode_record(record, record_id=record_id)
            pending = _Pending(stream=stream, record_id=record_id, text=text)
            self._pending_by_id[record_id] = pending
            self._queues_by_stream[stream].put(pending)
        with trio.move_on_after(self._answer_timeout_s):
            await pending.decided.wait()
        return pending.outcome or self._undecided_result(pending)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Append until cancelled."""
        async with trio.open_nursery() as nursery:
            for stream, queue in self._queues_by_stream.items():
                nursery.start_soon(self._run_stream, stream, queue)
            task_status.started()

    async def drain(self, *, timeout_s: float) -> None:
        """Wait until nothing is queued or undecided, at most `timeout_s`."""
        with trio.move_on_after(timeout_s):
            for pending in list(self._pending_by_id.values()):
                await pending.decided.wait()

    async def _run_stream(self, stream: StreamName, queue: _StreamQueue) -> None:
        while True:
            await queue.wait_nonempty()
            now = self._clock.now()
            limits, live_hosts = self._limits(), self._live_hosts()
            self._check_spacing(limits, live_hosts)
            send_at = self._window.reserve(now=now, limits=limits, live_hosts=live_hosts)
            await trio.sleep(max(0.0, send_at - now))
            batch = queue.take_batch()
            if batch:
                await self._append_batch(stream, queue, batch)

    def _check_spacing(self, limits: WindowLimits, live_hosts: int) -> None:
        spacing_s = self._window.spacing_s(limits=limits, live_hosts=live_hosts)
        is_short = spacing_s > limits.max_window_s
        if is_short and not self._is_budget_short:
            cause = f"{spacing_s:.2f} s between appends with {live_hosts} entry hosts"
            self._events.record("log.budget_short", cause=cause)
        self._is_budget_short = is_short

    async def _append_batch(
        self, stream: StreamName, queue: _StreamQueue, batch: list[_Pending]
    ) -> None:
        sent_at = self._clock.now()
        for pending in batch:
            pending.sent_at = sent_at
        self.appends += 1
        match await self._log.append(stream=stream, texts=[pending.text for pending in batch]):
            case Success(first):
                self._note_appended()
                for index, pending in enumerate(batch):
                    self._on_answer(queue, pending, Offset(first + index))
            case Failure(error) if error.may_have_taken_effect:
                self._note_failed(error)
                undecided = {found.record_id: found for found in batch if found.outcome is None}
                self._unanswered_by_id.update(undecided)
                self._fail_queued(queue, error)
            case Failure(error) if error.reason is Reason.OVERLOADED:
                self._mark_unsent(batch)
                queue.put_back(batch)
                await trio.sleep(error.retry_after_s or self._rng.uniform(0.0, RETRY_MIN_S))
            case Failure(error):
                self._note_failed(error)
                self._mark_unsent(batch)
                queue.put_back(batch)
                self._fail_queued(queue, error)

    def _on_answer(self, queue: _StreamQueue, pending: _Pending, offset: Offset) -> None:
        pending.offset = offset
        if queue.follower.next_offset > offset:
            self._decide(pending, Success(offset))

    def _mark_unsent(self, batch: list[_Pending]) -> None:
        for pending in batch:
            pending.sent_at = None

    def _fail_queued(self, queue: _StreamQueue, error: StepError) -> None:
        while queue.waiting:
            self._decide(queue.waiting.popleft(), Failure(self._unavailable(error.detail)))

    def _on_read_back(self, logged: LoggedRecord) -> None:
        pending = self._pending_by_id.get(logged.record_id)
        if pending is not None and pending.stream == logged.stream:
            self._decide(pending, Success(logged.offset))
            return
        outcome = self._outcomes_by_id.get(logged.record_id)
        if outcome is not None and _was_not_appended(outcome):
            self._outcomes_by_id[logged.record_id] = Success(logged.offset)
            self._events.record(
                "log.late_append",
                peer=logged.stream,
                subjects=(logged.record_id,),
                cause=f"appended at {logged.offset} after it was reported as not appended",
            )

    def _resolve_missing(self) -> None:
        for pending in list(self._unanswered_by_id.values()):
            log_end_read_at = self._queues_by_stream[pending.stream].follower.log_end_read_at
            if pending.sent_at is None or log_end_read_at is None:
                continue
            if log_end_read_at >= pending.sent_at + self._settle_s:
                self._decide(
                    pending,
                    Failure(
                        self._unavailable("its response was lost, and the log does not contain it")
                    ),
                )

    def _on_skipped(self, stream: StreamName, start: Offset) -> None:
        """Decide records that can no longer be read back, as the log dropped them unread."""
        for pending in list(self._pending_by_id.values()):
            if pending.stream != stream or pending.sent_at is None:
                continue
            if pending.offset is not None and pending.offset < start:
                self._decide(pending, Success(pending.offset))
            elif pending.record_id in self._unanswered_by_id:
                detail = "its response was lost and the log dropped records before they were read"
                self._decide(pending, Failure(self._error(Reason.TIMEOUT, detail)))

    def _decide(self, pending: _Pending, outcome: Result[Offset, StepError]) -> None:
        self._pending_by_id.pop(pending.record_id, None)
        self._unanswered_by_id.pop(pending.record_id, None)
        pending.decide(outcome)
        if pending.sent_at is None:
            return
        self._outcomes_by_id[pending.record_id] = outcome
        while len(self._outcomes_by_id) > MAX_REMEMBERED_OUTCOMES:
            self._outcomes_by_id.popitem(last=False)

    def _refusal(self, stream: StreamName) -> StepError | None:
        queue = self._queues_by_stream.get(stream)
        if queue is None:
            raise ValueError(f"stream {stream!r} is not followed, so nothing can be read back")
        if not self._health.is_up or self._clock.now() < self._retry_at:
            return self._unavailable("the log is down")
        if len(queue.waiting) >= self._queue_records:
            detail = f"{self._queue_records} records are queued already"
            return self._error(Reason.OVERLOADED, detail, retry_after_s=RETRY_MIN_S)
        return None

    def _undecided_result(self, pending: _Pending) -> Result[Offset, StepError]:
        queue = self._queues_by_stream[pending.stream]
        if pending.sent_at is None and pending in queue.waiting:
            queue.waiting.remove(pending)
            self._decide(pending, Failure(self._unavailable("it timed out in the queue")))
            return pending.outcome or Failure(self._unavailable(""))
        detail = "no response, and not read back yet"
        if pending.offset is not None:
            detail = f"appended at {pending.offset}, but not read back yet"
        return Failure(self._error(Reason.TIMEOUT, detail))

    def _note_appended(self) -> None:
        self._append_failed = False
        self._retry_s = RETRY_MIN_S
        self._retry_at = 0.0

    def _note_failed(self, error: StepError) -> None:
        self._append_failed = True
        self._retry_at = self._clock.now() + self._retry_s * self._rng.uniform(0.5, 1.0)
        self._retry_s = min(RETRY_MAX_S, 2 * self._retry_s)
        self._events.record("log.append_failed", peer=error.peer, cause=str(error))

    def _unavailable(self, detail: str) -> StepError:
        wait_s = max(RETRY_MIN_S, self._retry_at - self._clock.now())
        return self._error(Reason.UNAVAILABLE, f"not appended: {detail}", retry_after_s=wait_s)

    def _error(
        self, reason: Reason, detail: str, *, retry_after_s: float | None = None
    ) -> StepError:
        return StepError(
            step=STEP, peer="log", reason=reason, detail=detail, retry_after_s=retry_after_s
        )


def _was_not_appended(outcome: Result[Offset, StepError]) -> bool:
    """Return whether the outcome says that the record was not appended."""
    return isinstance(outcome, Failure) and not outcome.failure().may_have_taken_effect
