"""Lets callers share the reads of the task that waits for changes, which they can't cancel."""

from dataclasses import dataclass, field

import trio
from returns.result import Result, Success

from galenastall.platform.keyed_follower import KeyedFollower
from galenastall.platform.transfers import TransferSlot
from galenastall.state.errors import StepError


@dataclass(kw_only=True, slots=True, eq=False)
class _Demand:
    """A read without waiting, which any number of callers want and the waiting task makes."""

    wanted: trio.Event = field(default_factory=trio.Event)
    ended: trio.Event = field(default_factory=trio.Event)
    read: trio.CancelScope = field(default_factory=trio.CancelScope)
    callers: int = 0
    answer: Result[bool, StepError] | None = None
    """None if the read was not made, or not to its end."""


class SharedReads:
    """Reads of one follower, for one task that waits for changes and any number of callers."""

    def __init__(self, *, follower: KeyedFollower, transfers: TransferSlot) -> None:
        """Read by `follower`, which keeps its transfers in `transfers`."""
        self._follower = follower
        self._transfers = transfers
        self._demand: _Demand | None = None
        """What callers of `read_now` wait for; None while no task waits for changes."""

    async def wait(self, wait_s: float) -> Result[bool, StepError]:
        """Wait up to `wait_s` for a change, and make the reads that callers want meanwhile."""
        answers: list[Result[bool, StepError]] = []
        try:
            async with trio.open_nursery() as nursery:
                self._demand = _Demand()
                nursery.start_soon(self._serve_demands, answers, nursery.cancel_scope)
                answers.append(await self._follower.refresh(wait_s=wait_s))
                nursery.cancel_scope.cancel()
        finally:
            self._end_demands(answers)
        return answers[0]

    async def read_now(self) -> Result[bool, StepError]:
        """Read what there is; a transfer that has begun goes on if the caller is cancelled.

        While no task waits for changes, the caller makes the read itself.
        """
        while self._demand is not None:
            demand = self._demand
            demand.wanted.set()
            demand.callers += 1
            try:
                await demand.ended.wait()
            finally:
                demand.callers -= 1
                self._end_unwanted(demand)
            if demand.answer is not None:
                return demand.answer
        return await self._follower.refresh(wait_s=0.0)

    async def _serve_demands(
        self, answers: list[Result[bool, StepError]], scope: trio.CancelScope
    ) -> None:
        while True:
            demand = self._demand
            if demand is None:
                return
            await demand.wanted.wait()
            with demand.read:
                demand.answer = await self._follower.refresh(wait_s=0.0)
            self._demand = _Demand()
            demand.ended.set()
            if demand.answer == Success(True) and not self._transfers.is_taken:
                answers.append(demand.answer)
                scope.cancel()

    def _end_unwanted(self, demand: _Demand) -> None:
        """End a read that nobody waits for, unless a response has begun to arrive.

        Its response may be lost, and the next caller's read must not wait for it.
        """
        if not demand.callers and not self._transfers.is_taken:
            demand.read.cancel()

    def _end_demands(self, answers: list[Result[bool, StepError]]) -> None:
        demand, self._demand = self._demand, None
        if demand is None:
            return
        if answers and answers[0] == Success(True):
            demand.answer = answers[0]
        demand.ended.set()
