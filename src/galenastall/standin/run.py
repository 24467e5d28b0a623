"""One run of a task on a stand-in worker: progress, usage and lease."""

from dataclasses import dataclass

from galenastall.standin.task_payload import TaskPayload
from galenastall.state.ids import HostId, TaskId
from galenastall.state.resources import Resources
from galenastall.state.work import RunningTask, TaskSpec


@dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """A running task; times are runtime seconds unless noted otherwise."""

    number: int
    """Unique across all workers; each start of a task gets its own."""
    task: TaskSpec
    reserved: Resources
    epoch: int
    lease_until: float
    """Wall time in seconds, as set by the owner."""
    expires_at: float
    payload: TaskPayload
    usage_factor: float
    started_at: float
    work_s: float
    """Total run time that the task needs at full share."""
    measured_at: float
    done_s: float = 0.0
    """Run time at full share completed by `measured_at`."""
    share: float = 1.0
    version: int = 0
    """Incremented when the end changes, so that outdated end events are ignored."""
    fails_at: float | None = None

    def progress(self, now: float) -> float:
        """Return seconds of work done by `now`."""
        return self.done_s + max(0.0, now - self.measured_at) * self.share

    def throttle(self, share: float, now: float) -> None:
        """Continue at `share` of full speed."""
        self.done_s = self.progress(now)
        self.measured_at = now
        self.share = share
        self.version += 1

    def ends_at(self) -> float:
        """Return when it ends if nothing else changes."""
        left = max(0.0, self.work_s - self.done_s)
        ends = self.measured_at + left / self.share if self.share > 0 else float("inf")
        return ends if self.fails_at is None else min(ends, self.fails_at)

    def used(self, now: float) -> Resources:
        """Return real usage at `now`."""
        if now < self.started_at:
            return Resources()
        peak = self.peak()
        grown = 1.0
        if self.payload.ramp_s > 0:
            grown = min(1.0, self.progress(now) / self.payload.ramp_s)
        return Resources(
            cores_milli=int(peak.cores_milli * self.share),
            memory_mb=int(peak.memory_mb * grown),
            accelerators=peak.accelerators,
        )

    def peak(self) -> Resources:
        """Return the peak usage."""
        declared, payload, factor = self.task.resources, self.payload, self.usage_factor
        return Resources(
            cores_milli=_value_or(payload.cores_milli, int(declared.cores_milli * factor)),
            memory_mb=_value_or(payload.peak_mb, int(declared.memory_mb * factor)),
            accelerators=_value_or(payload.accelerators, declared.accelerators),
        )

    def listed(self, now: float, usage_lag_s: float) -> RunningTask:
        """Return this run as a row of a listing."""
        return RunningTask(
            task=self.task,
            reserved=self.reserved,
            epoch=self.epoch,
            lease_until=self.lease_until,
            used=self.used(now - usage_lag_s),
        )


@dataclass(kw_only=True, slots=True)
class RunRecord:
    """Record of a run for checkers."""

    number: int
    task_id: TaskId
    attempt: int
    host: HostId
    reserved: Resources
    started_at: float
    """Wall time in seconds."""
    ended_at: float | None = None
    """Wall time in seconds; None while it runs."""
    end: str = ""
    """How it ended: a TaskEnd, or `done`."""


def _value_or(value: int | None, default: int) -> int:
    return default if value is None else value
