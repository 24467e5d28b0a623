"""Intervals and time-outs of a worker owner, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerTimings:
    """Timings that operators may change; every default is meant to be usable."""

    window_s: float = 0.01
    """How long events are collected before a decision, so that starts share a call."""
    tick_s: float = 0.25
    """Longest time between decisions."""
    flight_s: float = 0.4
    """From the ownership check to a start's not-after time; below ownership's `flight_s`."""
    call_s: float = 2.0
    """Time-out of a call to a worker, after which its outcome counts as unknown."""
    lease_s: float = 30.0
    longest_lease_s: float = 0.0
    """No entry host grants longer leases; a new owner waits for this if it exceeds `lease_s`."""
    renew_every_s: float = 10.0
    poll_every_s: float = 1.0
    """Interval at which a worker is polled for its running and ended tasks."""
    silent_after_s: float = 5.0
    """A worker that has not answered for this long gets nothing new."""
    owner_silent_s: float = 4.0
    """Peers may renew leases on the workers of an entry host that was silent for this long."""
    announce_s: float = 5.0
    """How long a peer announces that it will renew for another owner before it does."""
    start_settle_s: float = 15.0
    """A start takes effect within this time after it was sent, or never; new owners wait for it."""
    decide_limit: int = 512
    """Maximum starts of one decision."""
    report_window_s: float = 0.02
    """How long reports to a shard's owner are collected before they are sent."""
