"""Times and bounds of the ownership mechanism; all members of a data centre use the same ones."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipTimings:
    """Safety rests on `vouch_s`, `read_s`, `flight_s`, `clock_rate_bound` and `list_lag_s`.

    A claimant waits for the longest span that any member may use for the first three, so they
    must be raised on all members before any member acts on the new values; the rest only affect
    speed.
    """

    vouch_s: float = 3.0
    """T: how long after sending a heartbeat its echo lets the sender act."""
    read_s: float = 3.0
    """READ: how long after sending a read of the log's end its answer lets the sender act."""
    flight_s: float = 0.5
    """Longest time from the check of `may_act` to the command's not-after time, skew included."""
    clock_rate_bound: float = 0.01
    """Largest relative difference of a member's clock rate from true time."""
    list_lag_s: float = 30.0
    """A host that the platform's list has not shown for longer than this is permanently dead."""
    heartbeat_s: float = 0.5
    """Minimum time between two heartbeats to the same member."""
    heartbeats_per_s: float = 12.0
    """Most heartbeats a member sends per second; in a large roster each peer gets fewer."""
    suspect_s: float = 2.5
    """Time without a heartbeat after which a member is suspected."""
    settle_s: float = 1.0
    """How long the set of live members must be unchanged before ownables are spread over it."""
    stagger_s: float = 1.5
    """How long each candidate waits for the one before it."""
    append_retry_s: float = 1.0
    """Pause after a failed append."""
    claim_stale_s: float = 15.0
    """Age at which a claim that was not activated may be superseded."""
    handover_batch: int = 64
    """Ownables transferred to one member in one record while spreading load."""
    snapshot_every_s: float = 600.0
    """Longest time between snapshots of a stream; must be well under the log's retention."""
    snapshot_every_records: int = 2000
    """Most records between snapshots."""

    @property
    def rate_factor(self) -> float:
        """Factor by which a wait on a slow clock is stretched to outlast one on a fast clock."""
        return (1.0 + self.clock_rate_bound) / (1.0 - self.clock_rate_bound)

    def heartbeat_interval_s(self, *, peers: int) -> float:
        """Return the time between heartbeats to each of `peers` members."""
        return max(self.heartbeat_s, peers / self.heartbeats_per_s)
