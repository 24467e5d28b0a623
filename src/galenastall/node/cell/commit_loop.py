"""Group commit: one append under the term's token at a time, repeated until its fate is known."""

from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.timings import CellTimings
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.ports import StatePort
from galenastall.state.errors import Reason

SHORTEST_TIMEOUT_S: Final = 0.25
"""Least wait for an append's answer, which takes 7 ms; where answers get lost, each lost one holds
up all work for this long."""
TIMEOUT_FACTOR: Final = 4.0
"""The first wait is this many times what appends took lately."""
LONGEST_TIMEOUT_S: Final = 1.5
"""Waits double from try to try up to this; a slow store takes up to 0.4 s."""
REPEAT_S: Final = 0.05
"""Pause before an append is repeated under its sequence number."""
CONFIRM_KEY: Final = "confirm"
"""Key that an idle leader rewrites."""


class CommitLoop:
    """Writes the core's batches."""

    def __init__(self, *, context: TermContext, state: StatePort, timings: CellTimings) -> None:
        """Write to `state` in the term of `context`."""
        self._context = context
        self._state = state
        self._timings = timings
        self._sequence = 0
        self._wanted = trio.Event()
        self.last_append_s = 0.0
        """How long the last answered append took."""
        self.failing_since: float | None = None
        """When appends began to fail; None while they go through."""

    def want(self) -> None:
        """Ask for an append soon."""
        self._wanted.set()

    async def run(self, send: Callable[[list[StartOrder]], None]) -> None:
        """Append until cancelled; starts that may leave go to `send`."""
        begun_at = float("-inf")
        while True:
            with trio.move_on_after(self._timings.confirm_every_s):
                await self._wanted.wait()
            self._wanted = trio.Event()
            await trio.sleep_until(begun_at + self._timings.commit_every_s)
            begun_at = trio.current_time()
            send(await self.commit())

    async def commit(self) -> list[StartOrder]:
        """Make all changes so far durable; return the starts that may leave."""
        context = self._context
        batch = context.core.take_batch()
        values = batch.values_by_key or {CONFIRM_KEY: b"%d" % self._sequence}
        self._sequence += 1
        await self._append(values)
        starts = context.core.commit(batch, wall=context.wall())
        context.tell_committed()
        context.wake()
        return starts

    async def _append(self, values_by_key: dict[str, bytes]) -> None:
        context = self._context
        timeout_s = max(SHORTEST_TIMEOUT_S, TIMEOUT_FACTOR * self.last_append_s)
        while True:
            sent_at = trio.current_time()
            answer = await self._state.append(
                token=context.token,
                sequence=self._sequence,
                values_by_key=values_by_key,
                timeout_s=min(timeout_s, LONGEST_TIMEOUT_S),
            )
            timeout_s *= 2.0
            if not isinstance(answer, Failure):
                context.confirmed_at = sent_at
                self.last_append_s = trio.current_time() - sent_at
                self._note_regained()
                return
            error = answer.failure()
            if error.reason is Reason.CONFLICT:
                context.lose(str(error))
                await trio.sleep_forever()
            if self.failing_since is None:
                self.failing_since = sent_at
                context.note("store.lost", cause=str(error))
            await trio.sleep(REPEAT_S)

    def _note_regained(self) -> None:
        if self.failing_since is not None:
            self.failing_since = None
            self._context.note("store.regained")
