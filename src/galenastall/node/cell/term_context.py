"""What the parts of one term of leadership share."""

from collections.abc import Callable
from typing import Final

import trio

from galenastall.coordination.cell.poll_limiter import IdlePollLimiter
from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.node.cell.call_counts import CallCounts
from galenastall.protocol.cell.executor_port import ExecutorPort
from galenastall.protocol.clock import Clock
from galenastall.state.cell.executor_ids import executor_name
from galenastall.transport.logs import Recorder

TOKENS_IN_A_TERM: Final = 1_000_000
"""Executors are shown the term's token times this, and a number within the term."""


class TermContext:
    """Core, token and signals of a term."""

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
    ) -> None:
        """`confirmed_at`: when the last call that the store confirmed was sent."""
        self.core = core
        self.token = token
        self.confirmed_at = confirmed_at
        self.executors = executors
        self.idle_polls = IdlePollLimiter()
        self.call_counts = CallCounts()
        self.polls_under_way = 0
        """Polls of this term that have no answer yet."""
        self.committed = trio.Event()
        """Set, and replaced, whenever a batch has become durable."""
        self.changed = trio.Event()
        """Set when there is something to decide."""
        self._clock = clock
        self._token_number = 0
        self._tokens_by_executor: dict[str, int] = {}
        self._newest_token_by_name: dict[str, int] = {}
        self._recorder = recorder
        self._on_lost = on_lost

    def token_of(self, executor_id: str) -> int:
        """Return the token to show an incarnation of an executor."""
        token = self._tokens_by_executor.get(executor_id)
        return self.raise_token(executor_id) if token is None else token

    def raise_token(self, executor_id: str) -> int:
        """Have an incarnation, once it is shown its token, refuse all calls sent before.

        An executor that starts again has seen no token, so calls that were meant for an earlier
        incarnation would be carried out by the new one, however late they come.
        """
        self._token_number += 1
        token = self.token * TOKENS_IN_A_TERM + self._token_number
        self._tokens_by_executor[executor_id] = token
        self._newest_token_by_name[executor_name(executor_id)] = token
        return token

    def is_newest(self, executor_id: str, token: int) -> bool:
        """Whether no higher token was given out in this term for an executor of this name."""
        return token >= self._newest_token_by_name.get(executor_name(executor_id), token)

    def wall(self) -> float:
        """Return seconds since 1970."""
        return self._clock.wall()

    def wake(self) -> None:
        """Have the core decide soon."""
        self.changed.set()

    def lose(self, cause: str) -> None:
        """End the term: a newer leader stands."""
        self._on_lost(cause)

    def note(self, step: str, *subjects: str, cause: str = "", **fields: str) -> None:
        """Log a decision."""
        self._recorder.record(step, subjects=subjects, cause=cause, fields=fields)

    def tell_committed(self) -> None:
        """Wake whoever waits for durability."""
        event, self.committed = self.committed, trio.Event()
        event.set()
