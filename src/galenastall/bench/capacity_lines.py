"""The lines of the capacity page: roles of an entry host, and the platform's log."""

from typing import Final

from galenastall.bench.capacity import (
    IN_FORCE_BUDGET_S,
    LOG_APPENDS_PER_S,
    URGENT_START_BUDGET_S,
    CapacityModel,
    Quantity,
    line,
)
from galenastall.node.worker_watch import IDLE_POLLS

MB: Final = 2**20
KB: Final = 1000.0
DAY_S: Final = 86_400.0
HOUR_S: Final = 3600.0
US_PER_S_TO_PERCENT: Final = 1e-4
"""Microseconds of processor time a second, as per cent of a core."""
CALL_BODY_BYTES: Final = 200
"""Body of the calls that the slope of call bytes was measured with."""


def owned_workers(model: CapacityModel) -> float:
    """Return workers of one owner."""
    return model.size.workers_here / model.size.hosts_per_data_centre


def owned_tasks(model: CapacityModel) -> float:
    """Return running tasks of one owner."""
    return model.size.running_here / model.size.hosts_per_data_centre


def owned_starts_per_s(model: CapacityModel) -> float:
    """Return starts a second of one owner in the busiest data centre at the peak."""
    return model.size.peak_starts_here / model.size.hosts_per_data_centre


def tasks_per_worker(model: CapacityModel) -> float:
    """Return running tasks of one worker."""
    return model.size.running_tasks / model.size.workers


def start_calls_per_s(model: CapacityModel) -> float:
    """Return start calls a second of one owner."""
    return owned_starts_per_s(model) / model.assume("start_batch")


def renew_calls_per_s(model: CapacityModel) -> float:
    """Return renewal calls a second of one owner: one for each worker."""
    return owned_workers(model) / model.assume("renew_every_s")


def listing_calls_per_s(model: CapacityModel) -> float:
    """Return listing calls a second of one owner."""
    return owned_workers(model) / model.assume("listing_every_s")


def stream_appends_per_s(model: CapacityModel) -> float:
    """Return appends a second to one data centre's stream when the whole budget is used."""
    return model.assume("append_budget_per_s") / model.size.data_centres


def reads_per_s(model: CapacityModel) -> float:
    """Return reads a second of one follower: of a busy stream and of the quiet settings stream."""
    appends = stream_appends_per_s(model)
    gap_s = max(model.assume("read_gap_s"), 1.0 / appends)
    own = model.assume("append_budget_per_s") / model.size.entry_hosts  # These end the pause.
    return min(appends, 1.0 / gap_s + own) + 1.0 / model.assume("poll_wait_s")


def end_groups_per_s(model: CapacityModel) -> float:
    """Return jobs with ended tasks a second in the busiest data centre: as many ends as starts."""
    return model.size.peak_starts_here / model.assume("task_end_group")


def call_bytes(model: CapacityModel, body_bytes: float) -> float:
    """Return the bytes of one HTTP call and its answer with another body than measured."""
    return model.each("http-call-bytes") - CALL_BODY_BYTES + body_bytes


@line(
    "owner-state",
    role="owner",
    quantity=Quantity.STATE,
    what="workers owned and placed by one entry host",
    mechanism="claims in the data centre's stream, spread over live members",
)
def owner_state(model: CapacityModel) -> float:
    """Return owned workers."""
    return owned_workers(model)


@line(
    "owner-memory",
    role="owner",
    quantity=Quantity.MEMORY,
    what="ledgers and running tasks",
    mechanism="exact ledger of each owned worker, in memory only; rebuilt from listings",
)
def owner_memory(model: CapacityModel) -> float:
    """Return memory of workers and tasks."""
    held = owned_workers(model) * model.each("worker-memory")
    held += owned_tasks(model) * model.each("placed-task-memory")
    return held * model.assume("rss_factor") / MB


@line(
    "owner-decisions-cpu",
    role="owner",
    quantity=Quantity.CPU,
    what="placement decisions at the peak",
    mechanism="each owner decides alone over its own workers",
)
def owner_decisions_cpu(model: CapacityModel) -> float:
    """Return processor time of decisions."""
    cost_us = model.at("placement-decision", owned_workers(model))
    return owned_starts_per_s(model) * cost_us * US_PER_S_TO_PERCENT


@line(
    "owner-starts-cpu",
    role="owner",
    quantity=Quantity.CPU,
    what="start calls at the peak",
    mechanism="one HTTP call for all starts that one decision has for one worker",
)
def owner_starts_cpu(model: CapacityModel) -> float:
    """Return processor time of start calls."""
    return start_calls_per_s(model) * model.each("http-call-cpu") * US_PER_S_TO_PERCENT


@line(
    "owner-renewals-cpu",
    role="owner",
    quantity=Quantity.CPU,
    what="renewals of task leases",
    mechanism="one HTTP call for all tasks of one worker",
)
def owner_renewals_cpu(model: CapacityModel) -> float:
    """Return processor time of renewals."""
    return renew_calls_per_s(model) * model.each("http-call-cpu") * US_PER_S_TO_PERCENT


@line(
    "owner-listings-cpu",
    role="owner",
    quantity=Quantity.CPU,
    what="listings of workers, decoded and reconciled",
    mechanism="one HTTP call a worker; its answer holds all that runs there",
)
def owner_listings_cpu(model: CapacityModel) -> float:
    """Return processor time of listings; idle workers were measured at their own pace."""
    idle = listing_calls_per_s(model) * model.each("idle-worker-cpu") * IDLE_POLLS
    tasks_us = listing_calls_per_s(model) * tasks_per_worker(model) * model.each("listing-cpu")
    return idle + tasks_us * US_PER_S_TO_PERCENT


@line(
    "owner-starts-wire",
    role="owner",
    quantity=Quantity.WIRE,
    what="start calls at the peak",
    mechanism="JSON over HTTP",
)
def owner_starts_wire(model: CapacityModel) -> float:
    """Return bytes of start calls."""
    body = model.at("start-body-bytes", model.assume("start_batch"))
    return start_calls_per_s(model) * call_bytes(model, body) / KB


@line(
    "owner-renewals-wire",
    role="owner",
    quantity=Quantity.WIRE,
    what="renewals of task leases",
    mechanism="JSON over HTTP; task ids only",
)
def owner_renewals_wire(model: CapacityModel) -> float:
    """Return bytes of renewals: a call, and twice some 40 bytes a task."""
    return renew_calls_per_s(model) * call_bytes(model, 80.0 * tasks_per_worker(model)) / KB


@line(
    "owner-listings-wire",
    role="owner",
    quantity=Quantity.WIRE,
    what="listings of workers",
    mechanism="JSON over HTTP; changes since the last answer, new tasks with their specification",
)
def owner_listings_wire(model: CapacityModel) -> float:
    """Return bytes of listings: rows of changed usage, each start and each end once."""
    rows = model.at("listing-changes-bytes", tasks_per_worker(model)) * model.assume(
        "listing_share"
    )
    calls = listing_calls_per_s(model) * call_bytes(model, rows)
    a_task = model.each("listing-body-bytes") + model.assume("ended_row_bytes")
    return (calls + owned_starts_per_s(model) * a_task) / KB


@line(
    "follower-state",
    role="follower",
    quantity=Quantity.STATE,
    what="live jobs in the fold of one data centre, a day's jobs all live at once",
    mechanism="fold of the data centre's own stream",
)
def follower_state(model: CapacityModel) -> float:
    """Return live jobs."""
    return model.size.jobs_per_day / model.size.data_centres


@line(
    "follower-memory",
    role="follower",
    quantity=Quantity.MEMORY,
    what="live jobs, and the ended ones kept for questions",
    mechanism="fold of the data centre's own stream; ended jobs bounded by a constant",
)
def follower_memory(model: CapacityModel) -> float:
    """Return memory of jobs."""
    jobs = model.size.jobs_per_day / model.size.data_centres + model.assume("ended_jobs_kept")
    return jobs * model.each("job-memory") * model.assume("rss_factor") / MB


@line(
    "follower-jobs-cpu",
    role="follower",
    quantity=Quantity.CPU,
    what="accepted jobs in the busiest hour",
    mechanism="long poll of the data centre's stream, decode, fold",
)
def follower_jobs_cpu(model: CapacityModel) -> float:
    """Return processor time of accepted jobs."""
    busy = model.size.jobs_per_day * model.assume("busy_hour_share") / HOUR_S
    per_s = busy / model.size.data_centres * model.size.peak_share_factor
    return per_s * model.each("job-record-fold") * US_PER_S_TO_PERCENT


@line(
    "follower-ends-cpu",
    role="follower",
    quantity=Quantity.CPU,
    what="ended tasks at the peak",
    mechanism="one record a window and shard owner, decode, fold",
)
def follower_ends_cpu(model: CapacityModel) -> float:
    """Return processor time of ended tasks."""
    per_s = end_groups_per_s(model) * model.each("task-ends-fold")
    return per_s * US_PER_S_TO_PERCENT


@line(
    "follower-ends-wire",
    role="follower",
    quantity=Quantity.WIRE,
    what="ended tasks at the peak",
    mechanism="one record a window and shard owner, index ranges by job",
)
def follower_ends_wire(model: CapacityModel) -> float:
    """Return bytes of ended tasks."""
    return end_groups_per_s(model) * model.each("task-ends-bytes") / KB


@line(
    "follower-jobs-wire",
    role="follower",
    quantity=Quantity.WIRE,
    what="accepted jobs in the busiest hour",
    mechanism="one record a job",
)
def follower_jobs_wire(model: CapacityModel) -> float:
    """Return bytes of accepted jobs."""
    busy = model.size.jobs_per_day * model.assume("busy_hour_share") / HOUR_S
    per_s = busy / model.size.data_centres * model.size.peak_share_factor
    return per_s * model.each("job-record-bytes") / KB


@line(
    "follower-settings-wire",
    role="follower",
    quantity=Quantity.WIRE,
    what="settings changes in the busiest hour",
    mechanism="every entry host follows the one settings stream",
)
def follower_settings_wire(model: CapacityModel) -> float:
    """Return bytes of changes."""
    busy = model.size.changes_per_day * model.assume("busy_hour_share") / HOUR_S
    return busy * model.assume("change_bytes") / KB


@line(
    "follower-reads-cpu",
    role="follower",
    quantity=Quantity.CPU,
    what="long-poll reads of two streams at the peak",
    mechanism="a read answers at an append to the data centre's stream, at a least distance",
)
def follower_reads_cpu(model: CapacityModel) -> float:
    """Return processor time of reads."""
    return reads_per_s(model) * model.each("http-call-cpu") * US_PER_S_TO_PERCENT


@line(
    "follower-reads-wire",
    role="follower",
    quantity=Quantity.WIRE,
    what="long-poll reads of two streams at the peak, without the records",
    mechanism="a read answers at an append to the data centre's stream, at a least distance",
)
def follower_reads_wire(model: CapacityModel) -> float:
    """Return bytes of reads."""
    return reads_per_s(model) * call_bytes(model, 60.0) / KB


@line(
    "follower-host-list-cpu",
    role="follower",
    quantity=Quantity.CPU,
    what="the platform's list: this data centre's hosts, and all entry hosts",
    mechanism="asked for every few seconds, with rows only if they changed",
)
def follower_host_list_cpu(model: CapacityModel) -> float:
    """Return processor time of the list: the calls, since rows come some 100 times a day."""
    return host_list_calls_per_s(model) * model.each("http-call-cpu") * US_PER_S_TO_PERCENT


@line(
    "follower-host-list-wire",
    role="follower",
    quantity=Quantity.WIRE,
    what="the platform's list: this data centre's hosts, and all entry hosts",
    mechanism="asked for every few seconds, with rows only if they changed",
)
def follower_host_list_wire(model: CapacityModel) -> float:
    """Return bytes of the list: unchanged answers, and the rows after each change."""
    quiet = host_list_calls_per_s(model) * call_bytes(model, model.assume("unchanged_bytes"))
    data_centres = model.size.data_centres
    here = model.at("host-list-bytes", model.size.workers / data_centres) / data_centres
    entry_hosts = model.at("host-list-bytes", model.size.hosts_per_data_centre * data_centres)
    changes_per_s = model.assume("list_changes_per_day") / DAY_S
    return (quiet + changes_per_s * (here + entry_hosts)) / KB


def host_list_calls_per_s(model: CapacityModel) -> float:
    """Return fetches a second of one entry host."""
    return 1.0 / model.assume("host_list_every_s") + 1.0 / model.assume("entry_list_every_s")


def beats_sent_per_s(model: CapacityModel) -> float:
    """Return beats a second that one member sends."""
    peers = model.size.hosts_per_data_centre - 1
    return min(model.assume("beats_per_s"), peers / model.assume("beat_s"))


@line(
    "member-wire",
    role="member",
    quantity=Quantity.WIRE,
    what="beats to and from all members of the data centre",
    mechanism="ping and vouch for all ownables in one message a peer",
)
def member_wire(model: CapacityModel) -> float:
    """Return bytes of beats both ways."""
    return 2 * beats_sent_per_s(model) * model.each("beat-bytes") / KB


@line(
    "member-cpu",
    role="member",
    quantity=Quantity.CPU,
    what="beats to and from all members of the data centre",
    mechanism="ping and vouch for all ownables in one message a peer",
)
def member_cpu(model: CapacityModel) -> float:
    """Return processor time of beats; a slope's unit is one beat sent and one taken in."""
    return beats_sent_per_s(model) * model.each("beat-cpu") * US_PER_S_TO_PERCENT


def job_beats_sent_per_s(model: CapacityModel) -> float:
    """Return job beats a second that one member sends; their interval grows with the peers."""
    peers = model.size.hosts_per_data_centre - 1
    return peers / (model.assume("job_beat_s") + peers * model.assume("job_beat_s_per_peer"))


@line(
    "member-job-wire",
    role="member",
    quantity=Quantity.WIRE,
    what="job beats to and from all members of the data centre",
    mechanism="capacity summary and validity of assignments in one message a peer",
)
def member_job_wire(model: CapacityModel) -> float:
    """Return bytes of job beats both ways."""
    return 2 * job_beats_sent_per_s(model) * model.each("job-beat-bytes") / KB


@line(
    "member-job-cpu",
    role="member",
    quantity=Quantity.CPU,
    what="job beats to and from all members of the data centre",
    mechanism="capacity summary and validity of assignments in one message a peer",
)
def member_job_cpu(model: CapacityModel) -> float:
    """Return processor time of job beats."""
    return job_beats_sent_per_s(model) * model.each("job-beat-cpu") * US_PER_S_TO_PERCENT


@line(
    "relay-wire",
    role="relay",
    quantity=Quantity.WIRE,
    what="control traffic to other data centres in ordinary times",
    mechanism="none: settings go through the log, jobs stay in their data centre",
)
def relay_wire(model: CapacityModel) -> float:
    """Return bytes between data centres."""
    return 0.0


@line(
    "caller-memory",
    role="caller side",
    quantity=Quantity.MEMORY,
    what="waiting requests",
    mechanism="bounded queue; more are refused at once with a time to come back",
)
def caller_memory(model: CapacityModel) -> float:
    """Return memory of waiting requests."""
    return model.assume("waiting_requests") * model.assume("waiting_request_kb") / 1024.0


@line(
    "process-cpu",
    role="process",
    quantity=Quantity.CPU,
    what="an idle entry host alone in its data centre, without workers",
    mechanism="timers of all services, long polls of two streams, the platform's list, logs",
)
def process_cpu(model: CapacityModel) -> float:
    """Return processor time of an idle process."""
    return model.at("idle-worker-cpu", 0.0)


@line(
    "process-memory",
    role="process",
    quantity=Quantity.MEMORY,
    what="interpreter, libraries and an idle entry host",
    mechanism="one process, one loop",
)
def process_memory(model: CapacityModel) -> float:
    """Return resident memory of an idle process."""
    return model.at("idle-host-memory", model.size.hosts_per_data_centre)


@line(
    "log-appends",
    role="platform's log",
    quantity=Quantity.APPENDS,
    what="appends of the whole fleet at the peak",
    mechanism="group commit; each host spaces its appends by live hosts / budget",
    at_most=LOG_APPENDS_PER_S,
)
def log_appends(model: CapacityModel) -> float:
    """Return appends a second: the budget, whatever the load."""
    return model.assume("append_budget_per_s")


@line(
    "log-reads",
    role="platform's log",
    quantity=Quantity.MESSAGES,
    what="reads a second of the whole fleet at the peak",
    mechanism="appends wake the long polls of their data centre's entry hosts, at a least distance",
)
def log_reads(model: CapacityModel) -> float:
    """Return reads a second."""
    return reads_per_s(model) * model.size.entry_hosts


@line(
    "log-bytes",
    role="platform's log",
    quantity=Quantity.WIRE,
    what="records written at the peak",
    mechanism="ended tasks by index ranges; accepted jobs; changes",
)
def log_bytes(model: CapacityModel) -> float:
    """Return bytes a second appended over all streams."""
    groups = model.size.starts_per_s / model.assume("task_end_group")
    busy = model.assume("busy_hour_share") / HOUR_S
    jobs = model.size.jobs_per_day * busy * model.each("job-record-bytes")
    changes = model.size.changes_per_day * busy * model.assume("change_bytes")
    return (groups * model.each("task-ends-bytes") + jobs + changes) / KB


@line(
    "time-urgent-start",
    role="times",
    quantity=Quantity.TIME,
    what="an urgent task from acceptance to its start call, owner alive",
    mechanism="append, its reading by the shard's owner, window of appends, decision, one call",
    at_most=URGENT_START_BUDGET_S,
)
def time_urgent_start(model: CapacityModel) -> float:
    """Return seconds."""
    spacing = model.size.entry_hosts / model.assume("append_budget_per_s")
    queue = owned_starts_per_s(model) * model.assume("decision_window_s")
    decide = queue * model.at("placement-decision", owned_workers(model)) / 1e6
    wait = model.assume("log_append_s") + spacing + model.assume("decision_window_s")
    wait += model.assume("read_gap_s")
    return wait + decide + 2 * model.each("http-call-cpu") / 1e6


@line(
    "time-in-force",
    role="times",
    quantity=Quantity.TIME,
    what="a settings change from its sending to being in force everywhere, log up",
    mechanism="append window, append, long poll, fold",
    at_most=IN_FORCE_BUDGET_S,
)
def time_in_force(model: CapacityModel) -> float:
    """Return seconds."""
    spacing = model.size.entry_hosts / model.assume("append_budget_per_s")
    delay = 2 * model.assume("one_way_delay_s")
    delay += model.assume("read_gap_s")
    return model.assume("log_append_s") + spacing + delay + model.assume("poll_wait_s")


@line(
    "time-owner-dies",
    role="times",
    quantity=Quantity.TIME,
    what="an urgent task that can only run on a dead owner's workers",
    mechanism="suspicion, claim, fencing, wait for both legs, activation, listings",
    at_most=URGENT_START_BUDGET_S,
)
def time_owner_dies(model: CapacityModel) -> float:
    """Return seconds."""
    legs = model.assume("legs_s") * model.assume("clock_rate_factor")
    spacing = model.size.entry_hosts / model.assume("append_budget_per_s")
    appends = 2 * (model.assume("log_append_s") + spacing + model.assume("read_gap_s"))
    return model.assume("suspect_s") + legs + model.assume("flight_s") + appends


@line(
    "failures-entry-hosts",
    role="failures as load",
    quantity=Quantity.MESSAGES,
    what="listing calls a day after changes of owner: failed and restarted entry hosts",
    mechanism="each new owner lists all that it got before it starts anything",
)
def failures_entry_hosts(model: CapacityModel) -> float:
    """Return calls a day; entry hosts fail by their number, and all restarts are theirs."""
    hosts = model.size.workers + model.size.entry_hosts
    failed = model.size.failures_per_day * model.size.entry_hosts / hosts
    changes = failed + 2 * model.size.restarts_per_day
    return changes * owned_workers(model)


@line(
    "failures-workers",
    role="failures as load",
    quantity=Quantity.MESSAGES,
    what="task starts a day that failed workers cause",
    mechanism="leases lapse, idempotent tasks are queued again",
)
def failures_workers(model: CapacityModel) -> float:
    """Return starts a day."""
    hosts = model.size.workers + model.size.entry_hosts
    failed = model.size.failures_per_day * model.size.workers / hosts
    return failed * tasks_per_worker(model)


@line(
    "failures-rack",
    role="failures as load",
    quantity=Quantity.TIME,
    what="starts of a lost rack's tasks, at the data centre's share of the peak rate",
    mechanism="leases lapse (not counted here), then ordinary placement",
)
def failures_rack(model: CapacityModel) -> float:
    """Return seconds for a rack of eight."""
    return 8 * tasks_per_worker(model) / (model.size.starts_per_s / model.size.data_centres)


@line(
    "failures-data-centre",
    role="failures as load",
    quantity=Quantity.MESSAGES,
    what="tasks that stop with a data centre and wait for it",
    mechanism="none yet: a job lives in the data centre that accepted it",
)
def failures_data_centre(model: CapacityModel) -> float:
    """Return tasks."""
    return model.size.running_here


@line(
    "failures-cut",
    role="failures as load",
    quantity=Quantity.TIME,
    what="processor time to catch up with an hour's records at the peak rate, after a cut",
    mechanism="pages of 1000 records, decode, fold",
)
def failures_cut(model: CapacityModel) -> float:
    """Return seconds."""
    records = stream_appends_per_s(model) * HOUR_S
    groups = end_groups_per_s(model) * HOUR_S
    cost_us = records * model.at("task-ends-fold", 0.0) + groups * model.each("task-ends-fold")
    return cost_us / 1e6
