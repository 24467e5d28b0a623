"""Sentences about what happened to an id, built from the events of its time line.

Modules register a sentence for each step that they record; steps without one get a generic
sentence, so that no recorded event is omitted.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Final

from galenastall.coordination.timeline.timeline_merge import MergedTimeline
from galenastall.state.ids import job_of_task
from galenastall.state.registry import Registry
from galenastall.state.timeline import TimelineEvent

MAX_NAMED_IDS: Final = 4
"""Maximum number of ids that a sentence names; the rest are counted."""

SentenceBuilder = Callable[[TimelineEvent], str]
"""Returns a sentence without its final full stop."""

SENTENCES: Final[Registry[SentenceBuilder]] = Registry(kind="sentence")
"""Builders by step; register with `@SENTENCES.register("layer.verb")`."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """What is known about an id, in sentences."""

    subject: str
    summary: str
    """Current state: the last event, or why nothing is known."""
    sentences: tuple[str, ...]
    """What happened, in order."""
    caveats: tuple[str, ...] = ()
    """Processes that could not be queried or whose events may be incomplete."""


def explain(timeline: MergedTimeline, *, present: Sequence[str] = ()) -> Explanation:
    """Return the sentences of a time line, and the current state of its subject if known."""
    sentences = tuple(_timed_sentences(timeline))
    if present:
        summary = f"Now: {' '.join(present)}"
    elif timeline.events:
        last = _restrict_to_subject(timeline.events[-1], timeline.subject)
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
    """Return the explanation as lines of text, the current state last."""
    lines = [*explanation.sentences, *explanation.caveats, explanation.summary]
    return "\n".join(lines) + "\n"


def sentence_of(event: TimelineEvent) -> str:
    """Return the sentence of one event, without its full stop."""
    if event.step in SENTENCES:
        return SENTENCES.get(event.step)(event)
    return _plain_sentence(event)


def cause_clause(event: TimelineEvent) -> str:
    """Return the event's cause as a clause that ends a sentence, empty if it has none."""
    return f" because {event.cause}" if event.cause else ""


def join_ids(ids: Sequence[str]) -> str:
    """Return the ids as a phrase that names the first few and counts the rest."""
    if len(ids) > MAX_NAMED_IDS:
        return f"{', '.join(ids[:MAX_NAMED_IDS])} and {len(ids) - MAX_NAMED_IDS} more"
    return " and ".join((", ".join(ids[:-1]), ids[-1])) if len(ids) > 1 else "".join(ids)


def _restrict_to_subject(event: TimelineEvent, subject: str) -> TimelineEvent:
    """Return an event of a job or task without the other jobs' tasks of the same batch."""
    prefix = f"{subject}/"
    own = {each for each in event.subjects if each == subject or each.startswith(prefix)}
    if not any(job_of_task(each) is not None for each in own):
        return event
    about = tuple(each for each in event.subjects if each in own or job_of_task(each) is None)
    return replace(event, subjects=about)


def _plain_sentence(event: TimelineEvent) -> str:
    layer, _, verb = event.step.partition(".")
    what = f"{layer}: {verb.replace('_', ' ')}" if verb else layer.replace("_", " ")
    at = f" at {event.peer}" if event.peer else ""
    fields = ", ".join(f"{name} {value}" for name, value in sorted(event.fields.items()))
    extra = f" ({fields})" if fields else ""
    return f"{event.process} noted {what}{at}{extra}{cause_clause(event)}"


def _timed_sentences(timeline: MergedTimeline) -> Iterator[str]:
    if not timeline.events:
        return
    start_ms = timeline.events[0].at.wall_ms
    for event in timeline.events:
        sentence = sentence_of(_restrict_to_subject(event, timeline.subject))
        yield f"After {(event.at.wall_ms - start_ms) / 1000:.3f} s {sentence}."


def _caveats(timeline: MergedTimeline) -> Iterator[str]:
    for process in timeline.unreachable:
        yield f"{process} could not be asked, so what it did is missing here."
    for process in timeline.forgetful:
        yield f"{process} keeps only its latest events, so older ones may be missing."


def _uncapitalised(sentence: str) -> str:
    starts_like_a_word = len(sentence) > 1 and sentence[1].islower() and " " in sentence
    return sentence[0].lower() + sentence[1:] if starts_like_a_word else sentence
