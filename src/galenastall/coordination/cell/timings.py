"""Timeouts and intervals of a cell's leader and its standbys, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CellTimings:
    """Timings of leadership, leases and orders; the adapter fills in the platform's bounds."""

    lease_s: float = 10.0
    """How far beyond the last confirmed time a lease may extend; the platform's maximum."""
    renewal_s: float = 8.3
    """How far a renewal extends a lease while the store confirms the leader. It has to outlast a
    partition of a data centre (up to 6.4 s so far) and one long poll; runs of an executor that is
    gone for good start elsewhere that much later."""
    clock_rate_slack: float = 0.02
    """Share by which an executor's clock may run slow, as specified by the platform."""
    lease_slack_s: float = 0.3
    """Added to a lease's expiry before it counts as certain; covers the sweep that ends expired
    runs."""
    maintenance_s: float = 2.0
    """How long a host is down for maintenance, as specified by the platform."""
    reach_s: float = 1.8
    """An executor that has not answered for longer gets no new work: a long poll and a margin."""
    delisted_grace_s: float = 2.0
    """How long an executor that answers may be missing from the list, as specified by the
    platform."""
    order_timeout_s: float = 0.35
    """Timeout of an order, whose answer takes 2 to 8 ms; starts can safely be sent again."""
    resend_after_s: float = 0.5
    """Interval between attempts of a stop that the executor has not yet listed as ended."""
    late_order_s: float = 12.5
    """How long after its sending an order without an answer may be carried out: the platform's 12 s
    and the way there."""
    start_tries: int = 3
    """Attempts of one start with one run number before the run is stopped instead."""
    refused_pause_s: float = 0.7
    """Pause of an executor that did not accept a start; each further refusal for lack of health or
    capacity doubles it."""
    commit_every_s: float = 0.025
    """Minimum interval between two appends; 40 a second cost 0.3% of a day's earnings."""
    confirm_every_s: float = 0.2
    """An idle leader appends this often, to extend leases and to show standbys that it is alive."""
    heartbeat_interval_s: float = 0.15
    """Interval between the leader's heartbeats to each standby."""
    heartbeat_suspect_s: float = 0.35
    """Time without a heartbeat after which a standby reads the store for signs of the leader: two
    heartbeats lost."""
    heartbeat_timeout_s: float = 0.6
    """Time without a heartbeat after which a standby claims leadership if the store shows no sign
    of the leader either."""
    confirm_suspect_s: float = 0.8
    """A leader whose last confirmation is older makes standbys read the store."""
    stale_confirm_s: float = 1.3
    """A leader whose last confirmation is older counts as unresponsive; slow stores stay below
    this."""
    ready_confirm_s: float = 0.9
    """A host whose leader's last confirmation is older reports itself not ready: the balancer takes
    1 to 2 s more to send callers elsewhere. Confirmations through a slow store stay below this."""
    log_end_stalled_s: float = 0.35
    """How long the end of the state log must not advance before a standby claims: a confirmation
    each 0.2 s and an append of some 10 ms. A host that has just started receives a live leader's
    heartbeat within 0.2 s."""
    log_end_poll_s: float = 0.15
    """Interval between reads of the store while the leader is unresponsive."""
    claim_jitter_s: float = 0.1
    """Maximum random delay of a standby's claim; the store accepts one of several claims in any
    case, so the delay only saves calls."""
    light_host_delay_s: float = 0.6
    """Additional delay of a light host's claim: by then a heavy host has read the store, claimed
    and been answered, which differs between hosts by 0.3 s, through a store that takes 0.1 s for
    each."""
    load_page_timeout_s: float = 6.0
    """A leader that has not read the next page of the state by then is stuck, and ends its term: a
    page of 1 MB takes 3.4 s over half of a link of 5 Mbit/s."""
    fell_behind_pause_s: float = 30.0
    """How long a host that fell behind as leader is not given the leadership again."""
    withdrawn_pause_s: float = 3.0
    """How long a leader that stepped down does not claim again."""
    ended_kept_s: float = 150.0
    """How long an ended job is kept for callers that query it; the platform's bound plus a
    margin."""
