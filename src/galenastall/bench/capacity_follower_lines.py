"""Lines of the capacity page: what each follower of the log and of the host list does."""

from galenastall.bench.capacity import CapacityModel, Quantity, line
from galenastall.bench.capacity_rates import (
    DAY_S,
    HOUR_S,
    KB,
    MB,
    US_PER_S_TO_PERCENT,
    call_bytes,
    end_groups_per_s,
    host_list_calls_per_s,
    reads_per_s,
)


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
