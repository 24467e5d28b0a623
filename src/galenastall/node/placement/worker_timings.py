"""Times of a worker owner, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerTimings:
    """What operators may set; every default is meant to be usable."""

    window_s: float = 0.01
    """How long events are gathered before a decision, so that starts share a call."""
    tick_s: float = 0.25
    """Longest time between decisions."""
    flight_s: float = 0.4
    """From the check of ownership to a start's not-after time; below ownership's `flight_s`."""
    call_s: float = 2.0
    """After this an unanswered call to a worker counts as unknown."""
    lease_s: float = 30.0
    longest_lease_s: float = 0.0
    """No entry host gives longer leases; a new owner waits by this if it is above `lease_s`."""
    renew_every_s: float = 10.0
    poll_every_s: float = 1.0
    """How often a worker is asked what runs and what ended."""
    silent_after_s: float = 5.0
    """A worker that has not answered for so long gets nothing new."""
    owner_silent_s: float = 4.0
    """Peers may renew leases on the workers of an entry host not heard for so long."""
    announce_s: float = 5.0
    """How long a peer says that it will renew for another owner before it does."""
    start_settle_s: float = 15.0
    """A start that was sent takes effect within this or never; new owners wait by it."""
    decide_limit: int = 512
    """Most starts of one decision."""
    report_window_s: float = 0.02
    """How long reports to a shard's owner are gathered."""
