"""The leader's session with one executor: long polls that renew its lease, and orders."""

from typing import Final

import trio
from returns.result import Failure, Result

from galenastall.coordination.cell.acknowledgements import Acknowledgements
from galenastall.coordination.cell.call_flow import LISTING_BYTES, call_timeout_s, start_bytes
from galenastall.coordination.cell.commands import StartOrder, StopOrder, ThrottleOrder
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.late_orders import can_come_late
from galenastall.coordination.cell.orders import StartOutcome
from galenastall.node.cell.term_context import LATE_ANSWER_S, TermContext
from galenastall.protocol.cell.executor_port import ListingAnswer, OrderAnswer, StartVerdict
from galenastall.state.errors import StepError

BUSY_WAIT_S: Final = 1.0
"""Long poll of an executor that runs something: renews each lease ten times before it expires."""
LONG_BUSY_WAIT_S: Final = 1.6
"""The same while very many are polled; still short enough that an executor keeps getting work."""
LONG_POLL_THRESHOLD: Final = 500
"""The longer poll is used above this many concurrent polls: 500 calls a second take about 0.4 s of
the leader's thread."""
IDLE_WAIT_S: Final = 1.2
"""Long poll of an idle executor; still short enough that it keeps getting work."""
RETRY_S: Final = 0.2
"""Pause after a failed call."""
DURABLE_WAIT_S: Final = 0.5
"""How long the next poll waits for ends to become durable; in an outage leases must still be
renewed."""
WITHHELD_PAUSE_S: Final = 0.25
"""Pause between two polls while ends are not acknowledged: they end each long poll at once."""
BATCH_PAUSE_S: Final = 0.02
"""Pause between two polls, so that ends that arrive together cost one call."""

_OUTCOME_BY_VERDICT: Final = {
    StartVerdict.STARTED: StartOutcome.STARTED,
    StartVerdict.OLD_RUN: StartOutcome.ENDED,
    StartVerdict.NO_ROOM: StartOutcome.UNHEALTHY,
    StartVerdict.TOO_LATE: StartOutcome.NOT_STARTED,
    StartVerdict.NO_TICKET: StartOutcome.NO_TICKET,
    StartVerdict.UNHEALTHY: StartOutcome.UNHEALTHY,
    StartVerdict.OTHER_EXECUTOR: StartOutcome.NOT_STARTED,
    StartVerdict.FENCED: StartOutcome.NOT_STARTED,
    StartVerdict.MALFORMED: StartOutcome.UNHEALTHY,
}


class ExecutorSession:
    """Polls one incarnation of an executor until the incarnation or the term ends."""

    def __init__(self, *, context: TermContext, executor: Executor) -> None:
        """Manage `executor` in the term of `context`."""
        self._context = context
        self._executor = executor
        self._is_polling_now = False
        self._woken = trio.Event()
        """Set and replaced to end a wait for a poll slot."""
        self._is_waiting_for_slot = False
        self._acks = Acknowledgements(executor=executor, late_orders=context.core.late_orders)

    async def run(self) -> None:
        """Poll for as long as the executor is in the leader's table."""
        context = self._context
        while self._is_in_table():
            if not self._executor.info.address or self._executor.has_restarted:
                await trio.sleep(RETRY_S)
                continue
            has_waited = await self._wait_for_poll_slot()
            context.polls_under_way += 1
            is_answered = await self._poll_in_turn(0.0 if has_waited else self._wait_s())
            context.polls_under_way -= 1
            if not is_answered:
                await trio.sleep(RETRY_S)
                continue
            await self._wait_until_durable()
            are_withheld = self._acks.are_withheld(trio.current_time())
            await trio.sleep(WITHHELD_PAUSE_S if are_withheld else BATCH_PAUSE_S)

    def _is_in_table(self) -> bool:
        executors_by_id = self._context.core.executors_by_id
        return executors_by_id.get(self._executor.executor_id) is self._executor

    async def _wait_for_poll_slot(self) -> bool:
        """Wait until a poll may be sent; return whether it had to wait."""
        if self._executor.needs_polling(trio.current_time()):
            return False
        slot_at = self._context.idle_polls.next_slot(trio.current_time())
        if slot_at <= trio.current_time():
            return False
        self._is_waiting_for_slot = True
        with trio.move_on_at(slot_at):
            await self._woken.wait()
        self._is_waiting_for_slot = False
        return True

    def wake(self) -> None:
        """Poll now if the session waits for a poll slot, because the executor was assigned work."""
        if self._is_waiting_for_slot:
            event, self._woken = self._woken, trio.Event()
            event.set()

    def _wait_s(self) -> float:
        executor = self._executor
        if executor.lost_at is not None or not executor.clock.is_known:
            # A restarted executor must see its new token before orders that arrive late.
            return 0.0
        if executor.clock.is_held:
            # The lease, which may be short, is extended by the poll after the append.
            return 0.0
        if not self._executor.runs_by_task:
            return IDLE_WAIT_S
        return (
            LONG_BUSY_WAIT_S if self._context.polls_under_way > LONG_POLL_THRESHOLD else BUSY_WAIT_S
        )

    async def _wait_until_durable(self) -> None:
        with trio.move_on_after(DURABLE_WAIT_S):
            while self._is_append_awaited():
                await self._context.committed.wait()

    def _is_append_awaited(self) -> bool:
        """Whether ends can't be acknowledged, or its lease not be extended, before an append."""
        executor = self._executor
        return executor.clock.is_held or executor.durable_position < executor.applied_position

    async def poll_now(self) -> None:
        """Fetch a listing now, concurrently with the long poll."""
        if self._is_waiting_for_slot:
            self.wake()
            return
        if self._is_polling_now:
            return
        self._is_polling_now = True
        try:
            await self._poll(0.0)
        finally:
            self._is_polling_now = False

    async def _poll_in_turn(self, wait_s: float) -> bool:
        """Poll; a listing that is answered at once waits until the link has room for it."""
        if wait_s > 0:
            return await self._poll(wait_s)
        async with self._context.listing_budget.hold(LISTING_BYTES):
            return await self._poll(wait_s)

    async def _poll(self, wait_s: float) -> bool:
        context, executor = self._context, self._executor
        executor.needs_listing = False
        asked_seq = context.core.next_seq()
        token = context.token_of(executor.executor_id)
        noted = self._acks.position(trio.current_time())
        self._acks.on_sent(noted, token)
        answer = await context.executors.renew(
            address=executor.info.address,
            executor_id=executor.executor_id,
            deadline_ms=self._deadline_ms(),
            noted=noted,
            wait_s=wait_s,
            token=token,
            timeout_s=wait_s + LATE_ANSWER_S,
        )
        context.call_counts.add("poll", is_answered=not isinstance(answer, Failure))
        if isinstance(answer, Failure):
            self._on_failure(answer.failure())
            return False
        self._acks.on_answered(noted, token)
        return self._take(answer.unwrap(), asked_seq, token)

    def _deadline_ms(self) -> int | None:
        """Return the lease deadline to send with a poll; None to an executor that does not answer.

        Each deadline sent, even in a call that gets lost, delays the time at which the runs there
        count as expired, and grants a lease to an executor that has restarted meanwhile. So a call
        that follows an unanswered one sends no deadline.
        """
        if not self._may_send_deadline():
            return None
        confirmed_at, now = self._context.confirmed_at, trio.current_time()
        return self._executor.clock.deadline_ms(confirmed_at=confirmed_at, now=now)

    def _start_deadline_ms(self) -> int | None:
        """Return the lease deadline to send with a start."""
        if not self._may_send_deadline():
            return None
        confirmed_at, now = self._context.confirmed_at, trio.current_time()
        return self._executor.clock.start_deadline_ms(confirmed_at=confirmed_at, now=now)

    def _may_send_deadline(self) -> bool:
        executor = self._executor
        is_silent = executor.lost_at is not None or executor.has_unacked_start
        return not is_silent and not executor.has_restarted

    def _take(self, answer: ListingAnswer, asked_seq: int, token: int) -> bool:
        context = self._context
        executor_id = self._executor.executor_id
        if answer.verdict is StartVerdict.FENCED:
            self._on_fenced(token)
            return False
        if answer.verdict is StartVerdict.OTHER_EXECUTOR:
            context.core.on_address_reused(executor_id, wall=context.wall())
            context.wake()
            return False
        if answer.executor_id != executor_id:
            context.raise_token(answer.executor_id)
            context.core.on_restart(executor_id, answer.executor_id, now=trio.current_time())
            context.wake()
            return False
        if answer.listing is None:
            return False
        if self._executor.lost_at is not None:
            self._executor.lost_at = None
            context.note("executor.regained", self._executor.executor_id)
        context.core.on_listing(
            self._executor.executor_id,
            answer.listing,
            asked_seq=asked_seq,
            now=trio.current_time(),
            wall=context.wall(),
        )
        self._acks.on_listing(asked_seq)
        context.wake()
        return True

    def _on_failure(self, error: StepError) -> None:
        if self._executor.lost_at is None:
            self._executor.lost_at = trio.current_time()
            # A restarted executor that sees this token first refuses all calls sent before.
            self._context.raise_token(self._executor.executor_id)
            self._context.note("executor.lost", self._executor.executor_id, cause=str(error))

    async def start(self, order: StartOrder) -> None:
        """Send a start, and retry it with the same run number while its outcome is unknown."""
        context = self._context
        self.wake()
        is_wanted = True
        while is_wanted and context.core.is_needed(order):
            async with context.start_budget.hold(start_bytes(order)):
                if not context.core.is_needed(order):
                    return
                outcome = await self._send_start(order)
            is_wanted = context.core.on_start(
                order, outcome, now=trio.current_time(), wall=context.wall()
            )
            context.wake()
            if is_wanted:
                await self._wait_for_listing(order)

    async def _wait_for_listing(self, order: StartOrder) -> None:
        """Wait for a listing that shows whether an unanswered order was carried out.

        An order that is retried needlessly may be carried out late, by a later incarnation.
        """
        await trio.sleep(RETRY_S)
        while self._context.core.is_needed(order) and self._may_be_carried_out(  # noqa: ASYNC110
            order
        ):
            await trio.sleep(RETRY_S)

    def _may_be_carried_out(self, order: StartOrder) -> bool:
        """Whether an unanswered order may be in effect unseen, or may still take effect."""
        late_orders, now = self._context.core.late_orders, trio.current_time()
        return self._executor.has_unacked_start or bool(late_orders.sent_to(order.task, now=now))

    async def _send_start(self, order: StartOrder) -> StartOutcome:
        context, executor = self._context, self._executor
        deadline_ms = self._start_deadline_ms()
        if deadline_ms is None:
            return StartOutcome.NOT_STARTED
        token = self._start_token(order)
        late_orders = context.core.late_orders
        late_orders.on_sent(order)
        sent_at = trio.current_time()
        answer = await context.executors.start(
            address=executor.info.address,
            order=order,
            deadline_ms=deadline_ms,
            token=token,
            timeout_s=call_timeout_s(
                start_bytes(order),
                link_bytes_per_s=context.link_bytes_per_s,
                timeout_s=context.core.timings.order_timeout_s,
            ),
        )
        context.call_counts.add("start", is_answered=not isinstance(answer, Failure))
        if isinstance(answer, Failure):
            error = answer.failure()
            fields = {"run": str(order.run), "executor": order.executor_id}
            context.note("run.start_failed", order.task.job, cause=str(error), **fields)
            if error.may_have_taken_effect:
                late_orders.on_unanswered(order, sent_at=sent_at)
                if can_come_late(order):
                    executor.clock.assume_lease_granted(sent_at)
                return StartOutcome.UNKNOWN
            late_orders.on_answered(order)
            return StartOutcome.UNHEALTHY
        verdict = answer.unwrap().verdict
        if self._is_started_later(order, verdict):
            context.core.on_started_later(order, sent_at=sent_at, now=trio.current_time())
        else:
            late_orders.on_answered(order)
        if can_come_late(order):
            self._acks.on_start_answered(context.core.next_seq())
        if verdict is StartVerdict.FENCED:
            self._on_fenced(token)
        return _OUTCOME_BY_VERDICT[verdict]

    def _is_started_later(self, order: StartOrder, verdict: StartVerdict) -> bool:
        """Whether a later incarnation has carried out a start whose run was taken for lost."""
        if verdict is not StartVerdict.STARTED or not can_come_late(order):
            return False
        return not self._context.core.is_assigned(order)

    def _start_token(self, order: StartOrder) -> int:
        """Return the token for a start: a higher one than that of acknowledgements without answer.

        An acknowledgement that comes late is then refused by an incarnation that has carried out
        the start, and can't make it forget the end of the run.
        """
        executor_id = self._executor.executor_id
        token = self._context.token_of(executor_id)
        is_newest = self._context.is_newest(executor_id, token)
        if can_come_late(order) and is_newest and self._acks.may_come_late(token):
            return self._context.raise_token(executor_id)
        return token

    async def throttle(self, order: ThrottleOrder) -> None:
        """Send a throttling rate; the core repeats it until it is confirmed."""
        context, executor = self._context, self._executor
        token = context.token_of(executor.executor_id)
        answer = await context.executors.throttle(
            address=executor.info.address,
            order=order,
            token=token,
            timeout_s=context.core.timings.order_timeout_s,
        )
        if self._is_carried_out(answer, token):
            context.core.on_throttle_confirmed(order)

    async def stop(self, order: StopOrder) -> None:
        """Send a stop; the core repeats it until the run is listed as ended."""
        context, executor = self._context, self._executor
        token = context.token_of(executor.executor_id)
        answer = await context.executors.stop(
            address=executor.info.address,
            order=order,
            token=token,
            timeout_s=context.core.timings.order_timeout_s,
        )
        if self._is_carried_out(answer, token):
            context.core.on_stop(order)
            context.wake()

    def _is_carried_out(self, answer: Result[OrderAnswer, StepError], token: int) -> bool:
        """Whether an order was carried out; an order refused for its token ends the term."""
        if isinstance(answer, Failure):
            return False
        verdict = answer.unwrap().verdict
        if verdict is StartVerdict.FENCED:
            self._on_fenced(token)
        return verdict is StartVerdict.STARTED

    def _on_fenced(self, token: int) -> None:
        """Give up the term, unless it issued the higher token itself, to another incarnation."""
        executor_id = self._executor.executor_id
        if self._context.is_newest(executor_id, token):
            self._context.lose(f"executor {executor_id} has seen a higher token")
        elif self._is_in_table():
            self._context.raise_token(executor_id)
