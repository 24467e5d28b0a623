"""Gauges of all services of an entry host; read at each scrape, so they cost nothing between."""

from dataclasses import fields
from functools import partial
from typing import Final

from galenastall.node.jobs.job_subsystem import JobSubsystem
from galenastall.node.log.log_service import LogClient
from galenastall.node.memory_watch import MemoryWatch
from galenastall.node.ownership.ownership_service import OwnershipService
from galenastall.node.requests.request_side import RequestSide
from galenastall.state.ids import split_ownable_id
from galenastall.transport.link_faults import DroppedCounters
from galenastall.transport.metrics import Metrics
from galenastall.transport.peer_link import ZmqPeerLink

Labels = tuple[str, ...]
DROPPED: Final = tuple(field.name for field in fields(DroppedCounters))


def register_host_metrics(
    *,
    metrics: Metrics,
    link: ZmqPeerLink,
    log_client: LogClient,
    ownership: OwnershipService,
    request_side: RequestSide,
    job_subsystem: JobSubsystem,
    memory: MemoryWatch,
) -> None:
    """Register the services' counters as gauges; the guide's page on metrics describes each."""
    _register_link(metrics, link)
    _register_log(metrics, log_client)
    _register_ownership(metrics, ownership)
    _register_requests(metrics, request_side)
    _register_jobs(metrics, job_subsystem)
    metrics.gauge(
        "galenastall_resident_mb", "resident memory in mebibytes", lambda: memory.resident_mb
    )


def owned_by_kind(ownership: OwnershipService) -> dict[str, int]:
    """Return how many ownables of each kind this entry host owns."""
    counts: dict[str, int] = {}
    for ownable in ownership.owned():
        kind, _ = split_ownable_id(ownable)
        counts[kind.value] = counts.get(kind.value, 0) + 1
    return counts


def _register_link(metrics: Metrics, link: ZmqPeerLink) -> None:
    def traffic(field: str) -> dict[Labels, float]:
        return {(peer,): getattr(each, field) for peer, each in link.counters_by_id.items()}

    for field in ("messages_out", "messages_in", "bytes_out", "bytes_in"):
        metrics.gauge(
            f"galenastall_peer_{field}",
            f"{field.replace('_', ' ')} since start, by peer",
            partial(traffic, field),
            labels=("peer",),
        )
    metrics.gauge(
        "galenastall_peer_refused_connections",
        "connections of hosts without an allowed key",
        lambda: float(link.refused_connections),
    )
    metrics.gauge(
        "galenastall_peer_refused_keys",
        "the same by IP number and public key",
        lambda: {peer: float(count) for peer, count in link.refused_by_peer.items()},
        labels=("address", "key"),
    )
    for field in DROPPED:
        metrics.gauge(
            f"galenastall_peer_dropped_{field}",
            f"peer messages dropped: {field.replace('_', ' ')}",
            partial(getattr, link.dropped, field),
        )


def _register_log(metrics: Metrics, log_client: LogClient) -> None:
    def offsets() -> dict[Labels, float]:
        followers = log_client.followers_by_stream
        return {(stream,): float(each.next_offset) for stream, each in followers.items()}

    metrics.gauge("galenastall_log_next_offset", "next offset to fold", offsets, labels=("stream",))
    metrics.gauge(
        "galenastall_log_appends",
        "appends to the log since start",
        lambda: float(log_client.appender.appends),
    )
    metrics.gauge(
        "galenastall_log_queued",
        "records that wait for an append",
        lambda: float(log_client.appender.queued),
    )
    metrics.gauge(
        "galenastall_log_unresolved",
        "records sent of which nobody knows yet whether they were appended",
        lambda: float(len(log_client.appender.unresolved)),
    )
    metrics.gauge(
        "galenastall_log_up",
        "1 if the last call to the log succeeded",
        lambda: float(log_client.appender.is_log_up),
    )


def _register_ownership(metrics: Metrics, ownership: OwnershipService) -> None:
    def owned() -> dict[Labels, float]:
        return {(kind,): float(count) for kind, count in owned_by_kind(ownership).items()}

    metrics.gauge("galenastall_owned", "what this host owns, by kind", owned, labels=("kind",))
    metrics.gauge(
        "galenastall_roster", "live members of the data centre", lambda: len(ownership.roster())
    )
    metrics.gauge(
        "galenastall_log_leg",
        "1 if the log's tip was read recently enough to act on",
        lambda: float(ownership.has_log_confirmation),
    )


def _register_requests(metrics: Metrics, side: RequestSide) -> None:
    counters = side.requests.counters

    def outcomes() -> dict[Labels, float]:
        return {(outcome.value,): count for outcome, count in counters.ended_by_outcome.items()}

    def refusals() -> dict[Labels, float]:
        return {(reason.value,): count for reason, count in counters.refused_by_reason.items()}

    metrics.gauge(
        "galenastall_requests_ended", "requests by outcome", outcomes, labels=("outcome",)
    )
    metrics.gauge(
        "galenastall_requests_refused", "requests not run, by reason", refusals, labels=("reason",)
    )
    metrics.gauge("galenastall_requests_waiting", "requests queued", lambda: side.requests.waiting)
    metrics.gauge(
        "galenastall_requests_in_progress",
        "requests without a final answer",
        lambda: side.requests.in_progress,
    )
    for name in (
        "retries",
        "retries_denied",
        "foreign_answers",
        "cut_answers",
        "broken_streams",
        "void_permits",
    ):
        metrics.gauge(
            f"galenastall_requests_{name}",
            f"{name.replace('_', ' ')} since start",
            partial(getattr, counters, name),
        )


def _register_jobs(metrics: Metrics, job_subsystem: JobSubsystem) -> None:
    def waiting() -> dict[Labels, float]:
        by_class = job_subsystem.core.summary().waiting_by_class
        return {(name,): float(count) for name, count in by_class.items()}

    metrics.gauge("galenastall_tasks_waiting", "tasks queued here", waiting, labels=("class",))
    metrics.gauge(
        "galenastall_tasks_placed",
        "tasks that hold capacity on owned workers",
        lambda: float(job_subsystem.core.summary().running),
    )
    metrics.gauge(
        "galenastall_job_shards",
        "job shards driven here",
        lambda: len(job_subsystem.jobs.drivers_by_shard),
    )
