"""Registry of the records that the system writes to the platform's log."""

from dataclasses import dataclass
from typing import Any, Final, Protocol

from galenastall.state.ids import Offset, RecordId, StreamName
from galenastall.state.registry import Registry

RECORDS: Final[Registry[type[Any]]] = Registry(kind="log record")
"""Frozen data classes by the name in the log; filled with
`@RECORDS.register("name")` next to the fold that reads them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoggedRecord:
    """A record read back from a stream."""

    stream: StreamName
    offset: Offset
    record_id: RecordId
    record: Any
    """An instance of a registered class, or UnknownRecord."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownRecord:
    """A record whose type this version does not know."""

    name: str


class RecordFold(Protocol):
    """State built from one stream's records in offset order; deterministic."""

    def apply(self, logged: LoggedRecord) -> None:
        """Apply the next record; unknown types must be ignored."""
