"""Run a schedule of faults against the driver's processes and the stand-in's knobs.

Each fault is a function filed by name; the scheduler calls it at its time and records in the
history what harm was done to whom and until when, so that the checker can allow for it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

import trio

from galenastall.bench.processes import Driver
from galenastall.proof.history import FOR_EVER, Fault, HistoryRecorder
from galenastall.protocol.clock import Clock
from galenastall.state.registry import Registry


class StandinControl(Protocol):
    """What faults ask of the stand-in platform."""

    async def set_knobs(self, *, target: str, **knobs: object) -> None:
        """Change knobs of one stand-in service or host."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ScheduledFault:
    """A fault of a schedule."""

    after_s: float
    """Seconds from the start of the load."""
    kind: str
    """A name in FAULTS."""
    target: str
    lasts_s: float = 0.0
    knobs: dict[str, object] = field(default_factory=dict)
    """For `knobs`: what to set."""
    reset: dict[str, object] = field(default_factory=dict)
    """For `knobs`: what to set back after `lasts_s`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultContext:
    """What faults act on."""

    driver: Driver
    standin: StandinControl
    restart: Callable[[str], Awaitable[None]]
    """Start an entry host again that has ended, and wait until it is ready."""


FaultAction = Callable[[FaultContext, ScheduledFault], Awaitable[None]]
FAULTS: Final[Registry[FaultAction]] = Registry(kind="fault")


@FAULTS.register("kill")
async def kill(context: FaultContext, fault: ScheduledFault) -> None:
    """End a process at once; start it again after `lasts_s` if that is not 0."""
    context.driver.kill(fault.target)
    await context.driver.wait_ended(name=fault.target, timeout_s=5.0)
    if fault.lasts_s:
        await trio.sleep(fault.lasts_s)
        await context.restart(fault.target)


@FAULTS.register("pause")
async def pause(context: FaultContext, fault: ScheduledFault) -> None:
    """Freeze a process for `lasts_s`."""
    context.driver.pause(fault.target)
    await trio.sleep(fault.lasts_s)
    context.driver.resume(fault.target)


@FAULTS.register("knobs")
async def knobs(context: FaultContext, fault: ScheduledFault) -> None:
    """Set knobs of the stand-in for `lasts_s`, for good if that is 0."""
    await context.standin.set_knobs(target=fault.target, **fault.knobs)
    if fault.lasts_s:
        await trio.sleep(fault.lasts_s)
        await context.standin.set_knobs(target=fault.target, **fault.reset)


@FAULTS.register("restart")
async def restart(context: FaultContext, fault: ScheduledFault) -> None:
    """Stop a process gracefully and start it again."""
    context.driver.terminate(fault.target)
    await context.driver.wait_ended(name=fault.target, timeout_s=60.0)
    await context.restart(fault.target)


class FaultSchedule:
    """Faults in order of time."""

    def __init__(
        self,
        *,
        faults: tuple[ScheduledFault, ...],
        context: FaultContext,
        recorder: HistoryRecorder,
        clock: Clock,
    ) -> None:
        """Check the names of all faults; raises UnknownNameError for one that does not exist."""
        self._actions = [(fault, FAULTS.get(fault.kind)) for fault in faults]
        self._context = context
        self._recorder = recorder
        self._clock = clock

    async def run(self) -> None:
        """Carry out all faults, those that overlap at the same time; return when all are over."""
        async with trio.open_nursery() as nursery:
            for fault, action in self._actions:
                nursery.start_soon(self._carry_out, fault, action)

    async def _carry_out(self, fault: ScheduledFault, action: FaultAction) -> None:
        await trio.sleep(fault.after_s)
        began = self._clock.wall()
        try:
            await action(self._context, fault)
        finally:
            until = self._clock.wall()
            if fault.kind == "kill" and not fault.lasts_s:
                until = FOR_EVER
            self._recorder.record(Fault(at=began, host=fault.target, kind=fault.kind, until=until))
