"""Lines of the capacity page: what an owner of workers has and does."""

from galenastall.bench.capacity import CapacityModel, Quantity, line
from galenastall.bench.capacity_rates import (
    KB,
    MB,
    US_PER_S_TO_PERCENT,
    call_bytes,
    listing_calls_per_s,
    owned_starts_per_s,
    owned_tasks,
    owned_workers,
    renew_calls_per_s,
    start_calls_per_s,
    tasks_per_worker,
)
from galenastall.node.placement.worker_watch import IDLE_POLLS


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
