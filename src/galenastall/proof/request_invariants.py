"""Invariants of requests: complete and correct answers, at-most-once, planned stops, leaving."""

from collections.abc import Iterator

from galenastall.proof.checker import INVARIANTS, Bounds, Finding
from galenastall.proof.history import (
    History,
    PlannedStop,
    RequestAnswered,
    RequestCut,
    RequestSent,
    RunBegan,
    RunClosed,
    UpstreamLeaving,
)
from galenastall.state.ids import RequestId
from galenastall.state.outcomes import Outcome


def _sent_by_id(history: History) -> dict[RequestId, RequestSent]:
    return {event.request_id: event for event in history.of(RequestSent)}


@INVARIANTS.register("answers-whole-and-own")
def answers_whole_and_own(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that each answer names its request, comes once and, if done, has the right body."""
    sent_by_id = _sent_by_id(history)
    seen: dict[RequestId, RequestAnswered] = {}
    for answer in history.of(RequestAnswered):
        sent = sent_by_id.get(answer.request_id)
        if sent is None:
            yield f"answer to {answer.request_id}, which was never sent", (answer,)
            continue
        if answer.request_id in seen:
            yield f"{answer.request_id} was answered twice", (seen[answer.request_id], answer)
        seen[answer.request_id] = answer
        if answer.answered_id != answer.request_id:
            yield f"{answer.request_id} got the answer to {answer.answered_id}", (sent, answer)
        if answer.outcome is Outcome.DONE and answer.digest != sent.expected_digest:
            yield f"{answer.request_id} got an incorrect or incomplete body", (sent, answer)


@INVARIANTS.register("done-did-run")
def done_did_run(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that a request answered as done was begun by some executor under its id or its key."""
    sent_by_id = _sent_by_id(history)
    ran = {run.request_id for run in history.of(RunBegan)}
    ran_keys = {sent.key for sent in sent_by_id.values() if sent.key and sent.request_id in ran}
    for answer in history.of(RequestAnswered):
        if answer.outcome is not Outcome.DONE or answer.request_id in ran:
            continue
        sent = sent_by_id.get(answer.request_id)
        if sent is not None and sent.key and sent.key in ran_keys:
            continue
        yield f"{answer.request_id} is reported as done and never ran", (answer,)


@INVARIANTS.register("not-run-is-true")
def not_run_is_true(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that a request answered as not run is begun by no executor, at any time."""
    runs_by_id = history.grouped(RunBegan, lambda run: run.request_id)
    for answer in history.of(RequestAnswered):
        if answer.outcome is not Outcome.NOT_RUN:
            continue
        runs = runs_by_id.get(answer.request_id)
        if runs:
            yield f"{answer.request_id} is reported as not run and ran", (answer, *runs)


@INVARIANTS.register("at-most-once")
def at_most_once(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that a non-idempotent request, by key if it has one, is begun at most once."""
    identity_by_id = {
        sent.request_id: f"key {sent.key}" if sent.key else f"request {sent.request_id}"
        for sent in history.of(RequestSent)
        if not sent.idempotent
    }
    runs_by_identity: dict[str, list[RunBegan]] = {}
    for run in history.of(RunBegan):
        identity = identity_by_id.get(run.request_id)
        if identity is not None:
            runs_by_identity.setdefault(identity, []).append(run)
    for identity, runs in runs_by_identity.items():
        if len(runs) > 1:
            yield f"non-idempotent {identity} was begun {len(runs)} times", tuple(runs)


@INVARIANTS.register("leaving-gets-nothing-new")
def leaving_gets_nothing_new(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that no executor begins a run later than the bound after it was declared leaving."""
    runs_by_executor = history.grouped(RunBegan, lambda run: run.executor)
    for leaving in history.of(UpstreamLeaving):
        until = float("inf") if leaving.back_at is None else leaving.back_at
        for run in runs_by_executor.get(leaving.executor, []):
            late = run.at - leaving.at
            if late > bounds.leaving_s and run.at < until:
                yield f"{leaving.executor} got work {late:.3f} s after leaving", (leaving, run)


@INVARIANTS.register("planned-stop-cuts-nothing")
def planned_stop_cuts_nothing(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that requests in progress at a stopping entry host get their complete answer.

    A request sent while the host is stopping may be refused; it may not be cut.
    """
    sent_by_id = _sent_by_id(history)
    cuts_by_id = {event.request_id: event for event in history.of(RequestCut)}
    answered = {event.request_id for event in history.of(RequestAnswered)}
    closed = any(True for _ in history.of(RunClosed))
    sent_by_host: dict[str, list[RequestSent]] = {}
    for sent in sent_by_id.values():
        sent_by_host.setdefault(sent.entry_host, []).append(sent)
    for stop in history.of(PlannedStop):
        for sent in sent_by_host.get(stop.entry_host, []):
            cut = cuts_by_id.get(sent.request_id)
            if cut is not None and sent.at <= stop.until and cut.at >= stop.at:
                yield f"{sent.request_id} was cut by the stop", (stop, sent, cut)
            unanswered = cut is None and sent.request_id not in answered
            if closed and unanswered and sent.at <= stop.until:
                yield f"{sent.request_id} never got an answer", (stop, sent)


@INVARIANTS.register("every-request-answered")
def every_request_answered(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that once the run is closed, each request was answered or seen to be cut."""
    if not any(True for _ in history.of(RunClosed)):
        return
    over = {event.request_id for event in history.of(RequestAnswered)}
    over.update(event.request_id for event in history.of(RequestCut))
    for sent in history.of(RequestSent):
        if sent.request_id not in over:
            yield f"{sent.request_id} has no answer", (sent,)
