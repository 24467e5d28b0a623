"""State shared by the parts of one leader term."""

from collections.abc import Callable
from math import inf
from typing import Final

import trio

from galenastall.coordination.cell.call_flow import max_call_bytes
from galenastall.coordination.cell.poll_limiter import IdlePollLimiter
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.node.cell.byte_budget import ByteBudget
from galenastall.node.cell.call_counts import CallCounts
from galenastall.protocol.cell.executor_port import ExecutorPort
from galenastall.protocol.clock import Clock
from galenastall.state.cell.executor_ids import executor_name
from galenastall.transport.logs import Recorder

TOKENS_PER_TERM: Final = 1_000_000
"""Executors see the term's token times this, plus a counter for each executor."""

LATE_ANSWER_S: Final = 0.6
"""Time allowed for a listing beyond the long poll; a round trip takes 1 to 8 ms."""


class TermContext:
    """The core, token and events of a term."""

    def __init__(
        self,
        *,
        core: CellScheduler,
        token: int,
        confirmed_at: float,
        executors: ExecutorPort,
        clock: Clock,
        recorder: Recorder,
        on_lost: Callable[[str], None],
        link_bytes_per_s: float = inf,
    ) -> None:
        """`confirmed_at` is when the last call that the store confirmed was sent."""
        self.core = core
        self.token = token
        self.confirmed_at = confirmed_at
        self.executors = executors
        self.link_bytes_per_s = link_bytes_per_s
        self.idle_polls = IdlePollLimiter()
        self.call_counts = CallCounts()
        self.start_budget = ByteBudget(
            max_bytes=max_call_bytes(
                link_bytes_per_s=link_bytes_per_s, timeout_s=core.timings.order_timeout_s
            )
        )
        self.listing_budget = ByteBudget(
            max_bytes=max_call_bytes(link_bytes_per_s=link_bytes_per_s, timeout_s=LATE_ANSWER_S)
        )
        self.polls_under_way = 0
        """Polls of this term without an answer yet."""
        self.committed = trio.Event()
        """Set and replaced whenever a batch has become durable."""
        self.confirmed = trio.Event()
        """Set and replaced whenever `confirmed_at` has moved with a part of a batch, or a batch has
        become durable."""
        self.changed = trio.Event()
        """Set when the core has input for a decision."""
        self._clock = clock
        self._tokens_by_executor: dict[str, int] = {}
        self._newest_token_by_name: dict[str, int] = {}
        self._recorder = recorder
        self._on_lost = on_lost

    def token_of(self, executor_id: str) -> int:
        """Return the token to send to an incarnation of an executor."""
        token = self._tokens_by_executor.get(executor_id)
        return self.raise_token(executor_id) if token is None else token

    def raise_token(self, executor_id: str) -> int:
        """Issue a higher token to an incarnation, which then refuses all calls sent before.

        A restarted executor has seen no token yet. Without a higher one it would carry out calls
        meant for an earlier incarnation, however late they arrive. The term ends with its tokens.
        """
        name = executor_name(executor_id)
        token = 1 + self._newest_token_by_name.get(name, self.token * TOKENS_PER_TERM)
        if token >= (self.token + 1) * TOKENS_PER_TERM:
            self.lose(f"executor {executor_id} was shown all tokens of the term")
        self._tokens_by_executor[executor_id] = token
        self._newest_token_by_name[name] = token
        return token

    def is_newest(self, executor_id: str, token: int) -> bool:
        """Whether no higher token was issued in this term to an executor of this name."""
        return token >= self._newest_token_by_name.get(executor_name(executor_id), token)

    def wall(self) -> float:
        """Return seconds since 1970."""
        return self._clock.wall()

    def wake(self) -> None:
        """Request a decision of the core soon."""
        self.changed.set()

    def lose(self, cause: str) -> None:
        """End the term because a newer leader was detected."""
        self._on_lost(cause)

    def note(self, step: str, *subjects: str, cause: str = "", **fields: str) -> None:
        """Log an event with its subjects, cause and fields."""
        self._recorder.record(step, subjects=subjects, cause=cause, fields=fields)

    def notify_committed(self) -> None:
        """Wake all tasks that wait for durability or for a confirmation."""
        event, self.committed = self.committed, trio.Event()
        event.set()
        self.notify_confirmed()

    def notify_confirmed(self) -> None:
        """Wake all tasks that wait for a confirmation of the term."""
        event, self.confirmed = self.confirmed, trio.Event()
        event.set()
