"""Sentences about changes of settings."""

from galenastall.coordination.timeline.explain import SENTENCES, cause_clause, join_ids
from galenastall.state.timeline import TimelineEvent


@SENTENCES.register("settings.submitted")
def _submitted(event: TimelineEvent) -> str:
    return (
        f"{event.process} sent change {join_ids(event.subjects)} of {_path(event)} by "
        f"{event.fields.get('author')} to the log"
    )


@SENTENCES.register("settings.not_submitted")
def _not_submitted(event: TimelineEvent) -> str:
    return f"{event.process} did not send change {join_ids(event.subjects)}{cause_clause(event)}"


@SENTENCES.register("settings.accepted")
def _accepted(event: TimelineEvent) -> str:
    return (
        f"change {join_ids(event.subjects)} of {_path(event)}, accepted at offset "
        f"{event.fields.get('offset')}, came into force on {event.process}"
    )


@SENTENCES.register("settings.stale")
@SENTENCES.register("settings.invalid")
@SENTENCES.register("settings.forbidden")
def _rejected(event: TimelineEvent) -> str:
    kind = event.step.partition(".")[2]
    return (
        f"{event.process} read that change {join_ids(event.subjects)} was rejected as {kind}"
        f"{cause_clause(event)}"
    )


@SENTENCES.register("settings.blocked")
def _blocked(event: TimelineEvent) -> str:
    return (
        f"{event.process} can't judge change {join_ids(event.subjects)} at offset "
        f"{event.fields.get('offset')}: a newer version is needed"
    )


def _path(event: TimelineEvent) -> str:
    return event.fields.get("path") or "the whole tree"
