"""Sentences about changes of settings."""

from galenastall.coordination.timeline.explain import SENTENCES, because, listed
from galenastall.state.timeline import TimelineEvent


@SENTENCES.register("settings.submitted")
def _submitted(event: TimelineEvent) -> str:
    return (
        f"{event.process} sent change {listed(event.subjects)} of {_path(event)} by "
        f"{event.fields.get('author')} to the log"
    )


@SENTENCES.register("settings.not_submitted")
def _not_submitted(event: TimelineEvent) -> str:
    return f"{event.process} did not send change {listed(event.subjects)}{because(event)}"


@SENTENCES.register("settings.accepted")
def _accepted(event: TimelineEvent) -> str:
    return (
        f"change {listed(event.subjects)} of {_path(event)}, accepted at offset "
        f"{event.fields.get('offset')}, came into force on {event.process}"
    )


@SENTENCES.register("settings.stale")
@SENTENCES.register("settings.invalid")
@SENTENCES.register("settings.forbidden")
def _rejected(event: TimelineEvent) -> str:
    kind = event.step.partition(".")[2]
    return (
        f"{event.process} read that change {listed(event.subjects)} was rejected as {kind}"
        f"{because(event)}"
    )


@SENTENCES.register("settings.blocked")
def _blocked(event: TimelineEvent) -> str:
    return (
        f"{event.process} can't judge change {listed(event.subjects)} at offset "
        f"{event.fields.get('offset')}: that takes a newer version"
    )


def _path(event: TimelineEvent) -> str:
    return event.fields.get("path") or "the whole tree"
