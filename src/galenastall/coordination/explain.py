"""Sentences about what happened to an id, built from the events of its time line.

A module that records a step files a sentence for it here; steps without one get a plain sentence,
so that nothing recorded is left out.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from galenastall.coordination.timeline_merge import MergedTimeline
from galenastall.state.registry import Registry
from galenastall.state.timeline import TimelineEvent

SentenceBuilder = Callable[[TimelineEvent], str]
"""Returns a sentence without its full stop."""

SENTENCES: Final[Registry[SentenceBuilder]] = Registry(kind="sentence")
"""Builders by step; filled with `@SENTENCES.register("layer.verb")`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """What is known about an id, in sentences."""

    subject: str
    summary: str
    """Where things stand: the last event, or why nothing is known."""
    sentences: tuple[str, ...]
    """What happened, in order."""
    caveats: tuple[str, ...] = ()
    """What could not be asked and may be missing."""


def explain(timeline: MergedTimeline) -> Explanation:
    """Return the sentences of a time line."""
    sentences = tuple(_timed_sentences(timeline))
    if timeline.events:
        last = timeline.events[-1]
        summary = f"Last of all, {_uncapitalised(sentence_of(last))}."
    else:
        summary = (
            f"Nothing is recorded about {timeline.subject} in the processes that could be asked: "
            "it is unknown here, or older than what they keep."
        )
    return Explanation(
        subject=timeline.subject,
        summary=summary,
        sentences=sentences,
        caveats=tuple(_caveats(timeline)),
    )


def explanation_text(explanation: Explanation) -> str:
    """Return the explanation as lines of text."""
    lines = [explanation.summary, *explanation.sentences, *explanation.caveats]
    return "\n".join(lines) + "\n"


def sentence_of(event: TimelineEvent) -> str:
    """Return the sentence of one event, without its full stop."""
    if event.step in SENTENCES:
        return SENTENCES.get(event.step)(event)
    return _plain_sentence(event)


def because(event: TimelineEvent) -> str:
    """Return the event's cause as the end of a sentence, empty if it has none."""
    return f" because {event.cause}" if event.cause else ""


def _plain_sentence(event: TimelineEvent) -> str:
    layer, _, verb = event.step.partition(".")
    what = f"{layer}: {verb.replace('_', ' ')}" if verb else layer.replace("_", " ")
    at = f" at {event.peer}" if event.peer else ""
    fields = ", ".join(f"{name} {value}" for name, value in sorted(event.fields.items()))
    extra = f" ({fields})" if fields else ""
    return f"{event.process} noted {what}{at}{extra}{because(event)}"


def _timed_sentences(timeline: MergedTimeline) -> Iterator[str]:
    if not timeline.events:
        return
    start_ms = timeline.events[0].at.wall_ms
    for event in timeline.events:
        yield f"After {(event.at.wall_ms - start_ms) / 1000:.3f} s {sentence_of(event)}."


def _caveats(timeline: MergedTimeline) -> Iterator[str]:
    for process in timeline.unreachable:
        yield f"{process} could not be asked, so what it did is missing here."
    for process in timeline.forgetful:
        yield f"{process} keeps only its latest events, so older ones may be missing."


def _uncapitalised(sentence: str) -> str:
    starts_like_a_word = len(sentence) > 1 and sentence[1].islower() and " " in sentence
    return sentence[0].lower() + sentence[1:] if starts_like_a_word else sentence
