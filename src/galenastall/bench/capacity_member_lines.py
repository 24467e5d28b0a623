"""Lines of the capacity page: a member among its peers, its callers, and the process itself."""

from functools import partial
from typing import Final

from galenastall.bench.capacity import CapacityModel, Quantity, line
from galenastall.bench.capacity_rates import (
    KB,
    US_PER_S_TO_PERCENT,
    beats_sent_per_s,
    job_beats_sent_per_s,
)

beat_line: Final = partial(
    line,
    role="member",
    what="beats to and from all members of the data centre",
    mechanism="ping and vouch for all ownables in one message a peer",
)
job_beat_line: Final = partial(
    line,
    role="member",
    what="job beats to and from all members of the data centre",
    mechanism="capacity summary and validity of assignments in one message a peer",
)


@beat_line("member-wire", quantity=Quantity.WIRE)
def member_wire(model: CapacityModel) -> float:
    """Return bytes of beats both ways."""
    return 2 * beats_sent_per_s(model) * model.each("beat-bytes") / KB


@beat_line("member-cpu", quantity=Quantity.CPU)
def member_cpu(model: CapacityModel) -> float:
    """Return processor time of beats; a slope's unit is one beat sent and one taken in."""
    return beats_sent_per_s(model) * model.each("beat-cpu") * US_PER_S_TO_PERCENT


@job_beat_line("member-job-wire", quantity=Quantity.WIRE)
def member_job_wire(model: CapacityModel) -> float:
    """Return bytes of job beats both ways."""
    return 2 * job_beats_sent_per_s(model) * model.each("job-beat-bytes") / KB


@job_beat_line("member-job-cpu", quantity=Quantity.CPU)
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
