"""Metrics of an entry host of a cell, in addition to the counts of its log events."""

from galenastall.node.cell.cell_host import CellHost
from galenastall.transport.metrics import Histogram, Metrics

_MILLISECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class CellMetrics:
    """Registers an entry host's histograms and gauges."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Create the histograms; `watch` adds the gauges."""
        self._metrics = metrics
        self.submit_seconds: Histogram = metrics.histogram(
            "galenastall_submit_seconds",
            "From reading a submission to its answer, by verdict.",
            labels=["verdict"],
            bounds=_MILLISECONDS,
        )
        self.query_seconds: Histogram = metrics.histogram(
            "galenastall_query_seconds",
            "From the arrival of a query or cancellation to its response, by status.",
            labels=["status"],
            bounds=_MILLISECONDS,
        )

    def watch(self, host: CellHost) -> None:
        """Register gauges that read the state of `host` at each scrape."""
        gauge = self._metrics.gauge
        leadership = host.leadership
        gauge(
            "galenastall_leading", "1 while this host leads.", lambda: float(leadership.is_leading)
        )
        gauge("galenastall_leader_token", "Token of the leader heard.", lambda: leadership.token)
        gauge(
            "galenastall_config_version",
            "Version of the configuration in force here.",
            lambda: float(host.config.config.version if host.config.config else 0),
        )
        gauge("galenastall_jobs", "Jobs that the leader knows.", lambda: leadership.job_count)
        gauge(
            "galenastall_executors",
            "Executors that the leader knows.",
            lambda: leadership.executor_count,
        )
        gauge(
            "galenastall_append_seconds",
            "How long the leader's last append took.",
            lambda: leadership.last_append_s,
        )
        gauge(
            "galenastall_waiting_steps",
            "Steps that wait, by what kept the last decision from starting them.",
            lambda: {(reason,): float(n) for reason, n in leadership.waiting_by_reason.items()},
            labels=["reason"],
        )
        gauge(
            "galenastall_workspace_cores",
            "Cores that the leader counts for what a workspace may have running.",
            lambda: {
                (name,): used.cores_milli / 1000.0
                for name, used in leadership.used_by_workspace.items()
            },
            labels=["workspace"],
        )
        gauge(
            "galenastall_workspace_share",
            "Use of a workspace as a multiple of what its weight entitles it to; smoothed.",
            lambda: {(name,): share for name, share in leadership.share_by_workspace.items()},
            labels=["workspace"],
        )
        gauge(
            "galenastall_workspace_limit_cores",
            "Cores that a workspace may have at once, by the configuration here; 0 is no limit.",
            lambda: {
                (workspace.name,): workspace.limit.cores_milli / 1000.0
                for workspace in (host.config.config.workspaces if host.config.config else ())
            },
            labels=["workspace"],
        )
        gauge(
            "galenastall_stopped_runs",
            "Runs that this host has stopped in its term as leader; a gang's run counts once.",
            lambda: {(rule,): float(n) for rule, n in leadership.stopped_by_rule.items()},
            labels=["rule"],
        )
