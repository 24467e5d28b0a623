"""Rates that several lines of the capacity page rest on, and the units of the page."""

from typing import Final

from galenastall.bench.capacity import CapacityModel

MB: Final = 2**20
KB: Final = 1000.0
DAY_S: Final = 86_400.0
HOUR_S: Final = 3600.0
US_PER_S_TO_PERCENT: Final = 1e-4
"""Microseconds of processor time a second, as per cent of a core."""
CALL_BODY_BYTES: Final = 200
"""Body of the calls that the slope of call bytes was measured with."""


def append_spacing_s(model: CapacityModel) -> float:
    """Return the time between two appends of one entry host within the fleet's budget."""
    return model.size.entry_hosts / model.assume("append_budget_per_s")


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


def beats_sent_per_s(model: CapacityModel) -> float:
    """Return beats a second that one member sends."""
    peers = model.size.hosts_per_data_centre - 1
    return min(model.assume("beats_per_s"), peers / model.assume("beat_s"))


def job_beats_sent_per_s(model: CapacityModel) -> float:
    """Return job beats a second that one member sends; their interval grows with the peers."""
    peers = model.size.hosts_per_data_centre - 1
    return peers / (model.assume("job_beat_s") + peers * model.assume("job_beat_s_per_peer"))


def host_list_calls_per_s(model: CapacityModel) -> float:
    """Return fetches a second of one entry host."""
    return 1.0 / model.assume("host_list_every_s") + 1.0 / model.assume("entry_list_every_s")
