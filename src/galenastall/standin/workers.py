"""In-memory stand-in of all workers by address, with their fault settings."""

import random
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

import trio
from returns.result import Failure, Result

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import StartBatch, TaskAnswer, WorkerListing
from galenastall.standin.event_queue import EventQueue
from galenastall.standin.faults import WorkerFaults, draw_call_outcome
from galenastall.standin.run_ledger import RunLedger
from galenastall.standin.violations import ViolationLog
from galenastall.standin.worker import MemoryWorker
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import Epoch, HostId, TaskId
from galenastall.state.resources import Resources

T = TypeVar("T")
Answers = Result[tuple[TaskAnswer, ...], StepError]
Effect = Callable[[MemoryWorker, float], Result[T, StepError]]


class _Command(Generic[T]):
    """A call in flight to a worker; it arrives even if its caller has timed out."""

    def __init__(self, *, worker: MemoryWorker, step: str, effect: Effect[T]) -> None:
        self._worker = worker
        self._step = step
        self._effect = effect
        self.answer: Result[T, StepError] | None = None
        self.answered = trio.Event()

    def arrive(self, now: float) -> None:
        """Apply the call, or queue it while the worker is paused."""
        if self._worker.faults.down:
            return
        if self._worker.faults.paused:
            self._worker.inbox.append(self.arrive)
            return
        self._worker.calls_by_step[self._step] += 1
        self.answer = self._effect(self._worker, now)
        self.answered.set()


class MemoryWorkers:
    """Workers by address; implements protocol.platform.WorkerService."""

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._events = EventQueue(clock=clock)
        self.violations = ViolationLog()
        self.ledger = RunLedger(clock=clock, violations=self.violations)
        self.by_address: dict[str, MemoryWorker] = {}

    def add(
        self,
        *,
        address: str,
        host_id: HostId,
        capacity: Resources,
        faults: WorkerFaults | None = None,
    ) -> MemoryWorker:
        """Add a worker that can be reached at `address`."""
        worker = MemoryWorker(
            host_id=host_id,
            capacity=capacity,
            clock=self._clock,
            events=self._events,
            ledger=self.ledger,
            violations=self.violations,
            faults=faults,
        )
        self.by_address[address] = worker
        return worker

    def remove(self, address: str) -> None:
        """Remove a worker and fail its runs; raises KeyError for an unknown address."""
        now = self._events.settle()
        self.by_address.pop(address).fail_host(now)

    def set_faults(self, address: str, faults: WorkerFaults) -> None:
        """Replace a worker's fault settings; raises KeyError for an unknown address."""
        now = self._events.settle()
        worker = self.by_address[address]
        worker.faults = faults
        if faults.down:
            worker.fail_host(now)
            return
        if not faults.paused:
            waiting, worker.inbox = worker.inbox, []
            for arrive in waiting:
                arrive(now)

    def settle(self) -> None:
        """Apply all events that are due; call this before reading the ledger."""
        self._events.settle()

    async def start(self, *, address: str, batch: StartBatch) -> Answers:
        """Start tasks; see WorkerService."""
        return await self._call(
            address, "worker.start", lambda worker, now: worker.start(batch, now)
        )

    async def renew(self, *, address: str, tasks: Sequence[TaskId], lease_until: float) -> Answers:
        """Extend leases; see WorkerService."""
        return await self._call(
            address, "worker.renew", lambda worker, now: worker.renew(tasks, lease_until, now)
        )

    async def checkpoint(self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch) -> Answers:
        """Checkpoint and stop tasks; see WorkerService."""
        return await self._call(
            address, "worker.checkpoint", lambda worker, now: worker.checkpoint(tasks, epoch, now)
        )

    async def throttle(
        self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch, share: float
    ) -> Answers:
        """Throttle tasks; see WorkerService."""
        return await self._call(
            address,
            "worker.throttle",
            lambda worker, now: worker.throttle(tasks, epoch, share, now),
        )

    async def stop(self, *, address: str, tasks: Sequence[TaskId], epoch: Epoch) -> Answers:
        """Stop tasks; see WorkerService."""
        return await self._call(
            address, "worker.stop", lambda worker, now: worker.stop(tasks, epoch, now)
        )

    async def acknowledge(
        self, *, address: str, tasks: Sequence[TaskId]
    ) -> Result[None, StepError]:
        """Drop finished tasks from listings; see WorkerService."""
        return await self._call(
            address, "worker.acknowledge", lambda worker, now: worker.acknowledge(tasks, now)
        )

    async def listing(self, *, address: str, since: str = "") -> Result[WorkerListing, StepError]:
        """List running and finished tasks; see WorkerService."""
        return await self._call(
            address, "worker.listing", lambda worker, now: worker.listing(now, since)
        )

    async def _call(self, address: str, step: str, effect: Effect[T]) -> Result[T, StepError]:
        worker = self.by_address.get(address)
        if worker is None or worker.faults.unreachable or worker.faults.down:
            return Failure(StepError(step=step, peer=address, reason=Reason.UNREACHABLE))
        faults = worker.faults
        outcome = draw_call_outcome(faults=faults, clock=self._clock, rng=self._rng)
        command = _Command(worker=worker, step=step, effect=effect)
        if not outcome.lost:
            self._events.push(outcome.due, command.arrive)
            self._events.settle()
        if command.answer is None:
            with trio.move_on_after(faults.call_timeout_s):
                await self._wait_for(command, outcome.due)
        else:
            await trio.lowlevel.checkpoint()
        if command.answer is None or outcome.answer_lost:
            await trio.sleep(faults.call_timeout_s if outcome.answer_lost else 0)
            return Failure(StepError(step=step, peer=address, reason=Reason.TIMEOUT))
        return command.answer

    async def _wait_for(self, command: _Command[T], due: float) -> None:
        await trio.sleep(max(0.0, due - self._clock.now()))
        self._events.settle()
        await command.answered.wait()
