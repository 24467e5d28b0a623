"""Requests with an idempotency key: record the intent, run the request, record its end."""

from galenastall.coordination.requests.keys import KeyAnswer, KeyVerdict
from galenastall.node.requests.answer_cache import CachedAnswer
from galenastall.node.requests.key_service import KeyService
from galenastall.node.requests.request_service import RequestService
from galenastall.node.requests.request_types import RequestAnswer, RequestCall, RequestReason
from galenastall.protocol.clock import Clock
from galenastall.state.ids import DataCentre, RequestId
from galenastall.state.key_fold import KeyEntry
from galenastall.state.outcomes import Outcome

IN_PROGRESS_RETRY_S = 1.0
NOT_DURABLE_RETRY_S = 2.0
NO_HOME = DataCentre("")


class KeyedRequests:
    """Runs a request at most once per key, whichever entry host receives it."""

    def __init__(
        self,
        *,
        data_centre: DataCentre,
        clock: Clock,
        keys: KeyService,
        requests: RequestService,
    ) -> None:
        """Use `requests` to run the requests that a key's owner permits."""
        self._data_centre = data_centre
        self._clock = clock
        self._keys = keys
        self._requests = requests

    async def submit(self, call: RequestCall) -> RequestAnswer:
        """Run the request, or answer with the outcome of its key's first request.

        The body must be complete, since repeats are recognised by its digest.
        """
        if not call.key:
            return await self._requests.submit(call)
        reserved = await self._reserve(call)
        if isinstance(reserved, RequestAnswer):
            return self._requests.record_answer(call, reserved)
        return await self._run(call, reserved)

    async def _reserve(self, call: RequestCall) -> RequestAnswer | RequestId:
        """Reserve the key; return the run's id once it may be sent, else the final answer."""
        checked = self._keys.check(call.key)
        made = checked.value_or(None)
        if made is None:
            detail = checked.failure().detail
            return _answer(call, Outcome.NOT_RUN, RequestReason.KEY_REFUSED, detail=detail)
        made_at, home = made
        if home != self._data_centre:
            return _answer(call, Outcome.NOT_RUN, RequestReason.KEY_HOME_ELSEWHERE, home=home)
        refused = self._requests.refusal(call)
        if refused is not None:
            return refused
        assert isinstance(call.body, bytes)
        run_id = self._requests.next_ticket()
        reserved = await self._keys.reserve(
            key=call.key,
            operation=call.operation,
            body=call.body,
            request_id=run_id,
            made_at=made_at,
            ends_at=self._clock.wall() + call.deadline - self._clock.now(),
        )
        answer = reserved.value_or(None)
        if answer is None:
            return _answer(
                call,
                Outcome.NOT_RUN,
                RequestReason.KEY_NOT_DURABLE,
                detail=str(reserved.failure()),
                retry_after_s=NOT_DURABLE_RETRY_S,
            )
        if answer.verdict is not KeyVerdict.GO:
            return await self._answer_repeat(call, answer)
        return run_id

    async def _run(self, call: RequestCall, run_id: RequestId) -> RequestAnswer:
        outcome, status = Outcome.UNKNOWN, 0
        try:
            answer = await self._requests.submit(call)
            outcome, status = answer.outcome, answer.status
        finally:
            self._keys.ended(key=call.key, request_id=run_id, outcome=outcome, status=status)
        if answer.outcome is Outcome.DONE and isinstance(answer.body, bytes):
            kept = CachedAnswer(content_type=answer.content_type, body=answer.body)
            self._keys.answer_cache.put(request_id=run_id, answer=kept)
        return answer

    async def _answer_repeat(self, call: RequestCall, answer: KeyAnswer) -> RequestAnswer:
        first = answer.first
        match answer.verdict:
            case KeyVerdict.MISMATCH:
                detail = "this key was used before with another operation or body"
                return _answer(call, Outcome.NOT_RUN, RequestReason.KEY_MISMATCH, detail=detail)
            case KeyVerdict.IN_PROGRESS:
                return _answer(
                    call,
                    Outcome.UNKNOWN,
                    RequestReason.IN_PROGRESS,
                    retry_after_s=IN_PROGRESS_RETRY_S,
                )
            case KeyVerdict.REPEAT if first is not None:
                return await self._answer_ended(call, first)
        return _answer(call, Outcome.UNKNOWN, RequestReason.REPEAT)

    async def _answer_ended(self, call: RequestCall, first: KeyEntry) -> RequestAnswer:
        outcome = first.outcome or Outcome.UNKNOWN
        if outcome is not Outcome.DONE:
            return _answer(call, outcome, RequestReason.REPEAT, status=first.status)
        kept = await self._keys.fetch(first)
        if kept is None:
            return _answer(call, outcome, RequestReason.ANSWER_NOT_KEPT, status=first.status)
        return RequestAnswer(
            request_id=call.request_id,
            outcome=outcome,
            reason=RequestReason.REPEAT,
            status=first.status,
            content_type=kept.content_type,
            body=kept.body,
        )


def _answer(
    call: RequestCall,
    outcome: Outcome,
    reason: RequestReason,
    *,
    detail: str = "",
    status: int = 0,
    retry_after_s: float | None = None,
    home: DataCentre = NO_HOME,
) -> RequestAnswer:
    return RequestAnswer(
        request_id=call.request_id,
        outcome=outcome,
        reason=reason,
        detail=detail,
        status=status,
        retry_after_s=retry_after_s,
        home=home,
    )
