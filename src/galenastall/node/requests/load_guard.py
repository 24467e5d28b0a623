"""Refuses new requests before any other processing while the event loop is late.

It runs before routes, settings and records are consulted, so a refusal costs little more than the
bytes of its response.
"""

import math
from collections.abc import Iterable
from typing import Any, Final

import trio

from galenastall.coordination.requests.load_shed import LoadShedder
from galenastall.node.requests.http_requests import (
    OUTCOME,
    REASON,
    REQUEST_ID,
    RETRY_AFTER_MS,
    STATUS_BY_REASON,
)
from galenastall.node.requests.request_types import RequestAnswer, RequestCounters, RequestReason
from galenastall.protocol.clock import Clock
from galenastall.state.ids import RequestId
from galenastall.state.outcomes import Outcome
from galenastall.transport.http_messages import HttpResponse

SAMPLE_S: Final = 0.01
"""Interval between two measurements of the loop's lateness."""
IDLE_SAMPLE_S: Final = 0.1
"""The same after IDLE_AFTER_S without requests, so that an idle host costs little."""
IDLE_AFTER_S: Final = 1.0
MIN_RETRY_S: Final = 0.2
RETRY_SPAN_S: Final = 2.0
"""Added to MIN_RETRY_S, multiplied by the refused share."""

_PATH_PREFIX: Final = b"/v1/requests/"
_URGENT_HEADER: Final = (b"galenastall-class", b"urgent")
_REQUEST_ID: Final = REQUEST_ID.encode()


class LoadGuard:
    """Measures the event loop's lateness and refuses requests when it is overloaded."""

    def __init__(
        self, *, clock: Clock, counters: RequestCounters, shedder: LoadShedder | None = None
    ) -> None:
        """Count refusals in `counters`, like those of the queue."""
        self._clock = clock
        self._counters = counters
        self.shedder = shedder or LoadShedder()
        self._last_request_at = clock.now()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Measure until cancelled."""
        task_status.started()
        before = self._clock.now()
        while True:
            is_idle = before - self._last_request_at > IDLE_AFTER_S
            sample_s = IDLE_SAMPLE_S if is_idle else SAMPLE_S
            await trio.sleep(sample_s)
            now = self._clock.now()
            span_s = now - before
            self.shedder.note(late_s=max(0.0, span_s - sample_s), span_s=span_s)
            before = now

    def check(self, scope: Any, open_requests: int) -> HttpResponse | None:
        """Return the response if the request is refused, or None to process it."""
        if scope["method"] != "POST" or not scope["raw_path"].startswith(_PATH_PREFIX):
            return None
        self._last_request_at = self._clock.now()
        urgent = _URGENT_HEADER in scope["headers"]
        if not self.shedder.refuses(urgent=urgent, open_requests=open_requests):
            return None
        return self._refusal(scope["headers"])

    def _refusal(self, headers: Iterable[tuple[bytes, bytes]]) -> HttpResponse:
        reason = RequestReason.OVERLOADED
        answer = RequestAnswer(request_id=RequestId(""), outcome=Outcome.NOT_RUN, reason=reason)
        self._counters.ended(answer)
        retry_s = MIN_RETRY_S + RETRY_SPAN_S * self.shedder.share
        response_headers = {
            OUTCOME: answer.outcome.value,
            REASON: reason.value,
            "retry-after": str(math.ceil(retry_s)),
            RETRY_AFTER_MS: str(math.ceil(retry_s * 1000)),
        }
        for name, value in headers:
            if name == _REQUEST_ID:
                response_headers[REQUEST_ID] = value.decode("latin-1")
        return HttpResponse(status=STATUS_BY_REASON[reason], headers=response_headers)
