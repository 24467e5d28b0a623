"""Run a schedule of faults against the driver's processes and the stand-in's knobs.

Each fault is a function filed by name; the scheduler calls it at its time and records in the
history what harm was done to whom and until when, so that the checker can allow for it.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Final, Protocol

import trio

from galenastall.proof.history import FOR_EVER, Fault, HistoryRecorder
from galenastall.protocol.clock import Clock
from galenastall.standin.cuts import Cut, Service
from galenastall.state.registry import Registry


@dataclass(frozen=True, kw_only=True, slots=True)
class ScheduledFault:
    """A fault of a schedule."""

    after_s: float
    """Seconds from the start of the load."""
    kind: str
    """A name in FAULTS."""
    target: str
    lasts_s: float = 0.0


class Processes(Protocol):
    """What faults do to processes; the driver's methods."""

    def kill(self, name: str) -> None:
        """End a process at once."""

    def terminate(self, name: str) -> None:
        """Ask a process to stop gracefully."""

    def pause(self, name: str) -> None:
        """Freeze a process."""

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""

    async def wait_ended(self, *, name: str, timeout_s: float) -> int:
        """Return the exit code."""


class Knobs(Protocol):
    """What faults do to the stand-in; its control client's methods."""

    async def change_faults(self, target: str, changes: Mapping[str, object]) -> object:
        """Change only the named knobs of `log` or `workers/ID`, where ID may be `all`."""

    async def set_cuts(self, *cuts: Cut) -> object:
        """Put exactly these cuts in force."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultContext:
    """What faults act on."""

    driver: Processes
    standin: Knobs
    restart: Callable[[str], Awaitable[None]]
    """Start an entry host again that has ended, and wait until it is ready."""


LOST_SHARE: Final = 0.33
"""Share of answers lost by `lost-start-answers`."""

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


@FAULTS.register("log-outage")
async def log_outage(context: FaultContext, fault: ScheduledFault) -> None:
    """Let the log refuse everything for `lasts_s`."""
    await context.standin.change_faults("log", {"outage": True})
    await trio.sleep(fault.lasts_s)
    await context.standin.change_faults("log", {"outage": False})


@FAULTS.register("lost-start-answers")
async def lost_start_answers(context: FaultContext, fault: ScheduledFault) -> None:
    """Lose a third of the answers of a worker (or `all`) for `lasts_s`, after their effect."""
    target = f"workers/{fault.target}"
    await context.standin.change_faults(target, {"drop_after": LOST_SHARE})
    await trio.sleep(fault.lasts_s)
    await context.standin.change_faults(target, {"drop_after": 0.0})


@FAULTS.register("cut")
async def cut(context: FaultContext, fault: ScheduledFault) -> None:
    """Cut entry hosts (ids joined by commas) off from the platform's log and list."""
    services = frozenset({Service.LOG, Service.HOST_LIST})
    cuts = [Cut(caller=host, services=services) for host in fault.target.split(",")]
    await context.standin.set_cuts(*cuts)
    await trio.sleep(fault.lasts_s)
    await context.standin.set_cuts()


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
