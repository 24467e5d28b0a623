"""Times and bounds of job shards, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class JobTimings:
    """What operators may set; every default is meant to be usable."""

    window_s: float = 0.01
    """How long events are gathered before a decision, so that tasks share a message."""
    tick_s: float = 0.25
    """Longest time between decisions."""
    decide_limit: int = 1024
    """Most tasks that one decision of a shard gives out."""
    heartbeat_s: float = 1.0
    """Least time between two beats to the other entry hosts."""
    heartbeat_s_per_peer: float = 0.3
    """Further time between beats for each peer, so that traffic does not grow with them."""
    valid_s: float = 6.0
    """How long a beat keeps queued tasks valid; several beats long."""
    silent_s: float = 4.0
    """A peer not heard for so long gets no more beats: what it has queued becomes void."""
    skew_s: float = 1.0
    """Largest difference between the clocks of two entry hosts."""
    resend_s: float = 0.5
    """When an unanswered assignment, stop or census question is sent again."""
    log_retry_s: float = 1.0
    """Pause after the log refused a record."""
    compact_after_s: float = 3600.0
    """Age at which a live job's record is appended again; well below the log's retention."""
    compact_every_s: float = 60.0
    vanished_s: float = 40.0
    """How long a worker that left the platform's list may still run tasks: the longest lease, and
    the difference between what two entry hosts see of the list."""
