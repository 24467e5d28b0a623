"""Log line and metrics of the limits on clients."""

from collections.abc import Callable

from galenastall.transport.client_limits import ClientLimits
from galenastall.transport.connection_budget import ConnectionBudget, Limit
from galenastall.transport.logs import Level, Recorder
from galenastall.transport.metrics import Metrics


def make_budget(
    *, limits: Callable[[], ClientLimits], recorder: Recorder, metrics: Metrics
) -> ConnectionBudget:
    """Return the budget of a process, which reports in its log and its metrics."""
    limited = metrics.counter(
        "galenastall_limited_clients",
        "Requests refused and connections closed for a limit on clients, by the limit.",
        labels=["limit"],
    )

    def report(limit: Limit, count: int) -> None:
        limited.add(count, limit.value)
        fields = {
            "count": str(count),
            "connections": str(budget.connections),
            "held_bytes": str(budget.held_bytes),
        }
        recorder.record("client.limited", cause=limit.value, fields=fields, level=Level.WARNING)

    budget = ConnectionBudget(limits=limits, on_limited=report)
    metrics.gauge(
        "galenastall_client_connections",
        "Open connections of clients.",
        lambda: float(budget.connections),
    )
    metrics.gauge(
        "galenastall_client_held_bytes",
        "Bytes that unfinished requests and responses hold.",
        lambda: float(budget.held_bytes),
    )
    return budget
