"""Timeline events of requests; the steps of a request are details, kept only for a share."""

from galenastall.coordination.requests.permit_types import Permit
from galenastall.node.requests.request_types import RequestAnswer, RequestCall
from galenastall.protocol.event_sink import EventSink
from galenastall.state.ids import HostId
from galenastall.state.outcomes import Outcome

ALWAYS_RECORDED: frozenset[Outcome] = frozenset({Outcome.UNKNOWN, Outcome.FAILED})
"""Outcomes whose final event is recorded for every request, whatever the share of details."""


class RequestTrace:
    """Records the steps of requests as timeline events."""

    def __init__(self, *, events: EventSink) -> None:
        """Record events into `events`."""
        self._events = events

    def queued(self, call: RequestCall, *, ahead: int) -> None:
        """Record that a request waits for a permit behind `ahead` queued requests."""
        self._events.detail(
            "request.queued",
            call.request_id,
            fields={
                "ahead": str(ahead),
                "class": call.urgency.name.lower(),
                "operation": call.operation,
                "team": call.team,
            },
        )

    def sent(self, call: RequestCall, permit: Permit, *, owner: HostId | None, number: int) -> None:
        """Record that attempt `number` is sent, with its permit and the permit's owner."""
        self._events.detail(
            "request.sent",
            call.request_id,
            peer=permit.upstream,
            fields={
                "attempt": str(number),
                "owner": owner or "",
                "epoch": str(permit.epoch),
                "permit": permit.permit_id,
            },
        )

    def answered(self, call: RequestCall, permit: Permit, outcome: Outcome, cause: str) -> None:
        """Record how an attempt ended; `done` is covered by the request's end, which follows."""
        if outcome is Outcome.DONE:
            return
        self._events.detail(
            "request.answered",
            call.request_id,
            peer=permit.upstream,
            cause=cause,
            fields={"outcome": outcome.value},
        )

    def retried(self, call: RequestCall, upstream: HostId, cause: str) -> None:
        """Record that another attempt follows."""
        self._events.detail("request.retried", call.request_id, peer=upstream, cause=cause)

    def passed_over(self, call: RequestCall, permit: Permit, cause: str) -> None:
        """Record that a permit is released unused."""
        self._events.detail(
            "request.passed_over", call.request_id, peer=permit.upstream, cause=cause
        )

    def ended(self, call: RequestCall, answer: RequestAnswer, *, attempts: int) -> None:
        """Record the final answer; unknown and failed ones are recorded for every request."""
        fields = {"outcome": answer.outcome.value, "attempts": str(attempts), "team": call.team}
        if answer.retry_after_s is not None:
            fields["retry_after_s"] = f"{answer.retry_after_s:.2f}"
        step = "request.ended"
        if answer.outcome is Outcome.NOT_RUN and not attempts:
            step = "request.refused"
        cause = answer.reason.value or answer.detail
        if answer.detail:
            fields["detail"] = answer.detail
        if answer.outcome in ALWAYS_RECORDED:
            self._events.record(
                step,
                peer=answer.upstream,
                subjects=(call.request_id,),
                cause=cause,
                fields=fields,
            )
            return
        self._events.detail(step, call.request_id, peer=answer.upstream, cause=cause, fields=fields)

    def refused(self, answer: RequestAnswer) -> None:
        """Record a refusal made before the request was read completely."""
        fields = {"outcome": answer.outcome.value}
        if answer.retry_after_s is not None:
            fields["retry_after_s"] = f"{answer.retry_after_s:.2f}"
        cause = answer.detail or answer.reason.value
        self._events.detail("request.refused", answer.request_id, cause=cause, fields=fields)

    def withdrawn(self, call: RequestCall, answer: RequestAnswer) -> None:
        """Record that the caller disconnected or this process was stopped before an answer."""
        self._events.record(
            "request.withdrawn",
            peer=answer.upstream,
            subjects=(call.request_id,),
            fields={"outcome": answer.outcome.value},
        )
