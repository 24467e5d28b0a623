"""Polls the platform's list of executors, periodically and on request."""

from collections.abc import Callable
from typing import Final

import trio
from returns.result import Failure

from galenastall.coordination.cell.executors import ExecutorInfo
from galenastall.node.cell.term_context import TermContext
from galenastall.protocol.cell.ports import FleetPort

FLEET_EVERY_S: Final = 0.3
"""Interval between two reads of the list: drains allow 2 s, and a read is cheap."""

TakeList = Callable[[tuple[ExecutorInfo, ...]], None]


class FleetFollower:
    """Polls the list of executors during one term."""

    def __init__(self, *, context: TermContext, fleet: FleetPort) -> None:
        """Read from `fleet` in the term of `context`."""
        self._context = context
        self._fleet = fleet
        self._is_lost = False
        self._reading = trio.CancelScope()
        self._wanted = trio.Event()
        self._listed = trio.Event()
        """Set and replaced whenever a list has arrived."""

    async def run(self, take: TakeList) -> None:
        """Poll until cancelled; pass each list to `take`."""
        while True:
            self._wanted = trio.Event()
            with trio.CancelScope() as self._reading:
                await self._read(take)
            with trio.move_on_after(FLEET_EVERY_S):
                await self._wanted.wait()

    async def read_now(self, *, within_s: float) -> None:
        """Wait up to `within_s` for a list whose read starts after this call."""
        self._wanted.set()
        self._reading.cancel()
        with trio.move_on_after(within_s):
            await self._listed.wait()

    async def _read(self, take: TakeList) -> None:
        answer = await self._fleet.read()
        if isinstance(answer, Failure):
            if not self._is_lost:
                self._context.note("fleet.lost", cause=str(answer.failure()))
            self._is_lost = True
            return
        self._is_lost = False
        take(answer.unwrap())
        event, self._listed = self._listed, trio.Event()
        event.set()
