"""Where components report events of the time line; the process's ring implements it."""

from collections.abc import Mapping, Sequence
from typing import Protocol


class EventSink(Protocol):
    """Takes events; stamps them with process and hybrid time."""

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


class NullEventSink:
    """Drops all events, for tools and tests that do not look at them."""

    def record(
        self,
        step: str,
        *,
        peer: str = "",
        subjects: Sequence[str] = (),
        cause: str = "",
        fields: Mapping[str, str] | None = None,
    ) -> None:
        """Drop the event."""

    def detail(
        self,
        step: str,
        subject: str,
        *,
        peer: str = "",
        cause: str = "",
        fields: dict[str, str] | None = None,
    ) -> None:
        """Drop the event."""
