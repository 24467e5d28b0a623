"""Where components report events of the time line; the process's ring implements it."""

from collections.abc import Mapping, Sequence
from typing import Protocol


class EventSink(Protocol):
    """Takes events; stamps them with process and hybrid time.

    The methods do nothing of themselves, for a sink that keeps nothing; they return in so many
    words, as a type checker takes an empty method of an interface for one to be overridden.
    """

    def record(
        self,
        step: str,
        *,
        peer: str = "",
        subjects: Sequence[str] = (),
        cause: str = "",
        fields: Mapping[str, str] | None = None,
    ) -> None:
        """Keep one event; never blocks and never fails."""
        return

    def detail(
        self,
        step: str,
        subject: str,
        *,
        peer: str = "",
        cause: str = "",
        fields: dict[str, str] | None = None,
    ) -> None:
        """Keep one step of a single request, if its details are kept; `fields` is not copied."""
        return


class NullEventSink(EventSink):
    """Drops all events, for tools and tests that do not look at them."""
