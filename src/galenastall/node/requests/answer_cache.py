"""Answers of requests with a key, kept a while by the entry host that ran them, for repeats."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from galenastall.state.ids import RequestId

MAX_BYTES: Final = 16 * 1024 * 1024
"""All answers together; the oldest go first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedAnswer:
    """A whole answer."""

    content_type: str
    body: bytes


class AnswerCache:
    """Bounded memory of answers by the request that got them."""

    def __init__(self, *, max_bytes: int = MAX_BYTES) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._size = 0
        self._answers_by_request: OrderedDict[RequestId, CachedAnswer] = OrderedDict()

    def put(self, *, request_id: RequestId, answer: CachedAnswer) -> None:
        """Keep an answer, unless it is larger than all that may be kept."""
        if len(answer.body) > self._max_bytes or request_id in self._answers_by_request:
            return
        self._answers_by_request[request_id] = answer
        self._size += len(answer.body)
        while self._size > self._max_bytes:
            _, dropped = self._answers_by_request.popitem(last=False)
            self._size -= len(dropped.body)

    def get(self, request_id: RequestId) -> CachedAnswer | None:
        """Return the answer, or None if it is not kept."""
        return self._answers_by_request.get(request_id)
