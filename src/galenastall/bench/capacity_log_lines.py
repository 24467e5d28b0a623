"""Lines of the capacity page: the platform's log, and how long things take."""

from functools import partial
from typing import Final

from galenastall.bench.capacity import (
    IN_FORCE_BUDGET_S,
    LOG_APPENDS_PER_S,
    URGENT_START_BUDGET_S,
    CapacityModel,
    Quantity,
    line,
)
from galenastall.bench.capacity_rates import (
    HOUR_S,
    KB,
    append_spacing_s,
    owned_starts_per_s,
    owned_workers,
    reads_per_s,
)

time_line: Final = partial(line, role="times", quantity=Quantity.TIME)


@line(
    "log-budget",
    role="platform's log",
    quantity=Quantity.APPENDS,
    what="budget of appends of the whole fleet, whatever the load",
    mechanism="group commit; each host spaces its appends by live hosts / budget",
    at_most=LOG_APPENDS_PER_S,
)
def append_budget(model: CapacityModel) -> float:
    """Return the most appends a second that settings allow; nothing of it is measured."""
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


@time_line(
    "time-urgent-start",
    what="an urgent task from acceptance to its start call, owner alive",
    mechanism="append, its reading by the shard's owner, window of appends, decision, one call",
    at_most=URGENT_START_BUDGET_S,
)
def time_urgent_start(model: CapacityModel) -> float:
    """Return seconds."""
    spacing = append_spacing_s(model)
    queue = owned_starts_per_s(model) * model.assume("decision_window_s")
    decide = queue * model.at("placement-decision", owned_workers(model)) / 1e6
    wait = model.assume("log_append_s") + spacing + model.assume("decision_window_s")
    wait += model.assume("read_gap_s")
    return wait + decide + 2 * model.each("http-call-cpu") / 1e6


@time_line(
    "time-in-force",
    what="a settings change from its sending to being in force everywhere, log up",
    mechanism="append window, append, long poll, fold",
    at_most=IN_FORCE_BUDGET_S,
)
def time_in_force(model: CapacityModel) -> float:
    """Return seconds."""
    spacing = append_spacing_s(model)
    delay = 2 * model.assume("one_way_delay_s")
    delay += model.assume("read_gap_s")
    return model.assume("log_append_s") + spacing + delay + model.assume("poll_wait_s")


@time_line(
    "time-owner-dies",
    what="an urgent task that can only run on a dead owner's workers",
    mechanism="suspicion, claim, fencing, wait for both legs, activation, listings",
    at_most=URGENT_START_BUDGET_S,
)
def time_owner_dies(model: CapacityModel) -> float:
    """Return seconds."""
    legs = model.assume("legs_s") * model.assume("clock_rate_factor")
    spacing = append_spacing_s(model)
    appends = 2 * (model.assume("log_append_s") + spacing + model.assume("read_gap_s"))
    return model.assume("suspect_s") + legs + model.assume("flight_s") + appends
