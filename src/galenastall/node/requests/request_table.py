"""Status of the most recent requests of this entry host, by the caller's id."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from galenastall.node.requests.request_types import RequestAnswer, RequestReason
from galenastall.state.ids import HostId, RequestId
from galenastall.state.outcomes import Outcome

MAX_REQUESTS: Final = 10_000
"""Requests kept; the oldest are evicted first."""


@dataclass(slots=True)
class RequestStatus:
    """Status of a request; `outcome` is None while it is in progress."""

    request_id: RequestId
    state: str = "waiting"
    """`waiting`, `sent` or `ended`."""
    outcome: Outcome | None = None
    reason: RequestReason = RequestReason.NONE
    upstream: HostId = HostId("")
    attempts: int = 0


class RequestTable:
    """Bounded table of requests, for the status route."""

    def __init__(self, *, max_requests: int = MAX_REQUESTS) -> None:
        """Start empty."""
        self._max_requests = max_requests
        self._statuses_by_id: OrderedDict[RequestId, RequestStatus] = OrderedDict()

    def open(self, request_id: RequestId) -> RequestStatus:
        """Add a request; it replaces an earlier one with the same id."""
        status = RequestStatus(request_id)
        self._statuses_by_id[request_id] = status
        if len(self._statuses_by_id) > self._max_requests:
            self._statuses_by_id.popitem(last=False)
        return status

    def close(self, status: RequestStatus, answer: RequestAnswer) -> None:
        """Record the final answer."""
        status.state = "ended"
        status.outcome = answer.outcome
        status.reason = answer.reason
        status.attempts = answer.attempts

    def get(self, request_id: RequestId) -> RequestStatus | None:
        """Return the status of a request, or None if it is not known here."""
        return self._statuses_by_id.get(request_id)
