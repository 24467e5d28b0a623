"""Responses to requests with a key, cached for repeats by the entry host that ran them."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from galenastall.state.ids import RequestId

MAX_BYTES: Final = 16 * 1024 * 1024
"""Total size of all responses; the oldest are evicted first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedAnswer:
    """A complete response."""

    content_type: str
    body: bytes


class AnswerCache:
    """Bounded cache of responses by request."""

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._size = 0
        self._answers_by_request: OrderedDict[RequestId, CachedAnswer] = OrderedDict()

    def put(self, *, request_id: RequestId, answer: CachedAnswer) -> None:
        """Cache a response, unless it alone exceeds the size of the cache."""
        if len(answer.body) > self._max_bytes or request_id in self._answers_by_request:
            return
        self._answers_by_request[request_id] = answer
        self._size += len(answer.body)
        while self._size > self._max_bytes:
            _, dropped = self._answers_by_request.popitem(last=False)
            self._size -= len(dropped.body)

    def get(self, request_id: RequestId) -> CachedAnswer | None:
        """Return the response, or None if it is not cached."""
        return self._answers_by_request.get(request_id)
