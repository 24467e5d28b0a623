"""Executions by request and by body, to count duplicate runs."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from galenastall.standin.history import History
from galenastall.state.ids import AttemptId, HostId, RequestId

MAX_RECORDS: Final = 200_000
"""Executions kept; the oldest are dropped first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """One run of a request."""

    request_id: RequestId
    attempt_id: AttemptId
    epoch: int
    host: HostId
    body_digest: str
    """Equal for requests with equal bodies, even with different request ids."""
    started_at: float
    """Wall time in seconds."""


@dataclass(kw_only=True, slots=True)
class ExecutorCounters:
    """Counters of the calls to an executor."""

    calls: int = 0
    runs: int = 0
    failed: int = 0
    refused_full: int = 0
    refused_past_not_after: int = 0
    past_not_after: int = 0
    """Calls that began past their not-after time, refused or not."""
    answers_dropped: int = 0
    answers_cut: int = 0
    answers_late: int = 0
    over_connections: int = 0
    """Calls beyond the executor's connection limit."""
    peak_connections: int = 0
    broken_connections: int = 0
    """Connections ended by a client's reset or protocol error."""
    peak_busy: int = 0
    calls_while_leaving: int = 0


class ExecutionLog:
    """Executions of all executors."""

    def __init__(self) -> None:
        self.records: History[Execution] = History(keep=MAX_RECORDS)
        self._runs_by_request: Counter[str] = Counter()
        self._runs_by_body: Counter[str] = Counter()

    def add(self, execution: Execution) -> None:
        """Record one run."""
        self.records.add(execution)
        self._runs_by_request[execution.request_id] += 1
        self._runs_by_body[execution.body_digest] += 1

    def runs_of(self, request_id: str) -> int:
        """Return how often a request ran."""
        return self._runs_by_request[request_id]

    def repeated_requests(self) -> dict[str, int]:
        """Return runs by request id where there was more than one."""
        return _repeated(self._runs_by_request.items())

    def repeated_bodies(self) -> dict[str, int]:
        """Return runs by body digest where there was more than one."""
        return _repeated(self._runs_by_body.items())


def _repeated(counts: Iterable[tuple[str, int]]) -> dict[str, int]:
    return {key: count for key, count in counts if count > 1}
