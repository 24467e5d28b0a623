"""Lines of the capacity page: failures of an ordinary day, taken as load."""

from galenastall.bench.capacity import CapacityModel, Quantity, line
from galenastall.bench.capacity_rates import (
    HOUR_S,
    end_groups_per_s,
    owned_workers,
    stream_appends_per_s,
    tasks_per_worker,
)


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
