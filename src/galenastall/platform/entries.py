"""Decodes entries that others write into the platform's store; they may hold any bytes."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, TypeVar

from msgspec import Meta
from returns.result import Failure, Result

from galenastall.state.decoding import decode_json_value
from galenastall.transport.logs import Level, Recorder
from galenastall.transport.unexpected import record_unexpected

T = TypeVar("T")

ShortText = Annotated[str, Meta(max_length=1_000)]
"""A name or label; it is stored in rows and shown in logs."""
PathText = Annotated[str, Meta(max_length=65_536)]
"""A host or path prefix of requests, which no request line can exceed."""


def decode_entry(value: bytes, wanted: type[T]) -> Result[T, str]:
    """Return the typed entry, or an error message with the field; nothing raises."""
    return decode_json_value(value, wanted)


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryProblem:
    """Why an entry can't be used."""

    cause: str
    error: Exception | None = None
    """The unexpected error that its decoder raised; None if the entry itself is at fault."""

    def record(self, recorder: Recorder, *, kind: str, name: str) -> None:
        """Record the problem of the entry `name` as `kind`.unreadable or `kind`.unexpected."""
        if self.error is not None:
            record_unexpected(recorder, f"{kind}.unexpected", self.error, subjects=(name,))
            return
        recorder.record(
            f"{kind}.unreadable", subjects=(name,), cause=self.cause, level=Level.WARNING
        )


def decode_contained(decode: Callable[[], Result[T, str]]) -> Result[T, EntryProblem]:
    """Return what `decode` returns; an error that it raises costs this one entry."""
    try:
        return decode().alt(lambda cause: EntryProblem(cause=cause))
    except Exception as error:
        return Failure(EntryProblem(cause=f"unexpected {type(error).__name__}", error=error))
