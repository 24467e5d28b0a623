"""Times that a cell's leader and its standbys go by, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CellTimings:
    """All times of leadership, leases and orders; the adapter fills in the platform's bounds."""

    lease_s: float = 10.0
    """How far ahead of the last confirmed time a lease may reach; the platform's longest."""
    renewal_s: float = 8.5
    """How far ahead a renewal reaches while the store confirms the leader. It has to outlast the
    cut of a data centre (up to 6.4 s so far) and one long poll; what runs on an executor that is
    gone for good starts elsewhere that much later."""
    clock_rate_slack: float = 0.02
    """Share by which an executor's clock may run slow, as the platform states it."""
    lease_slack_s: float = 0.3
    """Added to a lapse before it counts as certain; covers the sweep that ends lapsed runs."""
    maintenance_s: float = 2.0
    """How long a host is down for maintenance, as the platform states it."""
    reach_s: float = 1.8
    """An executor that has not answered for longer gets no new work: a long poll and its margin."""
    delisted_grace_s: float = 2.0
    """How long an executor that answers may be missing from the list, as the platform states it."""
    order_timeout_s: float = 0.35
    """Wait for the answer to an order, which takes 2 to 8 ms; starts are safe to send again."""
    resend_after_s: float = 0.5
    """Between two tries of a stop that the executor has not yet listed as ended."""
    start_tries: int = 3
    """Tries of one start with one run number before the run is stopped instead."""
    refused_pause_s: float = 0.7
    """Pause of an executor that did not take a start; each further refusal for want of health or
    room doubles it."""
    commit_every_s: float = 0.025
    """Least time between two appends; 40 a second cost 0.3% of what a day earns."""
    confirm_every_s: float = 0.2
    """An idle leader appends this often, so that leases go on and standbys see it alive."""
    heartbeat_interval_s: float = 0.15
    """Between two heartbeats of the leader to each standby."""
    heartbeat_suspect_s: float = 0.35
    """Silence after which a standby looks at the store for signs of the leader: two beats lost."""
    heartbeat_timeout_s: float = 0.6
    """Silence after which a standby claims if the store shows no sign either."""
    confirm_suspect_s: float = 0.8
    """A leader whose last confirmation is older makes standbys look at the store."""
    stale_confirm_s: float = 1.3
    """A leader whose last confirmation is older counts as silent; slow stores stay below it."""
    ready_confirm_s: float = 0.9
    """A host whose leader's last confirmation is older reports itself not ready: the balancer takes
    1 to 2 s more to send callers elsewhere. Confirmations through a slow store stay below it."""
    log_end_stalled_s: float = 0.35
    """How long the state's end must stand still before a standby claims: a confirmation each 0.2 s
    and an append of some 10 ms. A host that has just started hears a living leader within 0.2 s."""
    log_end_poll_s: float = 0.15
    """Between two looks at the store while the leader is silent."""
    claim_jitter_s: float = 0.1
    """Standbys draw a delay up to this; the store takes one of several claims in any case, so it
    only spares calls."""
    light_host_delay_s: float = 0.6
    """How much later a light host claims: by then a heavy one has looked, claimed and been
    answered, which differs between hosts by 0.3 s, through a store that takes 0.1 s for each."""
    load_timeout_s: float = 6.0
    """A leader that has not read the state by then is stuck, and ends its term: 4 MB take 4.3 s
    through a link of 10 Mbit/s, and callers give up within seconds."""
    fell_behind_pause_s: float = 30.0
    """How long a host that fell behind as leader is not given the leadership again."""
    withdrawn_pause_s: float = 3.0
    """A leader that gave up its place leaves it to others for this long."""
    ended_kept_s: float = 150.0
    """How long an ended job is kept for callers that ask; the platform's bound and a margin."""
