"""Sentences about ownership."""

from galenastall.coordination.timeline.explain import SENTENCES, cause_clause, join_ids
from galenastall.state.timeline import TimelineEvent


@SENTENCES.register("ownership.claimed")
def _claimed(event: TimelineEvent) -> str:
    return f"{event.process} claimed {join_ids(event.subjects)}"


@SENTENCES.register("ownership.activated")
def _activated(event: TimelineEvent) -> str:
    epoch = event.fields.get("epoch")
    return f"{event.process} became the owner of {join_ids(event.subjects)} under epoch {epoch}"


@SENTENCES.register("ownership.lost")
def _lost(event: TimelineEvent) -> str:
    return f"{event.process} stopped acting on {join_ids(event.subjects)}{cause_clause(event)}"


@SENTENCES.register("ownership.handed_over")
def _handed_over(event: TimelineEvent) -> str:
    to = event.peer or "the next claimant"
    return f"{event.process} handed {join_ids(event.subjects)} over to {to}"


@SENTENCES.register("ownership.expelled")
def _expelled(event: TimelineEvent) -> str:
    return f"{event.process} released all it owned and rejoined{cause_clause(event)}"


@SENTENCES.register("ownership.append_failed")
def _append_failed(event: TimelineEvent) -> str:
    return f"{event.process} could not write to the log{cause_clause(event)}"


@SENTENCES.register("worker.adopted")
def _adopted(event: TimelineEvent) -> str:
    return f"{event.process} took {event.peer} over in its current state{cause_clause(event)}"


@SENTENCES.register("worker.lapsed")
def _lapsed(event: TimelineEvent) -> str:
    return f"{event.process} considered the tasks on {event.peer} ended{cause_clause(event)}"
