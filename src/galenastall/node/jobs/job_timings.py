"""Times and bounds of job shards, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class JobTimings:
    """Configurable timings with usable defaults."""

    window_s: float = 0.01
    """How long events are gathered before a decision, so that tasks share a message."""
    tick_s: float = 0.25
    """Longest time between decisions."""
    decide_limit: int = 1024
    """Maximum number of tasks that one decision of a shard assigns."""
    heartbeat_s: float = 1.0
    """Minimum time between two heartbeats to the other entry hosts."""
    heartbeat_s_per_peer: float = 0.3
    """Additional time between heartbeats per peer, so that traffic does not grow with peers."""
    valid_s: float = 6.0
    """How long a heartbeat keeps queued tasks valid; several heartbeat intervals."""
    silent_s: float = 4.0
    """Time without a heartbeat after which a peer's queued tasks are no longer kept valid."""
    skew_s: float = 1.0
    """Largest difference between the clocks of two entry hosts."""
    resend_s: float = 0.5
    """Delay before an unanswered assignment, stop or census query is sent again."""
    log_retry_s: float = 1.0
    """Pause after the log refused a record."""
    compact_after_s: float = 3600.0
    """Age at which a live job's record is appended again; well below the log's retention."""
    compact_every_s: float = 60.0
    vanished_s: float = 40.0
    """How long a worker that left the platform's list may still run tasks: the longest lease, plus
    the difference between two entry hosts' views of the list."""
