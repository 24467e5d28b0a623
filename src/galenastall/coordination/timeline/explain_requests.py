"""Sentences about requests."""

from galenastall.coordination.timeline.explain import SENTENCES, cause_clause
from galenastall.state.timeline import TimelineEvent


@SENTENCES.register("request.queued")
def _queued(event: TimelineEvent) -> str:
    fields = event.fields
    ahead = fields.get("ahead", "0")
    place = "with nothing ahead of it" if ahead == "0" else f"with {ahead} ahead of it"
    return (
        f"{event.process} queued the request for {fields.get('operation')} of team "
        f"{fields.get('team')} in class {fields.get('class')}, {place}"
    )


@SENTENCES.register("request.passed_over")
def _passed_over(event: TimelineEvent) -> str:
    return f"{event.process} gave the permit for {event.peer} back unused{cause_clause(event)}"


@SENTENCES.register("request.sent")
def _sent(event: TimelineEvent) -> str:
    owner = event.fields.get("owner") or "an owner that is gone"
    whose = "a permit of its own" if owner == event.process else f"a permit from {owner}"
    return (
        f"{event.process} sent attempt {event.fields.get('attempt')} to {event.peer} under "
        f"{whose}, epoch {event.fields.get('epoch')}"
    )


@SENTENCES.register("request.answered")
def _answered(event: TimelineEvent) -> str:
    outcome = _outcome_text(event.fields.get("outcome"))
    return f"the attempt at {event.peer} came out as {outcome}{_because_of(event)}"


@SENTENCES.register("request.retried")
def _retried(event: TimelineEvent) -> str:
    return f"{event.process} tried once more after {event.peer}{_because_of(event)}"


@SENTENCES.register("request.refused")
def _refused(event: TimelineEvent) -> str:
    return (
        f"{event.process} refused the request{_because_of(event)}, and it was not run"
        f"{_retry_clause(event)}"
    )


@SENTENCES.register("request.ended")
def _ended(event: TimelineEvent) -> str:
    attempts = event.fields.get("attempts", "0")
    times = "1 attempt" if attempts == "1" else f"{attempts} attempts"
    outcome = _outcome_text(event.fields.get("outcome"))
    return (
        f"{event.process} answered the caller: {outcome}, after {times}{_because_of(event)}"
        f"{_retry_clause(event)}"
    )


@SENTENCES.register("request.withdrawn")
def _withdrawn(event: TimelineEvent) -> str:
    ran = "it was not run" if event.fields.get("outcome") == "not_run" else "it may have run"
    return f"the caller or {event.process} cancelled the request, and {ran}"


def _outcome_text(outcome: str | None) -> str:
    return (outcome or "unknown").replace("_", " ")


def _because_of(event: TimelineEvent) -> str:
    return f" because of {event.cause.replace('_', ' ')}" if event.cause else ""


def _retry_clause(event: TimelineEvent) -> str:
    after_s = event.fields.get("retry_after_s")
    return f"; the caller may come again after {after_s} s" if after_s else ""
