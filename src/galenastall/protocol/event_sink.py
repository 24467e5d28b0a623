"""Interface to which components report time line events; the process's ring implements it."""

from collections.abc import Mapping, Sequence
from typing import Protocol


class EventSink(Protocol):
    """Accepts events and stamps them with process and hybrid time.

    By default the methods do nothing, for a sink that drops events. They return explicitly, because
    a type checker treats an empty method of a protocol as abstract.
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
        """Keep one step of a single request, if its details are sampled; `fields` is not copied."""
        return


class NullEventSink(EventSink):
    """Drops all events, for tools and tests that do not need them."""
