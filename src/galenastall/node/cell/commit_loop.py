"""Group commit: one append at a time under the term's token, retried until its outcome is known."""

from collections.abc import Awaitable, Callable
from typing import Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.append_timing import AppendTiming
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.ports import StatePort
from galenastall.state.cell.record_layout import RecordLayout
from galenastall.state.errors import Reason, StepError

RETRY_PAUSE_S: Final = 0.05
"""Pause after a failed try before the append is retried under the same sequence number."""
CONFIRM_KEY: Final = "confirm"
"""Key that an idle leader rewrites to have the store confirm its term."""


def split_appends(values_by_key: dict[str, bytes], *, max_bytes: float) -> list[dict[str, bytes]]:
    """Split records, in order, into appends of at most `max_bytes`; a record is never split."""
    parts: list[dict[str, bytes]] = [{}]
    size = 0
    for key, value in values_by_key.items():
        row_bytes = _row_bytes(key, value)
        if parts[-1] and size + row_bytes > max_bytes:
            parts.append({})
            size = 0
        parts[-1][key] = value
        size += row_bytes
    return parts


def _row_bytes(key: str, value: bytes) -> int:
    return len(key.encode()) + len(value)


class _PendingAppend:
    """An append that is retried until its outcome is known."""

    def __init__(self, *, values_by_key: dict[str, bytes]) -> None:
        self.values_by_key = values_by_key
        self.size_bytes = sum(_row_bytes(key, value) for key, value in values_by_key.items())
        self.begun_at = trio.current_time()
        self.unanswered = 0
        """How often the wait for an answer has passed."""
        self.has_timed_out = False
        """Whether any try has."""
        self.under_way = 0
        self.is_over = False
        self.failure: StepError | None = None
        self.answered = trio.Event()
        """Set and replaced whenever a try has ended."""

    def notify(self) -> None:
        event, self.answered = self.answered, trio.Event()
        event.set()


class CommitLoop:
    """Makes the core's batches durable."""

    def __init__(
        self,
        *,
        context: TermContext,
        state: StatePort,
        timings: CellTimings,
        refresh_inputs: Callable[[], Awaitable[None]],
    ) -> None:
        """Write to `state` in the term of `context`.

        `refresh_inputs` rereads the capacities and limits that bound starts; it is called before
        the first starts of the term and after each outage.
        """
        self._context = context
        self._state = state
        self._refresh_inputs = refresh_inputs
        self._timings = timings
        self.records = RecordLayout(max_record_bytes=state.record_bytes)
        """How the values are divided into records."""
        self._append_timing = AppendTiming(link_bytes_per_s=context.link_bytes_per_s)
        self._sequence = 0
        self._requested = trio.Event()
        self._inputs_may_be_stale = True
        """Whether no start has been sent since the term began or the store last failed."""
        self.last_append_s = 0.0
        """Duration of the last answered append."""
        self._latency_s = 0.0
        """The part of it beyond the transfer."""
        self.failing_since: float | None = None
        """When appends began to fail; None while they succeed."""
        self.refused_since: float | None = None
        """When the store began to refuse appends; None while they succeed."""

    def request(self) -> None:
        """Request an append soon."""
        self._requested.set()

    async def run(self, send: Callable[[list[StartOrder]], None]) -> None:
        """Append until cancelled; pass starts that have become durable to `send`."""
        begun_at = float("-inf")
        while True:
            with trio.move_on_after(self._timings.confirm_every_s):
                await self._requested.wait()
            self._requested = trio.Event()
            await trio.sleep_until(begun_at + self._timings.commit_every_s)
            begun_at = trio.current_time()
            send(await self.commit())

    async def commit(self) -> list[StartOrder]:
        """Make all changes so far durable; return the starts that may be sent.

        A batch takes effect only once its last part is durable. If the term is lost in between, the
        written parts contain assignments whose orders were never sent; the next leader resolves
        them with the first listings.
        """
        context = self._context
        batch = context.core.take_batch()
        values = batch.values_by_key or {CONFIRM_KEY: b"%d" % self._sequence}
        # The store refuses an append above its size limit on every retry, so all work would stop.
        max_bytes = min(self._state.append_bytes, self._append_timing.large_bytes)
        records = self.records.divide(values)
        for part in split_appends(records, max_bytes=max_bytes):
            self._sequence += 1
            await self._append(part)
            context.notify_confirmed()
        if batch.starts and self._inputs_may_be_stale:
            # Capacities and limits may have shrunk meanwhile, and executors do not have to enforce
            # their own.
            await self._refresh_inputs()
            self._inputs_may_be_stale = False
        starts = context.core.commit(batch, wall=context.wall())
        context.notify_committed()
        context.wake()
        return starts

    async def _append(self, values_by_key: dict[str, bytes]) -> None:
        """Append, with concurrent retries while earlier tries are unanswered, until one succeeds.

        The store applies each sequence number once, so concurrent tries are harmless. With a single
        try at a time, a leader appeared unresponsive at the end of an outage because its last try
        still hung.
        """
        timing = self._append_timing
        pending = _PendingAppend(values_by_key=values_by_key)
        size_bytes = pending.size_bytes
        pause_s = timing.first_wait_s(size_bytes, latency_s=self._latency_s)
        async with trio.open_nursery() as nursery:
            while not pending.is_over:
                at_most = timing.max_at_once(size_bytes, has_timed_out=pending.has_timed_out)
                if pending.under_way < at_most:
                    nursery.start_soon(self._try, pending)
                with trio.move_on_after(pause_s) as wait:
                    await pending.answered.wait()
                    await trio.sleep(0.0 if pending.is_over else RETRY_PAUSE_S)
                pending.unanswered += wait.cancelled_caught
                self._update_outage(pending)
                pause_s = timing.next_wait_s(size_bytes, unanswered=pending.unanswered)
            nursery.cancel_scope.cancel()

    async def _try(self, pending: "_PendingAppend") -> None:
        context, timing = self._context, self._append_timing
        sent_at = trio.current_time()
        pending.under_way += 1
        answer = await self._state.append(
            token=context.token,
            sequence=self._sequence,
            values_by_key=pending.values_by_key,
            timeout_s=timing.answer_within_s(pending.size_bytes, unanswered=pending.unanswered),
        )
        pending.under_way -= 1
        if not isinstance(answer, Failure):
            context.confirmed_at = max(context.confirmed_at, sent_at)
            self.last_append_s = trio.current_time() - sent_at
            self._latency_s = max(self.last_append_s - timing.transfer_s(pending.size_bytes), 0.0)
            self.refused_since = None
            pending.is_over = True
        else:
            pending.failure = answer.failure()
            pending.has_timed_out |= pending.failure.reason is Reason.TIMEOUT
            if self.refused_since is None and not pending.failure.may_have_taken_effect:
                self.refused_since = sent_at
            if pending.failure.reason is Reason.CONFLICT:
                context.lose(str(pending.failure))
            if pending.failure.reason is Reason.INVALID:
                context.lose(_refusal_cause(pending))
        pending.notify()

    def _update_outage(self, pending: "_PendingAppend") -> None:
        """Record that appends fail, or succeed again."""
        if pending.is_over:
            self._note_regained()
        elif self.failing_since is None:
            self.failing_since = pending.begun_at
            cause = str(pending.failure) if pending.failure else "no answer yet"
            self._context.note("store.lost", cause=cause)

    def _note_regained(self) -> None:
        if self.failing_since is not None:
            self.failing_since = None
            self._inputs_may_be_stale = True
            self._context.note("store.regained")


def _refusal_cause(pending: _PendingAppend) -> str:
    """Return why an append can't succeed, and what it would have written."""
    keys = list(pending.values_by_key)
    written = f"{len(keys)} records, {pending.size_bytes} bytes, {keys[0]!r} to {keys[-1]!r}"
    return f"{pending.failure}; refused for good: {written}"
