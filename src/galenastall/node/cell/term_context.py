"""What the parts of one term of leadership share."""

from collections.abc import Callable

import trio

from galenastall.coordination.cell.scheduler import CellScheduler
from galenastall.protocol.cell.executor_port import ExecutorPort
from galenastall.protocol.clock import Clock
from galenastall.transport.logs import Recorder


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
        self.committed = trio.Event()
        """Set, and replaced, whenever a batch has become durable."""
        self.changed = trio.Event()
        """Set when there is something to decide."""
        self._clock = clock
        self._recorder = recorder
        self._on_lost = on_lost

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
